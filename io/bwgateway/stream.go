package bwgateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"bilberrywick/core/bwforward"
	"bilberrywick/core/bwmodel"
	"bilberrywick/core/bwretry"
)

// stream is the answer of an event stream, which several upstreams may
// continue one after the other.
type stream struct {
	*call
	// last is the ID of the last event that the caller has.
	last uint64
	// begun is set once the caller has the head of the answer.
	begun bool
	// copyAt is the engine that has a copy of the run which failed last.
	copyAt *bwforward.Node
	// copyHandle names the copy; empty means one by the name of the request.
	copyHandle string
	// failed is the last whole answer that was a failure.
	failed *reply
	ctl    *http.ResponseController
	lastAt time.Time
}

const (
	// leastShare of the target has to be left for a stream to be worth offering:
	// an engine that still has the prompt begins at once, and no other can.
	leastShare = 0.1
	// waitShare is the part of the target for which a stream waits for an engine.
	waitShare = 0.125
	waitStep  = 50 * time.Millisecond
	// suspectShare of the allowed pause without a byte makes an engine suspect:
	// it is asked for a connection, which costs far less than reading a prompt
	// on another engine for nothing.
	suspectShare = 0.35
	// firstFactor of the expected time to the first event passes before the
	// engine is suspect, since engines are slowed by their neighbours.
	firstFactor = 1.3
	// muteShare of the allowed pause ends the wait for an engine that takes
	// connections and is silent, and muteFirst of the target, or muteFactor of
	// the expected time, that for the first event.
	muteShare  = 4
	muteFirst  = 0.9
	muteFactor = 3
	// defaultGap and defaultTarget hold for routes that state none.
	defaultGap    = time.Second
	defaultTarget = 10 * time.Second
	// streamWrite ends the connection of a caller that takes nothing.
	streamWrite = 10 * time.Second
)

var (
	errEventOrder = errors.New("event is out of order")
	errSilent     = errors.New("silent")
)

// serveStream answers with events, from as many engines as it takes.
func (cl *call) serveStream() {
	stm := &stream{call: cl, ctl: http.NewResponseController(cl.wrt)}
	// A caller that sends no number starts from the beginning.
	stm.last, _ = strconv.ParseUint(cl.ask.LastEventID, 10, 64)
	if cl.left() < scale(stm.target(), leastShare) {
		cl.refuse(http.StatusServiceUnavailable, "too little time is left")
		return
	}
	for cl.tries < maxTries && !cl.gone() && cl.left() > 0 {
		nd, copied := stm.choose()
		if nd == nil {
			break
		}
		cl.tries++
		err := stm.attempt(nd, copied)
		if err == nil {
			cl.upstream = nd.ID
			return
		}
		stm.logLoss(nd, copied, err)
		if cl.sent > 0 && (!cl.match.Route.Resumable || cl.sent >= max(cl.match.Route.MaxUpstreams, 1)) {
			cl.note = "no more upstreams are allowed"
			break
		}
		if !cl.mayArrive(stm.claim()) {
			break
		}
	}
	stm.end()
}

func (stm *stream) claim() bwforward.RetryClass {
	if stm.begun {
		return bwforward.StreamResume
	}
	return bwforward.StreamRetry
}

// end tells the caller that no engine could finish the answer.
func (stm *stream) end() {
	switch {
	case stm.gone():
		stm.reason = "caller left"
		stm.abort()
	case stm.begun:
		stm.reason = "stream could not be finished"
		stm.abort()
	case stm.failed != nil:
		stm.reply(nil, stm.failed)
	case stm.sent == 0:
		stm.refuse(http.StatusServiceUnavailable, "no engine took it")
	case stm.left() <= 0:
		stm.refuse(http.StatusGatewayTimeout, "no answer in time")
	default:
		stm.refuse(http.StatusBadGateway, "engines broke off")
	}
}

// choose returns the engine with a copy of the run if there is one, and
// otherwise the best one, for which it waits a little.
func (stm *stream) choose() (nd *bwforward.Node, copied bool) {
	if nd := stm.copyAt; nd != nil {
		stm.copyAt = nil
		if stm.gw.cfg.Pool.AcceptsWork(nd) {
			return nd, true
		}
	}
	until := stm.gw.cfg.Now().Add(scale(stm.target(), waitShare))
	for {
		if nd := stm.gw.cfg.Pool.Choose(stm.work()); nd != nil {
			return nd, false
		}
		if !stm.gw.cfg.Now().Before(until) || !bwretry.Pause(stm.ctx, waitStep) {
			return nil, false
		}
		stm.exclude = nil
	}
}

// attempt runs the rest of the stream on one engine; a nil error means that
// the caller has the whole answer.
func (stm *stream) attempt(nd *bwforward.Node, copied bool) error {
	ctx, cancel := context.WithCancel(stm.ctx)
	defer cancel()
	wrk := stm.work()
	if copied {
		wrk.PromptTokens, wrk.MaxOutputTokens = 0, wrk.PromptTokens+wrk.MaxOutputTokens
	}
	plc := nd.Place(wrk)
	defer plc.End()
	dsp := stm.dispatch(nd)
	if stm.last > 0 {
		dsp.LastEventID = strconv.FormatUint(stm.last, 10)
	}
	if copied {
		dsp.CopyName = stm.copyHandle
		stm.copyHandle = ""
		if dsp.CopyName == "" {
			dsp.CopyName = stm.gw.cfg.Dialect.CopyName(nd.Address, stm.ask.RequestID)
		}
	}
	backup := stm.chooseCopy(nd)
	if backup != nil {
		dsp.CopyTarget = backup.Address
	}
	sent := stm.gw.cfg.Now()
	exc, err := stm.open(ctx, nd, dsp)
	if err != nil {
		return err
	}
	stm.gw.cfg.Pool.RecordSession(nd, wrk.Session)
	stm.gw.cfg.SendNote(bwforward.PeerNote{Kind: bwforward.PlacementNote, Upstream: nd.ID, Session: wrk.Session, Prompt: wrk.PromptTokens})
	defer exc.close()
	run := &streamRun{stream: stm, exc: exc, node: nd, plc: plc, sent: sent, backup: backup, copiedAt: sent}
	run.placeCopy()
	err = run.read()
	// Engines refuse a copy of a run that has not produced anything yet.
	if err != nil && run.events > 0 {
		stm.copyAt, stm.copyHandle = run.backup, run.handle
	}
	run.endCopy()
	return err
}

// chooseCopy returns the engine that gets a copy of the run, or nil; some
// engines are not asked.
func (stm *stream) chooseCopy(nd *bwforward.Node, not ...bwmodel.UpstreamID) *bwforward.Node {
	mdl := stm.match.Service.Model
	if mdl == nil || !mdl.Copies || !stm.match.Route.Resumable {
		return nil
	}
	wrk := stm.work()
	wrk.Exclude = append(not, wrk.Exclude...)
	return stm.gw.cfg.Pool.ChooseCopyTarget(wrk, nd)
}

func (stm *stream) target() time.Duration {
	if stm.match.Route.Target > 0 {
		return stm.match.Route.Target
	}
	return defaultTarget
}

func (stm *stream) gap() time.Duration {
	if stm.match.Route.Gap > 0 {
		return stm.match.Route.Gap
	}
	return defaultGap
}

// streamRun reads one engine's part of a stream.
type streamRun struct {
	*stream
	exc  *exchange
	node *bwforward.Node
	plc  *bwforward.Placement
	// backup is the engine with a copy of the run, or nil, and handle names a
	// copy that was ordered after the run had begun.
	backup *bwforward.Node
	handle string
	copied *bwforward.Placement
	// copying is the order for a copy that is under way, ordered when it was given.
	copying *copyOrder
	ordered time.Time
	// copiedAt is since when the engine with the copy must not have failed.
	copiedAt time.Time
	sent     time.Time
	// heard is when the engine's last event came, probed when it was last asked
	// for a connection.
	heard, probed time.Time
	// events counts those that this engine has sent.
	events int
}

func (run *streamRun) read() error {
	run.heard, run.probed = run.sent, run.sent
	run.exc.check = run.check
	if err := run.exc.head(run.until, run.out.method); err != nil {
		return run.lost(err)
	}
	ans, err := run.observe(run.node, run.exc.rsp)
	if err != nil {
		return run.lost(err)
	}
	if ans.NotRun || ans.OtherUpstream {
		return errNotRun
	}
	if run.exc.rsp.StatusCode != http.StatusOK {
		return run.readFailure()
	}
	return run.readEvents()
}

// patience says how long the engine may be silent before it is suspect, and
// before it is given up.
func (run *streamRun) patience() (suspect, mute time.Duration) {
	gap := run.gap()
	if run.events > 0 {
		return scale(gap, suspectShare), scale(gap, muteShare)
	}
	expected := run.node.ExpectedPrefillTime()
	suspect = scale(expected, firstFactor) + scale(gap, suspectShare)
	return suspect, max(scale(run.target(), muteFirst), scale(expected, muteFactor)+gap)
}

// check decides whether to go on waiting for a silent engine.
func (run *streamRun) check() error {
	now := run.gw.cfg.Now()
	suspect, mute := run.patience()
	silent := now.Sub(run.heard)
	if silent >= mute {
		return fmt.Errorf("%w for %v", errSilent, silent)
	}
	if run.node.FailingSince(run.probed) {
		suspect = 0
	}
	if silent < suspect || now.Sub(run.probed) < scale(run.gap(), suspectShare) {
		return nil
	}
	run.probed = now
	if err := run.probe(run.node); err != nil {
		return fmt.Errorf("%w, and %w", errSilent, err)
	}
	return nil
}

func scale(dur time.Duration, factor float64) time.Duration {
	return time.Duration(float64(dur) * factor)
}

// readFailure keeps the engine's failure, which the caller gets if no other
// engine does better.
func (run *streamRun) readFailure() error {
	body, err := io.ReadAll(io.LimitReader(run.exc.rsp.Body, maxReply))
	if err != nil {
		return run.lost(fmt.Errorf("%w: %w", ErrIncompleteResponse, err))
	}
	run.exclude = append(run.exclude, run.node.ID)
	run.failed = &reply{status: run.exc.rsp.StatusCode, header: run.exc.rsp.Header, body: body}
	return fmt.Errorf("%w: status %d", ErrIncompleteResponse, run.exc.rsp.StatusCode)
}

// readEvents passes events on until the stream ends.
func (run *streamRun) readEvents() error {
	rdr := newEventReader(run.exc.rsp.Body)
	for {
		evt, err := rdr.next()
		if errors.Is(err, io.EOF) {
			return run.finish()
		}
		if err != nil {
			return run.lost(fmt.Errorf("%w: %w", ErrIncompleteResponse, err))
		}
		if evt.id <= run.last {
			continue
		}
		if evt.id != run.last+1 {
			return run.lost(errEventOrder)
		}
		if err := run.pass(evt); err != nil {
			return err
		}
	}
}

// pass writes an event to the caller.
func (run *streamRun) pass(evt event) error {
	now := run.gw.cfg.Now()
	if run.events == 0 {
		run.plc.FinishPrefill()
		run.node.RecordResponse(now)
	}
	run.events++
	run.heard = now
	if !run.begun {
		run.begun = true
		run.first = now.Sub(run.arrived)
		copyHeader(run.wrt.Header(), run.exc.rsp.Header)
		run.status, run.reason = http.StatusOK, "answered"
		run.wrt.WriteHeader(http.StatusOK)
	}
	// The connection of a caller that takes nothing ends by the write below.
	_ = run.ctl.SetWriteDeadline(now.Add(streamWrite))
	if _, err := run.wrt.Write(evt.raw); err != nil {
		return fmt.Errorf("write to caller: %w", err)
	}
	if err := run.ctl.Flush(); err != nil {
		return fmt.Errorf("write to caller: %w", err)
	}
	run.last = evt.id
	run.lastAt = now
	run.keepCopy(now)
	return nil
}

// finish ends the answer after the engine's last event.
func (run *streamRun) finish() error {
	if run.events == 0 && !run.begun {
		return run.lost(errNotWhole)
	}
	if err := run.checkEnd(run.node, run.exc); err != nil {
		return run.lost(err)
	}
	return nil
}

// lost notes that the engine did not finish.
func (run *streamRun) lost(err error) error {
	run.fail(run.node)
	return err
}

func (stm *stream) logLoss(nd *bwforward.Node, copied bool, err error) {
	// The caller's leaving ends the engine's connection, which is no loss.
	if stm.gone() {
		return
	}
	stm.resumes++
	copyAt := bwmodel.UpstreamID("")
	if stm.copyAt != nil {
		copyAt = stm.copyAt.ID
	}
	stm.gw.cfg.Log.Warn("stream lost its engine", "Request", stm.ask.RequestID, "Upstream", nd.ID, "Address", nd.Address,
		"Copied", copied, "CopyAt", copyAt, "LastEvent", stm.last, "Error", err, "Sent", stm.sent, "Left", stm.left(),
		"SinceEvent", sinceEvent(stm.lastAt, stm.gw.cfg.Now()))
}

func sinceEvent(at, now time.Time) time.Duration {
	if at.IsZero() {
		return 0
	}
	return now.Sub(at)
}

func earliest(ta, tb time.Time) time.Time {
	if tb.Before(ta) {
		return tb
	}
	return ta
}
