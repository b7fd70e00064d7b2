package bwmember_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"bilberrywick/core/bwmember"
	"bilberrywick/core/bwmodel"
)

type fakeClock struct{ now time.Time }

func (clk *fakeClock) read() time.Time { return clk.now }

func router(id bwmodel.MemberID, zone bwmodel.ZoneID) bwmodel.Member {
	return bwmodel.Member{ID: id, Incarnation: 1, Role: bwmodel.RouterRole, Zone: zone}
}

func statuses(dir *bwmember.Directory) map[bwmodel.MemberID]bwmember.Status {
	got := make(map[bwmodel.MemberID]bwmember.Status)
	for _, ent := range dir.Entries() {
		got[ent.Member.ID] = ent.Status
	}
	return got
}

func agent(id bwmodel.MemberID, zone bwmodel.ZoneID) bwmodel.Member {
	return bwmodel.Member{ID: id, Incarnation: 1, Role: bwmodel.AgentRole, Zone: zone}
}

// Guards against an outdated platform list that hides a live member or shows an
// unresponsive one as live. Agents are live while they have contact; a router is
// live until a monitor finds it unresponsive.
func TestContactOverridesPlatformList(t *testing.T) {
	clk := &fakeClock{now: time.Unix(1e6, 0)}
	dir := bwmember.NewDirectory(bwmember.Config{Self: router("self", "Bole"), Now: clk.read})
	leaving := router("c", "Bole")
	leaving.Leaving = true
	dir.RecordContact(agent("a", "Bole"), 0)
	dir.RecordContact(router("d", "Bole"), 0)
	dir.ApplyPlatformList([]bwmodel.Member{router("b", "Bole"), leaving})
	want := map[bwmodel.MemberID]bwmember.Status{
		"a": bwmember.Live, "b": bwmember.Suspect, "c": bwmember.Leaving, "d": bwmember.Live,
	}
	if got := statuses(dir); fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("got %v, want %v", got, want)
	}
	clk.now = clk.now.Add(4 * time.Second)
	dir.RecordContact(router("b", "Bole"), time.Second)
	dir.RecordContact(agent("a", "Bole"), 5*time.Second)
	dir.MarkSuspect("d")
	want = map[bwmodel.MemberID]bwmember.Status{
		"a": bwmember.Suspect, "b": bwmember.Live, "c": bwmember.Leaving, "d": bwmember.Suspect,
	}
	if got := statuses(dir); fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("after 4 s: got %v, want %v", got, want)
	}
}

// Guards against a message of an earlier incarnation that makes a member live
// again, and against a leaving member that becomes live without a restart.
func TestIncarnations(t *testing.T) {
	clk := &fakeClock{now: time.Unix(1e6, 0)}
	dir := bwmember.NewDirectory(bwmember.Config{Self: router("self", "Bole"), Now: clk.read})
	leaving := router("a", "Bole")
	leaving.Leaving = true
	dir.RecordContact(leaving, time.Second)
	dir.RecordContact(router("a", "Bole"), 0)
	if got := statuses(dir)["a"]; got != bwmember.Leaving {
		t.Errorf("same incarnation: got %v, want Leaving", got)
	}
	next := router("a", "Bole")
	next.Incarnation = 2
	dir.RecordContact(next, 0)
	dir.RecordContact(leaving, 0)
	dir.ApplyPlatformList([]bwmodel.Member{leaving})
	if got := statuses(dir)["a"]; got != bwmember.Live {
		t.Errorf("after a restart: got %v, want Live", got)
	}
}

func liveEntries(zones ...bwmodel.ZoneID) []bwmember.Entry {
	var ents []bwmember.Entry
	for _, zone := range zones {
		for ix := range 10 {
			mem := router(bwmodel.MemberID(fmt.Sprint(zone, ix)), zone)
			ents = append(ents, bwmember.Entry{Member: mem, Status: bwmember.Live})
		}
	}
	return ents
}

// Guards against a zone in which no router or every router polls the store.
func TestTwoStorePollersPerZone(t *testing.T) {
	all := liveEntries("Bole", "Kality")
	pollers := make(map[bwmodel.ZoneID]int)
	for ix, ent := range all {
		others := append(append([]bwmember.Entry(nil), all[:ix]...), all[ix+1:]...)
		if bwmember.PollsStore(ent.Member, others) {
			pollers[ent.Member.Zone]++
		}
	}
	if pollers["Bole"] != 2 || pollers["Kality"] != 2 {
		t.Errorf("got store pollers %v, want 2 in each zone", pollers)
	}
}

// Guards against a copy of a record in the zone whose failure it must survive.
func TestRecordHolderIsInAnotherZone(t *testing.T) {
	self := router("self", "Bole")
	chosen := make(map[bwmodel.MemberID]int)
	for ix := range 200 {
		holders := bwmember.RecordHolders(self, liveEntries("Bole", "Kality", "Merkato"), bwmodel.RequestID{byte(ix)})
		if holders[0].Zone == self.Zone || len(holders) != 30 {
			t.Fatalf("got %d holders, first %v; want 30 holders, first in another zone", len(holders), holders[0])
		}
		chosen[holders[0].ID]++
	}
	if len(chosen) < 15 {
		t.Errorf("200 requests use %d of 20 holders, want at least 15", len(chosen))
	}
	if holders := bwmember.RecordHolders(self, liveEntries("Bole"), bwmodel.RequestID{}); len(holders) != 10 {
		t.Errorf("with one zone: got %d holders, want 10", len(holders))
	}
}

// Guards against a push that does not reach the other zones.
func TestPushCrossesZones(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	for range 20 {
		zones := make(map[bwmodel.ZoneID]int)
		for _, mem := range bwmember.PushTargets(router("self", "Bole"), liveEntries("Bole", "Kality", "Merkato"), 6, rng) {
			zones[mem.Zone]++
		}
		if zones["Kality"] != 1 || zones["Merkato"] != 1 || zones["Bole"] != 4 {
			t.Errorf("got targets in %v, want one in each other zone and 4 in its own", zones)
		}
	}
}

// Guards against a subset whose upstreams are all in one zone: the failure of
// the zone would leave the router without an upstream.
func TestSubsetSpansTwoZones(t *testing.T) {
	var ups []bwmodel.Upstream
	for ix := range 100 {
		zone := bwmodel.ZoneID("Bole")
		if ix == 0 {
			zone = "Kality"
		}
		ups = append(ups, bwmodel.Upstream{Name: bwmodel.UpstreamID(fmt.Sprint("u", ix)), Region: "Addis", Zone: zone})
	}
	for ix := range 20 {
		self := router(bwmodel.MemberID(fmt.Sprint("r", ix)), "Bole")
		self.Region = "Addis"
		zones := make(map[bwmodel.ZoneID]int)
		for _, up := range bwmember.UpstreamSubset(self, ups, 8) {
			zones[up.Zone]++
		}
		if zones["Kality"] != 1 || zones["Bole"] != 7 {
			t.Errorf("router %d follows %v, want 8 upstreams in 2 zones", ix, zones)
		}
	}
}
