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
	// Leaving is set when the gateway is stopping.
	Leaving bool
	// Seen is the time of the announcement on the store's monotonic clock, which all
	// gateways share.
	Seen time.Duration
	// Started is the start of the gateway on the same clock.
	Started time.Duration
	// Era is the store's era in which it was written, TableVersion the version of the
	// routing table that the gateway used then; 0 means none.
	Era, TableVersion uint64
	// Quarantined has the parts of prompts that the gateway has put into quarantine.
	Quarantined []AnnouncedParts
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
)

// Replace replaces all announcements; others must not contain that of this
// gateway.
func (rst *GatewayRoster) Replace(others []Announcement) {
	rst.others = make(map[bwmodel.MemberID]Announcement, len(others))
	for _, ann := range others {
		rst.others[ann.Member] = ann
	}
}

// Newer returns the announcements that are newer than what is known of their gateways. A
// store that was restored from a copy has older ones.
func (rst *GatewayRoster) Newer(anns []Announcement) []Announcement {
	var newer []Announcement
	for _, ann := range anns {
		if known, ok := rst.others[ann.Member]; !ok || ann.Seen > known.Seen {
			newer = append(newer, ann)
		}
	}
	return newer
}

// Put adds or replaces an announcement.
func (rst *GatewayRoster) Put(ann Announcement) {
	if rst.others == nil {
		rst.others = make(map[bwmodel.MemberID]Announcement)
	}
	rst.others[ann.Member] = ann
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

// permitHolderAge is the age from which a gateway grants permits. All others have read
// its announcement by then.
const permitHolderAge = 10 * time.Second

// PermitHolders returns the gateways that grant permits, of which self is this one:
// those that are not stopping and are known to all, or all if there is none.
func (rst *GatewayRoster) PermitHolders(self Announcement, now time.Duration) []Announcement {
	var known, young []Announcement
	add := func(ann Announcement) {
		if now-ann.Started >= permitHolderAge {
			known = append(known, ann)
		} else {
			young = append(young, ann)
		}
	}
	add(self)
	for _, ann := range rst.others {
		if now-ann.Seen < maxAnnouncementAge && !ann.Leaving && ann.Address.IsValid() {
			add(ann)
		}
	}
	if len(known) == 0 {
		return young
	}
	return known
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
