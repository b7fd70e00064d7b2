package bwgateway

import (
	"net/http"
	"net/netip"
	"time"

	"bilberrywick/core/bwforward"
	"bilberrywick/core/bwmodel"
)

// Dialect parses and builds the platform's headers between callers, gateway and
// upstreams.
type Dialect struct {
	// ParseRequest parses the headers of a caller's request.
	ParseRequest func(http.Header) RequestInfo
	// UpstreamHeaders builds the headers of the request to an upstream.
	UpstreamHeaders func(caller http.Header, info AttemptInfo) http.Header
	// ParseResponse parses the status and headers of an upstream's response.
	ParseResponse func(*http.Response) ResponseInfo
	// CopyName returns the name of the KV cache copy that an engine holds from the
	// start of a generation.
	CopyName func(engine netip.AddrPort, request string) string
	// AddRefusalHeaders adds headers to a refusal by the gateway itself. A
	// retryAfter of 0 adds no retry time.
	AddRefusalHeaders func(hdr http.Header, request string, retryAfter time.Duration)
}

// RequestInfo holds what the headers of a caller's request specify.
type RequestInfo struct {
	// RequestID identifies this attempt of the caller.
	RequestID string
	Key       string
	// Timeout is how long the caller waits; 0 means unspecified.
	Timeout time.Duration
	// PromptTokens is the prompt's length, MaxOutputTokens the limit of the output.
	PromptTokens, MaxOutputTokens int
	// Session identifies the part of the prompt that is specific to the request or
	// its session; empty if there is none.
	Session string
	// Parts returns the IDs of the other parts of the prompt, which requests share; nil
	// means that there are none. A prompt may have thousands, which are parsed when they
	// are needed instead of being held for the time of the request.
	Parts func() []bwforward.PartID
	// LastEventID is the event after which the stream resumes; empty means the
	// start.
	LastEventID string
}

// AttemptInfo holds what the headers of one attempt specify for the upstream.
type AttemptInfo struct {
	Upstream bwmodel.UpstreamID
	Team     bwmodel.TeamID
	// Timeout is the time left until the caller's deadline.
	Timeout time.Duration
	// Priority is the rank in the engine's queue; negative means none.
	Priority    int
	LastEventID string
	// CopyTarget is the engine that receives a copy of the KV cache; the zero value
	// means none.
	CopyTarget netip.AddrPort
	// CopyName is the KV cache copy from which the engine resumes; empty means none.
	CopyName string
}

// Identity is an upstream's response to an identification request.
type Identity struct {
	ID    bwmodel.UpstreamID
	Slots int
}

// ResponseInfo holds what the status and headers of an upstream's response
// specify.
type ResponseInfo struct {
	bwforward.ResponseClaims
	// Load is the load that the upstream reports; nil if it reports none.
	Load *bwforward.Load
	// Leaving means that the upstream takes no new work until it ends.
	Leaving bool
	// Limit is the number of requests a second that the upstream takes from all
	// gateways together; nil if it names none.
	Limit *float64
	// RetryAfter is the time for which the upstream wants no requests from this
	// gateway; 0 means that it says nothing.
	RetryAfter time.Duration
}
