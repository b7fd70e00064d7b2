package bwrouter

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"bilberrywick/core/bwmodel"
	"bilberrywick/io/bwadmin"
)

// openGenerations lists the generations that are being served, for operators.
// Each entry belongs to the goroutine of its request, which publishes its state.
type openGenerations struct{ entries sync.Map }

// generationView is what a session publishes when something but its position changes.
type generationView struct {
	epoch    bwmodel.Epoch
	attempt  bwmodel.Attempt
	agent    netip.AddrPort
	holder   netip.AddrPort
	upstream bwmodel.UpstreamID
	resuming bool
}

// openGeneration is one entry.
type openGeneration struct {
	spec     bwmodel.GenerationSpec
	created  time.Time
	position atomic.Uint64
	view     atomic.Pointer[generationView]
	// last is the view as the owning goroutine knows it.
	last    generationView
	resumes atomic.Pointer[[]string]
}

// add lists a session until the returned function is called.
func (ogs *openGenerations) add(ses *session) *openGeneration {
	opn := &openGeneration{spec: ses.rec.Spec(), created: ses.rec.Spec().Created}
	opn.observe(ses)
	ogs.entries.Store(ses.rec.Request(), opn)
	return opn
}

// remove drops a session's entry unless a later session of the request has replaced it.
func (ogs *openGenerations) remove(req bwmodel.RequestID, opn *openGeneration) {
	ogs.entries.CompareAndDelete(req, opn)
}

// observe publishes the session's state; without a change it only counts.
func (opn *openGeneration) observe(ses *session) {
	opn.position.Store(uint64(ses.rec.Position()))
	next := generationView{
		epoch:    ses.rec.Epoch(),
		attempt:  ses.rec.Attempt(),
		agent:    ses.rec.Agent(),
		holder:   ses.rec.Holder(),
		resuming: ses.loss != nil,
	}
	if ses.choice != nil {
		next.upstream = ses.choice.Upstream.Name
	}
	if opn.view.Load() != nil && next == opn.last {
		return
	}
	if next.resuming && !opn.last.resuming {
		opn.addResume(ses.loss.cause)
	}
	opn.last = next
	opn.view.Store(&next)
}

func (opn *openGeneration) addResume(cause string) {
	var causes []string
	if old := opn.resumes.Load(); old != nil {
		causes = append(causes, *old...)
	}
	causes = append(causes, cause)
	opn.resumes.Store(&causes)
}

// status returns what is known of a generation that is served here.
func (ogs *openGenerations) status(req bwmodel.RequestID) (*bwadmin.GenerationStatus, bool) {
	val, ok := ogs.entries.Load(req)
	if !ok {
		return nil, false
	}
	opn := val.(*openGeneration)
	vw := opn.view.Load()
	sts := &bwadmin.GenerationStatus{
		Request:  req,
		Team:     opn.spec.Team,
		Service:  opn.spec.Service,
		Class:    opn.spec.Class.String(),
		State:    bwadmin.RunningGeneration,
		Epoch:    vw.epoch,
		Attempt:  vw.attempt,
		Position: bwmodel.Position(opn.position.Load()),
		Upstream: vw.upstream,
		Agent:    vw.agent,
		Holder:   vw.holder,
		Created:  opn.created,
	}
	if vw.resuming {
		sts.State = bwadmin.ResumingGeneration
	}
	if causes := opn.resumes.Load(); causes != nil {
		sts.Resumes = *causes
	}
	return sts, true
}

// showGeneration answers operators from the generations served here, and from
// the records held for other routers.
func (rtr *Router) showGeneration(ctx context.Context, req *bwadmin.GenerationRequest) (*bwadmin.GenerationStatus, error) {
	if sts, ok := rtr.generations.open.status(req.Request); ok {
		return sts, nil
	}
	rec, found, err := rtr.records.Find(ctx, req.Request)
	if err != nil {
		return nil, err
	}
	if !found {
		return nil, bwadmin.ErrNotFound
	}
	sts := &bwadmin.GenerationStatus{
		Request:  req.Request,
		Team:     rec.Spec.Team,
		Service:  rec.Spec.Service,
		Class:    rec.Spec.Class.String(),
		State:    bwadmin.HeldGeneration,
		Epoch:    rec.Epoch,
		Attempt:  rec.Attempt,
		Position: bwmodel.Position(len(rec.Issued)),
		Agent:    rec.Agent,
		Holder:   rtr.proc.Self.Address,
		Created:  rec.Spec.Created,
		Finish:   string(rec.Finish),
	}
	if rec.Finish != "" {
		sts.State = bwadmin.FinishedGeneration
	}
	return sts, nil
}
