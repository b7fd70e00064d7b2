package bwgateway_test

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"bilberrywick/core/bwforward"
	"bilberrywick/io/bwgateway"
)

func respondOK(att *attempt) { att.respond("200 OK", "whole") }

// Guards against retrying a request that may have run, against not retrying
// one although that is allowed, and against reporting a request as not run
// although it may have run.
func TestPlainOutcomes(t *testing.T) {
	refuse := func(att *attempt) { att.respond("503 Service Unavailable", "", notRunHeader+": 1") }
	truncate := func(att *attempt) {
		att.sendHeader("200 OK", "Content-Length: 100")
		att.send("half")
	}
	tests := []struct {
		name   string
		first  func(*attempt)
		action bool
		status int
		// wantSecond means that the second engine receives the request.
		wantSecond bool
	}{
		{"lookup: reset", (*attempt).reset, false, 200, true},
		{"action: reset", (*attempt).reset, true, 502, false},
		{"lookup: truncated response", truncate, false, 200, true},
		{"action: truncated response", truncate, true, 502, false},
		{"lookup: not run", refuse, false, 200, true},
		{"action: not run", refuse, true, 200, true},
		{"lookup: failed", func(att *attempt) { att.respond("500 Internal Server Error", "oops") }, false, 200, true},
		{"action: failed", func(att *attempt) { att.respond("500 Internal Server Error", "oops") }, true, 500, false},
		{"lookup: response to another request", respondMismatched, false, 200, true},
		{"action: response to another request", respondMismatched, true, 502, false},
		{"lookup: malformed response", func(att *attempt) { att.send("garbage\r\n\r\n") }, false, 200, true},
		{"action: without a length, reset", func(att *attempt) {
			att.sendHeader("200 OK")
			att.send("half")
			time.Sleep(20 * time.Millisecond)
			att.reset()
		}, true, 502, false},
		{"action: informational response first", func(att *attempt) {
			att.send("HTTP/1.1 103 Early Hints\r\n\r\n")
			respondOK(att)
		}, true, 200, false},
		{"action: invalid status", func(att *attempt) { att.respond("000 None", "") }, true, 502, false},
		{"lookup: invalid status", func(att *attempt) { att.respond("700 Much", "") }, false, 200, true},
		{"action: without a length, crashed", func(att *attempt) {
			att.sendHeader("200 OK")
			att.send("half")
			att.crash()
		}, true, 502, false},
		{"action: without a length, complete", func(att *attempt) {
			att.sendHeader("200 OK")
			att.send("whole")
		}, true, 200, false},
		{"lookup: silent", func(att *attempt) { <-att.closed }, false, 200, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			first, second := newFakeEngine(t, "e1", tt.first), newFakeEngine(t, "e2", respondOK)
			tg := newGateway(t, []*fakeEngine{first, second})
			path := "/safe/x"
			if tt.action {
				path = "/action/x"
			}
			rsp := tg.do(http.MethodPost, path, "pay")
			if rsp.status != tt.status || rsp.err != nil {
				t.Errorf("status %d and error %v, want %d", rsp.status, rsp.err, tt.status)
			}
			if rsp.status == http.StatusOK && (rsp.body != "whole" || rsp.header.Get(signatureHeader) != "s1") {
				t.Errorf("body %q and signature %q", rsp.body, rsp.header.Get(signatureHeader))
			}
			if got := second.count() == 1; got != tt.wantSecond || first.count() != 1 {
				t.Errorf("second engine received the request: %v, want %v", got, tt.wantSecond)
			}
		})
	}
}

// Guards against a caller who is told that its request has not run since the upstream
// failed it with such a status, but did not say that it has not run; and against an
// upstream's status and body that are changed otherwise.
func TestFailedRequestIsNotReportedAsNotRun(t *testing.T) {
	statuses := map[string]bool{"408 Request Timeout": true, "429 Too Many Requests": true, "503 Service Unavailable": true, "404 Not Found": false, "500 Internal Server Error": false, "504 Gateway Timeout": false}
	for _, path := range []string{"/safe/x", "/action/x", "/stream/x"} {
		for status, promises := range statuses {
			t.Run(status+path, func(t *testing.T) {
				eng := newFakeEngine(t, "e1", func(att *attempt) { att.respond(status, "failed") })
				tg := newGateway(t, []*fakeEngine{eng}, func(_ *bwgateway.Config, cfg *bwforward.RoutingTableConfig) { cfg.Routes[2].Resumable = false })
				rsp := tg.do(http.MethodPost, path, "body")
				if promises && path != "/safe/x" {
					if rsp.status != http.StatusBadGateway || rsp.header.Get(signatureHeader) != "" {
						t.Errorf("status %d, signature %q; want 502 and none", rsp.status, rsp.header.Get(signatureHeader))
					}
					return
				}
				if want, _ := strconv.Atoi(status[:3]); rsp.status != want || rsp.body != "failed" || rsp.header.Get(signatureHeader) != "s1" {
					t.Errorf("status %d, body %q, signature %q", rsp.status, rsp.body, rsp.header.Get(signatureHeader))
				}
			})
		}
	}
}

func respondMismatched(att *attempt) {
	att.send("HTTP/1.1 200 OK\r\n" + requestHeader + ": r0\r\n" + signatureHeader + ": s1\r\nContent-Length: 5\r\n\r\nother")
}

// Guards against an action that no engine accepted and whose refusal lacks a
// retry time or has an engine's headers.
func TestUnexecutedActionIsRefused(t *testing.T) {
	refuse := func(att *attempt) { att.respond("503 Service Unavailable", "", notRunHeader+": 1") }
	stopped := newFakeEngine(t, "e2", respondOK)
	_ = stopped.lis.Close()
	tg := newGateway(t, []*fakeEngine{newFakeEngine(t, "e1", refuse), stopped})
	rsp := tg.do(http.MethodPost, "/action/x", "pay")
	if rsp.status != http.StatusServiceUnavailable || rsp.header.Get(retryHeader) == "" || rsp.header.Get(signatureHeader) != "" {
		t.Errorf("status %d, headers %v", rsp.status, rsp.header)
	}
}

// Guards against forwarding a changed path, query or body, or a longer timeout
// than the remaining time.
func TestRequestIsForwardedUnchanged(t *testing.T) {
	eng := newFakeEngine(t, "e1", respondOK)
	tg := newGateway(t, []*fakeEngine{eng})
	rsp := tg.do(http.MethodPost, "/action/a%2Fb//c/../d?q=%20x&q=", "bytes\x00\xff", timeoutHeader, "700")
	if rsp.status != http.StatusOK {
		t.Fatalf("status %d: %v", rsp.status, rsp.err)
	}
	att := eng.firstAttempt()
	if att.req.RequestURI != "/action/a%2Fb//c/../d?q=%20x&q=" || att.body != "bytes\x00\xff" || att.req.Method != http.MethodPost {
		t.Errorf("engine got %s %q with body %q", att.req.Method, att.req.RequestURI, att.body)
	}
	if timeout, _ := strconv.Atoi(att.req.Header.Get(timeoutHeader)); timeout > 700 || timeout < 500 {
		t.Errorf("the engine received a timeout of %d ms, want 500 to 700", timeout)
	}
}

// Guards against a response with framing that is delayed or taken for a part because the
// engine does not read the request's body, and against one without framing that is taken
// for a part although the engine has read it.
func TestEarlyResponse(t *testing.T) {
	done := make(chan struct{})
	defer close(done)
	tests := []struct {
		name, path string
		send       func(*attempt)
	}{
		{"length", "/action/unread", func(att *attempt) {
			att.respond("413 Request Entity Too Large", "long")
			<-done
		}},
		{"chunks", "/action/unread", func(att *attempt) {
			att.sendHeader("413 Request Entity Too Large", "Transfer-Encoding: chunked")
			att.chunk("long")
			att.endStream()
			<-done
		}},
		{"end of the connection", "/action/x", func(att *attempt) {
			att.sendHeader("413 Request Entity Too Large")
			att.send("long")
		}},
	}
	for _, tt := range tests {
		tg := newGateway(t, []*fakeEngine{newFakeEngine(t, "e1", tt.send)}, withUploads)
		for range uploadTries {
			rsp := tg.do(http.MethodPost, tt.path, strings.Repeat("x", 16<<20), timeoutHeader, "20000")
			if rsp.status != http.StatusRequestEntityTooLarge || rsp.body != "long" {
				t.Errorf("%s: status %d, body %q, error %v", tt.name, rsp.status, rsp.body, rsp.err)
			}
		}
	}
}

// Guards against refusals with a wrong status, and against forwarding requests
// that must be refused.
func TestRefusals(t *testing.T) {
	eng := newFakeEngine(t, "e1", respondOK)
	noTable := func(cfg *bwgateway.Config, _ *bwforward.RoutingTableConfig) {
		cfg.Table = func() *bwforward.RoutingTable { return nil }
	}
	// The callers' timeout is 3 s.
	stopEarly := func(gw *bwgateway.Gateway) { gw.SetStopTime(time.Now().Add(2 * time.Second)) }
	tests := []struct {
		name, path, key, body string
		opt                   gatewayOption
		prepare               func(*bwgateway.Gateway)
		status                int
	}{
		{name: "no route", path: "/none/x", key: "k1", status: 404},
		{name: "unknown key", path: "/safe/x", key: "k9", status: 401},
		{name: "no state", path: "/safe/x", key: "k1", opt: noTable, status: 503},
		{name: "stop before the deadline", path: "/safe/x", key: "k1", prepare: stopEarly, status: 503},

		{name: "body too long", path: "/action/x", key: "k1", body: strings.Repeat("x", 2<<20), status: 413},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var opts []gatewayOption
			if tt.opt != nil {
				opts = append(opts, tt.opt)
			}
			tg := newGateway(t, []*fakeEngine{eng}, opts...)
			if tt.prepare != nil {
				tt.prepare(tg.gw)
			}
			rsp := tg.do(http.MethodPost, tt.path, tt.body, "Key", tt.key)
			if rsp.status != tt.status {
				t.Errorf("status %d and error %v, want %d", rsp.status, rsp.err, tt.status)
			}
			if tt.status == http.StatusServiceUnavailable && rsp.header.Get(retryHeader) == "" {
				t.Error("the refusal has no retry time")
			}
		})
	}
	if eng.count() > 0 {
		t.Errorf("the engine received %d refused requests", eng.count())
	}
}

// Guards against engines that continue to work after the caller has disconnected.
func TestCallerDisconnects(t *testing.T) {
	for _, path := range []string{"/action/x", "/safe/x", "/stream/x"} {
		t.Run(path, func(t *testing.T) {
			started := make(chan *attempt, 2)
			eng := newFakeEngine(t, "e1", func(att *attempt) {
				started <- att
				<-att.closed
			})
			tg := newGateway(t, []*fakeEngine{eng})
			ctx, cancel := context.WithCancel(t.Context())
			canceller := &requestCanceller{started: started, cancel: cancel, attempts: make(chan *attempt, 1)}
			go canceller.run()
			tg.doContext(ctx, http.MethodGet, path, "")
			select {
			case <-(<-canceller.attempts).closed:
			case <-time.After(500 * time.Millisecond):
				t.Error("the engine still works half a second after the caller disconnected")
			}
		})
	}
}

// requestCanceller cancels a caller's request once an engine has received it.
type requestCanceller struct {
	started  chan *attempt
	attempts chan *attempt
	cancel   context.CancelFunc
}

func (rcn *requestCanceller) run() {
	att := <-rcn.started
	rcn.attempts <- att
	rcn.cancel()
}

// Guards against a response after the timeout of the caller or of the route.
func TestResponseBeforeDeadline(t *testing.T) {
	unresponsive := func(att *attempt) { <-att.closed }
	for _, path := range []string{"/action/x", "/safe/x"} {
		t.Run(path, func(t *testing.T) {
			tg := newGateway(t, []*fakeEngine{newFakeEngine(t, "e1", unresponsive), newFakeEngine(t, "e2", unresponsive)})
			started := time.Now()
			rsp := tg.do(http.MethodGet, path, "", timeoutHeader, "300")
			if rsp.status != http.StatusGatewayTimeout || time.Since(started) > 600*time.Millisecond {
				t.Errorf("status %d after %v, want 504 within 300 ms", rsp.status, time.Since(started))
			}
		})
	}
}
