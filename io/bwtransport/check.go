package bwtransport

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
)

// Errors of responses.
var (
	// ErrInvalidStatus means that a response has a status that no final response may have.
	ErrInvalidStatus = errors.New("invalid status")
	// ErrInvalidFieldName means that the name of a field holds a byte that no name may hold.
	ErrInvalidFieldName = errors.New("invalid field name")
	// ErrIncomplete means that a body without framing ended before the request was written.
	ErrIncomplete = errors.New("response ended before its request was written")
)

// Reason returns the text of the error of this package that err wraps, or an empty string.
func Reason(err error) string {
	for _, reason := range []error{ErrInvalidStatus, ErrInvalidFieldName, ErrIncomplete} {
		if errors.Is(err, reason) {
			return reason.Error()
		}
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

// CheckFieldNames returns ErrInvalidFieldName if a name of a parsed header or trailer holds
// a blank (RFC 9110, section 5.1). net/http accepts blanks and refuses all other bytes that
// no name may hold.
func CheckFieldNames(hdr http.Header) error {
	for name := range hdr {
		if strings.Contains(name, " ") {
			return fmt.Errorf("%w %q", ErrInvalidFieldName, name)
		}
	}
	return nil
}

// HasFraming reports whether a response has a length or chunks. The body of any other one
// ends with its connection.
func HasFraming(rsp *http.Response) bool {
	return rsp.ContentLength >= 0 || len(rsp.TransferEncoding) > 0 || rsp.Body == http.NoBody
}
