package bwforward

import (
	"math"
	"sync/atomic"
	"time"

	"bilberrywick/core/bwmodel"
)

// Estimate is what a stream can expect of an engine.
type Estimate struct {
	// First is the expected time to the first event, and Prefill the part of it that
	// the stream's own prompt takes.
	First, Prefill time.Duration
	// HasRoom is set if the engine has a free slot, and KV cache memory for the whole
	// stream.
	HasRoom bool

	// base is First at an engine of the service's speed, and isAlone is set if there
	// are no other prompts.
	base    time.Duration
	isAlone bool
	// isScarce is set if the engine has little room or other prompts, or is slow.
	isScarce bool
}

// Estimate returns what work can expect of a node, with the work that this and
// other gateways have placed there.
func (pl *Pool) Estimate(nd *Node, wrk Work) Estimate {
	now := pl.cfg.Now()
	factor := nd.engineSpeed().factor(now)
	own := pl.PrefillTime(wrk.Service.Name, wrk.PromptTokens)
	pending := pl.PrefillTime(wrk.Service.Name, int(nd.prefillTokens.Load()))
	others := nd.peerWork.remainingPrefill(now)
	est := Estimate{
		First:   scaled(own+pending, factor) + others,
		Prefill: scaled(own, factor),
		HasRoom: nd.hasSlot(now) && nd.hasMemory(wrk, now) && !pl.onlyTests(nd, now),
		isAlone: pending == 0 && others == 0,
	}
	est.base = scaled(est.First, 1/factor)
	est.isScarce = est.First > scaled(est.Prefill, idleMargin) || !nd.hasMemoryFor(wrk, scarceStreams, now) || nd.engineSpeed().slow > 0
	if nd.isUnproven(now) {
		// The prompts may not have been processed at the usual rate.
		unanswered := time.Duration(nd.proof.unanswered.Load())
		est.First = max(est.First, scaled(own, factor)*(unanswered+1))
		est.First = scaled(est.First, unprovenMargin)
	}
	return est
}

// IsBusy reports whether no engine can start with work at once.
func (pl *Pool) IsBusy(wrk Work) bool {
	nd := pl.Choose(wrk)
	return nd == nil || pl.Estimate(nd, wrk).isBusy()
}

// isBusy reports whether the engine has other prompts to process, or no room.
func (est Estimate) isBusy() bool {
	return !est.HasRoom || est.First > scaled(est.Prefill, idleMargin)
}

// OwnPrefillTime returns the expected time until a node finishes the prefill of
// all prompts that this process has placed there.
func (pl *Pool) OwnPrefillTime(nd *Node) time.Duration {
	pending := pl.PrefillTime(nd.Service, int(nd.prefillTokens.Load()))
	return scaled(pending, nd.engineSpeed().factor(pl.cfg.Now()))
}

// runningRequests returns the number of requests at the node, at least as many as
// it reported last.
func (nd *Node) runningRequests(now time.Time) int {
	running := int(nd.running.Load()) + nd.peerWork.streams.running(now)
	if ld, fresh := nd.freshLoad(now); fresh {
		running = max(running, ld.Running)
	}
	return running
}

func (nd *Node) hasSlot(now time.Time) bool {
	return nd.Slots == 0 || nd.runningRequests(now) < nd.Slots
}

// hasMemory reports whether the work fits into the node's KV cache.
func (nd *Node) hasMemory(wrk Work, now time.Time) bool { return nd.hasMemoryFor(wrk, 1, now) }

// hasMemoryFor reports whether a number of streams like the work fit into the node's KV
// cache, beside usableMemoryShare. Streams and copies of other gateways whose notes say
// no size are assumed to be as large as the work.
func (nd *Node) hasMemoryFor(wrk Work, streams int, now time.Time) bool {
	if wrk.Service.Model == nil || wrk.Service.Model.Memory <= 0 {
		return true
	}
	needed := nd.neededMemory(wrk, streams, now)
	return float64(needed) <= usableMemoryShare*float64(wrk.Service.Model.Memory)
}

// neededMemory returns the KV cache memory that all known streams and copies at the node
// need, with a number of streams like the work.
func (nd *Node) neededMemory(wrk Work, streams int, now time.Time) int {
	size := wrk.PromptTokens + wrk.MaxOutputTokens
	return int(nd.memoryTokens.Load()) + nd.peerWork.streams.memory(now, size) + nd.peerWork.copies.memory(now, size) + streams*size
}

// FitsMemory reports whether work can be placed at a node without exceeding its memory.
func (pl *Pool) FitsMemory(nd *Node, wrk Work) bool { return !nd.wouldCrash(wrk, pl.cfg.Now()) }

// wouldCrash reports whether the work would exceed the memory of an engine, which crashes
// then with all of its streams.
func (nd *Node) wouldCrash(wrk Work, now time.Time) bool {
	mdl := wrk.Service.Model
	return mdl != nil && mdl.Memory > 0 && nd.neededMemory(wrk, 1, now) > mdl.Memory
}

// ObserveFirstEvent records how long a node took to the first event of work, for
// which an estimate was made. It returns the note that other gateways should get, and
// false if there is none.
func (pl *Pool) ObserveFirstEvent(nd *Node, wrk Work, est Estimate, took time.Duration) (PeerNote, bool) {
	if est.Prefill <= 0 || took <= 0 {
		return PeerNote{}, false
	}
	now := pl.cfg.Now()
	late := nd.peerWork.placedBetween(now.Add(-took), now.Add(placementDelay-took))
	isClean := est.isAlone && late == 0
	// Only a prompt that did not wait for others shows the engine's rate.
	if isClean && nd.engineSpeed().slow == 0 {
		pl.state(wrk.Service.Name).rate.observe(float64(wrk.PromptTokens) * float64(time.Millisecond) / float64(took))
	}
	return nd.observeSpeed(est.sample(took, late, isClean), now)
}

// ObserveWaiting records that a node has not sent the first event of work, for which an
// estimate was made, for some time. It returns the note that other gateways should get,
// and false if the time does not show that the engine is slow or that is known.
func (pl *Pool) ObserveWaiting(nd *Node, est Estimate, waited time.Duration) (nt PeerNote, ok bool) {
	// An engine without room does not begin with the prompt.
	if est.Prefill <= 0 || waited <= 0 || !est.HasRoom {
		return PeerNote{}, false
	}
	now := pl.cfg.Now()
	smp := est.sample(waited, nd.peerWork.placedBetween(now.Add(-waited), now.Add(placementDelay-waited)), false)
	spd := nd.engineSpeed()
	if smp.low < minSlowdown*spd.usual || spd.own && smp.low <= spd.slow*sharedChange {
		return PeerNote{}, false
	}
	return nd.observeSpeed(smp, now)
}

// sample returns what a time to the first event says of an engine, with the prefill of
// the prompts of which notes arrived soon after the request was sent.
func (est Estimate) sample(took, late time.Duration, isClean bool) speedSample {
	base := max(est.base, time.Millisecond)
	return speedSample{low: float64(took) / float64(base+late), high: float64(took) / float64(base), weight: usualWeight, isClean: isClean}
}

// PrefillTime returns how long the prefill of a prompt takes on an idle engine of
// a service.
func (pl *Pool) PrefillTime(svc bwmodel.ServiceID, tokens int) time.Duration {
	return time.Duration(float64(tokens) / pl.state(svc).rate.load() * float64(time.Millisecond))
}

// serviceState is what is learned of the engines of a service.
type serviceState struct {
	rate   prefillRate
	events eventTimes
	// slow and active are the numbers of slow engines and of all that took work in the
	// last choice.
	slow, active atomic.Int32
	// collisions counts the streams that this process and another one have placed at an
	// engine at about the same time.
	collisions atomic.Int64
	// ends counts the requests of this process that have ended.
	ends atomic.Int64
	// claim is the probability of Admission.claim, as the bits of a float64; 0 means 1.
	claim atomic.Uint64
}

func (svs *serviceState) claimProbability() float64 {
	if val := math.Float64frombits(svs.claim.Load()); val > 0 {
		return val
	}
	return 1
}

func (svs *serviceState) mostSlow() bool { return 2*svs.slow.Load() > svs.active.Load() }

func (pl *Pool) state(svc bwmodel.ServiceID) *serviceState {
	if state, ok := pl.states.Load(svc); ok {
		return state.(*serviceState)
	}
	state, _ := pl.states.LoadOrStore(svc, new(serviceState))
	return state.(*serviceState)
}

// prefillRate tracks the upper quartile of the observed rates, in tokens per
// millisecond: short disturbances make single prompts slow. The zero value has
// initialPrefillRate.
type prefillRate struct {
	// logOffset is the logarithm of the rate relative to initialPrefillRate, as the
	// bits of a float64.
	logOffset atomic.Uint64
}

const (
	// initialPrefillRate is that of the current deployments' engines. It matters until
	// some dozens of prompts have been observed.
	initialPrefillRate = 8.0
	rateQuantile       = 0.75
	// rateStep is the relative change with each observation.
	rateStep = 0.04
	// maxRateFactor bounds the rate relative to the initial one.
	maxRateFactor = 50
)

func (pfr *prefillRate) load() float64 {
	return initialPrefillRate * math.Exp(math.Float64frombits(pfr.logOffset.Load()))
}

// observe moves the rate towards an observed one, up more easily than down.
func (pfr *prefillRate) observe(tokensPerMs float64) {
	step := rateStep * rateQuantile
	if tokensPerMs < pfr.load() {
		step = -rateStep * (1 - rateQuantile)
	}
	for {
		old := pfr.logOffset.Load()
		next := math.Float64frombits(old) + step
		limit := math.Log(maxRateFactor)
		if pfr.logOffset.CompareAndSwap(old, math.Float64bits(min(max(next, -limit), limit))) {
			return
		}
	}
}
