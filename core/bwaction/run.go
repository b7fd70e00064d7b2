package bwaction

import (
	"context"
	"errors"

	"bilberrywick/core/bwmodel"
)

// run is one request's way through a Coordinator.
type run struct {
	co     *Coordinator
	req    Request
	digest Digest
	// exclude names the upstreams that have refused the action.
	exclude []bwmodel.UpstreamID
	moves   int
}

// row returns a reservation under a new attempt id.
func (rn *run) row(tgt Target, fence bwmodel.Fence) Row {
	return Row{
		Key:         rn.req.Key,
		Service:     rn.req.Service,
		Digest:      rn.digest,
		Attempt:     rn.co.cfg.NewAttempt(),
		Fence:       fence,
		State:       Reserved,
		Upstream:    tgt.Upstream.Name,
		Incarnation: tgt.Incarnation,
		Expiry:      tgt.Clock + rn.co.cfg.Lifetime,
		Updated:     rn.co.cfg.Now(),
	}
}

// refused checks that no other request has used the key before it tells the
// caller that the action was not run.
func (rn *run) refused(ctx context.Context, cause *NotRunError) (Result, error) {
	row, found, err := rn.co.read(ctx, rn.req.Key)
	switch {
	case err != nil:
		return Result{}, &UnknownOutcomeError{Reason: TableUnavailable, RequestNotRun: true, Err: errors.Join(cause, err)}
	case !found:
		return Result{}, cause
	case row.Digest != rn.digest:
		return Result{}, &NotRunError{Reason: KeyReused}
	}
	return rn.observe(ctx, row)
}

// resolve reads back a row after a write that failed, conflicted or is unsure.
func (rn *run) resolve(ctx context.Context, want Row, cause error) (Result, error) {
	row, found, err := rn.co.read(ctx, want.Key)
	switch {
	case err != nil:
		return Result{}, &UnknownOutcomeError{Reason: TableUnavailable, RequestNotRun: true, Err: errors.Join(cause, err)}
	case !found:
		// The write may still take effect, but nothing is dispatched under its attempt.
		return Result{}, &NotRunError{Reason: NotReserved, Err: cause}
	case row.Digest != rn.digest:
		return Result{}, &NotRunError{Reason: KeyReused}
	case row.Attempt == want.Attempt && row.State == Reserved:
		return rn.drive(ctx, row)
	}
	return rn.repeat(ctx, row)
}

// drive dispatches the action of a row that this request owns.
func (rn *run) drive(ctx context.Context, row Row) (Result, error) {
	stl, err := rn.co.cfg.Dispatch(ctx, row.Upstream, Dispatch{
		Key:         row.Key,
		Service:     row.Service,
		Attempt:     row.Attempt,
		Fence:       row.Fence,
		Incarnation: row.Incarnation,
		Expiry:      row.Expiry,
		HTTP:        rn.req.HTTP,
	})
	if ref := refusalOf(err); err != nil && (ref == "" || ref == RefusedDuplicate) {
		// A key that has been started must not move, whoever started it.
		stl, err = rn.chase(ctx, row)
	}
	return rn.conclude(ctx, row, stl, err)
}

// chase asks for the outcome of a dispatch that may have arrived until the
// agent tells or the time is over.
func (rn *run) chase(ctx context.Context, row Row) (SettleResult, error) {
	heard := rn.co.cfg.Now()
	for {
		stl, err := rn.co.settleRow(ctx, row, false)
		switch {
		case err == nil && stl.State != bwmodel.SettleRunning:
			return stl, nil
		case err == nil:
			heard = rn.co.cfg.Now()
		case refusalOf(err) == RefusedIncarnation:
			return SettleResult{State: bwmodel.SettleEvicted}, nil
		case rn.co.cfg.Now().Sub(heard) >= rn.co.cfg.SettleTimeout:
			return SettleResult{}, &silentError{err: err}
		}
		if !rn.co.pause(ctx) {
			return SettleResult{State: bwmodel.SettleRunning}, nil
		}
	}
}

// conclude acts on what the agent said of a row that this request owns.
func (rn *run) conclude(ctx context.Context, row Row, stl SettleResult, err error) (Result, error) {
	if sil := new(silentError); errors.As(err, &sil) {
		return Result{}, &UnknownOutcomeError{Reason: AgentUnreachable, Err: sil.err}
	}
	if err != nil {
		if refusalOf(err) == RefusedStale {
			return rn.follow(ctx, row)
		}
		rn.exclude = append(rn.exclude, row.Upstream)
		return rn.move(ctx, row, err)
	}
	switch stl.State {
	case bwmodel.SettleDone:
		rn.co.record(ctx, row, Finished, stl.Response)
		return Result{Response: stl.Response, Upstream: row.Upstream}, nil
	case bwmodel.SettleSealed:
		return rn.move(ctx, row, &RefusedError{Refusal: RefusedUnsent})
	case bwmodel.SettleBroken:
		rn.co.record(ctx, row, Broken, bwmodel.HTTPResponse{})
		return Result{}, &UnknownOutcomeError{Reason: UpstreamFailed}
	case bwmodel.SettleEvicted:
		rn.co.record(ctx, row, Broken, bwmodel.HTTPResponse{})
		return Result{}, &UnknownOutcomeError{Reason: AgentLost}
	}
	return Result{}, &UnknownOutcomeError{Reason: StillRunning}
}

// move takes an action that has not started under the row to another
// reservation, or gives it up when no upstream is left.
func (rn *run) move(ctx context.Context, row Row, cause error) (Result, error) {
	rn.moves++
	if rn.moves >= rn.co.cfg.MaxReservations {
		return rn.release(ctx, row, cause)
	}
	tgt, err := rn.co.cfg.Choose(ctx, rn.req, rn.exclude)
	if err != nil {
		return rn.release(ctx, row, errors.Join(cause, err))
	}
	next := rn.row(tgt, row.Fence+1)
	if err := rn.co.swap(ctx, row.Version(), next); err != nil {
		return rn.confirm(ctx, row, next, err)
	}
	return rn.drive(ctx, next)
}

// confirm reads back a row after a swap that failed, conflicted or is unsure.
func (rn *run) confirm(ctx context.Context, old, want Row, cause error) (Result, error) {
	row, found, err := rn.co.read(ctx, want.Key)
	switch {
	case err != nil || !found:
		return Result{}, &UnknownOutcomeError{Reason: TableUnavailable, RequestNotRun: true, Err: errors.Join(cause, err)}
	case row.Attempt == want.Attempt && row.State == Reserved:
		return rn.drive(ctx, row)
	case row.Attempt == old.Attempt && row.Fence == old.Fence:
		// The old dispatch can't start, and nothing is dispatched under the new attempt.
		return Result{}, &NotRunError{Reason: NotReserved, Err: cause}
	}
	// Sealing here too would let two requests with one key stop each other forever.
	return rn.observe(ctx, row)
}

// release gives up a reservation whose dispatch can't start, so that a repeat
// of the key need not ask the agent.
func (rn *run) release(ctx context.Context, row Row, cause error) (Result, error) {
	free := row
	free.State = Released
	free.Updated = rn.co.cfg.Now()
	notRun := &NotRunError{Reason: NoUpstream, Err: cause}
	err := rn.co.swap(ctx, row.Version(), free)
	if err == nil {
		return Result{}, notRun
	}
	now, found, err := rn.co.read(ctx, row.Key)
	if err != nil || !found {
		return Result{}, &UnknownOutcomeError{Reason: TableUnavailable, RequestNotRun: true, Err: errors.Join(cause, err)}
	}
	if now.Attempt == row.Attempt && now.Fence == row.Fence {
		return Result{}, notRun
	}
	return rn.observe(ctx, now)
}

// repeat continues from a row that another request owns.
func (rn *run) repeat(ctx context.Context, row Row) (Result, error) {
	if row.State != Reserved {
		return rn.ended(ctx, row)
	}
	stl, err := rn.co.settleRow(ctx, row, false)
	if err == nil && stl.State == bwmodel.SettleSealed {
		return rn.move(ctx, row, &RefusedError{Refusal: RefusedStale})
	}
	return rn.report(ctx, row, stl, err)
}

// ended returns the outcome of a row that is not reserved, or takes over a
// released one.
func (rn *run) ended(ctx context.Context, row Row) (Result, error) {
	switch row.State {
	case Finished:
		return Result{Response: row.Response, Upstream: row.Upstream, Replayed: true}, nil
	case Released:
		return rn.move(ctx, row, &RefusedError{Refusal: RefusedStale})
	}
	return Result{}, &UnknownOutcomeError{Reason: UpstreamFailed, RequestNotRun: true}
}

// follow continues after an agent's refusal that shows another request at work
// on the key.
func (rn *run) follow(ctx context.Context, mine Row) (Result, error) {
	row, found, err := rn.co.read(ctx, mine.Key)
	if err != nil || !found {
		return Result{}, &UnknownOutcomeError{Reason: TableUnavailable, RequestNotRun: true, Err: err}
	}
	if row.Attempt == mine.Attempt && row.State == Reserved {
		// The other request has sealed the row and not taken it over.
		return rn.move(ctx, row, &RefusedError{Refusal: RefusedStale})
	}
	return rn.observe(ctx, row)
}

// observe returns the outcome of a row without sealing or taking it over.
func (rn *run) observe(ctx context.Context, row Row) (Result, error) {
	switch row.State {
	case Finished:
		return Result{Response: row.Response, Upstream: row.Upstream, Replayed: true}, nil
	case Released:
		return Result{}, &NotRunError{Reason: NeverStarted}
	case Broken:
		return Result{}, &UnknownOutcomeError{Reason: UpstreamFailed, RequestNotRun: true}
	}
	stl, err := rn.co.settleRow(ctx, row, true)
	if err == nil && stl.State == bwmodel.SettleSealed {
		return Result{}, &NotRunError{Reason: NeverStarted}
	}
	return rn.report(ctx, row, stl, err)
}

// report turns an agent's answer about another request's row into an outcome.
func (rn *run) report(ctx context.Context, row Row, stl SettleResult, err error) (Result, error) {
	if err != nil {
		if refusalOf(err) == RefusedIncarnation {
			return Result{}, &UnknownOutcomeError{Reason: AgentLost, RequestNotRun: true}
		}
		return Result{}, &UnknownOutcomeError{Reason: AgentUnreachable, RequestNotRun: true, Err: err}
	}
	switch stl.State {
	case bwmodel.SettleDone:
		rn.co.record(ctx, row, Finished, stl.Response)
		return Result{Response: stl.Response, Upstream: row.Upstream, Replayed: true}, nil
	case bwmodel.SettleBroken:
		return Result{}, &UnknownOutcomeError{Reason: UpstreamFailed, RequestNotRun: true}
	case bwmodel.SettleEvicted:
		return Result{}, &UnknownOutcomeError{Reason: AgentLost, RequestNotRun: true}
	case bwmodel.SettleWaiting:
		return Result{}, &UnknownOutcomeError{Reason: InProgress, RequestNotRun: true}
	}
	return Result{}, &UnknownOutcomeError{Reason: StillRunning, RequestNotRun: true}
}

// silentError says that an agent which may have a dispatch does not answer.
type silentError struct{ err error }

// Error returns the last failure.
func (err *silentError) Error() string { return err.err.Error() }

// refusalOf returns why an agent refused, or nothing when it may have run the dispatch.
func refusalOf(err error) Refusal {
	ref := new(RefusedError)
	if errors.As(err, &ref) {
		return ref.Refusal
	}
	return ""
}
