package bwroute

import (
	"slices"
	"time"
)

// snapshot is immutable; the control goroutine replaces it.
type snapshot struct {
	nodes []*node
	// routers is the number of routers that share the upstreams' slots.
	routers int
	// byModel lists the nodes that reported a model when the snapshot was made.
	byModel map[string][]*node
	bySlot  map[uint16]*node
	// medianLatency and medianRate describe the peers; the rate is in tokens per second.
	medianLatency time.Duration
	medianRate    float64
	// peers is the number of routers that share the upstreams, by the reports.
	peers float64
}

// maxPeers bounds the number of routers that reports suggest: a router that has
// hardly any work of its own can't tell.
const maxPeers = 32

func newSnapshot(nodes []*node) *snapshot {
	snap := &snapshot{
		nodes: nodes, byModel: map[string][]*node{}, bySlot: make(map[uint16]*node, len(nodes)), peers: 1,
	}
	lats := make([]float64, 0, len(nodes))
	rates := make([]float64, 0, len(nodes))
	var queued, own float64
	for _, nd := range nodes {
		snap.bySlot[nd.slot] = nd
		if lat := nd.work.latency.load(); lat > 0 {
			lats = append(lats, lat)
		}
		if rt := nd.rate(0); rt > 0 {
			rates = append(rates, rt)
		}
		rep := nd.report.Load()
		if rep == nil {
			continue
		}
		queued, own = queued+rep.queued, own+rep.own
		for _, name := range rep.Load.Models {
			snap.byModel[name] = append(snap.byModel[name], nd)
		}
	}
	if queued > 0 {
		snap.peers = min(maxPeers, max(1, queued/max(own, 1)))
	}
	snap.medianLatency, snap.medianRate = fromSeconds(lowerMedian(lats)), lowerMedian(rates)
	return snap
}

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
