package bwroute_test

import (
	"testing"
	"testing/synctest"
	"time"

	"bilberrywick/core/bwroute"
)

// Guards against further requests to an upstream that does not respond: its latency is
// measured only when the first token arrives.
func TestUnresponsiveUpstreamIsAvoided(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		chs := newChooser(t, bwroute.LeastCost(), 4, 8)
		for range 40 {
			chc, _, err := chs.Choose(request(10))
			if err != nil {
				t.Fatal(err)
			}
			time.Sleep(50 * time.Millisecond)
			chc.Finish(bwroute.Outcome{FirstToken: 50 * time.Millisecond, Elapsed: 50 * time.Millisecond, Tokens: 10})
		}
		chs.Refresh()
		unresponsive, _, err := chs.Choose(request(10))
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(300 * time.Millisecond)
		for range 10 {
			chc, dec, err := chs.Choose(request(10))
			if err != nil {
				t.Fatal(err)
			}
			if chc.Upstream.Name == unresponsive.Upstream.Name {
				t.Fatalf("chose the unresponsive upstream: %+v", dec)
			}
			time.Sleep(50 * time.Millisecond)
			chc.ReportFirstToken(50 * time.Millisecond)
			chc.Finish(bwroute.Outcome{FirstToken: 50 * time.Millisecond, Elapsed: 50 * time.Millisecond, Tokens: 10})
		}
	})
}

// Guards against routers that each use all slots of an upstream, and shares that leave
// a slot unused by all routers.
func TestRoutersShareSlots(t *testing.T) {
	cases := []struct{ slots, routers, want int }{{4, 1, 4}, {4, 2, 2}, {4, 3, 2}, {4, 9, 1}}
	for _, tc := range cases {
		chs := newChooser(t, bwroute.LeastCost(), 1, tc.slots)
		chs.SetRouterCount(tc.routers)
		chs.Update(upstreams(1, tc.slots))
		taken := 0
		for ; taken < 2*tc.slots; taken++ {
			if _, _, err := chs.Choose(request(1)); err != nil {
				break
			}
		}
		if taken != tc.want {
			t.Errorf("%d slots, %d routers: one router could send %d requests", tc.slots, tc.routers, taken)
		}
		slots, routers := chs.SlotShare()
		if routers != tc.routers || slots != float64(tc.slots)/float64(tc.routers) {
			t.Errorf("%d slots, %d routers: SlotShare returned %v of %d", tc.slots, tc.routers, slots, routers)
		}
	}
}
