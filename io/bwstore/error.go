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
	// ErrUnavailable says that a read failed, or that a write was certainly not applied.
	ErrUnavailable = errors.New("platform is unavailable")
	// ErrOutcomeUnknown says that a write may or may not have been applied.
	ErrOutcomeUnknown = errors.New("outcome of the write is unknown")
	// ErrConflict says that a condition failed, so that nothing was applied.
	ErrConflict = errors.New("row was not as expected")
	// ErrInvalid says that the platform refused the request itself, so that
	// repeating it is of no use.
	ErrInvalid = errors.New("platform refused the request")
)

// ConflictError lists the writes of a transaction whose conditions failed.
type ConflictError struct{ Failed []int }

// Error names the writes by their index.
func (err *ConflictError) Error() string {
	return fmt.Sprintf("writes %v: %v", err.Failed, ErrConflict)
}

// Unwrap returns ErrConflict.
func (err *ConflictError) Unwrap() error { return ErrConflict }

// Names of errors of the table service that are returned before anything is applied.
var notApplied = map[string]bool{
	"ProvisionedThroughputExceededException": true,
	"RequestLimitExceeded":                   true,
	"ThrottlingException":                    true,
	"TransactionConflictException":           true,
	"SlowDown":                               true,
}

// inProgress is refused with a client error although the same write may be under way.
const inProgress = "TransactionInProgressException"

const conditionFailed = "ConditionalCheckFailed"

// readError translates the error of a read, which changes nothing.
func readError(op string, err error) error {
	if refused(err) {
		return fmt.Errorf("%s: %w: %w", op, ErrInvalid, err)
	}
	return fmt.Errorf("%s: %w: %w", op, ErrUnavailable, err)
}

// writeError translates the error of a write. Only an answer that says so, or a
// connection that was never made, proves that nothing was applied.
func writeError(op string, err error) error {
	var canceled *types.TransactionCanceledException
	if errors.As(err, &canceled) {
		return canceledError(op, canceled)
	}
	var api smithy.APIError
	switch {
	case notSent(err), errors.As(err, &api) && notApplied[api.ErrorCode()], statusOf(err) == http.StatusServiceUnavailable:
		return fmt.Errorf("%s: %w: %w", op, ErrUnavailable, err)
	case refused(err):
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
	// Canceled for another reason, such as a transaction on the same row.
	return fmt.Errorf("%s: %w: %w", op, ErrUnavailable, canceled)
}

// notSent reports whether no connection was made, so that nothing was sent.
func notSent(err error) bool {
	var opErr *net.OpError
	return errors.As(err, &opErr) && opErr.Op == "dial"
}

// refused reports whether the platform found the request itself wrong.
func refused(err error) bool {
	var api smithy.APIError
	if !errors.As(err, &api) || notApplied[api.ErrorCode()] || api.ErrorCode() == inProgress {
		return false
	}
	status := statusOf(err)
	return status >= http.StatusBadRequest && status < http.StatusInternalServerError
}

func statusOf(err error) int {
	var rsp *smithyhttp.ResponseError
	if !errors.As(err, &rsp) {
		return 0
	}
	return rsp.HTTPStatusCode()
}
