package bwforward_test

import (
	"math"
	"testing"
	"time"

	"bilberrywick/core/bwforward"
)

// Guards against gateways that place prompts at an engine where another gateway
// has just placed one, and against gateways that each lose a request to the same
// dead engine. A placed stream counts for its expected duration.
func TestApplyNote(t *testing.T) {
	tests := []struct {
		name string
		note bwforward.PeerNote
		// recovery is the time after which the engine is chosen again.
		recovery time.Duration
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
