package bwrouter

import (
	"cmp"
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"time"

	"bilberrywick/core/bwretry"
	"bilberrywick/core/bwroute"
	"bilberrywick/core/bwstream"
	"bilberrywick/io/bwrpc"
	"bilberrywick/io/bwwire"
)

// The first retry is made at once, since one loss is no sign of overload.
const (
	retryBase = 25 * time.Millisecond
	retryMax  = time.Second
)

// lose ends the current attempt and plans the next one; it returns an error
// when the generation can't go on.
func (ses *session) lose(cause string, err error) error {
	now := ses.gns.cfg.Now()
	code := bwrpc.CodeOf(err)
	noEngine := false
	if err != nil {
		_, noEngine = errors.AsType[*chooseError](err)
	}
	if !noEngine && code == bwwire.Invalid {
		return err
	}
	// An agent replaces the current attempt only for another router.
	if code == bwwire.Stale {
		return bwstream.ErrFenced
	}
	if ses.loss == nil || ses.loss.cause == causeFull && cause != causeFull && !noEngine {
		ses.loss = &loss{cause: cause, since: now, begun: now}
		if err == nil && ses.pace != nil {
			ses.loss.since = ses.pace.LastTokenTime()
		}
	}
	ses.logLoss(cause, err, code == bwwire.Overloaded || ses.full && noEngine)
	if ses.choice != nil {
		ses.exclude = append(ses.exclude, ses.choice.Upstream.Name)
	}
	if noEngine {
		// Every engine may have been excluded; the next choice starts afresh.
		ses.exclude = nil
	}
	refused := code == bwwire.Leaving || code == bwwire.Overloaded
	ses.reached = ses.reached || !noEngine && !refused && code != bwrpc.Unreachable
	if noEngine || refused {
		ses.refund()
	}
	ses.spent = false
	ses.end(attemptEnd{Outcome: bwroute.Outcome{Refused: refused, Failed: !refused && !noEngine}, Cancel: true})
	if ses.rec.Position() > 0 && !ses.gns.cfg.ShouldResume(cause) {
		return errNotResumed
	}
	// A full engine is no failure: the work waits here until one has a slot.
	ses.full = code == bwwire.Overloaded || ses.full && noEngine
	if ses.full {
		ses.retryAt = now.Add(fullDelay(noEngine))
		return nil
	}
	ses.failures++
	if ses.failures >= ses.gns.cfg.MaxAttempts {
		ses.gns.cfg.Metrics.Resumes.With(ses.loss.cause, "GaveUp").Inc()
		return errGaveUp
	}
	ses.retryAt = now.Add(retryDelay(ses.failures))
	return nil
}

// logLoss writes a line for a lost attempt. Work that waits for a slot asks about
// 40 times a second, so its lines are for debugging.
func (ses *session) logLoss(cause string, err error, waiting bool) {
	level := slog.LevelWarn
	if waiting {
		level = slog.LevelDebug
	}
	ses.gns.cfg.Log.Log(context.Background(), level, "attempt lost", "Request", ses.rec.Request(), "Cause", cause, "Agent", ses.rec.Agent(),
		"Attempt", uint32(ses.rec.Attempt()), "Position", uint64(ses.rec.Position()), "Error", err)
}

// Resumes are taken from a budget, which they get back with their first token.
// So it bounds the resumes that are under way at once, and those that fail use
// it up until new requests fill it.
const (
	// resumeBurst is about the streams that a router has on one engine.
	resumeBurst = 32
	// budgetPause is how long a loss waits before it asks the budget again; a
	// resume takes about as long.
	budgetPause = 60 * time.Millisecond
	// budgetTime is how long a loss waits for the budget at most. After that it
	// is slowed down by retryDelay only, so that an empty budget ends no answer.
	budgetTime = 1500 * time.Millisecond
)

// newResumeBudget returns a full budget.
func newResumeBudget(cfg bwretry.BudgetConfig) *bwretry.Budget {
	cfg.Burst = cmp.Or(cfg.Burst, resumeBurst)
	bud := bwretry.NewBudget(cfg)
	for range cfg.Burst {
		bud.Refund()
	}
	return bud
}

// pay takes the next attempt from the budget and reports whether it has room.
func (ses *session) pay() bool {
	ses.paid = ses.paid || ses.gns.budget.Allow()
	return ses.paid
}

// refund gives back what an attempt has taken that has succeeded or was not made.
func (ses *session) refund() {
	for _, taken := range []*bool{&ses.paid, &ses.spent} {
		if *taken {
			ses.gns.budget.Refund()
			*taken = false
		}
	}
}

// overdue reports whether a loss has waited for the budget long enough.
func (ses *session) overdue() bool {
	return ses.gns.cfg.Now().Sub(ses.loss.begun) >= budgetTime
}

// end ends the current attempt's stream and reports how the engine did.
func (ses *session) end(fin attemptEnd) {
	if ses.att == nil {
		return
	}
	if ses.choice != nil {
		fin.Outcome.FirstToken = ses.first
		fin.Outcome.Elapsed = ses.gns.cfg.Now().Sub(ses.started)
		fin.Outcome.Tokens = ses.tokens
	}
	if ses.pace != nil {
		ses.gns.paces.observeGap(ses.att.ctx, ses.rec.Spec().Service, ses.pace.SmoothedGap())
	}
	ses.att.end(fin)
	ses.att, ses.choice, ses.pace = nil, nil, nil
}

// causeFull is the cause of an attempt that found no free slot.
const causeFull = "overloaded"

// causeOf names a loss for logs and metrics.
func causeOf(err error) string {
	if _, ok := errors.AsType[*chooseError](err); ok {
		return "no engine"
	}
	switch bwrpc.CodeOf(err) {
	case bwwire.Leaving:
		return "leaving"
	case bwwire.Overloaded:
		return causeFull
	case bwwire.UpstreamFailed:
		return "engine failed"
	case bwwire.Stale:
		return "replaced"
	case bwrpc.Unreachable:
		return "agent unreachable"
	}
	return "connection closed"
}

// fullRetry is about half the time between two tokens at the target size; a slot
// that becomes free is found within it.
const fullRetry = 25 * time.Millisecond

// fullDelay returns no delay while there are other engines to ask, and otherwise
// one with jitter, so that waiting requests don't ask together.
func fullDelay(noEngine bool) time.Duration {
	if !noEngine {
		return 0
	}
	return fullRetry/2 + rand.N(fullRetry)
}

// retryDelay returns no delay after one failure, and then a growing one with
// jitter, so that many losses at once don't retry together.
func retryDelay(failures int) time.Duration {
	if failures <= 1 {
		return 0
	}
	limit := min(retryBase<<min(failures-2, 8), retryMax)
	return limit/2 + rand.N(limit/2)
}
