package bwforward

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"bilberrywick/core/bwmodel"
)

// GatewayRoster knows the other gateways that have announced themselves. Its control
// goroutine owns it; the zero value is empty.
type GatewayRoster struct {
	others map[bwmodel.MemberID]Announcement
}

// Announcement is what a gateway says of itself.
type Announcement struct {
	Member bwmodel.MemberID
	// Address is where it takes datagrams, and Key what it signs its own with.
	Address netip.AddrPort
	Key     []byte
	// Leaving says that it stops.
	Leaving bool
	// Seen is the time of the announcement on one steady clock for all.
	Seen time.Duration
}

const (
	// AnnounceInterval is the time between two announcements, which have a
	// price; the number of gateways changes slowly.
	AnnounceInterval = 15 * time.Second
	// rosterAge is the age of an announcement whose gateway still counts.
	rosterAge = 2*AnnounceInterval + 5*time.Second
)

// Replace takes in all announcements but the own.
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

// Count returns the number of gateways, with this one.
func (rst *GatewayRoster) Count(now time.Duration) int {
	count := 1
	for _, ann := range rst.others {
		if now-ann.Seen < rosterAge {
			count++
		}
	}
	return count
}

// ActivePeers returns the number of other gateways that don't stop.
func (rst *GatewayRoster) ActivePeers(now time.Duration) int {
	count := 0
	for _, ann := range rst.others {
		if now-ann.Seen < rosterAge && !ann.Leaving {
			count++
		}
	}
	return count
}

// Others returns the other gateways that take datagrams, in the order of their
// names.
func (rst *GatewayRoster) Others(now time.Duration) []Announcement {
	var anns []Announcement
	for _, ann := range rst.others {
		if now-ann.Seen < rosterAge && ann.Address.IsValid() {
			anns = append(anns, ann)
		}
	}
	slices.SortFunc(anns, func(aa, ab Announcement) int { return cmp.Compare(aa.Member, ab.Member) })
	return anns
}
