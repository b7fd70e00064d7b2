package bwaction

import (
	"fmt"
	"time"

	"bilberrywick/core/bwmodel"
)

// Result is the response of an upstream to an action, with any HTTP status.
type Result struct {
	Response bwmodel.HTTPResponse
	Upstream bwmodel.UpstreamID
	// Replayed reports whether an earlier request with the same key ran the action.
	Replayed bool
}

// NotRunError is returned when the action has not run under its key and this
// request will not run it.
type NotRunError struct {
	Reason NotRunReason
	// RetryAfter is the recommended wait before a retry; 0 means none.
	RetryAfter time.Duration
	// Err is the cause; it is not unwrapped, so that errors.As finds one outcome only.
	Err error
}

// Error returns the reason and its cause, if any.
func (err *NotRunError) Error() string {
	if err.Err != nil {
		return fmt.Sprintf("action not run: %s: %v", err.Reason, err.Err)
	}
	return fmt.Sprintf("action not run: %s", err.Reason)
}

// NotRunReason is the reason why an action was not run.
type NotRunReason string

// Reasons why an action was not run.
const (
	NoUpstream  NotRunReason = "no upstream takes the action"
	NotReserved NotRunReason = "the action could not be reserved"
	// NotAdmitted means that admission control refused the request before its
	// reservation.
	NotAdmitted  NotRunReason = "the request was not admitted"
	NoService    NotRunReason = "there is no plain service of this name"
	NotAllowed   NotRunReason = "the team may not call this service"
	NeverStarted NotRunReason = "the action was never started"
	// KeyReused means that the key was used with a different request; only that
	// request may have run.
	KeyReused NotRunReason = "the key was used with another request"
)

// UnknownOutcomeError is returned when the action may have run, or when another
// request with the same key may run it or have run it.
type UnknownOutcomeError struct {
	Reason UnknownOutcomeReason
	// RequestNotRun reports that this request has run nothing and never will, so
	// that only an earlier or concurrent request with the same key can have.
	RequestNotRun bool
	// Err is the cause; it is not unwrapped, so that errors.As finds one outcome only.
	Err error
}

// Error returns the reason and its cause, if any.
func (err *UnknownOutcomeError) Error() string {
	if err.Err != nil {
		return fmt.Sprintf("outcome unknown: %s: %v", err.Reason, err.Err)
	}
	return fmt.Sprintf("outcome unknown: %s", err.Reason)
}

// UnknownOutcomeReason is the reason why an outcome is unknown.
type UnknownOutcomeReason string

// Reasons why an outcome is unknown.
const (
	StillRunning     UnknownOutcomeReason = "the action is running"
	InProgress       UnknownOutcomeReason = "another request with the same key is in progress"
	UpstreamFailed   UnknownOutcomeReason = "the upstream failed after it may have run the action"
	AgentLost        UnknownOutcomeReason = "the agent that had the action has restarted or forgotten it"
	AgentUnreachable UnknownOutcomeReason = "the agent that has the action does not answer"
	TableUnavailable UnknownOutcomeReason = "the table of actions is unavailable"
)
