package bwforward_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"bilberrywick/core/bwforward"
	"bilberrywick/core/bwmodel"
)

// clock is advanced by the test.
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

// chosenID returns the ID of the upstream that the pool chooses, or "".
func chosenID(pl *bwforward.Pool, wrk bwforward.Work) string {
	nd := pl.Choose(wrk)
	if nd == nil {
		return ""
	}
	return string(nd.ID)
}

// Guards against work for an upstream that is leaving, failing, full, slow,
// replaced or excluded while another one is free.
func TestChooseAvoidsUnavailable(t *testing.T) {
	tests := []struct {
		name    string
		work    bwforward.Work
		disable func(*bwforward.Pool, *bwforward.Node, *clock)
	}{
		{"failed", stream, func(_ *bwforward.Pool, nd *bwforward.Node, clk *clock) { nd.RecordFailure(clk.now) }},
		{"replaced", stream, func(_ *bwforward.Pool, nd *bwforward.Node, clk *clock) { nd.MarkReplaced(clk.now) }},
		{"memory full", stream, func(_ *bwforward.Pool, nd *bwforward.Node, _ *clock) {
			nd.PlaceCopy(bwforward.Work{PromptTokens: 10_000})
		}},
		{"pending prefill", stream, func(_ *bwforward.Pool, nd *bwforward.Node, _ *clock) { nd.Place(bwforward.Work{PromptTokens: 1000}) }},
		{"waiting requests", plain, func(_ *bwforward.Pool, nd *bwforward.Node, clk *clock) {
			nd.ObserveLoad(bwforward.Load{Running: 6, Waiting: 3, Slots: 6}, clk.now)
		}},
		{"slowed", plain, func(_ *bwforward.Pool, nd *bwforward.Node, clk *clock) {
			nd.ObserveLoad(bwforward.Load{Slots: 6, Slowdown: 4}, clk.now)
		}},
		{"leaving", plain, func(pl *bwforward.Pool, _ *bwforward.Node, _ *clock) {
			leaving := upstream("e1", "z1", 6)
			leaving.Leaving = true
			pl.Update([]bwforward.Upstream{leaving, upstream("e2", "z1", 6)})
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			clk := newClock()
			pl := bwforward.NewPool(bwforward.PoolConfig{Zone: "z1", Now: clk.read})
			pl.Update([]bwforward.Upstream{upstream("e1", "z1", 6), upstream("e2", "z1", 6)})
			first := pl.Choose(bwforward.Work{Service: tt.work.Service, Exclude: []bwmodel.UpstreamID{"e2"}})
			tt.disable(pl, first, clk)
			for range 20 {
				if got := chosenID(pl, tt.work); got != "e2" {
					t.Fatalf("chose %q, want e2", got)
				}
			}
			tt.work.Exclude = []bwmodel.UpstreamID{"e2"}
			got := chosenID(pl, tt.work)
			if (tt.name == "leaving" || tt.name == "replaced") && got != "" {
				t.Errorf("chose %q, want none", got)
			}
		})
	}
}

// Guards against an upstream that stays suspended too long, and against counters
// that are lost when its entry changes or not decremented at the end.
func TestSuspensionEnds(t *testing.T) {
	clk := newClock()
	pl := bwforward.NewPool(bwforward.PoolConfig{Zone: "z1", Now: clk.read})
	pl.Update([]bwforward.Upstream{upstream("e1", "z1", 6), upstream("e2", "z2", 6)})
	nd := pl.Choose(plain)
	nd.RecordFailure(clk.now)
	if got := chosenID(pl, plain); got != "e2" {
		t.Errorf("chose %q while e1 is suspended", got)
	}
	clk.now = clk.now.Add(300 * time.Millisecond)
	if got := chosenID(pl, plain); got != "e1" {
		t.Errorf("chose %q after the suspension, want e1", got)
	}
	if !nd.FailingSince(clk.now.Add(-time.Second)) {
		t.Error("failure is cleared before a response")
	}
	placement := nd.Place(stream)
	changed := upstream("e1", "z1", 6)
	changed.Leaving = true
	pl.Update([]bwforward.Upstream{changed, upstream("e2", "z2", 6)})
	if nd.Running() != 1 || pl.AcceptsWork(nd) {
		t.Errorf("leaving upstream has %d running and accepts work: %v, want 1 and false", nd.Running(), pl.AcceptsWork(nd))
	}
	placement.End()
	placement.End()
	if nd.Running() != 0 {
		t.Errorf("%d running after the end, want 0", nd.Running())
	}
}

// Guards against an engine that keeps failing requests and keeps getting them. The
// health that an engine reports does not affect the choice, only the outcome of
// requests does. A request arrives every 20 ms for a minute, and the failing
// engine is the one in the gateway's zone.
func TestFailingEngineGetsFewRequests(t *testing.T) {
	tests := []struct {
		name string
		// down reports whether the engine fails a request after a time.
		down    func(time.Duration) bool
		maxLost int
	}{
		// The engine reports good health and fails every request. The suspensions
		// are 250 ms, 500 ms, 1 s, 2 s and then 4 s.
		{"lies", func(time.Duration) bool { return true }, 19},
		// At most as many as at an engine that is always down. If responses reset the
		// suspension to its shortest, each second of downtime costs three requests.
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
			if lost > tt.maxLost || lost == 0 {
				t.Errorf("the engine failed %d requests, want 1 to %d", lost, tt.maxLost)
			}
		})
	}
}

// Guards against new work in a zone of which two upstreams have just failed.
func TestChooseAvoidsFailingZone(t *testing.T) {
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
			t.Fatalf("chose %s in the failing zone, want one in z2", nd.ID)
		}
	}
	clk.now = clk.now.Add(2 * time.Second)
	if nd := pl.Choose(stream); nd.Zone != "z1" {
		t.Errorf("chose %s after the recovery of z1, want an upstream there", nd.ID)
	}
}

// Guards against a copy in the same zone as its run, and against gateways that
// choose different engines for a session.
func TestCopyZoneAndSessionAffinity(t *testing.T) {
	clk := newClock()
	var ups []bwforward.Upstream
	for ix := range 4 {
		ups = append(ups, upstream(fmt.Sprintf("e%d", ix), "z1", 64), upstream(fmt.Sprintf("f%d", ix), "z2", 64))
	}
	engines := make(map[string]string)
	for _, zone := range []bwmodel.ZoneID{"z1", "z2"} {
		pl := bwforward.NewPool(bwforward.PoolConfig{Zone: zone, Now: clk.read})
		pl.Update(ups)
		for ix := range 50 {
			wrk := stream
			wrk.Session = fmt.Sprintf("session-%d", ix)
			nd := pl.Choose(wrk)
			if cpy := pl.ChooseCopyTarget(wrk, nd); cpy == nil || cpy.Zone == nd.Zone {
				t.Fatalf("copy of a run in %s is placed at %v, want another zone", nd.Zone, cpy)
			}
			if previous := engines[wrk.Session]; previous != "" && previous != string(nd.ID) {
				t.Errorf("%s is placed at %s and at %s, want one engine", wrk.Session, previous, nd.ID)
			}
			engines[wrk.Session] = string(nd.ID)
		}
	}
}

// Replays the loss of a zone's engines. Guards against the work of the other
// services in that zone, whose upstreams are sound, that moves to a few upstreams
// elsewhere.
func TestFailingZoneConcernsOneService(t *testing.T) {
	clk := newClock()
	pl := bwforward.NewPool(bwforward.PoolConfig{Zone: "z1", Now: clk.read})
	var ups []bwforward.Upstream
	for ix := range 4 {
		ups = append(ups, upstream(fmt.Sprintf("e%d", ix), "z1", 64))
	}
	for _, zone := range []string{"z1", "z2"} {
		app := upstream("app-"+zone, zone, 6)
		app.Service = "pult"
		ups = append(ups, app)
	}
	pl.Update(ups)
	for range 4 {
		pl.Choose(stream).RecordFailure(clk.now)
	}
	if got := chosenID(pl, bwforward.Work{Service: bwforward.Service{Name: "pult"}}); got != "app-z1" {
		t.Errorf("chose %s, want the upstream of the own zone", got)
	}
}
