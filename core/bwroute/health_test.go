package bwroute_test

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"bilberrywick/core/bwmodel"
	"bilberrywick/core/bwroute"
)

// answeredAfter returns the outcome of a request that was answered after the given
// time.
func answeredAfter(took time.Duration) bwroute.Outcome {
	return bwroute.Outcome{FirstToken: took, Elapsed: took, Tokens: 1}
}

// sendRequests sends a request every 2 ms, answers each after its upstream's latency,
// and returns the number of requests to each upstream.
func sendRequests(t *testing.T, chs *bwroute.Chooser, count int, latency func(up bwmodel.UpstreamID) time.Duration) map[bwmodel.UpstreamID]int {
	t.Helper()
	shares := map[bwmodel.UpstreamID]int{}
	for cnt := range count {
		time.Sleep(2 * time.Millisecond)
		if cnt%50 == 0 {
			chs.Refresh()
		}
		chc, _, err := chs.Choose(request(1))
		var atLimit *bwroute.AllAtLimitError
		if errors.As(err, &atLimit) {
			continue
		}
		if err != nil {
			t.Fatal(err)
		}
		shares[chc.Upstream.Name]++
		took := latency(chc.Upstream.Name)
		time.AfterFunc(took, func() { chc.Finish(answeredAfter(took)) })
	}
	return shares
}

func normalLatency(bwmodel.UpstreamID) time.Duration { return 20 * time.Millisecond }

// slowLatency returns the latency while u1 is ten times slower than normal.
func slowLatency(up bwmodel.UpstreamID) time.Duration {
	if up == "u1" {
		return 200 * time.Millisecond
	}
	return normalLatency(up)
}

// Guards against a slow upstream that keeps its share of the requests because its
// load report is unchanged, against probes in more than 1% of the requests, and
// against a recovered upstream that is never used again.
func TestSlowUpstreamLosesItsShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		chs := newChooser(t, bwroute.LeastCost(), 3, 16)
		before := sendRequests(t, chs, 1500, normalLatency)
		if before["u1"] < 200 {
			t.Fatalf("requests before the slowdown: %v, want at least 200 to u1", before)
		}
		sendRequests(t, chs, 500, slowLatency)
		during := sendRequests(t, chs, 5000, slowLatency)
		if during["u1"] > 50 {
			t.Fatalf("the slow upstream received %d of 5000 requests, want at most 50", during["u1"])
		}
		sendRequests(t, chs, 10000, normalLatency)
		after := sendRequests(t, chs, 3000, normalLatency)
		if after["u1"] < 600 {
			t.Fatalf("requests after the recovery: %v, want at least 600 to u1", after)
		}
	})
}

// Shows that TestSlowUpstreamLosesItsShare detects the fault: under the baseline the
// slow upstream keeps its share.
func TestRoundRobinKeepsSlowUpstream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		chs := newChooser(t, bwroute.RoundRobin(), 3, 256)
		shares := sendRequests(t, chs, 3000, slowLatency)
		if shares["u1"] < 900 {
			t.Fatalf("requests %v, want at least 900 to u1", shares)
		}
	})
}

// Guards against a burst of requests to a suspended upstream when its probe delay
// ends or when one probe has been answered.
func TestProbesOneAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		chs := newChooser(t, bwroute.LeastCost(), 3, 64)
		sendRequests(t, chs, 1000, normalLatency)
		sendRequests(t, chs, 1000, slowLatency)
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
			t.Fatalf("%d requests went to the suspended upstream at once, want one probe", toSlow)
		}
		for range 2 {
			probe.Finish(answeredAfter(20 * time.Millisecond))
			probe, _, _ = chs.Choose(request(1))
		}
		toSlow = 0
		for range 80 {
			if chc, _, err := chs.Choose(request(1)); err == nil && chc.Upstream.Name == "u1" {
				toSlow++
			}
		}
		if toSlow == 0 || toSlow > 3 {
			t.Fatalf("%d requests went to the upstream that had just recovered, want 1 to 3", toSlow)
		}
	})
}

// Guards against a probe with a request that has already lost an upstream.
func TestNoProbe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		chs := newChooser(t, bwroute.LeastCost(), 3, 64)
		sendRequests(t, chs, 1000, normalLatency)
		sendRequests(t, chs, 1000, slowLatency)
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

// Guards against requests that are refused because all upstreams are suspended.
func TestAllSuspendedStillServes(t *testing.T) {
	chs := newChooser(t, bwroute.LeastCost(), 2, 8)
	for range 20 {
		chc, _, err := chs.Choose(request(1))
		if err != nil {
			t.Fatal(err)
		}
		chc.Finish(bwroute.Outcome{Failed: true})
	}
	if _, dec, err := chs.Choose(request(1)); err != nil || dec.Reason != bwroute.ReasonAllSuspended {
		t.Fatalf("got reason %v, error %v, want a choice because all are suspended", dec.Reason, err)
	}
}
