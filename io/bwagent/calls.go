package bwagent

import (
	"context"

	"bilberrywick/core/bwmodel"
	"bilberrywick/io/bwrpc"
	"bilberrywick/io/bwwire"
)

// Calls serves the RPC Agent.Call, which forwards idempotent calls to a plain service.
type Calls struct{ cfg CallsConfig }

// CallsConfig configures Calls.
type CallsConfig struct {
	// Call runs an idempotent call, as bwengine.ServiceClient.Call does.
	Call func(context.Context, bwmodel.HTTPRequest) (bwmodel.HTTPResponse, error)
	// NotSent reports whether an error of Call means that nothing was sent to the
	// service; nil means never.
	NotSent func(error) bool
	// Leaving reports whether the agent refuses new work; nil means never.
	Leaving func() bool
	// StateNumber returns the number of the last ticket in effect; nil means 0.
	StateNumber func() bwmodel.TicketNumber
}

// NewCalls returns a Calls with defaults for unset optional fields.
func NewCalls(cfg CallsConfig) *Calls {
	if cfg.Leaving == nil {
		cfg.Leaving = neverLeaving
	}
	if cfg.NotSent == nil {
		cfg.NotSent = assumeSent
	}
	if cfg.StateNumber == nil {
		cfg.StateNumber = zeroStateNumber
	}
	return &Calls{cfg: cfg}
}

// Register adds Agent.Call to a server.
func (cls *Calls) Register(srv *bwrpc.Server) { bwrpc.HandleUnary(srv, bwwire.AgentCall, cls.Call) }

// Call runs an idempotent call and ends it when the router cancels the RPC. It
// returns an error with the code Leaving while the agent is leaving, with
// UpstreamUnreachable when nothing was sent to the service, and with UpstreamFailed
// when the call failed otherwise.
func (cls *Calls) Call(ctx context.Context, req *bwwire.CallRequest) (*bwwire.CallResponse, error) {
	if cls.cfg.Leaving() {
		return nil, bwrpc.Errorf(bwwire.Leaving, "the agent is leaving")
	}
	rsp, err := cls.cfg.Call(ctx, req.HTTP)
	if err != nil && cls.cfg.NotSent(err) {
		// The upstream did no work, so the router's retry at another upstream is not
		// charged to its retry budget.
		return nil, bwrpc.Errorf(bwwire.UpstreamUnreachable, "call: %w", err)
	}
	if err != nil {
		return nil, bwrpc.Errorf(bwwire.UpstreamFailed, "call: %w", err)
	}
	return &bwwire.CallResponse{HTTP: rsp, StateNumber: cls.cfg.StateNumber()}, nil
}

func assumeSent(error) bool { return false }
