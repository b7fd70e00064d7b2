package bwadmit_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"bilberrywick/core/bwadmit"
	"bilberrywick/core/bwmodel"
)

// admitCall is one call of Admit with its result.
type admitCall struct {
	qu    *bwadmit.Queue
	req   bwadmit.Request
	grant bwadmit.Grant
	err   error
	ended bool
}

func (ac *admitCall) run(ctx context.Context) {
	ac.grant, ac.err = ac.qu.Admit(ctx, ac.req)
	ac.ended = true
}

func (ac *admitCall) refusal() *bwadmit.RefusedError {
	var refused *bwadmit.RefusedError
	_ = errors.As(ac.err, &refused)
	return refused
}

// send calls Admit in a goroutine and waits until the request is admitted, queued or
// refused.
func send(ctx context.Context, qu *bwadmit.Queue, req bwadmit.Request) *admitCall {
	ac := &admitCall{qu: qu, req: req}
	go ac.run(ctx)
	synctest.Wait()
	return ac
}

// Guards against requests that wait although they can't meet their deadline. One
// slot completes one request per second, so the eleventh request can't start
// within 10 s. It must be refused immediately with a time for the retry.
func TestUnreachableDeadlineIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		qu := newQueue(ctx, t, 1, bwadmit.Policy{})
		busy := &caller{qu: qu, req: request("large", bwmodel.PromptClass), interval: time.Second, duration: time.Second}
		go busy.run(ctx)
		time.Sleep(20*time.Second + time.Millisecond)
		start := time.Now()
		var last *admitCall
		for range 30 {
			last = send(ctx, qu, request("large", bwmodel.PromptClass))
		}
		ref := last.refusal()
		if ref == nil || ref.Reason != bwadmit.DeadlinePassed || time.Since(start) != 0 {
			t.Fatalf("got error %v after %v, want a passed deadline after 0s", last.err, time.Since(start))
		}
		if ref.RetryAfter < 5*time.Second || ref.RetryAfter > 40*time.Second {
			t.Fatalf("retry after %v at one request per second, want 5s to 40s", ref.RetryAfter)
		}
	})
}

// Guards against a team that exceeds its limit, and a limit that blocks other teams.
func TestTeamLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		qu := newQueue(ctx, t, 4, bwadmit.Policy{})
		qu.Update(bwmodel.Service{QueueLimit: 100, Class: bwmodel.PromptClass}, []bwmodel.Team{{Name: "large", MaxInFlight: 1}})
		first := send(ctx, qu, request("large", bwmodel.PromptClass))
		second := send(ctx, qu, request("large", bwmodel.PromptClass))
		other := send(ctx, qu, request("small", bwmodel.PromptClass))
		if !first.ended || second.ended || !other.ended {
			t.Fatalf("returned: %v and %v of the limited team, %v of the other; want true, false, true", first.ended, second.ended, other.ended)
		}
		first.grant.Finish(10)
		synctest.Wait()
		if !second.ended || second.err != nil {
			t.Fatalf("the second request did not start after the first had finished: %v", second.err)
		}
	})
}

// Guards against a full queue that refuses prompt requests while deferrable ones
// wait, and against a team that fills the queue and so excludes another.
func TestFullQueueEvictsWaitingWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		qu := newQueue(ctx, t, 1, bwadmit.Policy{})
		qu.Update(bwmodel.Service{QueueLimit: 4, Class: bwmodel.PromptClass}, nil)
		send(ctx, qu, request("large", bwmodel.PromptClass))
		batch := send(ctx, qu, request("batch", bwmodel.DeferrableClass))
		var queued []*admitCall
		for range 3 {
			queued = append(queued, send(ctx, qu, request("large", bwmodel.PromptClass)))
		}
		queued = append(queued, send(ctx, qu, request("large", bwmodel.PromptClass)))
		if ref := batch.refusal(); ref == nil || ref.Reason != bwadmit.Displaced {
			t.Fatalf("deferrable request: got error %v, want it displaced", batch.err)
		}
		small := send(ctx, qu, request("small", bwmodel.PromptClass))
		if small.ended {
			t.Fatalf("the request of the small team was not queued: %v", small.err)
		}
		if ref := queued[3].refusal(); ref == nil || ref.Reason != bwadmit.TeamLimit {
			t.Fatalf("newest request of the large team: got error %v, want it refused by the team limit", queued[3].err)
		}
		if ref := send(ctx, qu, request("large", bwmodel.PromptClass)).refusal(); ref == nil || ref.Reason != bwadmit.QueueFull {
			t.Fatal("a request of the large team was not refused by the full queue")
		}
	})
}

// Guards against long requests that use the slots needed by short ones. Short work
// has used four of ten slots, so at most four long requests may start.
func TestReserveFollowsShortWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		qu := newQueue(ctx, t, 10, bwadmit.Policy{})
		for ix := range 4 {
			short := &caller{qu: qu, req: request("small", bwmodel.PromptClass), interval: time.Second, duration: time.Second}
			short.req.Team = bwmodel.TeamID(fmt.Sprint("small-", ix))
			go short.run(ctx)
		}
		time.Sleep(30*time.Second + time.Millisecond)
		started := 0
		for range 10 {
			long := request("large", bwmodel.DeferrableClass)
			long.Tokens = 5000
			if send(ctx, qu, long).ended {
				started++
			}
		}
		if started < 1 || started > 4 {
			t.Fatalf("%d long requests started beside four short ones in ten slots, want 1 to 4", started)
		}
	})
}

// Guards against a request that exceeds its estimate and still counts as short.
func TestProgressReclassifiesWorkAsLong(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		qu := newQueue(ctx, t, 4, bwadmit.Policy{})
		ac := send(ctx, qu, request("large", bwmodel.PromptClass))
		ac.grant.Progress(5)
		synctest.Wait()
		if load := qu.Load(); load.RunningLong != 0 {
			t.Fatalf("%d long requests before the estimate is exceeded, want 0", load.RunningLong)
		}
		ac.grant.Progress(1500)
		synctest.Wait()
		if load := qu.Load(); load.RunningLong != 1 {
			t.Fatalf("%d long requests after 1500 tokens with 10 expected, want 1", load.RunningLong)
		}
		ac.grant.Finish(1600)
		synctest.Wait()
		if load := qu.Load(); load.RunningLong != 0 || load.Running != 0 {
			t.Fatalf("load %+v after the request has finished, want none running", load)
		}
	})
}

// Guards against an estimate that ignores the team, the service or maxTokens.
func TestPredictor(t *testing.T) {
	pr := &bwadmit.Predictor{}
	if got := pr.Predict("a", "desk", 0); got != 256 {
		t.Fatalf("without observations: %d, want 256", got)
	}
	for range 100 {
		pr.Observe("a", "desk", 1000)
		pr.Observe("b", "desk", 10)
	}
	if got := pr.Predict("a", "desk", 0); got < 900 || got > 1000 {
		t.Errorf("team a: %d, want about 1000", got)
	}
	if got := pr.Predict("b", "desk", 0); got != 10 {
		t.Errorf("team b: %d, want 10", got)
	}
	if got := pr.Predict("c", "desk", 0); got <= 10 || got >= 1000 {
		t.Errorf("team without observations: %d, want the average of the service", got)
	}
	if got := pr.Predict("a", "desk", 50); got != 50 {
		t.Errorf("with maxTokens 50: %d, want 50", got)
	}
}
