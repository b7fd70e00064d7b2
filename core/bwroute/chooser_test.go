package bwroute_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"bilberrywick/core/bwmodel"
	"bilberrywick/core/bwroute"
)

const (
	service = bwmodel.ServiceID("pisar-model")
	seed    = 7041
)

// newChooser returns a chooser whose upstreams u0, u1, ... are connected.
func newChooser(tb testing.TB, pol bwroute.Policy, count, slots int) *bwroute.Chooser {
	tb.Helper()
	tb.Logf("seed %d", seed)
	chs, err := bwroute.New(bwroute.Config{
		Service: service, Zone: "Brezno", Now: time.Now, Policy: pol, Seed: seed,
	})
	if err != nil {
		tb.Fatal(err)
	}
	chs.Update(upstreams(count, slots))
	for idx := range count {
		chs.Observe(connected(name(idx)))
	}
	return chs
}

func upstreams(count, slots int) []bwmodel.Upstream {
	zones := []bwmodel.ZoneID{"Brezno", "Zvolen", "Polomka"}
	ups := make([]bwmodel.Upstream, count)
	for idx := range ups {
		ups[idx] = bwmodel.Upstream{
			Name: name(idx), Service: service, Zone: zones[idx%len(zones)], Slots: slots,
		}
	}
	return ups
}

func name(idx int) bwmodel.UpstreamID { return bwmodel.UpstreamID(fmt.Sprintf("u%d", idx)) }

func connected(up bwmodel.UpstreamID) bwroute.UpstreamStatus {
	return bwroute.UpstreamStatus{
		Upstream: up, Connected: true,
		Load: bwmodel.LoadReport{Models: []string{"m"}, TokenRate: 50},
	}
}

func request(tokens int) bwroute.Request {
	return bwroute.Request{Service: service, Model: "m", Tokens: tokens}
}

func policies() []bwroute.Policy {
	return []bwroute.Policy{bwroute.LeastCost(), bwroute.RoundRobin(), bwroute.LeastConnections()}
}

// Guards against requests to an upstream that is leaving, draining, down, not
// connected, without the model, or excluded.
func TestChooseSkipsUnusable(t *testing.T) {
	for _, pol := range policies() {
		t.Run(pol.Name, func(t *testing.T) {
			chs := newChooser(t, pol, 8, 64)
			ups := upstreams(8, 64)
			ups[0].Draining = true
			chs.Update(ups)
			leaving, closed, down, other := connected("u1"), connected("u2"), connected("u3"), connected("u4")
			leaving.Leaving = true
			closed.Connected = false
			down.Load.UpstreamIsDown = true
			other.Load.Models = []string{"n"}
			for _, st := range []bwroute.UpstreamStatus{leaving, closed, down, other} {
				chs.Observe(st)
			}
			req := request(10)
			req.Exclude = []bwmodel.UpstreamID{"u5"}
			for range 100 {
				chc, _, err := chs.Choose(req)
				if err != nil {
					t.Fatal(err)
				}
				if chc.Upstream.Name != "u6" && chc.Upstream.Name != "u7" {
					t.Fatalf("chose %s, want u6 or u7", chc.Upstream.Name)
				}
			}
		})
	}
}

// Guards against the error for no usable upstream when all are at their limit, and
// the reverse.
func TestChooseErrors(t *testing.T) {
	chs := newChooser(t, bwroute.LeastCost(), 2, 1)
	for range 2 {
		if _, _, err := chs.Choose(request(1)); err != nil {
			t.Fatal(err)
		}
	}
	var atLimit *bwroute.AllAtLimitError
	if _, _, err := chs.Choose(request(1)); !errors.As(err, &atLimit) || atLimit.AtLimit != 2 {
		t.Fatalf("got %v, want AllAtLimitError with 2 at their limit", err)
	}
	req := request(1)
	req.Model = "missing"
	var noUpstream *bwroute.NoUpstreamError
	if _, _, err := chs.Choose(req); !errors.As(err, &noUpstream) {
		t.Fatalf("got %v, want NoUpstreamError", err)
	}
}

// Guards against a ChooseWait call that does not return when Finish frees a slot.
func TestChooseWaitReturnsOnFinish(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		chs := newChooser(t, bwroute.LeastCost(), 1, 1)
		first, _, err := chs.Choose(request(1))
		if err != nil {
			t.Fatal(err)
		}
		time.AfterFunc(time.Second, func() { first.Finish(bwroute.Outcome{Refused: true}) })
		start := time.Now()
		if _, _, err := chs.ChooseWait(context.Background(), request(1)); err != nil {
			t.Fatal(err)
		}
		if got := time.Since(start); got != time.Second {
			t.Fatalf("waited %v, want 1s", got)
		}
	})
}

// Guards against counts of requests in flight that drift after failures, refusals,
// cancellations, repeated calls of Finish and replaced snapshots.
func TestCountersReturnToZero(t *testing.T) {
	chs := newChooser(t, bwroute.LeastCost(), 5, 16)
	total, _ := chs.Capacity()
	outs := []bwroute.Outcome{
		{Failed: true},
		{Refused: true},
		{Canceled: true, Elapsed: time.Second},
		{FirstToken: time.Millisecond, Elapsed: 2 * time.Millisecond, Tokens: 3},
	}
	var wg sync.WaitGroup
	for worker := range 8 {
		wg.Go(func() {
			for cnt := range 500 {
				chc, _, err := chs.Choose(request(1 + cnt))
				if err != nil {
					continue
				}
				chc.Finish(outs[(cnt+worker)%len(outs)])
				chc.Finish(bwroute.Outcome{Failed: true})
			}
		})
	}
	for range 200 {
		chs.Update(upstreams(5, 16))
		chs.Refresh()
	}
	wg.Wait()
	if after, free := chs.Capacity(); free != after || after < 1 || after > total {
		t.Fatalf("capacity %d, want 1 to %d; free %d, want all", after, total, free)
	}
}
