package bwadmit

import (
	"fmt"
	"time"

	"bilberrywick/core/bwmodel"
)

// Request describes a request for admission.
type Request struct {
	ID      bwmodel.RequestID
	Service bwmodel.ServiceID
	Team    bwmodel.TeamID
	Class   bwmodel.WorkClass
	// Tokens is the expected work in tokens; 1 for a call to a plain service.
	Tokens int
	// Deadline is the time until which the request may wait. The zero time means
	// the service's deadline, which applies to prompt work only.
	Deadline time.Time
	// Resumed is set for work that was preempted after it had started; it is not
	// refused when the queue is full.
	Resumed bool
}

// Grant is the permission to run a request.
type Grant struct {
	// Finish releases the slot and reports the tokens produced; it is called once.
	Finish func(tokens int)
	// Preempt is closed when the request should stop and queue again; it may be nil.
	Preempt <-chan struct{}
	// Progress reports the tokens produced so far, so that the team is charged for
	// a request longer than expected and the request counts as long. Calling it is
	// optional.
	Progress func(tokens int)
	// Waited is the time spent in the queue.
	Waited time.Duration
}

// RefusedError is returned for a request that was not started and will not be.
type RefusedError struct {
	Reason Reason
	// RetryAfter is the estimated time after which a retry may be admitted; 0
	// when it is unknown.
	RetryAfter time.Duration
}

// Error returns the reason and the time to wait before a retry.
func (err *RefusedError) Error() string {
	return fmt.Sprintf("not admitted: %s, retry after %v", err.Reason, err.RetryAfter)
}

// Reason is the reason for which a request was refused.
type Reason string

// Reasons for a refusal. Displaced is also used when the caller withdraws the
// request, but then no caller receives the refusal.
const (
	QueueFull      Reason = "queue full"
	DeadlinePassed Reason = "deadline passed"
	TeamLimit      Reason = "team limit reached"
	Displaced      Reason = "gave way to prompt work"
	ShuttingDown   Reason = "shutting down"
)
