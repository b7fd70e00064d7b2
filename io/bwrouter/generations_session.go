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

// session serves one generation to one caller. All its state belongs to the
// goroutine of the caller's request.
type session struct {
	gns *Generations
	rec *bwstream.Record
	out *output
	// att is the running attempt; nil between attempts.
	att     *attempt
	choice  *bwroute.Choice
	started time.Time
	first   time.Duration
	tokens  int
	pace    *bwstream.StallDetector
	// last is when the last token arrived.
	last time.Time

	// full says that the engines asked last had no free slot.
	full bool
	// reached says that an engine may have worked on the request.
	reached bool
	// failures counts the attempts in a row without a token; the retry waits until retryAt.
	failures int
	retryAt  time.Time
	exclude  []bwmodel.UpstreamID
	loss     *loss
	// paid says that the next attempt has been taken from the budget, spent that
	// the running one was.
	paid, spent bool

	cpy *RecordCopy
	// held says that a holder has been looked for.
	held bool
	// holder is one that has the record already; unset means that one is chosen.
	holder netip.AddrPort
	// holdRetry is when a lost holder is looked for again, holdLost when it was lost.
	holdRetry time.Time
	holdLost  time.Time
	// askedAt is when the holder was first owed an acknowledgement; zero when it owes none.
	askedAt time.Time
	// handed is the holder that the caller's handle may name, acked when it last
	// had the whole record, and agents are those that its record may name.
	handed netip.AddrPort
	acked  time.Time
	agents []netip.AddrPort
	// unsure is a lost holder from which another router may have the record.
	unsure netip.AddrPort
	// refresh says that the caller needs a new handle.
	refresh bool
	bad     []netip.AddrPort
	prm     permission
	// opn shows the session to operators.
	opn *openGeneration
	// timer is reused for each wait.
	timer *time.Timer
}

// loss is the end of an attempt that has to be made up for.
type loss struct {
	cause string
	// since is when the connection closed, or when the last token came before
	// a stall; begun is when the resume may begin.
	since time.Time
	begun time.Time
	// planned says that no engine failed, so that no budget is needed.
	planned bool
}

// errGaveUp says that the attempts or the time for a resume are used up.
var errGaveUp = errors.New("no engine could continue the generation")

// errNotResumed says that the configuration ends a generation with its attempt.
var errNotResumed = errors.New("the attempt was lost and is not resumed")

// errNoHolder says that no other router acknowledges the generation's record.
var errNoHolder = errors.New("no other router keeps a copy of the generation")

func newSession(gns *Generations, rec *bwstream.Record, out *output) *session {
	return &session{gns: gns, rec: rec, out: out, timer: time.NewTimer(idleCheck)}
}

// serve runs the generation to its end and tells the caller of a failure.
func (ses *session) serve(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer ses.timer.Stop()
	mx, name := ses.gns.cfg.Metrics, string(ses.rec.Spec().Service)
	mx.RequestsInProgress.With(name).Inc()
	defer mx.RequestsInProgress.With(name).Dec()
	ses.opn = ses.gns.open.add(ses)
	defer ses.gns.open.remove(ses.rec.Request(), ses.opn)
	err := ses.run(ctx)
	ses.reached = ses.reached || ses.choice != nil
	ses.end(attemptEnd{Outcome: bwroute.Outcome{Canceled: true}})
	ses.refund()
	ses.prm.finish()
	if ses.cpy != nil {
		_ = ses.cpy.Close(ctx)
	}
	if err == nil || ctx.Err() != nil {
		mx.Requests.With(name, endOf(err)).Inc()
		return
	}
	outcome := bwhttp.OutcomeUnknown
	if !ses.reached {
		outcome = bwhttp.OutcomeNotRun
	}
	mx.Requests.With(name, string(outcome)).Inc()
	if errors.Is(err, errStopped) {
		// A caller that has gone reconnects without the event too.
		_ = ses.out.handOver()
		return
	}
	ses.gns.cfg.Log.Warn("generation ended early", "Request", ses.rec.Request(), "Error", err)
	ses.out.fail(bwhttp.Problem{
		Status:  http.StatusServiceUnavailable,
		Title:   "Generation interrupted",
		Detail:  err.Error(),
		Outcome: outcome,
	})
}

func (ses *session) run(ctx context.Context) error {
	if !ses.held {
		if err := ses.hold(ctx, ses.rec.Epoch()); err != nil {
			return err
		}
	}
	for {
		if ses.idle() && !ses.gns.cfg.Now().Before(ses.retryAt) {
			ses.begin(ctx)
		}
		ses.opn.observe(ses)
		if err := ses.forward(ctx); err != nil {
			return err
		}
		if !ses.refresh && ses.rec.FinishReason() != "" && ses.rec.DeliverablePosition() == ses.rec.Position() {
			return ses.out.end(ses.rec.FinishReason())
		}
		if err := ses.wait(ctx); err != nil {
			return err
		}
	}
}

// idle reports whether the next attempt may be started.
func (ses *session) idle() bool {
	return ses.att == nil && ses.rec.FinishReason() == "" && ses.prm.asked == nil
}

// forward sends the holder and the caller what they may have.
func (ses *session) forward(ctx context.Context) error {
	if err := ses.note(ctx); err != nil {
		return err
	}
	if ses.refresh && !ses.rec.AwaitsAck() {
		ses.refresh = false
		if err := ses.out.refresh(); err != nil {
			return err
		}
	}
	if ses.refresh {
		return nil
	}
	if err := ses.out.advance(); err != nil {
		return err
	}
	if ses.out.asm.Stopped() && ses.rec.FinishReason() == "" {
		// An engine that resumed has seen only the end of a stop text that
		// began before it, so the router ends the generation itself.
		ses.complete(bwmodel.FinishStop, true)
		return ses.note(ctx)
	}
	return nil
}

// complete ends the generation, and the running attempt when it goes on.
func (ses *session) complete(why bwmodel.FinishReason, cancel bool) {
	ses.rec.SetFinishReason(why)
	ses.loss = nil
	ses.gns.lengths.Observe(ses.rec.Spec().Team, ses.rec.Spec().Service, int(ses.rec.Position()))
	ses.end(attemptEnd{Cancel: cancel})
}

// wait takes the next event of the attempt, the holder or the clock.
func (ses *session) wait(ctx context.Context) error {
	var events <-chan attemptEvent
	if ses.att != nil {
		events = ses.att.events
	}
	var acks <-chan bwstream.Ack
	var lost <-chan struct{}
	if ses.cpy != nil {
		acks, lost = ses.cpy.Acks(), ses.cpy.Done()
	}
	ses.timer.Reset(ses.nextCheck().Sub(ses.gns.cfg.Now()))
	select {
	case evt := <-events:
		return ses.take(ctx, evt)
	case ack := <-acks:
		return ses.acknowledge(ctx, ack)
	case <-lost:
		return ses.replaceHolder(ctx, "connection closed")
	case <-ses.prm.pause():
		ses.giveWay(ctx)
		return nil
	case adm := <-ses.prm.asked:
		return ses.place(adm)
	case <-ses.timer.C:
		return ses.check(ctx)
	case <-ses.gns.stopping.Done():
		return errStopped
	case <-ctx.Done():
		return ctx.Err()
	}
}

// idleCheck is the longest time without a check; no deadline depends on it.
const idleCheck = time.Minute

// nextCheck returns the earliest deadline.
func (ses *session) nextCheck() time.Time {
	next := ses.gns.cfg.Now().Add(idleCheck)
	if ses.pace != nil {
		next = earlier(next, ses.pace.Deadline())
	}
	if !ses.askedAt.IsZero() {
		next = earlier(next, ses.askedAt.Add(ses.gns.cfg.HolderAckTimeout))
	}
	if ses.idle() {
		next = earlier(next, ses.retryAt)
	}
	if !ses.holdRetry.IsZero() {
		next = earlier(next, ses.holdRetry)
	}
	if !ses.holdLost.IsZero() {
		next = earlier(next, ses.holdLost.Add(ses.gns.cfg.ResumeTimeout))
	}
	if ses.loss != nil && ses.prm.asked == nil {
		next = earlier(next, ses.loss.begun.Add(ses.gns.cfg.ResumeTimeout))
	}
	return next
}

// check acts on the deadlines that have passed. Events that wait already go
// first, since a slow caller may have kept this goroutine from taking them.
func (ses *session) check(ctx context.Context) error {
	now := ses.gns.cfg.Now()
	if ses.att != nil && len(ses.att.events) > 0 {
		return ses.take(ctx, <-ses.att.events)
	}
	if ses.cpy != nil && len(ses.cpy.acks) > 0 {
		return ses.acknowledge(ctx, <-ses.cpy.acks)
	}
	if ses.loss != nil && ses.prm.asked == nil && now.Sub(ses.loss.begun) >= ses.gns.cfg.ResumeTimeout {
		return errGaveUp
	}
	if !ses.holdLost.IsZero() && now.Sub(ses.holdLost) >= ses.gns.cfg.ResumeTimeout {
		return errNoHolder
	}
	if !ses.holdRetry.IsZero() && !now.Before(ses.holdRetry) {
		if ses.unsure.IsValid() {
			return ses.replaceHolder(ctx, "no proof")
		}
		return ses.hold(ctx, ses.rec.Epoch())
	}
	if !ses.askedAt.IsZero() && now.Sub(ses.askedAt) >= ses.gns.cfg.HolderAckTimeout {
		return ses.replaceHolder(ctx, "no acknowledgement")
	}
	return ses.checkPace(now)
}

// latePace is how late a check may be before the router itself counts as
// paused; a busy machine delays goroutines by a few tens of milliseconds.
const latePace = 100 * time.Millisecond

// checkPace ends an attempt that has stalled.
func (ses *session) checkPace(now time.Time) error {
	if ses.pace == nil {
		return nil
	}
	late := now.Sub(ses.pace.Deadline())
	switch {
	case late < 0:
		return nil
	case late > latePace:
		ses.pace.ExtendAfterPause(now)
		return nil
	case !ses.pay():
		// A stall may be a false alarm, so it waits for its part of the budget.
		ses.pace.ExtendAfterPause(now)
		return nil
	}
	return ses.lose("stall", nil)
}

// take handles an event of the current attempt.
func (ses *session) take(ctx context.Context, evt attemptEvent) error {
	switch {
	case evt.Choice != nil:
		ses.choice = evt.Choice
		ses.started = evt.At
		ses.rec.BeginAttempt(evt.Choice.Upstream.Agent)
		ses.pace = bwstream.NewStallDetector(ses.gns.paces.config(ses.rec.Spec().Service, ses.gns.cfg.StallDetector), evt.At)
		return nil
	case evt.Err != nil:
		return ses.lose(causeOf(evt.Err), evt.Err)
	}
	ses.notePrompt(evt.Output.PromptTokens)
	fresh, err := ses.rec.AcceptTokens(evt.Output.Attempt, evt.Output.Position, evt.Output.Tokens)
	if err != nil {
		ses.gns.cfg.Metrics.TokensRefused.Add(len(evt.Output.Tokens))
		return ses.lose("bad tokens", err)
	}
	if fresh > 0 {
		ses.progress(ctx, evt, fresh)
	}
	if evt.Output.Finish != "" {
		ses.complete(evt.Output.Finish, false)
	}
	return nil
}

// progress notes new tokens, and the end of a loss.
func (ses *session) progress(ctx context.Context, evt attemptEvent, fresh int) {
	if ses.pace != nil {
		ses.pace.Observe(evt.At, fresh)
	}
	ses.prm.progress(fresh)
	ses.tokens += fresh
	ses.observe(evt, fresh)
	ses.failures = 0
	ses.full = false
	ses.exclude = nil
	if ses.first == 0 {
		ses.first = max(evt.At.Sub(ses.started), 1)
		ses.gns.paces.observeFirst(ctx, ses.rec.Spec().Service, ses.first)
		if ses.choice != nil && ses.choice.ReportFirstToken != nil {
			ses.choice.ReportFirstToken(ses.first)
		}
	}
	ses.refund()
	if ses.loss == nil {
		return
	}
	took := evt.At.Sub(ses.loss.since)
	again := len(ses.rec.PromptTokens()) + int(evt.Output.Position) - evt.Output.CachedTokens
	ses.gns.cfg.Log.Info("generation resumed", "Request", ses.rec.Request(), "Cause", ses.loss.cause, "Took", took,
		"Position", uint64(evt.Output.Position), "Recomputed", again, "Attempt", uint32(ses.rec.Attempt()))
	// Work that only waited for a slot has lost nothing.
	if ses.loss.cause != causeFull {
		ses.gns.cfg.OnResume(ses.loss.cause, took, again)
	}
	ses.loss = nil
}

// observe counts new tokens and the time that the caller waited for them.
func (ses *session) observe(evt attemptEvent, fresh int) {
	mx, spec := ses.gns.cfg.Metrics, ses.rec.Spec()
	name := string(spec.Service)
	mx.TokensDelivered.With(name).Add(fresh)
	if evt.Output.CachedTokens > 0 {
		mx.CachedPromptTokens.With(name).Add(evt.Output.CachedTokens)
	}
	if ses.last.IsZero() && ses.rec.Position() == bwmodel.Position(fresh) {
		mx.FirstToken.With(name, spec.Class.String()).Update(evt.At.Sub(spec.Created).Seconds())
	} else if !ses.last.IsZero() {
		mx.TokenGap.With(name).Update(evt.At.Sub(ses.last).Seconds())
	}
	ses.last = evt.At
}

// endOf names the end of a session that its caller has seen or caused.
func endOf(err error) string {
	if err == nil {
		return "Done"
	}
	return "Canceled"
}

// begin starts the next attempt.
func (ses *session) begin(ctx context.Context) {
	spec := ses.rec.Spec()
	left := spec.MaxTokens - int(ses.rec.Position())
	if left <= 0 {
		// The last attempt was lost between its last token and its end.
		ses.loss = nil
		ses.rec.SetFinishReason(bwmodel.FinishLength)
		return
	}
	if ses.loss != nil && !ses.loss.planned && !ses.pay() && !ses.overdue() {
		ses.retryAt = ses.gns.cfg.Now().Add(budgetPause/2 + rand.N(budgetPause/2))
		return
	}
	ses.spent, ses.paid = ses.paid, false
	att := newAttempt(ctx, ses.gns)
	att.number = ses.rec.Attempt() + 1
	expected := ses.gns.expected(spec, ses.rec.Position())
	att.choose = bwroute.Request{
		ID:      ses.rec.Request(),
		Service: spec.Service,
		Team:    spec.Team,
		Model:   spec.Model,
		Tokens:  expected,
		Prefix:  ses.prefix(),
		Exclude: ses.exclude,
		NoProbe: ses.loss != nil,
	}
	att.start = bwwire.GenerateRequest{
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
	ses.first, ses.tokens = 0, 0
	go att.run()
}

func earlier(ta, tb time.Time) time.Time {
	if tb.Before(ta) {
		return tb
	}
	return ta
}
