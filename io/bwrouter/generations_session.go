package bwrouter

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"time"

	"bilberrywick/core/bwmodel"
	"bilberrywick/core/bwroute"
	"bilberrywick/core/bwstream"
	"bilberrywick/io/bwhttp"
	"bilberrywick/io/bwwire"
)

// session serves one generation to one caller. Only the goroutine of the caller's
// request uses its state.
type session struct {
	gns *Generations
	rec *bwstream.Record
	out *output
	// att is the running attempt; nil between attempts.
	att           *attempt
	choice        *bwroute.Choice
	attemptStart  time.Time
	firstToken    time.Duration
	attemptTokens int
	stallDetector *bwstream.StallDetector
	// lastTokenAt is the arrival time of the last token.
	lastTokenAt time.Time

	// enginesFull is set while the engines tried last had no free slot.
	enginesFull bool
	// mayHaveRun is set once an engine may have worked on the request.
	mayHaveRun bool
	// failures counts the consecutive attempts without a token; the next one starts at retryAt.
	failures int
	retryAt  time.Time
	exclude  []bwmodel.UpstreamID
	loss     *attemptLoss
	// budgetReserved is set when the next attempt has a unit of the resume budget, and
	// budgetUsed when the running one has.
	budgetReserved, budgetUsed bool

	recordCopy *RecordCopy
	// holderChosen is set after the first choice of a holder, even if there was none.
	holderChosen bool
	// initialHolder is a holder that has the record already; if unset, one is chosen.
	initialHolder netip.AddrPort
	// holderRetryAt is when the session looks for a holder again, and holderLostAt
	// when the holder was lost.
	holderRetryAt time.Time
	holderLostAt  time.Time
	// ackPendingSince is when the session began to wait for an acknowledgement; zero
	// when none is pending.
	ackPendingSince time.Time
	// handleHolder is the holder that the caller's handle may name, lastAck is when it
	// last had the complete record, and recordedAgents are the agents that its record may name.
	handleHolder   netip.AddrPort
	lastAck        time.Time
	recordedAgents []netip.AddrPort
	// unreleasedHolder is a lost holder from which another router may have taken over the record.
	unreleasedHolder netip.AddrPort
	// refreshHandle is set when the caller needs a new handle.
	refreshHandle bool
	failedHolders []netip.AddrPort
	admission     admissionState
	// entry publishes the session's state for operators.
	entry *openGeneration
	// timer is reused for each wait.
	timer *time.Timer
}

// attemptLoss describes the loss of an attempt until the generation is resumed.
type attemptLoss struct {
	cause string
	// since is when the connection closed or, after a stall, when the last token
	// arrived; resumableAt is when the resume may begin.
	since       time.Time
	resumableAt time.Time
	// planned means that no engine failed, so that the resume needs no budget.
	planned bool
}

// errGaveUp means that the attempts or the time for a resume are used up.
var errGaveUp = errors.New("no engine could continue the generation")

// errNotResumed means that the configuration does not allow the resume of a lost attempt.
var errNotResumed = errors.New("the attempt was lost and is not resumed")

// errNoHolder means that no other router acknowledges the generation's record.
var errNoHolder = errors.New("no other router keeps a copy of the generation")

func newSession(gns *Generations, rec *bwstream.Record, out *output) *session {
	return &session{gns: gns, rec: rec, out: out, timer: time.NewTimer(maxCheckInterval)}
}

// serve runs the generation to its end and reports a failure to the caller.
func (ses *session) serve(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer ses.timer.Stop()
	mx, name := ses.gns.cfg.Metrics, string(ses.rec.Spec().Service)
	mx.RequestsInProgress.With(name).Inc()
	defer mx.RequestsInProgress.With(name).Dec()
	ses.entry = ses.gns.open.add(ses)
	defer ses.gns.open.remove(ses.rec.Request(), ses.entry)
	err := ses.run(ctx)
	ses.mayHaveRun = ses.mayHaveRun || ses.choice != nil
	ses.endAttempt(attemptEnd{Outcome: bwroute.Outcome{Canceled: true}})
	ses.refundBudget()
	ses.admission.release()
	if ses.recordCopy != nil {
		_ = ses.recordCopy.Close(ctx)
	}
	if err == nil || ctx.Err() != nil {
		mx.Requests.With(name, resultLabel(err)).Inc()
		return
	}
	outcome := bwhttp.OutcomeUnknown
	if !ses.mayHaveRun {
		outcome = bwhttp.OutcomeNotRun
	}
	mx.Requests.With(name, string(outcome)).Inc()
	if errors.Is(err, errRouterStopping) {
		// A caller that has disconnected can reconnect without the event.
		_ = ses.out.writeHandOver()
		return
	}
	ses.gns.cfg.Log.Warn("generation ended early", "Request", ses.rec.Request(), "Error", err)
	ses.out.writeProblem(bwhttp.Problem{
		Status:  http.StatusServiceUnavailable,
		Title:   "Generation interrupted",
		Detail:  err.Error(),
		Outcome: outcome,
	})
}

func (ses *session) run(ctx context.Context) error {
	if !ses.holderChosen {
		if err := ses.chooseHolder(ctx, ses.rec.Epoch()); err != nil {
			return err
		}
	}
	for {
		if ses.needsAttempt() && !ses.gns.cfg.Now().Before(ses.retryAt) {
			ses.startAttempt(ctx)
		}
		ses.entry.observe(ses)
		if err := ses.forward(ctx); err != nil {
			return err
		}
		if !ses.refreshHandle && ses.rec.FinishReason() != "" && ses.rec.DeliverablePosition() == ses.rec.Position() {
			return ses.out.finish(ses.rec.FinishReason())
		}
		if err := ses.waitEvent(ctx); err != nil {
			return err
		}
	}
}

// needsAttempt reports whether the generation needs another attempt and may start one.
func (ses *session) needsAttempt() bool {
	return ses.att == nil && ses.rec.FinishReason() == "" && ses.admission.pending == nil
}

// forward sends new output to the holder, and to the caller what the holder has acknowledged.
func (ses *session) forward(ctx context.Context) error {
	if err := ses.sendAppend(ctx); err != nil {
		return err
	}
	if ses.refreshHandle && !ses.rec.AwaitsAck() {
		ses.refreshHandle = false
		if err := ses.out.writeHandle(); err != nil {
			return err
		}
	}
	if ses.refreshHandle {
		return nil
	}
	if err := ses.out.writeDeliverable(); err != nil {
		return err
	}
	if ses.out.asm.Stopped() && ses.rec.FinishReason() == "" {
		// An engine that resumes a generation produces only the end of a stop sequence
		// that began before the resume and does not detect it, so the router ends the
		// generation itself.
		ses.complete(bwmodel.FinishStop, true)
		return ses.sendAppend(ctx)
	}
	return nil
}

// complete ends the generation and its attempt; cancel also stops the attempt at its agent.
func (ses *session) complete(reason bwmodel.FinishReason, cancel bool) {
	ses.rec.SetFinishReason(reason)
	ses.loss = nil
	ses.gns.outputLengths.Observe(ses.rec.Spec().Team, ses.rec.Spec().Service, int(ses.rec.Position()))
	ses.endAttempt(attemptEnd{Cancel: cancel})
}

// waitEvent waits for the next event or deadline and handles it.
func (ses *session) waitEvent(ctx context.Context) error {
	var events <-chan attemptEvent
	if ses.att != nil {
		events = ses.att.events
	}
	var acks <-chan bwstream.Ack
	var lost <-chan struct{}
	if ses.recordCopy != nil {
		acks, lost = ses.recordCopy.Acks(), ses.recordCopy.Done()
	}
	ses.timer.Reset(ses.nextDeadline().Sub(ses.gns.cfg.Now()))
	select {
	case evt := <-events:
		return ses.handleEvent(ctx, evt)
	case ack := <-acks:
		return ses.handleAck(ctx, ack)
	case <-lost:
		return ses.replaceHolder(ctx, "connection closed")
	case <-ses.admission.preempted():
		ses.preempt(ctx)
		return nil
	case adm := <-ses.admission.pending:
		return ses.applyAdmission(adm)
	case <-ses.timer.C:
		return ses.checkDeadlines(ctx)
	case <-ses.gns.stopping.Done():
		return errRouterStopping
	case <-ctx.Done():
		return ctx.Err()
	}
}

// maxCheckInterval is the longest time between two checks; no deadline depends on it.
const maxCheckInterval = time.Minute

// nextDeadline returns the earliest deadline.
func (ses *session) nextDeadline() time.Time {
	next := ses.gns.cfg.Now().Add(maxCheckInterval)
	if ses.stallDetector != nil {
		next = earlier(next, ses.stallDetector.Deadline())
	}
	if !ses.ackPendingSince.IsZero() {
		next = earlier(next, ses.ackPendingSince.Add(ses.gns.cfg.HolderAckTimeout))
	}
	if ses.needsAttempt() {
		next = earlier(next, ses.retryAt)
	}
	if !ses.holderRetryAt.IsZero() {
		next = earlier(next, ses.holderRetryAt)
	}
	if !ses.holderLostAt.IsZero() {
		next = earlier(next, ses.holderLostAt.Add(ses.gns.cfg.ResumeTimeout))
	}
	if ses.loss != nil && ses.admission.pending == nil {
		next = earlier(next, ses.loss.resumableAt.Add(ses.gns.cfg.ResumeTimeout))
	}
	return next
}

// checkDeadlines handles expired deadlines. Queued events are handled first, since
// writing to a slow caller may have kept this goroutine from receiving them.
func (ses *session) checkDeadlines(ctx context.Context) error {
	now := ses.gns.cfg.Now()
	if ses.att != nil && len(ses.att.events) > 0 {
		return ses.handleEvent(ctx, <-ses.att.events)
	}
	if ses.recordCopy != nil && len(ses.recordCopy.acks) > 0 {
		return ses.handleAck(ctx, <-ses.recordCopy.acks)
	}
	if ses.loss != nil && ses.admission.pending == nil && now.Sub(ses.loss.resumableAt) >= ses.gns.cfg.ResumeTimeout {
		return errGaveUp
	}
	if !ses.holderLostAt.IsZero() && now.Sub(ses.holderLostAt) >= ses.gns.cfg.ResumeTimeout {
		return errNoHolder
	}
	if !ses.holderRetryAt.IsZero() && !now.Before(ses.holderRetryAt) {
		if ses.unreleasedHolder.IsValid() {
			return ses.replaceHolder(ctx, "no proof")
		}
		return ses.chooseHolder(ctx, ses.rec.Epoch())
	}
	if !ses.ackPendingSince.IsZero() && now.Sub(ses.ackPendingSince) >= ses.gns.cfg.HolderAckTimeout {
		return ses.replaceHolder(ctx, "no acknowledgement")
	}
	return ses.checkStall(now)
}

// maxCheckDelay is the delay of a check beyond which the router itself, not the
// stream, counts as paused; a busy machine delays goroutines by tens of milliseconds.
const maxCheckDelay = 100 * time.Millisecond

// checkStall ends a stalled attempt.
func (ses *session) checkStall(now time.Time) error {
	if ses.stallDetector == nil {
		return nil
	}
	late := now.Sub(ses.stallDetector.Deadline())
	switch {
	case late < 0:
		return nil
	case late > maxCheckDelay:
		ses.stallDetector.ExtendAfterPause(now)
		return nil
	case !ses.reserveBudget():
		// A stall may be a false alarm, so the attempt is kept until the budget allows a resume.
		ses.stallDetector.ExtendAfterPause(now)
		return nil
	}
	return ses.loseAttempt("stall", nil)
}

// handleEvent applies an event of the current attempt.
func (ses *session) handleEvent(ctx context.Context, evt attemptEvent) error {
	switch {
	case evt.Choice != nil:
		ses.choice = evt.Choice
		ses.attemptStart = evt.At
		ses.rec.BeginAttempt(evt.Choice.Upstream.Agent)
		ses.stallDetector = bwstream.NewStallDetector(ses.gns.latencies.stallDetectorConfig(ses.rec.Spec().Service, ses.gns.cfg.StallDetector), evt.At)
		return nil
	case evt.Err != nil:
		return ses.loseAttempt(lossCause(evt.Err), evt.Err)
	}
	ses.recordPrompt(evt.Output.PromptTokens)
	fresh, err := ses.rec.AcceptTokens(evt.Output.Attempt, evt.Output.Position, evt.Output.Tokens)
	if err != nil {
		ses.gns.cfg.Metrics.TokensRefused.Add(len(evt.Output.Tokens))
		return ses.loseAttempt("bad tokens", err)
	}
	if fresh > 0 {
		ses.handleProgress(ctx, evt, fresh)
	}
	if evt.Output.Finish != "" {
		ses.complete(evt.Output.Finish, false)
	}
	return nil
}

// handleProgress records new tokens and, after a loss, that the generation was resumed.
func (ses *session) handleProgress(ctx context.Context, evt attemptEvent, fresh int) {
	if ses.stallDetector != nil {
		ses.stallDetector.Observe(evt.At, fresh)
	}
	ses.admission.reportProgress(fresh)
	ses.attemptTokens += fresh
	ses.recordTokenMetrics(evt, fresh)
	ses.failures = 0
	ses.enginesFull = false
	ses.exclude = nil
	if ses.firstToken == 0 {
		ses.firstToken = max(evt.At.Sub(ses.attemptStart), 1)
		ses.gns.latencies.observeFirstToken(ctx, ses.rec.Spec().Service, ses.firstToken)
		if ses.choice != nil && ses.choice.ReportFirstToken != nil {
			ses.choice.ReportFirstToken(ses.firstToken)
		}
	}
	ses.refundBudget()
	if ses.loss == nil {
		return
	}
	elapsed := evt.At.Sub(ses.loss.since)
	recomputed := len(ses.rec.PromptTokens()) + int(evt.Output.Position) - evt.Output.CachedTokens
	ses.gns.cfg.Log.Info("generation resumed", "Request", ses.rec.Request(), "Cause", ses.loss.cause, "Took", elapsed,
		"Position", uint64(evt.Output.Position), "Recomputed", recomputed, "Attempt", uint32(ses.rec.Attempt()))
	// Waiting for a free slot does not count as a resume.
	if ses.loss.cause != causeOverloaded {
		ses.gns.cfg.OnResume(ses.loss.cause, elapsed, recomputed)
	}
	ses.loss = nil
}

// recordTokenMetrics records new tokens and the time that the caller waited for them.
func (ses *session) recordTokenMetrics(evt attemptEvent, fresh int) {
	mx, spec := ses.gns.cfg.Metrics, ses.rec.Spec()
	name := string(spec.Service)
	mx.TokensDelivered.With(name).Add(fresh)
	if evt.Output.CachedTokens > 0 {
		mx.CachedPromptTokens.With(name).Add(evt.Output.CachedTokens)
	}
	if ses.lastTokenAt.IsZero() && ses.rec.Position() == bwmodel.Position(fresh) {
		mx.TimeToFirstToken.With(name, spec.Class.String()).Update(evt.At.Sub(spec.Created).Seconds())
	} else if !ses.lastTokenAt.IsZero() {
		mx.TokenGap.With(name).Update(evt.At.Sub(ses.lastTokenAt).Seconds())
	}
	ses.lastTokenAt = evt.At
}

// resultLabel returns the metric label of a session that completed or whose caller disconnected.
func resultLabel(err error) string {
	if err == nil {
		return "Done"
	}
	return "Canceled"
}

// startAttempt starts the next attempt.
func (ses *session) startAttempt(ctx context.Context) {
	spec := ses.rec.Spec()
	remaining := spec.MaxTokens - int(ses.rec.Position())
	if remaining <= 0 {
		// The last attempt was lost after its last token and before its finish reason.
		ses.loss = nil
		ses.rec.SetFinishReason(bwmodel.FinishLength)
		return
	}
	if ses.loss != nil && !ses.loss.planned && !ses.reserveBudget() && !ses.budgetWaitExceeded() {
		ses.retryAt = ses.gns.cfg.Now().Add(budgetRetryDelay/2 + rand.N(budgetRetryDelay/2))
		return
	}
	ses.budgetUsed, ses.budgetReserved = ses.budgetReserved, false
	att := newAttempt(ctx, ses.gns)
	att.number = ses.rec.Attempt() + 1
	expected := ses.gns.expectedTokens(spec, ses.rec.Position())
	att.chooseRequest = bwroute.Request{
		ID:      ses.rec.Request(),
		Service: spec.Service,
		Team:    spec.Team,
		Model:   spec.Model,
		Tokens:  expected,
		Prefix:  ses.prefix(),
		Exclude: ses.exclude,
		NoProbe: ses.loss != nil,
	}
	att.startRequest = bwwire.GenerateRequest{
		Request:      ses.rec.Request(),
		Epoch:        ses.rec.Epoch(),
		Attempt:      att.number,
		StateNumber:  ses.gns.cfg.StateNumber(),
		Spec:         spec,
		Issued:       ses.rec.Tokens(),
		PromptTokens: ses.rec.PromptTokens(),
		Holder:       ses.rec.Holder(),
		Priority:     priorityOf(spec.Class, ses.rec.Position() > 0, expected),
	}
	ses.att = att
	ses.firstToken, ses.attemptTokens = 0, 0
	go att.run()
}

func earlier(ta, tb time.Time) time.Time {
	if tb.Before(ta) {
		return tb
	}
	return ta
}
