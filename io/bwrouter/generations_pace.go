package bwrouter

import (
	"context"
	"maps"
	"time"

	"bilberrywick/core/bwcontrol"
	"bilberrywick/core/bwmodel"
	"bilberrywick/core/bwstream"
)

// paces learns the pace of each service's streams.
type paces struct {
	control *bwcontrol.Owner[servicePaces, servicePaces]
}

type servicePaces map[bwmodel.ServiceID]bwstream.ServiceLatency

func newPaces() *paces {
	state := make(servicePaces)
	return &paces{control: bwcontrol.New(bwcontrol.Config[servicePaces, servicePaces]{
		State: &state,
		View:  (*servicePaces).view,
	})}
}

// observeFirst takes in one attempt's time to its first token.
func (pcs *paces) observeFirst(ctx context.Context, svc bwmodel.ServiceID, took time.Duration) {
	pcs.post(ctx, svc, func(sp *bwstream.ServiceLatency) { sp.ObserveFirstToken(took) })
}

// observeGap takes in the smoothed gap of a stream that has ended.
func (pcs *paces) observeGap(ctx context.Context, svc bwmodel.ServiceID, gap time.Duration) {
	if gap > 0 {
		pcs.post(ctx, svc, func(sp *bwstream.ServiceLatency) { sp.ObserveGap(gap) })
	}
}

func (pcs *paces) post(ctx context.Context, svc bwmodel.ServiceID, change func(*bwstream.ServiceLatency)) {
	// A failed post means that the router is stopping, and nobody needs the pace.
	_ = pcs.control.Post(ctx, func(sps *servicePaces) {
		sp := (*sps)[svc]
		change(&sp)
		(*sps)[svc] = sp
	})
}

// config returns the configuration of a new stream's pace.
func (pcs *paces) config(svc bwmodel.ServiceID, cfg bwstream.StallDetectorConfig) bwstream.StallDetectorConfig {
	return (*pcs.control.Snapshot())[svc].Apply(cfg)
}

func (sps *servicePaces) view() *servicePaces {
	vw := maps.Clone(*sps)
	return &vw
}
