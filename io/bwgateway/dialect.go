package bwgateway

import (
	"net/http"
	"net/netip"
	"time"

	"bilberrywick/core/bwforward"
	"bilberrywick/core/bwmodel"
)

// Dialect reads and writes the headers by which callers, gateway and upstreams
// understand each other.
type Dialect struct {
	// ParseRequest returns what a caller's headers say.
	ParseRequest func(http.Header) RequestInfo
	// UpstreamHeaders returns the headers that an upstream gets.
	UpstreamHeaders func(caller http.Header, dsp AttemptInfo) http.Header
	// ParseResponse returns what the head of an upstream's response says.
	ParseResponse func(*http.Response) ResponseInfo
	// CopyName names the copy that an engine keeps of a run from its start.
	CopyName func(engine netip.AddrPort, request string) string
	// AddRefusalHeaders adds to the headers of a response of the gateway itself.
	AddRefusalHeaders func(hdr http.Header, request string, retryAfter time.Duration)
}

// RequestInfo is what a caller says of its request.
type RequestInfo struct {
	// RequestID identifies this attempt of the caller.
	RequestID string
	Key       string
	// Timeout is how long the caller waits; 0 means that it did not say.
	Timeout time.Duration
	// PromptTokens is the number of tokens to read, Output the most to produce.
	PromptTokens, MaxOutputTokens int
	// Session names the part of the prompt that is the request's own or its
	// session's; empty if there is none.
	Session string
	// LastEventID is the event after which a stream goes on; empty means its start.
	LastEventID string
}

// AttemptInfo is what the gateway tells an upstream about one attempt.
type AttemptInfo struct {
	Upstream bwmodel.UpstreamID
	Team     bwmodel.TeamID
	// Timeout is how long the caller still waits.
	Timeout time.Duration
	// Priority is the rank among the engine's work; negative leaves it out.
	Priority    int
	LastEventID string
	// CopyTarget is the engine that gets a copy of the run's memory; unset means none.
	CopyTarget netip.AddrPort
	// CopyName names a copy of the run from which the engine goes on; empty means none.
	CopyName string
}

// Identity is what an upstream says when it is asked.
type Identity struct {
	ID    bwmodel.UpstreamID
	Slots int
}

// ResponseInfo is what an upstream says in the head of its response.
type ResponseInfo struct {
	// RequestID is the request that is answered; empty if the upstream says nothing.
	RequestID string
	// NotRun says that the upstream has not run the request and never will.
	NotRun bool
	// OtherUpstream says that the address belongs to another upstream now.
	OtherUpstream bool
	// Load is set if the upstream reports its load.
	Load *bwforward.Load
}
