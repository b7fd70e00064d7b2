package bwforward

import (
	"time"

	"bilberrywick/core/bwmodel"
)

// limitTestInterval is the time after which a response that names a limit is followed by
// another request, even if other upstreams have room: only a response shows that the
// limit has ended.
const limitTestInterval = 2 * time.Second

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
// nil means that it names none. It reports whether other gateways should know of it:
// the limit has changed, or was due for a test. A response without a limit ends it
// only if the request was sent after the limit was last named: other responses may
// be older than the limit.
func (nd *Node) ObserveLimit(rate *float64, sentAt, now time.Time) bool {
	old := nd.limit.Load()
	if rate == nil {
		return old != nil && sentAt.After(old.namedAt) && nd.limit.CompareAndSwap(old, nil)
	}
	nd.limit.Store(&rateLimit{rate: *rate, namedAt: now})
	return old == nil || old.rate != *rate || old.isDue(now)
}

// isDue reports whether a request should test if the limit still holds.
func (lim *rateLimit) isDue(now time.Time) bool { return now.Sub(lim.namedAt) >= limitTestInterval }

// limitCost returns the cost of a node that limits its requests: other upstreams come
// first until the limit is due for a test.
func (nd *Node) limitCost(now time.Time) time.Duration {
	lim := nd.limit.Load()
	if lim == nil || lim.isDue(now) {
		return 0
	}
	return limitedCost
}

// permitBlock is the time for which an upstream gets no requests, since the permit
// for one was refused.
type permitBlock struct {
	// until is the end of the window, permitAt when a permit can be expected.
	until, permitAt time.Time
}

// RecordRefusedPermit keeps requests away from the upstream for as long as an answer
// says.
func (nd *Node) RecordRefusedPermit(ans PermitAnswer, now time.Time) {
	nd.permits.Store(&permitBlock{until: now.Add(ans.Blocked), permitAt: now.Add(max(ans.Wait, ans.Blocked))})
}

// RecordBackOff records that the upstream wants no requests from this gateway for a
// time. A shorter one does not end a longer one before.
func (nd *Node) RecordBackOff(dur time.Duration, now time.Time) {
	until := nanos(now.Add(dur))
	for old := nd.backOffUntil.Load(); old < until && !nd.backOffUntil.CompareAndSwap(old, until); {
		old = nd.backOffUntil.Load()
	}
}

// blockedAt reports whether the upstream gets no requests now, and when it can be
// expected to take one again.
func (nd *Node) blockedAt(now time.Time) (expected time.Time, blocked bool) {
	if left := nd.backOffUntil.Load() - nanos(now); left > 0 {
		expected, blocked = now.Add(time.Duration(left)), true
	}
	blk := nd.permits.Load()
	if _, limited := nd.Limit(); !limited || blk == nil || !now.Before(blk.until) {
		return expected, blocked
	}
	if blk.permitAt.After(expected) {
		expected = blk.permitAt
	}
	return expected, true
}

// InNeed reports whether the upstream limits its requests or wants none now, so that it
// should get no calls that can be left out.
func (nd *Node) InNeed(now time.Time) bool {
	_, limited := nd.Limit()
	_, blocked := nd.blockedAt(now)
	return limited || blocked
}

// BlockedUntil returns when the first upstream of a service can be expected to take a
// request again, if none takes any now because of their limits or since they want
// none. Otherwise it returns false.
func (pl *Pool) BlockedUntil(svc bwmodel.ServiceID) (time.Time, bool) {
	now := pl.cfg.Now()
	first, found := time.Time{}, false
	for _, nd := range pl.view.Load().services[svc] {
		if nd.isLeaving() || nd.replaced.Load() {
			continue
		}
		expected, blocked := nd.blockedAt(now)
		if !blocked {
			return time.Time{}, false
		}
		if !found || expected.Before(first) {
			first, found = expected, true
		}
	}
	return first, found
}
