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

// Delays between attempts. The first retry has no delay, since one lost attempt is no
// sign of overload.
const (
	retryBaseDelay = 25 * time.Millisecond
	retryMaxDelay  = time.Second
)

// loseAttempt ends the current attempt and schedules the next one. It returns an
// error when the generation can't continue.
func (ses *session) loseAttempt(cause string, err error) error {
	now := ses.gns.cfg.Now()
	code := bwrpc.CodeOf(err)
	noEngine := false
	if err != nil {
		_, noEngine = errors.AsType[*chooseError](err)
	}
	if !noEngine && code == bwwire.Invalid {
		return err
	}
	// An agent rejects the current attempt as stale only after another router has
	// taken the generation over.
	if code == bwwire.Stale {
		return bwstream.ErrFenced
	}
	if ses.loss == nil || ses.loss.cause == causeOverloaded && cause != causeOverloaded && !noEngine {
		ses.loss = &attemptLoss{cause: cause, since: now, resumableAt: now}
		if err == nil && ses.stallDetector != nil {
			ses.loss.since = ses.stallDetector.LastTokenTime()
		}
	}
	ses.logLoss(cause, err, code == bwwire.Overloaded || ses.enginesFull && noEngine)
	if ses.choice != nil {
		ses.exclude = append(ses.exclude, ses.choice.Upstream.Name)
	}
	if noEngine {
		// All engines may have been excluded, so the next choice excludes none.
		ses.exclude = nil
	}
	refused := code == bwwire.Leaving || code == bwwire.Overloaded
	ses.mayHaveRun = ses.mayHaveRun || !noEngine && !refused && code != bwrpc.Unreachable
	if noEngine || refused {
		ses.refundBudget()
	}
	ses.budgetUsed = false
	ses.endAttempt(attemptEnd{Outcome: bwroute.Outcome{Refused: refused, Failed: !refused && !noEngine}, Cancel: true})
	if ses.rec.Position() > 0 && !ses.gns.cfg.ShouldResume(cause) {
		return errNotResumed
	}
	// A full engine is not a failure; the session retries until an engine has a free slot.
	ses.enginesFull = code == bwwire.Overloaded || ses.enginesFull && noEngine
	if ses.enginesFull {
		ses.retryAt = now.Add(slotDelay(noEngine))
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

// logLoss logs a lost attempt. A session that waits for a slot retries about 40 times
// a second, so its lines have level Debug.
func (ses *session) logLoss(cause string, err error, waiting bool) {
	level := slog.LevelWarn
	if waiting {
		level = slog.LevelDebug
	}
	ses.gns.cfg.Log.Log(context.Background(), level, "attempt lost", "Request", ses.rec.Request(), "Cause", cause, "Agent", ses.rec.Agent(),
		"Attempt", uint32(ses.rec.Attempt()), "Position", uint64(ses.rec.Position()), "Error", err)
}

// Each resume uses one unit of a budget, which its first token refunds. The budget
// thus limits the concurrent resumes, and failed ones use it up until new requests
// refill it.
const (
	// resumeBurst is about the number of streams that a router has on one engine.
	resumeBurst = 32
	// budgetRetryDelay is the longest delay before a session checks the budget
	// again; a resume takes about as long.
	budgetRetryDelay = 60 * time.Millisecond
	// maxBudgetWait is the longest time that a resume waits for the budget. After that
	// only retryDelay slows it down, so that an empty budget ends no generation.
	maxBudgetWait = 1500 * time.Millisecond
)

// newResumeBudget returns a budget that starts full.
func newResumeBudget(cfg bwretry.BudgetConfig) *bwretry.Budget {
	cfg.Burst = cmp.Or(cfg.Burst, resumeBurst)
	bud := bwretry.NewBudget(cfg)
	for range cfg.Burst {
		bud.Refund()
	}
	return bud
}

// reserveBudget reserves a unit of the budget for the next attempt, and reports whether
// the attempt has one.
func (ses *session) reserveBudget() bool {
	ses.budgetReserved = ses.budgetReserved || ses.gns.resumeBudget.Allow()
	return ses.budgetReserved
}

// refundBudget refunds the units of attempts that succeeded or were not made.
func (ses *session) refundBudget() {
	for _, taken := range []*bool{&ses.budgetReserved, &ses.budgetUsed} {
		if *taken {
			ses.gns.resumeBudget.Refund()
			*taken = false
		}
	}
}

// budgetWaitExceeded reports whether the resume has waited for the budget for maxBudgetWait.
func (ses *session) budgetWaitExceeded() bool {
	return ses.gns.cfg.Now().Sub(ses.loss.resumableAt) >= maxBudgetWait
}

// endAttempt ends the current attempt's stream and reports its outcome to the chooser.
func (ses *session) endAttempt(fin attemptEnd) {
	if ses.att == nil {
		return
	}
	if ses.choice != nil {
		fin.Outcome.FirstToken = ses.firstToken
		fin.Outcome.Elapsed = ses.gns.cfg.Now().Sub(ses.attemptStart)
		fin.Outcome.Tokens = ses.attemptTokens
	}
	if ses.stallDetector != nil {
		ses.gns.latencies.observeGap(ses.att.ctx, ses.rec.Spec().Service, ses.stallDetector.SmoothedGap())
	}
	ses.att.end(fin)
	ses.att, ses.choice, ses.stallDetector = nil, nil, nil
}

// causeOverloaded is the cause of an attempt whose engine had no free slot.
const causeOverloaded = "overloaded"

// lossCause returns the cause of a lost attempt for logs and metrics.
func lossCause(err error) string {
	if _, ok := errors.AsType[*chooseError](err); ok {
		return "no engine"
	}
	switch bwrpc.CodeOf(err) {
	case bwwire.Leaving:
		return "leaving"
	case bwwire.Overloaded:
		return causeOverloaded
	case bwwire.UpstreamFailed:
		return "engine failed"
	case bwwire.Stale:
		return "replaced"
	case bwrpc.Unreachable:
		return "agent unreachable"
	}
	return "connection closed"
}

// slotRetryDelay is the mean delay before full engines are tried again, and so the
// time until a free slot is found. It is about half the time between two tokens at
// the target size of a deployment.
const slotRetryDelay = 25 * time.Millisecond

// slotDelay returns no delay while there are other engines to try, and otherwise
// one with jitter, so that waiting requests don't retry together.
func slotDelay(noEngine bool) time.Duration {
	if !noEngine {
		return 0
	}
	return slotRetryDelay/2 + rand.N(slotRetryDelay)
}

// retryDelay returns no delay after the first failure, and then an exponential one
// with jitter, so that attempts lost at the same time don't retry together.
func retryDelay(failures int) time.Duration {
	if failures <= 1 {
		return 0
	}
	limit := min(retryBaseDelay<<min(failures-2, 8), retryMaxDelay)
	return limit/2 + rand.N(limit/2)
}
