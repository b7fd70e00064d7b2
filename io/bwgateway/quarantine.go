package bwgateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"bilberrywick/core/bwforward"
)

// servedAfter is the time after the first event from which on an engine has begun
// with a prompt without a crash. Engines crash within about 0.1 s of the start.
const servedAfter = 250 * time.Millisecond

// admitPrompt refuses a new stream whose prompt crashes engines, and reports whether
// it may go on.
func (stm *stream) admitPrompt() bool {
	qrt := stm.gw.cfg.Quarantine
	if qrt.IsEmpty() {
		return true
	}
	prompt := stm.parts()
	parts, left, isTest := qrt.Admit(prompt)
	if isTest {
		stm.gw.cfg.Log.Info("stream tests parts in quarantine", "Request", stm.info.RequestID, "Parts", loggedParts(prompt))
	}
	stm.testsPrompt = isTest
	if parts == nil {
		return true
	}
	stm.refuseQuarantined(parts, left)
	return false
}

// mayGoOn ends a stream whose prompt was put into quarantine since it was admitted, or
// has failed its test, and reports whether it may go on.
func (stm *stream) mayGoOn() bool {
	parts, left := stm.quarantined()
	if parts == nil {
		return true
	}
	stm.refuseQuarantined(parts, left)
	return false
}

// quarantined returns the group in quarantine that the prompt contains, if any, and
// the time until its end. The first attempt of a test is not subject to it.
func (stm *stream) quarantined() ([]bwforward.PartID, time.Duration) {
	qrt := stm.gw.cfg.Quarantine
	if stm.testsPrompt && stm.possibleRuns == 0 || qrt.IsEmpty() {
		return nil, 0
	}
	return qrt.Find(stm.parts())
}

// refuseQuarantined responds to a stream whose prompt has a group in quarantine.
func (stm *stream) refuseQuarantined(parts []bwforward.PartID, left time.Duration) {
	stm.gw.cfg.Log.Info("stream refused", "Request", stm.info.RequestID, "Parts", loggedParts(parts), "QuarantineLeft", left, "Sent", stm.possibleRuns)
	stm.gw.cfg.Metrics.countQuarantine("refused")
	const reason = "its prompt crashes engines"
	switch {
	case stm.headerSent:
		stm.reason = reason
		stm.abort()
	case stm.possibleRuns == 0:
		stm.refuseFor(http.StatusServiceUnavailable, reason, left)
	default:
		stm.refuse(http.StatusBadGateway, reason)
	}
}

// recordCrash records that an engine was lost as it began with the prompt, and tells
// the other gateways.
func (gw *Gateway) recordCrash(parts []bwforward.PartID) {
	suspected, named := gw.cfg.Quarantine.RecordCrash(parts, true)
	if !fitsDatagram(parts) {
		parts = suspected
	}
	if len(parts) > 0 {
		gw.cfg.SendNote(bwforward.PeerNote{Kind: bwforward.CrashNote, Parts: parts})
	}
	if named == nil {
		return
	}
	left := named.Until.Sub(gw.cfg.Now())
	gw.cfg.Log.Warn("parts of prompts in quarantine", "Parts", loggedParts(named.Parts), "Left", left, "Source", "own crash")
	gw.cfg.Metrics.countQuarantine("named")
	gw.cfg.SendNote(bwforward.PeerNote{Kind: bwforward.QuarantineNote, Parts: named.Parts, Left: left})
	gw.cfg.OnQuarantine()
}

// recordServed records that an engine has begun with the prompt without a crash, and
// tells the other gateways if a part was suspected.
func (gw *Gateway) recordServed(parts []bwforward.PartID) {
	cleared := gw.cfg.Quarantine.RecordServed(parts)
	if len(cleared) == 0 {
		return
	}
	gw.cfg.Log.Info("parts of prompts cleared", "Parts", loggedParts(cleared), "Source", "own response")
	gw.cfg.Metrics.countQuarantine("cleared")
	gw.cfg.SendNote(bwforward.PeerNote{Kind: bwforward.ServedNote, Parts: cleared})
	gw.cfg.OnQuarantine()
}

// applyQuarantineNote applies another gateway's note about parts of prompts.
func (gw *Gateway) applyQuarantineNote(nt bwforward.PeerNote) {
	qrt := gw.cfg.Quarantine
	switch nt.Kind {
	case bwforward.CrashNote:
		if _, named := qrt.RecordCrash(nt.Parts, false); named != nil {
			gw.cfg.Log.Info("parts of prompts in quarantine", "Parts", loggedParts(named.Parts), "Left", named.Until.Sub(gw.cfg.Now()), "Source", "note of a crash")
		}
	case bwforward.ServedNote:
		if cleared := qrt.RecordServed(nt.Parts); len(cleared) > 0 {
			gw.cfg.Log.Info("parts of prompts cleared", "Parts", loggedParts(cleared), "Source", "note")
			gw.cfg.OnQuarantine()
		}
	case bwforward.QuarantineRequest:
		for _, qp := range qrt.All() {
			gw.cfg.SendNote(bwforward.PeerNote{Kind: bwforward.QuarantineNote, Parts: qp.Parts, Left: qp.Until.Sub(gw.cfg.Now())})
		}
	case bwforward.QuarantineNote:
		served, ok := qrt.Adopt(nt.Parts, gw.cfg.Now().Add(nt.Left), false)
		if ok {
			gw.cfg.Log.Info("parts of prompts in quarantine", "Parts", loggedParts(nt.Parts), "Left", nt.Left, "Source", "note")
		}
		if len(served) > 0 {
			gw.cfg.SendNote(bwforward.PeerNote{Kind: bwforward.ServedNote, Parts: served})
		}
	}
}

var errQuarantined = errors.New("prompt crashes engines")

// observeStart records whether the engine of an attempt crashed as it began with the
// prompt, or has begun.
func (sat *streamAttempt) observeStart(err error) {
	switch parts := sat.parts(); {
	case len(parts) == 0 || sat.callerGone():
	case err == nil:
		sat.gw.recordServed(parts)
	case !sat.resumed && !sat.startSeen && sat.isCrash(err):
		sat.gw.recordCrash(parts)
	}
}

// loggedParts is parts of prompts in a log line, which has the first ones of many.
type loggedParts []bwforward.PartID

// maxLoggedParts bounds the length of a log line.
const maxLoggedParts = 8

// LogValue implements slog.LogValuer.
func (lpt loggedParts) LogValue() slog.Value { return slog.AnyValue(lpt.shortened()) }

// String returns the parts in quotes.
func (lpt loggedParts) String() string { return fmt.Sprintf("%q", lpt.shortened()) }

func (lpt loggedParts) shortened() []bwforward.PartID {
	if len(lpt) <= maxLoggedParts {
		return lpt
	}
	more := fmt.Sprintf("and %d more", len(lpt)-maxLoggedParts)
	return append(slices.Clone(lpt[:maxLoggedParts]), bwforward.PartID(more))
}

// quarantineDropLog counts and logs what a Quarantine drops at its limits.
type quarantineDropLog struct {
	metrics *Metrics
	log     *slog.Logger
	count   atomic.Int64
}

// dropsPerLogLine is the number of drops per log line.
const dropsPerLogLine = 1000

// add counts one drop.
func (qdl *quarantineDropLog) add(drop bwforward.QuarantineDrop) {
	qdl.metrics.countQuarantineDrop(drop)
	if count := qdl.count.Add(1); count%dropsPerLogLine == 1 {
		qdl.log.Warn("quarantine of prompts is full", "Dropped", drop, "Drops", count)
	}
}

// isCrash reports whether an error of an attempt is that of an engine which ended, as
// opposed to one that is slow, refuses or fails the request or loses its response,
// and to an error of the caller's connection.
func (sat *streamAttempt) isCrash(err error) bool {
	switch {
	case errors.Is(err, errIncomplete):
	case !errors.Is(err, ErrIncompleteResponse):
		return false
	case errors.Is(err, errNoConnection):
		return true
	case !slices.ContainsFunc(brokenConnection, func(cause error) bool { return errors.Is(err, cause) }):
		return false
	}
	return sat.probe(sat.node) != nil || sat.isReplaced()
}

// brokenConnection has the errors of a connection that the upstream has closed.
var brokenConnection = []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE}

// isReplaced reports whether another engine has the address of this one, since it has
// restarted already.
func (sat *streamAttempt) isReplaced() bool {
	if sat.gw.cfg.Identify == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(sat.ctx, probeTimeout)
	defer cancel()
	idy, err := sat.gw.cfg.Identify(ctx, sat.node.Address, sat.match.Service.Health)
	return err == nil && idy.ID != sat.node.ID
}
