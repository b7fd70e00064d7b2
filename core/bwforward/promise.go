package bwforward

import (
	"math"
	"time"
)

// promises is the ledger of the starts of one service that this gateway has promised to
// callers which it refused.
//
// The load pattern that it answers is a crest whose refused callers come back together
// and are refused again. The times of the promised starts are so far apart that they
// take promisedShare of the starts that this gateway makes. Callers may come back at any
// gateway, and each keeps its share: what it promises elsewhere it gets from others.
type promises struct {
	// starts and ends are the numbers of starts and ends a second, as means over rateTime,
	// at a time, and ended is the number of all ends until then. When empty engines fill,
	// there are starts without room for the next ones.
	starts, ends float64
	at           time.Time
	ended        int64
	// next is the time from which the next start can be promised.
	next time.Time
}

const (
	// promisedShare is the part of the starts that is promised. The rest is for new
	// streams, and for the difference between what gateways promise and what they get.
	promisedShare = 0.4
	// rateTime is about the time of a stream, in which engines free their room.
	rateTime = 5 * time.Second
	// minStartRate, in starts a second, counts as long as none was made.
	minStartRate = 0.2
	// maxFirstWait bounds the time until the first promised start, which is half of the
	// mean time between two starts.
	maxFirstWait = time.Second
	// fillingFactor is that of starts to ends from which engines are being filled, if there
	// are more than minBusyStarts.
	fillingFactor = 2
	minBusyStarts = 2
	// promisedPrompts is the number of prompts, with its own, that a promised stream may
	// have to wait for, and reservedStreams the number of streams for which an engine must
	// have room when a new one starts there while starts are promised.
	promisedPrompts = 2
	reservedStreams = 2
	// returnPatience is the factor by which a caller that has come back waits longer for
	// its promised start: room that is free a moment later keeps the promise.
	returnPatience = 3
	// honoredShare is the part of the time left within which callers come back.
	honoredShare = 1.0 / 3
)

// advance accounts for the time until now and the ends within it.
func (prm *promises) advance(now time.Time, ended int64) {
	if !prm.at.IsZero() {
		factor := math.Exp(-now.Sub(prm.at).Seconds() / rateTime.Seconds())
		prm.starts *= factor
		prm.ends = prm.ends*factor + float64(ended-prm.ended)/rateTime.Seconds()
	}
	prm.at, prm.ended = now, ended
}

// reserve promises a start between two times, or between now and the last one after the
// other. It returns false if none can be promised then. It is contended if engines have
// prompts for longer than the stream can wait.
func (prm *promises) reserve(now, from, until, onTimeUntil time.Time, isContended bool) (time.Time, bool) {
	isBusy := prm.starts > minBusyStarts/rateTime.Seconds()
	if isContended || prm.next.After(now) {
		// Others come first; a stream that can't be on time would wait for all of them.
		until = earlier(until, onTimeUntil)
	}
	if isBusy && prm.starts > fillingFactor*prm.ends {
		// Empty engines have just been filled, and when one frees its room is not known.
		return time.Time{}, false
	}
	interval := time.Duration(float64(time.Second) / max(min(prm.starts, prm.ends), minStartRate))
	at := later(later(from, prm.next), now.Add(min(interval/2, maxFirstWait, until.Sub(now)/2)))
	if at.After(until) {
		return time.Time{}, false
	}
	prm.next = at.Add(scaled(interval, 1/promisedShare))
	return at, true
}

func earlier(ta, tb time.Time) time.Time {
	if tb.Before(ta) {
		return tb
	}
	return ta
}

func later(ta, tb time.Time) time.Time {
	if tb.After(ta) {
		return tb
	}
	return ta
}

// promise returns the time after which a refused caller finds room, at least a given one,
// or 0 if that can't be promised within the time for which it waits.
func (adm *Admission) promise(apl *Applicant, after time.Duration, isContended bool, now time.Time) time.Duration {
	after = max(after, minRetryAfter)
	until := now.Add(time.Hour)
	if !apl.Deadline.IsZero() {
		until = now.Add(scaled(apl.Deadline.Sub(now), honoredShare))
	}
	prefill := adm.cfg.Pool.PrefillTime(apl.Work.Service.Name, apl.Work.PromptTokens)
	adm.mu.Lock()
	defer adm.mu.Unlock()
	at, ok := adm.promises(apl, now).reserve(now, now.Add(after), until, apl.UsefulUntil.Add(-scaled(prefill, promisedPrompts*firstEventMargin)), isContended)
	if !ok {
		return 0
	}
	return at.Sub(now)
}

// promises returns the ledger of a service; it is called with the lock held.
func (adm *Admission) promises(apl *Applicant, now time.Time) *promises {
	prm := adm.promised[apl.Work.Service.Name]
	if prm == nil {
		prm = new(promises)
		adm.promised[apl.Work.Service.Name] = prm
	}
	prm.advance(now, adm.cfg.Pool.state(apl.Work.Service.Name).ends.Load())
	return prm
}

// isReserved reports whether the room at a node is kept for streams whose start was
// promised. All gateways refuse streams at about the same time, so that one which has
// promised starts itself keeps the room for the promises of others too.
func (adm *Admission) isReserved(nd *Node, apl *Applicant, now time.Time) bool {
	adm.mu.Lock()
	isPromised := adm.promises(apl, now).next.Add(rateTime).After(now)
	adm.mu.Unlock()
	return isPromised && !nd.hasMemoryFor(apl.Work, reservedStreams, now)
}

func (adm *Admission) recordStart(apl *Applicant, now time.Time) {
	adm.mu.Lock()
	defer adm.mu.Unlock()
	adm.promises(apl, now).starts += 1 / rateTime.Seconds()
}
