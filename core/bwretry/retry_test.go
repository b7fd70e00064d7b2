package bwretry_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"bilberrywick/core/bwretry"
)

// Guards against retries that exceed their share of the requests, for random
// orders of requests and retries.
func TestBudgetShare(t *testing.T) {
	const seed = 1
	params := gopter.DefaultTestParametersWithSeed(seed)
	props := gopter.NewProperties(params)
	props.Property("extra requests stay within 5%", prop.ForAll(func(ops []bool) bool {
		bud := bwretry.NewBudget(bwretry.BudgetConfig{})
		requests, extra := 0, 0
		for _, request := range ops {
			if request {
				bud.CountRequest()
				requests++
			} else if bud.Allow() {
				extra++
			}
			if float64(extra) > 0.05*float64(requests) {
				return false
			}
		}
		return true
	}, gen.SliceOfN(2000, gen.Weighted([]gen.WeightedGen{{Weight: 9, Gen: gen.Const(true)}, {Weight: 1, Gen: gen.Const(false)}}))))
	t.Logf("seed %d", seed)
	props.TestingRun(t)
}

// Guards against a budget that accumulates without limit and allows a burst of
// retries, and against an extra request that is lost although it was not sent, as
// when a hedge finds no second upstream.
func TestBudgetBurst(t *testing.T) {
	bud := bwretry.NewBudget(bwretry.BudgetConfig{Burst: 3})
	for range 10_000 {
		bud.CountRequest()
	}
	taken := 0
	for bud.Allow() {
		taken++
	}
	if taken != 3 {
		t.Errorf("%d extra requests allowed at once, want 3", taken)
	}
	bud.Refund()
	if !bud.Allow() {
		t.Error("a refunded extra request is not allowed")
	}
}

// Guards against a hedge that is sent at once or never, or whose delay depends on
// latencies older than two periods.
func TestHedgeDelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		hdg := bwretry.NewHedge(bwretry.HedgeConfig{Now: time.Now, Period: 10 * time.Second})
		if _, ok := hdg.Delay(); ok {
			t.Error("hedges without latencies")
		}
		for ix := range 400 {
			hdg.Observe(time.Duration(ix%100+1) * time.Millisecond)
		}
		if delay, ok := hdg.Delay(); !ok || delay < 95*time.Millisecond || delay > 108*time.Millisecond {
			t.Errorf("delay %v, want the p95 of 95 ms and at most 12.5%% more", delay)
		}
		for range 2 {
			time.Sleep(10 * time.Second)
			for range 32 {
				hdg.Observe(time.Millisecond)
			}
		}
		if delay, ok := hdg.Delay(); !ok || delay > 2*time.Millisecond {
			t.Errorf("delay %v after two periods with latencies of 1 ms, want at most 2 ms", delay)
		}
	})
}

// Guards against a baseline that hedges requests.
func TestNeverHedge(t *testing.T) {
	hdg := bwretry.NewHedge(bwretry.HedgeConfig{Now: time.Now, Policy: bwretry.NeverHedge})
	for range 100 {
		hdg.Observe(time.Second)
	}
	if _, ok := hdg.Delay(); ok {
		t.Error("NeverHedge hedges")
	}
}
