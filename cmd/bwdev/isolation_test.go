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

// teamCaller sends plain requests with one key to one router.
type teamCaller struct {
	t    *testing.T
	addr netip.AddrPort
	key  string
}

// openStream is a generation whose caller still reads.
type openStream struct {
	id bwmodel.RequestID
	// handle resumes after the first event.
	handle string
	close  func()
}

func (cal *teamCaller) send(ctx context.Context, method, path string, body string, head map[string]string) *http.Response {
	cal.t.Helper()
	rq, err := http.NewRequestWithContext(ctx, method, "http://"+cal.addr.String()+path, strings.NewReader(body))
	if err != nil {
		cal.t.Fatal(err)
	}
	bwhttp.SetBearer(rq, cal.key)
	for name, val := range head {
		rq.Header.Set(name, val)
	}
	rsp, err := http.DefaultClient.Do(rq)
	if err != nil {
		cal.t.Fatal(err)
	}
	cal.t.Cleanup(func() { _ = rsp.Body.Close() })
	return rsp
}

// status sends a request and returns the status and the whole body.
func (cal *teamCaller) status(method, path string, body string, head map[string]string) (int, string) {
	cal.t.Helper()
	rsp := cal.send(cal.t.Context(), method, path, body, head)
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

func order(key string) map[string]string {
	return map[string]string{"Idempotency-Key": key, "Content-Type": bwhttp.JSONContentType}
}

// Guards against a team that sees, resumes or repeats the work of another one.
func TestTeamsAreIsolated(t *testing.T) {
	flt := startFleet(t, bwdev.Config{
		Routers: 2, Engines: 2, Apps: 1,
		Engine: bwfakeengine.Config{TokenTime: 5 * time.Millisecond, Slots: 4},
		Teams:  []bwdev.Team{{Name: "rezbari", Key: "key-rezbari"}, {Name: "svadby", Key: "key-svadby"}},
	})
	own := &teamCaller{t: t, addr: flt.Routers[0].CallerAddress(), key: "key-rezbari"}
	for _, rtr := range flt.Routers {
		other := &teamCaller{t: t, addr: rtr.CallerAddress(), key: "key-svadby"}
		gen := own.generate(100000)
		head := map[string]string{"Last-Event-ID": gen.handle}
		// The body is not read: a generation that is resumed wrongly would not end.
		if code := other.send(t.Context(), http.MethodGet, "/v1/generations/"+gen.handle, "", head).StatusCode; code != http.StatusNotFound && code != http.StatusForbidden {
			t.Errorf("another team resumes at %s: status %d", rtr.Member().ID, code)
		}
		gen.close()
		// The refused attempt must not have fenced the owner's own resume.
		rest := own.send(t.Context(), http.MethodGet, "/v1/generations/"+gen.handle, "", head)
		if rest.StatusCode != http.StatusOK {
			t.Errorf("own team resumes: status %d", rest.StatusCode)
		}
		if _, err := bwhttp.NewEventReader(bwhttp.EventReaderConfig{Source: rest.Body}).Next(); err != nil {
			t.Errorf("own team resumes: %v", err)
		}
	}
	if code, body := own.status(http.MethodPost, orderPath, `{"Item":1}`, order("order-1")); code != http.StatusOK {
		t.Fatalf("action: status %d, %s", code, body)
	}
	other := &teamCaller{t: t, addr: flt.Routers[1].CallerAddress(), key: "key-svadby"}
	if code, body := other.status(http.MethodGet, "/v1/actions/order-1", "", nil); code != http.StatusNotFound || strings.Contains(body, "rezbari") {
		t.Errorf("another team's query: status %d, %s", code, body)
	}
	// The same key of another team is another action.
	if code, body := other.status(http.MethodPost, orderPath, `{"Item":2}`, order("order-1")); code != http.StatusOK || !strings.Contains(body, "svadby/order-1") {
		t.Errorf("another team's action with the same key: status %d, %s", code, body)
	}
	if code, body := own.status(http.MethodGet, "/v1/actions/order-1", "", nil); code != http.StatusOK || !strings.Contains(body, "rezbari/order-1") {
		t.Errorf("own query: status %d, %s", code, body)
	}
}

func teamKey(key string, notAfter time.Time) bwwire.TeamKeyDocument {
	sum := sha256.Sum256([]byte(key))
	return bwwire.TeamKeyDocument{SHA256: hex.EncodeToString(sum[:]), NotAfter: notAfter}
}

// Guards against an expired key that is admitted, against a roll-over that
// refuses the old or the new key while both are in force, and against a key
// that works after its ticket has removed it.
func TestKeysRollOver(t *testing.T) {
	flt := startFleet(t, bwdev.Config{Routers: 2, Engines: 1})
	cl := operator(t, flt.Routers[0].OperatorAddress())
	team := flt.FullTicket(1).Teams[0]
	past, future := time.Now().Add(-time.Hour), time.Now().Add(time.Hour)
	tests := []struct {
		name string
		keys []bwwire.TeamKeyDocument
		want map[string]int
	}{
		{"both keys", []bwwire.TeamKeyDocument{teamKey("old", future), teamKey("new", time.Time{})}, map[string]int{"old": 404, "new": 404, "dev-team": 401}},
		{"old key expired", []bwwire.TeamKeyDocument{teamKey("old", past), teamKey("new", time.Time{})}, map[string]int{"old": 401, "new": 404}},
		{"old key removed", []bwwire.TeamKeyDocument{teamKey("new", time.Time{})}, map[string]int{"old": 401, "new": 404}},
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
					// A query of an action that doesn't exist tells whether the key is admitted.
					if code, body := cal.status(http.MethodGet, "/v1/actions/none", "", nil); code != want {
						return fmt.Errorf("%s: key %s at %s: status %d, want %d: %s", tt.name, key, rtr.Member().ID, code, want, body)
					}
					return nil
				})
			}
		}
	}
}
