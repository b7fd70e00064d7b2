package bwmember_test

import (
	"slices"
	"testing"
	"time"

	"bilberrywick/core/bwmember"
	"bilberrywick/core/bwmodel"
)

// Guards against a router that only its own zone watches over: the loss of the
// zone would go unnoticed.
func TestOverseersAreInOtherZones(t *testing.T) {
	all := entries("Bole", "Kality", "Merkato")
	near, far := make(map[bwmodel.MemberID]int), make(map[bwmodel.MemberID]int)
	for ix, ent := range all {
		others := slices.Concat(all[:ix], all[ix+1:])
		for _, mem := range bwmember.MonitoredRouters(ent.Member, others) {
			if mem.Zone == ent.Member.Zone {
				near[mem.ID]++
			} else {
				far[mem.ID]++
			}
		}
	}
	for _, ent := range all {
		id := ent.Member.ID
		if far[id] < 2 || near[id]+far[id] != bwmember.MonitorsPerRouter {
			t.Errorf("%s has %d overseers in other zones and %d in its own, want 3 with at least 2 in others", id, far[id], near[id])
		}
	}
}

// Guards against a live router that a false report keeps out, and against an
// old report that comes back after the answer.
func TestRefutation(t *testing.T) {
	clk := &clock{now: time.Unix(1e6, 0)}
	self := bwmember.NewDirectory(bwmember.Config{Self: router("a", "Bole"), Now: clk.read})
	other := bwmember.NewDirectory(bwmember.Config{Self: router("b", "Kality"), Now: clk.read})
	other.Merge([]bwmember.Record{self.SelfRecord()})
	if !other.MarkSuspect("a") || statuses(other)["a"] != bwmember.Suspect {
		t.Fatal("report had no effect")
	}
	report := other.NonLiveRecords()
	if !self.Merge(report) {
		t.Fatal("router does not answer a report about itself")
	}
	if !other.Merge([]bwmember.Record{self.SelfRecord()}) || statuses(other)["a"] != bwmember.Live {
		t.Error("answer had no effect")
	}
	if other.Merge(report) || statuses(other)["a"] != bwmember.Live {
		t.Error("old report took effect after the answer")
	}
}
