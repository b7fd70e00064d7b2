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

// stopFixture is a fleet with a caller that connects only to the first router until
// useAllRouters is set.
type stopFixture struct {
	flt           *bwdev.Fleet
	cal           *bwcaller.Caller
	useAllRouters atomic.Bool
}

func newStopFixture(t *testing.T, drain time.Duration) *stopFixture {
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
	stp := &stopFixture{flt: flt}
	stp.cal = bwcaller.New(bwcaller.Config{Routers: stp.routers, Key: flt.Teams()[0].Key, ReconnectTimeout: 30 * time.Second})
	t.Cleanup(stp.cal.Close)
	return stp
}

func (stp *stopFixture) routers() []netip.AddrPort {
	if stp.useAllRouters.Load() {
		return stp.flt.CallerAddresses()
	}
	return []netip.AddrPort{stp.flt.Routers[0].CallerAddress()}
}

// generate runs one generation and calls stop in another goroutine when the first
// tokens have arrived.
func (stp *stopFixture) generate(t *testing.T, tokens int, stop func(context.Context) error) bwcaller.Completion {
	t.Helper()
	rnr := &stopRunner{stp: stp, stop: stop, result: make(chan error, 1)}
	gen := bwcaller.GenerationRequest{Model: "pisar-model", Prompt: prompt, MaxTokens: tokens, OnTokens: rnr.onTokens}
	cpl, err := stp.cal.Generate(t.Context(), gen)
	if err != nil {
		t.Fatalf("generation after %d tokens: %v", cpl.Tokens, err)
	}
	if err := bwdev.CheckGeneration(prompt, tokens, cpl); err != nil {
		t.Error(err)
	}
	if err := <-rnr.result; err != nil {
		t.Errorf("stop: %v", err)
	}
	return cpl
}

type stopRunner struct {
	stp     *stopFixture
	stop    func(context.Context) error
	started bool
	result  chan error
}

func (rnr *stopRunner) onTokens(int, time.Time) {
	if rnr.started {
		return
	}
	rnr.started = true
	rnr.stp.useAllRouters.Store(true)
	go rnr.run()
}

func (rnr *stopRunner) run() { rnr.result <- rnr.stop(context.Background()) }

// Guards against a router whose stop aborts a generation that could end within the
// drain time.
func TestRouterStopWaitsForGenerations(t *testing.T) {
	stp := newStopFixture(t, time.Minute)
	cpl := stp.generate(t, 300, stp.flt.Routers[0].Stop)
	if cpl.Reconnects != 0 {
		t.Errorf("%d reconnects, want none", cpl.Reconnects)
	}
}

// Guards against a router whose stop aborts a generation that is longer than the
// drain time, instead of handing it over.
func TestRouterStopHandsOverGenerations(t *testing.T) {
	stp := newStopFixture(t, 3*time.Second)
	cpl := stp.generate(t, 2500, stp.flt.Routers[0].Stop)
	if cpl.Reconnects == 0 {
		t.Error("the caller did not reconnect although the generation is longer than the drain time")
	}
	if len(stp.flt.CallerAddresses()) != 2 {
		t.Errorf("%d routers are ready, want 2 without the stopped one", len(stp.flt.CallerAddresses()))
	}
}

// Guards against an agent whose stop fails a generation that is longer than its
// drain time, instead of letting the router resume it on another engine.
func TestAgentStopMigratesGenerations(t *testing.T) {
	stp := newStopFixture(t, 500*time.Millisecond)
	cpl := stp.generate(t, 1500, func(ctx context.Context) error {
		for _, eng := range stp.flt.Engines {
			if running, _ := eng.Fake.SequenceCounts(); running > 0 {
				return eng.Agent.Stop(ctx)
			}
		}
		return nil
	})
	if cpl.Reconnects != 0 {
		t.Errorf("%d reconnects, want none, since the router resumes the generation", cpl.Reconnects)
	}
	engines := 0
	for _, eng := range stp.flt.Engines {
		if eng.Fake.Counts().TokensGenerated > 0 {
			engines++
		}
	}
	if engines != 2 {
		t.Errorf("%d engines generated tokens, want two", engines)
	}
}
