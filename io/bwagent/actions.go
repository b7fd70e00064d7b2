package bwagent

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"bilberrywick/core/bwaction"
	"bilberrywick/core/bwcontrol"
	"bilberrywick/core/bwmodel"
	"bilberrywick/io/bwrpc"
	"bilberrywick/io/bwwire"
)

// Actions serves the RPCs Agent.Dispatch and Agent.Settle, which run actions at a
// plain service at most once and return their outcome.
type Actions struct {
	cfg     ActionsConfig
	control *bwcontrol.Owner[bwaction.Ledger, ActionsView]
	// slots limits the actions that run concurrently; nil means no limit.
	slots chan struct{}
}

// ActionsConfig configures Actions.
type ActionsConfig struct {
	Ledger bwaction.LedgerConfig
	// RunAction runs an action once, as bwengine.ServiceClient.RunAction does. After an
	// error the action may have run, unless NotSent returns true for the error.
	RunAction func(ctx context.Context, key string, req bwmodel.HTTPRequest) (bwmodel.HTTPResponse, error)
	// NotSent reports whether an error of RunAction means that nothing was sent.
	NotSent func(error) bool
	// Leaving reports whether the agent refuses new work; nil means never.
	Leaving func() bool
	// StateNumber returns the number of the last ticket in effect; nil means 0.
	StateNumber func() bwmodel.TicketNumber
	// Timeout limits the time of one action; 0 means 1 min.
	Timeout time.Duration
	// Slots limits the actions that run concurrently; 0 means no limit.
	Slots int
	// Log receives the errors of actions that may have run; nil discards them.
	Log *slog.Logger
}

// ActionsView holds the published counts of an Actions.
type ActionsView struct {
	// Keys is the number of idempotency keys in the ledger.
	Keys int
	// Running is the number of started actions without an outcome.
	Running int
}

const defaultActionTimeout = time.Minute

// NewActions returns an Actions with an empty ledger.
func NewActions(cfg ActionsConfig) *Actions {
	if cfg.Timeout == 0 {
		cfg.Timeout = defaultActionTimeout
	}
	if cfg.Leaving == nil {
		cfg.Leaving = neverLeaving
	}
	if cfg.StateNumber == nil {
		cfg.StateNumber = zeroStateNumber
	}
	if cfg.Log == nil {
		cfg.Log = slog.New(slog.DiscardHandler)
	}
	act := &Actions{cfg: cfg}
	if cfg.Slots > 0 {
		act.slots = make(chan struct{}, cfg.Slots)
	}
	act.control = bwcontrol.New(bwcontrol.Config[bwaction.Ledger, ActionsView]{
		State: bwaction.NewLedger(cfg.Ledger),
		View:  newActionsView,
	})
	return act
}

// Start starts the goroutine that owns the ledger and ends with the context.
func (act *Actions) Start(ctx context.Context) { act.control.Start(ctx) }

// Register adds Agent.Dispatch and Agent.Settle to a server.
func (act *Actions) Register(srv *bwrpc.Server) {
	bwrpc.HandleUnary(srv, bwwire.AgentDispatch, act.Dispatch)
	bwrpc.HandleUnary(srv, bwwire.AgentSettle, act.Settle)
}

// Snapshot returns the current view; it never blocks.
func (act *Actions) Snapshot() *ActionsView { return act.control.Snapshot() }

// Dispatch runs an action at most once. An error with a code of bwwire means that
// the action was not run by this call. When the context ends, the action continues.
func (act *Actions) Dispatch(ctx context.Context, req *bwwire.DispatchRequest) (*bwwire.DispatchResponse, error) {
	if !act.acquireSlot() {
		return nil, bwrpc.Errorf(bwwire.Overloaded, "all %d slots for actions are taken", cap(act.slots))
	}
	dis := newDispatch(req)
	if err := act.beginDispatch(ctx, dis); err != nil {
		act.releaseSlot()
		return nil, rpcLedgerError(err)
	}
	job := &actionJob{act: act, dis: dis, done: make(chan struct{})}
	go job.run(context.WithoutCancel(ctx))
	select {
	case <-job.done:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if job.state == bwmodel.SettleSealed {
		return nil, bwrpc.Errorf(bwwire.UpstreamUnreachable, "nothing was sent to the upstream: %w", job.err)
	}
	rsp := &bwwire.DispatchResponse{State: job.state, HTTP: job.response, StateNumber: act.cfg.StateNumber()}
	return rsp, nil
}

// Settle returns the state of an action and, unless the request only peeks, seals
// the action if it has not started.
func (act *Actions) Settle(ctx context.Context, req *bwwire.SettleRequest) (*bwwire.SettleResponse, error) {
	var stl bwaction.SettleResult
	var err error
	settleReq := bwaction.SettleRequest{
		Key:         bwaction.Key{Team: req.Team, Name: req.Key},
		Fence:       req.Fence,
		Incarnation: req.Incarnation,
		Expiry:      req.Expiry,
		Peek:        req.Peek,
	}
	doErr := act.control.Do(context.WithoutCancel(ctx), func(led *bwaction.Ledger) { stl, err = led.Settle(settleReq) })
	if doErr != nil {
		return nil, doErr
	}
	if err != nil {
		return nil, rpcLedgerError(err)
	}
	return &bwwire.SettleResponse{State: stl.State, HTTP: stl.Response}, nil
}

// beginDispatch records the dispatch in the ledger. It waits for the ledger even
// after the router has disconnected: the queued change may still be applied, and
// a key that is recorded as started but never run would stay running forever.
func (act *Actions) beginDispatch(ctx context.Context, dis bwaction.Dispatch) error {
	var err error
	doErr := act.control.Do(context.WithoutCancel(ctx), func(led *bwaction.Ledger) {
		led.SetLeaving(act.cfg.Leaving())
		err = led.Begin(dis)
	})
	if doErr != nil {
		return doErr
	}
	return err
}

func (act *Actions) acquireSlot() bool {
	if act.slots == nil {
		return true
	}
	select {
	case act.slots <- struct{}{}:
		return true
	default:
		return false
	}
}

func (act *Actions) releaseSlot() {
	if act.slots != nil {
		<-act.slots
	}
}

// actionJob is one started action; it continues after the router's call has ended.
type actionJob struct {
	act      *Actions
	dis      bwaction.Dispatch
	done     chan struct{}
	state    bwmodel.SettleState
	response bwmodel.HTTPResponse
	err      error
}

func (job *actionJob) run(ctx context.Context) {
	defer close(job.done)
	defer job.act.releaseSlot()
	ctx, cancel := context.WithTimeout(ctx, job.act.cfg.Timeout)
	defer cancel()
	job.response, job.err = job.act.cfg.RunAction(ctx, job.dis.Key.String(), job.dis.HTTP)
	switch {
	case job.err == nil:
		job.state = bwmodel.SettleDone
	case job.act.cfg.NotSent(job.err):
		job.state = bwmodel.SettleSealed
	default:
		job.state = bwmodel.SettleBroken
		job.act.cfg.Log.Warn("action failed and may have run", "Team", job.dis.Key.Team, "Key", job.dis.Key.Name, "Error", job.err)
	}
	// The result must be in the ledger before a response is sent, even after a timeout.
	_ = job.act.control.Do(context.WithoutCancel(ctx), job.recordResult)
}

func (job *actionJob) recordResult(led *bwaction.Ledger) {
	switch job.state {
	case bwmodel.SettleDone:
		led.Finish(job.dis.Key, job.response)
	case bwmodel.SettleSealed:
		led.Abort(job.dis.Key)
	default:
		led.MarkBroken(job.dis.Key)
	}
}

func newDispatch(req *bwwire.DispatchRequest) bwaction.Dispatch {
	return bwaction.Dispatch{
		Key:         bwaction.Key{Team: req.Team, Name: req.Key},
		Service:     req.Service,
		Attempt:     req.Attempt,
		Fence:       req.Fence,
		Incarnation: req.Incarnation,
		Expiry:      req.Expiry,
		HTTP:        req.HTTP,
	}
}

func newActionsView(led *bwaction.Ledger) *ActionsView {
	return &ActionsView{Keys: led.Len(), Running: led.Running()}
}

// rpcLedgerError adds the RPC code for routers to a *bwaction.RefusedError.
func rpcLedgerError(err error) error {
	refused := new(bwaction.RefusedError)
	if !errors.As(err, &refused) {
		return err
	}
	code, known := refusalCodes[refused.Refusal]
	if !known {
		return err
	}
	return bwrpc.Errorf(code, "%w", err)
}

var refusalCodes = map[bwaction.Refusal]bwrpc.Code{
	bwaction.RefusedLeaving:     bwwire.Leaving,
	bwaction.RefusedOverloaded:  bwwire.Overloaded,
	bwaction.RefusedStale:       bwwire.Stale,
	bwaction.RefusedExpired:     bwwire.Expired,
	bwaction.RefusedIncarnation: bwwire.OtherIncarnation,
	bwaction.RefusedDuplicate:   bwwire.Duplicate,
	bwaction.RefusedInvalid:     bwwire.Invalid,
}

func neverLeaving() bool { return false }

func zeroStateNumber() bwmodel.TicketNumber { return 0 }
