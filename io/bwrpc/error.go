package bwrpc

import (
	"errors"
	"fmt"
	"strconv"

	"storj.io/drpc/drpcerr"
)

// Code tells a caller why a call failed; the codes from 100 on belong to bwwire.
type Code uint64

// Codes of the transport itself.
const (
	// Unreachable says that no connection could be made, so nothing was sent.
	Unreachable Code = iota + 1
	// Broken says that the connection failed after the request may have arrived.
	Broken
	// UnknownMethod says that the method or the message is not known to the other side.
	UnknownMethod
)

// String returns the code's name, or its number for a code of bwwire.
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

// Error returns the method and the reason.
func (err *Error) Error() string { return fmt.Sprintf("%s: %v", err.Method, err.Err) }

// Unwrap returns the reason.
func (err *Error) Unwrap() error { return err.Err }

// Errorf returns an error that carries a code to the caller of a method.
func Errorf(code Code, format string, args ...any) error {
	return drpcerr.WithCode(fmt.Errorf(format, args...), uint64(code))
}

// CodeOf returns the code of a failed call, Broken for an error without one,
// and 0 for nil.
func CodeOf(err error) Code {
	if err == nil {
		return 0
	}
	var call *Error
	if errors.As(err, &call) {
		return call.Code
	}
	if code := drpcerr.Code(err); code != 0 {
		return Code(code)
	}
	return Broken
}

func wrap(method string, err error) error {
	if err == nil {
		return nil
	}
	return &Error{Code: CodeOf(err), Method: method, Err: err}
}
