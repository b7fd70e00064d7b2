package bwforward_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"bilberrywick/core/bwforward"
	"bilberrywick/core/bwmodel"
)

// clock is set by hand.
type clock struct{ now time.Time }

func (clk *clock) read() time.Time { return clk.now }

func newClock() *clock { return &clock{now: time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)} }

func upstream(id, zone string, slots int) bwforward.Upstream {
	addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, zone[1], id[1]}), 80)
	return bwforward.Upstream{ID: bwmodel.UpstreamID(id), Service: "model", Zone: bwmodel.ZoneID(zone), Address: addr, Slots: slots, StartTime: time.Unix(1, 0)}
}

var model = bwforward.Service{Name: "model", Model: &bwforward.Model{Memory: 20_000, Copies: true}}

var (
	stream = bwforward.Work{Service: model, PromptTokens: 8000, MaxOutputTokens: 800}
	plain  = bwforward.Work{Service: bwforward.Service{Name: "model"}}
)

// choice counts what a pool picks.
func choice(pl *bwforward.Pool, wrk bwforward.Work) string {
	nd := pl.Choose(wrk)
	if nd == nil {
		return ""
	}
	return string(nd.ID)
}

// Guards against work for an upstream that leaves, has failed, is full, was
// replaced, or is excluded, while another one is free.
func TestChooseAvoids(t *testing.T) {
	tests := []struct {
		name  string
		work  bwforward.Work
		spoil func(*bwforward.Pool, *bwforward.Node, *clock)
	}{
		{"failed", stream, func(_ *bwforward.Pool, nd *bwforward.Node, clk *clock) { nd.RecordFailure(clk.now) }},
		{"replaced", stream, func(_ *bwforward.Pool, nd *bwforward.Node, _ *clock) { nd.MarkReplaced() }},
		{"memory taken", stream, func(_ *bwforward.Pool, nd *bwforward.Node, _ *clock) {
			nd.PlaceCopy(bwforward.Work{PromptTokens: 10_000})
		}},
		{"prompt unread", stream, func(_ *bwforward.Pool, nd *bwforward.Node, _ *clock) { nd.Place(bwforward.Work{PromptTokens: 1000}) }},
		{"waiting requests", plain, func(_ *bwforward.Pool, nd *bwforward.Node, clk *clock) {
			nd.ObserveLoad(bwforward.Load{Running: 6, Waiting: 3, Slots: 6}, clk.now)
		}},
		{"slowed", plain, func(_ *bwforward.Pool, nd *bwforward.Node, clk *clock) {
			nd.ObserveLoad(bwforward.Load{Slots: 6, Slowdown: 4}, clk.now)
		}},
		{"leaving", plain, func(pl *bwforward.Pool, _ *bwforward.Node, _ *clock) {
			left := upstream("e1", "z1", 6)
			left.Leaving = true
			pl.Update([]bwforward.Upstream{left, upstream("e2", "z1", 6)})
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			clk := newClock()
			pl := bwforward.NewPool(bwforward.PoolConfig{Zone: "z1", Now: clk.read})
			pl.Update([]bwforward.Upstream{upstream("e1", "z1", 6), upstream("e2", "z1", 6)})
			first := pl.Choose(bwforward.Work{Service: tt.work.Service, Exclude: []bwmodel.UpstreamID{"e2"}})
			tt.spoil(pl, first, clk)
			for range 20 {
				if got := choice(pl, tt.work); got != "e2" {
					t.Fatalf("chose %q, want e2", got)
				}
			}
			tt.work.Exclude = []bwmodel.UpstreamID{"e2"}
			got := choice(pl, tt.work)
			if (tt.name == "leaving" || tt.name == "replaced") && got != "" {
				t.Errorf("chose %q, want none", got)
			}
		})
	}
}

// Guards against an upstream that stays suspended after its pause, and against
// counts that are lost or kept when an entry changes.
func TestSuspensionEnds(t *testing.T) {
	clk := newClock()
	pl := bwforward.NewPool(bwforward.PoolConfig{Zone: "z1", Now: clk.read})
	pl.Update([]bwforward.Upstream{upstream("e1", "z1", 6), upstream("e2", "z2", 6)})
	nd := pl.Choose(plain)
	nd.RecordFailure(clk.now)
	if got := choice(pl, plain); got != "e2" {
		t.Errorf("chose %q while e1 is suspended", got)
	}
	clk.now = clk.now.Add(300 * time.Millisecond)
	if got := choice(pl, plain); got != "e1" {
		t.Errorf("chose %q after the suspension, want e1", got)
	}
	if !nd.FailingSince(clk.now.Add(-time.Second)) {
		t.Error("failure is forgotten before an answer")
	}
	plc := nd.Place(stream)
	changed := upstream("e1", "z1", 6)
	changed.Leaving = true
	pl.Update([]bwforward.Upstream{changed, upstream("e2", "z2", 6)})
	if nd.Running() != 1 || pl.AcceptsWork(nd) {
		t.Errorf("running %d and current %v of a leaving upstream, want 1 and false", nd.Running(), pl.AcceptsWork(nd))
	}
	plc.End()
	plc.End()
	if nd.Running() != 0 {
		t.Errorf("running %d after the end, want 0", nd.Running())
	}
}

// Guards against an engine that costs more and more requests though it keeps
// failing them. What an engine says of its health has no part in a choice; only
// what requests meet counts. Work comes every 20 ms for a minute, and the bad
// engine is the nearest.
func TestBadEngineCostsFewRequests(t *testing.T) {
	tests := []struct {
		name string
		// down reports whether the engine fails work at a time of the minute.
		down func(time.Duration) bool
		most int
	}{
		// 250 ms, 500 ms, 1 s, 2 s, and then 4 s between tries.
		{"lies", func(time.Duration) bool { return true }, 19},
		// No more than one that is always down. Without a memory of earlier failures
		// each second that it is down costs three.
		{"flaps", func(at time.Duration) bool { return at%(2*time.Second) < time.Second }, 19},
		{"fails once", func(at time.Duration) bool { return at < 20*time.Millisecond }, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			clk := newClock()
			pl := bwforward.NewPool(bwforward.PoolConfig{Zone: "z1", Now: clk.read})
			pl.Update([]bwforward.Upstream{upstream("e1", "z1", 64), upstream("e2", "z2", 64)})
			lost := 0
			for at := time.Duration(0); at < time.Minute; at += 20 * time.Millisecond {
				nd := pl.Choose(plain)
				switch {
				case nd.ID == "e1" && tt.down(at):
					nd.RecordFailure(clk.now)
					lost++
				default:
					nd.RecordResponse(clk.now)
				}
				clk.now = clk.now.Add(20 * time.Millisecond)
			}
			if lost > tt.most || lost == 0 {
				t.Errorf("%d requests were lost at the engine, want 1 to %d", lost, tt.most)
			}
		})
	}
}

// Guards against new work in a zone whose upstreams have just died together.
func TestFailingZoneIsLeft(t *testing.T) {
	clk := newClock()
	pl := bwforward.NewPool(bwforward.PoolConfig{Zone: "z1", Now: clk.read})
	var ups []bwforward.Upstream
	for ix := range 6 {
		ups = append(ups, upstream(fmt.Sprintf("e%d", ix), "z1", 64), upstream(fmt.Sprintf("f%d", ix), "z2", 64))
	}
	pl.Update(ups)
	for range 2 {
		pl.Choose(stream).RecordFailure(clk.now)
	}
	for range 20 {
		if nd := pl.Choose(stream); nd.Zone != "z2" {
			t.Fatalf("chose %s in the failing zone", nd.ID)
		}
	}
	clk.now = clk.now.Add(2 * time.Second)
	if nd := pl.Choose(stream); nd.Zone != "z1" {
		t.Errorf("chose %s, want the own zone after its recovery", nd.ID)
	}
}

// Guards against a copy that shares the zone of its run, and against gateways
// that disagree on the engine of a session.
func TestCopiesAndHomes(t *testing.T) {
	clk := newClock()
	var ups []bwforward.Upstream
	for ix := range 4 {
		ups = append(ups, upstream(fmt.Sprintf("e%d", ix), "z1", 64), upstream(fmt.Sprintf("f%d", ix), "z2", 64))
	}
	homes := make(map[string]string)
	for _, zone := range []bwmodel.ZoneID{"z1", "z2"} {
		pl := bwforward.NewPool(bwforward.PoolConfig{Zone: zone, Now: clk.read})
		pl.Update(ups)
		for ix := range 50 {
			wrk := stream
			wrk.Session = fmt.Sprintf("session-%d", ix)
			nd := pl.Choose(wrk)
			if cpy := pl.ChooseCopyTarget(wrk, nd); cpy == nil || cpy.Zone == nd.Zone {
				t.Fatalf("copy of a run in %s is at %v", nd.Zone, cpy)
			}
			if home := homes[wrk.Session]; home != "" && home != string(nd.ID) {
				t.Errorf("%s is at %s and at %s", wrk.Session, home, nd.ID)
			}
			homes[wrk.Session] = string(nd.ID)
		}
	}
}
