package bwroute_test

import (
	"testing"
	"testing/synctest"
	"time"

	"bilberrywick/core/bwroute"
)

// Guards against a limit that does not fall when requests queue in the upstream, that
// falls without a queue, or that never grows again. At the lowest gradient of 0.5 the
// limit converges to 4, where the growth by its square root equals half of it.
func TestLimitFollowsLatency(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		chs := newChooser(t, bwroute.LeastCost(), 1, 64)
		sendRounds := func(count int, took time.Duration) int {
			for range count {
				var open []bwroute.Choice
				for {
					chc, _, err := chs.Choose(request(10))
					if err != nil {
						break
					}
					open = append(open, chc)
				}
				time.Sleep(took)
				for _, chc := range open {
					chc.Finish(bwroute.Outcome{FirstToken: took, Elapsed: took, Tokens: 10})
				}
				chs.Refresh()
			}
			return chs.UpstreamViews()[0].Limit
		}
		if lim := sendRounds(20, 50*time.Millisecond); lim != 64 {
			t.Fatalf("limit %d at a steady latency, want 64", lim)
		}
		if lim := sendRounds(20, 90*time.Millisecond); lim != 64 {
			t.Fatalf("limit %d at a latency within the tolerance, want 64", lim)
		}
		// Each step stays below the ratio from which an upstream is suspended.
		for _, took := range []time.Duration{130, 300, 700, 1500} {
			sendRounds(2, took*time.Millisecond)
		}
		if lim := sendRounds(10, 1500*time.Millisecond); lim < 3 || lim > 8 {
			t.Fatalf("limit %d at 30 times the latency, want about 4", lim)
		}
		if lim := sendRounds(60, 50*time.Millisecond); lim < 48 {
			t.Fatalf("limit %d after the latency is back, want at least 48", lim)
		}
	})
}
