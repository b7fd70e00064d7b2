package bwaction

import (
	"fmt"
	"time"

	"bilberrywick/core/bwmodel"
)

// Target is the upstream chosen for an action. Clock is a lower bound of the
// current time on its agent's clock.
type Target struct {
	Upstream    bwmodel.Upstream
	Incarnation bwmodel.Incarnation
	Clock       time.Duration
}

// Dispatch is the request to an agent to run an action.
type Dispatch struct {
	Key         Key
	Service     bwmodel.ServiceID
	Attempt     bwmodel.RequestID
	Fence       bwmodel.Fence
	Incarnation bwmodel.Incarnation
	Expiry      time.Duration
	HTTP        bwmodel.HTTPRequest
}

// SettleRequest is the request to an agent for the outcome of a row's dispatch.
type SettleRequest struct {
	Key         Key
	Fence       bwmodel.Fence
	Incarnation bwmodel.Incarnation
	// Expiry is the expiry of the dispatch that the row permits.
	Expiry time.Duration
	// Peek disables sealing, so that an action that has not started can still start.
	Peek bool
}

// SettleResult is an agent's response to a Dispatch or a SettleRequest.
type SettleResult struct {
	State bwmodel.SettleState
	// Response is set when the state is SettleDone.
	Response bwmodel.HTTPResponse
}

// RefusedError means that an agent did not start a dispatch and never will.
type RefusedError struct {
	Refusal Refusal
	Err     error
}

// Error returns the refusal and its cause, if any.
func (err *RefusedError) Error() string {
	if err.Err != nil {
		return fmt.Sprintf("dispatch refused: %s: %v", err.Refusal, err.Err)
	}
	return fmt.Sprintf("dispatch refused: %s", err.Refusal)
}

// Unwrap returns the cause.
func (err *RefusedError) Unwrap() error { return err.Err }

// Refusal is the reason why an agent refused a dispatch.
type Refusal string

// Refusals of an agent.
const (
	RefusedLeaving     Refusal = "agent is leaving"
	RefusedOverloaded  Refusal = "agent has no room"
	RefusedStale       Refusal = "fence is sealed"
	RefusedExpired     Refusal = "dispatch has expired"
	RefusedIncarnation Refusal = "agent has restarted"
	RefusedDuplicate   Refusal = "key has been started"
	RefusedInvalid     Refusal = "dispatch is invalid"
	// RefusedUnsent means that the agent or upstream could not be connected to.
	RefusedUnsent Refusal = "nothing was sent"
)
