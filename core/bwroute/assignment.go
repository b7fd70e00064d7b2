package bwroute

import (
	"sync/atomic"
	"time"
)

// assignment is one request in flight at an upstream.
type assignment struct {
	chs    *Chooser
	nd     *node
	tokens int
	// probe is true when the upstream was suspended, so that the outcome decides
	// whether the suspension ends. ownsProbe is true when the request has claimed the
	// single probe in flight.
	probe     bool
	ownsProbe bool
	// firstTokenReported is true once reportFirstToken has recorded the time.
	firstTokenReported atomic.Bool
	done               atomic.Bool
}

// reportFirstToken records the time to the first token, once per request.
func (as *assignment) reportFirstToken(first time.Duration) {
	if first <= 0 || as.done.Load() || as.firstTokenReported.Swap(true) {
		return
	}
	as.nd.traffic.endWait(as.elapsed())
	as.recordFirstToken(first)
}

// finish releases the slot and records the outcome. Only the first call has an effect.
func (as *assignment) finish(out Outcome) {
	if as.done.Swap(true) {
		return
	}
	ts := as.nd.traffic
	if !as.firstTokenReported.Load() {
		ts.endWait(as.elapsed())
	}
	as.recordOutcome(out)
	ts.release(as.tokens)
	if as.ownsProbe {
		ts.health.probing.Store(false)
	}
	as.chs.slotFreed.broadcast()
}

func (as *assignment) recordOutcome(out Outcome) {
	hl := &as.nd.traffic.health
	now := as.elapsed()
	switch {
	case out.Refused:
		if as.probe {
			hl.suspend(now)
		}
	case out.Failed:
		if hl.recordFailure() || as.probe {
			hl.suspend(now)
		}
	case out.Canceled:
		as.recordCanceled(out)
	default:
		hl.consecutiveFailures.Store(0)
		if out.FirstToken > 0 && !as.firstTokenReported.Load() {
			as.recordFirstToken(out.FirstToken)
		}
		as.nd.traffic.updateTokenRate(out)
	}
}

// recordCanceled records a request that was canceled before the first token. Its
// elapsed time is a lower bound of the latency, so it is a sample only when it
// exceeds the smoothed latency.
func (as *assignment) recordCanceled(out Outcome) {
	if out.FirstToken > 0 || as.firstTokenReported.Load() {
		return
	}
	if out.Elapsed.Seconds() > as.nd.traffic.latency.load() {
		as.recordFirstToken(out.Elapsed)
		return
	}
	if as.probe {
		as.nd.traffic.health.probeNow(as.elapsed())
	}
}

// recordFirstToken records a time to the first token: it updates the latency and the
// limit, and suspends the upstream when it is slow. For a probe it decides whether
// the probe was answered in time.
func (as *assignment) recordFirstToken(first time.Duration) {
	ts, sec := as.nd.traffic, first.Seconds()
	now := as.elapsed()
	median := as.chs.current.Load().medianLatency
	if as.probe {
		if latencyRatio(first, median) >= slowThreshold {
			ts.health.suspend(now)
			return
		}
		if ts.health.recordGoodProbe(now) {
			ts.latency.store(sec)
			ts.tokenRate.store(0)
			ts.latencyUpdated.Store(int64(now))
			ts.limit.reset(recoveryLimit)
		}
		return
	}
	ts.latency.smooth(sec, smoothing)
	ts.latencyUpdated.Store(int64(now))
	ts.limit.update(sec, ts.latency.load(), int(ts.inFlight.Load()), as.nd.maxInFlight)
	if latencyRatio(fromSeconds(ts.latency.load()), median) >= slowThreshold {
		ts.health.suspend(now)
	}
}

// elapsed returns the time since the chooser's start.
func (as *assignment) elapsed() time.Duration { return as.chs.cfg.Now().Sub(as.chs.start) }
