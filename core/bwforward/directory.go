package bwforward

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"bilberrywick/core/bwmodel"
)

// UpstreamDirectory keeps the list of upstreams that the platform publishes. Its
// control goroutine owns it.
type UpstreamDirectory struct {
	entries map[bwmodel.UpstreamID]*entry
	// away is set while the list can't be read, and back is when it could be again.
	away bool
	back time.Time
	// revision counts the changes of entries that may change the upstreams.
	revision uint64
}

type entry struct {
	up Upstream
	// missing is when the entry was found to be gone while it may come back.
	missing time.Time
	// met says that the upstream was not on the list, but answered for itself.
	met bool
}

// OutageGracePeriod is how long after an outage of the list an entry that lapsed
// meanwhile may come back, by the platform's word about two seconds. An upstream
// that has left must get nothing more after 2 s on today's deployments.
const OutageGracePeriod = 1800 * time.Millisecond

// NewUpstreamDirectory returns an empty directory.
func NewUpstreamDirectory() *UpstreamDirectory {
	return &UpstreamDirectory{entries: make(map[bwmodel.UpstreamID]*entry)}
}

// MarkListUnavailable notes that the list can't be read, so that entries may lapse.
func (dir *UpstreamDirectory) MarkListUnavailable() { dir.away = true }

// MarkListAvailable notes that the list is read again.
func (dir *UpstreamDirectory) MarkListAvailable(now time.Time) {
	if dir.away {
		dir.away = false
		dir.back = now
	}
}

// Put adds or replaces an upstream, and reports whether that changed anything.
// An older run of the same upstream is left out.
func (dir *UpstreamDirectory) Put(up Upstream) bool {
	ent := dir.entries[up.ID]
	if ent != nil && !ent.met && up.StartTime.Before(ent.up.StartTime) {
		return false
	}
	dir.entries[up.ID] = &entry{up: up}
	if ent != nil && ent.up == up {
		return false
	}
	dir.revision++
	return true
}

// Remove takes an upstream away that the list no longer has; one that may only
// have lapsed during an outage stays until RecallTime after it.
func (dir *UpstreamDirectory) Remove(id bwmodel.UpstreamID, now time.Time) {
	ent := dir.entries[id]
	if ent == nil {
		return
	}
	if dir.recalls(now) {
		if ent.missing.IsZero() {
			ent.missing = now
		}
		return
	}
	dir.RemoveNow(id)
}

// RemoveNow takes an upstream away whose entry can't be used.
func (dir *UpstreamDirectory) RemoveNow(id bwmodel.UpstreamID) {
	if dir.entries[id] != nil {
		delete(dir.entries, id)
		dir.revision++
	}
}

// Revision grows with each change of the upstreams.
func (dir *UpstreamDirectory) Revision() uint64 { return dir.revision }

// Replace takes in the whole list.
func (dir *UpstreamDirectory) Replace(ups []Upstream, now time.Time) {
	listed := make(map[bwmodel.UpstreamID]bool, len(ups))
	for _, up := range ups {
		listed[up.ID] = true
		dir.Put(up)
	}
	for id := range dir.entries {
		if !listed[id] {
			dir.Remove(id, now)
		}
	}
}

func (dir *UpstreamDirectory) recalls(now time.Time) bool {
	return dir.away || !dir.back.IsZero() && now.Sub(dir.back) < OutageGracePeriod
}

// Expire removes the entries that have not come back, and returns them.
func (dir *UpstreamDirectory) Expire(now time.Time) []bwmodel.UpstreamID {
	if dir.recalls(now) {
		return nil
	}
	var gone []bwmodel.UpstreamID
	for id, ent := range dir.entries {
		if !ent.missing.IsZero() {
			dir.RemoveNow(id)
			gone = append(gone, id)
		}
	}
	return gone
}

// Missing returns the number of entries that may come back.
func (dir *UpstreamDirectory) Missing() int {
	count := 0
	for _, ent := range dir.entries {
		if !ent.missing.IsZero() {
			count++
		}
	}
	return count
}

// AddSuccessor takes in an upstream that answers at the address of a listed one,
// while the list can't be read, and returns why it did or did not. Addresses go
// to other services too, so it must have the slots that only the old one's
// service has.
func (dir *UpstreamDirectory) AddSuccessor(old Upstream, id bwmodel.UpstreamID, slots int, now time.Time) string {
	switch {
	case !dir.away:
		return "the list will have it"
	case id == "" || slots != old.Slots:
		return "other slots"
	case dir.entries[id] != nil:
		return "known"
	}
	for _, ent := range dir.entries {
		if ent.up.Slots == old.Slots && ent.up.Service != old.Service {
			return "service is unclear"
		}
	}
	old.ID, old.StartTime = id, now
	dir.entries[id] = &entry{up: old, met: true}
	dir.revision++
	return "taken in"
}

// Upstreams returns all upstreams in the order of their IDs. Of several at one
// address only the last that started is there: an entry stays for seconds after
// its upstream has crashed and another one has taken its place.
func (dir *UpstreamDirectory) Upstreams() []Upstream {
	latest := make(map[netip.AddrPort]time.Time, len(dir.entries))
	for _, ent := range dir.entries {
		if ent.up.StartTime.After(latest[ent.up.Address]) {
			latest[ent.up.Address] = ent.up.StartTime
		}
	}
	ups := make([]Upstream, 0, len(dir.entries))
	for _, ent := range dir.entries {
		if !ent.up.StartTime.Before(latest[ent.up.Address]) {
			ups = append(ups, ent.up)
		}
	}
	slices.SortFunc(ups, func(ua, ub Upstream) int { return cmp.Compare(ua.ID, ub.ID) })
	return ups
}
