package bwobserve_test

import (
	"bytes"
	"strings"
	"testing"

	"bilberrywick/io/bwobserve"
)

// Guards against an explanation that omits the request's failures, the earlier
// errors of its process or its outcome, or that includes lines of other requests.
func TestExplain(t *testing.T) {
	log := strings.Join([]string{
		`{"Time":"2026-12-01T10:00:00.5Z","Level":"WARN","Message":"store call failed","Member":"g1","Table":"servers","Error":"timeout"}`,
		`{"Time":"2026-12-01T10:00:01Z","Level":"INFO","Message":"request placed","Member":"g1","Request":"r1","Upstream":"e1","Left":"2s"}`,
		`{"Time":"2026-12-01T10:00:01.1Z","Level":"WARN","Message":"attempt failed","Member":"g1","Request":"r2","Upstream":"e3"}`,
		`  1.25 g1 {"Time":"2026-12-01T10:00:01.2Z","Level":"WARN","Message":"attempt failed","Member":"g1","Request":"r1","Upstream":"e1","Error":"reset"}`,
		`{"Time":"2026-12-01T10:00:01.3Z","Level":"INFO","Message":"request ended","Member":"g1","Request":"r1","Status":502,"Reason":"upstream broke off"}`,
		`{"Time":"2026-12-01T10:00:01.2Z","Level":"WARN","Message":"store call failed","Member":"g2"}`,
		`not json`,
		`{"Time":"2026-12-01T09:00:00Z","Level":"INFO","Message":"started","Member":"g1"}`,
	}, "\n")
	exp, err := bwobserve.Explain(strings.NewReader(log), "r1")
	if err != nil {
		t.Fatal(err)
	}
	if len(exp.Events) != 4 || len(exp.Causes) != 2 || exp.Outcome == nil || len(exp.Members) != 1 {
		t.Fatalf("%d events, causes %q, outcome %v", len(exp.Events), exp.Causes, exp.Outcome)
	}
	var out bytes.Buffer
	if err := exp.WriteText(&out); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"ended with status 502: upstream broke off", "cause: g1: attempt failed, Upstream e1, Error reset", "store call failed"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("the explanation does not contain %q:\n%s", want, out.String())
		}
	}
	if _, err := bwobserve.Explain(strings.NewReader(log), "r9"); err == nil {
		t.Error("Explain returned no error for a request without lines")
	}
}
