package bwwire

import (
	"time"

	"bilberrywick/core/bwmodel"
)

// CallRequest runs an idempotent HTTP request on an agent's upstream.
type CallRequest struct {
	Request     bwmodel.RequestID
	Team        bwmodel.TeamID
	Service     bwmodel.ServiceID
	StateNumber bwmodel.TicketNumber
	HTTP        bwmodel.HTTPRequest
}

// CallResponse carries the upstream's response to a CallRequest.
type CallResponse struct {
	HTTP        bwmodel.HTTPResponse
	StateNumber bwmodel.TicketNumber
}

// DispatchRequest runs a non-idempotent action on an agent's upstream, at most once.
type DispatchRequest struct {
	Team        bwmodel.TeamID
	Key         string
	Service     bwmodel.ServiceID
	Attempt     bwmodel.RequestID
	Fence       bwmodel.Fence
	Incarnation bwmodel.Incarnation
	// Expiry is a time on the agent's monotonic clock, counted from the agent's start.
	Expiry      time.Duration
	StateNumber bwmodel.TicketNumber
	HTTP        bwmodel.HTTPRequest
}

// DispatchResponse carries the upstream's complete response.
type DispatchResponse struct {
	// State is SettleDone, or SettleBroken when the upstream failed after it may
	// have run the action.
	State       bwmodel.SettleState
	HTTP        bwmodel.HTTPResponse
	StateNumber bwmodel.TicketNumber
}

// SettleRequest requests the outcome of an action. An action that has not
// started is sealed against fences up to Fence.
type SettleRequest struct {
	Team        bwmodel.TeamID
	Key         string
	Fence       bwmodel.Fence
	Incarnation bwmodel.Incarnation
	// Expiry is the expiry of the action's dispatch, on the agent's monotonic clock.
	Expiry time.Duration
	// Peek requests the outcome only: an action that has not started isn't sealed.
	Peek bool
}

// SettleResponse carries the outcome of an action.
type SettleResponse struct {
	State bwmodel.SettleState
	// HTTP is set when the action is done.
	HTTP bwmodel.HTTPResponse
}
