package bwroute

import (
	"time"

	"bilberrywick/core/bwmodel"
)

// UpstreamView is the state of an upstream in a chooser, for operators.
type UpstreamView struct {
	Upstream bwmodel.Upstream
	// Reported is true once the agent has reported, and Connected while its status
	// stream is open.
	Reported  bool
	Connected bool
	Leaving   bool
	// Suspended is true when the upstream receives only probes because it is slow or
	// fails.
	Suspended bool
	Load      bwmodel.LoadReport
	// InFlight is the number of this chooser's requests in flight, and Limit their
	// adaptive limit.
	InFlight int
	Limit    int
	// Latency is the smoothed time to the first token or response header; 0 when
	// there is none.
	Latency time.Duration
	// SlowFactor is Latency relative to the median of the upstreams, at least 1.
	SlowFactor float64
}

// UpstreamViews returns a view of each upstream, sorted by name.
func (chs *Chooser) UpstreamViews() []UpstreamView {
	snap := chs.current.Load()
	views := make([]UpstreamView, 0, len(snap.nodes))
	for _, nd := range snap.nodes {
		views = append(views, nd.view(snap.medianLatency))
	}
	return views
}

func (nd *node) view(median time.Duration) UpstreamView {
	lat := fromSeconds(nd.traffic.latency.load())
	vw := UpstreamView{
		Upstream:   nd.up,
		Suspended:  nd.traffic.health.suspended.Load(),
		InFlight:   int(nd.traffic.inFlight.Load()),
		Limit:      nd.traffic.limit.current(),
		Latency:    lat,
		SlowFactor: latencyRatio(lat, median),
	}
	if rep := nd.report.Load(); rep != nil {
		// After the status stream is lost, the status has no field set but Upstream.
		vw.Reported = true
		vw.Connected, vw.Leaving, vw.Load = rep.Connected, rep.Leaving, rep.Load
	}
	return vw
}
