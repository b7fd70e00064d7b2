package bwforward

import (
	"math"
	"time"
)

// plainRoom is the room for requests at the upstreams of a service.
type plainRoom struct {
	// first is the upstream that the pool prefers, best the first one that has room, and
	// free one that has free slots by its last report.
	first, best, free *Node
	// onlySuspended is set if all upstreams are suspended.
	onlySuspended bool
	// tokens is the number of requests that may start now and rate the number a second,
	// lateTokens and lateRate those at upstreams whose responses are late.
	tokens, rate         float64
	lateTokens, lateRate float64
	// hold is the time until the first contended upstream gains tokens.
	hold time.Duration
}

// add adds a node's room, and reports whether it has any and whether a response of it
// is expected to be late.
func (rm *plainRoom) add(pnd *plainNode, nd *Node, apl *PlainApplicant, now time.Time) (hasRoom, isLate bool) {
	if rm.free == nil && pnd.isFree(nd, now) {
		rm.free = nd
	}
	usual := pnd.expected(nd, now)
	isLate = !apl.UsefulUntil.IsZero() && now.Add(usual).After(apl.UsefulUntil)
	canEnd := !now.Add(deadlineMargin * usual).After(apl.Deadline)
	if !pnd.isContended(now) {
		if !isLate {
			rm.tokens += maxPlainWaiting
		}
		return !isLate || canEnd || !pnd.isFull(nd, now), isLate
	}
	pnd.advance(now)
	if hold := max(pnd.filledAt.Sub(now), 0); rm.rate+rm.lateRate == 0 || hold < rm.hold {
		rm.hold = hold
	}
	if pnd.tokens < 1 {
		pnd.limitedAt = now
	}
	if isLate {
		rm.lateTokens += pnd.tokens
		rm.lateRate += pnd.rate
	} else {
		rm.tokens += pnd.tokens
		rm.rate += pnd.rate
	}
	needed := 1.0
	if apl.isLate || apl.isOverShare {
		needed = reservingTokens
	}
	if apl.isPromised && !pnd.filledAt.After(now) {
		needed = 1 - maxTokenDebt
	}
	return pnd.tokens >= needed && (!isLate || canEnd), isLate
}

// timeTo returns the time until a number of requests has started.
func (rm *plainRoom) timeTo(count int) time.Duration {
	missing := float64(count) - rm.tokens
	if missing <= 0 {
		return 0
	}
	if rm.rate <= 0 {
		return math.MaxInt64 / 4
	}
	return rm.hold + time.Duration(min(missing/rm.rate, time.Hour.Seconds())*float64(time.Second))
}
