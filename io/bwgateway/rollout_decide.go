package bwgateway

import (
	"context"
	"errors"
	"reflect"
	"slices"
	"time"

	"bilberrywick/core/bwforward"
	"bilberrywick/core/bwmodel"
	"bilberrywick/core/bwrollout"
)

const (
	// reportInterval is the time between two reports of a gateway and between two
	// decisions. It is short against the time of a rollback.
	reportInterval = 250 * time.Millisecond
	// idleReportInterval is that between two equal reports. In a fleet of a thousand
	// gateways most have few requests for a service.
	idleReportInterval = 4 * reportInterval
	// reportAge is the age up to which a report says what is in progress: an interval of
	// equal ones, a lost one and the time on the way.
	reportAge = idleReportInterval + 2*reportInterval
	// nextDecidersLead is the time before the next gateways decide from which on they get
	// reports too, so that they have all of them when they begin.
	nextDecidersLead = 2 * reportInterval
	// partialReportsDelay is the time in an interval of deciders after which one decides
	// although it lacks the reports of some gateways, fewReportsDelay that for those of
	// most gateways: the others may have more. Announcements of dead gateways stay for
	// minutes.
	partialReportsDelay = 600 * time.Millisecond
	fewReportsDelay     = 1200 * time.Millisecond
	// decisionTime is the time in which a decision is written, or not at all. A process
	// that was paused meanwhile must not write what it decided before.
	decisionTime = 1500 * time.Millisecond
	// detailInterval is the time between two writes of states in the same phase by a
	// gateway. Usual response times follow the load of the old version.
	detailInterval = 2 * time.Second
	// noteInterval is the time between two notes about the same version. Datagrams may be
	// lost.
	noteInterval = time.Second
	// plainDrain is the time for which requests at old upstreams are waited for where no
	// route of the service has streams: the longest deadline of current deployments.
	plainDrain = 1500 * time.Millisecond
)

// loop sends reports and decides, in intervals and when something was read.
func (rol *Rollouts) loop(ctx context.Context) {
	tick := time.NewTicker(reportInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-rol.reconsider:
		case <-ctx.Done():
			return
		}
		if err := rol.control.Do(ctx, func(ors *ownedRollouts) { rol.tick(ctx, ors) }); err != nil {
			return
		}
	}
}

func (rol *Rollouts) tick(ctx context.Context, ors *ownedRollouts) {
	vw := rol.cfg.View()
	if vw.clockAt.IsZero() {
		return
	}
	clock, now := vw.storeClock(), rol.cfg.Now()
	if now.Sub(ors.lastTick) > idleReportInterval {
		ors.resumedAt = now
	}
	ors.lastTick = now
	for _, srl := range ors.services {
		needsWrite := srl.known.Phase != bwrollout.NoRollout && srl.known.Supersedes(srl.stored.State)
		if srl.traffic == nil && !needsWrite && (srl.order == nil || srl.order.Revision.Era <= srl.known.Handled.Era) {
			continue
		}
		rol.refresh(ors, srl)
		deciders := bwforward.Deciders(vw.permitHolders, srl.name, clock)
		if srl.traffic != nil {
			rol.report(vw, srl, append(deciders, bwforward.Deciders(vw.permitHolders, srl.name, clock+nextDecidersLead)...))
			rol.stopIfBad(ors, srl)
		}
		isDecider := slices.ContainsFunc(deciders, func(hld bwforward.PermitHolder) bool { return hld.Member == rol.cfg.Member })
		if isDecider && ors.statesEra == ors.ordersRead.Era && !ors.statesRead.IsZero() {
			rol.decide(ctx, ors, srl, vw)
		}
	}
}

// report sends this gateway's counts to the gateways that decide now and next.
func (rol *Rollouts) report(vw *View, srl *serviceRollout, recipients []bwforward.PermitHolder) {
	trf := srl.traffic
	to := trf.order.To
	rep := bwrollout.Report{
		Gateway: rol.cfg.Member, Start: bwmodel.Incarnation(vw.startedAt), Number: uint64(vw.storeClock()),
		To: to, Revision: trf.order.Revision, Usual: trf.usualTimes(rol.cfg.Now()),
		OldInProgress: rol.cfg.Pool.RunningAtOthers(srl.name, to), NewInProgress: rol.cfg.Pool.RunningAt(srl.name, to),
	}
	rep.Routes, rep.Moments = trf.responses()
	if srl.follows(trf.order) {
		rep.Phase = srl.known.Phase
	}
	rep.Requests, rep.Exposed = trf.exposure.Counts()
	srl.tally.Begin(trf.order)
	srl.tally.Apply(rep, rol.cfg.Now())
	seen := map[bwmodel.MemberID]bool{rol.cfg.Member: true}
	others := make([]bwforward.PermitHolder, 0, len(recipients))
	for _, hld := range recipients {
		if !seen[hld.Member] && hld.Address.IsValid() {
			seen[hld.Member] = true
			others = append(others, hld)
		}
	}
	if !srl.needsReport(rep, others, rol.cfg.Now()) {
		return
	}
	rol.cfg.SendReport(RolloutReport{Service: srl.name, Report: rep}, others)
}

// needsReport reports whether a report says something new, has other recipients than the
// last one, or was not sent for idleReportInterval. It then is the last one.
func (srl *serviceRollout) needsReport(rep bwrollout.Report, recipients []bwforward.PermitHolder, now time.Time) bool {
	last := srl.lastReport
	rep.Number = last.report.Number
	if now.Sub(last.at) < idleReportInterval && slices.Equal(recipients, last.recipients) && reflect.DeepEqual(rep, last.report) {
		return false
	}
	srl.lastReport = sentReport{report: rep, recipients: recipients, at: now}
	return true
}

// ReceiveReport applies a report of another gateway. It may have read the order before
// this one.
func (rol *Rollouts) ReceiveReport(ctx context.Context, rep RolloutReport) {
	if rol == nil {
		return
	}
	// The owner's end loses the report, which does no harm.
	_ = rol.control.Post(ctx, func(ors *ownedRollouts) {
		if srl := ors.services[rep.Service]; srl != nil && srl.traffic != nil {
			srl.tally.Begin(srl.traffic.order)
			srl.tally.Apply(rep.Report, rol.cfg.Now())
		}
	})
}

// stopIfBad stops sending requests to the new version if this gateway's own counts show
// that it is bad.
func (rol *Rollouts) stopIfBad(ors *ownedRollouts, srl *serviceRollout) {
	if srl.stopped {
		return
	}
	counts, moments := srl.traffic.responses()
	if vd := rol.plan.Judge.Version(counts, moments); vd.Outcome == bwrollout.Bad {
		srl.stopped, srl.badRoute = true, vd.Route
		rol.cfg.Log.Warn("new version stopped by own counts", "Service", srl.name, "To", srl.traffic.order.To, "Route", vd.Route, "Evidence", vd.Evidence,
			"New", counts[vd.Route].New, "Old", counts[vd.Route].Old)
		rol.refresh(ors, srl)
	}
}

// ReceiveNote stops sending requests to a version that a gateway which decides has found
// to be bad.
func (rol *Rollouts) ReceiveNote(ctx context.Context, nt RollbackNote) {
	if rol == nil {
		return
	}
	// The owner's end loses the note, as does a lost datagram; it is sent again.
	_ = rol.control.Post(ctx, func(ors *ownedRollouts) {
		srl := ors.services[nt.Service]
		if srl == nil || srl.traffic == nil || srl.noted || srl.traffic.order.To != nt.To || srl.traffic.order.Revision != nt.Revision {
			return
		}
		srl.stopped, srl.noted, srl.badRoute = true, true, nt.Route
		rol.cfg.Log.Warn("new version stopped by a note", "Service", nt.Service, "To", nt.To, "Route", nt.Route, "Gateway", nt.Gateway)
		rol.cfg.Metrics.countRolloutNote("received")
		rol.refresh(ors, srl)
	})
}

// decide computes the next state, and begins to write it if it differs from the stored
// one.
func (rol *Rollouts) decide(ctx context.Context, ors *ownedRollouts, srl *serviceRollout, vw *View) {
	in := rol.inputs(srl, vw)
	vd := rol.plan.Judge.Version(in.Sum.Routes, in.Sum.Moments)
	if srl.known.IsRunning() && vd.Outcome == bwrollout.Bad && !srl.noted {
		srl.stopped, srl.noted, srl.badRoute = true, true, vd.Route
		rol.refresh(ors, srl)
	}
	if srl.noted && srl.known.IsRunning() && rol.cfg.Now().Sub(srl.lastNote) >= noteInterval {
		srl.lastNote = rol.cfg.Now()
		rol.cfg.SendNote(RollbackNote{Service: srl.name, To: srl.traffic.order.To, Revision: srl.traffic.order.Revision, Route: srl.badRoute, Gateway: rol.cfg.Member})
		rol.cfg.Metrics.countRolloutNote("sent")
	}
	if srl.writing {
		return
	}
	next := rol.plan.Next(srl.known, in)
	if srl.noted && next.IsRunning() && next.Order == srl.known.Order {
		// The counts on which the version was found bad may be of a gateway that is gone.
		next.Phase, next.Reason, next.BadRoute, next.DecidedAt = bwrollout.RolledBack, bwrollout.ReasonBad, srl.badRoute, in.Now
	}
	isChange := !isSameRollout(next, srl.known)
	if !isChange && !reflect.DeepEqual(next, srl.known) && rol.cfg.Now().Sub(srl.lastDetail) >= detailInterval {
		isChange, srl.lastDetail = true, rol.cfg.Now()
	}
	if !isChange && !srl.known.Supersedes(srl.stored.State) || isChange && !rol.mayDecide(ors, srl, next, in) {
		return
	}
	rol.logState("rollout decided", srl, next, "Requests", in.Sum.Requests, "Exposed", in.Sum.Exposed, "Reports", in.Sum.Gateways, "Gateways", in.Gateways,
		"OldInProgress", in.Sum.OldInProgress, "NewInProgress", in.Sum.NewInProgress, "OldReady", in.Old.Ready, "NewReady", in.New.Ready,
		"Verdict", vd.Outcome.String(), "Route", vd.Route, "Evidence", vd.Evidence, "Counts", in.Sum.Routes, "StateAge", rol.cfg.Now().Sub(ors.statesRead), "RowVersion", srl.stored.Version)
	srl.writing = true
	rwr := &rolloutWrite{rol: rol, next: next, base: srl.stored}
	go rwr.run(ctx)
}

// mayDecide reports whether this gateway has what a change needs: the reports of all
// gateways, or of some if the others have had time to decide. A bad version is evident
// from any reports, and an order needs none.
func (rol *Rollouts) mayDecide(ors *ownedRollouts, srl *serviceRollout, next bwrollout.State, in bwrollout.Inputs) bool {
	if next.Reason == bwrollout.ReasonBad || next.Order != srl.known.Order || !srl.known.IsRunning() {
		return true
	}
	// A process that was paused gets the reports again that it has missed.
	elapsed := min(in.Now%bwforward.DeciderInterval, rol.cfg.Now().Sub(ors.resumedAt))
	switch {
	case in.Gateways > 0 && in.Sum.Gateways >= in.Gateways:
		return true
	case 2*in.Sum.Gateways >= in.Gateways:
		return elapsed >= partialReportsDelay
	default:
		return elapsed >= fewReportsDelay
	}
}

// isSameRollout reports whether two states of a service have the same order and phase.
func isSameRollout(sta, stb bwrollout.State) bool {
	return sta.Phase == stb.Phase && sta.Handled == stb.Handled && sta.Order == stb.Order
}

// inputs returns what a decision is made from.
func (rol *Rollouts) inputs(srl *serviceRollout, vw *View) bwrollout.Inputs {
	in := bwrollout.Inputs{Order: srl.order, Serving: srl.serving, Now: vw.storeClock(), Gateways: vw.Members, Drain: drainTime(vw, srl.name)}
	if ord := srl.currentOrder(); ord != nil {
		for ver, ups := range rol.cfg.Pool.VersionUpstreams(srl.name) {
			if ver == ord.To {
				in.New = capacityOf(ups)
			} else if old := capacityOf(ups); old.Ready > 0 {
				in.Old.Ready += old.Ready
				in.Old.Slots += old.Slots
			}
		}
	}
	if srl.known.IsRunning() {
		in.Running = rol.cfg.Now().Sub(srl.runningSince)
		srl.tally.Begin(srl.known.Order)
		in.Sum = srl.tally.Sum(rol.cfg.Now(), reportAge)
	}
	return in
}

// capacityOf returns what upstreams can take.
func capacityOf(ups []bwforward.Upstream) bwrollout.Capacity {
	cpc := bwrollout.Capacity{Ready: len(ups)}
	for _, up := range ups {
		cpc.Slots += up.Slots
	}
	return cpc
}

// drainTime returns the time in which nearly all requests in progress at a service end,
// or 0 if it is unknown.
func drainTime(vw *View, svc bwmodel.ServiceID) time.Duration {
	if vw.Table == nil || vw.Table.Service(svc).Model != nil {
		return 0
	}
	return plainDrain
}

// rolloutWrite writes a state.
type rolloutWrite struct {
	rol  *Rollouts
	next bwrollout.State
	base RolloutRow
}

func (rwr *rolloutWrite) run(ctx context.Context) {
	wctx, cancel := context.WithTimeout(ctx, decisionTime)
	defer cancel()
	rol := rwr.rol
	row, err := rol.writeState(wctx, rwr.next, rwr.base)
	outcome := "written"
	switch {
	case errors.Is(err, ErrRolloutReplaced):
		outcome = "replaced"
		rol.cfg.Log.Info("rollout state not written", "Service", rwr.base.Service, "To", rwr.next.Order.To, "Phase", rwr.next.Phase.String(),
			"Stored", row.State.Phase.String(), "StoredTo", row.State.Order.To, "RowVersion", row.Version, "Expected", rwr.base.Version)
	case err != nil:
		outcome = "failed"
		rol.cfg.Log.Warn("rollout state not written", "Service", rwr.base.Service, "To", rwr.next.Order.To, "Phase", rwr.next.Phase.String(), "Error", err)
	}
	rol.cfg.Metrics.countRolloutWrite(outcome)
	// An error means that the process ends.
	_ = rol.control.Do(ctx, func(ors *ownedRollouts) {
		srl := ors.service(rwr.base.Service)
		srl.writing = false
		if err == nil || errors.Is(err, ErrRolloutReplaced) {
			rol.adopt(srl, row, outcome)
			rol.refresh(ors, srl)
		}
	})
}
