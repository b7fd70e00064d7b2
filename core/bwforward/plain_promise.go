package bwforward

import (
	"slices"
	"time"
)

// promiseLedger has the times at which refused callers were told to come back. The zero
// value is empty.
type promiseLedger struct {
	// times has those to come, in order, and next is the next one that can be named.
	times []time.Time
	next  time.Time
	// due counts the past times for which no caller has come back. It is below 0 if more
	// have come.
	due int
}

const (
	// promiseTolerance is the time by which a caller may come too early.
	promiseTolerance = 100 * time.Millisecond
	// maxPromises bounds the times that are kept.
	maxPromises = 256
	// maxDuePromises bounds the past times that are kept, and maxOwedPromises the callers
	// that come back beyond those. Callers come back to gateways at random, so that some
	// get more and others less than they have told to.
	maxDuePromises  = 10
	maxOwedPromises = 5
)

// add returns the first time that can be named, which is at least earliest. It keeps the
// time for the caller if that is no later than last, and reports whether it did. The next
// time is an interval later.
func (plg *promiseLedger) add(earliest, last time.Time, interval time.Duration) (time.Time, bool) {
	at := later(earliest, plg.next)
	if at.After(last) || len(plg.times) >= maxPromises {
		return at, false
	}
	plg.next = at.Add(interval)
	plg.times = append(plg.times, at)
	return at, true
}

// take reports whether a caller that comes back is expected. Callers come back to any
// gateway, so that the times of this one stand for those of others.
func (plg *promiseLedger) take(now time.Time) bool {
	past := 0
	for past < len(plg.times) && plg.times[past].Sub(now) <= promiseTolerance {
		past++
	}
	plg.times = slices.Delete(plg.times, 0, past)
	plg.due = min(plg.due+past, maxDuePromises)
	if plg.due <= -maxOwedPromises {
		return false
	}
	plg.due--
	return true
}
