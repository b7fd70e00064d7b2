package bwroute

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"bilberrywick/core/bwmodel"
)

// Chooser selects upstreams for one service.
type Chooser struct {
	cfg     Config
	current atomic.Pointer[snapshot]
	turn    atomic.Uint64
	freed   signal
	// nodes belongs to the control goroutine.
	nodes map[bwmodel.UpstreamID]*node
}

// Config holds what a Chooser starts from.
type Config struct {
	Service bwmodel.ServiceID
	// Zone is the zone of the router itself.
	Zone bwmodel.ZoneID
	Now  func() time.Time
	// Policy selects among candidates; the zero value means LeastCost.
	Policy Policy
	// Seed makes the random parts repeatable; 0 draws a seed.
	Seed uint64
	// ZonePenalty is the cost of a choice in another zone; 0 means 3 ms.
	ZonePenalty time.Duration
	// BlockTime is the prefill time that one cached prefix block saves; 0 means 2 ms.
	BlockTime time.Duration
	// ProbePause is the first pause before a slow upstream is tried again; 0 means 1 s.
	ProbePause time.Duration
}

// Status is what a router learned of one upstream from its agent.
type Status struct {
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
	defaultProbePause  = time.Second
	// scanLimit is the number of upstreams up to which every one is compared.
	scanLimit = 32
	// sampleSize is the number of upstreams compared above scanLimit.
	sampleSize = 8
	// loggedCandidates bounds the candidates of a Decision.
	loggedCandidates = 8
)

// New returns a chooser without upstreams.
func New(cfg Config) (*Chooser, error) {
	if cfg.Now == nil {
		return nil, errors.New("chooser: Now is not set")
	}
	if cfg.Policy.Pick == nil {
		cfg.Policy = LeastCost()
	}
	if cfg.ZonePenalty == 0 {
		cfg.ZonePenalty = defaultZonePenalty
	}
	if cfg.BlockTime == 0 {
		cfg.BlockTime = defaultBlockTime
	}
	if cfg.ProbePause == 0 {
		cfg.ProbePause = defaultProbePause
	}
	if cfg.Seed == 0 {
		cfg.Seed = rand.Uint64()
	}
	chs := &Chooser{cfg: cfg, nodes: map[bwmodel.UpstreamID]*node{}}
	chs.freed.reset()
	chs.current.Store(&snapshot{})
	return chs, nil
}

// Update replaces the upstreams of the service; work in flight on those that
// remain stays counted. Only the control goroutine calls it.
func (chs *Chooser) Update(ups []bwmodel.Upstream) {
	nodes := make(map[bwmodel.UpstreamID]*node, len(ups))
	for _, up := range ups {
		if up.Service != chs.cfg.Service {
			continue
		}
		nd := chs.nodes[up.Name]
		if nd == nil {
			nd = newNode(up)
		}
		nodes[up.Name] = nd.with(up)
	}
	chs.nodes = nodes
	chs.publish()
}

// Observe takes in what an agent reported, or that its stream has closed. Only
// the control goroutine calls it.
func (chs *Chooser) Observe(st Status) {
	nd := chs.nodes[st.Upstream]
	if nd == nil {
		return
	}
	nd.observe(chs.cfg.Now(), st)
	chs.freed.broadcast()
}

// Refresh recomputes the medians that slow upstreams are compared with. The
// control goroutine calls it several times a second.
func (chs *Chooser) Refresh() {
	chs.publish()
}

// Choose selects an upstream and counts the request against it until the
// choice's Finish. It returns a *NoFreeError when every usable upstream is at
// its limit and a *NoUpstreamError when none is usable.
func (chs *Chooser) Choose(req Request) (Choice, Decision, error) {
	snap := chs.current.Load()
	now := chs.cfg.Now()
	sel := selection{chs: chs, req: &req, now: now, turn: chs.turn.Add(1)}
	sel.collect(snap)
	for len(sel.cands) > 0 {
		idx := chs.cfg.Policy.Pick(sel.cands, sel.turn)
		nd := sel.cands[idx].node
		if nd.acquire(req.Tokens, sel.limit(nd)) {
			return chs.choice(nd, req.Tokens, false), sel.decision(idx), nil
		}
		sel.busy++
		sel.cands = slices.Delete(sel.cands, idx, idx+1)
	}
	return Choice{}, sel.decision(-1), sel.failure()
}

// Wait chooses like Choose, but waits while every usable upstream is at its
// limit. It returns the context's error when that ends first.
func (chs *Chooser) Wait(ctx context.Context, req Request) (Choice, Decision, error) {
	for {
		freed := chs.Freed()
		chc, dec, err := chs.Choose(req)
		var busy *NoFreeError
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

// Freed returns a channel that is closed when an upstream may have become free.
// It must be taken before the Choose whose failure it is to wait for.
func (chs *Chooser) Freed() <-chan struct{} { return chs.freed.wait() }

// Capacity returns the number of requests that the usable upstreams take at a
// time, and how many of these places are free.
func (chs *Chooser) Capacity() (total, free int) {
	for _, nd := range chs.current.Load().nodes {
		if !nd.usable() {
			continue
		}
		lim := nd.limitNow()
		total += lim
		free += max(0, lim-int(nd.work.inFlight.Load()))
	}
	return total, free
}

func (chs *Chooser) publish() {
	nodes := make([]*node, 0, len(chs.nodes))
	for _, nd := range chs.nodes {
		nodes = append(nodes, nd)
	}
	slices.SortFunc(nodes, func(na, nb *node) int {
		if na.up.Name < nb.up.Name {
			return -1
		}
		return 1
	})
	chs.current.Store(newSnapshot(nodes))
	chs.freed.broadcast()
}

func (chs *Chooser) choice(nd *node, tokens int, probe bool) Choice {
	ls := &lease{chs: chs, nd: nd, tokens: tokens, probe: probe}
	return Choice{Upstream: nd.up, Finish: ls.finish}
}

// lease is one request in flight.
type lease struct {
	chs    *Chooser
	nd     *node
	tokens int
	probe  bool
	done   atomic.Bool
}

func (ls *lease) finish(out Outcome) {
	if ls.done.Swap(true) {
		return
	}
	ls.nd.release(ls.tokens)
	ls.nd.learn(out)
	ls.chs.freed.broadcast()
}
