package bwforward

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"bilberrywick/core/bwmodel"
)

// Pool knows the upstreams of all services and chooses among them.
type Pool struct {
	cfg  PoolConfig
	view atomic.Pointer[poolView]
	// zones belongs to the control goroutine; what it points to is shared.
	zones    map[bwmodel.ZoneID]*zoneHealth
	sessions *sessionIndex
}

// PoolConfig configures a Pool.
type PoolConfig struct {
	// Zone is the zone of this process.
	Zone bwmodel.ZoneID
	Now  func() time.Time
}

type poolView struct {
	services map[bwmodel.ServiceID][]*Node
	nodes    map[bwmodel.UpstreamID]*Node
}

// Upstream is one process that runs requests of a service.
type Upstream struct {
	ID      bwmodel.UpstreamID
	Service bwmodel.ServiceID
	Zone    bwmodel.ZoneID
	Address netip.AddrPort
	// StartTime tells the runs of an upstream apart that starts again under its ID.
	StartTime time.Time
	// Slots is the number of requests that it works on at a time.
	Slots   int
	Leaving bool
}

// NewPool returns a pool without upstreams.
func NewPool(cfg PoolConfig) *Pool {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	pl := &Pool{cfg: cfg, zones: make(map[bwmodel.ZoneID]*zoneHealth), sessions: new(sessionIndex)}
	pl.view.Store(&poolView{})
	return pl
}

// Update replaces the upstreams; what is known of those that remain stays.
// Only the control goroutine calls it.
func (pl *Pool) Update(ups []Upstream) {
	old := pl.view.Load()
	vw := &poolView{services: make(map[bwmodel.ServiceID][]*Node), nodes: make(map[bwmodel.UpstreamID]*Node, len(ups))}
	for _, up := range ups {
		nd := old.nodes[up.ID]
		if nd == nil || nd.Upstream != up {
			nd = nd.renew(up, pl.zone(up.Zone))
		}
		vw.nodes[up.ID] = nd
		vw.services[up.Service] = append(vw.services[up.Service], nd)
	}
	pl.view.Store(vw)
}

func (pl *Pool) zone(id bwmodel.ZoneID) *zoneHealth {
	zh := pl.zones[id]
	if zh == nil {
		zh = new(zoneHealth)
		pl.zones[id] = zh
	}
	return zh
}

// ActiveUpstreams returns the number of upstreams of a service that take new work.
func (pl *Pool) ActiveUpstreams(svc bwmodel.ServiceID) int {
	count := 0
	for _, nd := range pl.view.Load().services[svc] {
		if !nd.Leaving {
			count++
		}
	}
	return count
}

// AcceptsWork reports whether a node still takes new work.
func (pl *Pool) AcceptsWork(nd *Node) bool {
	now := pl.view.Load().nodes[nd.ID]
	return now != nil && !now.Leaving && now.Address == nd.Address && now.StartTime.Equal(nd.StartTime)
}

// Work is what a choice is made for.
type Work struct {
	Service Service
	// PromptTokens is the number of tokens that an engine reads first, Output the
	// number that it may produce; both are 0 for plain requests.
	PromptTokens, MaxOutputTokens int
	// Session is the same for requests that repeat or continue each other.
	Session string
	// Reconnect says that the caller goes on with a stream which it lost.
	Reconnect bool
	// Exclude lists upstreams that have failed the request.
	Exclude []bwmodel.UpstreamID
}

// Costs of a choice, as the time that the request is expected to take longer.
const (
	// prefillRate is the number of prompt tokens that an engine reads in a
	// millisecond on today's deployments; only its ratio to the other costs matters.
	prefillRate = 8
	// streamZoneCost is the price of bytes between zones, where they are dear,
	// against that of a prompt which has to wait for another one.
	streamZoneCost = 100 * time.Millisecond
	// homeGain outweighs another zone, but not a prompt of today's size that has
	// to be read first; resumeGain outweighs that as well, since the engine has
	// most likely read the prompt already.
	homeGain   = 500 * time.Millisecond
	resumeGain = 2 * time.Second
	// plainZoneCost is two requests of today's size on the engine nearby.
	plainZoneCost = 30 * time.Millisecond
	// slotCost stands for what a prompt does to a stream that runs on the same
	// engine, whose tokens wait behind each of its chunks.
	slotCost = 150 * time.Millisecond
	// plainTime is the usual work of a plain request.
	plainTime = 15 * time.Millisecond
	// waitingCost is added for each request that already waits at the upstream.
	waitingCost = 100 * time.Millisecond
	// fullCost is added where the request does not fit into slots or memory.
	fullCost = 10 * time.Second
	// suspendedCost puts upstreams that have just failed last.
	suspendedCost = time.Minute
	// zoneFailureCost keeps new work out of a zone whose upstreams fail one after
	// the other until the others are busy.
	zoneFailureCost = time.Second
	// loadAge is how long a load report is used; plain engines finish most of
	// the work that it counts within that time.
	loadAge = 500 * time.Millisecond
	// usableMemory is the part of an engine's memory that is planned with; the
	// rest is for the requests of other routers that are not known yet.
	usableMemory = 0.9
)

// Choose returns the upstream with the lowest cost, or nil when there is none.
func (pl *Pool) Choose(wrk Work) *Node {
	return pl.pick(wrk, func(*Node) time.Duration { return 0 })
}

// ChooseCopyTarget returns the engine that keeps a copy of a run on another one, or
// nil. Engines of one zone fail together more often than others, so it is in
// another zone if there is one.
func (pl *Pool) ChooseCopyTarget(wrk Work, run *Node) *Node {
	wrk.Exclude = append(slices.Clone(wrk.Exclude), run.ID)
	return pl.pick(wrk, func(nd *Node) time.Duration {
		if nd.Zone == run.Zone {
			return fullCost
		}
		return 0
	})
}

func (pl *Pool) pick(wrk Work, extra func(*Node) time.Duration) *Node {
	now := pl.cfg.Now()
	var best *Node
	var least time.Duration
	vw := pl.view.Load()
	nodes := vw.services[wrk.Service.Name]
	home := pl.home(vw, wrk)
	for _, nd := range nodes {
		if nd.Leaving || nd.replaced.Load() || slices.Contains(wrk.Exclude, nd.ID) {
			continue
		}
		cost := pl.cost(nd, wrk, now) + extra(nd) + rand.N(time.Millisecond)
		if nd == home {
			cost -= wrk.homeGain()
		}
		if best == nil || cost < least {
			best, least = nd, cost
		}
	}
	return best
}

func (wrk Work) homeGain() time.Duration {
	if wrk.Reconnect {
		return resumeGain
	}
	return homeGain
}

// home returns where a session's prompt most likely is in memory: for one that
// goes on, where it ran last.
func (pl *Pool) home(vw *poolView, wrk Work) *Node {
	if id, ok := pl.sessions.get(wrk.Session); ok && wrk.Reconnect {
		if nd := vw.nodes[id]; nd != nil {
			return nd
		}
	}
	return homeOf(vw.services[wrk.Service.Name], wrk.Session)
}

// RecordSession notes where a request runs, for its session's return.
func (pl *Pool) RecordSession(nd *Node, session string) { pl.sessions.put(session, nd.ID) }

// homeOf returns the node that every gateway prefers for a session, so that
// one which goes on after a gateway was lost finds its prompt still in memory.
func homeOf(nodes []*Node, session string) *Node {
	if session == "" {
		return nil
	}
	var home *Node
	var highest uint64
	for _, nd := range nodes {
		dig := xxhash.New()
		// A digest's writes never fail.
		_, _ = dig.WriteString(session)
		_, _ = dig.WriteString(string(nd.ID))
		if sum := dig.Sum64(); home == nil || sum > highest {
			home, highest = nd, sum
		}
	}
	return home
}

// readTime returns how long an engine with nothing else to do reads a prompt.
func readTime(tokens int) time.Duration {
	return time.Duration(tokens) * time.Millisecond / prefillRate
}

func (pl *Pool) cost(nd *Node, wrk Work, now time.Time) time.Duration {
	cost := time.Duration(0)
	if now.UnixNano() < nd.suspended.Load() {
		cost += suspendedCost
	}
	if nd.zone.failing(now) {
		cost += zoneFailureCost
	}
	ld, fresh := nd.load(now)
	if fresh {
		cost += time.Duration(ld.Waiting) * waitingCost
	}
	running := int(nd.running.Load()) + nd.others.running(now)
	if fresh {
		running = max(running, ld.Running)
	}
	if nd.Slots > 0 && running >= nd.Slots {
		cost += fullCost
	}
	if wrk.Service.Model == nil {
		cost += pl.plainCost(nd, running, ld, fresh)
		return cost
	}
	unread := int(nd.unread.Load()) + wrk.PromptTokens
	cost += readTime(unread) + nd.others.left(now)
	cost += time.Duration(running) * slotCost
	need := int(nd.tokens.Load()) + wrk.PromptTokens + wrk.MaxOutputTokens
	if memory := wrk.Service.Model.Memory; memory > 0 && float64(need) > usableMemory*float64(memory) {
		cost += fullCost
	}
	if nd.Zone != pl.cfg.Zone {
		cost += streamZoneCost
	}
	return cost
}

// plainCost grows with the requests that share the upstream's slots.
func (pl *Pool) plainCost(nd *Node, running int, ld Load, fresh bool) time.Duration {
	cost := plainTime
	if fresh && ld.Slowdown > 0 {
		cost = time.Duration(float64(cost) * ld.Slowdown)
	}
	cost += cost * time.Duration(running) / time.Duration(max(nd.Slots, 1))
	if nd.Zone != pl.cfg.Zone {
		cost += plainZoneCost
	}
	return cost
}
