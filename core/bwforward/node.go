package bwforward

import (
	"sync/atomic"
	"time"
)

// Node is an upstream with the load and failures that this process has observed.
type Node struct {
	Upstream
	*nodeCounters
	zone  *zoneHealth
	now   func() time.Time
	state *serviceState
	// versionRunning counts the requests in progress of the upstream's version.
	versionRunning *atomic.Int64
}

// zoneHealth records the failures of a service's upstreams in a zone, which often
// fail together.
type zoneHealth struct {
	// last and previous are the times of the last two failures, as returned by
	// nanos.
	last, previous atomic.Int64
}

// zoneFailureWindow is about the time in which a crashed process restarts.
const zoneFailureWindow = 1500 * time.Millisecond

// addFailure records an upstream's first failure since its last response.
func (zh *zoneHealth) addFailure(now time.Time) { zh.previous.Store(zh.last.Swap(nanos(now))) }

// failing reports whether two upstreams have failed within zoneFailureWindow.
func (zh *zoneHealth) failing(now time.Time) bool {
	return nanos(now)-zh.previous.Load() < int64(zoneFailureWindow)
}

// nodeCounters is shared by the successive nodes of one upstream.
type nodeCounters struct {
	// running counts this process's requests, prefillTokens the tokens of their
	// prompts whose prefill has not finished, and memoryTokens the tokens that the
	// requests and copies need in the KV cache.
	running, prefillTokens, memoryTokens atomic.Int64
	// copies counts this process's KV cache copies at the upstream.
	copies atomic.Int64
	// suspendedUntil is the end of the suspension and lastFailure the time of the
	// last failure, both as returned by nanos. consecutiveFailures counts the
	// failures since the last response.
	suspendedUntil, lastFailure, consecutiveFailures atomic.Int64
	// unverified counts the unverified responses since the last response.
	unverified atomic.Int64
	// doublings is how often firstSuspension is doubled for the next suspension.
	doublings           atomic.Int64
	lastReport          atomic.Pointer[loadReport]
	replaced, searching atomic.Bool
	// saysLeaving is set if the upstream has said in a response that it leaves.
	saysLeaving atomic.Bool
	// lastResponse is the time of the upstream's last response to this process, as
	// returned by nanos.
	lastResponse atomic.Int64
	// aliveAt is that of RecordAlive, in nanoseconds; 0 means none.
	aliveAt atomic.Int64
	// peerWork is the work that other gateways have placed at the upstream.
	peerWork peerWork
	// speed is nil until it was observed.
	speed atomic.Pointer[engineSpeed]
	proof proof
	// prefillDone is the time when the last prefill of this process's requests ended, as
	// returned by nanos, and slowWindows the number of times in a row in which the
	// engine's events were slow.
	prefillDone, slowWindows atomic.Int64
	// ownPlacedAt is the time of this process's last placement, as returned by nanos.
	ownPlacedAt atomic.Int64
	// limit is nil unless the upstream limits its requests.
	limit atomic.Pointer[rateLimit]
	// permits is nil unless a permit for the upstream was refused.
	permits atomic.Pointer[permitBlock]
	// backOffUntil is the time until which the upstream wants no requests from this
	// gateway, as returned by nanos.
	backOffUntil atomic.Int64
}

// Load is the load that an upstream reports.
type Load struct {
	Running, Waiting, Slots int
	// Slowdown is the current duration of work relative to the usual one; 0 means
	// unknown.
	Slowdown float64
}

type loadReport struct {
	Load
	received time.Time
}

// withUpstream returns a node for a changed entry. It keeps the counters unless
// the upstream has restarted or has another address: failures of an earlier run
// must not suspend the new one.
func (nd *Node) withUpstream(up Upstream, zh *zoneHealth) *Node {
	if nd == nil || !nd.StartTime.Equal(up.StartTime) || nd.Address != up.Address {
		return &Node{Upstream: up, nodeCounters: new(nodeCounters), zone: zh}
	}
	return &Node{Upstream: up, nodeCounters: nd.nodeCounters, zone: zh}
}

// freshLoad returns the last load report, and false when there is none or it is
// older than maxLoadAge.
func (nd *Node) freshLoad(now time.Time) (Load, bool) {
	rep := nd.lastReport.Load()
	if rep == nil || now.Sub(rep.received) > maxLoadAge {
		return Load{}, false
	}
	return rep.Load, true
}

// LastLoad returns the last load report and its age; both are 0 without one.
func (nd *Node) LastLoad(now time.Time) (Load, time.Duration) {
	rep := nd.lastReport.Load()
	if rep == nil {
		return Load{}, 0
	}
	return rep.Load, now.Sub(rep.received)
}

// Running returns the number of this process's requests at the upstream.
func (nd *Node) Running() int { return int(nd.running.Load()) }

// ObserveLoad records a load report received at now.
func (nd *Node) ObserveLoad(ld Load, now time.Time) {
	nd.lastReport.Store(&loadReport{Load: ld, received: now})
}

// Suspension of an upstream after a failure. It starts short, since most failures
// affect one request. It doubles with each further recent failure, so that a dead
// or flapping upstream costs few attempts.
const (
	firstSuspension = 250 * time.Millisecond
	maxSuspension   = 4 * time.Second
	// doublingDecayTime without a failure undoes one doubling. It is above
	// maxSuspension, so that a dead upstream is not tried more often again.
	doublingDecayTime = 6 * time.Second
)

// RecordFailure records that the upstream did not respond or sent an incomplete
// response, and suspends it.
func (nd *Node) RecordFailure(now time.Time) {
	if nd.consecutiveFailures.Add(1) == 1 {
		nd.zone.addFailure(now)
	}
	last := nd.lastFailure.Swap(nanos(now))
	doublings := max(nd.doublings.Load()-(nanos(now)-last)/int64(doublingDecayTime), 0)
	suspension := min(firstSuspension<<min(doublings, maxDoublings), maxSuspension)
	nd.doublings.Store(min(doublings+1, maxDoublings))
	nd.suspendedUntil.Store(nanos(now.Add(suspension)))
}

// maxDoublings turns firstSuspension into maxSuspension.
const maxDoublings = 4

// MarkReplaced records that another upstream has this one's address, so that the
// node never gets work again. It counts as a failure in the zone: when a zone's
// upstreams restart, their old entries stay on the list for seconds and look
// idle.
func (nd *Node) MarkReplaced(now time.Time) {
	if !nd.replaced.Swap(true) {
		nd.zone.addFailure(now)
	}
}

// maxUnverified is the number of unverified responses in a row up to which an upstream
// does not count as failing. It is alive, and at a few spoiled responses in a hundred the
// other upstreams would have to take all of its work.
const maxUnverified = 1

// RecordUnverified records an unverified response, and reports whether the upstream counts
// as failing.
func (nd *Node) RecordUnverified() bool { return nd.unverified.Add(1) > maxUnverified }

// RecordResponse records that the upstream has responded, and ends its suspension.
func (nd *Node) RecordResponse(now time.Time) {
	nd.lastResponse.Store(nanos(now))
	nd.unverified.Store(0)
	nd.consecutiveFailures.Store(0)
	nd.suspendedUntil.Store(0)
}

// RecordAlive records that the upstream was alive at a time on the clock of IsSameService.
// It is the time at which a request was sent that the upstream has answered: the response
// may have been on its way for any time, and this process suspended meanwhile.
func (nd *Node) RecordAlive(sentAt time.Duration) {
	for {
		old := nd.aliveAt.Load()
		if int64(sentAt) <= old || nd.aliveAt.CompareAndSwap(old, int64(sentAt)) {
			return
		}
	}
}

// AliveAt returns the latest time that RecordAlive has recorded, or 0.
func (nd *Node) AliveAt() time.Duration { return time.Duration(nd.aliveAt.Load()) }

// FailingSince reports whether the upstream has failed a request after a time
// and has not responded since that failure.
func (nd *Node) FailingSince(at time.Time) bool {
	return nd.consecutiveFailures.Load() > 0 && nd.lastFailure.Load() > nanos(at)
}

// HadFailureSince reports whether the upstream has failed a request after a time,
// even if it has responded since: the contents of its KV cache may be lost.
func (nd *Node) HadFailureSince(at time.Time) bool { return nd.lastFailure.Load() > nanos(at) }

// BeginSuccessorSearch reports whether the caller may search for the upstream
// that now has this one's address. Only one search runs until EndSuccessorSearch.
func (nd *Node) BeginSuccessorSearch() bool { return nd.searching.CompareAndSwap(false, true) }

// EndSuccessorSearch allows the next search.
func (nd *Node) EndSuccessorSearch() { nd.searching.Store(false) }

// Place counts work at the upstream until Placement.End.
func (nd *Node) Place(wrk Work) *Placement {
	plc := &Placement{node: nd, promptTokens: int64(wrk.PromptTokens), memoryTokens: int64(wrk.PromptTokens + wrk.MaxOutputTokens)}
	nd.running.Add(1)
	nd.versionRunning.Add(1)
	nd.prefillTokens.Add(plc.promptTokens)
	nd.memoryTokens.Add(plc.memoryTokens)
	if wrk.PromptTokens > 0 {
		nd.recordPlaced(nd.now())
		nd.recordOwnPlacement(nd.now())
	}
	return plc
}

// PlaceCopy counts the KV cache memory of a copy at the upstream until
// Placement.End.
func (nd *Node) PlaceCopy(wrk Work) *Placement {
	plc := &Placement{node: nd, memoryTokens: int64(wrk.PromptTokens + wrk.MaxOutputTokens), isCopy: true}
	nd.memoryTokens.Add(plc.memoryTokens)
	nd.copies.Add(1)
	return plc
}

// Placement is the counted work of one attempt or copy at an upstream. It is not
// safe for concurrent use.
type Placement struct {
	node         *Node
	promptTokens int64
	memoryTokens int64
	isCopy       bool
}

// FinishPrefill records that the engine has finished the prefill.
func (plc *Placement) FinishPrefill() {
	plc.node.prefillTokens.Add(-plc.promptTokens)
	plc.promptTokens = 0
	plc.node.prefillDone.Store(nanos(plc.node.now()))
}

// End removes the work from the upstream's counters. Further calls, and calls on
// nil, have no effect.
func (plc *Placement) End() {
	if plc == nil || plc.node == nil {
		return
	}
	plc.node.prefillTokens.Add(-plc.promptTokens)
	plc.node.memoryTokens.Add(-plc.memoryTokens)
	if plc.isCopy {
		plc.node.copies.Add(-1)
	} else {
		plc.node.running.Add(-1)
		plc.node.versionRunning.Add(-1)
		plc.node.state.ends.Add(1)
	}
	plc.node = nil
}
