package bwroute_test

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"bilberrywick/core/bwmodel"
	"bilberrywick/core/bwroute"
)

// answer returns an outcome of a request that took a time.
func answer(took time.Duration) bwroute.Outcome {
	return bwroute.Outcome{FirstToken: took, Elapsed: took, Tokens: 1}
}

// run sends requests one every 2 ms, each answered by latency, and returns how
// many went to each upstream.
func run(t *testing.T, chs *bwroute.Chooser, count int, latency func(up bwmodel.UpstreamID) time.Duration) map[bwmodel.UpstreamID]int {
	t.Helper()
	shares := map[bwmodel.UpstreamID]int{}
	for cnt := range count {
		time.Sleep(2 * time.Millisecond)
		if cnt%50 == 0 {
			chs.Refresh()
		}
		chc, _, err := chs.Choose(request(1))
		var busy *bwroute.AllAtLimitError
		if errors.As(err, &busy) {
			continue
		}
		if err != nil {
			t.Fatal(err)
		}
		shares[chc.Upstream.Name]++
		took := latency(chc.Upstream.Name)
		time.AfterFunc(took, func() { chc.Finish(answer(took)) })
	}
	return shares
}

func usual(bwmodel.UpstreamID) time.Duration { return 20 * time.Millisecond }

// slowed is the latency while u1 is ten times slower than usual.
func slowed(up bwmodel.UpstreamID) time.Duration {
	if up == "u1" {
		return 200 * time.Millisecond
	}
	return usual(up)
}

// Guards against a slow upstream that keeps getting its share although its load
// report is unchanged, against probes in more than 1% of requests, and against
// an upstream that is never used again after it has recovered.
func TestSlowUpstreamLosesItsShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		chs := newChooser(t, bwroute.LeastCost(), 3, 16)
		before := run(t, chs, 1500, usual)
		if before["u1"] < 200 {
			t.Fatalf("shares before %v", before)
		}
		run(t, chs, 500, slowed)
		during := run(t, chs, 5000, slowed)
		if during["u1"] > 50 {
			t.Fatalf("the slow upstream got %d of 5000 requests", during["u1"])
		}
		run(t, chs, 10000, usual)
		after := run(t, chs, 3000, usual)
		if after["u1"] < 600 {
			t.Fatalf("shares after recovery %v", after)
		}
	})
}

// Guards against the same for the baseline, which shows that the test above
// measures the mechanism.
func TestRoundRobinKeepsSlowUpstream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		chs := newChooser(t, bwroute.RoundRobin(), 3, 256)
		shares := run(t, chs, 3000, slowed)
		if shares["u1"] < 900 {
			t.Fatalf("shares %v", shares)
		}
	})
}

// Guards against a stampede: all waiting work sent to an upstream at the moment
// its pause ends, or as soon as one probe has been answered.
func TestProbesOneAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		chs := newChooser(t, bwroute.LeastCost(), 3, 64)
		run(t, chs, 1000, usual)
		run(t, chs, 1000, slowed)
		time.Sleep(time.Minute)
		toSlow := 0
		var probe bwroute.Choice
		for range 100 {
			chc, _, err := chs.Choose(request(1))
			if err != nil {
				t.Fatal(err)
			}
			if chc.Upstream.Name == "u1" {
				toSlow++
				probe = chc
			}
		}
		if toSlow != 1 || !probe.Probe {
			t.Fatalf("%d requests went to the suspended upstream at once", toSlow)
		}
		for range 2 {
			probe.Finish(answer(20 * time.Millisecond))
			probe, _, _ = chs.Choose(request(1))
		}
		toSlow = 0
		for range 80 {
			if chc, _, err := chs.Choose(request(1)); err == nil && chc.Upstream.Name == "u1" {
				toSlow++
			}
		}
		if toSlow == 0 || toSlow > 3 {
			t.Fatalf("%d requests went to the upstream that had just recovered", toSlow)
		}
	})
}

// Guards against work that has lost an engine already and is used to try
// another one that has been slow.
func TestNoProbe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		chs := newChooser(t, bwroute.LeastCost(), 3, 64)
		run(t, chs, 1000, usual)
		run(t, chs, 1000, slowed)
		time.Sleep(time.Minute)
		for range 100 {
			req := request(1)
			req.NoProbe = true
			if chc, _, err := chs.Choose(req); err != nil || chc.Upstream.Name == "u1" {
				t.Fatalf("chose %q, error %v, although u1 is suspended", chc.Upstream.Name, err)
			}
		}
	})
}

// Guards against work refused because the only upstreams are slow.
func TestAllSlowStillServes(t *testing.T) {
	chs := newChooser(t, bwroute.LeastCost(), 2, 8)
	for range 20 {
		chc, _, err := chs.Choose(request(1))
		if err != nil {
			t.Fatal(err)
		}
		chc.Finish(bwroute.Outcome{Failed: true})
	}
	if _, dec, err := chs.Choose(request(1)); err != nil || dec.Reason != bwroute.ReasonAllSuspended {
		t.Fatalf("got %v, %v", dec.Reason, err)
	}
}
