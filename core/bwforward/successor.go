package bwforward

import (
	"time"

	"bilberrywick/core/bwmodel"
)

// Successor is an upstream that responds at the address of a listed one.
type Successor struct {
	ID    bwmodel.UpstreamID
	Slots int
	// IsModelEngine is set if it has said of itself what only model engines say.
	IsModelEngine bool
	// SameService is set if it is known to be of the listed upstream's service, as by
	// IsSameService.
	SameService bool
}

// reuseMargin is subtracted from the time after which addresses are used again, since the
// clocks of VMs run at slightly different rates.
const reuseMargin = 20 * time.Millisecond

// IsSameService reports whether the upstream that responded at an address at seenAt is of
// the service of the one that was alive there at aliveAt, which is 0 if that is not known.
// Both are on one clock that counts the time for which the VM is suspended. Another
// service's upstream gets the address reuseTime after the end of the earlier one at the
// soonest.
func IsSameService(aliveAt, seenAt, reuseTime time.Duration) bool {
	return aliveAt > 0 && seenAt >= aliveAt && seenAt-aliveAt < reuseTime-reuseMargin
}

// AddSuccessor adds an upstream that responds at the address of a listed one while the
// list can't be read, and returns the outcome for the log. Only the list says which
// service an upstream belongs to, and services, their upstreams and addresses may all
// change while it can't be read.
func (dir *UpstreamDirectory) AddSuccessor(old Upstream, suc Successor, now time.Time) string {
	switch {
	case !dir.listUnavailable:
		return "the list will have it"
	case !suc.IsModelEngine || !suc.SameService:
		return "its service is not known"
	case suc.ID == "" || suc.Slots != old.Slots:
		return "other slots"
	case dir.entries[suc.ID] != nil || dir.wasRemoved(suc.ID):
		return "known"
	case dir.hasOtherVersion(old):
		return "its version is not known"
	}
	old.ID, old.StartTime, old.Report = suc.ID, now, 0
	dir.entries[suc.ID] = &directoryEntry{up: old, unlisted: true}
	dir.revision++
	return "taken in"
}

// wasRemoved reports whether an upstream was removed from the list some time ago.
func (dir *UpstreamDirectory) wasRemoved(id bwmodel.UpstreamID) bool {
	_, ok := dir.removed[id]
	return ok
}
