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
// the engine and reads the stream; the session's goroutine handles the events.
type attempt struct {
	gns           *Generations
	ctx           context.Context
	cancel        context.CancelFunc
	events        chan attemptEvent
	number        bwmodel.Attempt
	chooseRequest bwroute.Request
	startRequest  bwwire.GenerateRequest
	// ended receives one value from the session when it ends the attempt.
	ended chan attemptEnd
}

// attemptEnd is the result with which the session ends an attempt.
type attemptEnd struct {
	Outcome bwroute.Outcome
	// Cancel ends the attempt at its agent at once, so that the engine does not work
	// on it any longer. Otherwise the agent keeps it for a caller that may reconnect.
	Cancel bool
}

// attemptEvent is the choice of an engine, a message of the stream, or the error
// that ended the attempt.
type attemptEvent struct {
	At     time.Time
	Choice *bwroute.Choice
	Output *bwwire.GenerateEvent
	Err    error
}

// attemptBuffer is the number of events that the reader can queue while the session
// writes to its caller.
const attemptBuffer = 16

func newAttempt(ctx context.Context, gns *Generations) *attempt {
	att := &attempt{gns: gns, events: make(chan attemptEvent, attemptBuffer), ended: make(chan attemptEnd, 1)}
	att.ctx, att.cancel = context.WithCancel(ctx)
	return att
}

// run starts a new stream on the engine that the chooser returns.
func (att *attempt) run() {
	defer att.cancel()
	cho, err := att.gns.cfg.Choose(att.ctx, att.chooseRequest)
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
		err = stm.Send(&att.startRequest)
	}
	if err != nil {
		att.emit(attemptEvent{Err: err})
		return
	}
	defer func() { _ = stm.Close() }()
	att.read(stm.Recv)
}

// finish waits for the session's result and reports it to the chooser.
func (att *attempt) finish(cho bwroute.Choice) {
	fin := <-att.ended
	cho.Finish(fin.Outcome)
	if fin.Cancel {
		att.cancelOnAgent(cho.Upstream.Agent)
	}
}

// end ends the attempt with a result; later calls have no effect.
func (att *attempt) end(fin attemptEnd) {
	select {
	case att.ended <- fin:
	default:
	}
	att.cancel()
}

const cancelTimeout = 2 * time.Second

// cancelOnAgent sends a cancel request to the agent, so that its engine stops the attempt.
func (att *attempt) cancelOnAgent(agent netip.AddrPort) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(att.ctx), cancelTimeout)
	defer cancel()
	req := &bwwire.CancelRequest{Request: att.startRequest.Request, Epoch: att.startRequest.Epoch, Attempt: att.startRequest.Attempt}
	_, err := bwrpc.Call[bwwire.CancelRequest, bwwire.CancelResponse](ctx, att.gns.cfg.Client, agent, bwwire.AgentCancel, req)
	if err != nil {
		att.gns.cfg.Log.Debug("canceling the attempt at its agent failed", "Request", req.Request, "Agent", agent, "Error", err)
	}
}

// read emits a stream's messages until the stream ends.
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

// chooseError means that no engine was found for an attempt.
type chooseError struct{ err error }

// Error returns the reason.
func (err *chooseError) Error() string { return "no engine: " + err.err.Error() }

// Unwrap returns the reason.
func (err *chooseError) Unwrap() error { return err.err }
