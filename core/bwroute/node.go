package bwroute

import (
	"math"
	"slices"
	"sync/atomic"
	"time"

	"bilberrywick/core/bwmodel"
)

// node is an upstream in a snapshot. Its pointers are shared with the nodes of the
// same upstream in later snapshots.
type node struct {
	up bwmodel.Upstream
	// maxInFlight is the upper bound of this router's adaptive limit.
	maxInFlight int
	index       uint16
	traffic     *trafficState
	report      *atomic.Pointer[report]
	cache       *cacheView
	// Only the control goroutine uses history.
	history *tokenHistory
}

// trafficState holds the state of an upstream that traffic goroutines update.
type trafficState struct {
	inFlight atomic.Int64
	// tokens is the expected work of the requests in flight, in tokens.
	tokens atomic.Int64
	// latency is the smoothed time to the first token or response header, in seconds.
	latency atomicFloat
	// latencyUpdated is the time of the last change of latency, in nanoseconds since
	// Chooser.start.
	latencyUpdated atomic.Int64
	// tokenRate is the smoothed output rate of one request, in tokens per second.
	tokenRate atomicFloat
	limit     limit
	health    health
	// awaitingFirstToken counts the requests without a first token. unresponsiveSince
	// is the latest of the start of the first of them, the arrival of a first token
	// and the end of a request without one, in nanoseconds since Chooser.start.
	awaitingFirstToken atomic.Int64
	unresponsiveSince  atomic.Int64
}

// report is the last status of an upstream with the work outstanding when the
// upstream measured its load. It is immutable.
type report struct {
	UpstreamStatus
	// queued is the outstanding work of all routers, in tokens.
	queued float64
	// ownQueued is the part of queued from this router.
	ownQueued float64
}

// withUpstream returns a copy of the node with new settings of the upstream. It
// resets the limit when maxInFlight changes.
func (nd *node) withUpstream(up bwmodel.Upstream, maxInFlight int) *node {
	next := *nd
	if next.maxInFlight != maxInFlight {
		nd.traffic.limit.reset(maxInFlight)
	}
	next.up, next.maxInFlight = up, maxInFlight
	return &next
}

// observe stores a report. If the upstream reports requests but no tokens, each
// request counts as meanTokens.
func (nd *node) observe(now time.Time, st UpstreamStatus, meanTokens float64) {
	st.Cache = nil
	count := float64(st.Load.Running + st.Load.Waiting)
	queued := max(float64(st.Load.QueuedTokens), count*max(1, meanTokens))
	if st.Load.QueuedTokens > 0 {
		queued = float64(st.Load.QueuedTokens)
	}
	own := float64(nd.history.tokensAt(now.Add(-st.Load.Age), nd.traffic.tokens.Load()))
	nd.report.Store(&report{UpstreamStatus: st, queued: queued, ownQueued: min(own, queued)})
}

// usable reports whether the upstream may receive new requests.
func (nd *node) usable() bool {
	rep := nd.report.Load()
	return !nd.up.Draining && rep != nil && rep.Connected && !rep.Leaving && !rep.Load.UpstreamIsDown
}

func (nd *node) serves(model string) bool {
	return model == "" || slices.Contains(nd.report.Load().Load.Models, model)
}

// outstanding estimates the tokens outstanding at the upstream from its delayed
// report and the router's own count. It assumes that the other routers' counts
// have changed since the report by as much as this router's; routers is their
// number including this one, as estimated from the reports. Without the correction
// every router would fill the same upstream until its next report.
func (nd *node) outstanding(routers float64) float64 {
	own := float64(nd.traffic.tokens.Load())
	rep := nd.report.Load()
	if rep == nil {
		return own
	}
	return max(own, rep.queued+routers*(own-rep.ownQueued))
}

// tokensPerSecond returns the output rate of one request: as measured, else as
// reported, else the fallback.
func (nd *node) tokensPerSecond(fallback float64) float64 {
	if rate := nd.traffic.tokenRate.load(); rate > 0 {
		return rate
	}
	if rep := nd.report.Load(); rep != nil && rep.Load.TokenRate > 0 {
		return rep.Load.TokenRate
	}
	return fallback
}

// acquire counts a request as in flight unless the limit is reached.
func (ts *trafficState) acquire(tokens, lim int) bool {
	if ts.inFlight.Add(1) > int64(lim) {
		ts.inFlight.Add(-1)
		return false
	}
	ts.tokens.Add(int64(tokens))
	return true
}

func (ts *trafficState) release(tokens int) {
	ts.inFlight.Add(-1)
	ts.tokens.Add(-int64(tokens))
}

// beginWait counts a request that waits for its first token.
func (ts *trafficState) beginWait(now time.Duration) {
	if ts.awaitingFirstToken.Add(1) == 1 {
		ts.unresponsiveSince.Store(int64(now))
	}
}

// endWait ends the wait of a request whose first token has arrived or that has ended.
func (ts *trafficState) endWait(now time.Duration) {
	ts.awaitingFirstToken.Add(-1)
	ts.unresponsiveSince.Store(int64(now))
}

// unresponsiveTime returns the time for which requests have waited without a first
// token from the upstream. It reveals a slow upstream before its first token arrives.
func (ts *trafficState) unresponsiveTime(now time.Duration) time.Duration {
	if ts.awaitingFirstToken.Load() == 0 {
		return 0
	}
	return now - time.Duration(ts.unresponsiveSince.Load())
}

// smoothing is the weight of a new sample in the averages of latency, output rate
// and expected tokens.
const smoothing = 0.25

func (ts *trafficState) updateTokenRate(out Outcome) {
	if out.Elapsed > 0 && out.Tokens > 0 {
		ts.tokenRate.smooth(float64(out.Tokens)/out.Elapsed.Seconds(), smoothing)
	}
}

// initialLimit returns the limit with which an upstream starts: its slots if set.
func initialLimit(up bwmodel.Upstream) int {
	if up.Slots > 0 {
		return up.Slots
	}
	return defaultInitialLimit
}

// tokenHistory records the router's own outstanding tokens over time, so that a
// delayed report is compared with the count at the time of its measurement.
type tokenHistory struct {
	entries [historySize]historyEntry
	next    int
}

type historyEntry struct {
	at     time.Time
	tokens int64
}

// historySize entries at least historySpacing apart cover 6.4 s, which is more than
// the 5 s by which reports may be delayed.
const (
	historySize    = 64
	historySpacing = 100 * time.Millisecond
)

func (th *tokenHistory) add(now time.Time, tokens int64) {
	newest := th.entries[(th.next+historySize-1)%historySize]
	if !newest.at.IsZero() && now.Sub(newest.at) < historySpacing {
		return
	}
	th.entries[th.next] = historyEntry{at: now, tokens: tokens}
	th.next = (th.next + 1) % historySize
}

// tokensAt returns the latest count recorded at or before a time, or the oldest
// count if all are later. It returns current when the time is later than every
// entry by at least historySpacing.
func (th *tokenHistory) tokensAt(when time.Time, current int64) int64 {
	oldest := current
	for cnt := 1; cnt <= historySize; cnt++ {
		ent := th.entries[(th.next+historySize-cnt)%historySize]
		if ent.at.IsZero() {
			break
		}
		if !ent.at.After(when) {
			if cnt == 1 && when.Sub(ent.at) >= historySpacing {
				return current
			}
			return ent.tokens
		}
		oldest = ent.tokens
	}
	return oldest
}

// atomicFloat is a float64 with atomic operations.
type atomicFloat struct{ bits atomic.Uint64 }

func (af *atomicFloat) load() float64     { return math.Float64frombits(af.bits.Load()) }
func (af *atomicFloat) store(val float64) { af.bits.Store(math.Float64bits(val)) }

// smooth adds a sample to an exponential moving average; the first sample sets the
// value.
func (af *atomicFloat) smooth(sample, weight float64) {
	for {
		old := af.bits.Load()
		val := math.Float64frombits(old)
		if val == 0 {
			val = sample
		}
		if af.bits.CompareAndSwap(old, math.Float64bits(val+weight*(sample-val))) {
			return
		}
	}
}
