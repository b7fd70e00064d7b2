package bwforward

import (
	"math"
	"sync/atomic"
	"time"
)

// engineSpeed is what is known of an engine's speed in relation to its service. Its
// values are immutable.
//
// The load patterns that it answers are engines of lasting different speeds side by
// side, and engines that become several times slower for some seconds. The first are
// weighed by usual, the second get one stream at a time until one shows that they have
// recovered.
type engineSpeed struct {
	// usual is the factor by which the engine usually takes longer than its service.
	usual float64
	// slow is the factor by which it takes longer at present, or 0.
	slow float64
	// slowAt is the time of the last evidence that it is slow, and tests the number of
	// streams in a row that found it slow when they tested it.
	slowAt time.Time
	tests  int
	// own is set if this gateway has seen it. Others may reach the engine on another way.
	own bool
	// soundAt is the time of this gateway's last evidence that it is not slow.
	soundAt time.Time
	// sharedUsual is the value of usual in the last note that this gateway sent or got.
	sharedUsual float64
}

const (
	// minSlowdown is the factor in relation to the usual speed from which an engine
	// counts as slow. Other work and short disturbances on its VM explain smaller ones.
	minSlowdown = 2.5
	// maxSlowdown bounds the factor, which may come from another gateway.
	maxSlowdown = 30
	// soundFactor is the factor up to which a response beside other prompts shows that an
	// engine is not slow. Between it and minSlowdown it shows nothing: the number of
	// prompts there is only an estimate.
	soundFactor = 1.5
	// testInterval is the time after the last evidence that an engine is slow until one
	// stream tests it as if it had recovered. It doubles with each test that finds it
	// slow, up to maxTestInterval: the stream of such a test is late.
	testInterval    = 3 * time.Second
	maxTestInterval = 24 * time.Second
	// minUsual and maxUsual bound the factor of the lasting speed; speeds of 0.55 and 1.2
	// stand side by side on current deployments. maxUsualStep is the natural logarithm of
	// the largest part of a response that counts for it: the prompts of repeated requests
	// are in the engine's cache and take no time.
	minUsual     = 0.5
	maxUsual     = 4.0
	maxUsualStep = 0.6
	// usualWeight is the weight of a response without other prompts in the lasting speed,
	// disturbedWeight that of one of a slow engine, and eventsWeight that of the time
	// between events, which depends more on the streams beside it.
	usualWeight     = 0.25
	disturbedWeight = 0.03
	eventsWeight    = 0.05
	// sharedChange is the change of the lasting speed of which other gateways are told.
	sharedChange = 1.25
	// ignoreSlowNoteTime is the time after a sound response to this gateway for which
	// notes that the engine is slow are ignored: it may be slow for some gateways only.
	ignoreSlowNoteTime = time.Second
	// testCost keeps streams off an engine that has to be tested while others have little
	// work: the stream may be late.
	testCost = 500 * time.Millisecond
	// testShare is the share of the streams that may test a slow engine, so that not all
	// gateways do it at the moment when it is due.
	testShare = 0.25
	// placementDelay is the time in which a note of a placement arrives: the prompts of
	// others which are known within it may be ahead of an own one. A gateway has a tenth
	// of a core.
	placementDelay = 100 * time.Millisecond
)

func (nd *Node) engineSpeed() engineSpeed {
	if spd := nd.speed.Load(); spd != nil {
		return *spd
	}
	return engineSpeed{usual: 1, sharedUsual: 1}
}

// updateSpeed replaces the engine's speed by what change makes of it.
func (nd *Node) updateSpeed(change func(*engineSpeed)) {
	for {
		old := nd.speed.Load()
		next := nd.engineSpeed()
		if old != nil {
			next = *old
		}
		change(&next)
		if nd.speed.CompareAndSwap(old, &next) {
			return
		}
	}
}

// isDue reports whether a slow engine should be tested.
func (spd engineSpeed) isDue(now time.Time) bool {
	return now.Sub(spd.slowAt) >= min(testInterval<<min(spd.tests, 8), maxTestInterval)
}

// factor returns the factor by which work is expected to take longer now.
func (spd engineSpeed) factor(now time.Time) float64 {
	if spd.slow > 0 && !spd.isDue(now) {
		return max(spd.slow, spd.usual)
	}
	return spd.usual
}

// speedSample is the factor by which a response took longer than the service's engines
// take. It is at least low and at most high: the prompts of which notes arrived late may
// have been ahead of it or not.
type speedSample struct {
	low, high, weight float64
	// isClean is set if the engine had no other prompts.
	isClean bool
}

// observe changes the speed by a response.
func (spd *engineSpeed) observe(smp speedSample, now time.Time) {
	factor, weight, isClean := smp.low, smp.weight, smp.isClean
	relative := factor / spd.usual
	if relative >= minSlowdown {
		spd.markSlow(factor, now)
		spd.own = true
		weight *= disturbedWeight / usualWeight
	} else if isClean || smp.high/spd.usual < soundFactor {
		spd.slow, spd.tests, spd.own, spd.soundAt = 0, 0, false, now
	}
	if isClean {
		step := min(max(math.Log(relative), -maxUsualStep), maxUsualStep)
		spd.usual = min(max(spd.usual*math.Exp(weight*step), minUsual), maxUsual)
	}
}

func (spd *engineSpeed) markSlow(factor float64, now time.Time) {
	switch {
	case spd.slow == 0:
		spd.tests = 0
	case spd.isDue(now):
		spd.tests++
	}
	spd.slow, spd.slowAt = min(factor, maxSlowdown), now
}

// share returns the note of which others should know after a change from old, and false
// if there is none.
func (spd *engineSpeed) share(old engineSpeed) (PeerNote, bool) {
	switch {
	case spd.slow > 0 && (old.slow == 0 || !old.own || spd.slow > old.slow*sharedChange || spd.tests > old.tests):
		return PeerNote{Kind: SlowNote, Slowdown: spd.slow}, true
	case spd.slow == 0 && (old.slow > 0 || math.Abs(math.Log(spd.usual/spd.sharedUsual)) > math.Log(sharedChange)):
		spd.sharedUsual = spd.usual
		return PeerNote{Kind: SpeedNote, Slowdown: spd.usual}, true
	default:
		return PeerNote{}, false
	}
}

// observeSpeed records a response, and returns a note for the other gateways.
func (nd *Node) observeSpeed(smp speedSample, now time.Time) (nt PeerNote, ok bool) {
	wasUnproven := nd.isUnproven(now)
	nd.recordProof(now)
	nd.updateSpeed(func(spd *engineSpeed) {
		old := *spd
		spd.observe(smp, now)
		if spd.slow > 0 && old.slow == 0 {
			// The streams there take longer than is usual.
			nd.peerWork.streams.extend(now)
		}
		if nt, ok = spd.share(old); !ok && wasUnproven && spd.slow == 0 {
			nt, ok = PeerNote{Kind: SpeedNote, Slowdown: spd.usual}, true
		}
	})
	nt.Upstream = nd.ID
	return nt, ok
}

// applySlowNote records that the engine is slow for another gateway. NaN, which a note
// may contain, is ignored.
func (nd *Node) applySlowNote(factor float64, now time.Time) {
	if !(factor >= minSlowdown) || now.Sub(nd.engineSpeed().soundAt) < ignoreSlowNoteTime {
		return
	}
	nd.recordProof(now)
	if nd.engineSpeed().slow == 0 {
		// The streams there take longer than is usual.
		nd.peerWork.streams.extend(now)
	}
	nd.updateSpeed(func(spd *engineSpeed) { spd.markSlow(factor, now) })
}

// applySpeedNote records that the engine is not slow for another gateway, and its lasting
// speed. What this gateway has seen itself stays.
func (nd *Node) applySpeedNote(factor float64, now time.Time) {
	if !(factor >= minUsual && factor <= maxUsual) {
		return
	}
	nd.recordProof(now)
	nd.updateSpeed(func(spd *engineSpeed) {
		if !spd.own {
			spd.slow, spd.tests = 0, 0
		}
		spd.usual = math.Sqrt(spd.usual * factor)
		spd.sharedUsual = spd.usual
	})
}

// mayTest reports whether work may test a slow engine. Gateways whose placements collide
// do it less often.
func (pl *Pool) mayTest(wrk Work) bool {
	if wrk.Service.Model == nil {
		return true
	}
	return float64(pl.cfg.Random(time.Second)) < testShare*pl.state(wrk.Service.Name).claimProbability()*float64(time.Second)
}

// proof records whether an engine has responded since work was placed there.
type proof struct {
	// unanswered is the number of prompts placed since the last response, placedAt the
	// time of the last one and provenAt that of the last response to any gateway, both as
	// returned by nanos.
	unanswered, placedAt, provenAt atomic.Int64
}

const (
	// provenTime is the time after a response for which an engine counts as proven.
	provenTime = 5 * time.Second
	// maxUnanswered is the number of prompts from which a slow engine costs several
	// streams.
	maxUnanswered = 2
	// unprovenMargin lengthens what is expected of an engine that has not responded.
	unprovenMargin = 1.5
)

func (nd *Node) recordPlaced(now time.Time) {
	nd.proof.unanswered.Add(1)
	nd.proof.placedAt.Store(nanos(now))
}

// onlyTests reports whether the engine is slow and has a stream, so that it gets no
// other. It does not count as slow if most engines of its service are.
func (pl *Pool) onlyTests(nd *Node, now time.Time) bool {
	return nd.engineSpeed().slow > 0 && nd.runningRequests(now) > 0 && !pl.state(nd.Service).mostSlow()
}

func (nd *Node) recordProof(now time.Time) {
	nd.proof.unanswered.Store(0)
	nd.proof.provenAt.Store(nanos(now))
}

// isUnproven reports whether the engine has got several prompts lately and has not
// responded to any gateway.
func (nd *Node) isUnproven(now time.Time) bool {
	return nd.proof.unanswered.Load() >= maxUnanswered &&
		nanos(now)-nd.proof.provenAt.Load() > int64(provenTime) && nanos(now)-nd.proof.placedAt.Load() < int64(provenTime)
}
