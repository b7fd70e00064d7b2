package bwroute

import (
	"math"
	"slices"
	"sync/atomic"
	"time"

	"bilberrywick/core/bwmodel"
)

// node is an upstream in a snapshot; all but up outlives the snapshot.
type node struct {
	up bwmodel.Upstream
	// highest bounds this router's requests in flight.
	highest int
	slot    uint16
	work    *work
	report  *atomic.Pointer[report]
	cache   *cacheView
	// past belongs to the control goroutine.
	past *past
}

// work holds what traffic goroutines change.
type work struct {
	inFlight atomic.Int64
	tokens   atomic.Int64
	// latency is the smoothed time to the first token or response head, in seconds.
	latency number
	// sampled is when latency last changed, counted from the chooser's start.
	sampled atomic.Int64
	// pace is the smoothed rate of one request, in tokens per second.
	pace   number
	limit  limit
	health health
	// unanswered counts the requests without a first token, and silent is when the
	// first of them started or the last first token came, from the chooser's start.
	unanswered atomic.Int64
	silent     atomic.Int64
}

// report is the last status of an upstream; it is immutable.
type report struct {
	UpstreamStatus
	// queued is the outstanding work of all routers when the upstream measured it.
	queued float64
	// own is the part of queued that came from this router.
	own float64
}

func (nd *node) with(up bwmodel.Upstream, highest int) *node {
	next := *nd
	if next.highest != highest {
		nd.work.limit.start(highest)
	}
	next.up, next.highest = up, highest
	return &next
}

// observe stores a report. An upstream that counts requests but not tokens is
// taken to hold requests of the mean size.
func (nd *node) observe(now time.Time, st UpstreamStatus, meanTokens float64) {
	st.Cache = nil
	count := float64(st.Load.Running + st.Load.Waiting)
	queued := max(float64(st.Load.QueuedTokens), count*max(1, meanTokens))
	if st.Load.QueuedTokens > 0 {
		queued = float64(st.Load.QueuedTokens)
	}
	own := float64(nd.past.at(now.Add(-st.Load.Age), nd.work.tokens.Load()))
	nd.report.Store(&report{UpstreamStatus: st, queued: queued, own: min(own, queued)})
}

// usable reports whether the upstream may get new work at all.
func (nd *node) usable() bool {
	rep := nd.report.Load()
	return !nd.up.Draining && rep != nil && rep.Connected && !rep.Leaving && !rep.Load.UpstreamIsDown
}

func (nd *node) serves(model string) bool {
	return model == "" || slices.Contains(nd.report.Load().Load.Models, model)
}

// outstanding joins the router's own count with the lagging report. What has
// changed since the report is the router's own change, and that of the other
// routers, which are taken to behave alike: peers is the number of routers as
// seen in the reports. Without this every router would fill the same upstream
// until its next report.
func (nd *node) outstanding(peers float64) float64 {
	own := float64(nd.work.tokens.Load())
	rep := nd.report.Load()
	if rep == nil {
		return own
	}
	return max(own, rep.queued+peers*(own-rep.own))
}

// rate is the tokens per second that one request gets.
func (nd *node) rate(fallback float64) float64 {
	if pc := nd.work.pace.load(); pc > 0 {
		return pc
	}
	if rep := nd.report.Load(); rep != nil && rep.Load.TokenRate > 0 {
		return rep.Load.TokenRate
	}
	return fallback
}

func (wk *work) acquire(tokens, lim int) bool {
	if wk.inFlight.Add(1) > int64(lim) {
		wk.inFlight.Add(-1)
		return false
	}
	wk.tokens.Add(int64(tokens))
	return true
}

func (wk *work) release(tokens int) {
	wk.inFlight.Add(-1)
	wk.tokens.Add(-int64(tokens))
}

// await counts a request that has no first token yet.
func (wk *work) await(now time.Duration) {
	if wk.unanswered.Add(1) == 1 {
		wk.silent.Store(int64(now))
	}
}

// answered ends the wait of a request.
func (wk *work) answered(now time.Duration) {
	wk.unanswered.Add(-1)
	wk.silent.Store(int64(now))
}

// silence returns for how long requests have waited without a first token from
// the upstream; a slow upstream shows in it long before its first token.
func (wk *work) silence(now time.Duration) time.Duration {
	if wk.unanswered.Load() == 0 {
		return 0
	}
	return now - time.Duration(wk.silent.Load())
}

const smoothing = 0.25

func (wk *work) learnPace(out Outcome) {
	if out.Elapsed > 0 && out.Tokens > 0 {
		wk.pace.blend(float64(out.Tokens)/out.Elapsed.Seconds(), smoothing)
	}
}

func startLimit(up bwmodel.Upstream) int {
	if up.Slots > 0 {
		return up.Slots
	}
	return firstLimit
}

// past remembers the router's own outstanding tokens, so that a lagging report
// is compared with the count of its own time.
type past struct {
	entries [pastSize]pastEntry
	next    int
}

type pastEntry struct {
	at     time.Time
	tokens int64
}

// pastSize entries at least pastSpacing apart reach back 6.4 s, more than the
// 5 s by which reports lag.
const (
	pastSize    = 64
	pastSpacing = 100 * time.Millisecond
)

func (ps *past) add(now time.Time, tokens int64) {
	newest := ps.entries[(ps.next+pastSize-1)%pastSize]
	if !newest.at.IsZero() && now.Sub(newest.at) < pastSpacing {
		return
	}
	ps.entries[ps.next] = pastEntry{at: now, tokens: tokens}
	ps.next = (ps.next + 1) % pastSize
}

// at returns the newest count that is not newer than a time, or the oldest; it
// returns current when the time is later than every entry by the spacing.
func (ps *past) at(tm time.Time, current int64) int64 {
	oldest := current
	for cnt := 1; cnt <= pastSize; cnt++ {
		ent := ps.entries[(ps.next+pastSize-cnt)%pastSize]
		if ent.at.IsZero() {
			break
		}
		if !ent.at.After(tm) {
			if cnt == 1 && tm.Sub(ent.at) >= pastSpacing {
				return current
			}
			return ent.tokens
		}
		oldest = ent.tokens
	}
	return oldest
}

// number is a float64 that several goroutines change.
type number struct{ bits atomic.Uint64 }

func (num *number) load() float64     { return math.Float64frombits(num.bits.Load()) }
func (num *number) store(val float64) { num.bits.Store(math.Float64bits(val)) }

// blend moves the value towards a sample, or sets it when it has none.
func (num *number) blend(sample, part float64) {
	for {
		old := num.bits.Load()
		val := math.Float64frombits(old)
		if val == 0 {
			val = sample
		}
		if num.bits.CompareAndSwap(old, math.Float64bits(val+part*(sample-val))) {
			return
		}
	}
}
