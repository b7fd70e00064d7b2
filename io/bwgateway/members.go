package bwgateway

import (
	"context"
	"time"

	"bilberrywick/core/bwforward"
)

// StoreTime is a time of the store.
type StoreTime struct {
	// Era counts the times that the store was restored from an older copy.
	Era uint64
	// Version is the version of the table that was read.
	Version uint64
	// Clock is the reading of the store's monotonic clock.
	Clock time.Duration
}

// ApplyAnnouncements applies announcements of gateways, which may include this
// one's, read at a time of the store. If full is set they are all announcements.
func (st *ControlState) ApplyAnnouncements(ctx context.Context, anns []bwforward.Announcement, at StoreTime, full bool) error {
	first, isRestored, isReplaced := false, false, false
	err := st.control.Do(ctx, func(cst *ownedState) {
		now := at.Clock
		first = cst.clockAt.IsZero()
		isRestored = !first && at.Era != cst.memberEra
		cst.memberEra = at.Era
		if first {
			cst.startedAt = now
		}
		cst.setClock(now, isRestored)
		others, own := st.splitAnnouncements(anns)
		if own != nil {
			isReplaced = st.observeOwn(cst, *own, at, first, isRestored)
		} else if isRestored {
			cst.own.RowVersion = 0
		}
		newer := cst.roster.Apply(others, now, full && !isRestored)
		if isRestored {
			st.cfg.Log.Info("announcements restored", "Era", cst.memberEra, "Entries", len(anns), "New", len(newer))
		}
		if first && own == nil && !cst.roster.Established(now) {
			st.cfg.Log.Info("the fleet starts", "Announcements", len(anns))
			st.cfg.Budgets.StartFleet()
		}
		st.adoptQuarantined(newer, now, false)
		st.observeTables(cst, newer, isRestored)
		if st.cfg.Peers != nil {
			st.cfg.Peers.SetPeers(cst.roster.Others(now))
		}
		cst.activePeers = cst.roster.ActivePeers(now)
		st.setPermitHolders(cst, now)
		count := cst.roster.Count(now)
		if count == cst.members {
			return
		}
		cst.members = count
		st.cfg.Log.Info("number of gateways changed", "Members", count)
		st.shareBudgets(cst)
	})
	if err != nil {
		return err
	}
	// Do has published the view by now, which the announcer reads.
	if first {
		close(st.membersKnown)
	}
	if isRestored {
		// The store may have lost this gateway's announcement. Those of others that it has
		// lost stay known until they lapse.
		signal(st.announceAgain)
	}
	if isReplaced {
		signal(st.announceNow)
	}
	return nil
}

// signal sends to a channel unless a signal is pending.
func signal(chn chan<- struct{}) {
	select {
	case chn <- struct{}{}:
	default:
	}
}

// observeTables records the latest routing table that another gateway has announced in
// the store's current era.
func (st *ControlState) observeTables(cst *ownedState, anns []bwforward.Announcement, isRestored bool) {
	if isRestored {
		cst.announcedTable = 0
	}
	for _, ann := range anns {
		if ann.Era == cst.memberEra {
			cst.announcedTable = max(cst.announcedTable, ann.TableVersion)
		}
	}
	st.checkFirstTable(cst)
}

// maxReadingAge is the age that a reading of the store's clock may have when it
// arrives. One that is further behind is of a clock that was set back.
const maxReadingAge = 5 * time.Second

// setClock takes a reading of the store's monotonic clock. Readings arrive late, some
// of them through other gateways, so that the one furthest ahead is the best, unless
// the store was restored since.
func (cst *ownedState) setClock(reading time.Duration, isRestored bool) {
	current := cst.storeClock()
	if !isRestored && !cst.clockAt.IsZero() && reading < current && current-reading < maxReadingAge {
		reading = current
	}
	cst.clock, cst.clockAt = reading, time.Now()
}

// setPermitHolders sets the gateways that grant permits.
func (st *ControlState) setPermitHolders(cst *ownedState, now time.Duration) {
	if st.cfg.Peers == nil {
		return
	}
	self := bwforward.UnannouncedHolder(st.cfg.Peers.Member())
	if cst.isAnnounced() {
		ann := cst.own
		if cst.leavingSince > 0 {
			ann.Leaving, ann.LeavingSince = true, cst.leavingSince
		}
		self = bwforward.NewPermitHolder(ann)
	}
	cst.permitHolders = cst.roster.PermitHolders(self, now)
}

// adoptQuarantined puts the announced parts of prompts into quarantine. Those of
// this gateway are from before a restart.
func (st *ControlState) adoptQuarantined(anns []bwforward.Announcement, now time.Duration, isOwn bool) {
	if st.cfg.Quarantine == nil {
		return
	}
	for _, ann := range anns {
		for _, qp := range ann.Quarantined {
			if _, ok := st.cfg.Quarantine.Adopt(qp.Parts, st.cfg.Now().Add(qp.Until-now), isOwn); ok {
				st.cfg.Log.Info("parts of prompts in quarantine", "Parts", loggedParts(qp.Parts), "Left", qp.Until-now, "Source", ann.Member)
			}
		}
	}
}
