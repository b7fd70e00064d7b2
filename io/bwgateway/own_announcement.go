package bwgateway

import (
	"context"
	"errors"

	"bilberrywick/core/bwforward"
)

// ErrAnnouncementReplaced means that the row of an announcement has changed since its
// version was read, so that nothing was written.
var ErrAnnouncementReplaced = errors.New("row of the announcement has changed")

// AnnounceQuarantine makes the announcer announce the parts that this gateway has in
// quarantine.
func (st *ControlState) AnnounceQuarantine() { signal(st.announceNow) }

// AnnounceLeaving makes the announcer announce that this gateway stops. It
// must be called once only.
func (st *ControlState) AnnounceLeaving() { close(st.stopping) }

// splitAnnouncements returns the announcements of the other gateways, and this one's own
// or nil.
func (st *ControlState) splitAnnouncements(anns []bwforward.Announcement) (others []bwforward.Announcement, own *bwforward.Announcement) {
	if st.cfg.Peers == nil {
		return anns, nil
	}
	for ix := range anns {
		if anns[ix].Member == st.cfg.Peers.Member() {
			own = &anns[ix]
		} else {
			others = append(others, anns[ix])
		}
	}
	return others, own
}

// observeOwn compares this gateway's row in the store with what it has announced, and
// reports whether an older announcement has replaced it: a write whose response was lost
// may be done after later ones. The other gateways, and above all those that start now,
// must not take it for the current one. The first row that is read was written before a
// restart; it has the signing key that the others know, and the parts that this gateway
// had in quarantine.
func (st *ControlState) observeOwn(cst *ownedState, row bwforward.Announcement, at StoreTime, first, isRestored bool) bool {
	if first {
		st.cfg.Peers.RestoreKey(row.Key)
		st.adoptQuarantined([]bwforward.Announcement{row}, at.Clock, true)
	}
	if row.RowVersion == 0 && !isRestored {
		// Gateways of earlier versions send rows without theirs.
		row.RowVersion = cst.own.RowVersion
	}
	switch {
	case !cst.own.IsNewer(row):
		cst.own = row
	case isRestored:
		cst.own.RowVersion = row.RowVersion
	case at.Version > cst.own.RowVersion:
		st.cfg.Log.Warn("own announcement was replaced by an older one", "Seen", cst.own.Seen, "Older", row.Seen, "Leaving", row.Leaving, "TableVersion", at.Version, "RowVersion", row.RowVersion)
		cst.own.RowVersion = row.RowVersion
		return true
	}
	return false
}

// recordOwn records an announcement of this gateway that the store has.
func (st *ControlState) recordOwn(ctx context.Context, ann bwforward.Announcement) error {
	return st.control.Do(ctx, func(cst *ownedState) {
		if cst.own.IsNewer(ann) {
			cst.own.RowVersion = ann.RowVersion
			return
		}
		cst.own = ann
		st.setPermitHolders(cst, cst.storeClock())
	})
}

// isAnnounced reports whether the store is known to have had an announcement of this
// process, and not only of one before a restart.
func (cst *ownedState) isAnnounced() bool { return cst.own.AnnouncedSince > cst.startedAt }

// beginLeaving records that this gateway stops.
func (st *ControlState) beginLeaving(ctx context.Context) error {
	return st.control.Do(ctx, func(cst *ownedState) {
		// As in the announcement.
		cst.leavingSince = cst.storeClock().Truncate(clockTick)
		st.setPermitHolders(cst, cst.leavingSince)
	})
}
