package bwforward

import (
	"errors"

	"bilberrywick/core/bwmodel"
)

// ResponseClaims is what a response says of where it comes from and what has become of
// its request.
type ResponseClaims struct {
	// RequestID is the request that the response names; empty if it names none.
	RequestID string
	// Responder is the upstream that the response names; empty if it names none.
	Responder bwmodel.UpstreamID
	// Signed is set if the response bears an upstream's signature.
	Signed bool
	// Failed is set if the status is that of a failure.
	Failed bool
	// NotRun is set if the response says that the request did not run and never will.
	NotRun bool
	// Misdirected is set if the status says that the request is for another upstream.
	Misdirected bool
}

// ShowsAlive reports whether the response to a request shows that an upstream was alive
// when the request was sent to it. Requests name their upstream, and only an upstream that
// runs a request signs the response.
func (rcl ResponseClaims) ShowsAlive(request string, upstream bwmodel.UpstreamID) bool {
	kind, _ := rcl.Classify(request, upstream)
	return kind == UpstreamResponse && rcl.Signed && (rcl.Responder == "" || rcl.Responder == upstream)
}

// ResponseKind is what a response is to a request.
type ResponseKind int

// Kinds of responses. The zero value is that of a response of unknown origin.
const (
	// UnverifiedResponse may come from anywhere. Nothing that it says is used, and the
	// request may have run.
	UnverifiedResponse ResponseKind = iota
	// UpstreamResponse is the upstream's response to a request that it has run.
	UpstreamResponse
	// UpstreamRefusal means that the upstream did not run the request.
	UpstreamRefusal
	// OtherUpstreamRefusal means that another upstream has the address, and did not run
	// the request.
	OtherUpstreamRefusal
)

// Reasons for which a response is unverified.
var (
	ErrOtherRequest  = errors.New("names another request")
	ErrNoRequest     = errors.New("names no request")
	ErrUnsigned      = errors.New("success without a signature")
	ErrNoResponder   = errors.New("refusal for another upstream that is not named")
	ErrNotRunSuccess = errors.New("success that says not run")
)

// Classify returns what the response is to a request that was sent to an upstream. It
// returns an error that says why if the response is unverified. Faulty upstreams send
// bytes that look like a response: a success must name the request and be signed, and a
// failure must name the request. Refusals need neither, as an upstream that takes no
// request has not read which one it is.
func (rcl ResponseClaims) Classify(request string, upstream bwmodel.UpstreamID) (ResponseKind, error) {
	namesRequest := rcl.RequestID == request
	switch {
	case rcl.RequestID != "" && !namesRequest:
		return UnverifiedResponse, ErrOtherRequest
	case rcl.NotRun && !rcl.Failed:
		return UnverifiedResponse, ErrNotRunSuccess
	case rcl.Misdirected && rcl.Responder != "" && rcl.Responder != upstream:
		return OtherUpstreamRefusal, nil
	case rcl.NotRun:
		return UpstreamRefusal, nil
	case rcl.Misdirected:
		return UnverifiedResponse, ErrNoResponder
	case !namesRequest:
		return UnverifiedResponse, ErrNoRequest
	case !rcl.Failed && !rcl.Signed:
		return UnverifiedResponse, ErrUnsigned
	default:
		return UpstreamResponse, nil
	}
}
