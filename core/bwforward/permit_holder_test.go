package bwforward_test

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"bilberrywick/core/bwforward"
	"bilberrywick/core/bwmodel"
)

// Guards against gateways that all others do not know yet and that grant permits, and
// against fleets in which nobody does; against gateways that disagree on a window since
// they compute its holder at other times; and against one that stops and is still asked
// when it is gone, or that others replace before they can know that it stops.
func TestPermitHolders(t *testing.T) {
	const now = time.Hour
	addr := netip.MustParseAddrPort("10.0.0.1:7340")
	announced := func(member bwmodel.MemberID, age time.Duration) bwforward.Announcement {
		return bwforward.Announcement{Member: member, Address: addr, AnnouncedSince: now - age, Seen: now}
	}
	leaving := func(member bwmodel.MemberID, age time.Duration) bwforward.Announcement {
		ann := announced(member, time.Minute)
		ann.Leaving, ann.LeavingSince = true, now-age
		return ann
	}
	self := bwforward.NewPermitHolder(announced("self", time.Minute))
	young := bwforward.NewPermitHolder(announced("self", time.Second))
	gone := announced("a", time.Minute)
	gone.Seen = now - time.Hour
	deaf := announced("a", time.Minute)
	deaf.Address = netip.AddrPort{}
	tests := []struct {
		name   string
		self   bwforward.PermitHolder
		others []bwforward.Announcement
		want   []bwmodel.MemberID
	}{
		{"alone", young, nil, []bwmodel.MemberID{"self"}},
		{"alone, not announced", bwforward.UnannouncedHolder("self"), nil, []bwmodel.MemberID{"self"}},
		{"a young fleet", young, []bwforward.Announcement{announced("a", time.Second)}, []bwmodel.MemberID{"a", "self"}},
		{"a gateway has joined", self, []bwforward.Announcement{announced("a", time.Second), announced("b", time.Minute)}, []bwmodel.MemberID{"b", "self"}},
		{"this one has joined", young, []bwforward.Announcement{announced("a", time.Minute)}, []bwmodel.MemberID{"a"}},
		{"this one can't announce itself", bwforward.UnannouncedHolder("self"), []bwforward.Announcement{announced("a", time.Minute)}, []bwmodel.MemberID{"a"}},
		{"one has begun to stop", self, []bwforward.Announcement{leaving("a", time.Second)}, []bwmodel.MemberID{"a", "self"}},
		{"one stops", self, []bwforward.Announcement{leaving("a", 10*time.Second)}, []bwmodel.MemberID{"self"}},
		{"this one stops", bwforward.NewPermitHolder(leaving("self", 10*time.Second)), []bwforward.Announcement{announced("a", time.Minute)}, []bwmodel.MemberID{"a"}},
		{"one is gone", self, []bwforward.Announcement{gone}, []bwmodel.MemberID{"self"}},
		{"one receives nothing", self, []bwforward.Announcement{deaf}, []bwmodel.MemberID{"self"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var rst bwforward.GatewayRoster
			rst.Apply(tt.others, now, true)
			holders := rst.PermitHolders(tt.self, now)
			later := rst.PermitHolders(tt.self, now+500*time.Millisecond)
			found := make(map[bwmodel.MemberID]bool)
			for ix := range 200 {
				pwn := bwforward.NewPermitWindow(bwmodel.UpstreamID("up"+string(rune('a'+ix))), 10, now+600*time.Millisecond)
				holder := pwn.Holder(holders).Member
				if other := pwn.Holder(later).Member; other != holder {
					t.Errorf("the window is held by %s, and by %s when that is computed later", holder, other)
				}
				found[holder] = true
			}
			var got []bwmodel.MemberID
			for member := range found {
				got = append(got, member)
			}
			slices.Sort(got)
			if !slices.Equal(got, tt.want) {
				t.Errorf("permits are granted by %v, want %v", got, tt.want)
			}
		})
	}
}
