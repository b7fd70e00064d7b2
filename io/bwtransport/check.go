package bwtransport

import (
	"errors"
	"fmt"
)

// ErrInvalidStatus means that a response has a status that no final response may have.
var ErrInvalidStatus = errors.New("invalid status")

// Reason returns the text of the error of this package that err wraps, or an empty string.
func Reason(err error) string {
	if errors.Is(err, ErrInvalidStatus) {
		return ErrInvalidStatus.Error()
	}
	return ""
}

// Range of the statuses of final responses (RFC 9110, section 15).
const (
	minFinalStatus = 200
	maxFinalStatus = 599
)

// CheckStatus returns ErrInvalidStatus unless a status is that of a final response.
func CheckStatus(status int) error {
	if status < minFinalStatus || status > maxFinalStatus {
		return fmt.Errorf("%w %d", ErrInvalidStatus, status)
	}
	return nil
}
