package bwagent

import (
	"context"

	"bilberrywick/core/bwmodel"
	"bilberrywick/io/bwrpc"
	"bilberrywick/io/bwwire"
)

// Calls serves Agent.Call.
type Calls struct{ cfg CallsConfig }

// CallsConfig configures a Calls.
type CallsConfig struct {
	// Call runs an idempotent call, as bwengine.ServiceClient.Call does.
	Call func(context.Context, bwmodel.HTTPRequest) (bwmodel.HTTPResponse, error)
	// NotSent reports whether an error of Call says that nothing was sent; nil
	// means never.
	NotSent func(error) bool
	// Leaving reports whether the agent refuses new work; nil means never.
	Leaving func() bool
	// StateNumber returns the number of the tickets in effect; nil means 0.
	StateNumber func() bwmodel.TicketNumber
}

// NewCalls returns a Calls.
func NewCalls(cfg CallsConfig) *Calls {
	if cfg.Leaving == nil {
		cfg.Leaving = never
	}
	if cfg.NotSent == nil {
		cfg.NotSent = sentAlways
	}
	if cfg.StateNumber == nil {
		cfg.StateNumber = noState
	}
	return &Calls{cfg: cfg}
}

// Register adds the method to a server.
func (cls *Calls) Register(srv *bwrpc.Server) { bwrpc.HandleUnary(srv, bwwire.AgentCall, cls.Call) }

// Call runs an idempotent call; it ends when the router cancels it.
func (cls *Calls) Call(ctx context.Context, req *bwwire.CallRequest) (*bwwire.CallResponse, error) {
	if cls.cfg.Leaving() {
		return nil, bwrpc.Errorf(bwwire.Leaving, "the agent is leaving")
	}
	rsp, err := cls.cfg.Call(ctx, req.HTTP)
	if err != nil && cls.cfg.NotSent(err) {
		// The router needs no budget to go elsewhere, since this cost no upstream anything.
		return nil, bwrpc.Errorf(bwwire.UpstreamUnreachable, "call: %w", err)
	}
	if err != nil {
		return nil, bwrpc.Errorf(bwwire.UpstreamFailed, "call: %w", err)
	}
	return &bwwire.CallResponse{HTTP: rsp, StateNumber: cls.cfg.StateNumber()}, nil
}

func sentAlways(error) bool { return false }
