package bwforward

import (
	"cmp"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"bilberrywick/core/bwmodel"
)

// VersionUse says how a request may use the upstreams of a version.
type VersionUse int

// Uses of a version.
const (
	// VersionForbidden means that the request must not reach the version.
	VersionForbidden VersionUse = iota
	// VersionAllowed means that the version's upstreams are chosen by their cost alone.
	VersionAllowed
	// VersionPreferred means that the version's upstreams come first as long as one of
	// them has room.
	VersionPreferred
	// VersionSubset means that only the upstreams in VersionRule.Subset may be chosen.
	VersionSubset
)

// VersionRule says to which versions of its service a request may go. It must not be
// changed once it is in use. A nil rule allows all versions.
type VersionRule struct {
	// Uses has the uses of versions. One that is not in it is forbidden.
	Uses map[bwmodel.VersionID]VersionUse
	// Subset has the upstreams of the versions with VersionSubset that may be chosen.
	Subset []bwmodel.UpstreamID
}

// Allows reports whether the request may be sent to an upstream.
func (vrl *VersionRule) Allows(up Upstream) bool {
	if vrl == nil {
		return true
	}
	switch vrl.Uses[up.Version] {
	case VersionAllowed, VersionPreferred:
		return true
	case VersionSubset:
		return slices.Contains(vrl.Subset, up.ID)
	default:
		return false
	}
}

// otherVersionCost is the cost of an upstream of another version than the preferred one.
// It outweighs all that distinguishes upstreams with room, and is below fullCost, so that
// a preferred version gets as much as its upstreams can take.
const otherVersionCost = fullCost / 2

// cost returns the cost of an upstream by its version.
func (vrl *VersionRule) cost(up Upstream) time.Duration {
	if vrl == nil || vrl.Uses[up.Version] == VersionPreferred {
		return 0
	}
	for _, use := range vrl.Uses {
		if use == VersionPreferred {
			return otherVersionCost
		}
	}
	return 0
}

// allowedNodes returns the nodes that a rule allows.
func (vrl *VersionRule) allowedNodes(nodes []*Node) []*Node {
	if vrl == nil {
		return nodes
	}
	var allowed []*Node
	for _, nd := range nodes {
		if vrl.Allows(nd.Upstream) {
			allowed = append(allowed, nd)
		}
	}
	return allowed
}

// AcceptsWorkOf reports whether a node still takes new work and its version may get it.
func (pl *Pool) AcceptsWorkOf(nd *Node, wrk Work) bool {
	return wrk.Versions.Allows(nd.Upstream) && pl.AcceptsWork(nd)
}

// versionKey names the upstreams of one version of a service.
type versionKey struct {
	service bwmodel.ServiceID
	version bwmodel.VersionID
}

// versionRunning returns the count of requests in progress of an upstream's version.
// Only the control goroutine calls it; the counts are shared.
func (pl *Pool) versionRunning(up Upstream) *atomic.Int64 {
	key := versionKey{up.Service, up.Version}
	if count, ok := pl.running.Load(key); ok {
		return count.(*atomic.Int64)
	}
	count := new(atomic.Int64)
	pl.running.Store(key, count)
	return count
}

// RunningAt returns the number of this process's requests at the upstreams of a version
// of a service, including those that are no longer listed.
func (pl *Pool) RunningAt(svc bwmodel.ServiceID, version bwmodel.VersionID) int {
	if count, ok := pl.running.Load(versionKey{svc, version}); ok {
		return int(count.(*atomic.Int64).Load())
	}
	return 0
}

// RunningAtOthers returns the number of this process's requests at the upstreams of all
// versions of a service but one, including those that are no longer listed.
func (pl *Pool) RunningAtOthers(svc bwmodel.ServiceID, version bwmodel.VersionID) int {
	sum := 0
	pl.running.Range(func(key, count any) bool {
		if vk := key.(versionKey); vk.service == svc && vk.version != version {
			sum += int(count.(*atomic.Int64).Load())
		}
		return true
	})
	return sum
}

// VersionUpstreams returns the upstreams of a service that take new work, by version.
func (pl *Pool) VersionUpstreams(svc bwmodel.ServiceID) map[bwmodel.VersionID][]Upstream {
	ups := make(map[bwmodel.VersionID][]Upstream)
	for _, nd := range pl.view.Load().services[svc] {
		if !nd.isLeaving() && !nd.replaced.Load() {
			ups[nd.Version] = append(ups[nd.Version], nd.Upstream)
		}
	}
	return ups
}

// Deciders returns the gateways that decide about a service's rollout at a time, by
// rendezvous hashing for the service and the interval of the time, at most
// decidersPerInterval. They are those that all others know, or if there are none those
// that have announced themselves recently; gateways that stop are none of them.
func Deciders(holders []PermitHolder, svc bwmodel.ServiceID, now time.Duration) []PermitHolder {
	start := now.Truncate(DeciderInterval)
	var known, recent []PermitHolder
	for _, hld := range holders {
		switch {
		case start >= hld.Until:
		case start >= hld.From:
			known = append(known, hld)
		default:
			recent = append(recent, hld)
		}
	}
	if known == nil {
		known = recent
	}
	interval := xxhash.Sum64String(string(svc)) ^ mix(uint64(start))
	rank := func(hld PermitHolder) uint64 { return mix(interval ^ xxhash.Sum64String(string(hld.Member))) }
	slices.SortFunc(known, func(ha, hb PermitHolder) int {
		return cmp.Or(cmp.Compare(rank(hb), rank(ha)), cmp.Compare(ha.Member, hb.Member))
	})
	return known[:min(len(known), decidersPerInterval)]
}

const (
	// DeciderInterval is the time after which other gateways decide about a rollout: a
	// dead one delays a decision by no more, and a new one needs a quarter of it to get
	// all reports.
	DeciderInterval = 2 * time.Second
	// decidersPerInterval is the number of gateways that decide, so that two of them may
	// be dead or out of reach.
	decidersPerInterval = 3
)

// hasOtherVersion reports whether another version of an upstream's service is listed, so
// that a process at the upstream's address may be of that version.
func (dir *UpstreamDirectory) hasOtherVersion(up Upstream) bool {
	for _, ent := range dir.entries {
		if ent.up.Service == up.Service && ent.up.Version != up.Version {
			return true
		}
	}
	return false
}
