package bwforward

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"bilberrywick/core/bwmodel"
)

// UpstreamDirectory holds the upstreams that the platform lists. Only the
// control goroutine uses it.
type UpstreamDirectory struct {
	entries map[bwmodel.UpstreamID]*directoryEntry
	// listUnavailable is set while the list can't be read. availableSince is the
	// end of the last outage of the list.
	listUnavailable bool
	availableSince  time.Time
	// outdated has the entries of a restored list that are older than what is known.
	// removed has the last entries of upstreams that were removed.
	outdated, removed map[bwmodel.UpstreamID]datedEntry
	// revision counts the changes that may affect the result of Upstreams.
	revision uint64
}

type directoryEntry struct {
	up Upstream
	// missingSince is when the list first lacked the entry, if an outage of the
	// list may be the cause; else it is zero.
	missingSince time.Time
	// unlisted marks an upstream that AddSuccessor added and the list does not have.
	unlisted bool
	// older is the entry with an earlier start that was listed last, at olderSince;
	// nil if the entry in use is the listed one.
	older      *Upstream
	olderSince time.Time
}

// olderEntryDelay is the time after which an entry with an earlier start is
// believed. A report that an earlier run wrote late is overwritten within an
// interval of the reports; one that stays is of a run whose clock was set back.
const olderEntryDelay = 3 * time.Second

// OutageGracePeriod is how long after an outage of the list a missing entry is
// kept, since entries that expired during the outage come back, within about two
// seconds according to the platform. It is below the 2 s after which an upstream
// that has left must get no more requests on the current deployments.
const OutageGracePeriod = 1800 * time.Millisecond

// NewUpstreamDirectory returns an empty directory.
func NewUpstreamDirectory() *UpstreamDirectory {
	return &UpstreamDirectory{
		entries:  make(map[bwmodel.UpstreamID]*directoryEntry),
		outdated: make(map[bwmodel.UpstreamID]datedEntry),
		removed:  make(map[bwmodel.UpstreamID]datedEntry),
	}
}

// MarkListUnavailable records that the list can't be read, so that its entries
// may expire.
func (dir *UpstreamDirectory) MarkListUnavailable() { dir.listUnavailable = true }

// MarkListAvailable records that the list can be read. After an outage it starts
// the grace period.
func (dir *UpstreamDirectory) MarkListAvailable(now time.Time) {
	if dir.listUnavailable {
		dir.listUnavailable = false
		dir.availableSince = now
	}
}

// SettledAt returns the time until which entries may come back that expired in the last
// outage of the list, or the zero value if there was none.
func (dir *UpstreamDirectory) SettledAt() time.Time {
	if dir.availableSince.IsZero() {
		return time.Time{}
	}
	return dir.availableSince.Add(OutageGracePeriod)
}

// Put adds or replaces an upstream, and reports whether the directory changed.
// An upstream that started before the listed one of the same ID replaces it only
// if it is still listed after olderEntryDelay. An outdated entry of a restored list
// waits for outdatedEntryDelay.
func (dir *UpstreamDirectory) Put(up Upstream, now time.Time) bool {
	if dte, ok := dir.outdated[up.ID]; ok && dte.up == up {
		return false
	}
	delete(dir.outdated, up.ID)
	delete(dir.removed, up.ID)
	ent := dir.entries[up.ID]
	if ent != nil && !ent.unlisted && up.StartTime.Before(ent.up.StartTime) {
		if ent.older == nil {
			ent.olderSince = now
		}
		ent.older = &up
		ent.missingSince = time.Time{}
		return false
	}
	dir.entries[up.ID] = &directoryEntry{up: up}
	if ent != nil && ent.up == up {
		return false
	}
	dir.revision++
	return true
}

// Remove removes an upstream that is no longer on the list. During an outage of
// the list and for OutageGracePeriod after it, the entry is only marked as missing.
func (dir *UpstreamDirectory) Remove(id bwmodel.UpstreamID, now time.Time) {
	delete(dir.outdated, id)
	ent := dir.entries[id]
	if ent == nil {
		return
	}
	if dir.keepsMissing(now) {
		if ent.missingSince.IsZero() {
			ent.missingSince = now
		}
		return
	}
	dir.remove(id, now)
}

// RemoveNow removes an upstream whose entry is invalid, without a grace period.
func (dir *UpstreamDirectory) RemoveNow(id bwmodel.UpstreamID) {
	if dir.entries[id] != nil {
		delete(dir.entries, id)
		dir.revision++
	}
}

// Revision returns a number that grows with each change of the upstreams.
func (dir *UpstreamDirectory) Revision() uint64 { return dir.revision }

// Replace applies the complete list and removes what it lacks.
func (dir *UpstreamDirectory) Replace(ups []Upstream, now time.Time) {
	listed := make(map[bwmodel.UpstreamID]bool, len(ups))
	for _, up := range ups {
		listed[up.ID] = true
		dir.Put(up, now)
	}
	for id := range dir.entries {
		if _, outdated := dir.outdated[id]; !listed[id] && !outdated {
			dir.Remove(id, now)
		}
	}
}

// keepsMissing reports whether missing entries are kept: during an outage of the
// list and for OutageGracePeriod after it.
func (dir *UpstreamDirectory) keepsMissing(now time.Time) bool {
	return dir.listUnavailable || now.Before(dir.SettledAt())
}

// Expire applies the entries with an earlier start that are still listed, removes
// those that are still missing after the grace period, and returns the IDs of the
// removed ones.
func (dir *UpstreamDirectory) Expire(now time.Time) []bwmodel.UpstreamID {
	dir.expireOutdated(now)
	for id, ent := range dir.entries {
		if ent.older != nil && now.Sub(ent.olderSince) >= olderEntryDelay {
			dir.entries[id] = &directoryEntry{up: *ent.older, missingSince: ent.missingSince}
			dir.revision++
		}
	}
	if dir.keepsMissing(now) {
		return nil
	}
	var expired []bwmodel.UpstreamID
	for id, ent := range dir.entries {
		if !ent.missingSince.IsZero() {
			dir.remove(id, now)
			expired = append(expired, id)
		}
	}
	return expired
}

// Missing returns the number of missing entries that are still kept.
func (dir *UpstreamDirectory) Missing() int {
	count := 0
	for _, ent := range dir.entries {
		if !ent.missingSince.IsZero() {
			count++
		}
	}
	return count
}

// Upstreams returns the upstreams in the order of their IDs. Of several with one
// address it returns only the last started: the entry of a crashed upstream
// stays on the list for seconds after its address is assigned to another one.
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
