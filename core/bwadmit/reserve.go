package bwadmit

import (
	"math"
	"time"
)

// reserveDeviations is the number of standard deviations of the demand of short
// work for which slots are kept; the demand is taken to be Poisson.
const reserveDeviations = 2

// heldLimit returns the number of slots that long and deferrable work may take:
// the router's share without what short work needs. Short work may use the other
// routers' free slots, so the deviation is that of the demand on all routers.
func (st *state) heldLimit() float64 {
	slots, routers := st.cfg.SlotShare()
	count := float64(max(1, routers))
	mean := st.demand.mean
	kept := mean + reserveDeviations*math.Sqrt(mean/count)
	kept = max(kept, slots*st.cfg.ShortReserve)
	return max(1, slots-kept)
}

// demand is the number of slots that short work uses or waits for, averaged
// over the last seconds.
type demand struct {
	mean  float64
	level float64
	since time.Time
}

// demandTime is the time constant of the average: a few times the length of
// short work, so that single requests don't move the reserve.
const demandTime = 5 * time.Second

// add ends a period at the old level and begins one at a new level.
func (dm *demand) add(level float64, now time.Time) {
	if !dm.since.IsZero() {
		part := 1 - math.Exp(-now.Sub(dm.since).Seconds()/demandTime.Seconds())
		dm.mean += part * (dm.level - dm.mean)
	}
	dm.level, dm.since = level, now
}
