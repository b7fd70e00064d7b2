package bwforward

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"bilberrywick/core/bwmodel"
)

// Pool holds the upstreams of all services and chooses one for each request.
type Pool struct {
	cfg  PoolConfig
	view atomic.Pointer[poolView]
	// zones is used by the control goroutine only; its values are shared.
	zones    map[zoneKey]*zoneHealth
	sessions *sessionIndex
	states   sync.Map // bwmodel.ServiceID to *serviceState
	teams    teamStreams
	// left has the upstreams that were removed after they had said that they leave, and
	// when. Their entries may come back. Only the control goroutine uses it.
	left map[upstreamRun]time.Time
	// running counts the requests in progress of each version.
	running sync.Map // versionKey to *atomic.Int64
}

// PoolConfig configures a Pool.
type PoolConfig struct {
	// Zone is the zone of this process.
	Zone bwmodel.ZoneID
	// Now returns the current time; nil means time.Now.
	Now func() time.Time
	// Random returns a random time in [0, limit); nil means rand.N.
	Random func(limit time.Duration) time.Duration
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
	// StartTime distinguishes the runs of an upstream that restarts under its ID.
	StartTime time.Time
	// Slots is the number of requests that it runs at a time.
	Slots int
	// Leaving is set when the upstream takes no new work.
	Leaving bool
	// Report is the number of the upstream's report, counted from its start, by which
	// two entries of one run are ordered.
	Report uint64
	// Version is the version of the upstream's program; empty if its entry has none.
	Version bwmodel.VersionID
}

// NewPool returns a pool without upstreams.
func NewPool(cfg PoolConfig) *Pool {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.Random == nil {
		cfg.Random = rand.N[time.Duration]
	}
	pl := &Pool{cfg: cfg, zones: make(map[zoneKey]*zoneHealth), sessions: new(sessionIndex), left: make(map[upstreamRun]time.Time)}
	pl.view.Store(&poolView{})
	return pl
}

// Update replaces the upstreams. Those that remain keep their counters and load
// reports. Only the control goroutine calls it.
func (pl *Pool) Update(ups []Upstream) {
	old := pl.view.Load()
	vw := &poolView{services: make(map[bwmodel.ServiceID][]*Node), nodes: make(map[bwmodel.UpstreamID]*Node, len(ups))}
	for _, up := range ups {
		nd := old.nodes[up.ID]
		if nd == nil || nd.Upstream != up {
			nd = nd.withUpstream(up, pl.zoneHealth(zoneKey{up.Service, up.Zone}))
			nd.now, nd.state = pl.cfg.Now, pl.state(up.Service)
			nd.versionRunning = pl.versionRunning(up)
		}
		if _, ok := pl.left[upstreamRun{up.ID, up.StartTime}]; ok {
			nd.MarkLeaving()
		}
		vw.nodes[up.ID] = nd
		vw.services[up.Service] = append(vw.services[up.Service], nd)
	}
	pl.rememberLeft(old, vw)
	pl.view.Store(vw)
}

// zoneKey names the upstreams of one service in one zone. Those of other services
// run on other VMs: if they counted as failing too, a few upstreams elsewhere
// would get their work.
type zoneKey struct {
	service bwmodel.ServiceID
	zone    bwmodel.ZoneID
}

func (pl *Pool) zoneHealth(key zoneKey) *zoneHealth {
	zh := pl.zones[key]
	if zh == nil {
		zh = new(zoneHealth)
		pl.zones[key] = zh
	}
	return zh
}

// ActiveUpstreams returns the number of upstreams of a service that take new work.
func (pl *Pool) ActiveUpstreams(svc bwmodel.ServiceID) int {
	count := 0
	for _, nd := range pl.view.Load().services[svc] {
		if !nd.isLeaving() {
			count++
		}
	}
	return count
}

const (
	// restartTime is above the time that engines of the current deployments take to
	// restart, 1 to 5 s.
	restartTime = 5 * time.Second
	// lostPart is the part of a service's upstreams, as its reciprocal, whose loss is worth
	// reads of the list: in a large fleet one of them is always lost.
	lostPart = 20
)

// HasLostUpstreams reports whether a service has lost a part of its upstreams, so that the
// list is about to change: another upstream has the address, or it has failed within
// restartTime and not responded since.
func (pl *Pool) HasLostUpstreams() bool {
	since := pl.cfg.Now().Add(-restartTime)
	for _, nodes := range pl.view.Load().services {
		lost := 0
		for _, nd := range nodes {
			if nd.replaced.Load() || nd.FailingSince(since) {
				lost++
			}
		}
		if lost > 0 && lost*lostPart >= len(nodes) {
			return true
		}
	}
	return false
}

// Node returns an upstream's node, or nil.
func (pl *Pool) Node(id bwmodel.UpstreamID) *Node { return pl.view.Load().nodes[id] }

// AcceptsWork reports whether a node still takes new work, of which one with a limit
// may need a permit.
func (pl *Pool) AcceptsWork(nd *Node) bool {
	if _, blocked := nd.blockedAt(pl.cfg.Now()); blocked {
		return false
	}
	current := pl.view.Load().nodes[nd.ID]
	return current != nil && !current.isLeaving() && current.Address == nd.Address && current.StartTime.Equal(nd.StartTime)
}

// Work describes a request for which an upstream is chosen.
type Work struct {
	Service Service
	// PromptTokens is the length of the prompt, MaxOutputTokens the number of tokens
	// that the engine may generate; both are 0 for plain requests.
	PromptTokens, MaxOutputTokens int
	// Session is equal for requests that repeat or continue each other.
	Session string
	// Reconnect is set when the caller reconnects to an interrupted stream.
	Reconnect bool
	// Exclude lists the upstreams that must not be chosen since they have failed
	// the request.
	Exclude []bwmodel.UpstreamID
	// SkipLimited excludes the upstreams that limit their requests.
	SkipLimited bool
	// Versions says to which versions of the service the request may go; nil means all.
	Versions *VersionRule
}

// Costs of an upstream, as the time by which a request is expected to take longer
// there, and gains, which reduce its cost.
const (
	// streamZoneCost is the cost of a stream in another zone. Traffic between zones
	// is expensive; the value weighs it against the wait of a prompt for another one.
	streamZoneCost = 100 * time.Millisecond
	// sessionGain outweighs streamZoneCost, but not the prefill of another prompt
	// of the size usual on the current deployments. reconnectGain outweighs that as
	// well, since the engine has most likely prefilled the stream's prompt already.
	sessionGain   = 500 * time.Millisecond
	reconnectGain = 2 * time.Second
	// plainZoneCost is the cost of two requests of the usual size at an upstream in
	// the zone of this process.
	plainZoneCost = 30 * time.Millisecond
	// runningCost is added for each running request: each chunk of the new prompt
	// delays the tokens of the streams on the same engine.
	runningCost = 150 * time.Millisecond
	// copyCost is added for each copy that an engine holds when it is considered for
	// another one. It is above runningCost: if the copies' engines fail, all of them
	// become running streams at the same moment.
	copyCost = 2 * runningCost
	// plainServiceTime is the usual time that a plain request takes.
	plainServiceTime = 15 * time.Millisecond
	// waitingCost is added for each request that already waits at the upstream.
	waitingCost = 100 * time.Millisecond
	// fullCost is added if the upstream has no free slot, and again if its KV cache
	// has no room for the request.
	fullCost = 10 * time.Second
	// suspendedCost ranks suspended upstreams below all others.
	suspendedCost = time.Minute
	// zoneFailureCost keeps new work out of a zone whose upstreams fail one after
	// the other, unless the other zones are busy.
	zoneFailureCost = time.Second
	// maxLoadAge is how long a load report is used. Plain upstreams finish most of
	// the reported work within that time.
	maxLoadAge = 500 * time.Millisecond
	// limitedCost is added for an upstream that limits its requests. It gets work when
	// the others are as busy as with a request that waits.
	limitedCost = waitingCost
	// usableMemoryShare is the part of an engine's KV cache that choices may fill.
	// The rest is left for the placements of other gateways whose notes are on their way.
	usableMemoryShare = 0.9
)

// Choose returns the upstream with the lowest cost, or nil if there is none.
func (pl *Pool) Choose(wrk Work) *Node {
	return pl.cheapest(wrk, func(*Node) time.Duration { return 0 })
}

// ChooseCopyTarget returns the engine for a copy of the KV cache of a run on
// source, or nil if none has room. It prefers other zones, since engines of one
// zone often fail together, and engines with few copies, since the runs of a zone
// that fails all go on at their copies.
func (pl *Pool) ChooseCopyTarget(wrk Work, source *Node) *Node {
	wrk.Exclude = append(slices.Clone(wrk.Exclude), source.ID)
	now := pl.cfg.Now()
	target := pl.cheapest(wrk, func(nd *Node) time.Duration {
		cost := time.Duration(max(int(nd.copies.Load()), nd.peerWork.copies.running(now))) * copyCost
		if nd.Zone == source.Zone {
			cost += fullCost
		}
		// The run could not go on there, or only with a permit.
		if nd.InNeed(now) {
			cost += fullCost
		}
		return cost
	})
	if target == nil || !target.hasMemory(wrk, now) {
		// A copy must not take the memory of streams.
		return nil
	}
	return target
}

// cheapest returns the upstream with the lowest cost. A random cost of less than a
// millisecond spreads requests over upstreams of equal cost.
func (pl *Pool) cheapest(wrk Work, extraCost func(*Node) time.Duration) *Node {
	now := pl.cfg.Now()
	var best *Node
	var lowest time.Duration
	vw := pl.view.Load()
	nodes := vw.services[wrk.Service.Name]
	preferred := pl.preferredNode(vw, wrk)
	slow, active := int32(0), int32(0)
	mayTest := pl.mayTest(wrk)
	for _, nd := range nodes {
		if !nd.takes(wrk, now) {
			continue
		}
		active++
		cost := pl.cost(nd, wrk, now) + extraCost(nd) + pl.cfg.Random(time.Millisecond)
		if nd.engineSpeed().slow > 0 {
			slow++
			if !mayTest {
				cost += fullCost
			}
		}
		if nd == preferred {
			cost -= wrk.affinityGain()
		}
		if best == nil || cost < lowest {
			best, lowest = nd, cost
		}
	}
	if wrk.Service.Model != nil {
		state := pl.state(wrk.Service.Name)
		state.slow.Store(slow)
		state.active.Store(active)
	}
	return best
}

// takes reports whether work may be sent to the node now.
func (nd *Node) takes(wrk Work, now time.Time) bool {
	if nd.isLeaving() || nd.replaced.Load() || slices.Contains(wrk.Exclude, nd.ID) || !wrk.Versions.Allows(nd.Upstream) {
		return false
	}
	if _, limited := nd.Limit(); limited && wrk.SkipLimited {
		return false
	}
	_, blocked := nd.blockedAt(now)
	return !blocked
}

// affinityGain returns the reduction of the preferred node's cost.
func (wrk Work) affinityGain() time.Duration {
	if wrk.Reconnect {
		return reconnectGain
	}
	return sessionGain
}

// preferredNode returns the node whose KV cache most likely holds the session's
// prompt: after a reconnect the one that ran it last, else its rendezvous node.
func (pl *Pool) preferredNode(vw *poolView, wrk Work) *Node {
	if id, ok := pl.sessions.get(wrk.Session); ok && wrk.Reconnect {
		if nd := vw.nodes[id]; nd != nil {
			return nd
		}
	}
	return rendezvousNode(wrk.Versions.allowedNodes(vw.services[wrk.Service.Name]), wrk.Session)
}

// RecordSession records the node that runs a session, which Choose prefers when the
// session reconnects.
func (pl *Pool) RecordSession(nd *Node, session string) { pl.sessions.put(session, nd.ID) }

// rendezvousNode returns the session's node by rendezvous hashing. All gateways
// compute the same one, so that a session which continues through another gateway
// finds its prompt in the engine's KV cache.
func rendezvousNode(nodes []*Node, session string) *Node {
	if session == "" {
		return nil
	}
	var preferred *Node
	var highest uint64
	for _, nd := range nodes {
		digest := xxhash.New()
		// Writes to a digest never fail.
		_, _ = digest.WriteString(session)
		_, _ = digest.WriteString(string(nd.ID))
		if sum := digest.Sum64(); preferred == nil || sum > highest {
			preferred, highest = nd, sum
		}
	}
	return preferred
}

// cost returns the cost of work at a node, before affinityGain is subtracted.
func (pl *Pool) cost(nd *Node, wrk Work, now time.Time) time.Duration {
	cost := time.Duration(0)
	if nanos(now) < nd.suspendedUntil.Load() {
		cost += suspendedCost
	}
	if nd.zone.failing(now) {
		cost += zoneFailureCost
	}
	cost += nd.limitCost(now)
	cost += wrk.Versions.cost(nd.Upstream)
	ld, fresh := nd.freshLoad(now)
	if fresh {
		cost += time.Duration(ld.Waiting) * waitingCost
	}
	running := nd.runningRequests(now)
	if !nd.hasSlot(now) {
		cost += fullCost
	}
	if wrk.Service.Model == nil {
		cost += pl.plainCost(nd, running, ld, fresh)
		return cost
	}
	cost += pl.Estimate(nd, wrk).First
	cost += time.Duration(running) * runningCost
	if nd.engineSpeed().slow > 0 {
		cost += testCost
	}
	if pl.onlyTests(nd, now) {
		cost += fullCost
	}
	if !nd.hasMemory(wrk, now) {
		cost += fullCost
	}
	if nd.wouldCrash(wrk, now) {
		cost += fullCost
	}
	if nd.Zone != pl.cfg.Zone {
		cost += streamZoneCost
	}
	return cost
}

// plainCost returns the expected time of a plain request. It grows with the number
// of requests that share the upstream's slots.
func (pl *Pool) plainCost(nd *Node, running int, ld Load, fresh bool) time.Duration {
	cost := plainServiceTime
	if fresh && ld.Slowdown > 0 {
		cost = time.Duration(float64(cost) * ld.Slowdown)
	}
	cost += cost * time.Duration(running) / time.Duration(max(nd.Slots, 1))
	if nd.Zone != pl.cfg.Zone {
		cost += plainZoneCost
	}
	return cost
}
