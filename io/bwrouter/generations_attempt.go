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
	// ended is sent once by the session, when it lets the attempt go.
	ended chan attemptEnd
}

// attemptEnd is how the session judges an attempt.
type attemptEnd struct {
	Outcome bwroute.Outcome
	// Cancel ends the attempt at its agent at once, so that the engine does not
	// work for a caller that may come back.
	Cancel bool
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
	att := &attempt{gns: gns, events: make(chan attemptEvent, attemptBuffer), ended: make(chan attemptEnd, 1)}
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
	stm, err := bwrpc.OpenStream[bwwire.GenerateEvent, bwwire.GenerateRequest](att.ctx, att.gns.cfg.Client, agent, bwwire.AgentGenerate)
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
func (att *attempt) finish(cho bwroute.Choice) {
	fin := <-att.ended
	cho.Finish(fin.Outcome)
	if fin.Cancel {
		att.cancelAt(cho.Upstream.Agent)
	}
}

// end lets the attempt go; only the first call counts.
func (att *attempt) end(fin attemptEnd) {
	select {
	case att.ended <- fin:
	default:
	}
	att.cancel()
}

const cancelTime = 2 * time.Second

// cancelAt tells an agent to end the attempt, so that its engine stops working on it.
func (att *attempt) cancelAt(agent netip.AddrPort) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(att.ctx), cancelTime)
	defer cancel()
	req := &bwwire.CancelRequest{Request: att.start.Request, Epoch: att.start.Epoch, Attempt: att.start.Attempt}
	_, err := bwrpc.Call[bwwire.CancelRequest, bwwire.CancelResponse](ctx, att.gns.cfg.Client, agent, bwwire.AgentCancel, req)
	if err != nil {
		att.gns.cfg.Log.Debug("cancel not delivered", "Request", req.Request, "Agent", agent, "Error", err)
	}
}

// read emits a stream's messages until it ends.
func (att *attempt) read(recv func() (*bwwire.GenerateEvent, error)) {
	for {
		evt, err := recv()
		if err != nil {
			att.emit(attemptEvent{Err: err})
			return
		}
		att.gns.cfg.OnStateNumber(evt.StateNumber)
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

// chooseError says that no engine was found for an attempt.
type chooseError struct{ err error }

// Error returns the reason.
func (err *chooseError) Error() string { return "no engine: " + err.err.Error() }

// Unwrap returns the reason.
func (err *chooseError) Unwrap() error { return err.err }
