package bwforward_test

import (
	"fmt"
	"testing"
	"time"

	"bilberrywick/core/bwforward"
)

// Guards against an older announcement that replaces what is known of a gateway, since
// the store was restored from a copy or did a write late; and against one that is never
// replaced since its time is from a clock that was set back.
func TestRosterTakesNewerAnnouncements(t *testing.T) {
	const now = time.Hour
	known := bwforward.Announcement{Member: "a", Era: 2, Seen: now}
	tests := []struct {
		name string
		ann  bwforward.Announcement
		want bool
	}{
		{"later", bwforward.Announcement{Member: "a", Era: 2, Seen: now + time.Millisecond}, true},
		{"earlier", bwforward.Announcement{Member: "a", Era: 2, Seen: now - time.Minute, Leaving: true}, false},
		{"the same", known, false},
		{"later era, clock set back", bwforward.Announcement{Member: "a", Era: 3, Seen: now - time.Minute}, true},
		{"earlier era", bwforward.Announcement{Member: "a", Era: 1, Seen: now + time.Minute}, false},
		{"other gateway", bwforward.Announcement{Member: "b", Seen: now}, true},
	}
	for _, tt := range tests {
		for _, full := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, full %v", tt.name, full), func(t *testing.T) {
				var rst bwforward.GatewayRoster
				rst.Apply([]bwforward.Announcement{known}, now, true)
				newer := rst.Apply([]bwforward.Announcement{tt.ann}, now, full)
				if got := len(newer) == 1; got != tt.want {
					t.Errorf("taken %v, want %v", got, tt.want)
				}
				want := 1
				if tt.ann.Member == "b" && !full {
					want = 2
				}
				if active := rst.ActivePeers(now); active != want {
					t.Errorf("%d gateways that don't stop, want %d", active, want)
				}
			})
		}
	}
	var rst bwforward.GatewayRoster
	rst.Apply([]bwforward.Announcement{{Member: "a", Seen: now + time.Hour}}, now, true)
	if newer := rst.Apply([]bwforward.Announcement{{Member: "a", Seen: now}}, now, false); len(newer) != 1 {
		t.Error("an announcement from before the clock was set back is kept")
	}
}

// Guards against an announcement that the others take for older than the one that it
// replaces: its gateway has restarted within a step of the clock, has not noticed that
// the store was restored, or its reading of the clock is behind.
func TestAnnouncementSupersedes(t *testing.T) {
	const now = time.Hour + 300*time.Microsecond
	for _, stored := range []bwforward.Announcement{
		{Seen: time.Hour, RowVersion: 7},
		{Seen: time.Hour - time.Minute, RowVersion: 7},
		{Seen: time.Hour + 2*time.Second, RowVersion: 7},
		{Era: 3, Seen: time.Minute, RowVersion: 7},
		{Era: 3, Seen: time.Hour + time.Second, RowVersion: 7},
		{},
	} {
		ann := bwforward.Announcement{Era: 2, Seen: now}.Supersede(stored)
		if !ann.IsNewer(stored) || ann.RowVersion != stored.RowVersion || ann.Seen%time.Millisecond != 0 {
			t.Errorf("%+v does not replace %+v", ann, stored)
		}
	}
	// The time of the stored one would keep the others from ever taking a later one.
	ahead := bwforward.Announcement{Seen: now + time.Hour}
	if ann := (bwforward.Announcement{Seen: now}).Supersede(ahead); ann.Seen > now {
		t.Errorf("announced at %v, the clock is at %v", ann.Seen, now)
	}
}

// Guards against gateways that end up with different announcements after the same writes
// were read in different orders.
func TestRosterOrderOfReads(t *testing.T) {
	writes := []bwforward.Announcement{
		{Member: "a", Seen: 1 * time.Second},
		{Member: "a", Seen: 2 * time.Second, Leaving: true},
		{Member: "a", Seen: 3 * time.Second},
		{Member: "a", Era: 1, Seen: 2500 * time.Millisecond},
	}
	orders := [][]int{{0, 1, 2, 3}, {0, 2, 1, 3}, {3, 2, 1, 0}, {2, 3, 1, 0}, {1, 3, 0, 2}}
	for _, order := range orders {
		var rst bwforward.GatewayRoster
		for _, ix := range order {
			rst.Apply([]bwforward.Announcement{writes[ix]}, 4*time.Second, false)
		}
		if rst.ActivePeers(4*time.Second) != 1 {
			t.Errorf("read in the order %v: the gateway is taken to stop", order)
		}
		if newer := rst.Apply([]bwforward.Announcement{{Member: "a", Era: 1, Seen: 2500 * time.Millisecond}}, 4*time.Second, false); len(newer) > 0 {
			t.Errorf("read in the order %v: the last announcement was not kept", order)
		}
	}
}
