package bwroute

import (
	"math"
	"sync/atomic"
	"time"
)

// health holds the suspension state of an upstream. An upstream is suspended when
// it is slow or fails. It then receives one probe request at a time, the first
// after a delay, until enough probes in a row have been answered in time.
type health struct {
	initialProbeDelay time.Duration
	suspended         atomic.Bool
	// probing is true while a probe is in flight.
	probing             atomic.Bool
	consecutiveFailures atomic.Int32
	consecutiveGood     atomic.Int32
	// probeDelay and nextProbe are in nanoseconds; nextProbe is the time of the next
	// probe, counted from Chooser.start.
	probeDelay atomic.Int64
	nextProbe  atomic.Int64
	// nextProbeSequence is the sequence number of the request from which a probe is
	// due, unless overdueDelays makes it due earlier.
	nextProbeSequence atomic.Uint64
}

const (
	// slowThreshold is the ratio of the latency to the median of the upstreams from
	// which an upstream is suspended.
	slowThreshold = 3
	// latencyFloor is added to both latencies of a ratio, so that the network latency
	// between zones has little weight when responses take only milliseconds.
	latencyFloor = 10 * time.Millisecond
	// failureThreshold is the number of failures in a row from which an upstream is
	// suspended.
	failureThreshold = 2
	// requiredGoodProbes is the number of probes in a row that must be answered in
	// time to end a suspension.
	requiredGoodProbes = 2
	// maxProbeDelayFactor is the maximum of probeDelay relative to the initial delay.
	maxProbeDelayFactor = 8
	// requestsBetweenProbes limits probes of an upstream to 0.5% of the requests, so
	// that they don't affect the 99th percentile of the latency.
	requestsBetweenProbes = 200
	// overdueDelays is the number of probe delays after nextProbe from which a probe
	// is due even if fewer than requestsBetweenProbes requests have been made.
	overdueDelays = 4
	// slowFactorHalfLife is the time in which the excess of a slow factor halves
	// without new samples. Without the decay, an upstream whose cost is too high for
	// any request would never be tried again.
	slowFactorHalfLife = 5 * time.Second
	// recoveryLimit is the request limit of an upstream whose suspension has just ended.
	recoveryLimit = 2
)

// latencyRatio returns the ratio of a latency to the median, at least 1. It returns
// 1 when either is unknown.
func latencyRatio(latency, median time.Duration) float64 {
	if latency <= 0 || median <= 0 {
		return 1
	}
	return max(1, float64(latency+latencyFloor)/float64(median+latencyFloor))
}

// decayedFactor reduces the excess of a slow factor over 1 by the age of its last
// sample.
func decayedFactor(factor float64, age time.Duration) float64 {
	if factor <= 1 || age <= 0 {
		return factor
	}
	return 1 + (factor-1)*math.Exp2(-age.Seconds()/slowFactorHalfLife.Seconds())
}

// recordFailure counts a failure and reports whether failureThreshold is reached.
func (hl *health) recordFailure() bool { return hl.consecutiveFailures.Add(1) >= failureThreshold }

// suspend suspends the upstream or, after a bad probe, doubles its probe delay up
// to the maximum.
func (hl *health) suspend(now time.Duration) {
	first := !hl.suspended.Swap(true)
	delay := time.Duration(hl.probeDelay.Load())
	if first {
		delay = hl.initialProbeDelay
	} else if now >= time.Duration(hl.nextProbe.Load()) {
		delay = min(2*delay, maxProbeDelayFactor*hl.initialProbeDelay)
	}
	hl.consecutiveGood.Store(0)
	hl.probeDelay.Store(int64(delay))
	hl.nextProbe.Store(int64(now + delay))
}

// recordGoodProbe counts a probe answered in time and reports whether it ends the
// suspension.
func (hl *health) recordGoodProbe(now time.Duration) bool {
	if hl.consecutiveGood.Add(1) < requiredGoodProbes {
		hl.probeNow(now)
		return false
	}
	hl.reset()
	return true
}

// probeNow makes the next probe due immediately.
func (hl *health) probeNow(now time.Duration) {
	hl.nextProbe.Store(int64(now))
	hl.nextProbeSequence.Store(0)
}

// reset ends a suspension and clears the counts.
func (hl *health) reset() {
	hl.consecutiveFailures.Store(0)
	hl.consecutiveGood.Store(0)
	hl.suspended.Store(false)
}

// probeDue reports whether a probe may start at a time and sequence number.
func (hl *health) probeDue(now time.Duration, sequence uint64) bool {
	next := time.Duration(hl.nextProbe.Load())
	if now < next || hl.probing.Load() {
		return false
	}
	return sequence >= hl.nextProbeSequence.Load() || now >= next+overdueDelays*time.Duration(hl.probeDelay.Load())
}

// claimProbe claims the single probe in flight and reports whether it succeeded.
func (hl *health) claimProbe(sequence uint64) bool {
	if !hl.probing.CompareAndSwap(false, true) {
		return false
	}
	hl.nextProbeSequence.Store(sequence + requestsBetweenProbes)
	return true
}
