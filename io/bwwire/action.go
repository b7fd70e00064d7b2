package bwwire

import (
	"time"

	"bilberrywick/core/bwmodel"
)

// CallRequest runs an idempotent call.
type CallRequest struct {
	Request     bwmodel.RequestID
	Team        bwmodel.TeamID
	Service     bwmodel.ServiceID
	StateNumber bwmodel.TicketNumber
	HTTP        bwmodel.HTTPRequest
}

// CallResponse answers a CallRequest.
type CallResponse struct {
	HTTP        bwmodel.HTTPResponse
	StateNumber bwmodel.TicketNumber
}

// DispatchRequest runs a non-idempotent action, at most once.
type DispatchRequest struct {
	Team        bwmodel.TeamID
	Key         string
	Service     bwmodel.ServiceID
	Attempt     bwmodel.RequestID
	Fence       bwmodel.Fence
	Incarnation bwmodel.Incarnation
	// Expiry is a time on the agent's own monotonic clock, counted from its start.
	Expiry      time.Duration
	StateNumber bwmodel.TicketNumber
	HTTP        bwmodel.HTTPRequest
}

// DispatchResponse is the whole answer of the upstream.
type DispatchResponse struct {
	// State is SettleDone, or SettleBroken when the upstream failed after it may
	// have run the action.
	State       bwmodel.SettleState
	HTTP        bwmodel.HTTPResponse
	StateNumber bwmodel.TicketNumber
}

// SettleRequest asks what became of an action, and seals it against fences up
// to Fence when it has not started.
type SettleRequest struct {
	Team        bwmodel.TeamID
	Key         string
	Fence       bwmodel.Fence
	Incarnation bwmodel.Incarnation
	// Expiry is the expiry of the dispatch in question, on the agent's own clock.
	Expiry time.Duration
	// Peek leaves an action that has not started able to start.
	Peek bool
}

// SettleResponse answers a SettleRequest.
type SettleResponse struct {
	State bwmodel.SettleState
	// HTTP is set when the action is done.
	HTTP bwmodel.HTTPResponse
}
