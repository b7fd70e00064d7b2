package bwagent

import (
	"context"
	"errors"
	"time"

	"bilberrywick/core/bwmodel"
	"bilberrywick/io/bwrpc"
	"bilberrywick/io/bwwire"
)

// generationTable is the control state of Generations: the current epoch and attempt
// of each request, and the router that reads it.
type generationTable struct {
	entries map[bwmodel.RequestID]*generationEntry
}

type generationEntry struct {
	epoch   bwmodel.Epoch
	attempt bwmodel.Attempt
	team    bwmodel.TeamID
	// sealedEpoch is the highest epoch with which takeovers of the request are refused.
	sealedEpoch bwmodel.Epoch
	// run is nil once the generation is canceled; the entry then only rejects stale
	// epochs and attempts.
	run *generationRun
	// sub is nil while no router reads the generation.
	sub        *subscription
	detachedAt time.Time
}

// subscription is the stream of a router that reads a generation.
type subscription struct {
	ctx    context.Context
	cancel context.CancelCauseFunc
}

func newSubscription(ctx context.Context) *subscription {
	ctx, cancel := context.WithCancelCause(ctx)
	return &subscription{ctx: ctx, cancel: cancel}
}

func (sub *subscription) end() { sub.cancel(nil) }

// errMigrated is the cancellation cause of a subscription whose generation was ended
// because the agent is leaving; the router resumes it on another engine.
var errMigrated = errors.New("the agent is leaving before the generation has ended")

// endError returns the error with which the router's stream ends.
func (sub *subscription) endError() error {
	if errors.Is(context.Cause(sub.ctx), errMigrated) {
		return bwrpc.Errorf(bwwire.Leaving, "%w", errMigrated)
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

// running returns the number of generations that have not ended, apart from the one
// of the entry except.
func (tbl *generationTable) running(except *generationEntry) int {
	count := 0
	for _, ent := range tbl.entries {
		if ent != except && ent.run != nil && !ent.run.ended() {
			count++
		}
	}
	return count
}

// start makes run the current one of its request and ends the previous one, or
// returns an error with a code of bwwire.
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
	stale := run.req.Epoch < ent.epoch || run.req.Epoch == ent.epoch && run.req.Attempt <= ent.attempt
	if stale {
		return bwrpc.Errorf(bwwire.Stale, "epoch %d attempt %d is replaced by epoch %d attempt %d",
			run.req.Epoch, run.req.Attempt, ent.epoch, ent.attempt)
	}
	ent.stop()
	ent.epoch, ent.attempt = run.req.Epoch, run.req.Attempt
	ent.run, ent.sub = run, sub
	return nil
}

// attach makes sub the reader of a request's generation under a higher epoch, or
// returns an error with a code of bwwire.
func (tbl *generationTable) attach(req *bwwire.AttachRequest, sub *subscription) (*generationRun, error) {
	ent := tbl.entries[req.Request]
	if ent == nil {
		return nil, bwrpc.Errorf(bwwire.NotFound, "request is not known here")
	}
	if ent.team != req.Team {
		return nil, bwrpc.Errorf(bwwire.Forbidden, "request belongs to another team")
	}
	// A seal also applies to a router that attaches after the run has ended.
	if highest := max(ent.epoch, ent.sealedEpoch); req.Epoch <= highest {
		return nil, bwrpc.Errorf(bwwire.Stale, "epoch %d is replaced by epoch %d", req.Epoch, highest)
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

// seal makes later takeovers up to the seal's epoch fail. It returns an error with the
// code Stale if a takeover with a higher epoch has already happened.
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
	ent.sealedEpoch = max(ent.sealedEpoch, req.Seal)
	return nil
}

// cancel ends the run of the request's epoch and attempt or an older one, and keeps
// the entry as a fence. It reports whether a run was ended.
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
	ent.detachedAt = now
	return true
}

// migrateAll ends all running generations and the streams of their routers with
// errMigrated as the cause.
func (tbl *generationTable) migrateAll(now time.Time) {
	for _, ent := range tbl.entries {
		if ent.run == nil || ent.run.ended() {
			continue
		}
		if ent.sub != nil {
			ent.sub.cancel(errMigrated)
		}
		ent.stop()
		ent.detachedAt = now
	}
}

func (tbl *generationTable) detach(sub *subscription, req bwmodel.RequestID, now time.Time) {
	ent := tbl.entries[req]
	if ent == nil || ent.sub != sub {
		return
	}
	ent.sub = nil
	ent.detachedAt = now
}

// expire ends generations that had no router for the grace period, removes entries
// after a further fenceRetention, and returns the requests that were still running.
func (tbl *generationTable) expire(now time.Time, grace time.Duration) []bwmodel.RequestID {
	var expired []bwmodel.RequestID
	for req, ent := range tbl.entries {
		if ent.sub != nil {
			continue
		}
		detachedFor := now.Sub(ent.detachedAt)
		if ent.run != nil && detachedFor >= grace {
			if !ent.run.ended() {
				expired = append(expired, req)
			}
			ent.stop()
		}
		if detachedFor >= grace+fenceRetention {
			delete(tbl.entries, req)
		}
	}
	return expired
}

// stop ends the entry's run and its router's stream.
func (ent *generationEntry) stop() {
	if ent.run != nil {
		ent.run.cancel()
	}
	if ent.sub != nil {
		ent.sub.end()
	}
	ent.run, ent.sub = nil, nil
}
