package bwforward_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"bilberrywick/core/bwforward"
	"bilberrywick/core/bwmodel"
)

// Guards against gateways that place prompts at an engine where another gateway
// has just placed one, and against gateways that each lose a request to the same
// dead engine. A placed stream whose end is not reported counts for the longest
// time that one usually takes.
func TestApplyNote(t *testing.T) {
	tests := []struct {
		name string
		note bwforward.PeerNote
		// recovery is the time after which the engine is chosen again.
		recovery time.Duration
	}{
		{"placed", bwforward.PeerNote{Kind: bwforward.PlacementNote, Upstream: "e1", Prompt: 8000}, 15100 * time.Millisecond},
		{"failed", bwforward.PeerNote{Kind: bwforward.FailureNote, Upstream: "e1"}, 300 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			clk := newClock()
			pl := bwforward.NewPool(bwforward.PoolConfig{Zone: "z1", Now: clk.read})
			pl.Update([]bwforward.Upstream{upstream("e1", "z1", 64), upstream("e2", "z2", 64)})
			pl.ApplyNote(tt.note)
			pl.ApplyNote(bwforward.PeerNote{Kind: tt.note.Kind, Upstream: "unknown"})
			if got := chosenID(pl, stream); got != "e2" {
				t.Errorf("chose %q right after the note, want e2", got)
			}
			clk.now = clk.now.Add(tt.recovery)
			if got := chosenID(pl, stream); got != "e1" {
				t.Errorf("chose %q after the recovery time, want e1", got)
			}
		})
	}
}

// Guards against notes with invalid token counts that attract all work to an engine
// or keep work away from it forever.
func TestApplyNoteBoundsValues(t *testing.T) {
	for _, prompt := range []int{-1 << 40, 1 << 30, math.MaxInt, math.MinInt} {
		clk := newClock()
		pl := bwforward.NewPool(bwforward.PoolConfig{Zone: "z1", Now: clk.read})
		pl.Update([]bwforward.Upstream{upstream("e1", "z1", 64), upstream("e2", "z2", 64)})
		for range 100 {
			pl.ApplyNote(bwforward.PeerNote{Kind: bwforward.PlacementNote, Upstream: "e1", Prompt: prompt})
		}
		if got := chosenID(pl, stream); got != "e2" {
			t.Errorf("prompt of %d tokens: chose %q, want e2, which has no work", prompt, got)
		}
		clk.now = clk.now.Add(30 * time.Second)
		if got := chosenID(pl, stream); got != "e1" {
			t.Errorf("prompt of %d tokens: chose %q after 30 s, want e1", prompt, got)
		}
	}
}

// Guards against a stream that reconnects through another gateway and continues on
// an engine without its prompt in the KV cache, although another engine has it.
func TestReconnectPrefersLastUpstream(t *testing.T) {
	clk := newClock()
	pl := bwforward.NewPool(bwforward.PoolConfig{Zone: "z1", Now: clk.read})
	pl.Update([]bwforward.Upstream{upstream("e1", "z1", 64), upstream("e2", "z1", 64), upstream("e3", "z2", 64)})
	wrk := stream
	wrk.Session, wrk.Reconnect = "s1", true
	for _, id := range []string{"e3", "e1", "e2"} {
		pl.ApplyNote(bwforward.PeerNote{Kind: bwforward.PlacementNote, Upstream: upstream(id, "z1", 64).ID, Session: "s1", Prompt: 8000})
		clk.now = clk.now.Add(5 * time.Second)
		if got := chosenID(pl, wrk); got != id {
			t.Errorf("chose %q, want %s, which ran the session last", got, id)
		}
	}
}

// Replays the restart of a zone's engines under new IDs, while the list still has
// the old ones, which look idle. Guards against requests that each try one stale
// entry after the other.
func TestReplacedNote(t *testing.T) {
	clk := newClock()
	pl := bwforward.NewPool(bwforward.PoolConfig{Zone: "z1", Now: clk.read})
	pl.Update([]bwforward.Upstream{upstream("e1", "z1", 64), upstream("e2", "z1", 64), upstream("e3", "z1", 64), upstream("f1", "z2", 64)})
	for _, id := range []bwmodel.UpstreamID{"e1", "e2"} {
		pl.ApplyNote(bwforward.PeerNote{Kind: bwforward.ReplacedNote, Upstream: id})
		pl.ApplyNote(bwforward.PeerNote{Kind: bwforward.ReplacedNote, Upstream: id})
	}
	if got := chosenID(pl, stream); got != "f1" {
		t.Errorf("chose %q in the zone that restarts, want f1", got)
	}
	clk.now = clk.now.Add(time.Minute)
	if got := chosenID(pl, stream); got != "e3" {
		t.Errorf("chose %q, want e3, the only one of the own zone that was not replaced", got)
	}
}

// Replays a hundred gateways that see the same idle engines and each place
// streams with a copy. Guards against copies that collect at a few engines, which
// can't continue all of them when the streams' own engines fail.
func TestCopiesAreSpread(t *testing.T) {
	const gateways, perZone, streams = 100, 10, 200
	large := bwforward.Work{Service: bwforward.Service{Name: "model", Model: &bwforward.Model{Memory: 400_000, Copies: true}}, PromptTokens: 8000, MaxOutputTokens: 800}
	clk := newClock()
	var ups []bwforward.Upstream
	for ix := range perZone {
		for _, zone := range []string{"z1", "z2", "z3"} {
			up := upstream("e1", zone, 64)
			up.ID = bwmodel.UpstreamID(fmt.Sprintf("%s-%d", zone, ix))
			ups = append(ups, up)
		}
	}
	pools := make([]*bwforward.Pool, gateways)
	for ix := range pools {
		pools[ix] = bwforward.NewPool(bwforward.PoolConfig{Zone: "z1", Now: clk.read})
		pools[ix].Update(ups)
	}
	copies := make(map[bwmodel.UpstreamID]int)
	for placed := range streams {
		sender := placed % gateways
		nd := pools[sender].Choose(large)
		target := pools[sender].ChooseCopyTarget(large, nd)
		if target.Zone == nd.Zone {
			t.Fatalf("copy of a stream on %s at %s, in the same zone", nd.ID, target.ID)
		}
		nd.Place(large)
		target.PlaceCopy(large)
		copies[target.ID]++
		for ix, pl := range pools {
			if ix != sender {
				pl.ApplyNote(bwforward.PeerNote{Kind: bwforward.PlacementNote, Upstream: nd.ID, Prompt: large.PromptTokens, CopyTarget: target.ID})
			}
		}
		clk.now = clk.now.Add(25 * time.Millisecond)
	}
	mean := streams / (3 * perZone)
	for id, count := range copies {
		if count > 2*mean {
			t.Errorf("%s has %d copies, the mean is %d", id, count, mean)
		}
	}
}

// Guards against engines that count as busy after their streams have ended, and
// against notes of ends that came before, or without, their placement.
func TestEndNote(t *testing.T) {
	clk := newClock()
	pl := bwforward.NewPool(bwforward.PoolConfig{Zone: "z1", Now: clk.read})
	pl.Update([]bwforward.Upstream{upstream("e1", "z1", 64), upstream("e2", "z1", 64)})
	placed := bwforward.PeerNote{Kind: bwforward.PlacementNote, Upstream: "e1", Prompt: 100, CopyTarget: "e2"}
	ended := bwforward.PeerNote{Kind: bwforward.EndNote, Upstream: "e1", CopyTarget: "e2"}
	for range 3 {
		pl.ApplyNote(ended)
	}
	for range 2 {
		pl.ApplyNote(placed)
	}
	clk.now = clk.now.Add(time.Second)
	for range 20 {
		if got := chosenID(pl, stream); got != "e2" {
			t.Fatalf("chose %q with two streams of other gateways, want e2", got)
		}
	}
	pl.ApplyNote(ended)
	pl.ApplyNote(ended)
	chosen := make(map[string]bool)
	for range 100 {
		chosen[chosenID(pl, stream)] = true
	}
	if len(chosen) != 2 {
		t.Errorf("chose %v after the streams ended, want both", chosen)
	}
}
