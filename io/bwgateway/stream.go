package bwgateway

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"bilberrywick/core/bwforward"
	"bilberrywick/core/bwmodel"
	"bilberrywick/core/bwretry"
)

// stream is an event stream to a caller. If an upstream fails, another one may
// resume the stream.
type stream struct {
	*call
	// lastEventID is the ID of the last event that was sent to the caller.
	lastEventID uint64
	// headerSent is set once the response header has been sent to the caller.
	headerSent bool
	// admitted is the engine of the first attempt, or nil.
	admitted *bwforward.Node
	// resumeNode is the engine with a KV cache copy of the last failed attempt.
	resumeNode *bwforward.Node
	// resumeCopyName is the name of that copy; empty means the name from
	// Dialect.CopyName.
	resumeCopyName string
	// lastFailure is the last complete response with an error status.
	lastFailure *response
	ctl         *http.ResponseController
	lastEventAt time.Time
	// sentAt is when the request was last sent to an engine.
	sentAt time.Time
	// testsPrompt is set if the stream's first attempt tests a prompt in quarantine.
	testsPrompt bool
}

const (
	// minTimeShare is the part of the target time that must remain to start a
	// stream. It is enough only for an engine that still has the prompt cached,
	// and which therefore starts at once.
	minTimeShare = 0.1
	// engineWaitShare is the part of the target time that a stream waits for an
	// engine to become available.
	engineWaitShare    = 0.125
	engineWaitInterval = 50 * time.Millisecond
	// suspectShare is the part of the allowed gap without data after which an
	// engine is suspected to have failed. It is then probed with a connection,
	// which costs far less than a needless prefill on another engine.
	suspectShare = 0.35
	// firstEventFactor is the factor of the expected prefill time after which an
	// engine without a first event is suspected. Concurrent load can slow an
	// engine.
	firstEventFactor = 1.3
	// giveUpGapFactor is the factor of the allowed gap after which the gateway
	// gives up on an engine that accepts connections but sends nothing. Before
	// the first event the limit is giveUpTargetShare of the target time, or
	// giveUpReadFactor times the expected prefill time plus the gap, whichever is
	// longer.
	giveUpGapFactor     = 4
	giveUpTargetShare   = 0.9
	giveUpPrefillFactor = 3
	// defaultGap and defaultTarget apply to routes without these settings.
	defaultGap    = time.Second
	defaultTarget = 10 * time.Second
	// streamWriteTimeout bounds a write to a caller that does not read.
	streamWriteTimeout = 10 * time.Second
)

var (
	errEventOrder   = errors.New("event is out of order")
	errUnresponsive = errors.New("silent")
	errCallerWrite  = errors.New("write to caller")
)

// serveStream responds with events. If an engine fails, the next one resumes the
// stream.
func (cl *call) serveStream() {
	stm := &stream{call: cl, ctl: http.NewResponseController(cl.wrt)}
	// Without a valid event ID the stream starts from the beginning.
	stm.lastEventID, _ = strconv.ParseUint(cl.info.LastEventID, 10, 64)
	if !stm.hasTime() {
		return
	}
	if !stm.admitPrompt() || !stm.admit() {
		return
	}
	cl.gw.admission.Begin(cl.match.Team)
	defer cl.gw.admission.End(cl.match.Team)
	for cl.attempts < maxAttempts && !cl.callerGone() && cl.remaining() > 0 {
		nd, fromCopy := stm.chooseEngine()
		if nd == nil {
			break
		}
		// The wait for an engine, or the attempt before, may have shown it.
		if !stm.mayGoOn() {
			return
		}
		cl.attempts++
		err := stm.attempt(nd, fromCopy)
		if err == nil {
			cl.upstream = nd.ID
			return
		}
		stm.logEngineLoss(nd, fromCopy, err)
		if cl.possibleRuns > 0 && (!cl.match.Route.Resumable || cl.possibleRuns >= max(cl.match.Route.MaxUpstreams, 1)) {
			cl.retryNote = "no more upstreams are allowed"
			break
		}
		if !cl.chargeRetryBudget(stm.retryClass()) {
			break
		}
	}
	stm.finishUnserved()
}

// hasTime refuses the stream and returns false if it can't start in the time that is left,
// or can't end in it and would keep the engines from others that can.
func (stm *stream) hasTime() bool {
	if stm.remaining() < scale(stm.target(), minTimeShare) {
		stm.refuse(http.StatusServiceUnavailable, "too little time is left")
		return false
	}
	wrk := stm.work()
	prefill := stm.gw.cfg.Pool.PrefillTime(stm.match.Service.Name, wrk.PromptTokens)
	needed := stm.gw.lengths.LeastTime(stm.match.Service.Name, stm.match.Route.Name, stm.lastEventID, prefill)
	if stm.remaining() >= needed || !stm.gw.cfg.Pool.IsBusy(wrk) {
		return true
	}
	stm.gw.cfg.Log.Info("stream has too little time left", "Request", stm.info.RequestID, "LastEvent", stm.lastEventID, "Needed", needed, "Left", stm.remaining())
	// The caller has no time for another attempt either.
	stm.refuseFor(http.StatusServiceUnavailable, "stream can't end in time", 0)
	return false
}

func (stm *stream) retryClass() bwforward.RetryClass {
	if stm.headerSent {
		return bwforward.StreamResume
	}
	return bwforward.StreamRetry
}

// finishUnserved ends the response if no engine could complete the stream.
func (stm *stream) finishUnserved() {
	switch {
	case stm.callerGone():
		stm.reason = "caller left"
		stm.abort()
	case stm.headerSent:
		stm.reason = "stream could not be finished"
		stm.abort()
	case stm.lastFailure != nil:
		stm.writeResponse(nil, stm.lastFailure)
	case stm.possibleRuns == 0:
		stm.refuseUnplaced("no engine took it")
	case stm.remaining() <= 0:
		stm.refuse(http.StatusGatewayTimeout, "no answer in time")
	default:
		stm.refuse(http.StatusBadGateway, "engines broke off")
	}
}

// chooseEngine returns the engine of the admission, then the engine with a KV
// cache copy if it accepts work, and otherwise the best one. It waits briefly if
// there is none, unless all are at their limits for longer.
func (stm *stream) chooseEngine() (nd *bwforward.Node, fromCopy bool) {
	if nd := stm.admitted; nd != nil {
		stm.admitted = nil
		return nd, false
	}
	if nd := stm.resumeNode; nd != nil {
		stm.resumeNode = nil
		if stm.gw.cfg.Pool.AcceptsWorkOf(nd, stm.work()) && stm.takePermit(nd) {
			return nd, true
		}
	}
	giveUpAt := stm.gw.cfg.Now().Add(scale(stm.target(), engineWaitShare))
	for {
		if nd := stm.choose(); nd != nil && stm.gw.cfg.Pool.FitsMemory(nd, stm.work()) {
			return nd, false
		}
		if until, ok := stm.gw.cfg.Pool.BlockedUntil(stm.match.Service.Name); ok && until.After(giveUpAt) {
			return nil, false
		}
		if !stm.gw.cfg.Now().Before(giveUpAt) || !bwretry.Pause(stm.ctx, engineWaitInterval) {
			return nil, false
		}
		stm.exclude = nil
	}
}

// attempt runs the rest of the stream on one engine. A nil error means that the
// response to the caller is complete.
func (stm *stream) attempt(nd *bwforward.Node, fromCopy bool) error {
	ctx, cancel := context.WithCancel(stm.ctx)
	defer cancel()
	wrk := stm.work()
	if fromCopy {
		wrk.PromptTokens, wrk.MaxOutputTokens = 0, wrk.PromptTokens+wrk.MaxOutputTokens
	}
	estimate := stm.gw.cfg.Pool.Estimate(nd, wrk)
	placement := nd.Place(wrk)
	defer placement.End()
	info := stm.attemptInfo(nd)
	if stm.lastEventID > 0 {
		info.LastEventID = strconv.FormatUint(stm.lastEventID, 10)
	}
	if fromCopy {
		info.CopyName = stm.resumeCopyName
		stm.resumeCopyName = ""
		if info.CopyName == "" {
			info.CopyName = stm.gw.cfg.Dialect.CopyName(nd.Address, stm.info.RequestID)
		}
	}
	note := bwforward.PeerNote{Kind: bwforward.PlacementNote, Upstream: nd.ID, Session: wrk.Session, Prompt: wrk.PromptTokens, Memory: wrk.PromptTokens + wrk.MaxOutputTokens, Team: stm.match.Team}
	backup := stm.chooseBackup(nd)
	if backup != nil {
		info.CopyTarget, note.CopyTarget = backup.Address, backup.ID
	}
	sentAt := stm.gw.cfg.Now()
	exc, err := stm.sendRequest(ctx, nd, info)
	if err != nil {
		return err
	}
	stm.sentAt = sentAt
	stm.gw.cfg.Pool.RecordSession(nd, wrk.Session)
	stm.gw.cfg.SendNote(note)
	defer stm.gw.cfg.SendNote(bwforward.PeerNote{Kind: bwforward.EndNote, Upstream: note.Upstream, CopyTarget: note.CopyTarget, Memory: note.Memory, Team: note.Team})
	defer exc.close()
	sat := &streamAttempt{stream: stm, exc: exc, node: nd, placed: wrk, estimate: estimate, placement: placement, sentAt: sentAt, backup: backup, copyValidSince: sentAt, resumed: info.LastEventID != "", fromCopy: fromCopy}
	sat.reserveCopy()
	err = sat.read()
	sat.observeStart(err)
	sat.countEnd(err)
	// Engines refuse to resume from a copy of a generation without output.
	if err != nil && sat.eventCount > 0 {
		stm.resumeNode, stm.resumeCopyName = sat.backup, sat.copyName
	}
	sat.releaseCopy()
	return err
}

// chooseBackup returns the engine that receives a KV cache copy, which is not
// one of the excluded ones. It returns nil if there is none, or if the route or
// the model does not support copies.
func (stm *stream) chooseBackup(nd *bwforward.Node, excluded ...bwmodel.UpstreamID) *bwforward.Node {
	mdl := stm.match.Service.Model
	if mdl == nil || !mdl.Copies || !stm.match.Route.Resumable {
		return nil
	}
	wrk := stm.copyWork()
	wrk.Exclude = append(excluded, wrk.Exclude...)
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

func scale(dur time.Duration, factor float64) time.Duration {
	return time.Duration(float64(dur) * factor)
}

func (stm *stream) logEngineLoss(nd *bwforward.Node, fromCopy bool, err error) {
	stm.gw.cfg.Metrics.countInvalid(err)
	// A disconnect of the caller closes the engine's connection too; that is no
	// failure.
	if stm.callerGone() {
		return
	}
	stm.resumes++
	backupID := bwmodel.UpstreamID("")
	if stm.resumeNode != nil {
		backupID = stm.resumeNode.ID
	}
	stm.gw.cfg.Log.Warn("stream lost its engine", "Request", stm.info.RequestID, "Upstream", nd.ID, "Address", nd.Address,
		"Copied", fromCopy, "CopyAt", backupID, "LastEvent", stm.lastEventID, "Error", err, "Sent", stm.possibleRuns, "Left", stm.remaining(),
		"SinceEvent", elapsedSince(stm.lastEventAt, stm.gw.cfg.Now()), "SinceSent", elapsedSince(stm.sentAt, stm.gw.cfg.Now()), "Parts", loggedParts(stm.parts()))
}

func elapsedSince(at, now time.Time) time.Duration {
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
