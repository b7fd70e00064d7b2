package bwroute_test

import (
	"testing"
	"time"

	"bilberrywick/core/bwmodel"
	"bilberrywick/core/bwroute"
)

// routers is a set of routers before the same upstreams, on one clock.
type routers struct {
	now      time.Time
	choosers []*bwroute.Chooser
	held     map[bwmodel.UpstreamID][]bwroute.Choice
}

const requestTokens = 100

func newRouters(tb testing.TB, count, upCount, slots int) *routers {
	tb.Helper()
	tb.Logf("seed %d", seed)
	rts := &routers{now: time.Unix(0, 0), held: map[bwmodel.UpstreamID][]bwroute.Choice{}}
	for idx := range count {
		chs, err := bwroute.New(bwroute.Config{
			Service: service, Zone: "Brezno", Now: func() time.Time { return rts.now }, Seed: uint64(seed + idx),
		})
		if err != nil {
			tb.Fatal(err)
		}
		chs.Update(upstreams(upCount, slots))
		rts.choosers = append(rts.choosers, chs)
	}
	rts.report(upCount, 0)
	return rts
}

// report tells every router each upstream's true load, as measured a lag ago.
func (rts *routers) report(upCount int, lag time.Duration) {
	for idx := range upCount {
		st := connected(name(idx))
		st.Load.Age = lag
		st.Load.QueuedTokens = requestTokens * len(rts.held[name(idx)])
		for _, chs := range rts.choosers {
			chs.Observe(st)
		}
	}
	rts.refresh()
}

// refresh does what each router's control goroutine does several times a second.
func (rts *routers) refresh() {
	for _, chs := range rts.choosers {
		chs.Refresh()
	}
}

// send lets the routers choose in turn and returns the choices by upstream.
func (rts *routers) send(tb testing.TB, count int) map[bwmodel.UpstreamID]int {
	tb.Helper()
	got := map[bwmodel.UpstreamID]int{}
	for cnt := range count {
		chc, _, err := rts.choosers[cnt%len(rts.choosers)].Choose(request(requestTokens))
		if err != nil {
			tb.Fatal(err)
		}
		got[chc.Upstream.Name]++
		rts.held[chc.Upstream.Name] = append(rts.held[chc.Upstream.Name], chc)
	}
	return got
}

// Guards against herd behaviour: ten routers that see in the same stale report
// that one upstream is empty all fill it until the next report.
func TestStaleReportDrawsNoHerd(t *testing.T) {
	rts := newRouters(t, 10, 20, 128)
	rts.send(t, 1200)
	for _, chc := range rts.held["u3"] {
		chc.Finish(bwroute.Outcome{Canceled: true})
	}
	filled := len(rts.held["u4"])
	rts.held["u3"] = nil
	for range 30 {
		rts.now = rts.now.Add(200 * time.Millisecond)
		rts.refresh()
	}
	rts.report(20, 5*time.Second)
	got := rts.send(t, 400)
	fair := filled + (400-filled)/20
	if got["u3"] < filled/2 || got["u3"] > fair*3/2 {
		t.Fatalf("the empty upstream got %d of 400 requests, %d would level it", got["u3"], fair)
	}
}

// Guards against routers that choose alike when they know nothing yet.
func TestFirstChoicesSpread(t *testing.T) {
	rts := newRouters(t, 20, 20, 16)
	got := rts.send(t, 20)
	for up, cnt := range got {
		if cnt > 6 {
			t.Fatalf("%s got %d of 20 first requests", up, cnt)
		}
	}
}
