package bwgateway

import (
	"errors"
	"io"
	"net/http"
	"syscall"
	"time"

	"bilberrywick/core/bwforward"
)

// servedAfter is the time after the first event from which on an engine has begun
// with a prompt without a crash. Engines crash within about 0.1 s of the start.
const servedAfter = 500 * time.Millisecond

// refuseQuarantined ends a stream whose prompt crashes engines, and reports whether
// it did.
func (stm *stream) refuseQuarantined() bool {
	parts, left := stm.gw.cfg.Quarantine.Find(stm.info.Parts)
	if parts == nil {
		return false
	}
	stm.gw.cfg.Log.Info("stream refused", "Request", stm.info.RequestID, "Parts", parts, "QuarantineLeft", left, "Sent", stm.possibleRuns)
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
	return true
}

// recordCrash records that an engine was lost as it began with the prompt, and tells
// the other gateways.
func (gw *Gateway) recordCrash(parts []bwforward.PartID) {
	gw.cfg.SendNote(bwforward.PeerNote{Kind: bwforward.CrashNote, Parts: parts})
	named := gw.cfg.Quarantine.RecordCrash(parts, true)
	if named == nil {
		return
	}
	left := named.Until.Sub(gw.cfg.Now())
	gw.cfg.Log.Warn("parts of prompts in quarantine", "Parts", named.Parts, "Left", left, "Source", "own crash")
	gw.cfg.Metrics.countQuarantine("named")
	gw.cfg.SendNote(bwforward.PeerNote{Kind: bwforward.QuarantineNote, Parts: named.Parts, Left: left})
	gw.cfg.OnQuarantine()
}

// recordServed records that an engine has begun with the prompt without a crash, and
// tells the other gateways if a part was suspected.
func (gw *Gateway) recordServed(parts []bwforward.PartID) {
	if len(parts) == 0 || !gw.cfg.Quarantine.RecordServed(parts) {
		return
	}
	gw.cfg.Log.Info("parts of prompts cleared", "Parts", parts, "Source", "own response")
	gw.cfg.Metrics.countQuarantine("cleared")
	gw.cfg.SendNote(bwforward.PeerNote{Kind: bwforward.ServedNote, Parts: parts})
	gw.cfg.OnQuarantine()
}

// applyQuarantineNote applies another gateway's note about parts of prompts.
func (gw *Gateway) applyQuarantineNote(nt bwforward.PeerNote) {
	qrt := gw.cfg.Quarantine
	switch nt.Kind {
	case bwforward.CrashNote:
		if named := qrt.RecordCrash(nt.Parts, false); named != nil {
			gw.cfg.Log.Info("parts of prompts in quarantine", "Parts", named.Parts, "Left", named.Until.Sub(gw.cfg.Now()), "Source", "note of a crash")
		}
	case bwforward.ServedNote:
		if qrt.RecordServed(nt.Parts) {
			gw.cfg.Log.Info("parts of prompts cleared", "Parts", nt.Parts, "Source", "note")
			gw.cfg.OnQuarantine()
		}
	case bwforward.QuarantineNote:
		served, ok := qrt.Adopt(nt.Parts, gw.cfg.Now().Add(nt.Left), false)
		if ok {
			gw.cfg.Log.Info("parts of prompts in quarantine", "Parts", nt.Parts, "Left", nt.Left, "Source", "note")
		}
		if len(served) > 0 {
			gw.cfg.SendNote(bwforward.PeerNote{Kind: bwforward.ServedNote, Parts: served})
		}
	}
}

var errQuarantined = errors.New("prompt crashes engines")

// isCrash reports whether an error of an attempt is that of an engine which ended, as
// opposed to one that is slow, refuses or fails the request, and to an error of the
// caller's connection.
func isCrash(err error) bool {
	if errors.Is(err, errIncomplete) {
		return true
	}
	if !errors.Is(err, ErrIncompleteResponse) {
		return false
	}
	for _, cause := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE, errNoConnection} {
		if errors.Is(err, cause) {
			return true
		}
	}
	return false
}

// observeStart records whether the engine of an attempt crashed as it began with the
// prompt, or has begun.
func (sat *streamAttempt) observeStart(err error) {
	switch {
	case len(sat.info.Parts) == 0 || sat.callerGone():
	case err == nil:
		sat.gw.recordServed(sat.info.Parts)
	case !sat.resumed && !sat.startSeen && isCrash(err):
		sat.gw.recordCrash(sat.info.Parts)
	}
}
