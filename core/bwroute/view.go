package bwroute

import (
	"time"

	"bilberrywick/core/bwmodel"
)

// UpstreamView is what a chooser knows of one upstream, for operators.
type UpstreamView struct {
	Upstream bwmodel.Upstream
	// Reported says that the agent has reported at all, and Connected that its
	// status stream is open.
	Reported  bool
	Connected bool
	Leaving   bool
	// Suspended says that the upstream gets probes only, since it is slow or fails.
	Suspended bool
	Load      bwmodel.LoadReport
	// InFlight and Limit are the chooser's own requests and their adaptive bound.
	InFlight int
	Limit    int
	// Latency is the smoothed time to the first token or response head.
	Latency time.Duration
	// SlowFactor is Latency over the median of the upstream's peers, at least 1.
	SlowFactor float64
}

// UpstreamViews returns a view of each upstream, in the order of their names.
func (chs *Chooser) UpstreamViews() []UpstreamView {
	snap := chs.current.Load()
	views := make([]UpstreamView, 0, len(snap.nodes))
	for _, nd := range snap.nodes {
		views = append(views, nd.view(snap.medianLatency))
	}
	return views
}

func (nd *node) view(median time.Duration) UpstreamView {
	lat := fromSeconds(nd.work.latency.load())
	vw := UpstreamView{
		Upstream:   nd.up,
		Suspended:  nd.work.health.suspended.Load(),
		InFlight:   int(nd.work.inFlight.Load()),
		Limit:      nd.work.limit.now(),
		Latency:    lat,
		SlowFactor: relative(lat, median),
	}
	if rep := nd.report.Load(); rep != nil {
		// The status of a lost stream is empty but for the name.
		vw.Reported = true
		vw.Connected, vw.Leaving, vw.Load = rep.Connected, rep.Leaving, rep.Load
	}
	return vw
}
