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

// arrival is one request whose result is kept.
type arrival struct {
	qu    *bwadmit.Queue
	req   bwadmit.Request
	grant bwadmit.Grant
	err   error
	ended bool
}

func (arr *arrival) run(ctx context.Context) {
	arr.grant, arr.err = arr.qu.Admit(ctx, arr.req)
	arr.ended = true
}

func (arr *arrival) refusal() *bwadmit.RefusedError {
	var refused *bwadmit.RefusedError
	_ = errors.As(arr.err, &refused)
	return refused
}

// send starts a request and waits until it runs, waits or is refused.
func send(ctx context.Context, qu *bwadmit.Queue, req bwadmit.Request) *arrival {
	arr := &arrival{qu: qu, req: req}
	go arr.run(ctx)
	synctest.Wait()
	return arr
}

// Guards against work that waits in vain: one slot ends one request a second,
// so that the eleventh request can't start within 10 s and is refused at once,
// with the time to come back.
func TestHopelessWorkIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		qu := newQueue(ctx, t, 1, bwadmit.Policy{})
		busy := &caller{qu: qu, req: request("large", bwmodel.PromptClass), every: time.Second, took: time.Second}
		go busy.run(ctx)
		time.Sleep(20*time.Second + time.Millisecond)
		start := time.Now()
		var last *arrival
		for range 30 {
			last = send(ctx, qu, request("large", bwmodel.PromptClass))
		}
		ref := last.refusal()
		if ref == nil || ref.Reason != bwadmit.DeadlinePassed || time.Since(start) != 0 {
			t.Fatalf("got %v after %v", last.err, time.Since(start))
		}
		if ref.RetryAfter < 5*time.Second || ref.RetryAfter > 40*time.Second {
			t.Fatalf("retry after %v at one request a second", ref.RetryAfter)
		}
	})
}

// Guards against a team above its limit, and against a limit that blocks others.
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
			t.Fatalf("ended: %v, %v of the limited team, %v of the other", first.ended, second.ended, other.ended)
		}
		first.grant.Finish(10)
		synctest.Wait()
		if !second.ended || second.err != nil {
			t.Fatalf("the second did not start after the first: %v", second.err)
		}
	})
}

// Guards against a full queue that refuses prompt work while deferrable work
// waits, and against one team's flood that keeps another out of the queue.
func TestFullQueueGivesWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		qu := newQueue(ctx, t, 1, bwadmit.Policy{})
		qu.Update(bwmodel.Service{QueueLimit: 4, Class: bwmodel.PromptClass}, nil)
		send(ctx, qu, request("large", bwmodel.PromptClass))
		batch := send(ctx, qu, request("batch", bwmodel.DeferrableClass))
		var flood []*arrival
		for range 3 {
			flood = append(flood, send(ctx, qu, request("large", bwmodel.PromptClass)))
		}
		flood = append(flood, send(ctx, qu, request("large", bwmodel.PromptClass)))
		if ref := batch.refusal(); ref == nil || ref.Reason != bwadmit.Displaced {
			t.Fatalf("deferrable work: %v, want it to give way", batch.err)
		}
		small := send(ctx, qu, request("small", bwmodel.PromptClass))
		if small.ended {
			t.Fatalf("the small team was not let in: %v", small.err)
		}
		if ref := flood[3].refusal(); ref == nil || ref.Reason != bwadmit.TeamLimit {
			t.Fatalf("the newest of the flood: %v, want it to give way", flood[3].err)
		}
		if ref := send(ctx, qu, request("large", bwmodel.PromptClass)).refusal(); ref == nil || ref.Reason != bwadmit.QueueFull {
			t.Fatal("the flooding team was let into a full queue")
		}
	})
}

// Guards against long work that takes the slots which short work uses: of ten
// slots, short work has used four, so that long work may take at most four.
func TestReserveFollowsShortWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		qu := newQueue(ctx, t, 10, bwadmit.Policy{})
		for ix := range 4 {
			short := &caller{qu: qu, req: request("small", bwmodel.PromptClass), every: time.Second, took: time.Second}
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
			t.Fatalf("%d long requests started beside four short ones in ten slots", started)
		}
	})
}

// Guards against work that outgrows its estimate and still counts as short.
func TestProgressMakesWorkLong(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		qu := newQueue(ctx, t, 4, bwadmit.Policy{})
		arr := send(ctx, qu, request("large", bwmodel.PromptClass))
		arr.grant.Progress(5)
		synctest.Wait()
		if load := qu.Load(); load.RunningLong != 0 {
			t.Fatalf("%d long before the estimate is exceeded", load.RunningLong)
		}
		arr.grant.Progress(1500)
		synctest.Wait()
		if load := qu.Load(); load.RunningLong != 1 {
			t.Fatalf("%d long after 1500 tokens of 10 expected", load.RunningLong)
		}
		arr.grant.Finish(1600)
		synctest.Wait()
		if load := qu.Load(); load.RunningLong != 0 || load.Running != 0 {
			t.Fatalf("load %+v after the end", load)
		}
	})
}

// Guards against an estimate that ignores the team, the service or the limit.
func TestPredictor(t *testing.T) {
	pr := &bwadmit.Predictor{}
	if got := pr.Predict("a", "desk", 0); got != 256 {
		t.Fatalf("without observations: %d", got)
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
		t.Errorf("a team without observations: %d, want the service's", got)
	}
	if got := pr.Predict("a", "desk", 50); got != 50 {
		t.Errorf("above the limit of 50: %d", got)
	}
}
