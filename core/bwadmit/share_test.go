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

// caller sends copies of one request at a fixed interval and counts the outcomes.
type caller struct {
	qu        *bwadmit.Queue
	req       bwadmit.Request
	interval  time.Duration
	duration  time.Duration
	done      atomic.Int64
	refused   atomic.Int64
	tokens    atomic.Int64
	preempted atomic.Int64
}

func (cl *caller) run(ctx context.Context) {
	for ctx.Err() == nil {
		go (&oneCall{cl: cl}).run(ctx)
		select {
		case <-time.After(cl.interval):
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
		cl.refused.Add(1)
	}
	if err != nil {
		return
	}
	defer grant.Finish(cl.req.Tokens)
	select {
	case <-time.After(cl.duration):
		cl.done.Add(1)
		cl.tokens.Add(int64(cl.req.Tokens))
	case <-grant.Preempt:
		cl.preempted.Add(1)
	case <-ctx.Done():
	}
}

// startTwoTeams starts a team that sends 25 requests per second and one that sends
// 250.
func startTwoTeams(ctx context.Context, qu *bwadmit.Queue) (small, large *caller) {
	small = &caller{qu: qu, req: request("small", bwmodel.PromptClass), interval: 40 * time.Millisecond, duration: 100 * time.Millisecond}
	large = &caller{qu: qu, req: request("large", bwmodel.PromptClass), interval: 4 * time.Millisecond, duration: 100 * time.Millisecond}
	go large.run(ctx)
	go small.run(ctx)
	return small, large
}

// Guards against a large team that starves a small one. Four slots complete 40
// requests per second, so the fair share of the small team is 20, and it sends 25.
// The baseline must fail the same bound, which shows that the test detects the
// fault.
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
				small, large := startTwoTeams(ctx, qu)
				time.Sleep(time.Minute)
				cancel()
				synctest.Wait()
				share := float64(small.done.Load()) / (60 * 20)
				t.Logf("small %d, large %d, share %.2f", small.done.Load(), large.done.Load(), share)
				if fair := share >= 0.9; fair != tc.fair {
					t.Fatalf("the small team received %.2f of its fair share, want at least 0.9 only with fair shares", share)
				}
				if sum := small.done.Load() + large.done.Load(); sum < 2300 {
					t.Fatalf("%d requests finished, want at least 2300 of the 2400 that the slots allow", sum)
				}
			})
		})
	}
}

// Guards against prompt requests that are refused while deferrable ones start, and
// long deferrable requests that keep their slots while prompt ones wait.
func TestDeferrableIsPreempted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		qu := newQueue(ctx, t, 4, bwadmit.Policy{})
		long := request("large", bwmodel.DeferrableClass)
		long.Tokens = 5000
		batch := &caller{qu: qu, req: long, interval: time.Second, duration: time.Minute}
		go batch.run(ctx)
		time.Sleep(20 * time.Second)
		prompt := &caller{qu: qu, req: request("small", bwmodel.PromptClass), interval: 30 * time.Millisecond, duration: 100 * time.Millisecond}
		go prompt.run(ctx)
		time.Sleep(20 * time.Second)
		cancel()
		synctest.Wait()
		t.Logf("prompt: %d done, %d refused; deferrable: %d preempted", prompt.done.Load(), prompt.refused.Load(), batch.preempted.Load())
		if prompt.refused.Load() > 0 || prompt.done.Load() < 640 {
			t.Fatalf("prompt requests: %d done, %d refused; want at least 640 and 0", prompt.done.Load(), prompt.refused.Load())
		}
		if batch.preempted.Load() == 0 {
			t.Fatal("no deferrable request was preempted")
		}
	})
}
