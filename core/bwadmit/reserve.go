package bwadmit

import (
	"math"
	"time"
)

// reserveDeviations is the number of standard deviations above the mean demand for
// which the reserve has slots. The demand is assumed to be Poisson distributed.
const reserveDeviations = 2

// restrictedLimit returns the number of slots that long and deferrable work may
// use: the router's share minus the reserve for short prompt work. Short work can
// also use free slots of other routers, so the deviation is that of the demand on
// all routers, divided by their number.
func (st *state) restrictedLimit() float64 {
	slots, routers := st.cfg.SlotShare()
	routerCount := float64(max(1, routers))
	mean := st.shortDemand.mean
	reserved := mean + reserveDeviations*math.Sqrt(mean/routerCount)
	reserved = max(reserved, slots*st.cfg.ShortReserve)
	return max(1, slots-reserved)
}

// demandAverage is the exponential moving average over time of the number of slots
// that short prompt work uses or waits for.
type demandAverage struct {
	mean  float64
	level float64
	since time.Time
}

// demandTimeConstant is the time constant of the average. It is a few times the
// duration of short work, so that a single request hardly changes the reserve.
const demandTimeConstant = 5 * time.Second

// setLevel adds the period at the old level to the average and sets a new level.
func (da *demandAverage) setLevel(level float64, now time.Time) {
	if !da.since.IsZero() {
		weight := 1 - math.Exp(-now.Sub(da.since).Seconds()/demandTimeConstant.Seconds())
		da.mean += weight * (da.level - da.mean)
	}
	da.level, da.since = level, now
}
