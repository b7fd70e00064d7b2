package bwgateway_test

import (
	"net/http"
	"strings"
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
var unverifiedResponses = []scriptedResponse{
	{name: "no request and no signature", send: sendLines("200 OK")},
	{name: "no signature", send: sendLines("200 OK", requestHeader+": r1", "Content-Length: 4")},
	{name: "created, no signature", send: sendLines("201 Created", requestHeader+": r1", "Content-Length: 4")},
	{name: "no request", send: sendLines("200 OK", signatureHeader+": s1", "Content-Length: 4")},
	{name: "other request", send: sendLines("200 OK", requestHeader+": r0", signatureHeader+": s1", "Content-Length: 4")},
	{name: "success, not run", send: sendLines("200 OK", requestHeader+": r1", signatureHeader+": s1", notRunHeader+": 1", "Content-Length: 4")},
	{name: "failure of no request", send: sendLines("500 Internal Server Error", "Content-Length: 4")},
	{name: "refusal without a promise", send: sendLines("503 Service Unavailable", "Content-Length: 4")},
	{name: "misdirected by nobody", send: sendLines("421 Misdirected Request", requestHeader+": r1", "Content-Length: 4")},
	{name: "events without a signature", send: func(att *attempt) {
		att.send("HTTP/1.1 200 OK\r\n" + requestHeader + ": r1\r\nTransfer-Encoding: chunked\r\n\r\n")
		att.event(1)
		att.endStream()
	}},
}

// Guards against unverified responses that reach a caller, against actions that are run
// again or reported as not run after one, and against lookups and streams that are not
// sent to another upstream.
func TestUnverifiedResponses(t *testing.T) {
	checkRejected(t, rejectionCases, unverifiedResponses)
}

// Guards against an unverified response in the middle of a stream that is joined to the
// events before it.
func TestUnverifiedResponseToResumedStream(t *testing.T) {
	checkRejected(t, resumedRejection, unverifiedResponses)
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
