package bwfakeengine_test

import (
	"fmt"
	"testing"
	"time"

	"bilberrywick/standin/bwfakeengine"
)

var fastEngine = bwfakeengine.Config{TokenTime: 2 * time.Millisecond, FirstTokenTime: 2 * time.Millisecond, CacheBlocks: 64}

// Guards against tokens that are lost, repeated or changed without a fault.
func TestGenerationWithoutFaults(t *testing.T) {
	cl := newCluster(t, 2, 2, fastEngine)
	cal := cl.post(cl.routers[0], "venovanie pre krstniatko", 60)
	cal.read(allTokens)
	cal.checkResponse("venovanie pre krstniatko", 60)
}

// Guards against a token that is lost or repeated when the engine fails at any position.
func TestEngineFailureAtEveryPosition(t *testing.T) {
	const tokens = 24
	for pos := range tokens {
		t.Run(fmt.Sprint(pos), func(t *testing.T) {
			t.Parallel()
			cl := newCluster(t, 2, 2, fastEngine)
			cal := cl.post(cl.routers[0], "návrh venovania", tokens)
			cal.read(pos)
			must(t, cl.nodes[0].engine.Kill(t.Context()))
			cal.read(allTokens)
			cal.checkResponse("návrh venovania", tokens)
		})
	}
}

// Guards against a resume that generates tokens again that were already delivered.
func TestResumeContinues(t *testing.T) {
	const tokens, before = 200, 100
	cl := newCluster(t, 2, 2, fastEngine)
	cal := cl.post(cl.routers[0], "pokračovanie", tokens)
	cal.read(before)
	must(t, cl.nodes[0].engine.Kill(t.Context()))
	cal.read(allTokens)
	cal.checkResponse("pokračovanie", tokens)
	if got := cl.nodes[1].engine.Counts().TokensGenerated; got > tokens-before {
		t.Errorf("the second engine generated %d tokens, want at most %d", got, tokens-before)
	}
}

// Guards against a response that is lost when its router fails, alone or together
// with the agent and the engine.
func TestRouterFailure(t *testing.T) {
	const tokens = 200
	for _, killAgent := range []bool{false, true} {
		t.Run(fmt.Sprintf("kill agent %v", killAgent), func(t *testing.T) {
			cl := newCluster(t, 2, 3, fastEngine)
			cal := cl.post(cl.routers[0], "የፈቃድ ግምገማ", tokens)
			cal.read(20)
			if killAgent {
				cl.nodes[0].kill(t)
			}
			cl.routers[0].kill()
			cal.read(allTokens)
			cal.reconnect(cl.routers[2])
			cal.read(allTokens)
			cal.checkResponse("የፈቃድ ግምገማ", tokens)
		})
	}
}
