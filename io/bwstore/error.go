package bwstore

import (
	"errors"
	"fmt"
	"net"
	"net/http"

	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"
	"github.com/aws/smithy-go"
	smithyhttp "github.com/aws/smithy-go/transport/http"
)

// Errors of the platform's clients.
var (
	// ErrUnavailable means that a read failed, or that a write was certainly not applied.
	ErrUnavailable = errors.New("platform is unavailable")
	// ErrOutcomeUnknown means that a write may or may not have been applied.
	ErrOutcomeUnknown = errors.New("outcome of the write is unknown")
	// ErrConflict means that a condition failed, so nothing was applied.
	ErrConflict = errors.New("row was not as expected")
	// ErrInvalid means that the request or its response was invalid, so that a retry
	// is useless.
	ErrInvalid = errors.New("platform refused the request")
)

// ConflictError lists the indexes of a transaction's writes whose conditions failed.
type ConflictError struct{ Failed []int }

// Error returns the indexes of the failed writes.
func (err *ConflictError) Error() string {
	return fmt.Sprintf("writes %v: %v", err.Failed, ErrConflict)
}

// Unwrap returns ErrConflict.
func (err *ConflictError) Unwrap() error { return ErrConflict }

// notApplied has the error codes that the platform returns before it applies anything.
var notApplied = map[string]bool{
	"ProvisionedThroughputExceededException": true,
	"RequestLimitExceeded":                   true,
	"ThrottlingException":                    true,
	"TransactionConflictException":           true,
	"SlowDown":                               true,
}

// transactionInProgress is the code of an error that has a client error's status,
// although the same write may be in progress.
const transactionInProgress = "TransactionInProgressException"

const conditionFailed = "ConditionalCheckFailed"

// readError classifies the error of a read, which changes nothing.
func readError(op string, err error) error {
	if isRejected(err) {
		return fmt.Errorf("%s: %w: %w", op, ErrInvalid, err)
	}
	return fmt.Errorf("%s: %w: %w", op, ErrUnavailable, err)
}

// writeError classifies the error of a write. Only an explicit response, or a
// connection that was never opened, proves that nothing was applied.
func writeError(op string, err error) error {
	var canceled *types.TransactionCanceledException
	if errors.As(err, &canceled) {
		return canceledError(op, canceled)
	}
	var apiErr smithy.APIError
	switch {
	case isDialError(err), errors.As(err, &apiErr) && notApplied[apiErr.ErrorCode()], statusOf(err) == http.StatusServiceUnavailable:
		return fmt.Errorf("%s: %w: %w", op, ErrUnavailable, err)
	case isRejected(err):
		return fmt.Errorf("%s: %w: %w", op, ErrInvalid, err)
	}
	return fmt.Errorf("%s: %w: %w", op, ErrOutcomeUnknown, err)
}

func canceledError(op string, canceled *types.TransactionCanceledException) error {
	var failed []int
	for ix, reason := range canceled.CancellationReasons {
		if reason.Code != nil && *reason.Code == conditionFailed {
			failed = append(failed, ix)
		}
	}
	if len(failed) > 0 {
		return fmt.Errorf("%s: %w", op, &ConflictError{Failed: failed})
	}
	// The cause is another one, such as a concurrent transaction on the same row.
	return fmt.Errorf("%s: %w: %w", op, ErrUnavailable, canceled)
}

// isDialError reports whether no connection was opened, so that nothing was sent.
func isDialError(err error) bool {
	var opErr *net.OpError
	return errors.As(err, &opErr) && opErr.Op == "dial"
}

// isRejected reports whether the platform rejected the request as invalid.
func isRejected(err error) bool {
	var apiErr smithy.APIError
	if !errors.As(err, &apiErr) || notApplied[apiErr.ErrorCode()] || apiErr.ErrorCode() == transactionInProgress {
		return false
	}
	status := statusOf(err)
	return status >= http.StatusBadRequest && status < http.StatusInternalServerError
}

func statusOf(err error) int {
	var rspErr *smithyhttp.ResponseError
	if !errors.As(err, &rspErr) {
		return 0
	}
	return rspErr.HTTPStatusCode()
}
