package bwadmit_test

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"bilberrywick/core/bwadmit"
	"bilberrywick/core/bwmodel"
)

// caller sends one kind of request at fixed intervals and counts what came of them.
type caller struct {
	qu     *bwadmit.Queue
	req    bwadmit.Request
	every  time.Duration
	took   time.Duration
	done   atomic.Int64
	refuse atomic.Int64
	tokens atomic.Int64
	paused atomic.Int64
}

func (cl *caller) run(ctx context.Context) {
	for ctx.Err() == nil {
		go (&oneCall{cl: cl}).run(ctx)
		select {
		case <-time.After(cl.every):
		case <-ctx.Done():
		}
	}
}

// oneCall is one of a caller's requests.
type oneCall struct{ cl *caller }

func (oc *oneCall) run(ctx context.Context) { oc.cl.call(ctx) }

func (cl *caller) call(ctx context.Context) {
	grant, err := cl.qu.Admit(ctx, cl.req)
	var refused *bwadmit.RefusedError
	if errors.As(err, &refused) {
		cl.refuse.Add(1)
	}
	if err != nil {
		return
	}
	defer grant.Finish(cl.req.Tokens)
	select {
	case <-time.After(cl.took):
		cl.done.Add(1)
		cl.tokens.Add(int64(cl.req.Tokens))
	case <-grant.Preempt:
		cl.paused.Add(1)
	case <-ctx.Done():
	}
}

func flood(ctx context.Context, qu *bwadmit.Queue) (small, large *caller) {
	small = &caller{qu: qu, req: request("small", bwmodel.PromptClass), every: 40 * time.Millisecond, took: 100 * time.Millisecond}
	large = &caller{qu: qu, req: request("large", bwmodel.PromptClass), every: 4 * time.Millisecond, took: 100 * time.Millisecond}
	go large.run(ctx)
	go small.run(ctx)
	return small, large
}

// Guards against a small team starved by a large one. Four slots end 40
// requests a second; the fair share of the small team is 20, and it asks for
// 25. First come first served must fail the same bound.
func TestSmallTeamKeepsItsShare(t *testing.T) {
	cases := []struct {
		pol  bwadmit.Policy
		fair bool
	}{{bwadmit.FairShares(), true}, {bwadmit.FirstComeFirstServed(), false}}
	for _, tc := range cases {
		t.Run(tc.pol.Name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				qu := newQueue(ctx, t, 4, tc.pol)
				small, large := flood(ctx, qu)
				time.Sleep(time.Minute)
				cancel()
				synctest.Wait()
				share := float64(small.done.Load()) / (60 * 20)
				t.Logf("small %d, large %d, share %.2f", small.done.Load(), large.done.Load(), share)
				if fair := share >= 0.9; fair != tc.fair {
					t.Fatalf("the small team got %.2f of its fair share", share)
				}
				if sum := small.done.Load() + large.done.Load(); sum < 2300 {
					t.Fatalf("%d requests ended, the slots allow 2400", sum)
				}
			})
		})
	}
}

// Guards against a prompt request refused while deferrable work starts, and
// against long deferrable work that keeps its slots while prompt work waits.
func TestDeferrableGivesWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		qu := newQueue(ctx, t, 4, bwadmit.Policy{})
		long := request("large", bwmodel.DeferrableClass)
		long.Tokens = 5000
		batch := &caller{qu: qu, req: long, every: time.Second, took: time.Minute}
		go batch.run(ctx)
		time.Sleep(20 * time.Second)
		prompt := &caller{qu: qu, req: request("small", bwmodel.PromptClass), every: 30 * time.Millisecond, took: 100 * time.Millisecond}
		go prompt.run(ctx)
		time.Sleep(20 * time.Second)
		cancel()
		synctest.Wait()
		t.Logf("prompt done %d refused %d, deferrable paused %d", prompt.done.Load(), prompt.refuse.Load(), batch.paused.Load())
		if prompt.refuse.Load() > 0 || prompt.done.Load() < 640 {
			t.Fatalf("prompt work: %d done, %d refused", prompt.done.Load(), prompt.refuse.Load())
		}
		if batch.paused.Load() == 0 {
			t.Fatal("no deferrable work was asked to pause")
		}
	})
}
