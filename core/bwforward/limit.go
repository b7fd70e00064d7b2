package bwforward

import "time"

// rateLimit is the number of requests a second that an upstream takes from all
// gateways together.
type rateLimit struct {
	rate float64
	// namedAt is when a response or a note last named the limit.
	namedAt time.Time
}

// Limit returns the requests a second that the upstream takes from all gateways
// together, and false if it has named no limit.
func (nd *Node) Limit() (rate float64, ok bool) {
	lim := nd.limit.Load()
	if lim == nil {
		return 0, false
	}
	return lim.rate, true
}

// ObserveLimit records the limit that a response names to a request sent at sentAt;
// nil means that it names none. It reports whether that changed the limit. A
// response without a limit ends the limit only if the request was sent after the
// limit was last named: other responses may be older than the limit.
func (nd *Node) ObserveLimit(rate *float64, sentAt, now time.Time) bool {
	old := nd.limit.Load()
	if rate == nil {
		return old != nil && sentAt.After(old.namedAt) && nd.limit.CompareAndSwap(old, nil)
	}
	nd.limit.Store(&rateLimit{rate: *rate, namedAt: now})
	return old == nil || old.rate != *rate
}
