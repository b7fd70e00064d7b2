package bwroute

import (
	"math"
	"sync/atomic"
	"time"
)

// health says whether an upstream is suspended for being slow or failing. A
// suspended upstream gets one request at a time, after a pause, until enough of
// these have been answered in time.
type health struct {
	firstPause time.Duration
	suspended  atomic.Bool
	// probing says that a probe is in flight.
	probing  atomic.Bool
	failures atomic.Int32
	good     atomic.Int32
	// pause and nextProbe are durations; nextProbe counts from the chooser's start.
	pause     atomic.Int64
	nextProbe atomic.Int64
	// probeTurn is the turn from which a probe is due before nextProbe is long past.
	probeTurn atomic.Uint64
}

const (
	// slowThreshold is the latency relative to the median of the peers from
	// which an upstream is suspended.
	slowThreshold = 3
	// latencyFloor keeps differences of network latency between zones from
	// counting when answers take only milliseconds.
	latencyFloor = 10 * time.Millisecond
	// failureThreshold is the number of failures in a row that suspend.
	failureThreshold = 2
	// goodProbes is the number of probes in a row that must be answered in time.
	goodProbes = 2
	// maxPauseFactor bounds the growth of the pause between probes.
	maxPauseFactor = 8
	// turnsBetweenProbes keeps probes below 0.5% of requests, so that they stay
	// out of the 99th percentile.
	turnsBetweenProbes = 200
	// latePauses is the number of pauses after which a probe is due however few
	// requests there were.
	latePauses = 4
	// latencyHalfLife is the time in which an unconfirmed latency loses half of
	// its effect, so that an upstream that costs too much for any request is
	// tried again.
	latencyHalfLife = 5 * time.Second
	// rampLimit is the limit of an upstream that has just recovered.
	rampLimit = 2
)

// relative compares a latency with the median.
func relative(latency, median time.Duration) float64 {
	if latency <= 0 || median <= 0 {
		return 1
	}
	return max(1, float64(latency+latencyFloor)/float64(median+latencyFloor))
}

// faded weakens a slow factor by the age of the evidence.
func faded(factor float64, age time.Duration) float64 {
	if factor <= 1 || age <= 0 {
		return factor
	}
	return 1 + (factor-1)*math.Exp2(-age.Seconds()/latencyHalfLife.Seconds())
}

// fail counts a failure and reports whether there were enough in a row.
func (hl *health) fail() bool { return hl.failures.Add(1) >= failureThreshold }

// suspend starts a pause, or a longer one after a bad probe.
func (hl *health) suspend(now time.Duration) {
	first := !hl.suspended.Swap(true)
	pause := time.Duration(hl.pause.Load())
	if first {
		pause = hl.firstPause
	} else if now >= time.Duration(hl.nextProbe.Load()) {
		pause = min(2*pause, maxPauseFactor*hl.firstPause)
	}
	hl.good.Store(0)
	hl.pause.Store(int64(pause))
	hl.nextProbe.Store(int64(now + pause))
}

// recover counts a good probe and reports whether it ends the suspension.
func (hl *health) recover(now time.Duration) bool {
	if hl.good.Add(1) < goodProbes {
		hl.retry(now)
		return false
	}
	hl.renew()
	return true
}

// retry makes the next probe due at once.
func (hl *health) retry(now time.Duration) {
	hl.nextProbe.Store(int64(now))
	hl.probeTurn.Store(0)
}

// renew forgets all evidence.
func (hl *health) renew() {
	hl.failures.Store(0)
	hl.good.Store(0)
	hl.suspended.Store(false)
}

// due reports whether a probe may start.
func (hl *health) due(now time.Duration, turn uint64) bool {
	next := time.Duration(hl.nextProbe.Load())
	if now < next || hl.probing.Load() {
		return false
	}
	return turn >= hl.probeTurn.Load() || now >= next+latePauses*time.Duration(hl.pause.Load())
}

// begin claims the one probe that may be in flight.
func (hl *health) begin(turn uint64) bool {
	if !hl.probing.CompareAndSwap(false, true) {
		return false
	}
	hl.probeTurn.Store(turn + turnsBetweenProbes)
	return true
}
