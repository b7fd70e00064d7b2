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
	// Address receives datagrams. Key signs the datagrams that the gateway sends.
	Address netip.AddrPort
	Key     []byte
	// Leaving is set when the gateway is stopping.
	Leaving bool
	// Seen is the time of the announcement on the store's monotonic clock, which all
	// gateways share.
	Seen time.Duration
}

const (
	// AnnounceInterval is the time between two announcements. It is long because
	// announcements have a cost and the number of gateways changes slowly.
	AnnounceInterval = 15 * time.Second
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
