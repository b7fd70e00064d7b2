package bwrpc

import (
	"errors"
	"fmt"
	"strconv"

	"storj.io/drpc/drpcerr"
)

// Code is the reason of a failed call. Codes from 100 on are defined by bwwire.
type Code uint64

// Codes of the transport itself.
const (
	// Unreachable means that no connection could be opened, so nothing was sent.
	Unreachable Code = iota + 1
	// Broken means that the call failed after the request may have arrived, for
	// example because the connection was lost.
	Broken
	// UnknownMethod means that the server has no handler for the method.
	UnknownMethod
)

// String returns the code's name, or its number when bwwire defines it.
func (cod Code) String() string {
	switch cod {
	case Unreachable:
		return "Unreachable"
	case Broken:
		return "Broken"
	case UnknownMethod:
		return "Unknown"
	}
	return strconv.FormatUint(uint64(cod), 10)
}

// Error is a failed call.
type Error struct {
	Code   Code
	Method string
	Err    error
}

// Error returns the method and the cause.
func (err *Error) Error() string { return fmt.Sprintf("%s: %v", err.Method, err.Err) }

// Unwrap returns the cause.
func (err *Error) Unwrap() error { return err.Err }

// Errorf formats an error with a code. A handler that returns it sends the code
// to the caller.
func Errorf(code Code, format string, args ...any) error {
	return drpcerr.WithCode(fmt.Errorf(format, args...), uint64(code))
}

// CodeOf returns the code of an error, Broken for an error without a code, and
// 0 for nil.
func CodeOf(err error) Code {
	if err == nil {
		return 0
	}
	var callErr *Error
	if errors.As(err, &callErr) {
		return callErr.Code
	}
	if code := drpcerr.Code(err); code != 0 {
		return Code(code)
	}
	return Broken
}

func newError(method string, err error) error {
	if err == nil {
		return nil
	}
	return &Error{Code: CodeOf(err), Method: method, Err: err}
}
