package bwaction

import (
	"fmt"
	"time"

	"bilberrywick/core/bwmodel"
)

// Result is the outcome of an action that the upstream answered, whatever the status.
type Result struct {
	Response bwmodel.HTTPResponse
	Upstream bwmodel.UpstreamID
	// Replayed says that an earlier request with the same key ran the action.
	Replayed bool
}

// NotRunError is the outcome of an action that has not run under its key, and
// that this request will not run.
type NotRunError struct {
	Reason     NotRunReason
	RetryAfter time.Duration
	// Err is the cause; it is not unwrapped, so that errors.As finds one outcome only.
	Err error
}

// Error returns the reason.
func (err *NotRunError) Error() string {
	if err.Err != nil {
		return fmt.Sprintf("action not run: %s: %v", err.Reason, err.Err)
	}
	return fmt.Sprintf("action not run: %s", err.Reason)
}

// NotRunReason says why an action was not run.
type NotRunReason string

// Reasons why an action was not run.
const (
	NoUpstream  NotRunReason = "no upstream takes the action"
	NotReserved NotRunReason = "the action could not be reserved"
	// NotAdmitted says that the request was turned away before it was reserved.
	NotAdmitted  NotRunReason = "the request was not admitted"
	NoService    NotRunReason = "there is no plain service of this name"
	NotAllowed   NotRunReason = "the team may not call this service"
	NeverStarted NotRunReason = "the action was never started"
	// KeyReused says that the key belongs to another request body; only the
	// request with the other body may have run.
	KeyReused NotRunReason = "the key was used with another request"
)

// UnknownOutcomeError is the outcome of an action that may have run, or that another
// request with the same key may run or have run.
type UnknownOutcomeError struct {
	Reason UnknownOutcomeReason
	// RequestNotRun says that this request has run nothing and never will, so that
	// only an earlier or concurrent request with the same key can have.
	RequestNotRun bool
	// Err is the cause; it is not unwrapped, so that errors.As finds one outcome only.
	Err error
}

// Error returns the reason.
func (err *UnknownOutcomeError) Error() string {
	if err.Err != nil {
		return fmt.Sprintf("outcome unknown: %s: %v", err.Reason, err.Err)
	}
	return fmt.Sprintf("outcome unknown: %s", err.Reason)
}

// UnknownOutcomeReason says why an outcome is not known.
type UnknownOutcomeReason string

// Reasons why an outcome is not known.
const (
	StillRunning     UnknownOutcomeReason = "the action is running"
	InProgress       UnknownOutcomeReason = "another request with the same key is in progress"
	UpstreamFailed   UnknownOutcomeReason = "the upstream failed after it may have run the action"
	AgentLost        UnknownOutcomeReason = "the agent that had the action has restarted or forgotten it"
	AgentUnreachable UnknownOutcomeReason = "the agent that has the action does not answer"
	TableUnavailable UnknownOutcomeReason = "the table of actions is unavailable"
)
