package bwrouter

import (
	"context"
	"errors"
	"math/bits"
	"net/http"
	"time"

	"bilberrywick/core/bwadmit"
	"bilberrywick/core/bwmodel"
	"bilberrywick/core/bwroute"
	"bilberrywick/io/bwhttp"
)

// permission is a session's place in the admission of its service. It is held
// from the first attempt to the end, except while the work gives way.
type permission struct {
	grant bwadmit.Grant
	held  bool
	// produced counts the tokens under this grant.
	produced int
	// asked receives the answer while the session waits for a place.
	asked chan admission
}

// admission is the answer of the queue.
type admission struct {
	grant bwadmit.Grant
	err   error
}

// errNotAdmitted says that work that had begun got no place to go on.
var errNotAdmitted = errors.New("no place to go on with the generation")

// take holds a grant.
func (prm *permission) take(grant bwadmit.Grant) {
	prm.grant, prm.held, prm.produced = grant, true, 0
}

// finish gives the place back.
func (prm *permission) finish() {
	if prm.held {
		prm.held = false
		prm.grant.Finish(prm.produced)
	}
}

// progress reports new tokens.
func (prm *permission) progress(fresh int) {
	if !prm.held {
		return
	}
	prm.produced += fresh
	if prm.grant.Progress != nil {
		prm.grant.Progress(prm.produced)
	}
}

// pause is closed when the work is asked to give way; nil when it has no place.
func (prm *permission) pause() <-chan struct{} {
	if !prm.held {
		return nil
	}
	return prm.grant.Preempt
}

// giveWay ends the running attempt on its engine and waits for another place.
func (ses *session) giveWay(ctx context.Context) {
	ses.gns.cfg.Metrics.Preemptions.With(string(ses.rec.Spec().Service)).Inc()
	ses.gns.cfg.Log.Info("generation gives way", "Request", ses.rec.Request(), "Position", uint64(ses.rec.Position()))
	ses.end(attemptEnd{Outcome: bwroute.Outcome{Canceled: true}, Cancel: true})
	ses.prm.finish()
	ses.askPlace(ctx)
}

// askPlace asks for a place for work that had begun.
func (ses *session) askPlace(ctx context.Context) {
	spec := ses.rec.Spec()
	ses.prm.asked = make(chan admission)
	ask := &asking{
		admit: ses.gns.cfg.Admit,
		reply: ses.prm.asked,
		req: bwadmit.Request{
			ID:      ses.rec.Request(),
			Service: spec.Service,
			Team:    spec.Team,
			Class:   spec.Class,
			Tokens:  ses.gns.expected(spec, ses.rec.Position()),
			Resumed: true,
		},
	}
	go ask.run(ctx)
}

// place takes the answer; the time that the work gave way is no resume latency.
func (ses *session) place(adm admission) error {
	ses.prm.asked = nil
	if adm.err != nil {
		return errors.Join(errNotAdmitted, adm.err)
	}
	ses.prm.take(adm.grant)
	now := ses.gns.cfg.Now()
	if ses.loss == nil {
		ses.loss = &loss{cause: "gave way", since: now, planned: true}
	}
	ses.loss.begun = now
	return nil
}

// asking waits for the queue while the session serves its holder and caller.
type asking struct {
	admit func(context.Context, bwadmit.Request) (bwadmit.Grant, error)
	req   bwadmit.Request
	reply chan admission
}

func (ask *asking) run(ctx context.Context) {
	grant, err := ask.admit(ctx, ask.req)
	select {
	case ask.reply <- admission{grant: grant, err: err}:
	case <-ctx.Done():
		// The session has ended and takes no answer.
		if err == nil {
			grant.Finish(0)
		}
	}
}

// expected returns the tokens that a generation still needs. One that is
// longer than expected counts as half done, as bwadmit charges it.
func (gns *Generations) expected(spec bwmodel.GenerationSpec, done bwmodel.Position) int {
	left := max(1, spec.MaxTokens-int(done))
	total := gns.lengths.Predict(spec.Team, spec.Service, spec.MaxTokens)
	if total > int(done) {
		return min(left, total-int(done))
	}
	return min(left, int(done))
}

// Priorities in the engine; a lower value runs first. Within a class work that
// had begun comes first, then the shorter work.
const (
	promptPriority     = 0
	deferrablePriority = 100
)

func priorityOf(class bwmodel.WorkClass, begun bool, expected int) int {
	prio := promptPriority
	if class == bwmodel.DeferrableClass {
		prio = deferrablePriority
	}
	if begun {
		return prio
	}
	return prio + bits.Len(uint(expected))
}

// admitProblem tells a caller why its work was not started.
func admitProblem(err error) bwhttp.Problem {
	prb := bwhttp.Problem{Status: http.StatusServiceUnavailable, Title: "Not admitted", Detail: err.Error(), Outcome: bwhttp.OutcomeNotRun, RetryAfter: time.Second}
	if ref, ok := errors.AsType[*bwadmit.RefusedError](err); ok {
		prb.Status = http.StatusTooManyRequests
		prb.RetryAfter = ref.RetryAfter
	}
	return prb
}
