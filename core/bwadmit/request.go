package bwadmit

import (
	"fmt"
	"time"

	"bilberrywick/core/bwmodel"
)

// Request asks for permission to start work.
type Request struct {
	ID      bwmodel.RequestID
	Service bwmodel.ServiceID
	Team    bwmodel.TeamID
	Class   bwmodel.WorkClass
	// Tokens is the expected work; 1 for a call to a plain service.
	Tokens int
	// Deadline ends the wait; the zero time means the service's own deadline.
	Deadline time.Time
	// Resumed says that the work had started before and gave way, so that it is
	// not refused for a full queue.
	Resumed bool
}

// Grant is the permission to start.
type Grant struct {
	// Finish ends the permission with the work done in tokens; it is called once.
	Finish func(tokens int)
	// Preempt is closed when the work is asked to give way; it may be nil.
	Preempt <-chan struct{}
	// Progress reports the tokens produced so far, so that work longer than
	// expected is charged and placed as what it is; calling it is optional.
	Progress func(tokens int)
	// Waited is the time spent in the queue.
	Waited time.Duration
}

// RefusedError says that the work was not started and never will be.
type RefusedError struct {
	Reason     Reason
	RetryAfter time.Duration
}

// Error returns the reason and the time to come back.
func (err *RefusedError) Error() string {
	return fmt.Sprintf("not admitted: %s, retry after %v", err.Reason, err.RetryAfter)
}

// Reason says why work was refused.
type Reason string

// Reasons for a refusal.
const (
	QueueFull      Reason = "queue full"
	DeadlinePassed Reason = "deadline passed"
	TeamLimit      Reason = "team limit reached"
	Displaced      Reason = "gave way to prompt work"
	ShuttingDown   Reason = "shutting down"
)
