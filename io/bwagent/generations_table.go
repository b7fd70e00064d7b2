package bwagent

import (
	"context"
	"errors"
	"time"

	"bilberrywick/core/bwmodel"
	"bilberrywick/io/bwrpc"
	"bilberrywick/io/bwwire"
)

// generationTable is the control state of Generations: which epoch and attempt
// of each request is the current one, and who reads it.
type generationTable struct {
	entries map[bwmodel.RequestID]*generationEntry
}

type generationEntry struct {
	epoch   bwmodel.Epoch
	attempt bwmodel.Attempt
	team    bwmodel.TeamID
	// sealed is the highest epoch under which no router may take the request over.
	sealed bwmodel.Epoch
	// run is nil once the generation is canceled; the entry then only fences.
	run *generationRun
	// sub is nil while no router reads.
	sub      *subscription
	detached time.Time
}

// subscription is a router's stream that reads a generation.
type subscription struct {
	ctx    context.Context
	cancel context.CancelCauseFunc
}

func newSubscription(ctx context.Context) *subscription {
	ctx, cancel := context.WithCancelCause(ctx)
	return &subscription{ctx: ctx, cancel: cancel}
}

func (sub *subscription) end() { sub.cancel(nil) }

// errMoved says that the agent leaves and the router goes on elsewhere.
var errMoved = errors.New("the agent is leaving before the generation has ended")

// refusal returns why the router gets no more.
func (sub *subscription) refusal() error {
	if errors.Is(context.Cause(sub.ctx), errMoved) {
		return bwrpc.Errorf(bwwire.Leaving, "%w", errMoved)
	}
	return bwrpc.Errorf(bwwire.Stale, "stream is replaced or its router has gone")
}

func (tbl *generationTable) view() *GenerationsView {
	var vw GenerationsView
	for _, ent := range tbl.entries {
		if ent.run == nil {
			continue
		}
		vw.Retained++
		if !ent.run.ended() {
			vw.Running++
		}
		if ent.sub != nil {
			vw.Attached++
		}
	}
	return &vw
}

// running counts the generations that the engine works on, but for one request's.
func (tbl *generationTable) running(except *generationEntry) int {
	count := 0
	for _, ent := range tbl.entries {
		if ent != except && ent.run != nil && !ent.run.ended() {
			count++
		}
	}
	return count
}

// start makes a run the current one of its request, or returns a refusal.
func (tbl *generationTable) start(run *generationRun, sub *subscription, slots int) error {
	ent := tbl.entries[run.req.Request]
	if slots > 0 && tbl.running(ent) >= slots {
		return bwrpc.Errorf(bwwire.Overloaded, "all %d slots of the engine are taken", slots)
	}
	if ent == nil {
		ent = &generationEntry{team: run.req.Spec.Team}
		tbl.entries[run.req.Request] = ent
	}
	if ent.team != run.req.Spec.Team {
		return bwrpc.Errorf(bwwire.Forbidden, "request belongs to another team")
	}
	older := run.req.Epoch < ent.epoch || run.req.Epoch == ent.epoch && run.req.Attempt <= ent.attempt
	if older {
		return bwrpc.Errorf(bwwire.Stale, "epoch %d attempt %d is replaced by epoch %d attempt %d",
			run.req.Epoch, run.req.Attempt, ent.epoch, ent.attempt)
	}
	ent.stop()
	ent.epoch, ent.attempt = run.req.Epoch, run.req.Attempt
	ent.run, ent.sub = run, sub
	return nil
}

// attach hands a running generation to a router under a higher epoch.
func (tbl *generationTable) attach(req *bwwire.AttachRequest, sub *subscription) (*generationRun, error) {
	ent := tbl.entries[req.Request]
	if ent == nil {
		return nil, bwrpc.Errorf(bwwire.NotFound, "request is not known here")
	}
	if ent.team != req.Team {
		return nil, bwrpc.Errorf(bwwire.Forbidden, "request belongs to another team")
	}
	// A seal also binds a router that comes after the run has ended.
	if limit := max(ent.epoch, ent.sealed); req.Epoch <= limit {
		return nil, bwrpc.Errorf(bwwire.Stale, "epoch %d is replaced by epoch %d", req.Epoch, limit)
	}
	if ent.run == nil {
		return nil, bwrpc.Errorf(bwwire.NotFound, "request is not running here")
	}
	if ent.sub != nil {
		ent.sub.end()
	}
	ent.epoch = req.Epoch
	ent.sub = sub
	return ent.run, nil
}

// seal refuses later takeovers up to the seal's epoch, unless one has happened.
func (tbl *generationTable) seal(req *bwwire.SealRequest) error {
	ent := tbl.entries[req.Request]
	if ent == nil {
		return bwrpc.Errorf(bwwire.NotFound, "request is not known here")
	}
	if ent.team != req.Team {
		return bwrpc.Errorf(bwwire.Forbidden, "request belongs to another team")
	}
	if ent.epoch > req.Epoch {
		return bwrpc.Errorf(bwwire.Stale, "epoch %d is replaced by epoch %d", req.Epoch, ent.epoch)
	}
	ent.sealed = max(ent.sealed, req.Seal)
	return nil
}

// cancel ends what the request names, and fences it.
func (tbl *generationTable) cancel(req *bwwire.CancelRequest, now time.Time) bool {
	ent := tbl.entries[req.Request]
	if ent == nil {
		return false
	}
	newer := ent.epoch > req.Epoch || ent.epoch == req.Epoch && ent.attempt > req.Attempt
	if newer || ent.run == nil {
		return false
	}
	ent.stop()
	ent.detached = now
	return true
}

// move ends every run, and tells the routers that read to go on elsewhere.
func (tbl *generationTable) move(now time.Time) {
	for _, ent := range tbl.entries {
		if ent.run == nil || ent.run.ended() {
			continue
		}
		if ent.sub != nil {
			ent.sub.cancel(errMoved)
		}
		ent.stop()
		ent.detached = now
	}
}

func (tbl *generationTable) detach(sub *subscription, req bwmodel.RequestID, now time.Time) {
	ent := tbl.entries[req]
	if ent == nil || ent.sub != sub {
		return
	}
	ent.sub = nil
	ent.detached = now
}

// expire ends generations without a router for the grace time, drops old
// fences, and returns the requests that were still running.
func (tbl *generationTable) expire(now time.Time, grace time.Duration) []bwmodel.RequestID {
	var lost []bwmodel.RequestID
	for req, ent := range tbl.entries {
		if ent.sub != nil {
			continue
		}
		idle := now.Sub(ent.detached)
		if ent.run != nil && idle >= grace {
			if !ent.run.ended() {
				lost = append(lost, req)
			}
			ent.stop()
		}
		if idle >= grace+fenceTime {
			delete(tbl.entries, req)
		}
	}
	return lost
}

// stop ends the entry's run and its reader.
func (ent *generationEntry) stop() {
	if ent.run != nil {
		ent.run.cancel()
	}
	if ent.sub != nil {
		ent.sub.end()
	}
	ent.run, ent.sub = nil, nil
}
