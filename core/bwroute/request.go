package bwroute

import (
	"time"

	"bilberrywick/core/bwmodel"
)

// Request describes the work that needs an upstream.
type Request struct {
	ID      bwmodel.RequestID
	Service bwmodel.ServiceID
	Team    bwmodel.TeamID
	// Model restricts the choice to engines that have it loaded; empty means any.
	Model string
	// Tokens is the expected work; 1 for a call to a plain service.
	Tokens int
	// Prefix holds the hashes of the prompt's prefix blocks, the shortest prefix first.
	Prefix []uint64
	// Exclude names upstreams that have failed or refused this request.
	Exclude []bwmodel.UpstreamID
	// NoProbe keeps the request from upstreams that have been slow or failing
	// while another is usable, because it has lost one already.
	NoProbe bool
}

// Choice is the upstream chosen for a request.
type Choice struct {
	Upstream bwmodel.Upstream
	// Finish releases the upstream and reports how it answered; it is called once.
	Finish func(Outcome)
	// ReportFirstToken reports the time to the first token or to the response's head
	// before the request ends, so that a slow upstream shows early; it is optional.
	ReportFirstToken func(firstToken time.Duration)
	// Probe says that the upstream has been slow or failing, so that a hedge is
	// worth its cost at once.
	Probe bool
}

// Outcome is how an upstream answered one request.
type Outcome struct {
	// FirstToken is the time until the first token or the response's head; 0 when none came.
	FirstToken time.Duration
	Elapsed    time.Duration
	Tokens     int
	// Refused says that the upstream took no work, so that its speed is unknown.
	Refused bool
	// Failed says that the upstream broke or stalled.
	Failed bool
	// Canceled says that the caller or the other half of a hedge ended the request.
	Canceled bool
}
