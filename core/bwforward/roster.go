package bwforward

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"bilberrywick/core/bwmodel"
)

// GatewayRoster holds the announcements of the other gateways. Only the control
// goroutine uses it. The zero value is empty.
type GatewayRoster struct {
	others map[bwmodel.MemberID]Announcement
}

// Announcement is what a gateway publishes about itself in the store.
type Announcement struct {
	Member bwmodel.MemberID
	Zone   bwmodel.ZoneID
	// Address receives datagrams. Key signs the datagrams that the gateway sends.
	Address netip.AddrPort
	Key     []byte
	// Leaving is set when the gateway is stopping, since LeavingSince.
	Leaving      bool
	LeavingSince time.Duration
	// Seen is the time of the announcement on the store's monotonic clock, which all
	// gateways share. All times below are on the same clock.
	Seen time.Duration
	// AnnouncedSince is the time of the gateway's first announcement since its start.
	AnnouncedSince time.Duration
	// Era is the store's era in which it was written, TableVersion the version of the
	// routing table that the gateway used then; 0 means none.
	Era, TableVersion uint64
	// Quarantined has the parts of prompts that the gateway has put into quarantine.
	Quarantined []AnnouncedParts
	// RowVersion is the version of the announcement's row in the store; 0 means that it
	// has none.
	RowVersion uint64
}

// IsNewer reports whether an announcement was made after another one of the same gateway.
// The era comes first, as the clock of a restored store may be set back.
func (ann Announcement) IsNewer(other Announcement) bool {
	if ann.Era != other.Era {
		return ann.Era > other.Era
	}
	return ann.Seen > other.Seen
}

// Supersede returns the announcement with a time and an era that make it newer than a
// stored one of the same gateway, and the version of the row that it replaces. The time
// of a stored one that is far ahead is from a clock that was set back since.
func (ann Announcement) Supersede(stored Announcement) Announcement {
	ann.RowVersion = stored.RowVersion
	ann.Era = max(ann.Era, stored.Era)
	ann.Seen = ann.Seen.Truncate(announcementTick)
	if ann.Era == stored.Era && ann.Seen <= stored.Seen && stored.Seen-ann.Seen < maxAnnouncementLead {
		ann.Seen = stored.Seen + announcementTick
	}
	return ann
}

// AnnouncedParts is a group of quarantined parts in an announcement.
type AnnouncedParts struct {
	Parts []PartID
	// Until is the end of the quarantine on the store's monotonic clock.
	Until time.Duration
}

const (
	// AnnounceInterval is the time between two announcements. It is long because
	// announcements have a cost and the number of gateways changes slowly. One that
	// starts or stops announces it at once.
	AnnounceInterval = time.Minute
	// maxAnnouncementAge is the age from which an announcement is ignored.
	maxAnnouncementAge = 2*AnnounceInterval + 5*time.Second
	// announcementTick is the resolution of the times in announcements.
	announcementTick = time.Millisecond
	// maxAnnouncementLead is how far ahead of a gateway's reading of the store's clock an
	// announcement may be. Readings are late by less than a call takes.
	maxAnnouncementLead = 5 * time.Second
)

// Apply applies announcements of other gateways, read at a time on the store's clock, and
// returns those that are newer than what was known of their gateways. The store may have
// an older one: it was restored from a copy, or a write whose response was lost was done
// after a later one. If full is set they are all announcements, and gateways without one
// are forgotten.
func (rst *GatewayRoster) Apply(anns []Announcement, now time.Duration, full bool) []Announcement {
	known := rst.others
	if known == nil || full {
		rst.others = make(map[bwmodel.MemberID]Announcement, len(anns))
	}
	var newer []Announcement
	for _, ann := range anns {
		old, ok := known[ann.Member]
		if ok && !ann.IsNewer(old) && old.Seen-now < maxAnnouncementLead {
			rst.others[ann.Member] = old
			continue
		}
		rst.others[ann.Member] = ann
		newer = append(newer, ann)
	}
	return newer
}

// Count returns the number of gateways, including this one.
func (rst *GatewayRoster) Count(now time.Duration) int {
	count := 1
	for _, ann := range rst.others {
		if now-ann.Seen < maxAnnouncementAge {
			count++
		}
	}
	return count
}

// ActivePeers returns the number of other gateways that are not stopping.
func (rst *GatewayRoster) ActivePeers(now time.Duration) int {
	count := 0
	for _, ann := range rst.others {
		if now-ann.Seen < maxAnnouncementAge && !ann.Leaving {
			count++
		}
	}
	return count
}

// Established reports whether a gateway announced itself so long ago that all
// those that started together with it have done so too.
func (rst *GatewayRoster) Established(now time.Duration) bool {
	for _, ann := range rst.others {
		if age := now - ann.Seen; age >= firstCountDelay && age < maxAnnouncementAge {
			return true
		}
	}
	return false
}

// Others returns the announcements of the other gateways that receive datagrams,
// in the order of their member IDs.
func (rst *GatewayRoster) Others(now time.Duration) []Announcement {
	var anns []Announcement
	for _, ann := range rst.others {
		if now-ann.Seen < maxAnnouncementAge && ann.Address.IsValid() {
			anns = append(anns, ann)
		}
	}
	slices.SortFunc(anns, func(aa, ab Announcement) int { return cmp.Compare(aa.Member, ab.Member) })
	return anns
}

// SettledCount is the number of gateways by which the slack of the retry budgets
// is divided. It is the largest number of some time, since a gateway that has
// just started, or reads the announcements after an outage of the store, may not
// see all those that send requests. The zero value is ready for use.
type SettledCount struct {
	first     time.Time
	isSettled bool
	// counts has the numbers that may still be the largest, in order of time and
	// decreasing.
	counts []observedCount
}

type observedCount struct {
	at    time.Time
	count int
}

const (
	// firstCountDelay is the time in which gateways that start together announce
	// themselves and read each other's announcements.
	firstCountDelay = 5 * time.Second
	// lowerCountDelay is the time in which a gateway whose announcement has lapsed
	// announces itself again.
	lowerCountDelay = AnnounceInterval + firstCountDelay
)

// Observe records the number of gateways and returns the settled number. It is 0
// until firstCountDelay after the first call, or until the fleet is established.
func (stc *SettledCount) Observe(count int, established bool, now time.Time) int {
	if stc.first.IsZero() {
		stc.first = now
	}
	obs := observedCount{at: now, count: count}
	for last := len(stc.counts) - 1; last >= 0 && stc.counts[last].count <= count; last-- {
		// The number before the replaced one still ended when that one began.
		obs.at = stc.counts[last].at
		stc.counts = stc.counts[:last]
	}
	stc.counts = append(stc.counts, obs)
	// A number holds until the next one was observed.
	for len(stc.counts) > 1 && now.Sub(stc.counts[1].at) >= lowerCountDelay {
		stc.counts = stc.counts[1:]
	}
	stc.isSettled = stc.isSettled || established || now.Sub(stc.first) >= firstCountDelay
	if !stc.isSettled {
		return 0
	}
	return stc.counts[0].count
}
