package bwroute_test

import (
	"testing"
	"time"

	"bilberrywick/core/bwmodel"
	"bilberrywick/core/bwroute"
)

// routerGroup is a set of routers that share upstreams and a clock.
type routerGroup struct {
	now      time.Time
	choosers []*bwroute.Chooser
	inFlight map[bwmodel.UpstreamID][]bwroute.Choice
}

const requestTokens = 100

func newRouterGroup(tb testing.TB, count, upCount, slots int) *routerGroup {
	tb.Helper()
	tb.Logf("seed %d", seed)
	rg := &routerGroup{now: time.Unix(0, 0), inFlight: map[bwmodel.UpstreamID][]bwroute.Choice{}}
	for idx := range count {
		chs, err := bwroute.New(bwroute.Config{
			Service: service, Zone: "Brezno", Now: func() time.Time { return rg.now }, Seed: uint64(seed + idx),
		})
		if err != nil {
			tb.Fatal(err)
		}
		chs.Update(upstreams(upCount, slots))
		rg.choosers = append(rg.choosers, chs)
	}
	rg.observeLoads(upCount, 0)
	return rg
}

// observeLoads sends the load of each upstream to every router, in reports of the
// given age.
func (rg *routerGroup) observeLoads(upCount int, lag time.Duration) {
	for idx := range upCount {
		st := connected(name(idx))
		st.Load.Age = lag
		st.Load.QueuedTokens = requestTokens * len(rg.inFlight[name(idx)])
		for _, chs := range rg.choosers {
			chs.Observe(st)
		}
	}
	rg.refresh()
}

// refresh calls Refresh of each router, as its control goroutine does several times
// per second.
func (rg *routerGroup) refresh() {
	for _, chs := range rg.choosers {
		chs.Refresh()
	}
}

// send sends requests through the routers in turn and returns the number of requests
// to each upstream.
func (rg *routerGroup) send(tb testing.TB, count int) map[bwmodel.UpstreamID]int {
	tb.Helper()
	got := map[bwmodel.UpstreamID]int{}
	for cnt := range count {
		chc, _, err := rg.choosers[cnt%len(rg.choosers)].Choose(request(requestTokens))
		if err != nil {
			tb.Fatal(err)
		}
		got[chc.Upstream.Name]++
		rg.inFlight[chc.Upstream.Name] = append(rg.inFlight[chc.Upstream.Name], chc)
	}
	return got
}

// Guards against a thundering herd: ten routers that receive the same stale report of
// an idle upstream all send their requests there until the next report.
func TestStaleReportCausesNoHerd(t *testing.T) {
	rg := newRouterGroup(t, 10, 20, 128)
	rg.send(t, 1200)
	for _, chc := range rg.inFlight["u3"] {
		chc.Finish(bwroute.Outcome{Canceled: true})
	}
	perUpstream := len(rg.inFlight["u4"])
	rg.inFlight["u3"] = nil
	for range 30 {
		rg.now = rg.now.Add(200 * time.Millisecond)
		rg.refresh()
	}
	rg.observeLoads(20, 5*time.Second)
	got := rg.send(t, 400)
	fair := perUpstream + (400-perUpstream)/20
	if got["u3"] < perUpstream/2 || got["u3"] > fair*3/2 {
		t.Fatalf("the idle upstream received %d of 400 requests, %d would level it with the others", got["u3"], fair)
	}
}

// Guards against routers that all choose the same upstream before the first load
// reports.
func TestFirstChoicesSpread(t *testing.T) {
	rg := newRouterGroup(t, 20, 20, 16)
	got := rg.send(t, 20)
	for up, cnt := range got {
		if cnt > 6 {
			t.Fatalf("%s received %d of the first 20 requests, want at most 6", up, cnt)
		}
	}
}
