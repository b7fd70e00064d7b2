package bwgateway

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"bilberrywick/core/bwforward"
)

// StartAnnouncing announces this gateway to the others until the context ends.
// writeRow stores each announcement. The first one waits for the first call of
// ApplyAnnouncements, which provides the store's clock.
func (st *ControlState) StartAnnouncing(ctx context.Context, writeRow func(context.Context, bwforward.Announcement) error) {
	anc := &announcer{state: st, writeRow: writeRow, log: st.cfg.Log}
	go anc.loop(ctx)
}

// announcer writes this gateway's announcement periodically.
type announcer struct {
	state    *ControlState
	writeRow func(context.Context, bwforward.Announcement) error
	log      *slog.Logger
}

func (anc *announcer) loop(ctx context.Context) {
	select {
	case <-anc.state.membersKnown:
	case <-ctx.Done():
		return
	}
	stopping := anc.state.stopping
	for ctx.Err() == nil {
		anc.announce(ctx, stopping == nil)
		tmr := time.NewTimer(bwforward.AnnounceInterval + rand.N(time.Second))
		select {
		case <-tmr.C:
		case <-stopping:
			stopping = nil
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
	if err := anc.writeRow(ctx, ann); err != nil {
		anc.log.Warn("announcement failed", "Error", err)
	}
}
