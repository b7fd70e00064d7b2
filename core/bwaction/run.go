package bwaction

import (
	"context"
	"errors"

	"bilberrywick/core/bwmodel"
)

// actionRun is the state of one request in a Coordinator.
type actionRun struct {
	co     *Coordinator
	req    Request
	digest Digest
	// exclude lists the upstreams that have refused the action.
	exclude []bwmodel.UpstreamID
	// reservations counts the reservations whose dispatch did not start.
	reservations int
}

// newReservation returns a reservation under a new attempt id.
func (rn *actionRun) newReservation(tgt Target, fence bwmodel.Fence) Row {
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

// refuse returns cause only if no other request has used the key, and the
// outcome of that request otherwise.
func (rn *actionRun) refuse(ctx context.Context, cause *NotRunError) (Result, error) {
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

// resolveInsert reads the row after an insert error and continues from it.
func (rn *actionRun) resolveInsert(ctx context.Context, want Row, cause error) (Result, error) {
	row, found, err := rn.co.read(ctx, want.Key)
	switch {
	case err != nil:
		return Result{}, &UnknownOutcomeError{Reason: TableUnavailable, RequestNotRun: true, Err: errors.Join(cause, err)}
	case !found:
		// The write may still take effect, but its attempt is never dispatched.
		return Result{}, &NotRunError{Reason: NotReserved, Err: cause}
	case row.Digest != rn.digest:
		return Result{}, &NotRunError{Reason: KeyReused}
	case row.Attempt == want.Attempt && row.State == Reserved:
		return rn.dispatch(ctx, row)
	}
	return rn.resume(ctx, row)
}

// dispatch sends the action of a row that this request owns to the row's agent.
func (rn *actionRun) dispatch(ctx context.Context, row Row) (Result, error) {
	stl, err := rn.co.cfg.Dispatch(ctx, row.Upstream, Dispatch{
		Key:         row.Key,
		Service:     row.Service,
		Attempt:     row.Attempt,
		Fence:       row.Fence,
		Incarnation: row.Incarnation,
		Expiry:      row.Expiry,
		HTTP:        rn.req.HTTP,
	})
	if refusal := refusalOf(err); err != nil && (refusal == "" || refusal == RefusedDuplicate) {
		// A started action must not be reassigned, whichever request started it.
		stl, err = rn.pollOutcome(ctx, row)
	}
	return rn.handleSettleResult(ctx, row, stl, err)
}

// pollOutcome polls the agent for the outcome of a dispatch that it may have
// received, until the agent returns one or a timeout expires.
func (rn *actionRun) pollOutcome(ctx context.Context, row Row) (SettleResult, error) {
	lastResponse := rn.co.cfg.Now()
	for {
		stl, err := rn.co.settleDispatch(ctx, row, false)
		switch {
		case err == nil && stl.State != bwmodel.SettleRunning:
			return stl, nil
		case err == nil:
			lastResponse = rn.co.cfg.Now()
		case refusalOf(err) == RefusedIncarnation:
			return SettleResult{State: bwmodel.SettleEvicted}, nil
		case rn.co.cfg.Now().Sub(lastResponse) >= rn.co.cfg.SettleTimeout:
			return SettleResult{}, &unreachableError{err: err}
		}
		if !rn.co.waitPollInterval(ctx) {
			return SettleResult{State: bwmodel.SettleRunning}, nil
		}
	}
}

// handleSettleResult continues from the agent's response for a row of this request.
func (rn *actionRun) handleSettleResult(ctx context.Context, row Row, stl SettleResult, err error) (Result, error) {
	if unreachable := new(unreachableError); errors.As(err, &unreachable) {
		return Result{}, &UnknownOutcomeError{Reason: AgentUnreachable, Err: unreachable.err}
	}
	if err != nil {
		if refusalOf(err) == RefusedStale {
			return rn.resolveStale(ctx, row)
		}
		rn.exclude = append(rn.exclude, row.Upstream)
		return rn.reassign(ctx, row, err)
	}
	switch stl.State {
	case bwmodel.SettleDone:
		rn.co.recordResult(ctx, row, Finished, stl.Response)
		return Result{Response: stl.Response, Upstream: row.Upstream}, nil
	case bwmodel.SettleSealed:
		return rn.reassign(ctx, row, &RefusedError{Refusal: RefusedUnsent})
	case bwmodel.SettleBroken:
		rn.co.recordResult(ctx, row, Broken, bwmodel.HTTPResponse{})
		return Result{}, &UnknownOutcomeError{Reason: UpstreamFailed}
	case bwmodel.SettleEvicted:
		rn.co.recordResult(ctx, row, Broken, bwmodel.HTTPResponse{})
		return Result{}, &UnknownOutcomeError{Reason: AgentLost}
	}
	return Result{}, &UnknownOutcomeError{Reason: StillRunning}
}

// reassign moves an action that has not started under the row to a new
// reservation, or releases the row when no upstream is left.
func (rn *actionRun) reassign(ctx context.Context, row Row, cause error) (Result, error) {
	rn.reservations++
	if rn.reservations >= rn.co.cfg.MaxReservations {
		return rn.release(ctx, row, cause)
	}
	tgt, err := rn.co.cfg.Choose(ctx, rn.req, rn.exclude)
	if err != nil {
		return rn.release(ctx, row, errors.Join(cause, err))
	}
	next := rn.newReservation(tgt, row.Fence+1)
	if err := rn.co.swap(ctx, row.Version(), next); err != nil {
		return rn.resolveSwap(ctx, row, next, err)
	}
	return rn.dispatch(ctx, next)
}

// resolveSwap reads the row after a swap error and continues from it.
func (rn *actionRun) resolveSwap(ctx context.Context, old, want Row, cause error) (Result, error) {
	row, found, err := rn.co.read(ctx, want.Key)
	switch {
	case err != nil || !found:
		return Result{}, &UnknownOutcomeError{Reason: TableUnavailable, RequestNotRun: true, Err: errors.Join(cause, err)}
	case row.Attempt == want.Attempt && row.State == Reserved:
		return rn.dispatch(ctx, row)
	case row.Attempt == old.Attempt && row.Fence == old.Fence:
		// The old dispatch can't start, and the new attempt is never dispatched.
		return Result{}, &NotRunError{Reason: NotReserved, Err: cause}
	}
	// The row's dispatch is not sealed here, since two requests with one key could
	// otherwise seal each other's reservations forever.
	return rn.observe(ctx, row)
}

// release marks a reservation whose dispatch can't start as released, so that a
// later request with the key needs no call to the agent.
func (rn *actionRun) release(ctx context.Context, row Row, cause error) (Result, error) {
	released := row
	released.State = Released
	released.Updated = rn.co.cfg.Now()
	notRun := &NotRunError{Reason: NoUpstream, Err: cause}
	err := rn.co.swap(ctx, row.Version(), released)
	if err == nil {
		return Result{}, notRun
	}
	current, found, err := rn.co.read(ctx, row.Key)
	if err != nil || !found {
		return Result{}, &UnknownOutcomeError{Reason: TableUnavailable, RequestNotRun: true, Err: errors.Join(cause, err)}
	}
	if current.Attempt == row.Attempt && current.Fence == row.Fence {
		return Result{}, notRun
	}
	return rn.observe(ctx, current)
}

// resume continues from a row that another request owns. It seals a dispatch
// that has not started and takes over the row.
func (rn *actionRun) resume(ctx context.Context, row Row) (Result, error) {
	if row.State != Reserved {
		return rn.resumeEnded(ctx, row)
	}
	stl, err := rn.co.settleDispatch(ctx, row, false)
	if err == nil && stl.State == bwmodel.SettleSealed {
		return rn.reassign(ctx, row, &RefusedError{Refusal: RefusedStale})
	}
	return rn.outcomeFromAgent(ctx, row, stl, err)
}

// resumeEnded returns the outcome of a row that is finished or broken, or takes
// over a released one.
func (rn *actionRun) resumeEnded(ctx context.Context, row Row) (Result, error) {
	switch row.State {
	case Finished:
		return Result{Response: row.Response, Upstream: row.Upstream, Replayed: true}, nil
	case Released:
		return rn.reassign(ctx, row, &RefusedError{Refusal: RefusedStale})
	}
	return Result{}, &UnknownOutcomeError{Reason: UpstreamFailed, RequestNotRun: true}
}

// resolveStale continues after an agent refused a dispatch with RefusedStale,
// which means that another request has sealed the key.
func (rn *actionRun) resolveStale(ctx context.Context, own Row) (Result, error) {
	row, found, err := rn.co.read(ctx, own.Key)
	if err != nil || !found {
		return Result{}, &UnknownOutcomeError{Reason: TableUnavailable, RequestNotRun: true, Err: err}
	}
	if row.Attempt == own.Attempt && row.State == Reserved {
		// The other request has sealed the row but not taken it over.
		return rn.reassign(ctx, row, &RefusedError{Refusal: RefusedStale})
	}
	return rn.observe(ctx, row)
}

// observe returns the outcome of a row without sealing it or taking it over.
func (rn *actionRun) observe(ctx context.Context, row Row) (Result, error) {
	switch row.State {
	case Finished:
		return Result{Response: row.Response, Upstream: row.Upstream, Replayed: true}, nil
	case Released:
		return Result{}, &NotRunError{Reason: NeverStarted}
	case Broken:
		return Result{}, &UnknownOutcomeError{Reason: UpstreamFailed, RequestNotRun: true}
	}
	stl, err := rn.co.settleDispatch(ctx, row, true)
	if err == nil && stl.State == bwmodel.SettleSealed {
		return Result{}, &NotRunError{Reason: NeverStarted}
	}
	return rn.outcomeFromAgent(ctx, row, stl, err)
}

// outcomeFromAgent converts an agent's response about another request's row to an
// outcome.
func (rn *actionRun) outcomeFromAgent(ctx context.Context, row Row, stl SettleResult, err error) (Result, error) {
	if err != nil {
		if refusalOf(err) == RefusedIncarnation {
			return Result{}, &UnknownOutcomeError{Reason: AgentLost, RequestNotRun: true}
		}
		return Result{}, &UnknownOutcomeError{Reason: AgentUnreachable, RequestNotRun: true, Err: err}
	}
	switch stl.State {
	case bwmodel.SettleDone:
		rn.co.recordResult(ctx, row, Finished, stl.Response)
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

// unreachableError means that an agent that may have a dispatch does not respond.
type unreachableError struct{ err error }

// Error returns the last failure.
func (err *unreachableError) Error() string { return err.err.Error() }

// refusalOf returns the refusal in an error, or "" when the agent may have
// received the dispatch.
func refusalOf(err error) Refusal {
	refusal := new(RefusedError)
	if errors.As(err, &refusal) {
		return refusal.Refusal
	}
	return ""
}
