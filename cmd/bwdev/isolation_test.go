package bwdev_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"bilberrywick/cmd/bwdev"
	"bilberrywick/core/bwmodel"
	"bilberrywick/io/bwadmin"
	"bilberrywick/io/bwhttp"
	"bilberrywick/io/bwwire"
	"bilberrywick/standin/bwfakeengine"
)

// teamCaller sends HTTP requests with one key to one address.
type teamCaller struct {
	t    *testing.T
	addr netip.AddrPort
	key  string
}

// openStream is a generation whose caller is still connected.
type openStream struct {
	id bwmodel.RequestID
	// handle resumes the generation after its first event.
	handle string
	close  func()
}

func (cal *teamCaller) send(ctx context.Context, method, path string, body string, header map[string]string) *http.Response {
	cal.t.Helper()
	rq, err := http.NewRequestWithContext(ctx, method, "http://"+cal.addr.String()+path, strings.NewReader(body))
	if err != nil {
		cal.t.Fatal(err)
	}
	bwhttp.SetBearer(rq, cal.key)
	for name, val := range header {
		rq.Header.Set(name, val)
	}
	rsp, err := http.DefaultClient.Do(rq)
	if err != nil {
		cal.t.Fatal(err)
	}
	cal.t.Cleanup(func() { _ = rsp.Body.Close() })
	return rsp
}

// sendAndRead sends a request and returns the status and the complete body.
func (cal *teamCaller) sendAndRead(method, path string, body string, header map[string]string) (int, string) {
	cal.t.Helper()
	rsp := cal.send(cal.t.Context(), method, path, body, header)
	data, err := io.ReadAll(rsp.Body)
	if err != nil {
		cal.t.Fatal(err)
	}
	return rsp.StatusCode, string(data)
}

// generate starts a generation and reads its first event.
func (cal *teamCaller) generate(tokens int) *openStream {
	cal.t.Helper()
	ctx, cancel := context.WithCancel(cal.t.Context())
	body := fmt.Sprintf(`{"model":"pisar-model","prompt":%q,"max_tokens":%d,"stream":true}`, prompt, tokens)
	rsp := cal.send(ctx, http.MethodPost, "/v1/completions", body, map[string]string{"Content-Type": bwhttp.JSONContentType})
	event, err := bwhttp.NewEventReader(bwhttp.EventReaderConfig{Source: rsp.Body}).Next()
	if err != nil {
		cancel()
		cal.t.Fatalf("status %d: %v", rsp.StatusCode, err)
	}
	var doc struct{ ID string }
	if err := json.Unmarshal(event.Data, &doc); err != nil {
		cal.t.Fatal(err)
	}
	id, err := bwmodel.ParseRequestID(strings.TrimPrefix(doc.ID, "cmpl-"))
	if err != nil {
		cal.t.Fatal(err)
	}
	return &openStream{id: id, handle: event.ID, close: cancel}
}

const orderPath = "/v1/services/objednavky-pult/actions/orders"

func orderHeader(key string) map[string]string {
	return map[string]string{"Idempotency-Key": key, "Content-Type": bwhttp.JSONContentType}
}

// Guards against a team that reads the outcome of, resumes or repeats another team's work.
func TestTeamsAreIsolated(t *testing.T) {
	flt := startFleet(t, bwdev.Config{
		Routers: 2, Engines: 2, Apps: 1,
		Engine: bwfakeengine.Config{TokenTime: 5 * time.Millisecond, Slots: 4},
		Teams:  []bwdev.Team{{Name: "rezbari", Key: "key-rezbari"}, {Name: "svadby", Key: "key-svadby"}},
	})
	owner := &teamCaller{t: t, addr: flt.Routers[0].CallerAddress(), key: "key-rezbari"}
	for _, rtr := range flt.Routers {
		other := &teamCaller{t: t, addr: rtr.CallerAddress(), key: "key-svadby"}
		gen := owner.generate(100000)
		header := map[string]string{"Last-Event-ID": gen.handle}
		// The body is not read, since a generation that is wrongly resumed would not end.
		if code := other.send(t.Context(), http.MethodGet, "/v1/generations/"+gen.handle, "", header).StatusCode; code != http.StatusNotFound && code != http.StatusForbidden {
			t.Errorf("another team resumes at %s: status %d", rtr.Member().ID, code)
		}
		gen.close()
		// The refused attempt must not have fenced off the owner's resume.
		resumed := owner.send(t.Context(), http.MethodGet, "/v1/generations/"+gen.handle, "", header)
		if resumed.StatusCode != http.StatusOK {
			t.Errorf("owner resumes: status %d", resumed.StatusCode)
		}
		if _, err := bwhttp.NewEventReader(bwhttp.EventReaderConfig{Source: resumed.Body}).Next(); err != nil {
			t.Errorf("owner resumes: %v", err)
		}
	}
	if code, body := owner.sendAndRead(http.MethodPost, orderPath, `{"Item":1}`, orderHeader("order-1")); code != http.StatusOK {
		t.Fatalf("action: status %d, %s", code, body)
	}
	other := &teamCaller{t: t, addr: flt.Routers[1].CallerAddress(), key: "key-svadby"}
	if code, body := other.sendAndRead(http.MethodGet, "/v1/actions/order-1", "", nil); code != http.StatusNotFound || strings.Contains(body, "rezbari") {
		t.Errorf("another team's query: status %d, %s", code, body)
	}
	// The same idempotency key of another team identifies another action.
	if code, body := other.sendAndRead(http.MethodPost, orderPath, `{"Item":2}`, orderHeader("order-1")); code != http.StatusOK || !strings.Contains(body, "svadby/order-1") {
		t.Errorf("another team's action with the same key: status %d, %s", code, body)
	}
	if code, body := owner.sendAndRead(http.MethodGet, "/v1/actions/order-1", "", nil); code != http.StatusOK || !strings.Contains(body, "rezbari/order-1") {
		t.Errorf("owner's query: status %d, %s", code, body)
	}
}

func teamKeyDocument(key string, notAfter time.Time) bwwire.TeamKeyDocument {
	sum := sha256.Sum256([]byte(key))
	return bwwire.TeamKeyDocument{SHA256: hex.EncodeToString(sum[:]), NotAfter: notAfter}
}

// Guards against an expired key that is accepted, against a rotation that rejects
// the old or the new key while both are valid, and against a key that is accepted
// after a ticket has removed it.
func TestTeamKeyRotation(t *testing.T) {
	flt := startFleet(t, bwdev.Config{Routers: 2, Engines: 1})
	cl := newOperatorClient(t, flt.Routers[0].OperatorAddress())
	team := flt.FullTicket(1).Teams[0]
	past, future := time.Now().Add(-time.Hour), time.Now().Add(time.Hour)
	tests := []struct {
		name string
		keys []bwwire.TeamKeyDocument
		want map[string]int
	}{
		{"both keys", []bwwire.TeamKeyDocument{teamKeyDocument("old", future), teamKeyDocument("new", time.Time{})}, map[string]int{"old": 404, "new": 404, "dev-team": 401}},
		{"old key expired", []bwwire.TeamKeyDocument{teamKeyDocument("old", past), teamKeyDocument("new", time.Time{})}, map[string]int{"old": 401, "new": 404}},
		{"old key removed", []bwwire.TeamKeyDocument{teamKeyDocument("new", time.Time{})}, map[string]int{"old": 401, "new": 404}},
	}
	for ix, tt := range tests {
		team.Keys = tt.keys
		doc := bwwire.TicketDocument{Number: bwmodel.TicketNumber(ix + 2), Teams: []bwwire.TeamDocument{team}}
		if _, err := cl.Apply(t.Context(), &bwadmin.TicketRequest{Ticket: doc}); err != nil {
			t.Fatalf("%s: %v", tt.name, err)
		}
		for _, rtr := range flt.Routers {
			for key, want := range tt.want {
				cal := &teamCaller{t: t, addr: rtr.CallerAddress(), key: key}
				eventually(t, func() error {
					// The status of a query for a missing action shows whether the key is accepted.
					if code, body := cal.sendAndRead(http.MethodGet, "/v1/actions/none", "", nil); code != want {
						return fmt.Errorf("%s: key %s at %s: status %d, want %d: %s", tt.name, key, rtr.Member().ID, code, want, body)
					}
					return nil
				})
			}
		}
	}
}
