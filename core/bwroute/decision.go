package bwroute

import (
	"fmt"
	"time"

	"bilberrywick/core/bwmodel"
)

// Candidate is an upstream that a policy may pick.
type Candidate struct {
	Upstream bwmodel.UpstreamID
	// Cost is the expected time until the request ends there, with penalties.
	Cost     time.Duration
	InFlight int
	// Limit is the number of requests that the upstream may have in flight.
	Limit int
	// Tokens is the outstanding work expected at the upstream.
	Tokens int
	// SlowFactor is the upstream's latency relative to the median of its peers, at least 1.
	SlowFactor float64
	// CachedBlocks is the length of the request's prefix that the upstream is believed to hold.
	CachedBlocks int
	// CacheTrust, between 0 and 1, falls with each gap in the upstream's cache events.
	CacheTrust float64

	node *node
}

// Decision says how a choice came about, for one log line.
type Decision struct {
	Policy string
	// Chosen is empty when no upstream was free.
	Chosen bwmodel.UpstreamID
	Reason Reason
	// Candidates holds at most eight of the upstreams compared, the cheapest first.
	Candidates []Candidate
	// Compared, AtLimit, Suspended and Upstreams count the upstreams that could
	// take the request, those of them at their limit or suspended, and those known.
	Compared  int
	AtLimit   int
	Suspended int
	Upstreams int
}

// Reason says why an upstream was chosen, or why none was.
type Reason string

// Reasons of a decision.
const (
	ReasonPolicy       Reason = "policy"
	ReasonProbe        Reason = "probe of a suspended upstream"
	ReasonAllSuspended Reason = "every usable upstream is suspended"
	ReasonAllAtLimit   Reason = "every usable upstream is at its limit"
	ReasonNoneUsable   Reason = "no usable upstream"
)

// AllAtLimitError says that every usable upstream is at its limit; Freed tells when
// to try again.
type AllAtLimitError struct {
	Service bwmodel.ServiceID
	AtLimit int
}

// Error returns the service and the number of upstreams at their limit.
func (err *AllAtLimitError) Error() string {
	return fmt.Sprintf("service %q: no free upstream, %d at their limit", err.Service, err.AtLimit)
}

// NoUpstreamError says that no upstream of the service can take the request now.
type NoUpstreamError struct {
	Service   bwmodel.ServiceID
	Model     string
	Upstreams int
	Excluded  int
}

// Error returns the service and the number of upstreams known and excluded.
func (err *NoUpstreamError) Error() string {
	return fmt.Sprintf("service %q, model %q: none of %d upstreams is usable, %d excluded",
		err.Service, err.Model, err.Upstreams, err.Excluded)
}
