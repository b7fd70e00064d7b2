package bwdev_test

import (
	"context"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"bilberrywick/bench/bwcaller"
	"bilberrywick/cmd/bwdev"
	"bilberrywick/standin/bwfakeengine"
)

const prompt = "Posudok skladu batérií v štvrti Bole. "

// stopping is a fleet with a caller that reaches the first router until others
// are asked for.
type stopping struct {
	flt    *bwdev.Fleet
	cal    *bwcaller.Caller
	others atomic.Bool
}

func newStopping(t *testing.T, drain time.Duration) *stopping {
	t.Helper()
	flt, err := bwdev.Start(t.Context(), bwdev.Config{
		Routers:   3,
		Engines:   3,
		DrainTime: drain,
		Engine:    bwfakeengine.Config{TokenTime: 2 * time.Millisecond, CacheBlocks: 64, Slots: 8},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(flt.Close)
	stp := &stopping{flt: flt}
	stp.cal = bwcaller.New(bwcaller.Config{Routers: stp.routers, Key: flt.Teams()[0].Key, ReconnectTimeout: 30 * time.Second})
	t.Cleanup(stp.cal.Close)
	return stp
}

func (stp *stopping) routers() []netip.AddrPort {
	if stp.others.Load() {
		return stp.flt.CallerAddresses()
	}
	return []netip.AddrPort{stp.flt.Routers[0].CallerAddress()}
}

// generate runs one generation and calls stop, in another goroutine, once it
// has produced tokens.
func (stp *stopping) generate(t *testing.T, tokens int, stop func(context.Context) error) bwcaller.Completion {
	t.Helper()
	rnr := &stopRunner{stp: stp, stop: stop, ended: make(chan error, 1)}
	gen := bwcaller.GenerationRequest{Model: "pisar-model", Prompt: prompt, MaxTokens: tokens, OnTokens: rnr.received}
	ans, err := stp.cal.Generate(t.Context(), gen)
	if err != nil {
		t.Fatalf("generation after %d tokens: %v", ans.Tokens, err)
	}
	if err := bwdev.CheckGeneration(prompt, tokens, ans); err != nil {
		t.Error(err)
	}
	if err := <-rnr.ended; err != nil {
		t.Errorf("stop: %v", err)
	}
	return ans
}

type stopRunner struct {
	stp   *stopping
	stop  func(context.Context) error
	begun bool
	ended chan error
}

func (rnr *stopRunner) received(int, time.Time) {
	if rnr.begun {
		return
	}
	rnr.begun = true
	rnr.stp.others.Store(true)
	go rnr.run()
}

func (rnr *stopRunner) run() { rnr.ended <- rnr.stop(context.Background()) }

// Guards against a router whose stop cuts off a generation that could end
// within the drain time.
func TestRouterStopLetsGenerationsEnd(t *testing.T) {
	stp := newStopping(t, time.Minute)
	ans := stp.generate(t, 300, stp.flt.Routers[0].Stop)
	if ans.Reconnects != 0 {
		t.Errorf("%d reconnects, want none", ans.Reconnects)
	}
}

// Guards against a router whose stop cuts off a generation that is longer than
// the drain time, instead of handing it over.
func TestRouterStopHandsOver(t *testing.T) {
	stp := newStopping(t, 3*time.Second)
	ans := stp.generate(t, 2500, stp.flt.Routers[0].Stop)
	if ans.Reconnects == 0 {
		t.Error("no reconnect although the generation is longer than the drain time")
	}
	if len(stp.flt.CallerAddresses()) != 2 {
		t.Errorf("%d routers are ready, want the stopped one to be gone", len(stp.flt.CallerAddresses()))
	}
}

// Guards against an agent whose stop fails a generation that is longer than
// its drain time, instead of letting the router go on elsewhere.
func TestAgentStopMovesGenerations(t *testing.T) {
	stp := newStopping(t, 500*time.Millisecond)
	ans := stp.generate(t, 1500, func(ctx context.Context) error {
		for _, eng := range stp.flt.Engines {
			if running, _ := eng.Fake.SequenceCounts(); running > 0 {
				return eng.Agent.Stop(ctx)
			}
		}
		return nil
	})
	if ans.Reconnects != 0 {
		t.Errorf("%d reconnects, want the router to go on by itself", ans.Reconnects)
	}
	moved := 0
	for _, eng := range stp.flt.Engines {
		if eng.Fake.Counts().TokensGenerated > 0 {
			moved++
		}
	}
	if moved != 2 {
		t.Errorf("%d engines worked on the generation, want two", moved)
	}
}
