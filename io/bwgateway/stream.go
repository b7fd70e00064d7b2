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
	// failed is the last whole answer that was a failure.
	failed *reply
	ctl    *http.ResponseController
	lastAt time.Time
}

const (
	// waitShare is the part of the target for which a stream waits for an engine.
	waitShare = 0.125
	waitStep  = 50 * time.Millisecond
	// checkStep is how often a wait looks for failures of other streams at its engine.
	checkStep = 150 * time.Millisecond
	// copiedGapShare of the allowed pause is waited for the next event where an
	// engine has a copy, which goes on within a tenth of a second.
	copiedGapShare = 0.5
	// bareGapShare is waited where the prompt has to be read again, which takes
	// longer than the allowed pause anyway.
	bareGapShare = 1.5
	// suspectGapShare is waited once another stream of the engine has failed.
	suspectGapShare = 0.3
	// firstShare of the target is the longest wait for the first event, so that
	// another engine can still read the prompt in time.
	firstShare = 0.5
	// firstFactor allows for engines that are slowed by their neighbours.
	firstFactor = 3
	// firstMargin is what the first token takes beside the reading of prompts.
	firstMargin = 500 * time.Millisecond
	// defaultGap and defaultTarget hold for routes that state none.
	defaultGap    = time.Second
	defaultTarget = 10 * time.Second
	// streamWrite ends the connection of a caller that takes nothing.
	streamWrite = 10 * time.Second
)

var (
	errEventOrder = errors.New("event is out of order")
	errNotWhole   = errors.New("stream ended before its last event")
)

// serveStream answers with events, from as many engines as it takes.
func (cl *call) serveStream() {
	stm := &stream{call: cl, ctl: http.NewResponseController(cl.wrt)}
	stm.last, _ = strconv.ParseUint(cl.ask.LastEvent, 10, 64)
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
		if cl.sent == 0 {
			continue
		}
		if !cl.match.Route.Resumable || cl.sent >= max(cl.match.Route.MaxUpstreams, 1) || !cl.gw.budget.Take() {
			break
		}
	}
	stm.end()
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
		if stm.gw.cfg.Pool.Current(nd) {
			return nd, true
		}
	}
	until := stm.gw.cfg.Now().Add(time.Duration(float64(stm.target()) * waitShare))
	for {
		if nd := stm.gw.cfg.Pool.Choose(stm.work()); nd != nil {
			return nd, false
		}
		if !stm.gw.cfg.Now().Before(until) || !pause(stm.ctx, waitStep) {
			return nil, false
		}
		stm.exclude = nil
	}
}

func pause(ctx context.Context, dur time.Duration) bool {
	tmr := time.NewTimer(dur)
	defer tmr.Stop()
	select {
	case <-tmr.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// attempt runs the rest of the stream on one engine; a nil error means that
// the caller has the whole answer.
func (stm *stream) attempt(nd *bwforward.Node, copied bool) error {
	ctx, cancel := context.WithCancel(stm.ctx)
	defer cancel()
	wrk := stm.work()
	if copied {
		wrk.Prompt, wrk.Output = 0, wrk.Prompt+wrk.Output
	}
	plc := nd.Place(wrk)
	defer plc.End()
	dsp := stm.dispatch(nd)
	if stm.last > 0 {
		dsp.LastEvent = strconv.FormatUint(stm.last, 10)
	}
	if copied {
		dsp.CopyAt = nd.Address
	}
	backup := stm.chooseCopy(nd)
	if backup != nil {
		dsp.CopyTo = backup.Address
		cpy := backup.PlaceCopy(stm.work())
		defer cpy.End()
	}
	sent := stm.gw.cfg.Now()
	exc, err := stm.open(ctx, nd, dsp)
	if err != nil {
		return err
	}
	defer exc.close()
	run := &streamRun{stream: stm, exc: exc, node: nd, plc: plc, sent: sent, backup: backup}
	err = run.read()
	if err != nil && !errors.Is(err, errNotRun) {
		stm.copyAt = backup
	}
	return err
}

// chooseCopy returns the engine that gets a copy of the run, or nil.
func (stm *stream) chooseCopy(nd *bwforward.Node) *bwforward.Node {
	mdl := stm.match.Service.Model
	if mdl == nil || !mdl.Copies || !stm.match.Route.Resumable {
		return nil
	}
	return stm.gw.cfg.Pool.ChooseCopy(stm.work(), nd)
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
	exc    *exchange
	node   *bwforward.Node
	plc    *bwforward.Placement
	backup *bwforward.Node
	sent   time.Time
	// events counts those that this engine has sent.
	events int
}

func (run *streamRun) read() error {
	if err := run.awaitFirst(); err != nil {
		return run.lost(err)
	}
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
	if err := run.awaitFirst(); err != nil {
		return run.lost(err)
	}
	return run.readEvents()
}

// awaitFirst waits for the next bytes before the first event.
func (run *streamRun) awaitFirst() error {
	patience := firstFactor*run.node.Expect() + firstMargin
	limit := time.Duration(float64(run.target()) * firstShare)
	if run.begun {
		limit = run.gapPatience() + run.node.Expect()
	}
	until := run.sent.Add(max(min(patience, limit), run.gap()))
	for {
		now := run.gw.cfg.Now()
		if !now.Before(until) || !now.Before(run.until) {
			return fmt.Errorf("%w: silent for %v before the first event", ErrBroken, now.Sub(run.sent))
		}
		err := run.exc.peek(earliest(now.Add(checkStep), until))
		if err == nil {
			return nil
		}
		if !isTimeout(err) {
			return fmt.Errorf("%w: %w", ErrBroken, err)
		}
		if run.node.FailedSince(run.sent) {
			return fmt.Errorf("%w: engine failed another stream", ErrBroken)
		}
	}
}

// readFailure keeps the engine's failure, which the caller gets if no other
// engine does better.
func (run *streamRun) readFailure() error {
	body, err := io.ReadAll(io.LimitReader(run.exc.rsp.Body, maxReply))
	if err != nil {
		return run.lost(fmt.Errorf("%w: %w", ErrBroken, err))
	}
	run.exclude = append(run.exclude, run.node.ID)
	run.failed = &reply{status: run.exc.rsp.StatusCode, header: run.exc.rsp.Header, body: body}
	return fmt.Errorf("%w: status %d", ErrBroken, run.exc.rsp.StatusCode)
}

// readEvents passes events on until the stream ends.
func (run *streamRun) readEvents() error {
	rdr := newEventReader(run.exc.rsp.Body)
	for {
		if err := run.exc.conn.SetReadDeadline(earliest(run.gw.cfg.Now().Add(run.gapPatience()), run.until)); err != nil {
			return run.lost(err)
		}
		evt, err := rdr.next()
		if errors.Is(err, io.EOF) {
			return run.finish()
		}
		if err != nil {
			return run.lost(fmt.Errorf("%w: %w", ErrBroken, err))
		}
		if evt.id <= run.last {
			continue
		}
		if run.last > 0 && evt.id != run.last+1 {
			return run.lost(errEventOrder)
		}
		if err := run.pass(evt); err != nil {
			return err
		}
	}
}

// gapPatience returns how long the next event may take.
func (run *streamRun) gapPatience() time.Duration {
	share := bareGapShare
	if run.backup != nil {
		share = copiedGapShare
		if run.node.FailedSince(run.sent) {
			share = suspectGapShare
		}
	}
	return time.Duration(float64(run.gap()) * share)
}

// pass writes an event to the caller.
func (run *streamRun) pass(evt event) error {
	now := run.gw.cfg.Now()
	if run.events == 0 {
		run.plc.Read()
		run.node.Answer()
	}
	run.events++
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
	return nil
}

// finish ends the answer after the engine's last event.
func (run *streamRun) finish() error {
	if run.events == 0 && !run.begun {
		return run.lost(errNotWhole)
	}
	return nil
}

// lost notes that the engine did not finish.
func (run *streamRun) lost(err error) error {
	run.fail(run.node)
	return err
}

func (stm *stream) logLoss(nd *bwforward.Node, copied bool, err error) {
	stm.resumes++
	copyAt := bwmodel.UpstreamID("")
	if stm.copyAt != nil {
		copyAt = stm.copyAt.ID
	}
	stm.gw.cfg.Log.Warn("stream lost its engine", "Request", stm.ask.Request, "Upstream", nd.ID, "Address", nd.Address,
		"Copied", copied, "CopyAt", copyAt, "LastEvent", stm.last, "Error", err, "Sent", stm.sent, "Left", stm.left(),
		"SinceEvent", sinceEvent(stm.lastAt, stm.gw.cfg.Now()))
}

func sinceEvent(at, now time.Time) time.Duration {
	if at.IsZero() {
		return 0
	}
	return now.Sub(at)
}

// peek waits for a byte until a time.
func (exc *exchange) peek(by time.Time) error {
	if exc.rdr.Buffered() > 0 {
		return nil
	}
	if err := exc.conn.SetReadDeadline(by); err != nil {
		return err
	}
	_, err := exc.rdr.Peek(1)
	return err
}

func earliest(ta, tb time.Time) time.Time {
	if tb.Before(ta) {
		return tb
	}
	return ta
}

