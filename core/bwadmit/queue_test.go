package bwadmit_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"bilberrywick/core/bwadmit"
	"bilberrywick/core/bwmodel"
)

func newQueue(ctx context.Context, tb testing.TB, slots int, pol bwadmit.Policy) *bwadmit.Queue {
	tb.Helper()
	qu, err := bwadmit.New(bwadmit.Config{
		Service:  bwmodel.Service{Name: "review-desk", Class: bwmodel.PromptClass, QueueLimit: 100, Deadline: 10 * time.Second},
		Now:      time.Now,
		Capacity: func() int { return slots },
		Policy:   pol,
	})
	if err != nil {
		tb.Fatal(err)
	}
	qu.Start(ctx)
	return qu
}

func request(team bwmodel.TeamID, class bwmodel.WorkClass) bwadmit.Request {
	return bwadmit.Request{Team: team, Class: class, Tokens: 10}
}

// Guards against deferrable requests that start while prompt requests wait.
func TestPromptFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		qu := newQueue(ctx, t, 1, bwadmit.Policy{})
		grant, err := qu.Admit(ctx, request("large", bwmodel.PromptClass))
		if err != nil {
			t.Fatal(err)
		}
		deferrable := send(ctx, qu, request("small", bwmodel.DeferrableClass))
		prompt := send(ctx, qu, request("small", bwmodel.PromptClass))
		grant.Finish(10)
		synctest.Wait()
		if !prompt.ended || prompt.err != nil || deferrable.ended {
			t.Fatalf("prompt request returned: %v, error %v; deferrable request returned: %v; want only the prompt one", prompt.ended, prompt.err, deferrable.ended)
		}
		prompt.grant.Finish(10)
		synctest.Wait()
		if !deferrable.ended || deferrable.err != nil {
			t.Fatalf("deferrable request returned: %v, error %v, want a grant", deferrable.ended, deferrable.err)
		}
	})
}

// Guards against an Admit call that does not return when the deadline passes, its
// context ends or the queue stops.
func TestAdmitReturnsOnDeadlineCancelAndStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		qu := newQueue(ctx, t, 1, bwadmit.Policy{})
		if _, err := qu.Admit(ctx, request("large", bwmodel.PromptClass)); err != nil {
			t.Fatal(err)
		}
		var refused *bwadmit.RefusedError
		start := time.Now()
		_, err := qu.Admit(ctx, request("small", bwmodel.PromptClass))
		if !errors.As(err, &refused) || refused.Reason != bwadmit.DeadlinePassed || time.Since(start) != 10*time.Second {
			t.Fatalf("got error %v after %v, want a passed deadline after 10s", err, time.Since(start))
		}
		short, stop := context.WithTimeout(ctx, time.Second)
		defer stop()
		if _, err := qu.Admit(short, request("small", bwmodel.PromptClass)); !errors.Is(err, context.DeadlineExceeded) {
			t.Fatalf("got error %v, want that of the context", err)
		}
		time.AfterFunc(time.Second, cancel)
		_, err = qu.Admit(context.Background(), request("small", bwmodel.PromptClass))
		if !errors.As(err, &refused) || refused.Reason != bwadmit.ShuttingDown {
			t.Fatalf("got error %v, want a refusal because of the shutdown", err)
		}
		if load := qu.Load(); load.WaitingPrompt != 0 {
			t.Fatalf("load %+v after the queue stopped, want no waiting requests", load)
		}
	})
}
