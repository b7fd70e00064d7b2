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
// Only the goroutine of its request updates an entry.
type openGenerations struct{ entries sync.Map }

// generationView is the published state of a session without its position.
type generationView struct {
	epoch    bwmodel.Epoch
	attempt  bwmodel.Attempt
	agent    netip.AddrPort
	holder   netip.AddrPort
	upstream bwmodel.UpstreamID
	resuming bool
}

// openGeneration is the entry of one session.
type openGeneration struct {
	spec     bwmodel.GenerationSpec
	created  time.Time
	position atomic.Uint64
	view     atomic.Pointer[generationView]
	// lastView is the owning goroutine's copy of the last published view.
	lastView generationView
	resumes  atomic.Pointer[[]string]
}

// add adds an entry for a session; remove deletes it.
func (ogs *openGenerations) add(ses *session) *openGeneration {
	opn := &openGeneration{spec: ses.rec.Spec(), created: ses.rec.Spec().Created}
	opn.observe(ses)
	ogs.entries.Store(ses.rec.Request(), opn)
	return opn
}

// remove deletes a session's entry unless a later session of the same request has replaced it.
func (ogs *openGenerations) remove(req bwmodel.RequestID, opn *openGeneration) {
	ogs.entries.CompareAndDelete(req, opn)
}

// observe publishes the session's position and, if it has changed, its view.
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
	if opn.view.Load() != nil && next == opn.lastView {
		return
	}
	if next.resuming && !opn.lastView.resuming {
		opn.addResume(ses.loss.cause)
	}
	opn.lastView = next
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

// status returns the status of a generation that is served here.
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

// showGeneration returns the status of a generation that is served here or whose
// record is held for another router.
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
