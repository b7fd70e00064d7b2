package bwfakeengine_test

import (
	"fmt"
	"testing"
	"time"

	"bilberrywick/standin/bwfakeengine"
)

var fastEngine = bwfakeengine.Config{TokenTime: 2 * time.Millisecond, FirstTokenTime: 2 * time.Millisecond, CacheBlocks: 64}

// Guards against a path that loses, repeats or alters tokens without any fault.
func TestGenerationWithoutFaults(t *testing.T) {
	cl := newCluster(t, 2, 2, fastEngine)
	cal := cl.post(cl.routers[0], "venovanie pre krstniatko", 60)
	cal.read(all)
	cal.check("venovanie pre krstniatko", 60)
}

// Guards against a token lost or repeated when an engine dies, at every position.
func TestEngineDeathAtEveryPosition(t *testing.T) {
	const tokens = 24
	for pos := range tokens {
		t.Run(fmt.Sprint(pos), func(t *testing.T) {
			t.Parallel()
			cl := newCluster(t, 2, 2, fastEngine)
			cal := cl.post(cl.routers[0], "návrh venovania", tokens)
			cal.read(pos)
			must(t, cl.nodes[0].engine.Kill(t.Context()))
			cal.read(all)
			cal.check("návrh venovania", tokens)
		})
	}
}

// Guards against a resume that computes again what had been issued.
func TestResumeContinues(t *testing.T) {
	const tokens, before = 200, 100
	cl := newCluster(t, 2, 2, fastEngine)
	cal := cl.post(cl.routers[0], "pokračovanie", tokens)
	cal.read(before)
	must(t, cl.nodes[0].engine.Kill(t.Context()))
	cal.read(all)
	cal.check("pokračovanie", tokens)
	if got := cl.nodes[1].engine.Counts().TokensGenerated; got > tokens-before {
		t.Errorf("the second engine generated %d tokens, want at most %d", got, tokens-before)
	}
}

// Guards against a caller that loses its answer with its router, its agent and
// engine, or both.
func TestRouterDeath(t *testing.T) {
	const tokens = 200
	for _, agentToo := range []bool{false, true} {
		t.Run(fmt.Sprintf("agent too %v", agentToo), func(t *testing.T) {
			cl := newCluster(t, 2, 3, fastEngine)
			cal := cl.post(cl.routers[0], "የፈቃድ ግምገማ", tokens)
			cal.read(20)
			if agentToo {
				cl.nodes[0].kill(t)
			}
			cl.routers[0].kill()
			cal.read(all)
			cal.reconnect(cl.routers[2])
			cal.read(all)
			cal.check("የፈቃድ ግምገማ", tokens)
		})
	}
}
