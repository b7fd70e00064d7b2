package bwroute

import (
	"slices"
	"time"
)

// selection is the state of one Choose call.
type selection struct {
	chs      *Chooser
	req      *Request
	now      time.Time
	sequence uint64
	snap     *snapshot
	// available lists the upstreams below their limit that are not suspended, and
	// suspended those that are.
	available      []Candidate
	suspended      []Candidate
	logged         []Candidate
	probe          *node
	compared       int
	atLimit        int
	suspendedCount int
}

const (
	// scanLimit is the number of upstreams up to which all are compared.
	scanLimit = 32
	// sampleSize is the number of random upstreams compared when there are more than
	// scanLimit.
	sampleSize = 8
	// maxSampleScans limits the upstreams considered for a sample, unless none of
	// them is available.
	maxSampleScans = 64
	// maxAddedHolders is the maximum number of upstreams added to a sample because
	// they may have the prefix cached.
	maxAddedHolders = 2
	// loggedCandidates is the maximum number of candidates in a Decision.
	loggedCandidates = 8
	// costNoise is the maximum random fraction added to a cost, so that routers with
	// the same data choose different upstreams among those with similar costs.
	costNoise = 0.1
)

// selection returns a new selection that reuses the slices of an ended one, because
// the candidates were most of the bytes that a Choose call allocated.
func (chs *Chooser) selection(req *Request) *selection {
	sel, ok := chs.selections.Get().(*selection)
	if !ok {
		sel = &selection{
			available: make([]Candidate, 0, scanLimit), suspended: make([]Candidate, 0, scanLimit),
		}
	}
	*sel = selection{
		chs: chs, req: req, now: chs.cfg.Now(), sequence: chs.sequence.Add(1), snap: chs.current.Load(),
		available: sel.available[:0], suspended: sel.suspended[:0],
	}
	return sel
}

// recycle returns the selection to the pool; its slices must no longer be in use.
func (sel *selection) recycle() {
	clear(sel.available[:cap(sel.available)])
	clear(sel.suspended[:cap(sel.suspended)])
	sel.req, sel.snap, sel.logged, sel.probe = nil, nil, nil, nil
	sel.chs.selections.Put(sel)
}

// collect considers the upstreams that may take the request.
func (sel *selection) collect() {
	nodes := sel.snap.serving(sel.req.Model)
	if len(nodes) <= scanLimit {
		for _, nd := range nodes {
			sel.consider(nd)
		}
		return
	}
	sel.considerHolders()
	sel.considerSample(nodes)
}

// considerSample considers random upstreams until enough of them are available.
func (sel *selection) considerSample(nodes []*node) {
	rnd := splitMix64(sel.chs.cfg.Seed ^ splitMix64(sel.sequence))
	start, step := int(rnd%uint64(len(nodes))), stride(rnd>>32, len(nodes))
	want := len(sel.available) + sampleSize
	for cnt := range nodes {
		if len(sel.available) >= want || (cnt >= maxSampleScans && len(sel.available) > 0) {
			return
		}
		sel.consider(nodes[(start+cnt*step)%len(nodes)])
	}
}

// stride returns a step, coprime to size, that visits every index modulo size once.
func stride(rnd uint64, size int) int {
	step := 1 + int(rnd%uint64(size-1))
	for gcd(step, size) != 1 {
		step = step%size + 1
	}
	return step
}

func gcd(va, vb int) int {
	for vb != 0 {
		va, vb = vb, va%vb
	}
	return va
}

// considerHolders considers the upstreams that have the longest part of the prefix
// cached.
func (sel *selection) considerHolders() {
	added := 0
	for idx := len(sel.req.Prefix) - 1; idx >= 0 && added < maxAddedHolders; idx-- {
		key := blockKey(sel.req.Prefix[idx])
		sel.chs.holders.holders(key, func(index uint16) bool {
			nd := sel.snap.byIndex[index]
			if nd != nil && nd.cache.blocks.contains(key) && !sel.contains(nd) {
				added++
				sel.consider(nd)
			}
			return added < maxAddedHolders
		})
	}
}

func (sel *selection) contains(nd *node) bool {
	return slices.ContainsFunc(sel.available, func(cd Candidate) bool { return cd.node == nd })
}

// consider adds an upstream to the candidates if it can take the request.
func (sel *selection) consider(nd *node) {
	if !nd.usable() || !nd.serves(sel.req.Model) || slices.Contains(sel.req.Exclude, nd.up.Name) {
		return
	}
	sel.compared++
	cnt := int(nd.traffic.inFlight.Load())
	lim := sel.limit(nd)
	suspended := sel.chs.suspended(nd)
	if suspended {
		sel.suspendedCount++
		if sel.probe == nil && nd.traffic.health.probeDue(sel.now.Sub(sel.chs.start), sel.sequence) {
			sel.probe = nd
		}
	}
	switch {
	case cnt >= lim:
		sel.atLimit++
	case suspended:
		sel.suspended = append(sel.suspended, sel.candidate(nd, cnt, lim))
	default:
		sel.available = append(sel.available, sel.candidate(nd, cnt, lim))
	}
}

func (sel *selection) limit(nd *node) int { return sel.chs.limit(nd) }

// claimProbe claims a probe that is due and returns its upstream, or nil.
func (sel *selection) claimProbe() *node {
	nd := sel.probe
	if nd == nil || sel.req.NoProbe || len(sel.available) == 0 || !nd.traffic.health.claimProbe(sel.sequence) {
		return nil
	}
	if !nd.traffic.acquire(sel.req.Tokens, sel.limit(nd)) {
		nd.traffic.health.probing.Store(false)
		return nil
	}
	sel.logCandidates(sel.available)
	return nd
}

// candidate returns an upstream with its cost for the request: the time to process
// the work outstanding there and the request, plus the prefill time of the blocks
// that are not cached, plus the zone penalty; all multiplied by the slow factor.
func (sel *selection) candidate(nd *node, inFlight, lim int) Candidate {
	out := nd.outstanding(sel.snap.estimatedRouters)
	age := sel.now.Sub(sel.chs.start) - time.Duration(nd.traffic.latencyUpdated.Load())
	rate := nd.tokensPerSecond(sel.snap.medianRate)
	if rate <= 0 {
		rate = 1
	}
	if median := sel.snap.medianRate; rate < median {
		rate = median / decayedFactor(median/rate, age)
	}
	sec := (out/float64(initialLimit(nd.up)) + float64(max(1, sel.req.Tokens))) / rate
	cached := nd.cache.cached(sel.req.Prefix)
	trust := nd.cache.trust.load()
	missing := float64(len(sel.req.Prefix)) - float64(cached)*trust
	sec += missing * sel.chs.cfg.BlockPrefillTime.Seconds()
	if nd.up.Zone != sel.chs.cfg.Zone {
		sec += sel.chs.cfg.ZonePenalty.Seconds()
	}
	slowFactor := decayedFactor(latencyRatio(fromSeconds(nd.traffic.latency.load()), sel.snap.medianLatency), age)
	slowFactor = max(slowFactor, latencyRatio(nd.traffic.unresponsiveTime(sel.now.Sub(sel.chs.start)), sel.snap.medianLatency))
	noise := 1 + costNoise*float64(splitMix64(sel.chs.cfg.Seed^splitMix64(sel.sequence^uint64(nd.index)<<40))>>40)/(1<<24)
	return Candidate{
		Upstream: nd.up.Name, Cost: time.Duration(sec * slowFactor * noise * float64(time.Second)),
		InFlight: inFlight, Limit: lim, Tokens: int(out), SlowFactor: slowFactor,
		CachedBlocks: cached, CacheTrust: trust, node: nd,
	}
}

// logCandidates copies the candidates with the lowest costs for the decision.
func (sel *selection) logCandidates(cands []Candidate) {
	var order [loggedCandidates + 1]int
	kept := 0
	for idx := range cands {
		position := kept
		for position > 0 && cands[order[position-1]].Cost > cands[idx].Cost {
			order[position] = order[position-1]
			position--
		}
		order[position] = idx
		kept = min(kept+1, loggedCandidates)
	}
	sel.logged = make([]Candidate, kept)
	for position, idx := range order[:kept] {
		sel.logged[position] = cands[idx]
	}
}

func (sel *selection) decision(nd *node, rsn Reason) Decision {
	dec := Decision{
		Policy: sel.chs.cfg.Policy.Name, Candidates: sel.logged, Reason: rsn,
		Compared: sel.compared, AtLimit: sel.atLimit, Suspended: sel.suspendedCount, Upstreams: len(sel.snap.nodes),
	}
	if nd != nil {
		dec.Chosen = nd.up.Name
	}
	return dec
}

func (sel *selection) failureReason() Reason {
	if sel.compared > 0 {
		return ReasonAllAtLimit
	}
	return ReasonNoneUsable
}

func (sel *selection) failure() error {
	if sel.compared > 0 {
		return &AllAtLimitError{Service: sel.chs.cfg.Service, AtLimit: sel.atLimit}
	}
	return &NoUpstreamError{
		Service: sel.chs.cfg.Service, Model: sel.req.Model,
		Upstreams: len(sel.snap.nodes), Excluded: len(sel.req.Exclude),
	}
}
