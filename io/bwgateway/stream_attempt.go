package bwgateway

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"bilberrywick/core/bwforward"
)

// streamAttempt reads the part of a stream that one engine sends.
type streamAttempt struct {
	*stream
	exc       *exchange
	node      *bwforward.Node
	placed    bwforward.Work
	estimate  bwforward.Estimate
	placement *bwforward.Placement
	// backup is the engine with a KV cache copy, or nil. copyName names a copy
	// that was requested after the generation had started.
	backup        *bwforward.Node
	copyName      string
	copyPlacement *bwforward.Placement
	// pendingCopy is the copy request in progress, or nil. copyRequestedAt is the
	// time of the last request, copySearchedAt that of the last search for a better engine
	// for the copy.
	pendingCopy                     *copyRequest
	copyRequestedAt, copySearchedAt time.Time
	// copyValidSince is when the copy was requested. The copy may be lost if its
	// engine has failed since.
	copyValidSince time.Time
	sentAt         time.Time
	// lastReceived is when the engine's last event arrived, lastProbe when the
	// engine was last probed.
	lastReceived, lastProbe time.Time
	// eventCount is the number of events forwarded from this engine, firstEventAt the
	// time of the first one.
	eventCount   int
	firstEventAt time.Time
	// resumed is set if the attempt goes on after events of another engine, fromCopy if
	// it does so from a KV cache copy, startSeen once the engine has begun with the
	// prompt without a crash.
	resumed, fromCopy, startSeen bool
	// window is the current group of events whose times are observed.
	window eventWindow
}

func (sat *streamAttempt) read() error {
	sat.lastReceived, sat.lastProbe = sat.sentAt, sat.sentAt
	sat.exc.onIdle = sat.checkIdle
	if err := sat.exc.readHeader(sat.deadline, sat.out.method); err != nil {
		return sat.recordLoss(err)
	}
	if err := sat.processHeader(sat.node, sat.exc.rsp, sat.sentAt); err != nil {
		return err
	}
	if sat.exc.rsp.StatusCode != http.StatusOK {
		return sat.readFailure()
	}
	return sat.readEvents()
}

// idleLimits returns how long the engine may send nothing before it is
// suspected, and before the gateway gives up on it.
func (sat *streamAttempt) idleLimits() (suspect, giveUp time.Duration) {
	gap := sat.gap()
	if sat.eventCount > 0 {
		return scale(gap, suspectShare), scale(gap, giveUpGapFactor)
	}
	expected := sat.gw.cfg.Pool.OwnPrefillTime(sat.node)
	suspect = scale(expected, firstEventFactor) + scale(gap, suspectShare)
	return suspect, max(scale(sat.target(), giveUpTargetShare), scale(expected, giveUpPrefillFactor)+gap)
}

// checkIdle returns an error if the gateway should stop waiting for an
// engine that sends nothing.
func (sat *streamAttempt) checkIdle() error {
	now := sat.gw.cfg.Now()
	if sat.eventCount == 0 && !sat.resumed && !sat.testsPrompt {
		if parts, _ := sat.quarantined(); parts != nil {
			return fmt.Errorf("%w: parts %v", errQuarantined, loggedParts(parts))
		}
	}
	suspect, giveUp := sat.idleLimits()
	idle := now.Sub(sat.lastReceived)
	if idle >= giveUp {
		return fmt.Errorf("%w for %v", errUnresponsive, idle)
	}
	if sat.node.FailingSince(sat.lastProbe) {
		suspect = 0
	}
	if sat.eventCount == 0 {
		nt, ok := sat.gw.cfg.Pool.ObserveWaiting(sat.node, sat.estimate, now.Sub(sat.sentAt))
		sat.shareSpeed(nt, ok, now)
	}
	if idle < suspect || now.Sub(sat.lastProbe) < scale(sat.gap(), suspectShare) {
		return nil
	}
	sat.lastProbe = now
	if err := sat.probe(sat.node); err != nil {
		return fmt.Errorf("%w, and %w", errUnresponsive, err)
	}
	return nil
}

// readFailure stores the engine's error response, which the caller receives if no
// other engine succeeds.
func (sat *streamAttempt) readFailure() error {
	body, err := sat.readResponseBody(sat.node, sat.exc)
	if err != nil {
		return sat.recordLoss(fmt.Errorf("%w: %w", ErrIncompleteResponse, err))
	}
	sat.exclude = append(sat.exclude, sat.node.ID)
	sat.lastFailure = &response{status: sat.exc.rsp.StatusCode, header: sat.exc.rsp.Header, body: body}
	return fmt.Errorf("%w: status %d", ErrIncompleteResponse, sat.exc.rsp.StatusCode)
}

// readEvents forwards events until the stream ends. It drops repeated events, up
// to maxRepeatedBytes.
func (sat *streamAttempt) readEvents() error {
	rdr := newEventReader(sat.exc.rsp.Body)
	repeated := 0
	for {
		evt, err := rdr.next()
		if errors.Is(err, io.EOF) {
			return sat.checkFinished()
		}
		if err != nil {
			return sat.recordLoss(fmt.Errorf("%w: %w", ErrIncompleteResponse, err))
		}
		if evt.id <= sat.lastEventID {
			if repeated += len(evt.raw); repeated > maxRepeatedBytes {
				return sat.recordLoss(errRepeated)
			}
			continue
		}
		if evt.id != sat.lastEventID+1 {
			return sat.recordLoss(errEventOrder)
		}
		if err := sat.forwardEvent(evt); err != nil {
			return err
		}
	}
}

// forwardEvent writes an event to the caller.
func (sat *streamAttempt) forwardEvent(evt event) error {
	now := sat.gw.cfg.Now()
	if sat.eventCount == 0 {
		sat.placement.FinishPrefill()
		sat.node.RecordResponse(now)
		sat.observeFirstEvent(now)
		sat.countStart(now)
		sat.firstEventAt = now
		sat.logResumed(now)
	}
	if !sat.startSeen && now.Sub(sat.firstEventAt) >= servedAfter {
		sat.startSeen = true
		sat.gw.recordServed(sat.parts())
	}
	if !sat.lastEventAt.IsZero() {
		sat.longestGap = max(sat.longestGap, now.Sub(sat.lastEventAt))
	}
	sat.observeEvent(now)
	sat.eventCount++
	sat.lastReceived = now
	if !sat.headerSent {
		sat.headerSent = true
		sat.timeToFirstEvent = now.Sub(sat.arrived)
		copyEndToEndHeaders(sat.wrt.Header(), sat.exc.rsp.Header)
		sat.status, sat.reason = http.StatusOK, "answered"
		sat.wrt.WriteHeader(http.StatusOK)
	}
	// A caller that does not read is disconnected when the write below times out.
	_ = sat.ctl.SetWriteDeadline(now.Add(streamWriteTimeout))
	if _, err := sat.wrt.Write(evt.raw); err != nil {
		return fmt.Errorf("%w: %w", errCallerWrite, err)
	}
	if err := sat.ctl.Flush(); err != nil {
		return fmt.Errorf("%w: %w", errCallerWrite, err)
	}
	sat.lastEventID = evt.id
	sat.lastEventAt = now
	// The time that the caller needs to read must not count as the engine's silence.
	sat.lastReceived = sat.gw.cfg.Now()
	sat.maintainCopy(now)
	return nil
}

// observeFirstEvent records the time to the first event and tells the other
// gateways of an engine whose speed has changed: each of them sees an engine only
// now and then.
func (sat *streamAttempt) observeFirstEvent(now time.Time) {
	nt, ok := sat.gw.cfg.Pool.ObserveFirstEvent(sat.node, sat.placed, sat.estimate, now.Sub(sat.sentAt))
	sat.shareSpeed(nt, ok, now)
}

// shareSpeed sends a note about the engine's speed, if there is one.
func (sat *streamAttempt) shareSpeed(nt bwforward.PeerNote, ok bool, now time.Time) {
	if !ok {
		return
	}
	message := "engine is not slow"
	if nt.Kind == bwforward.SlowNote {
		message = "engine is slow"
	}
	sat.gw.cfg.Log.Info(message, "Request", sat.info.RequestID, "Upstream", sat.node.ID, "Slowdown", nt.Slowdown, "Expected", sat.estimate.First,
		"Events", sat.eventCount, "SinceSent", now.Sub(sat.sentAt))
	sat.gw.cfg.SendNote(nt)
}

// logResumed writes a line for the first event after the loss of an engine. A gap above
// that of the route makes the response late.
func (sat *streamAttempt) logResumed(now time.Time) {
	if !sat.headerSent || sat.resumes == 0 {
		return
	}
	sat.gw.cfg.Log.Info("stream resumed", "Request", sat.info.RequestID, "Upstream", sat.node.ID, "FromCopy", sat.fromCopy,
		"LastEvent", sat.lastEventID, "Gap", elapsedSince(sat.lastEventAt, now), "AllowedGap", sat.gap(), "SinceSent", now.Sub(sat.sentAt))
}

// checkFinished returns an error unless the engine sent a complete stream.
func (sat *streamAttempt) checkFinished() error {
	if sat.eventCount == 0 && !sat.headerSent {
		return sat.recordLoss(errIncomplete)
	}
	if err := sat.checkComplete(sat.node, sat.exc); err != nil {
		return sat.recordLoss(err)
	}
	if sat.eventCount > 1 {
		pace := sat.lastEventAt.Sub(sat.firstEventAt) / time.Duration(sat.eventCount-1)
		sat.gw.lengths.Observe(sat.match.Service.Name, sat.match.Route.Name, sat.lastEventID, pace)
	}
	return nil
}

// recordLoss records that the engine failed and returns the error. An attempt that
// the gateway ends since the prompt crashes engines says nothing of its engine.
func (sat *streamAttempt) recordLoss(err error) error {
	if !errors.Is(err, errQuarantined) {
		sat.excludeFailed(sat.node)
	}
	return err
}
