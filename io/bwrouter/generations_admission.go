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

// admissionState is a session's grant from the admission queue of its service. The
// session holds a grant from its first attempt to its end, except while it is preempted.
type admissionState struct {
	grant   bwadmit.Grant
	granted bool
	// produced counts the tokens generated under this grant.
	produced int
	// pending receives the queue's result while the session waits to be admitted again.
	pending chan admissionResult
}

// admissionResult is the result of a request to the queue.
type admissionResult struct {
	grant bwadmit.Grant
	err   error
}

// errNotAdmitted means that preempted or resumed work was not admitted again.
var errNotAdmitted = errors.New("no place to go on with the generation")

// setGrant stores a new grant.
func (ads *admissionState) setGrant(grant bwadmit.Grant) {
	ads.grant, ads.granted, ads.produced = grant, true, 0
}

// release returns the grant.
func (ads *admissionState) release() {
	if ads.granted {
		ads.granted = false
		ads.grant.Finish(ads.produced)
	}
}

// reportProgress reports new tokens to the queue.
func (ads *admissionState) reportProgress(fresh int) {
	if !ads.granted {
		return
	}
	ads.produced += fresh
	if ads.grant.Progress != nil {
		ads.grant.Progress(ads.produced)
	}
}

// preempted returns a channel that is closed when the work is preempted, or nil
// without a grant.
func (ads *admissionState) preempted() <-chan struct{} {
	if !ads.granted {
		return nil
	}
	return ads.grant.Preempt
}

// preempt ends the running attempt on its engine and requests admission again.
func (ses *session) preempt(ctx context.Context) {
	ses.gns.cfg.Metrics.Preemptions.With(string(ses.rec.Spec().Service)).Inc()
	ses.gns.cfg.Log.Info("generation preempted", "Request", ses.rec.Request(), "Position", uint64(ses.rec.Position()))
	ses.endAttempt(attemptEnd{Outcome: bwroute.Outcome{Canceled: true}, Cancel: true})
	ses.admission.release()
	ses.requestAdmission(ctx)
}

// requestAdmission requests admission for a generation that has already started.
func (ses *session) requestAdmission(ctx context.Context) {
	spec := ses.rec.Spec()
	ses.admission.pending = make(chan admissionResult)
	arq := &admissionRequest{
		admit:   ses.gns.cfg.Admit,
		results: ses.admission.pending,
		req: bwadmit.Request{
			ID:      ses.rec.Request(),
			Service: spec.Service,
			Team:    spec.Team,
			Class:   spec.Class,
			Tokens:  ses.gns.expectedTokens(spec, ses.rec.Position()),
			Resumed: true,
		},
	}
	go arq.run(ctx)
}

// applyAdmission handles the queue's result. The time that a running generation spent
// preempted does not count as resume latency, and the resume timeout starts now.
func (ses *session) applyAdmission(adm admissionResult) error {
	ses.admission.pending = nil
	if adm.err != nil {
		return errors.Join(errNotAdmitted, adm.err)
	}
	ses.admission.setGrant(adm.grant)
	now := ses.gns.cfg.Now()
	if ses.loss == nil {
		ses.loss = &attemptLoss{cause: "gave way", since: now, planned: true}
	}
	ses.loss.resumableAt = now
	return nil
}

// admissionRequest waits for the queue while the session handles its other events.
type admissionRequest struct {
	admit   func(context.Context, bwadmit.Request) (bwadmit.Grant, error)
	req     bwadmit.Request
	results chan admissionResult
}

func (arq *admissionRequest) run(ctx context.Context) {
	grant, err := arq.admit(ctx, arq.req)
	select {
	case arq.results <- admissionResult{grant: grant, err: err}:
	case <-ctx.Done():
		// The session has ended and does not receive the result.
		if err == nil {
			grant.Finish(0)
		}
	}
}

// expectedTokens returns the number of tokens that a generation is expected to still
// need. One that is longer than predicted counts as half done, as bwadmit charges it.
func (gns *Generations) expectedTokens(spec bwmodel.GenerationSpec, done bwmodel.Position) int {
	remaining := max(1, spec.MaxTokens-int(done))
	total := gns.outputLengths.Predict(spec.Team, spec.Service, spec.MaxTokens)
	if total > int(done) {
		return min(remaining, total-int(done))
	}
	return min(remaining, int(done))
}

// Priorities in the engine; a lower value runs first. Within a class resumed work
// runs first, then shorter work.
const (
	promptPriority     = 0
	deferrablePriority = 100
)

func priorityOf(class bwmodel.WorkClass, resumed bool, expected int) int {
	prio := promptPriority
	if class == bwmodel.DeferrableClass {
		prio = deferrablePriority
	}
	if resumed {
		return prio
	}
	return prio + bits.Len(uint(expected))
}

// admitProblem returns the response for work that was not admitted.
func admitProblem(err error) bwhttp.Problem {
	prb := bwhttp.Problem{Status: http.StatusServiceUnavailable, Title: "Not admitted", Detail: err.Error(), Outcome: bwhttp.OutcomeNotRun, RetryAfter: time.Second}
	if ref, ok := errors.AsType[*bwadmit.RefusedError](err); ok {
		prb.Status = http.StatusTooManyRequests
		prb.RetryAfter = ref.RetryAfter
	}
	return prb
}
