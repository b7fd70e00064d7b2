package bwfakeengine_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"bilberrywick/core/bwadmit"
	"bilberrywick/core/bwroute"
	"bilberrywick/io/bwrouter"
)

// gate admits requests and lets a test ask for pauses.
type gate struct {
	mu       sync.Mutex
	asked    []bwadmit.Request
	pause    []chan struct{}
	finished []int
	progress int
	started  int
	chosen   []bwroute.Request
	// hold keeps resumed work waiting until it is closed.
	hold chan struct{}
}

func (gt *gate) admit(ctx context.Context, req bwadmit.Request) (bwadmit.Grant, error) {
	if req.Resumed {
		select {
		case <-gt.hold:
		case <-ctx.Done():
			return bwadmit.Grant{}, ctx.Err()
		}
	}
	gt.mu.Lock()
	defer gt.mu.Unlock()
	gt.asked = append(gt.asked, req)
	pause := make(chan struct{})
	gt.pause = append(gt.pause, pause)
	return bwadmit.Grant{Preempt: pause, Finish: gt.finish, Progress: gt.advance}, nil
}

func (gt *gate) finish(tokens int) {
	gt.mu.Lock()
	defer gt.mu.Unlock()
	gt.finished = append(gt.finished, tokens)
}

func (gt *gate) advance(tokens int) {
	gt.mu.Lock()
	defer gt.mu.Unlock()
	gt.progress = max(gt.progress, tokens)
}

func (gt *gate) edit(cfg *bwrouter.GenerationsConfig) {
	choose := cfg.Choose
	cfg.Admit = gt.admit
	cfg.Choose = func(ctx context.Context, req bwroute.Request) (bwroute.Choice, error) {
		cho, err := choose(ctx, req)
		cho.ReportFirstToken = gt.start
		gt.mu.Lock()
		defer gt.mu.Unlock()
		gt.chosen = append(gt.chosen, req)
		return cho, err
	}
}

func (gt *gate) start(time.Duration) {
	gt.mu.Lock()
	defer gt.mu.Unlock()
	gt.started++
}

// await waits until the engines run a number of sequences.
func (cl *cluster) await(running int) {
	cl.t.Helper()
	cl.until(func() bool {
		total := 0
		for _, nd := range cl.nodes {
			run, wait := nd.engine.SequenceCounts()
			total += run + wait
		}
		return total == running
	})
}

// until waits for a condition; it ends the test instead of hanging.
func (cl *cluster) until(done func() bool) {
	cl.t.Helper()
	const tries = 20000
	for range tries {
		if done() {
			return
		}
		time.Sleep(time.Millisecond)
	}
	cl.t.Fatal("condition was never met")
}

func (gt *gate) ended(grants int) func() bool {
	return func() bool {
		gt.mu.Lock()
		defer gt.mu.Unlock()
		return len(gt.finished) == grants
	}
}

// Guards against work that keeps its engine although it was asked to give way,
// and against an answer that is not whole after it went on.
func TestWorkGivesWay(t *testing.T) {
	const tokens = 200
	gt := &gate{hold: make(chan struct{})}
	cl := newClusterWith(t, clusterConfig{engines: 2, routers: 2, engine: fastEngine, edit: gt.edit})
	cal := cl.post(cl.routers[0], "dlhý odkladný návrh", tokens)
	cal.read(20)
	close(gt.pause[0])
	cl.until(func() bool { return cl.nodes[0].engine.Counts().Canceled == 1 })
	cl.await(0)
	close(gt.hold)
	cal.read(all)
	cal.check("dlhý odkladný návrh", tokens)
	cl.until(gt.ended(2))
	gt.mu.Lock()
	defer gt.mu.Unlock()
	if len(gt.asked) != 2 || !gt.asked[1].Resumed {
		t.Fatalf("asked for admission with %+v, want a second time as resumed", gt.asked)
	}
	if sum := gt.finished[0] + gt.finished[1]; len(gt.finished) != 2 || sum != tokens || gt.progress == 0 {
		t.Errorf("grants ended with %v tokens and progress %d, want %d in two and some", gt.finished, gt.progress, tokens)
	}
	if gt.started != 2 {
		t.Errorf("%d attempts reported their first token, want 2", gt.started)
	}
}

// Guards against max_tokens in place of the length that a team's outputs
// usually have, in admission, choice and the engine's order.
func TestExpectedLength(t *testing.T) {
	gt := new(gate)
	eng := fastEngine
	eng.StopEvery = 40
	cl := newClusterWith(t, clusterConfig{engines: 1, routers: 2, engine: eng, edit: gt.edit})
	const rounds, limit = 12, 100000
	for round := range rounds {
		cl.post(cl.routers[0], "krátke venovanie 7", limit).read(all)
		cl.until(gt.ended(round + 1))
	}
	want := gt.finished[0]
	last := gt.asked[rounds-1].Tokens
	if last != want || gt.chosen[rounds-1].Tokens != want {
		t.Errorf("expects %d tokens in admission and %d in the choice, want %d", last, gt.chosen[rounds-1].Tokens, want)
	}
	if first := gt.asked[0].Tokens; first >= limit || first == want {
		t.Errorf("expects %d tokens before any output, want the fallback", first)
	}
}
