package bwrouter

import (
	"context"
	"net/netip"
	"time"

	"bilberrywick/core/bwmodel"
	"bilberrywick/core/bwroute"
	"bilberrywick/io/bwrpc"
	"bilberrywick/io/bwwire"
)

// attempt is one stream of a generation from an agent. Its goroutine chooses
// the engine and reads the stream; the session's goroutine takes the events.
type attempt struct {
	gns    *Generations
	ctx    context.Context
	cancel context.CancelFunc
	events chan attemptEvent
	number bwmodel.Attempt
	choose bwroute.Request
	start  bwwire.GenerateRequest
	// outcome is sent once by the session, when it releases the attempt.
	outcome chan bwroute.Outcome
}

// attemptEvent is the choice of an engine, a message of the stream, or the
// stream's end.
type attemptEvent struct {
	At     time.Time
	Choice *bwroute.Choice
	Output *bwwire.GenerateEvent
	Err    error
}

// attemptBuffer lets the reader go on while the session writes to its caller.
const attemptBuffer = 16

func newAttempt(ctx context.Context, gns *Generations) *attempt {
	att := &attempt{gns: gns, events: make(chan attemptEvent, attemptBuffer), outcome: make(chan bwroute.Outcome, 1)}
	att.ctx, att.cancel = context.WithCancel(ctx)
	return att
}

// run starts a new stream on an engine that the chooser picks.
func (att *attempt) run() {
	defer att.cancel()
	cho, err := att.gns.cfg.Choose(att.ctx, att.choose)
	if err != nil {
		att.emit(attemptEvent{Err: &chooseError{err: err}})
		return
	}
	defer att.finish(cho)
	if !att.emit(attemptEvent{Choice: &cho}) {
		return
	}
	agent := cho.Upstream.Agent
	stm, err := bwrpc.Open[bwwire.GenerateEvent, bwwire.GenerateRequest](att.ctx, att.gns.cfg.Client, agent, bwwire.AgentGenerate)
	if err == nil {
		err = stm.Send(&att.start)
	}
	if err != nil {
		att.emit(attemptEvent{Err: err})
		return
	}
	defer func() { _ = stm.Close() }()
	att.read(stm.Recv)
}

// finish reports to the chooser once the session knows how the attempt went.
func (att *attempt) finish(cho bwroute.Choice) { cho.Finish(<-att.outcome) }

// read emits a stream's messages until it ends.
func (att *attempt) read(recv func() (*bwwire.GenerateEvent, error)) {
	for {
		evt, err := recv()
		if err != nil {
			att.emit(attemptEvent{Err: err})
			return
		}
		att.gns.cfg.SawState(evt.StateNumber)
		if !att.emit(attemptEvent{Output: evt}) || evt.Finish != "" {
			return
		}
	}
}

func (att *attempt) emit(evt attemptEvent) bool {
	evt.At = att.gns.cfg.Now()
	select {
	case att.events <- evt:
		return true
	case <-att.ctx.Done():
		return false
	}
}

// canceler tells an agent to end an attempt; it is not waited for.
type canceler struct {
	gns   *Generations
	agent netip.AddrPort
	req   bwwire.CancelRequest
}

const cancelTime = 2 * time.Second

func (cnc *canceler) run(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cancelTime)
	defer cancel()
	_, err := bwrpc.Call[bwwire.CancelRequest, bwwire.CancelResponse](ctx, cnc.gns.cfg.Client, cnc.agent, bwwire.AgentCancel, &cnc.req)
	if err != nil {
		cnc.gns.cfg.Log.Debug("cancel not delivered", "Request", cnc.req.Request, "Agent", cnc.agent, "Error", err)
	}
}

// chooseError says that no engine was found for an attempt.
type chooseError struct{ err error }

// Error returns the reason.
func (err *chooseError) Error() string { return "no engine: " + err.err.Error() }

// Unwrap returns the reason.
func (err *chooseError) Unwrap() error { return err.err }
