package bwforward_test

import (
	"math"
	"testing"
	"time"

	"bilberrywick/core/bwforward"
)

// Guards against gateways that place prompts where another one just has, or
// that each have to find a dead engine by themselves. A placed stream counts
// until it has most likely ended.
func TestLearn(t *testing.T) {
	tests := []struct {
		name string
		note bwforward.PeerNote
		// again is when the engine is as good as before.
		again time.Duration
	}{
		{"placed", bwforward.PeerNote{Kind: bwforward.PlacementNote, Upstream: "e1", Prompt: 8000}, 6100 * time.Millisecond},
		{"failed", bwforward.PeerNote{Kind: bwforward.FailureNote, Upstream: "e1"}, 300 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			clk := newClock()
			pl := bwforward.NewPool(bwforward.PoolConfig{Zone: "z1", Now: clk.read})
			pl.Update([]bwforward.Upstream{upstream("e1", "z1", 64), upstream("e2", "z2", 64)})
			pl.ApplyNote(tt.note)
			pl.ApplyNote(bwforward.PeerNote{Kind: tt.note.Kind, Upstream: "unknown"})
			if got := choice(pl, stream); got != "e2" {
				t.Errorf("chose %q right after the note, want e2", got)
			}
			clk.now = clk.now.Add(tt.again)
			if got := choice(pl, stream); got != "e1" {
				t.Errorf("chose %q later, want e1", got)
			}
		})
	}
}

// Guards against notes with numbers that no gateway sends, which draw all work to
// an engine or keep it away for ever.
func TestLearnBoundsNotes(t *testing.T) {
	for _, prompt := range []int{-1 << 40, 1 << 30, math.MaxInt, math.MinInt} {
		clk := newClock()
		pl := bwforward.NewPool(bwforward.PoolConfig{Zone: "z1", Now: clk.read})
		pl.Update([]bwforward.Upstream{upstream("e1", "z1", 64), upstream("e2", "z2", 64)})
		for range 100 {
			pl.ApplyNote(bwforward.PeerNote{Kind: bwforward.PlacementNote, Upstream: "e1", Prompt: prompt})
		}
		if got := choice(pl, stream); got != "e2" {
			t.Errorf("prompt %d: chose %q, want e2, which has no work", prompt, got)
		}
		clk.now = clk.now.Add(30 * time.Second)
		if got := choice(pl, stream); got != "e1" {
			t.Errorf("prompt %d: chose %q half a minute later, want e1", prompt, got)
		}
	}
}

// Guards against a stream that goes on through another gateway at an engine
// which has not read its prompt, though one has.
func TestSessionIsFoundAgain(t *testing.T) {
	clk := newClock()
	pl := bwforward.NewPool(bwforward.PoolConfig{Zone: "z1", Now: clk.read})
	pl.Update([]bwforward.Upstream{upstream("e1", "z1", 64), upstream("e2", "z1", 64), upstream("e3", "z2", 64)})
	wrk := stream
	wrk.Session, wrk.Reconnect = "s1", true
	for _, id := range []string{"e3", "e1", "e2"} {
		pl.ApplyNote(bwforward.PeerNote{Kind: bwforward.PlacementNote, Upstream: upstream(id, "z1", 64).ID, Session: "s1", Prompt: 8000})
		clk.now = clk.now.Add(5 * time.Second)
		if got := choice(pl, wrk); got != id {
			t.Errorf("chose %q, want %s where the session was last", got, id)
		}
	}
}
