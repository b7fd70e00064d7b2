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
	// Read returns what a caller's headers say.
	Read func(http.Header) Ask
	// Forward returns the headers that an upstream gets.
	Forward func(caller http.Header, dsp Dispatch) http.Header
	// Answer returns what the head of an upstream's response says.
	Answer func(*http.Response) Answer
	// CopyName names the copy that an engine keeps of a run from its start.
	CopyName func(engine netip.AddrPort, request string) string
	// Refusal adds to the headers of a response of the gateway itself.
	Refusal func(hdr http.Header, request string, retryAfter time.Duration)
}

// Ask is what a caller says of its request.
type Ask struct {
	// Request identifies this attempt of the caller.
	Request string
	Key     string
	// Patience is how long the caller waits; 0 means that it did not say.
	Patience time.Duration
	// Prompt is the number of tokens to read, Output the most to produce.
	Prompt, Output int
	// Session names the part of the prompt that is the request's own or its
	// session's; empty if there is none.
	Session string
	// LastEvent is the event after which a stream goes on; empty means its start.
	LastEvent string
}

// Dispatch is what the gateway tells an upstream about one attempt.
type Dispatch struct {
	Upstream bwmodel.UpstreamID
	Team     bwmodel.TeamID
	// Left is how long the caller still waits.
	Left time.Duration
	// Priority is the rank among the engine's work; negative leaves it out.
	Priority  int
	LastEvent string
	// CopyTo is the engine that gets a copy of the run's memory; unset means none.
	CopyTo netip.AddrPort
	// Copy names a copy of the run from which the engine goes on; empty means none.
	Copy string
}

// Identity is what an upstream says when it is asked.
type Identity struct {
	ID    bwmodel.UpstreamID
	Slots int
}

// Answer is what an upstream says in the head of its response.
type Answer struct {
	// Request is the request that is answered; empty if the upstream says nothing.
	Request string
	// NotRun says that the upstream has not run the request and never will.
	NotRun bool
	// OtherUpstream says that the address belongs to another upstream now.
	OtherUpstream bool
	// Load is set if the upstream reports its load.
	Load *bwforward.Load
}
