package bwpermit_test

import (
	"fmt"
	"testing"
	"time"

	"bilberrywick/bench/bwpermit"
)

// Guards against fleets that together send a limited upstream more than one and a half
// times its limit and five requests in any four seconds, while gateways join, stop,
// die and restart, alone or all together, and others learn of it later; and against
// fleets that use little of it, where most gateways change once that is over.
func TestLimitHoldsForFleet(t *testing.T) {
	const (
		length  = 40 * time.Second
		window  = 4 * time.Second
		settled = 30 * time.Second
		factor  = 1.5
		slack   = 5
		// minUsedShare is the part of the limit that is used.
		minUsedShare = 0.6
		// The fleet is asked for askedFactor times the limit, and for minAsked requests a
		// second at least.
		askedFactor, minAsked = 3, 50
	)
	for _, tt := range []struct {
		name     string
		change   bwpermit.Change
		sizes    []int
		usedFrom time.Duration
	}{
		{"replaced, frozen and restarted", bwpermit.Replaced, []int{1, 5, 100, 1000}, 0},
		{"restarted in turn", bwpermit.RestartedInTurn, []int{1, 2, 5, 20}, settled},
		{"grown", bwpermit.Grown, []int{1, 2, 5, 100}, settled},
		{"shrunk", bwpermit.Shrunk, []int{2, 5, 100}, settled},
	} {
		for _, size := range tt.sizes {
			for _, limit := range []float64{0, 0.3, 1, 1.7, 17.4, 200} {
				t.Run(fmt.Sprintf("%s, %d gateways, %v a second", tt.name, size, limit), func(t *testing.T) {
					t.Parallel()
					res := bwpermit.Play(bwpermit.PlayConfig{
						Size: size, Change: tt.change, Limit: limit, Asked: max(askedFactor*limit, minAsked), Length: length, Window: window, Seed: 27,
					})
					if allowed := int(factor*limit*window.Seconds()) + slack; res.Most > allowed {
						t.Errorf("%d requests in the 4 s before %v, want at most %d", res.Most, res.MostAt, allowed)
					}
					if used, want := res.Since(tt.usedFrom), int(minUsedShare*limit*(length-tt.usedFrom).Seconds()); used < want {
						t.Errorf("%d requests from %v on, want %d at least", used, tt.usedFrom, want)
					}
				})
			}
		}
	}
}
