package bwgateway_test

import (
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"bilberrywick/core/bwforward"
	"bilberrywick/io/bwgateway"
)

// sendLines sends a header to which nothing is added, and a body.
func sendLines(status string, lines ...string) func(*attempt) {
	return func(att *attempt) {
		att.send("HTTP/1.1 " + status + "\r\n" + strings.Join(append(lines, "", ""), "\r\n") + "junk")
	}
}

// unverifiedResponses has responses that don't show that they are the upstream's to the
// request r1.
var unverifiedResponses = []struct {
	name string
	send func(*attempt)
}{
	{"no request and no signature", sendLines("200 OK")},
	{"no signature", sendLines("200 OK", requestHeader+": r1", "Content-Length: 4")},
	{"created, no signature", sendLines("201 Created", requestHeader+": r1", "Content-Length: 4")},
	{"no request", sendLines("200 OK", signatureHeader+": s1", "Content-Length: 4")},
	{"other request", sendLines("200 OK", requestHeader+": r0", signatureHeader+": s1", "Content-Length: 4")},
	{"success, not run", sendLines("200 OK", requestHeader+": r1", signatureHeader+": s1", notRunHeader+": 1", "Content-Length: 4")},
	{"failure of no request", sendLines("500 Internal Server Error", "Content-Length: 4")},
	{"refusal without a promise", sendLines("503 Service Unavailable", "Content-Length: 4")},
	{"misdirected by nobody", sendLines("421 Misdirected Request", requestHeader+": r1", "Content-Length: 4")},
	{"events without a signature", func(att *attempt) {
		att.send("HTTP/1.1 200 OK\r\n" + requestHeader + ": r1\r\nTransfer-Encoding: chunked\r\n\r\n")
		att.event(1)
		att.endStream()
	}},
}

// Guards against unverified responses that reach a caller, against actions that are run
// again or reported as not run after one, and against lookups and streams that are not
// sent to another upstream.
func TestUnverifiedResponses(t *testing.T) {
	tests := []struct {
		name, path string
		resumable  bool
		status     int
		// wantSecond means that the second upstream receives the request.
		wantSecond bool
	}{
		{"lookup", "/safe/x", true, 200, true},
		{"action", "/action/x", true, 502, false},
		{"stream", "/stream/x", true, 200, true},
		{"stream that can't be resumed", "/stream/x", false, 502, false},
	}
	for _, tt := range tests {
		for _, spoiled := range unverifiedResponses {
			t.Run(tt.name+", "+spoiled.name, func(t *testing.T) {
				first, second := newFakeEngine(t, "e1", spoiled.send), newFakeEngine(t, "e2", respondStreamOrWhole)
				tg := newGateway(t, []*fakeEngine{first, second}, func(_ *bwgateway.Config, cfg *bwforward.RoutingTableConfig) {
					cfg.Routes[2].Resumable = tt.resumable
				})
				rsp := tg.do(http.MethodPost, tt.path, "body")
				if rsp.status != tt.status || rsp.err != nil || rsp.status == http.StatusOK && rsp.body != "whole" && rsp.body != expectedBody(1) {
					t.Errorf("status %d, error %v, body %q; want status %d", rsp.status, rsp.err, rsp.body, tt.status)
				}
				if got := second.count() == 1; got != tt.wantSecond || first.count() != 1 {
					t.Errorf("%d and %d requests reached the upstreams, want 1 and %v", first.count(), second.count(), tt.wantSecond)
				}
			})
		}
	}
}

// Guards against an unverified response in the middle of a stream that is joined to the
// events before it.
func TestUnverifiedResponseToResumedStream(t *testing.T) {
	for _, spoiled := range unverifiedResponses {
		t.Run(spoiled.name, func(t *testing.T) {
			var resumed atomic.Int64
			resume := func(att *attempt) {
				if resumed.Add(1) == 1 {
					spoiled.send(att)
					return
				}
				sendRemaining(att)
			}
			tg := newGateway(t, []*fakeEngine{
				newFakeEngine(t, "e1", sendUpTo(3, func(*attempt) {})), newFakeEngine(t, "e2", resume), newFakeEngine(t, "e3", resume),
			})
			rsp := tg.do(http.MethodPost, "/stream/x", "prompt")
			if rsp.err != nil || rsp.status != http.StatusOK || rsp.body != expectedBody(1) || rsp.header.Get(signatureHeader) != "s1" || resumed.Load() != 2 {
				t.Errorf("%d engines resumed it, status %d, error %v, body\n%s", resumed.Load(), rsp.status, rsp.err, rsp.body)
			}
		})
	}
}

// Guards against what unverified responses say of an upstream: its load, its limit or the
// end of it, that it leaves, and that it wants no requests.
func TestUnverifiedResponseIsNotUsed(t *testing.T) {
	lines := []string{loadHeader + ": 7", limitHeader + ": 0.5", leavingHeader + ": 1", retryHeader + ": 60"}
	responses := map[string]func(*attempt){
		"success":                    sendLines("200 OK", append(lines, "Content-Length: 4")...),
		"failure":                    sendLines("500 Internal Server Error", append(lines, requestHeader+": r0", "Content-Length: 4")...),
		"another upstream's refusal": sendLines("421 Misdirected Request", append(lines, responderHeader+": e9", "Content-Length: 0")...),
	}
	for name, send := range responses {
		t.Run(name, func(t *testing.T) {
			eng := newFakeEngine(t, "e1", send)
			nlg := new(noteLog)
			var pool *bwforward.Pool
			tg := newGateway(t, []*fakeEngine{eng}, func(cfg *bwgateway.Config, _ *bwforward.RoutingTableConfig) {
				cfg.SendNote = nlg.add
				pool = cfg.Pool
			})
			tg.do(http.MethodPost, "/action/x", "body")
			nd := pool.Node("e1")
			if ld, _ := nd.LastLoad(time.Now()); ld.Running != 0 {
				t.Errorf("load %+v", ld)
			}
			if _, limited := nd.Limit(); limited || nd.InNeed(time.Now()) {
				t.Error("the upstream is limited, or gets no requests")
			}
			if pool.ActiveUpstreams("svc") != 1 || nlg.count(bwforward.LimitNote)+nlg.count(bwforward.LeavingNote) > 0 {
				t.Error("the upstream leaves, or the other gateways were told of a limit or of that")
			}
		})
	}
}

// Guards against a limit that ends with a response which is not the upstream's, or with
// one in which the upstream refuses the request.
func TestLimitOutlivesOtherResponses(t *testing.T) {
	tests := []struct {
		name    string
		send    func(*attempt)
		limited bool
	}{
		{"unverified", sendLines("200 OK", "Content-Length: 4"), true},
		{"refusal", sendLines("503 Service Unavailable", notRunHeader+": 1", "Content-Length: 0"), true},
		{"response", func(att *attempt) { att.respond("200 OK", "whole") }, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			eng := newFakeEngine(t, "e1", tt.send)
			nlg := new(noteLog)
			var nd *bwforward.Node
			tg := newGateway(t, []*fakeEngine{eng}, func(cfg *bwgateway.Config, _ *bwforward.RoutingTableConfig) {
				cfg.SendNote = nlg.add
				nd = cfg.Pool.Node("e1")
				limit := 0.5
				nd.ObserveLimit(&limit, time.Now(), time.Now())
			})
			tg.do(http.MethodPost, "/action/x", "body")
			_, limited := nd.Limit()
			if limited != tt.limited || (nlg.count(bwforward.LimitEndNote) == 0) != tt.limited {
				t.Errorf("limited %v, %d notes of the end", limited, nlg.count(bwforward.LimitEndNote))
			}
		})
	}
}

// Guards against an upstream that gets no more requests since it spoils a few responses,
// and against one that gets as many as before although it spoils all of them.
func TestFewUnverifiedResponsesDoNotSuspend(t *testing.T) {
	now := time.Now()
	pl := bwforward.NewPool(bwforward.PoolConfig{Zone: "z", Now: func() time.Time { return now }})
	pl.Update([]bwforward.Upstream{{ID: "up", Service: "svc", Zone: "z", Slots: 4}})
	nd := pl.Node("up")
	for range 20 {
		if nd.RecordUnverified() {
			t.Fatal("one unverified response between sound ones counts as a failure")
		}
		nd.RecordResponse(now)
	}
	if nd.RecordUnverified(); !nd.RecordUnverified() {
		t.Error("two unverified responses in a row don't count as a failure")
	}
}
