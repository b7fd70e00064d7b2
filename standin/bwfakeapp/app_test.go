package bwfakeapp_test

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"bilberrywick/standin/bwfakeapp"
)

// Guards against a stand-in that doesn't count an execution whose response was lost.
func TestFaults(t *testing.T) {
	tests := []struct {
		name      string
		faults    bwfakeapp.Faults
		responded bool
		executed  int
	}{
		{"none", bwfakeapp.Faults{}, true, 1},
		{"dies before", bwfakeapp.Faults{DieBefore: 1}, false, 0},
		{"dies after", bwfakeapp.Faults{DieAfter: 1}, false, 1},
		{"truncates the response", bwfakeapp.Faults{CutAnswer: 1}, false, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			app := bwfakeapp.New(bwfakeapp.Config{Faults: tt.faults})
			app.Start(t.Context())
			srv := httptest.NewServer(app.Handler())
			defer srv.Close()
			responded := post(t, srv, "k1")
			if responded != tt.responded {
				t.Errorf("response complete: %v, want %v", responded, tt.responded)
			}
			if got := app.Snapshot().ExecutionCount("k1"); got != tt.executed {
				t.Errorf("executed %d times, want %d", got, tt.executed)
			}
			if !post(t, srv, "k2") {
				t.Error("the fault did not end after its count")
			}
		})
	}
}

func post(t *testing.T, srv *httptest.Server, key string) bool {
	t.Helper()
	hrq, err := http.NewRequestWithContext(t.Context(), http.MethodPost, srv.URL+"/pay", strings.NewReader("1 EUR"))
	if err != nil {
		t.Fatal(err)
	}
	hrq.Header.Set("Idempotency-Key", key)
	// Uses a new connection, since net/http retries a request with this header if
	// it fails on a reused one.
	hrq.Close = true
	tr := &http.Transport{DisableKeepAlives: true}
	hrs, err := tr.RoundTrip(hrq)
	if err != nil {
		return false
	}
	defer func() { _ = hrs.Body.Close() }()
	buf := make([]byte, 4096)
	for {
		if _, err := hrs.Body.Read(buf); err != nil {
			return errors.Is(err, io.EOF)
		}
	}
}
