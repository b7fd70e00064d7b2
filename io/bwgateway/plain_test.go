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

func well(vst *visit) { vst.answer("200 OK", "whole", "Signature: s1") }

// Guards against a request that is sent again although it may have run, against
// one that is not sent again although that is allowed, and against a refusal
// that says "not run" of one that may have run.
func TestPlainOutcomes(t *testing.T) {
	refuse := func(vst *visit) { vst.answer("503 Service Unavailable", "", notRunHeader+": 1") }
	cut := func(vst *visit) {
		vst.head("200 OK", "Content-Length: 100")
		vst.send("half")
	}
	tests := []struct {
		name   string
		first  func(*visit)
		action bool
		status int
		// again says that the second engine has got the request.
		again bool
	}{
		{"lookup: reset", (*visit).reset, false, 200, true},
		{"action: reset", (*visit).reset, true, 502, false},
		{"lookup: cut answer", cut, false, 200, true},
		{"action: cut answer", cut, true, 502, false},
		{"lookup: not run", refuse, false, 200, true},
		{"action: not run", refuse, true, 200, true},
		{"lookup: failed", func(vst *visit) { vst.answer("500 Internal Server Error", "oops") }, false, 200, true},
		{"action: failed", func(vst *visit) { vst.answer("500 Internal Server Error", "oops") }, true, 500, false},
		{"lookup: answer to another request", foreign, false, 200, true},
		{"action: answer to another request", foreign, true, 502, false},
		{"lookup: no answer in the protocol", func(vst *visit) { vst.send("garbage\r\n\r\n") }, false, 200, true},
		{"action: without a length, reset", func(vst *visit) {
			vst.head("200 OK")
			vst.send("half")
			time.Sleep(20 * time.Millisecond)
			vst.reset()
		}, true, 502, false},
		{"action: informational response first", func(vst *visit) {
			vst.send("HTTP/1.1 103 Early Hints\r\n\r\n")
			well(vst)
		}, true, 200, false},
		{"action: status that HTTP does not have", func(vst *visit) { vst.answer("000 None", "") }, true, 502, false},
		{"lookup: status that HTTP does not have", func(vst *visit) { vst.answer("700 Much", "") }, false, 200, true},
		{"action: without a length, died", func(vst *visit) {
			vst.head("200 OK")
			vst.send("half")
			vst.die()
		}, true, 502, false},
		{"action: without a length, whole", func(vst *visit) {
			vst.head("200 OK", "Signature: s1")
			vst.send("whole")
		}, true, 200, false},
		{"lookup: silent", func(vst *visit) { <-vst.closed }, false, 200, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			first, second := newEngine(t, "e1", tt.first), newEngine(t, "e2", well)
			tg := newGateway(t, []*engine{first, second})
			path := "/safe/x"
			if tt.action {
				path = "/action/x"
			}
			rsp := tg.do(http.MethodPost, path, "pay")
			if rsp.status != tt.status || rsp.err != nil {
				t.Errorf("status %d and error %v, want %d", rsp.status, rsp.err, tt.status)
			}
			if rsp.status == http.StatusOK && (rsp.body != "whole" || rsp.header.Get("Signature") != "s1") {
				t.Errorf("body %q and signature %q", rsp.body, rsp.header.Get("Signature"))
			}
			if got := second.count() == 1; got != tt.again || first.count() != 1 {
				t.Errorf("second engine has the request: %v, want %v", got, tt.again)
			}
		})
	}
}

func foreign(vst *visit) {
	vst.send("HTTP/1.1 200 OK\r\n" + requestHeader + ": r0\r\nContent-Length: 5\r\n\r\nother")
}

// Guards against an action that no engine took and that is not refused as "not
// run" with a time to come back.
func TestNotRunIsTrue(t *testing.T) {
	refuse := func(vst *visit) { vst.answer("503 Service Unavailable", "", notRunHeader+": 1", "Signature: s1") }
	gone := newEngine(t, "e2", well)
	_ = gone.lis.Close()
	tg := newGateway(t, []*engine{newEngine(t, "e1", refuse), gone})
	rsp := tg.do(http.MethodPost, "/action/x", "pay")
	if rsp.status != http.StatusServiceUnavailable || rsp.header.Get(retryHeader) == "" || rsp.header.Get("Signature") != "" {
		t.Errorf("status %d, headers %v", rsp.status, rsp.header)
	}
}

// Guards against changed requests: path, query, body, or more time than is left.
func TestForwardedUnchanged(t *testing.T) {
	eng := newEngine(t, "e1", well)
	tg := newGateway(t, []*engine{eng})
	rsp := tg.do(http.MethodPost, "/action/a%2Fb//c/../d?q=%20x&q=", "bytes\x00\xff", leftHeader, "700")
	if rsp.status != http.StatusOK {
		t.Fatalf("status %d: %v", rsp.status, rsp.err)
	}
	vst := eng.first()
	if vst.req.RequestURI != "/action/a%2Fb//c/../d?q=%20x&q=" || vst.body != "bytes\x00\xff" || vst.req.Method != http.MethodPost {
		t.Errorf("engine got %s %q with body %q", vst.req.Method, vst.req.RequestURI, vst.body)
	}
	if left, _ := strconv.Atoi(vst.req.Header.Get(leftHeader)); left > 700 || left < 500 {
		t.Errorf("engine was given %d ms of 700", left)
	}
}

// Guards against answers that wait behind a body which the engine does not read.
func TestEarlyAnswer(t *testing.T) {
	done := make(chan struct{})
	defer close(done)
	eng := newEngine(t, "e1", func(vst *visit) {
		vst.answer("413 Request Entity Too Large", "long")
		<-done
	})
	tg := newGateway(t, []*engine{eng}, func(_ *bwgateway.Config, cfg *bwforward.RoutingTableConfig) {
		cfg.Limits.Body = 64 << 20
		cfg.Routes[1].Timeout = time.Minute
	})
	// More than the buffers of a connection hold.
	rsp := tg.do(http.MethodPost, "/action/unread", strings.Repeat("x", 16<<20), leftHeader, "20000")
	if rsp.status != http.StatusRequestEntityTooLarge || rsp.body != "long" {
		t.Errorf("status %d, body %q, error %v", rsp.status, rsp.body, rsp.err)
	}
}

// Guards against wrong refusals, and against work for requests that are not allowed.
func TestRefusals(t *testing.T) {
	eng := newEngine(t, "e1", well)
	noTable := func(cfg *bwgateway.Config, _ *bwforward.RoutingTableConfig) {
		cfg.Table = func() *bwforward.RoutingTable { return nil }
	}
	// The caller waits for 3 s.
	finish := func(gw *bwgateway.Gateway) { gw.SetStopTime(time.Now().Add(2 * time.Second)) }
	tests := []struct {
		name, path, key, body string
		opt                   gatewayOption
		prepare               func(*bwgateway.Gateway)
		status                int
	}{
		{name: "no route", path: "/none/x", key: "k1", status: 404},
		{name: "unknown key", path: "/safe/x", key: "k9", status: 401},
		{name: "no state", path: "/safe/x", key: "k1", opt: noTable, status: 503},
		{name: "stopping too soon", path: "/safe/x", key: "k1", prepare: finish, status: 503},

		{name: "too long", path: "/action/x", key: "k1", body: strings.Repeat("x", 2<<20), status: 413},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var opts []gatewayOption
			if tt.opt != nil {
				opts = append(opts, tt.opt)
			}
			tg := newGateway(t, []*engine{eng}, opts...)
			if tt.prepare != nil {
				tt.prepare(tg.gw)
			}
			rsp := tg.do(http.MethodPost, tt.path, tt.body, "Key", tt.key)
			if rsp.status != tt.status {
				t.Errorf("status %d and error %v, want %d", rsp.status, rsp.err, tt.status)
			}
			if tt.status == http.StatusServiceUnavailable && rsp.header.Get(retryHeader) == "" {
				t.Error("no time to come back")
			}
		})
	}
	if eng.count() > 0 {
		t.Errorf("engine got %d refused requests", eng.count())
	}
}

// Guards against engines that go on working for a caller who has left.
func TestCallerLeaves(t *testing.T) {
	for _, path := range []string{"/action/x", "/safe/x", "/stream/x"} {
		t.Run(path, func(t *testing.T) {
			begun := make(chan *visit, 2)
			eng := newEngine(t, "e1", func(vst *visit) {
				begun <- vst
				<-vst.closed
			})
			tg := newGateway(t, []*engine{eng})
			ctx, cancel := context.WithCancel(t.Context())
			left := &leaver{begun: begun, cancel: cancel, visits: make(chan *visit, 1)}
			go left.run()
			tg.doContext(ctx, http.MethodGet, path, "")
			select {
			case <-(<-left.visits).closed:
			case <-time.After(500 * time.Millisecond):
				t.Error("engine still works half a second after the caller has left")
			}
		})
	}
}

// leaver lets a caller leave once its request is at an engine.
type leaver struct {
	begun  chan *visit
	visits chan *visit
	cancel context.CancelFunc
}

func (lv *leaver) run() {
	vst := <-lv.begun
	lv.visits <- vst
	lv.cancel()
}

// Guards against a caller that is held past its own time or its route's.
func TestFinalAnswerInTime(t *testing.T) {
	silent := func(vst *visit) { <-vst.closed }
	for _, path := range []string{"/action/x", "/safe/x"} {
		t.Run(path, func(t *testing.T) {
			tg := newGateway(t, []*engine{newEngine(t, "e1", silent), newEngine(t, "e2", silent)})
			begun := time.Now()
			rsp := tg.do(http.MethodGet, path, "", leftHeader, "300")
			if rsp.status != http.StatusGatewayTimeout || time.Since(begun) > 600*time.Millisecond {
				t.Errorf("status %d after %v, want 504 within 300 ms", rsp.status, time.Since(begun))
			}
		})
	}
}
