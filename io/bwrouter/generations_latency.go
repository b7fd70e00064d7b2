package bwrouter

import (
	"context"
	"maps"
	"time"

	"bilberrywick/core/bwcontrol"
	"bilberrywick/core/bwmodel"
	"bilberrywick/core/bwstream"
)

// latencyTracker tracks the time to the first token and between tokens of each service.
type latencyTracker struct {
	control *bwcontrol.Owner[serviceLatencies, serviceLatencies]
}

type serviceLatencies map[bwmodel.ServiceID]bwstream.ServiceLatency

func newLatencyTracker() *latencyTracker {
	state := make(serviceLatencies)
	return &latencyTracker{control: bwcontrol.New(bwcontrol.Config[serviceLatencies, serviceLatencies]{
		State: &state,
		View:  (*serviceLatencies).view,
	})}
}

// observeFirstToken records one attempt's time to its first token.
func (ltr *latencyTracker) observeFirstToken(ctx context.Context, svc bwmodel.ServiceID, elapsed time.Duration) {
	ltr.post(ctx, svc, func(lat *bwstream.ServiceLatency) { lat.ObserveFirstToken(elapsed) })
}

// observeGap records the smoothed time between tokens of a stream that has ended.
func (ltr *latencyTracker) observeGap(ctx context.Context, svc bwmodel.ServiceID, gap time.Duration) {
	if gap > 0 {
		ltr.post(ctx, svc, func(lat *bwstream.ServiceLatency) { lat.ObserveGap(gap) })
	}
}

func (ltr *latencyTracker) post(ctx context.Context, svc bwmodel.ServiceID, change func(*bwstream.ServiceLatency)) {
	// A post fails only when the router is stopping, and the latency is then not needed.
	_ = ltr.control.Post(ctx, func(sls *serviceLatencies) {
		lat := (*sls)[svc]
		change(&lat)
		(*sls)[svc] = lat
	})
}

// stallDetectorConfig returns the configuration of a new stream's stall detector.
func (ltr *latencyTracker) stallDetectorConfig(svc bwmodel.ServiceID, cfg bwstream.StallDetectorConfig) bwstream.StallDetectorConfig {
	return (*ltr.control.Snapshot())[svc].Apply(cfg)
}

func (sls *serviceLatencies) view() *serviceLatencies {
	view := maps.Clone(*sls)
	return &view
}
