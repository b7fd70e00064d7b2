package bwroute

import (
	"sync/atomic"
	"time"
)

// lease is one request in flight.
type lease struct {
	chs    *Chooser
	nd     *node
	tokens int
	// probe says that the upstream was suspended, so that the answer decides
	// whether it stays so; claimed says that the lease is the only probe in flight.
	probe   bool
	claimed bool
	// reported says that the time to the first token has been taken in.
	reported atomic.Bool
	done     atomic.Bool
}

// started takes in the time to the first token.
func (ls *lease) started(first time.Duration) {
	if first <= 0 || ls.done.Load() || ls.reported.Swap(true) {
		return
	}
	ls.nd.work.answered(ls.since())
	ls.sample(first)
}

// finish gives the place back and takes in how the upstream answered.
func (ls *lease) finish(out Outcome) {
	if ls.done.Swap(true) {
		return
	}
	wk := ls.nd.work
	if !ls.reported.Load() {
		wk.answered(ls.since())
	}
	ls.learn(out)
	wk.release(ls.tokens)
	if ls.claimed {
		wk.health.probing.Store(false)
	}
	ls.chs.freed.broadcast()
}

func (ls *lease) learn(out Outcome) {
	hl := &ls.nd.work.health
	now := ls.since()
	switch {
	case out.Refused:
		if ls.probe {
			hl.suspend(now)
		}
	case out.Failed:
		if hl.fail() || ls.probe {
			hl.suspend(now)
		}
	case out.Canceled:
		ls.censored(out)
	default:
		hl.failures.Store(0)
		if out.FirstToken > 0 && !ls.reported.Load() {
			ls.sample(out.FirstToken)
		}
		ls.nd.work.learnPace(out)
	}
}

// censored takes in a request that was cancelled without an answer: its time
// so far is a lower bound, which says something only when it is above what was
// expected.
func (ls *lease) censored(out Outcome) {
	if out.FirstToken > 0 || ls.reported.Load() {
		return
	}
	if out.Elapsed.Seconds() > ls.nd.work.latency.load() {
		ls.sample(out.Elapsed)
		return
	}
	if ls.probe {
		ls.nd.work.health.retry(ls.since())
	}
}

// sample takes in a time to the first token: for the limit, and to compare the
// upstream with its peers.
func (ls *lease) sample(first time.Duration) {
	wk, sec := ls.nd.work, first.Seconds()
	now := ls.since()
	median := ls.chs.current.Load().medianLatency
	if ls.probe {
		if relative(first, median) >= slowThreshold {
			wk.health.suspend(now)
			return
		}
		if wk.health.recover(now) {
			wk.latency.store(sec)
			wk.pace.store(0)
			wk.sampled.Store(int64(now))
			wk.limit.start(rampLimit)
		}
		return
	}
	wk.latency.blend(sec, smoothing)
	wk.sampled.Store(int64(now))
	wk.limit.learn(sec, wk.latency.load(), int(wk.inFlight.Load()), ls.nd.highest)
	if relative(fromSeconds(wk.latency.load()), median) >= slowThreshold {
		wk.health.suspend(now)
	}
}

func (ls *lease) since() time.Duration { return ls.chs.cfg.Now().Sub(ls.chs.begin) }
