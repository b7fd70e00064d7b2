package bwroute

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"bilberrywick/core/bwmodel"
)

// Chooser selects upstreams for one service.
type Chooser struct {
	cfg     Config
	begin   time.Time
	current atomic.Pointer[snapshot]
	turn    atomic.Uint64
	freed   signal
	holders *holderIndex
	// selections holds the memory of ended choices.
	selections sync.Pool
	// meanTokens is the smoothed expected work of a request.
	meanTokens number

	// The rest belongs to the control goroutine.
	routers   int
	nodes     map[bwmodel.UpstreamID]*node
	ordered   []*node
	slots     slotTable
	refreshed time.Time
}

// Config holds what a Chooser starts from.
type Config struct {
	Service bwmodel.ServiceID
	// Zone is the zone of the router itself.
	Zone bwmodel.ZoneID
	Now  func() time.Time
	// Policy selects among candidates; the zero value means LeastCost.
	Policy Policy
	// Seed makes the random parts repeatable; 0 draws a seed. Routers that share
	// a seed choose alike, so it is set in tests only.
	Seed uint64
	// ZonePenalty is the cost of a choice in another zone; 0 means 3 ms, which
	// is a round trip between the zones of today's deployments.
	ZonePenalty time.Duration
	// BlockPrefillTime is the prefill time that one cached prefix block saves; 0 means 2 ms.
	BlockPrefillTime time.Duration
	// CacheBlocks is the number of prefix blocks remembered for each upstream; 0
	// means 8192.
	CacheBlocks int
	// ProbeDelay is the first pause before a slow upstream is tried again; 0 means 1 s.
	ProbeDelay time.Duration
	// MaxInFlight bounds the requests in flight to an upstream without a number of
	// slots; 0 means 256.
	MaxInFlight int
}

// UpstreamStatus is what a router learned of one upstream from its agent.
type UpstreamStatus struct {
	Upstream    bwmodel.UpstreamID
	Incarnation bwmodel.Incarnation
	// Connected says that the agent's status stream is open.
	Connected bool
	Leaving   bool
	Load      bwmodel.LoadReport
	Cache     []bwmodel.CacheEvent
}

const (
	defaultZonePenalty = 3 * time.Millisecond
	defaultBlockTime   = 2 * time.Millisecond
	defaultCacheBlocks = 8192
	defaultProbePause  = time.Second
	defaultMaxLimit    = 256
	// refreshInterval is the age from which Observe renews the medians.
	refreshInterval = 100 * time.Millisecond
)

// New returns a chooser without upstreams.
func New(cfg Config) (*Chooser, error) {
	if cfg.Now == nil {
		return nil, errors.New("chooser: Now is not set")
	}
	if cfg.Policy.Pick == nil {
		cfg.Policy = LeastCost()
	}
	cfg.ZonePenalty = orDefault(cfg.ZonePenalty, defaultZonePenalty)
	cfg.BlockPrefillTime = orDefault(cfg.BlockPrefillTime, defaultBlockTime)
	cfg.CacheBlocks = orDefault(cfg.CacheBlocks, defaultCacheBlocks)
	cfg.ProbeDelay = orDefault(cfg.ProbeDelay, defaultProbePause)
	cfg.MaxInFlight = orDefault(cfg.MaxInFlight, defaultMaxLimit)
	if cfg.Seed == 0 {
		cfg.Seed = rand.Uint64()
	}
	chs := &Chooser{
		cfg: cfg, begin: cfg.Now(), nodes: map[bwmodel.UpstreamID]*node{},
		holders: newHolderIndex(cfg.CacheBlocks), routers: 1,
	}
	chs.freed.reset()
	chs.current.Store(&snapshot{routers: 1})
	return chs, nil
}

// SetRouterCount sets the number of routers that share the slots of the upstreams,
// in force from the next Update; below 1 means 1. Without it, routers that each
// fill all slots queue work in the upstreams, out of the reach of admission.
// Only the control goroutine calls it.
func (chs *Chooser) SetRouterCount(count int) { chs.routers = max(1, count) }

// Update replaces the upstreams of the service; work in flight on those that
// remain stays counted. Only the control goroutine calls it.
func (chs *Chooser) Update(ups []bwmodel.Upstream) {
	nodes := make(map[bwmodel.UpstreamID]*node, len(ups))
	for _, up := range ups {
		if up.Service != chs.cfg.Service {
			continue
		}
		if old := chs.nodes[up.Name]; old != nil {
			nodes[up.Name] = old.with(up, chs.highest(up))
		} else {
			nodes[up.Name] = chs.newNode(up)
		}
	}
	for id, nd := range chs.nodes {
		if nodes[id] == nil {
			chs.slots.release(nd.slot)
		}
	}
	chs.nodes = nodes
	chs.ordered = slices.SortedFunc(maps.Values(nodes), func(na, nb *node) int {
		return strings.Compare(string(na.up.Name), string(nb.up.Name))
	})
	chs.publish()
}

// Observe takes in what an agent reported, or that its stream has closed. Only
// the control goroutine calls it.
func (chs *Chooser) Observe(st UpstreamStatus) {
	nd := chs.nodes[st.Upstream]
	if nd == nil {
		return
	}
	now := chs.cfg.Now()
	old := nd.report.Load()
	if old != nil && old.Incarnation != st.Incarnation {
		nd.cache.reset()
		nd.work.health.renew()
	}
	nd.observe(now, st, chs.meanTokens.load())
	nd.cache.apply(st.Cache, nd.slot, chs.holders)
	if old == nil || now.Sub(chs.refreshed) >= refreshInterval || !slices.Equal(old.Load.Models, st.Load.Models) {
		chs.publish()
		return
	}
	chs.freed.broadcast()
}

// RecordPrefix notes that an upstream has computed a prefix, for upstreams whose
// cache events are not read. Only the control goroutine calls it.
func (chs *Chooser) RecordPrefix(name bwmodel.UpstreamID, prefix []uint64) {
	nd := chs.nodes[name]
	if nd == nil {
		return
	}
	for _, block := range prefix {
		key := blockKey(block)
		nd.cache.blocks.add(key)
		chs.holders.add(key, nd.slot)
	}
}

// Refresh renews the medians that upstreams are compared with. The control
// goroutine calls it several times a second; Observe does so as well when the
// last time is 100 ms ago.
func (chs *Chooser) Refresh() { chs.publish() }

// Choose selects an upstream and counts the request against it until the
// choice's Finish. It returns a *NoFreeError when every usable upstream is at
// its limit and a *NoUpstreamError when none is usable.
func (chs *Chooser) Choose(req Request) (Choice, Decision, error) {
	sel := chs.selection(&req)
	defer sel.end()
	sel.collect()
	if nd := sel.takeProbe(); nd != nil {
		chc := chs.choice(&lease{nd: nd, tokens: req.Tokens, probe: true, claimed: true})
		return chc, sel.decision(nd, ReasonProbe), nil
	}
	reason := ReasonPolicy
	cands := sel.cands
	if sel.slow == sel.seen {
		cands, reason = sel.suspended, ReasonAllSuspended
	}
	sel.record(cands)
	for len(cands) > 0 {
		idx := chs.cfg.Policy.Pick(cands, sel.turn)
		nd := cands[idx].node
		if nd.work.acquire(req.Tokens, sel.limit(nd)) {
			chc := chs.choice(&lease{nd: nd, tokens: req.Tokens, probe: reason == ReasonAllSuspended})
			return chc, sel.decision(nd, reason), nil
		}
		sel.busy++
		cands = slices.Delete(cands, idx, idx+1)
	}
	return Choice{}, sel.decision(nil, sel.failureReason()), sel.failure()
}

// ChooseWait chooses like Choose, but waits while every usable upstream is at its
// limit. It returns the context's error when that ends first.
func (chs *Chooser) ChooseWait(ctx context.Context, req Request) (Choice, Decision, error) {
	for {
		freed := chs.SlotFreed()
		chc, dec, err := chs.Choose(req)
		var busy *AllAtLimitError
		if err == nil || !errors.As(err, &busy) {
			return chc, dec, err
		}
		select {
		case <-freed:
		case <-ctx.Done():
			return Choice{}, dec, ctx.Err()
		}
	}
}

// SlotFreed returns a channel that is closed when an upstream may have become free.
// It must be taken before the Choose whose failure it is to wait for.
func (chs *Chooser) SlotFreed() <-chan struct{} { return chs.freed.wait() }

// Capacity returns the number of requests that the usable upstreams take at a
// time, and how many of these places are free. Suspended upstreams count only
// when no other is usable.
func (chs *Chooser) Capacity() (total, free int) {
	var slowTotal, slowFree int
	for _, nd := range chs.current.Load().nodes {
		if !nd.usable() {
			continue
		}
		lim := chs.limit(nd)
		room := max(0, lim-int(nd.work.inFlight.Load()))
		if chs.suspended(nd) {
			slowTotal, slowFree = slowTotal+lim, slowFree+room
			continue
		}
		total, free = total+lim, free+room
	}
	if total == 0 {
		return slowTotal, slowFree
	}
	return total, free
}

// SlotShare returns this router's part of the slots of the usable upstreams, and the
// number of routers that share them.
func (chs *Chooser) SlotShare() (slots float64, routers int) {
	snap := chs.current.Load()
	for _, nd := range snap.nodes {
		if nd.usable() && !chs.suspended(nd) {
			slots += float64(chs.maxLimit(nd.up)) / float64(snap.routers)
		}
	}
	return slots, snap.routers
}

func (chs *Chooser) limit(nd *node) int {
	if chs.cfg.Policy.Baseline {
		return chs.maxLimit(nd.up)
	}
	return nd.work.limit.now()
}

// highest returns the most requests that this router may have in flight to an
// upstream: its part of the slots, rounded up.
func (chs *Chooser) highest(up bwmodel.Upstream) int {
	return (chs.maxLimit(up) + chs.routers - 1) / chs.routers
}

func (chs *Chooser) suspended(nd *node) bool {
	return !chs.cfg.Policy.Baseline && nd.work.health.suspended.Load()
}

func (chs *Chooser) maxLimit(up bwmodel.Upstream) int {
	if up.Slots > 0 {
		return up.Slots
	}
	return chs.cfg.MaxInFlight
}

func (chs *Chooser) publish() {
	chs.refreshed = chs.cfg.Now()
	for _, nd := range chs.ordered {
		nd.past.add(chs.refreshed, nd.work.tokens.Load())
	}
	snap := newSnapshot(chs.ordered)
	snap.routers = chs.routers
	chs.current.Store(snap)
	chs.freed.broadcast()
}

func (chs *Chooser) newNode(up bwmodel.Upstream) *node {
	wk := &work{}
	wk.health.firstPause = chs.cfg.ProbeDelay
	highest := chs.highest(up)
	wk.limit.start(min(highest, startLimit(up)))
	return &node{
		up: up, highest: highest, slot: chs.slots.take(), work: wk, report: &atomic.Pointer[report]{},
		cache: newCacheView(chs.cfg.CacheBlocks), past: &past{},
	}
}

func (chs *Chooser) choice(ls *lease) Choice {
	ls.chs = chs
	ls.nd.work.await(ls.since())
	if ls.tokens > 0 {
		chs.meanTokens.blend(float64(ls.tokens), smoothing)
	}
	return Choice{Upstream: ls.nd.up, Finish: ls.finish, ReportFirstToken: ls.started, Probe: ls.probe}
}

func orDefault[T comparable](val, def T) T {
	var zero T
	if val == zero {
		return def
	}
	return val
}
