package bwgateway

import (
	"net/http"

	"bilberrywick/core/bwforward"
	"bilberrywick/core/bwretry"
)

func (cl *call) plainApplicant() *bwforward.PlainApplicant {
	apl := &bwforward.PlainApplicant{Team: cl.match.Team, Priority: cl.match.Priority, Deadline: cl.deadline}
	if cl.info.Timeout > 0 {
		apl.Age = cl.gw.ages.Observe(cl.match.Route.Name, cl.info.Timeout)
	}
	if target := cl.match.Route.Target; target > 0 {
		apl.UsefulUntil = cl.arrived.Add(target - apl.Age)
	}
	return apl
}

// admitPlain waits until the request may start and returns the upstream, or nil if
// there is none. It returns true if it has refused the request.
func (cl *call) admitPlain(apl *bwforward.PlainApplicant) (nd *bwforward.Node, refused bool) {
	cl.refusedPermits = 0
	adm := cl.gw.plainAdmission
	for waited := false; ; {
		apl.Work = cl.work()
		dcn := adm.Decide(apl)
		switch {
		case (dcn.Verdict != bwforward.Start || dcn.Node == nil) && cl.abandonSample():
			continue
		case dcn.Verdict == bwforward.Start && (dcn.Node == nil || cl.takePermit(dcn.Node)):
			if waited {
				cl.gw.cfg.Metrics.observePlainAdmission("started", cl.gw.cfg.Now().Sub(cl.arrived))
			}
			return dcn.Node, false
		case dcn.Verdict == bwforward.Start:
			continue
		case dcn.Verdict == bwforward.Refuse:
			return nil, cl.refuseByPlainAdmission(apl, dcn)
		}
		if !waited {
			waited = true
			cl.gw.cfg.Log.Info("request waits", cl.plainAdmissionAttrs(apl, dcn)...)
		}
		if !bwretry.Pause(cl.ctx, dcn.Recheck) {
			adm.Leave(apl)
			return nil, false
		}
	}
}

// refuseByPlainAdmission refuses the request if no upstream can have run it, and reports
// whether it did.
func (cl *call) refuseByPlainAdmission(apl *bwforward.PlainApplicant, dcn bwforward.PlainDecision) bool {
	cl.gw.cfg.Log.Info("request not admitted", append(cl.plainAdmissionAttrs(apl, dcn), "RetryAfter", dcn.RetryAfter)...)
	cl.gw.cfg.Metrics.observePlainAdmission("refused", cl.gw.cfg.Now().Sub(cl.arrived))
	if cl.possibleRuns > 0 {
		return false
	}
	cl.refuseFor(http.StatusServiceUnavailable, dcn.Reason, dcn.RetryAfter)
	return true
}

// plainAdmissionAttrs returns the log attributes of a decision.
func (cl *call) plainAdmissionAttrs(apl *bwforward.PlainApplicant, dcn bwforward.PlainDecision) []any {
	attrs := []any{
		"Request", cl.info.RequestID, "Reason", dcn.Reason, "Ahead", dcn.Ahead, "Expected", dcn.Expected,
		"Age", apl.Age, "Left", cl.remaining(), "Sent", cl.possibleRuns,
	}
	if dcn.Node != nil {
		ld, age := dcn.Node.LastLoad(cl.gw.cfg.Now())
		attrs = append(attrs, "Upstream", dcn.Node.ID, "ReportedRunning", ld.Running, "ReportedWaiting", ld.Waiting, "ReportAge", age)
	}
	return attrs
}
