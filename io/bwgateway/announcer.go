package bwgateway

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"time"

	"bilberrywick/core/bwforward"
	"bilberrywick/core/bwretry"
)

// StartAnnouncing announces this gateway to the others until the context ends.
// writeRow stores each announcement if its row still has the version RowVersion, and
// returns it with the new one. Otherwise it returns ErrAnnouncementReplaced with the
// announcement that the store has. The first one waits for the first call of
// ApplyAnnouncements, which provides the store's clock.
func (st *ControlState) StartAnnouncing(ctx context.Context, writeRow func(context.Context, bwforward.Announcement) (bwforward.Announcement, error)) {
	anc := &announcer{state: st, writeRow: writeRow, log: st.cfg.Log}
	go anc.loop(ctx)
	if st.cfg.Peers != nil && st.cfg.Quarantine != nil {
		qrq := &quarantineRequester{state: st}
		go qrq.run(ctx)
	}
}

// quarantineRequester asks other gateways for the parts of prompts in quarantine when
// this one has started: the gateway that named them may not have been able to write
// them to the store.
type quarantineRequester struct{ state *ControlState }

// quarantineRequestDelays are the times of the requests after the announcements were
// read. Gateways that have not read this one's announcement don't accept the first.
var quarantineRequestDelays = []time.Duration{0, 500 * time.Millisecond, 4 * time.Second}

func (qrq *quarantineRequester) run(ctx context.Context) {
	select {
	case <-qrq.state.membersKnown:
	case <-ctx.Done():
		return
	}
	knownAt := time.Now()
	for _, delay := range quarantineRequestDelays {
		bwretry.Pause(ctx, time.Until(knownAt.Add(delay)))
		qrq.state.cfg.Peers.RequestQuarantine()
	}
}

// announcer writes this gateway's announcement periodically.
type announcer struct {
	state    *ControlState
	writeRow func(context.Context, bwforward.Announcement) (bwforward.Announcement, error)
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
		interval := bwforward.AnnounceInterval
		if !anc.announce(ctx) {
			interval = announceRetryInterval
		}
		tmr := time.NewTimer(interval + rand.N(time.Second))
		select {
		case <-tmr.C:
		case <-stopping:
			stopping = nil
			if err := anc.state.beginLeaving(ctx); err != nil {
				return
			}
		case <-anc.state.announceNow:
		case <-anc.state.announceAgain:
			// All gateways announce themselves again.
			bwretry.Pause(ctx, rand.N(max(time.Duration(anc.state.View().Members), 1)*announceAgainInterval))
		case <-ctx.Done():
		}
		tmr.Stop()
	}
}

// announceRetryInterval is the time after a failed announcement until the next
// one. The others need this gateway's address and key to share reads with it.
const announceRetryInterval = 2 * time.Second

// announceAgainInterval is the mean time between two gateways that announce themselves
// again after the store was restored. It takes half of the store's writes.
const announceAgainInterval = 5 * time.Millisecond

// clockTick is the resolution of the store's clock. The first announcement is later than
// the first reading, which may be equal to the time of the last one before a restart.
const clockTick = time.Millisecond

// announceAttempts is the number of writes of one announcement whose row has changed. Only
// a write whose response was lost changes it.
const announceAttempts = 3

// announce reports whether the announcement was written. It replaces only the row that is
// known, so that it makes all earlier writes void that the store may still do.
func (anc *announcer) announce(ctx context.Context) bool {
	for range announceAttempts {
		stored, err := anc.writeRow(ctx, anc.next())
		if err != nil && !errors.Is(err, ErrAnnouncementReplaced) {
			anc.log.Warn("announcement failed", "Error", err)
			return false
		}
		if rerr := anc.state.recordOwn(ctx, stored); err == nil || rerr != nil {
			return rerr == nil
		}
		anc.log.Info("announcement is written again", "Error", err, "RowVersion", stored.RowVersion, "Seen", stored.Seen)
	}
	return false
}

// next returns the next announcement.
func (anc *announcer) next() bwforward.Announcement {
	vw := anc.state.View()
	clock := vw.storeClock()
	ann := bwforward.Announcement{Leaving: vw.leavingSince > 0, LeavingSince: vw.leavingSince, Seen: max(clock, vw.startedAt+clockTick), Era: vw.memberEra}
	if vw.Table != nil {
		ann.TableVersion = vw.Table.Version()
	}
	if qrt := anc.state.cfg.Quarantine; qrt != nil {
		for _, qp := range qrt.Own() {
			ann.Quarantined = append(ann.Quarantined, bwforward.AnnouncedParts{Parts: qp.Parts, Until: clock + qp.Until.Sub(anc.state.cfg.Now())})
		}
	}
	if prs := anc.state.cfg.Peers; prs != nil {
		ann.Member, ann.Zone, ann.Address, ann.Key = prs.Member(), prs.cfg.Zone, prs.Address(), prs.Key()
	}
	ann = ann.Supersede(vw.own)
	ann.AnnouncedSince = ann.Seen
	if vw.announced {
		ann.AnnouncedSince = vw.own.AnnouncedSince
	}
	return ann
}
