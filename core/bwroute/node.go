package bwroute

import (
	"math"
	"slices"
	"sync/atomic"
	"time"

	"bilberrywick/core/bwmodel"
)

// snapshot is immutable; the control goroutine replaces it.
type snapshot struct {
	nodes []*node
	// medianLatency and medianRate describe the peers, in seconds and in tokens per second.
	medianLatency float64
	medianRate    float64
}

func newSnapshot(nodes []*node) *snapshot {
	lats := make([]float64, 0, len(nodes))
	rates := make([]float64, 0, len(nodes))
	for _, nd := range nodes {
		if lat := nd.work.latency.load(); lat > 0 {
			lats = append(lats, lat)
		}
		if rt := nd.rate(0); rt > 0 {
			rates = append(rates, rt)
		}
	}
	return &snapshot{nodes: nodes, medianLatency: lowerMedian(lats), medianRate: lowerMedian(rates)}
}

// node is an upstream in a snapshot; work and report outlive the snapshot.
type node struct {
	up     bwmodel.Upstream
	work   *work
	report *atomic.Pointer[report]
}

// work holds what traffic goroutines change.
type work struct {
	inFlight atomic.Int64
	tokens   atomic.Int64
	failures atomic.Int64
	// latency is the smoothed time to the first token or response head, in seconds.
	latency number
	// pace is the smoothed rate of one request, in tokens per second.
	pace  number
	limit number
}

// report is the last status of an upstream; it is immutable.
type report struct {
	Status
	// measured is when the upstream took the load's figures.
	measured time.Time
	// own is the router's own outstanding tokens when the report arrived.
	own int64
}

func newNode(up bwmodel.Upstream) *node {
	nd := &node{up: up, work: &work{}, report: &atomic.Pointer[report]{}}
	nd.work.limit.store(float64(startLimit(up)))
	return nd
}

func (nd *node) with(up bwmodel.Upstream) *node {
	return &node{up: up, work: nd.work, report: nd.report}
}

func (nd *node) observe(now time.Time, st Status) {
	nd.report.Store(&report{Status: st, measured: now.Add(-st.Load.Age), own: nd.work.tokens.Load()})
}

// usable reports whether the upstream may get new work at all.
func (nd *node) usable() bool {
	rep := nd.report.Load()
	return !nd.up.Draining && rep != nil && rep.Connected && !rep.Leaving && !rep.Load.UpstreamIsDown
}

func (nd *node) serves(model string) bool {
	return model == "" || slices.Contains(nd.report.Load().Load.Models, model)
}

// outstanding joins the router's own count with what others had queued.
func (nd *node) outstanding() float64 {
	own := nd.work.tokens.Load()
	rep := nd.report.Load()
	if rep == nil {
		return float64(own)
	}
	return float64(own + max(0, int64(rep.Load.QueuedTokens)-rep.own))
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

func (nd *node) limitNow() int { return max(1, int(nd.work.limit.load())) }

func (nd *node) acquire(tokens, limit int) bool {
	if nd.work.inFlight.Add(1) > int64(limit) {
		nd.work.inFlight.Add(-1)
		return false
	}
	nd.work.tokens.Add(int64(tokens))
	return true
}

func (nd *node) release(tokens int) {
	nd.work.inFlight.Add(-1)
	nd.work.tokens.Add(-int64(tokens))
}

const smoothing = 0.25

func (nd *node) learn(out Outcome) {
	if out.Refused || out.Canceled {
		return
	}
	if out.Failed {
		nd.work.failures.Add(1)
		return
	}
	nd.work.failures.Store(0)
	nd.work.latency.blend(out.FirstToken.Seconds(), smoothing)
	if out.Elapsed > 0 && out.Tokens > 0 {
		nd.work.pace.blend(float64(out.Tokens)/out.Elapsed.Seconds(), smoothing)
	}
}

const unknownSlots = 16

func startLimit(up bwmodel.Upstream) int {
	if up.Slots > 0 {
		return up.Slots
	}
	return unknownSlots
}

func lowerMedian(vals []float64) float64 {
	if len(vals) == 0 {
		return 0
	}
	slices.Sort(vals)
	return vals[(len(vals)-1)/2]
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
