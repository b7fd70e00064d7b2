package bwroute

import (
	"fmt"
	"time"

	"bilberrywick/core/bwmodel"
)

// Candidate is an upstream that a policy may pick.
type Candidate struct {
	Upstream bwmodel.UpstreamID
	// Cost is the expected time until the request ends at the upstream, including
	// penalties.
	Cost     time.Duration
	InFlight int
	// Limit is the number of requests that the upstream may have in flight.
	Limit int
	// Tokens is the estimated outstanding work of all routers at the upstream, in
	// tokens.
	Tokens int
	// SlowFactor is the upstream's latency relative to the median of the upstreams,
	// at least 1. It decays with the age of the latency, and grows while requests
	// wait for a first token.
	SlowFactor float64
	// CachedBlocks is the length of the request's prefix that the upstream probably
	// has cached, in blocks.
	CachedBlocks int
	// CacheTrust is the weight of CachedBlocks in the cost, between 0 and 1. Each gap
	// in the upstream's cache events reduces it.
	CacheTrust float64

	node *node
}

// Decision describes how a choice was made, for one log line.
type Decision struct {
	Policy string
	// Chosen is empty when no upstream was chosen.
	Chosen bwmodel.UpstreamID
	Reason Reason
	// Candidates holds at most eight of the upstreams compared, in ascending order
	// of cost.
	Candidates []Candidate
	// Compared counts the usable upstreams considered; AtLimit and Suspended count
	// those of them that are at their limit or suspended. Upstreams counts all
	// upstreams of the service.
	Compared  int
	AtLimit   int
	Suspended int
	Upstreams int
}

// Reason is the reason for which an upstream, or none, was chosen.
type Reason string

// Reasons of a decision.
const (
	ReasonPolicy       Reason = "policy"
	ReasonProbe        Reason = "probe of a suspended upstream"
	ReasonAllSuspended Reason = "every usable upstream is suspended"
	ReasonAllAtLimit   Reason = "every usable upstream is at its limit"
	ReasonNoneUsable   Reason = "no usable upstream"
)

// AllAtLimitError is returned when every usable upstream is at its limit. The
// channel of SlotFreed is closed when a retry may succeed.
type AllAtLimitError struct {
	Service bwmodel.ServiceID
	AtLimit int
}

// Error returns the service and the number of upstreams at their limit.
func (err *AllAtLimitError) Error() string {
	return fmt.Sprintf("service %q: no free upstream, %d at their limit", err.Service, err.AtLimit)
}

// NoUpstreamError is returned when no upstream of the service can take the request.
type NoUpstreamError struct {
	Service   bwmodel.ServiceID
	Model     string
	Upstreams int
	Excluded  int
}

// Error returns the service, the model and the numbers of all and of excluded
// upstreams.
func (err *NoUpstreamError) Error() string {
	return fmt.Sprintf("service %q, model %q: none of %d upstreams is usable, %d excluded",
		err.Service, err.Model, err.Upstreams, err.Excluded)
}
