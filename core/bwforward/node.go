package bwforward

import (
	"sync/atomic"
	"time"
)

// Node is an upstream with what this process knows of it.
type Node struct {
	Upstream
	*counters
	zone *zoneHealth
}

// zoneHealth notes the failures of a zone's upstreams, which often fail together.
type zoneHealth struct {
	// last and before are the times of the last two failures.
	last, before atomic.Int64
}

// zoneMemory is about the time in which a crashed process starts again.
const zoneMemory = 1500 * time.Millisecond

func (zh *zoneHealth) fail(now time.Time) { zh.before.Store(zh.last.Swap(now.UnixNano())) }

// failing reports whether two upstreams have failed within zoneMemory.
func (zh *zoneHealth) failing(now time.Time) bool {
	return now.UnixNano()-zh.before.Load() < int64(zoneMemory)
}

// counters are shared by the nodes that follow each other for one upstream.
type counters struct {
	running, unread, tokens atomic.Int64
	// suspended is when the upstream may be used again, failed when it last
	// failed, in nanoseconds of the Unix time; failures counts those in a row.
	suspended, failed, failures atomic.Int64
	// steps is how often the next suspension is doubled.
	steps              atomic.Int64
	report             atomic.Pointer[loadReport]
	replaced, searched atomic.Bool
	// answered is when the upstream last answered this process.
	answered atomic.Int64
	// others is the reading that other gateways have placed here.
	others backlog
}

// Load is what an upstream says of itself.
type Load struct {
	Running, Waiting, Slots int
	// Slowdown is how long work takes relative to the usual; 0 means unknown.
	Slowdown float64
}

type loadReport struct {
	Load
	at time.Time
}

// renew returns a node for a changed entry; an upstream that started again is
// not held to what it did before.
func (nd *Node) renew(up Upstream, zh *zoneHealth) *Node {
	if nd == nil || !nd.StartTime.Equal(up.StartTime) || nd.Address != up.Address {
		return &Node{Upstream: up, counters: new(counters), zone: zh}
	}
	return &Node{Upstream: up, counters: nd.counters, zone: zh}
}

func (nd *Node) load(now time.Time) (Load, bool) {
	rep := nd.report.Load()
	if rep == nil || now.Sub(rep.at) > loadAge {
		return Load{}, false
	}
	return rep.Load, true
}

// LastLoad returns the last load report and its age; both are 0 without one.
func (nd *Node) LastLoad(now time.Time) (Load, time.Duration) {
	rep := nd.report.Load()
	if rep == nil {
		return Load{}, 0
	}
	return rep.Load, now.Sub(rep.at)
}

// Running returns the requests that this process has at the upstream.
func (nd *Node) Running() int { return int(nd.running.Load()) }

// ObserveLoad notes a load report.
func (nd *Node) ObserveLoad(ld Load, now time.Time) {
	nd.report.Store(&loadReport{Load: ld, at: now})
}

// Suspension of an upstream that fails: short, since most failures are of one
// request, and doubled with each failure that is not long ago, so that one which
// is dead, or goes down and up by turns, costs few attempts.
const (
	firstSuspension = 250 * time.Millisecond
	maxSuspension   = 4 * time.Second
	// forgetTime without a failure takes back one doubling. It is above maxSuspension,
	// so that a dead upstream is not tried more often again.
	forgetTime = 6 * time.Second
)

// RecordFailure notes that the upstream did not answer or broke its answer off.
func (nd *Node) RecordFailure(now time.Time) {
	if nd.failures.Add(1) == 1 {
		nd.zone.fail(now)
	}
	last := nd.failed.Swap(now.UnixNano())
	steps := max(nd.steps.Load()-(now.UnixNano()-last)/int64(forgetTime), 0)
	pause := min(firstSuspension<<min(steps, maxSteps), maxSuspension)
	nd.steps.Store(min(steps+1, maxSteps))
	nd.suspended.Store(now.Add(pause).UnixNano())
}

// maxSteps leads to maxSuspension.
const maxSteps = 4

// MarkReplaced notes that another upstream has this one's address, so that it never
// comes back under this entry.
func (nd *Node) MarkReplaced() { nd.replaced.Store(true) }

// RecordResponse notes that the upstream has answered.
func (nd *Node) RecordResponse(now time.Time) {
	nd.answered.Store(now.UnixNano())
	nd.failures.Store(0)
	nd.suspended.Store(0)
}

// FailingSince reports whether the upstream has failed another request after a
// time and not answered since.
func (nd *Node) FailingSince(at time.Time) bool {
	return nd.failures.Load() > 0 && nd.failed.Load() > at.UnixNano()
}

// HadFailureSince reports whether the upstream has failed any request after a time,
// also if it has answered since: what it kept in memory may be lost.
func (nd *Node) HadFailureSince(at time.Time) bool { return nd.failed.Load() > at.UnixNano() }

// BeginSuccessorSearch reports whether the caller may look for what has taken the
// upstream's address; EndSearch lets others do so again.
func (nd *Node) BeginSuccessorSearch() bool { return nd.searched.CompareAndSwap(false, true) }

// EndSuccessorSearch ends what BeginSearch began.
func (nd *Node) EndSuccessorSearch() { nd.searched.Store(false) }

// ExpectedPrefillTime returns how long the engine is expected to read before the first
// token of work that was just placed there.
func (nd *Node) ExpectedPrefillTime() time.Duration {
	return readTime(int(nd.unread.Load()))
}

// Place counts work at the upstream until End of what it returns.
func (nd *Node) Place(wrk Work) *Placement {
	plc := &Placement{node: nd, prompt: int64(wrk.PromptTokens), memory: int64(wrk.PromptTokens + wrk.MaxOutputTokens)}
	nd.running.Add(1)
	nd.unread.Add(plc.prompt)
	nd.tokens.Add(plc.memory)
	return plc
}

// PlaceCopy counts the memory of a copy at the upstream.
func (nd *Node) PlaceCopy(wrk Work) *Placement {
	plc := &Placement{node: nd, memory: int64(wrk.PromptTokens + wrk.MaxOutputTokens), copied: true}
	nd.tokens.Add(plc.memory)
	return plc
}

// Placement is the work of one attempt at an upstream. One goroutine uses it.
type Placement struct {
	node   *Node
	prompt int64
	memory int64
	copied bool
}

// FinishPrefill notes that the engine has read the prompt.
func (plc *Placement) FinishPrefill() {
	plc.node.unread.Add(-plc.prompt)
	plc.prompt = 0
}

// End takes the work away.
func (plc *Placement) End() {
	if plc == nil || plc.node == nil {
		return
	}
	plc.node.unread.Add(-plc.prompt)
	plc.node.tokens.Add(-plc.memory)
	if !plc.copied {
		plc.node.running.Add(-1)
	}
	plc.node = nil
}
