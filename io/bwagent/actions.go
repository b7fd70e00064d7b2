package bwagent

import (
	"context"
	"errors"
	"time"

	"bilberrywick/core/bwaction"
	"bilberrywick/core/bwcontrol"
	"bilberrywick/core/bwmodel"
	"bilberrywick/io/bwrpc"
	"bilberrywick/io/bwwire"
)

// Actions serves Agent.Dispatch and Agent.Settle.
type Actions struct {
	cfg ActionsConfig
	own *bwcontrol.Owner[bwaction.Ledger, ActionsView]
	// slots bounds the actions that run at a time; nil means no bound.
	slots chan struct{}
}

// ActionsConfig configures an Actions.
type ActionsConfig struct {
	Ledger bwaction.LedgerConfig
	// RunAction runs an action once, as bwengine.Service.RunAction does; an error for which
	// NotSent holds has run nothing.
	RunAction func(ctx context.Context, key string, req bwmodel.HTTPRequest) (bwmodel.HTTPResponse, error)
	// NotSent reports whether an error of Act says that nothing was sent.
	NotSent func(error) bool
	// Leaving reports whether the agent refuses new work; nil means never.
	Leaving func() bool
	// StateNumber returns the number of the tickets in effect; nil means 0.
	StateNumber func() bwmodel.TicketNumber
	// Timeout bounds one action; 0 means 1 min.
	Timeout time.Duration
	// Slots bounds the actions that run at a time; 0 means no bound.
	Slots int
}

// ActionsView is what is published of the actions.
type ActionsView struct {
	// Keys is the number of keys kept.
	Keys int
	// Running is the number of actions that the upstream has not answered.
	Running int
}

const defaultActionTimeout = time.Minute

// NewActions returns an Actions with an empty ledger.
func NewActions(cfg ActionsConfig) *Actions {
	if cfg.Timeout == 0 {
		cfg.Timeout = defaultActionTimeout
	}
	if cfg.Leaving == nil {
		cfg.Leaving = never
	}
	if cfg.StateNumber == nil {
		cfg.StateNumber = noState
	}
	act := &Actions{cfg: cfg}
	if cfg.Slots > 0 {
		act.slots = make(chan struct{}, cfg.Slots)
	}
	act.own = bwcontrol.New(bwcontrol.Config[bwaction.Ledger, ActionsView]{
		State: bwaction.NewLedger(cfg.Ledger),
		View:  viewLedger,
	})
	return act
}

// Start runs the goroutine that owns the ledger until the context ends.
func (act *Actions) Start(ctx context.Context) { act.own.Start(ctx) }

// Register adds the methods to a server.
func (act *Actions) Register(srv *bwrpc.Server) {
	bwrpc.HandleUnary(srv, bwwire.AgentDispatch, act.Dispatch)
	bwrpc.HandleUnary(srv, bwwire.AgentSettle, act.Settle)
}

// Snapshot returns the current view; it never blocks.
func (act *Actions) Snapshot() *ActionsView { return act.own.Snapshot() }

// Dispatch runs an action at most once; an error with a code of bwwire has run nothing.
func (act *Actions) Dispatch(ctx context.Context, req *bwwire.DispatchRequest) (*bwwire.DispatchResponse, error) {
	if !act.acquire() {
		return nil, bwrpc.Errorf(bwwire.Overloaded, "all %d slots for actions are taken", cap(act.slots))
	}
	dis := dispatchOf(req)
	if err := act.begin(ctx, dis); err != nil {
		act.release()
		return nil, refusal(err)
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

// Settle tells what became of an action and seals it if it has not started.
func (act *Actions) Settle(ctx context.Context, req *bwwire.SettleRequest) (*bwwire.SettleResponse, error) {
	var stl bwaction.SettleResult
	var err error
	ask := bwaction.SettleRequest{
		Key:         bwaction.Key{Team: req.Team, Name: req.Key},
		Fence:       req.Fence,
		Incarnation: req.Incarnation,
		Expiry:      req.Expiry,
		Peek:        req.Peek,
	}
	post := act.own.Do(context.WithoutCancel(ctx), func(led *bwaction.Ledger) { stl, err = led.Settle(ask) })
	if post != nil {
		return nil, post
	}
	if err != nil {
		return nil, refusal(err)
	}
	return &bwwire.SettleResponse{State: stl.State, HTTP: stl.Response}, nil
}

// begin waits for the ledger even when the router has gone: a change that is
// queued may be applied, and a started key that nobody runs would stay running.
func (act *Actions) begin(ctx context.Context, dis bwaction.Dispatch) error {
	var err error
	post := act.own.Do(context.WithoutCancel(ctx), func(led *bwaction.Ledger) {
		led.SetLeaving(act.cfg.Leaving())
		err = led.Begin(dis)
	})
	if post != nil {
		return post
	}
	return err
}

func (act *Actions) acquire() bool {
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

func (act *Actions) release() {
	if act.slots != nil {
		<-act.slots
	}
}

// actionJob is one started action; it outlives the router's call.
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
	defer job.act.release()
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
	}
	// The result must be in the ledger before anyone is told, even after a timeout.
	_ = job.act.own.Do(context.WithoutCancel(ctx), job.record)
}

func (job *actionJob) record(led *bwaction.Ledger) {
	switch job.state {
	case bwmodel.SettleDone:
		led.Finish(job.dis.Key, job.response)
	case bwmodel.SettleSealed:
		led.Abort(job.dis.Key)
	default:
		led.MarkBroken(job.dis.Key)
	}
}

func dispatchOf(req *bwwire.DispatchRequest) bwaction.Dispatch {
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

func viewLedger(led *bwaction.Ledger) *ActionsView {
	return &ActionsView{Keys: led.Len(), Running: led.Running()}
}

// refusal gives an error of the ledger the code that routers read.
func refusal(err error) error {
	ref := new(bwaction.RefusedError)
	if !errors.As(err, &ref) {
		return err
	}
	code, known := refusalCodes[ref.Refusal]
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

func never() bool { return false }

func noState() bwmodel.TicketNumber { return 0 }
