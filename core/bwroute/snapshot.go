package bwroute

import (
	"slices"
	"time"
)

// snapshot is the list of upstreams with the medians used to compare them. It is
// immutable; the control goroutine replaces it.
type snapshot struct {
	nodes []*node
	// routers is the number of routers that share the upstreams' slots.
	routers int
	// byModel holds for each model the nodes whose last report before the snapshot
	// listed it.
	byModel map[string][]*node
	byIndex map[uint16]*node
	// medianLatency and medianRate are the lower medians of the upstreams; the rate is
	// in tokens per second.
	medianLatency time.Duration
	medianRate    float64
	// estimatedRouters is the number of routers that share the upstreams, estimated
	// from the reports as all work divided by this router's own.
	estimatedRouters float64
}

// maxEstimatedRouters is the maximum of estimatedRouters, because the estimate is
// far too high when this router has hardly any work of its own.
const maxEstimatedRouters = 32

func newSnapshot(nodes []*node) *snapshot {
	snap := &snapshot{
		nodes: nodes, byModel: map[string][]*node{}, byIndex: make(map[uint16]*node, len(nodes)), estimatedRouters: 1,
	}
	lats := make([]float64, 0, len(nodes))
	rates := make([]float64, 0, len(nodes))
	var queued, own float64
	for _, nd := range nodes {
		snap.byIndex[nd.index] = nd
		if lat := nd.traffic.latency.load(); lat > 0 {
			lats = append(lats, lat)
		}
		if rt := nd.tokensPerSecond(0); rt > 0 {
			rates = append(rates, rt)
		}
		rep := nd.report.Load()
		if rep == nil {
			continue
		}
		queued, own = queued+rep.queued, own+rep.ownQueued
		for _, name := range rep.Load.Models {
			snap.byModel[name] = append(snap.byModel[name], nd)
		}
	}
	if queued > 0 {
		snap.estimatedRouters = min(maxEstimatedRouters, max(1, queued/max(own, 1)))
	}
	snap.medianLatency, snap.medianRate = fromSeconds(lowerMedian(lats)), lowerMedian(rates)
	return snap
}

// serving returns the nodes that reported a model, or all for an empty name.
func (sns *snapshot) serving(model string) []*node {
	if model == "" {
		return sns.nodes
	}
	return sns.byModel[model]
}

func lowerMedian(vals []float64) float64 {
	if len(vals) == 0 {
		return 0
	}
	slices.Sort(vals)
	return vals[(len(vals)-1)/2]
}

func fromSeconds(sec float64) time.Duration { return time.Duration(sec * float64(time.Second)) }
