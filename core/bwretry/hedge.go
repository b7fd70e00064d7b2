package bwretry

import (
	"sync/atomic"
	"time"
)

// Hedge tells when to send a second copy of an idempotent request, from the
// latencies observed in the last two periods; any goroutine may use it.
type Hedge struct {
	cfg     HedgeConfig
	start   time.Time
	periods [2]histogram
	// period counts the periods begun; its parity selects the one being filled.
	period   atomic.Int64
	observed atomic.Int64
	// delay is in nanoseconds; noHedge when no request is hedged.
	delay atomic.Int64
}

// HedgeConfig configures a Hedge.
type HedgeConfig struct {
	Now func() time.Time
	// Policy returns the delay before a second copy, and whether to send one at
	// all; nil means AtQuantile(0.95).
	Policy func(Latencies) (time.Duration, bool)
	// Period is the time for which a latency counts at least; 0 means 10 s.
	Period time.Duration
}

const (
	defaultPeriod = 10 * time.Second
	// refreshSamples is the number of new latencies after which the delay is derived
	// again; deriving it for each request would cost more than the request saves.
	refreshSamples = 16
	// minSamples is the fewest latencies from which a p95 means anything.
	minSamples = 20
	noHedge    = -1
)

// NewHedge returns a hedge that has observed nothing.
func NewHedge(cfg HedgeConfig) *Hedge {
	if cfg.Policy == nil {
		cfg.Policy = HedgeAtQuantile(0.95)
	}
	if cfg.Period == 0 {
		cfg.Period = defaultPeriod
	}
	hdg := &Hedge{cfg: cfg, start: cfg.Now()}
	hdg.refresh()
	return hdg
}

// Observe adds the latency of one answered copy of a request.
func (hdg *Hedge) Observe(took time.Duration) {
	hdg.turn()
	hdg.periods[hdg.period.Load()%2].add(took)
	if seen := hdg.observed.Add(1); seen%refreshSamples == 0 || seen == minSamples {
		hdg.refresh()
	}
}

// Delay returns how long to wait before a second copy, and whether to send one at all.
func (hdg *Hedge) Delay() (time.Duration, bool) {
	delay := hdg.delay.Load()
	return time.Duration(max(delay, 0)), delay != noHedge
}

// turn begins a new period when the last one is over; latencies that race with
// it may count in either period.
func (hdg *Hedge) turn() {
	period := int64(hdg.cfg.Now().Sub(hdg.start) / hdg.cfg.Period)
	old := hdg.period.Load()
	if period == old || !hdg.period.CompareAndSwap(old, period) {
		return
	}
	hdg.periods[period%2].reset()
	if period > old+1 {
		hdg.periods[(period+1)%2].reset()
	}
}

func (hdg *Hedge) refresh() {
	var lat Latencies
	for ix := range hdg.periods {
		hdg.periods[ix].addTo(&lat)
	}
	delay, ok := hdg.cfg.Policy(lat)
	if !ok {
		hdg.delay.Store(noHedge)
		return
	}
	hdg.delay.Store(int64(delay))
}

// HedgeAtQuantile returns the policy that hedges a request which has taken longer
// than a share of the recent ones.
func HedgeAtQuantile(share float64) func(Latencies) (time.Duration, bool) {
	return func(lat Latencies) (time.Duration, bool) {
		if lat.Count() < minSamples {
			return 0, false
		}
		return lat.Quantile(share), true
	}
}

// NeverHedge is the policy of the baseline: no request is hedged.
func NeverHedge(Latencies) (time.Duration, bool) { return 0, false }
