package bwroute

import (
	"time"

	"bilberrywick/core/bwmodel"
)

// Request describes a request that needs an upstream.
type Request struct {
	ID      bwmodel.RequestID
	Service bwmodel.ServiceID
	Team    bwmodel.TeamID
	// Model restricts the choice to engines that have it loaded; empty means any
	// upstream.
	Model string
	// Tokens is the expected work in tokens; 1 for a call to a plain service.
	Tokens int
	// Prefix holds the hashes of the prompt's prefix blocks, the shortest prefix
	// first.
	Prefix []uint64
	// Exclude lists upstreams that have failed or refused this request.
	Exclude []bwmodel.UpstreamID
	// NoProbe excludes the request from probes of suspended upstreams, because it
	// has already lost an upstream.
	NoProbe bool
}

// Choice is the upstream chosen for a request.
type Choice struct {
	Upstream bwmodel.Upstream
	// Finish releases the slot and reports the outcome; it must be called once.
	Finish func(Outcome)
	// ReportFirstToken reports the time to the first token or response header before
	// the request ends, so that a slow upstream is detected early. Calling it is
	// optional.
	ReportFirstToken func(firstToken time.Duration)
	// Probe is true when the upstream is suspended for being slow or failing, so
	// that an immediate hedge is worth its cost.
	Probe bool
}

// Outcome is the result of one request at an upstream.
type Outcome struct {
	// FirstToken is the time to the first token or response header; 0 when
	// none arrived.
	FirstToken time.Duration
	Elapsed    time.Duration
	Tokens     int
	// Refused is true when the upstream did not start the request, so that its speed
	// is unknown.
	Refused bool
	// Failed is true when the upstream failed or stalled.
	Failed bool
	// Canceled is true when the caller or the other attempt of a hedge ended the
	// request.
	Canceled bool
}
