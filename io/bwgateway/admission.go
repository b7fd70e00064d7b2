package bwgateway

import (
	"net/http"
	"time"

	"bilberrywick/core/bwforward"
	"bilberrywick/core/bwretry"
)

// admit waits until the stream may start, at the engine that it records. It returns
// false if the stream was refused or its caller has left. A stream that goes on
// after events that its caller has is always admitted, to any engine.
func (stm *stream) admit() bool {
	if stm.info.LastEventID != "" {
		return true
	}
	apl := stm.applicant()
	adm := stm.gw.admission
	adm.Enter(apl)
	defer adm.Leave(apl)
	for waited := false; ; waited = true {
		dcn := adm.Decide(apl)
		switch {
		case stm.callerGone():
			stm.finishUnserved()
			return false
		case dcn.Verdict != bwforward.Start && stm.abandonSample():
			apl.Work.Versions = stm.versionRule()
			continue
		case dcn.Verdict == bwforward.Start && !stm.takePermit(dcn.Node):
			apl.Work.SkipLimited = stm.work().SkipLimited
			continue
		case dcn.Verdict == bwforward.Start:
			if waited {
				stm.gw.cfg.Metrics.observeAdmission("started", stm.gw.cfg.Now().Sub(stm.arrived))
			}
			stm.admitted = dcn.Node
			return true
		case dcn.Verdict == bwforward.Refuse:
			stm.refuseByAdmission(apl, dcn)
			return false
		}
		if !waited {
			stm.gw.cfg.Log.Info("stream waits", admissionAttrs(stm, apl, dcn)...)
		}
		bwretry.Pause(stm.ctx, engineWaitInterval)
		// Another window may have begun.
		stm.refusedPermits, apl.Work.SkipLimited = 0, false
		apl.Work.Versions = stm.versionRule()
	}
}

func (stm *stream) applicant() *bwforward.Applicant {
	age := time.Duration(0)
	if stm.info.Timeout > 0 {
		age = stm.gw.ages.Observe(stm.match.Route.Name, stm.info.Timeout)
	}
	return &bwforward.Applicant{
		Work:        stm.work(),
		Team:        stm.match.Team,
		Priority:    stm.match.Priority,
		UsefulUntil: stm.arrived.Add(stm.target() - age),
		GiveUpAt:    earliest(stm.deadline, stm.arrived.Add(scale(stm.target(), engineWaitShare))),
		Deadline:    stm.deadline,
		Age:         age,
	}
}

func (stm *stream) refuseByAdmission(apl *bwforward.Applicant, dcn bwforward.Decision) {
	stm.gw.cfg.Log.Info("stream not admitted", append(admissionAttrs(stm, apl, dcn), "RetryAfter", dcn.RetryAfter)...)
	stm.gw.cfg.Metrics.observeAdmission("refused", stm.gw.cfg.Now().Sub(stm.arrived))
	stm.refuseFor(http.StatusServiceUnavailable, dcn.Reason, dcn.RetryAfter)
}

// admissionAttrs returns the log attributes of a decision.
func admissionAttrs(stm *stream, apl *bwforward.Applicant, dcn bwforward.Decision) []any {
	attrs := []any{
		"Request", stm.info.RequestID, "Reason", dcn.Reason, "Ahead", dcn.Ahead, "Age", apl.Age,
		"OnTimeLeft", apl.UsefulUntil.Sub(stm.gw.cfg.Now()), "Left", stm.remaining(),
	}
	if dcn.Node != nil {
		attrs = append(attrs, "Upstream", dcn.Node.ID, "ExpectedFirst", dcn.Estimate.First, "HasRoom", dcn.Estimate.HasRoom)
	}
	return attrs
}
