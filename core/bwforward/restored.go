package bwforward

import (
	"time"

	"bilberrywick/core/bwmodel"
)

// The list of upstreams is kept in a store that may be restored from a copy some
// seconds old. Entries of the copy are older than what is known: an upstream that
// leaves is listed as ready, one that has left is listed again. Upstreams that live
// replace their entries with their next report; those that don't lapse.

const (
	// outdatedEntryDelay is the time after which an entry of a restored list is believed
	// although it is older than what was known. A silent upstream's entry has lapsed by
	// then, after three intervals of the reports of 1.2 s.
	outdatedEntryDelay = 6 * time.Second
	// removedTime is how long a removed entry is remembered. Copies are some seconds old.
	removedTime = 2 * time.Minute
)

// datedEntry is an entry that was listed or removed at a time.
type datedEntry struct {
	up Upstream
	at time.Time
}

// ReplaceRestored applies the complete list of a store that was restored from an older
// copy. As after an outage, missing entries are kept for a while, since upstreams write
// them again. Entries that are older than what is known are believed only if they are
// still listed after a while; it returns their number.
func (dir *UpstreamDirectory) ReplaceRestored(ups []Upstream, now time.Time) int {
	dir.listUnavailable, dir.availableSince = false, now
	var current []Upstream
	for _, up := range ups {
		if dir.isOutdated(up) {
			dir.outdated[up.ID] = datedEntry{up, now}
		} else {
			current = append(current, up)
		}
	}
	dir.Replace(current, now)
	return len(dir.outdated)
}

// isOutdated reports whether an entry is older than what is known of its upstream.
func (dir *UpstreamDirectory) isOutdated(up Upstream) bool {
	if ent := dir.entries[up.ID]; ent != nil && !ent.unlisted {
		return isBefore(up, ent.up)
	}
	if rmv, ok := dir.removed[up.ID]; ok {
		return !isBefore(rmv.up, up)
	}
	return false
}

// isBefore reports whether an entry is older than another one of its ID.
func isBefore(up, other Upstream) bool {
	if !up.StartTime.Equal(other.StartTime) {
		return up.StartTime.Before(other.StartTime)
	}
	return up.Report < other.Report
}

// remove removes an entry that is no longer on the list, and remembers it.
func (dir *UpstreamDirectory) remove(id bwmodel.UpstreamID, now time.Time) {
	if ent := dir.entries[id]; ent != nil && !ent.unlisted {
		dir.removed[id] = datedEntry{ent.up, now}
	}
	dir.RemoveNow(id)
}

// expireOutdated believes the outdated entries that are still listed, and forgets what
// was removed long ago.
func (dir *UpstreamDirectory) expireOutdated(now time.Time) {
	for id, dte := range dir.outdated {
		if now.Sub(dte.at) >= outdatedEntryDelay {
			delete(dir.outdated, id)
			dir.Put(dte.up, now)
		}
	}
	for id, dte := range dir.removed {
		if now.Sub(dte.at) >= removedTime {
			delete(dir.removed, id)
		}
	}
}
