package bwroute

import (
	"slices"
	"time"
)

// selection is the work of one Choose.
type selection struct {
	chs  *Chooser
	req  *Request
	now  time.Time
	turn uint64
	snap *snapshot
	// cands are free and not suspended; suspended are free.
	cands     []Candidate
	suspended []Candidate
	log       []Candidate
	probe     *node
	seen      int
	busy      int
	slow      int
}

const (
	// scanLimit is the number of upstreams up to which every one is compared.
	scanLimit = 32
	// sampleSize is the number of upstreams compared above scanLimit.
	sampleSize = 8
	// sampleLooks bounds the upstreams looked at for a sample; when none of them
	// is free, all are.
	sampleLooks = 64
	// cachedHolders is the number of upstreams added to a sample for their cache.
	cachedHolders = 2
	// loggedCandidates bounds the candidates of a Decision.
	loggedCandidates = 8
	// costNoise is the random part of a cost, so that routers with equal views
	// choose differently among upstreams that cost nearly the same.
	costNoise = 0.1
)

// selection returns a selection that reuses the memory of an ended one: the
// candidates took most of the bytes that a choice allocated.
func (chs *Chooser) selection(req *Request) *selection {
	sel, ok := chs.selections.Get().(*selection)
	if !ok {
		sel = &selection{
			cands: make([]Candidate, 0, scanLimit), suspended: make([]Candidate, 0, scanLimit),
		}
	}
	*sel = selection{
		chs: chs, req: req, now: chs.cfg.Now(), turn: chs.turn.Add(1), snap: chs.current.Load(),
		cands: sel.cands[:0], suspended: sel.suspended[:0],
	}
	return sel
}

// end gives the memory back; nothing of it may be in use.
func (sel *selection) end() {
	clear(sel.cands[:cap(sel.cands)])
	clear(sel.suspended[:cap(sel.suspended)])
	sel.req, sel.snap, sel.log, sel.probe = nil, nil, nil, nil
	sel.chs.selections.Put(sel)
}

func (sel *selection) collect() {
	nodes := sel.snap.serving(sel.req.Model)
	if len(nodes) <= scanLimit {
		for _, nd := range nodes {
			sel.consider(nd)
		}
		return
	}
	sel.considerHolders()
	sel.sample(nodes)
}

// sample considers random upstreams until enough of them are free.
func (sel *selection) sample(nodes []*node) {
	rnd := mix(sel.chs.cfg.Seed ^ mix(sel.turn))
	start, step := int(rnd%uint64(len(nodes))), stride(rnd>>32, len(nodes))
	want := len(sel.cands) + sampleSize
	for cnt := range nodes {
		if len(sel.cands) >= want || (cnt >= sampleLooks && len(sel.cands) > 0) {
			return
		}
		sel.consider(nodes[(start+cnt*step)%len(nodes)])
	}
}

// stride returns a step that visits every index modulo size once.
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

// considerHolders considers the upstreams that hold the most of the prefix.
func (sel *selection) considerHolders() {
	found := 0
	for idx := len(sel.req.Prefix) - 1; idx >= 0 && found < cachedHolders; idx-- {
		key := blockKey(sel.req.Prefix[idx])
		sel.chs.holders.holders(key, func(slot uint16) bool {
			nd := sel.snap.bySlot[slot]
			if nd != nil && nd.cache.blocks.has(key) && !sel.has(nd) {
				found++
				sel.consider(nd)
			}
			return found < cachedHolders
		})
	}
}

func (sel *selection) has(nd *node) bool {
	return slices.ContainsFunc(sel.cands, func(cd Candidate) bool { return cd.node == nd })
}

func (sel *selection) consider(nd *node) {
	if !nd.usable() || !nd.serves(sel.req.Model) || slices.Contains(sel.req.Exclude, nd.up.Name) {
		return
	}
	sel.seen++
	cnt := int(nd.work.inFlight.Load())
	lim := sel.limit(nd)
	slow := sel.chs.suspended(nd)
	if slow {
		sel.slow++
		if sel.probe == nil && nd.work.health.due(sel.now.Sub(sel.chs.begin), sel.turn) {
			sel.probe = nd
		}
	}
	switch {
	case cnt >= lim:
		sel.busy++
	case slow:
		sel.suspended = append(sel.suspended, sel.price(nd, cnt, lim))
	default:
		sel.cands = append(sel.cands, sel.price(nd, cnt, lim))
	}
}

func (sel *selection) limit(nd *node) int { return sel.chs.limit(nd) }

// takeProbe claims a due probe of a suspended upstream, or returns nil.
func (sel *selection) takeProbe() *node {
	nd := sel.probe
	if nd == nil || sel.req.NoProbe || len(sel.cands) == 0 || !nd.work.health.begin(sel.turn) {
		return nil
	}
	if !nd.work.acquire(sel.req.Tokens, sel.limit(nd)) {
		nd.work.health.probing.Store(false)
		return nil
	}
	sel.record(sel.cands)
	return nd
}

// price computes the cost of a request at an upstream: the time to work off
// what is outstanding there and the request itself, the prefill of what is not
// cached, and the way to another zone; all of it times the slow factor.
func (sel *selection) price(nd *node, inFlight, lim int) Candidate {
	out := nd.outstanding(sel.snap.peers)
	age := sel.now.Sub(sel.chs.begin) - time.Duration(nd.work.sampled.Load())
	rate := nd.rate(sel.snap.medianRate)
	if rate <= 0 {
		rate = 1
	}
	if median := sel.snap.medianRate; rate < median {
		rate = median / faded(median/rate, age)
	}
	sec := (out/float64(startLimit(nd.up)) + float64(max(1, sel.req.Tokens))) / rate
	cached := nd.cache.cached(sel.req.Prefix)
	trust := nd.cache.trust.load()
	missing := float64(len(sel.req.Prefix)) - float64(cached)*trust
	sec += missing * sel.chs.cfg.BlockPrefillTime.Seconds()
	if nd.up.Zone != sel.chs.cfg.Zone {
		sec += sel.chs.cfg.ZonePenalty.Seconds()
	}
	slow := faded(relative(fromSeconds(nd.work.latency.load()), sel.snap.medianLatency), age)
	slow = max(slow, relative(nd.work.silence(sel.now.Sub(sel.chs.begin)), sel.snap.medianLatency))
	noise := 1 + costNoise*float64(mix(sel.chs.cfg.Seed^mix(sel.turn^uint64(nd.slot)<<40))>>40)/(1<<24)
	return Candidate{
		Upstream: nd.up.Name, Cost: time.Duration(sec * slow * noise * float64(time.Second)),
		InFlight: inFlight, Limit: lim, Tokens: int(out), SlowFactor: slow,
		CachedBlocks: cached, CacheTrust: trust, node: nd,
	}
}

// record keeps a copy of the cheapest candidates for the decision.
func (sel *selection) record(cands []Candidate) {
	var order [loggedCandidates + 1]int
	kept := 0
	for idx := range cands {
		place := kept
		for place > 0 && cands[order[place-1]].Cost > cands[idx].Cost {
			order[place] = order[place-1]
			place--
		}
		order[place] = idx
		kept = min(kept+1, loggedCandidates)
	}
	sel.log = make([]Candidate, kept)
	for place, idx := range order[:kept] {
		sel.log[place] = cands[idx]
	}
}

func (sel *selection) decision(nd *node, rsn Reason) Decision {
	dec := Decision{
		Policy: sel.chs.cfg.Policy.Name, Candidates: sel.log, Reason: rsn,
		Compared: sel.seen, AtLimit: sel.busy, Suspended: sel.slow, Upstreams: len(sel.snap.nodes),
	}
	if nd != nil {
		dec.Chosen = nd.up.Name
	}
	return dec
}

func (sel *selection) failureReason() Reason {
	if sel.seen > 0 {
		return ReasonAllAtLimit
	}
	return ReasonNoneUsable
}

func (sel *selection) failure() error {
	if sel.seen > 0 {
		return &AllAtLimitError{Service: sel.chs.cfg.Service, AtLimit: sel.busy}
	}
	return &NoUpstreamError{
		Service: sel.chs.cfg.Service, Model: sel.req.Model,
		Upstreams: len(sel.snap.nodes), Excluded: len(sel.req.Exclude),
	}
}
