package bwretry

import (
	"sync/atomic"
	"time"
)

// Hedge determines when to send a second attempt of an idempotent request, from the
// latencies observed in the last two periods. It is safe for concurrent use.
type Hedge struct {
	cfg     HedgeConfig
	start   time.Time
	periods [2]histogram
	// period is the number of the current period; its parity is the index of the
	// histogram being filled.
	period   atomic.Int64
	observed atomic.Int64
	// delay is in nanoseconds, or noHedge when no request is hedged.
	delay atomic.Int64
}

// HedgeConfig configures a Hedge.
type HedgeConfig struct {
	Now func() time.Time
	// Policy returns the delay before a second attempt, and whether to send one at
	// all; nil means HedgeAtQuantile(0.95).
	Policy func(Latencies) (time.Duration, bool)
	// Period is the shortest time for which a latency is used; 0 means 10 s.
	Period time.Duration
}

const (
	defaultPeriod = 10 * time.Second
	// refreshSamples is the number of new latencies after which the delay is computed
	// again. Computing it for each request would cost more than hedging saves.
	refreshSamples = 16
	// minSamples is the smallest number of latencies that have a meaningful p95.
	minSamples = 20
	noHedge    = -1
)

// NewHedge returns a hedge without latencies.
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

// Observe records the latency of one answered attempt of a request.
func (hdg *Hedge) Observe(latency time.Duration) {
	hdg.rotate()
	hdg.periods[hdg.period.Load()%2].add(latency)
	if count := hdg.observed.Add(1); count%refreshSamples == 0 || count == minSamples {
		hdg.refresh()
	}
}

// Delay returns how long to wait before a second attempt, and whether to send one at
// all.
func (hdg *Hedge) Delay() (time.Duration, bool) {
	delay := hdg.delay.Load()
	return time.Duration(max(delay, 0)), delay != noHedge
}

// rotate starts a new period when the current one is over. A latency that is
// recorded concurrently may count in either period.
func (hdg *Hedge) rotate() {
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

// refresh computes the delay from the latencies of both periods.
func (hdg *Hedge) refresh() {
	var lat Latencies
	for ix := range hdg.periods {
		hdg.periods[ix].mergeInto(&lat)
	}
	delay, ok := hdg.cfg.Policy(lat)
	if !ok {
		hdg.delay.Store(noHedge)
		return
	}
	hdg.delay.Store(int64(delay))
}

// HedgeAtQuantile returns a policy that hedges a request which has taken longer
// than a share of the recent ones, as soon as there are 20 of them.
func HedgeAtQuantile(share float64) func(Latencies) (time.Duration, bool) {
	return func(lat Latencies) (time.Duration, bool) {
		if lat.Count() < minSamples {
			return 0, false
		}
		return lat.Quantile(share), true
	}
}

// NeverHedge is a policy that hedges no request; benchmarks use it as the baseline.
func NeverHedge(Latencies) (time.Duration, bool) { return 0, false }
