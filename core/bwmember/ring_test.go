package bwmember_test

import (
	"slices"
	"testing"
	"time"

	"bilberrywick/core/bwmember"
	"bilberrywick/core/bwmodel"
)

// Guards against a router that is monitored only from its own zone: a failure of
// the whole zone would not be detected.
func TestMonitorsAreInOtherZones(t *testing.T) {
	all := liveEntries("Bole", "Kality", "Merkato")
	sameZone, otherZones := make(map[bwmodel.MemberID]int), make(map[bwmodel.MemberID]int)
	for ix, ent := range all {
		others := slices.Concat(all[:ix], all[ix+1:])
		for _, mem := range bwmember.MonitoredRouters(ent.Member, others) {
			if mem.Zone == ent.Member.Zone {
				sameZone[mem.ID]++
			} else {
				otherZones[mem.ID]++
			}
		}
	}
	for _, ent := range all {
		id := ent.Member.ID
		if otherZones[id] < 2 || sameZone[id]+otherZones[id] != bwmember.MonitorsPerRouter {
			t.Errorf("%s has %d monitors in other zones and %d in its own, want 3 with at least 2 in others", id, otherZones[id], sameZone[id])
		}
	}
}

// Guards against a live router that stays suspect after a false report, and
// against a stale report that takes effect after its refutation.
func TestRefutation(t *testing.T) {
	clk := &fakeClock{now: time.Unix(1e6, 0)}
	self := bwmember.NewDirectory(bwmember.Config{Self: router("a", "Bole"), Now: clk.read})
	other := bwmember.NewDirectory(bwmember.Config{Self: router("b", "Kality"), Now: clk.read})
	other.Merge([]bwmember.Record{self.SelfRecord()})
	if !other.MarkSuspect("a") || statuses(other)["a"] != bwmember.Suspect {
		t.Fatal("the report did not make the router suspect")
	}
	report := other.NonLiveRecords()
	if !self.Merge(report) {
		t.Fatal("the router did not refute a report about itself")
	}
	if !other.Merge([]bwmember.Record{self.SelfRecord()}) || statuses(other)["a"] != bwmember.Live {
		t.Error("the refutation did not make the router live")
	}
	if other.Merge(report) || statuses(other)["a"] != bwmember.Live {
		t.Error("a stale report took effect after its refutation")
	}
}
