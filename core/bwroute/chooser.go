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

// Chooser selects upstreams for the requests of one service.
type Chooser struct {
	cfg       Config
	start     time.Time
	current   atomic.Pointer[snapshot]
	sequence  atomic.Uint64
	slotFreed signal
	holders   *holderIndex
	// selections holds the selections of ended Choose calls for reuse.
	selections sync.Pool
	// meanTokens is the moving average of the expected tokens of a request.
	meanTokens atomicFloat

	// Only the control goroutine uses the fields below.
	routers       int
	nodes         map[bwmodel.UpstreamID]*node
	sortedNodes   []*node
	indexes       indexAllocator
	lastPublished time.Time
}

// Config holds the settings of a Chooser.
type Config struct {
	Service bwmodel.ServiceID
	// Zone is the zone of the router itself.
	Zone bwmodel.ZoneID
	Now  func() time.Time
	// Policy selects among candidates; the zero value means LeastCost.
	Policy Policy
	// Seed makes the random choices repeatable; 0 means a random seed. Routers with
	// the same seed make the same choices, so only tests set it.
	Seed uint64
	// ZonePenalty is the cost of an upstream in another zone; 0 means 3 ms, the
	// round trip between the zones of the current deployments.
	ZonePenalty time.Duration
	// BlockPrefillTime is the prefill time that a cached prefix block saves; 0
	// means 2 ms.
	BlockPrefillTime time.Duration
	// CacheBlocks is the number of prefix blocks recorded per upstream; 0 means
	// 8192.
	CacheBlocks int
	// ProbeDelay is the time from the suspension of a slow or failing upstream to
	// its first probe; 0 means 1 s.
	ProbeDelay time.Duration
	// MaxInFlight is the maximum number of requests in flight to an upstream whose
	// number of slots is not set; 0 means 256.
	MaxInFlight int
}

// UpstreamStatus is the state of an upstream as its agent reported it.
type UpstreamStatus struct {
	Upstream    bwmodel.UpstreamID
	Incarnation bwmodel.Incarnation
	// Connected is true while the agent's status stream is open.
	Connected bool
	Leaving   bool
	Load      bwmodel.LoadReport
	Cache     []bwmodel.CacheEvent
}

const (
	defaultZonePenalty      = 3 * time.Millisecond
	defaultBlockPrefillTime = 2 * time.Millisecond
	defaultCacheBlocks      = 8192
	defaultProbeDelay       = time.Second
	defaultMaxInFlight      = 256
	// refreshInterval is the age of the snapshot from which Observe replaces it.
	refreshInterval = 100 * time.Millisecond
)

// New returns a chooser without upstreams. It returns an error when Now is nil.
func New(cfg Config) (*Chooser, error) {
	if cfg.Now == nil {
		return nil, errors.New("chooser: Now is not set")
	}
	if cfg.Policy.Pick == nil {
		cfg.Policy = LeastCost()
	}
	cfg.ZonePenalty = orDefault(cfg.ZonePenalty, defaultZonePenalty)
	cfg.BlockPrefillTime = orDefault(cfg.BlockPrefillTime, defaultBlockPrefillTime)
	cfg.CacheBlocks = orDefault(cfg.CacheBlocks, defaultCacheBlocks)
	cfg.ProbeDelay = orDefault(cfg.ProbeDelay, defaultProbeDelay)
	cfg.MaxInFlight = orDefault(cfg.MaxInFlight, defaultMaxInFlight)
	if cfg.Seed == 0 {
		cfg.Seed = rand.Uint64()
	}
	chs := &Chooser{
		cfg: cfg, start: cfg.Now(), nodes: map[bwmodel.UpstreamID]*node{},
		holders: newHolderIndex(cfg.CacheBlocks), routers: 1,
	}
	chs.slotFreed.reset()
	chs.current.Store(&snapshot{routers: 1})
	return chs, nil
}

// SetRouterCount sets the number of routers that share the slots of the upstreams;
// less than 1 means 1. It takes effect at the next Update. If each router could use
// all slots, requests would queue in the upstreams, where admission has no control
// over them. Only the control goroutine may call it.
func (chs *Chooser) SetRouterCount(count int) { chs.routers = max(1, count) }

// Update replaces the upstreams of the service. Upstreams that remain keep their
// counts of requests in flight. Only the control goroutine may call it.
func (chs *Chooser) Update(ups []bwmodel.Upstream) {
	nodes := make(map[bwmodel.UpstreamID]*node, len(ups))
	for _, up := range ups {
		if up.Service != chs.cfg.Service {
			continue
		}
		if old := chs.nodes[up.Name]; old != nil {
			nodes[up.Name] = old.withUpstream(up, chs.routerMaxInFlight(up))
		} else {
			nodes[up.Name] = chs.newNode(up)
		}
	}
	for id, nd := range chs.nodes {
		if nodes[id] == nil {
			chs.indexes.release(nd.index)
		}
	}
	chs.nodes = nodes
	chs.sortedNodes = slices.SortedFunc(maps.Values(nodes), func(na, nb *node) int {
		return strings.Compare(string(na.up.Name), string(nb.up.Name))
	})
	chs.publish()
}

// Observe applies a status message of an agent, or the loss of its status stream.
// Only the control goroutine may call it.
func (chs *Chooser) Observe(st UpstreamStatus) {
	nd := chs.nodes[st.Upstream]
	if nd == nil {
		return
	}
	now := chs.cfg.Now()
	old := nd.report.Load()
	if old != nil && old.Incarnation != st.Incarnation {
		nd.cache.reset()
		nd.traffic.health.reset()
	}
	nd.observe(now, st, chs.meanTokens.load())
	nd.cache.apply(st.Cache, nd.index, chs.holders)
	if old == nil || now.Sub(chs.lastPublished) >= refreshInterval || !slices.Equal(old.Load.Models, st.Load.Models) {
		chs.publish()
		return
	}
	chs.slotFreed.broadcast()
}

// RecordPrefix records that an upstream has computed a prefix; it is for upstreams
// whose cache events are not read. Only the control goroutine may call it.
func (chs *Chooser) RecordPrefix(name bwmodel.UpstreamID, prefix []uint64) {
	nd := chs.nodes[name]
	if nd == nil {
		return
	}
	for _, block := range prefix {
		key := blockKey(block)
		nd.cache.blocks.add(key)
		chs.holders.add(key, nd.index)
	}
}

// Refresh recomputes the medians with which upstreams are compared. The control
// goroutine calls it several times a second; Observe does the same when the medians
// are at least 100 ms old.
func (chs *Chooser) Refresh() { chs.publish() }

// Choose selects an upstream and counts the request as in flight there until the
// choice's Finish is called. It returns an *AllAtLimitError when every usable
// upstream is at its limit, and a *NoUpstreamError when none is usable.
func (chs *Chooser) Choose(req Request) (Choice, Decision, error) {
	sel := chs.selection(&req)
	defer sel.recycle()
	sel.collect()
	if nd := sel.claimProbe(); nd != nil {
		chc := chs.choice(&assignment{nd: nd, tokens: req.Tokens, probe: true, ownsProbe: true})
		return chc, sel.decision(nd, ReasonProbe), nil
	}
	reason := ReasonPolicy
	cands := sel.available
	if sel.suspendedCount == sel.compared {
		cands, reason = sel.suspended, ReasonAllSuspended
	}
	sel.logCandidates(cands)
	for len(cands) > 0 {
		idx := chs.cfg.Policy.Pick(cands, sel.sequence)
		nd := cands[idx].node
		if nd.traffic.acquire(req.Tokens, sel.limit(nd)) {
			chc := chs.choice(&assignment{nd: nd, tokens: req.Tokens, probe: reason == ReasonAllSuspended})
			return chc, sel.decision(nd, reason), nil
		}
		sel.atLimit++
		cands = slices.Delete(cands, idx, idx+1)
	}
	return Choice{}, sel.decision(nil, sel.failureReason()), sel.failure()
}

// ChooseWait is like Choose, but waits while every usable upstream is at its limit.
// It returns the context's error when the context ends first.
func (chs *Chooser) ChooseWait(ctx context.Context, req Request) (Choice, Decision, error) {
	for {
		freed := chs.SlotFreed()
		chc, dec, err := chs.Choose(req)
		var atLimit *AllAtLimitError
		if err == nil || !errors.As(err, &atLimit) {
			return chc, dec, err
		}
		select {
		case <-freed:
		case <-ctx.Done():
			return Choice{}, dec, ctx.Err()
		}
	}
}

// SlotFreed returns a channel that is closed when a slot of an upstream may have
// become free. To miss no such event, call it before the Choose that may fail.
func (chs *Chooser) SlotFreed() <-chan struct{} { return chs.slotFreed.wait() }

// Capacity returns the sum of the limits of the usable upstreams, and how many more
// requests they can accept. Suspended upstreams count only when no other is usable.
func (chs *Chooser) Capacity() (total, free int) {
	var suspendedTotal, suspendedFree int
	for _, nd := range chs.current.Load().nodes {
		if !nd.usable() {
			continue
		}
		lim := chs.limit(nd)
		unused := max(0, lim-int(nd.traffic.inFlight.Load()))
		if chs.suspended(nd) {
			suspendedTotal, suspendedFree = suspendedTotal+lim, suspendedFree+unused
			continue
		}
		total, free = total+lim, free+unused
	}
	if total == 0 {
		return suspendedTotal, suspendedFree
	}
	return total, free
}

// SlotShare returns this router's share of the slots of the usable upstreams that
// are not suspended, and the number of routers that share them.
func (chs *Chooser) SlotShare() (slots float64, routers int) {
	snap := chs.current.Load()
	for _, nd := range snap.nodes {
		if nd.usable() && !chs.suspended(nd) {
			slots += float64(chs.slotsOf(nd.up)) / float64(snap.routers)
		}
	}
	return slots, snap.routers
}

func (chs *Chooser) limit(nd *node) int {
	if chs.cfg.Policy.Baseline {
		return chs.slotsOf(nd.up)
	}
	return nd.traffic.limit.current()
}

// routerMaxInFlight returns the maximum number of requests that this router may have
// in flight to an upstream: its share of the slots, rounded up.
func (chs *Chooser) routerMaxInFlight(up bwmodel.Upstream) int {
	return (chs.slotsOf(up) + chs.routers - 1) / chs.routers
}

func (chs *Chooser) suspended(nd *node) bool {
	return !chs.cfg.Policy.Baseline && nd.traffic.health.suspended.Load()
}

func (chs *Chooser) slotsOf(up bwmodel.Upstream) int {
	if up.Slots > 0 {
		return up.Slots
	}
	return chs.cfg.MaxInFlight
}

// publish replaces the snapshot that traffic goroutines use.
func (chs *Chooser) publish() {
	chs.lastPublished = chs.cfg.Now()
	for _, nd := range chs.sortedNodes {
		nd.history.add(chs.lastPublished, nd.traffic.tokens.Load())
	}
	snap := newSnapshot(chs.sortedNodes)
	snap.routers = chs.routers
	chs.current.Store(snap)
	chs.slotFreed.broadcast()
}

func (chs *Chooser) newNode(up bwmodel.Upstream) *node {
	ts := &trafficState{}
	ts.health.initialProbeDelay = chs.cfg.ProbeDelay
	maxInFlight := chs.routerMaxInFlight(up)
	ts.limit.reset(min(maxInFlight, initialLimit(up)))
	return &node{
		up: up, maxInFlight: maxInFlight, index: chs.indexes.allocate(), traffic: ts, report: &atomic.Pointer[report]{},
		cache: newCacheView(chs.cfg.CacheBlocks), history: &tokenHistory{},
	}
}

func (chs *Chooser) choice(as *assignment) Choice {
	as.chs = chs
	as.nd.traffic.beginWait(as.elapsed())
	if as.tokens > 0 {
		chs.meanTokens.smooth(float64(as.tokens), smoothing)
	}
	return Choice{Upstream: as.nd.up, Finish: as.finish, ReportFirstToken: as.reportFirstToken, Probe: as.probe}
}

func orDefault[T comparable](val, def T) T {
	var zero T
	if val == zero {
		return def
	}
	return val
}
