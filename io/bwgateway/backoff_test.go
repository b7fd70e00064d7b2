package bwgateway_test

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"bilberrywick/core/bwforward"
	"bilberrywick/core/bwmodel"
)

// Guards against requests that reach an upstream in the time for which it wants none,
// while another one takes them and when there is none, plain ones and streams; and
// against callers that are told to come back before that time has passed.
func TestUpstreamThatWantsNoRequestsGetsNone(t *testing.T) {
	const backOff = 700 * time.Millisecond
	refuse := func(att *attempt) {
		att.respond("503 Service Unavailable", "", notRunHeader+": 1", retryHeader+": "+strconv.FormatFloat(backOff.Seconds(), 'f', -1, 64))
	}
	answer := func(att *attempt) { att.respond("200 OK", "done") }
	tests := []struct {
		name, path string
		scripts    []func(*attempt)
		want       int
	}{
		{"plain, beside a sound one", "/action/x", []func(*attempt){refuse, answer}, http.StatusOK},
		{"stream, beside a sound one", "/stream/x", []func(*attempt){refuse, sendRemaining}, http.StatusOK},
		{"plain, alone", "/action/x", []func(*attempt){refuse}, http.StatusServiceUnavailable},
		{"stream, alone", "/stream/x", []func(*attempt){refuse}, http.StatusServiceUnavailable},
	}
	for _, tst := range tests {
		t.Run(tst.name, func(t *testing.T) {
			var engs []*fakeEngine
			for ix, script := range tst.scripts {
				engs = append(engs, newFakeEngine(t, bwmodel.UpstreamID("e"+strconv.Itoa(ix+1)), script))
			}
			tg := newGateway(t, engs)
			startedAt := time.Now()
			for range 10 {
				got := tg.do(http.MethodPost, tst.path, "body")
				left := backOff - time.Since(startedAt)
				after, _ := strconv.ParseFloat(got.header.Get(retryHeader), 64)
				if got.status != tst.want || tst.want != http.StatusOK && after < left.Seconds() {
					t.Errorf("status %d, retry after %v s; %v are left", got.status, after, left)
				}
			}
			if got := engs[0].count(); got != 1 {
				t.Errorf("%d requests reached the upstream that wants none, want 1", got)
			}
			time.Sleep(backOff)
			tg.do(http.MethodPost, tst.path, "body")
			if got := engs[0].count(); got < 2 {
				t.Error("no request reached the upstream after its time")
			}
		})
	}
}

// Guards against an earlier and shorter time that ends a longer one.
func TestBackOffIsNotShortened(t *testing.T) {
	pl := bwforward.NewPool(bwforward.PoolConfig{Zone: "z"})
	pl.Update([]bwforward.Upstream{{ID: "up", Service: "svc", Zone: "z"}})
	now := time.Now()
	pl.Node("up").RecordBackOff(time.Minute, now)
	pl.Node("up").RecordBackOff(time.Second, now)
	if until, ok := pl.BlockedUntil("svc"); !ok || until.Sub(now) < time.Minute-time.Millisecond {
		t.Errorf("the upstream wants no requests until %v, want a minute", until.Sub(now))
	}
}
