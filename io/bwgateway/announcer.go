package bwgateway

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"bilberrywick/core/bwforward"
)

// StartAnnouncing tells the other gateways of this one until the context ends, by a
// row that put writes. The first one waits for what the others have announced,
// and with it for the store's clock.
func (st *ControlState) StartAnnouncing(ctx context.Context, put func(context.Context, bwforward.Announcement) error) {
	anc := &announcer{state: st, put: put, log: st.cfg.Log}
	go anc.loop(ctx)
}

// announcer writes this gateway's announcement.
type announcer struct {
	state *ControlState
	put   func(context.Context, bwforward.Announcement) error
	log   *slog.Logger
}

func (anc *announcer) loop(ctx context.Context) {
	select {
	case <-anc.state.met:
	case <-ctx.Done():
		return
	}
	leaving := anc.state.leaving
	for ctx.Err() == nil {
		anc.announce(ctx, leaving == nil)
		tmr := time.NewTimer(bwforward.AnnounceInterval + rand.N(time.Second))
		select {
		case <-tmr.C:
		case <-leaving:
			leaving = nil
		case <-ctx.Done():
		}
		tmr.Stop()
	}
}

func (anc *announcer) announce(ctx context.Context, leaving bool) {
	ann := bwforward.Announcement{Leaving: leaving, Seen: anc.state.View().storeClock()}
	if prs := anc.state.cfg.Peers; prs != nil {
		ann.Address, ann.Key = prs.Address(), prs.Key()
	}
	if err := anc.put(ctx, ann); err != nil {
		anc.log.Warn("gateway can't be announced", "Error", err)
	}
}
