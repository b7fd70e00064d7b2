package bwroute

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"bilberrywick/core/bwmodel"
)

// Candidate is an upstream that a policy may pick.
type Candidate struct {
	Upstream bwmodel.UpstreamID
	Cost     time.Duration
	InFlight int
	// Tokens is the outstanding work expected at the upstream.
	Tokens int
	// SlowFactor is the upstream's latency relative to the median of its peers, at least 1.
	SlowFactor float64
	// CachedBlocks is the length of the request's prefix that the upstream is believed to hold.
	CachedBlocks int

	node *node
}

// Decision says how a choice came about, for one log line.
type Decision struct {
	Policy string
	// Chosen is empty when no upstream was free.
	Chosen bwmodel.UpstreamID
	Reason Reason
	// Candidates holds at most eight of the upstreams compared, the cheapest first.
	Candidates []Candidate
	// Compared, AtLimit and Upstreams count the upstreams compared, found at
	// their limit, and known.
	Compared  int
	AtLimit   int
	Upstreams int
}

// Reason says why an upstream was chosen, or why none was.
type Reason string

// Reasons of a decision.
const (
	ReasonPolicy   Reason = "policy"
	ReasonProbe    Reason = "probe of a slow upstream"
	ReasonAllSlow  Reason = "every usable upstream is slow"
	ReasonNoFree   Reason = "every usable upstream is at its limit"
	ReasonUnusable Reason = "no usable upstream"
)

// NoFreeError says that every usable upstream is at its limit; Freed tells when
// to try again.
type NoFreeError struct {
	Service bwmodel.ServiceID
	AtLimit int
}

// Error returns the service and the number of upstreams at their limit.
func (err *NoFreeError) Error() string {
	return fmt.Sprintf("service %q: no free upstream, %d at their limit", err.Service, err.AtLimit)
}

// NoUpstreamError says that no upstream of the service can take the request now.
type NoUpstreamError struct {
	Service   bwmodel.ServiceID
	Model     string
	Upstreams int
	Excluded  int
}

// Error returns the service and the number of upstreams known and excluded.
func (err *NoUpstreamError) Error() string {
	return fmt.Sprintf("service %q, model %q: none of %d upstreams is usable, %d excluded",
		err.Service, err.Model, err.Upstreams, err.Excluded)
}

// selection is the work of one Choose.
type selection struct {
	chs   *Chooser
	req   *Request
	now   time.Time
	turn  uint64
	snap  *snapshot
	cands []Candidate
	log   []Candidate
	seen  int
	busy  int
}

func (sel *selection) collect(snap *snapshot) {
	sel.snap = snap
	if len(snap.nodes) <= scanLimit {
		sel.cands = make([]Candidate, 0, len(snap.nodes))
		for _, nd := range snap.nodes {
			sel.consider(nd)
		}
	} else {
		sel.sample()
	}
	sel.log = sel.cheapest()
}

// sample considers random upstreams until enough of them are free, and at
// worst every one, so that a mostly busy service still finds its free places.
func (sel *selection) sample() {
	sel.cands = make([]Candidate, 0, sampleSize)
	nodes := sel.snap.nodes
	rng := rand.New(rand.NewPCG(sel.chs.cfg.Seed, sel.turn))
	start, step := rng.IntN(len(nodes)), stride(rng, len(nodes))
	for cnt := 0; cnt < len(nodes) && len(sel.cands) < sampleSize; cnt++ {
		sel.consider(nodes[(start+cnt*step)%len(nodes)])
	}
}

// stride returns a step that visits every index modulo size once.
func stride(rng *rand.Rand, size int) int {
	for {
		step := 1 + rng.IntN(size-1)
		if gcd(step, size) == 1 {
			return step
		}
	}
}

func gcd(va, vb int) int {
	for vb != 0 {
		va, vb = vb, va%vb
	}
	return va
}

func (sel *selection) consider(nd *node) {
	if !nd.usable() || slices.Contains(sel.req.Exclude, nd.up.Name) || !nd.serves(sel.req.Model) {
		return
	}
	sel.seen++
	cnt := int(nd.work.inFlight.Load())
	if cnt >= sel.limit(nd) {
		sel.busy++
		return
	}
	sel.cands = append(sel.cands, sel.price(nd, cnt))
}

func (sel *selection) limit(nd *node) int {
	if sel.chs.cfg.Policy.Plain {
		return startLimit(nd.up)
	}
	return nd.limitNow()
}

// price computes the cost of a request at an upstream: the time to work off
// what is outstanding there and the request itself.
func (sel *selection) price(nd *node, inFlight int) Candidate {
	out := nd.outstanding()
	rate := nd.rate(sel.snap.medianRate)
	if rate <= 0 {
		rate = 1
	}
	sec := (out/float64(startLimit(nd.up)) + float64(sel.req.Tokens)) / rate
	slow := sel.slowFactor(nd)
	cost := time.Duration(sec * float64(time.Second))
	if nd.up.Zone != sel.chs.cfg.Zone {
		cost += sel.chs.cfg.ZonePenalty
	}
	return Candidate{
		Upstream: nd.up.Name, Cost: time.Duration(float64(cost) * slow), InFlight: inFlight,
		Tokens: int(out), SlowFactor: slow, node: nd,
	}
}

func (sel *selection) slowFactor(nd *node) float64 {
	lat := nd.work.latency.load()
	if sel.snap.medianLatency <= 0 || lat <= 0 {
		return 1
	}
	return max(1, lat/sel.snap.medianLatency)
}

// cheapest returns a copy of the first candidates by cost.
func (sel *selection) cheapest() []Candidate {
	cds := slices.Clone(sel.cands)
	slices.SortFunc(cds, func(ca, cb Candidate) int { return int(ca.Cost - cb.Cost) })
	return cds[:min(len(cds), loggedCandidates)]
}

func (sel *selection) decision(idx int) Decision {
	dec := Decision{
		Policy: sel.chs.cfg.Policy.Name, Candidates: sel.log, Reason: ReasonPolicy,
		Compared: sel.seen, AtLimit: sel.busy, Upstreams: len(sel.snap.nodes),
	}
	switch {
	case idx >= 0:
		dec.Chosen = sel.cands[idx].Upstream
	case sel.seen > 0:
		dec.Reason = ReasonNoFree
	default:
		dec.Reason = ReasonUnusable
	}
	return dec
}

func (sel *selection) failure() error {
	if sel.seen > 0 {
		return &NoFreeError{Service: sel.chs.cfg.Service, AtLimit: sel.busy}
	}
	return &NoUpstreamError{
		Service: sel.chs.cfg.Service, Model: sel.req.Model,
		Upstreams: len(sel.snap.nodes), Excluded: len(sel.req.Exclude),
	}
}
