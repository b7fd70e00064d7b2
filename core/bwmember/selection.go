package bwmember

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"

	"bilberrywick/core/bwmodel"
)

// WatchersPerZone is the number of routers in a zone that poll the store's head.
const WatchersPerZone = 2

// Watches reports whether self is one of its zone's routers that poll the
// store, given the members known. Only live routers count, so that each
// process that hears no one polls.
func Watches(self bwmodel.Member, entries []Entry) bool {
	if self.Role != bwmodel.RouterRole || self.Leaving {
		return false
	}
	rivals := liveRouters(entries, func(mem bwmodel.Member) bool { return mem.Zone == self.Zone })
	mine := weight("watch", string(self.ID))
	above := 0
	for _, mem := range rivals {
		if outranks(weight("watch", string(mem.ID)), mem.ID, mine, self.ID) {
			above++
		}
	}
	return above < WatchersPerZone
}

// Candidate reports whether self is one of the count routers of its region that
// may take a control duty, by rendezvous hashing, given the members known.
func Candidate(self bwmodel.Member, entries []Entry, duty string, count int) bool {
	if self.Role != bwmodel.RouterRole || self.Leaving {
		return false
	}
	others := Candidates(self.Region, entries, duty, count)
	if len(others) < count {
		return true
	}
	last := others[count-1]
	return compareWeights(weight(duty, string(self.ID)), self.ID, weight(duty, string(last.ID)), last.ID) < 0
}

// Candidates returns the count live routers of a region that may take a control
// duty, the first choice first.
func Candidates(region bwmodel.RegionID, entries []Entry, duty string, count int) []bwmodel.Member {
	routers := liveRouters(entries, func(mem bwmodel.Member) bool { return mem.Region == region })
	slices.SortFunc(routers, func(aa, bb bwmodel.Member) int {
		return compareWeights(weight(duty, string(aa.ID)), aa.ID, weight(duty, string(bb.ID)), bb.ID)
	})
	return routers[:min(count, len(routers))]
}

// PushTargets returns up to fanout members to push a new ticket number to. One
// live member of each other zone comes first, so that a push crosses zones
// even when most members are near; the rest are random members of the own zone,
// then random others.
func PushTargets(self bwmodel.Member, entries []Entry, fanout int, rng *rand.Rand) []bwmodel.Member {
	near, far := split(self, entries, rng)
	zones := make(map[bwmodel.ZoneID]bool)
	var first, rest []bwmodel.Member
	for _, mem := range far {
		if zones[mem.Zone] {
			rest = append(rest, mem)
			continue
		}
		zones[mem.Zone] = true
		first = append(first, mem)
	}
	// Half of the fan-out stays for the own zone when there are many zones.
	if half := fanout / 2; len(first) > half && len(near) >= fanout-half {
		first = first[:half]
	}
	targets := slices.Concat(first, near, rest)
	return targets[:min(fanout, len(targets))]
}

// ExchangePeer returns a random member to exchange with, or false when none is
// known. Suspect members take part, since an exchange is how they become live again.
func ExchangePeer(entries []Entry, rng *rand.Rand) (bwmodel.Member, bool) {
	if len(entries) == 0 {
		return bwmodel.Member{}, false
	}
	return entries[rng.IntN(len(entries))].Member, true
}

// RecordHolders returns the live routers that may hold copies of a request's
// record, the first choice first. Routers in another zone come before those in
// the own one, because a zone is lost as a whole.
func RecordHolders(self bwmodel.Member, entries []Entry, id bwmodel.RequestID) []bwmodel.Member {
	routers := liveRouters(entries, func(bwmodel.Member) bool { return true })
	weights := make(map[bwmodel.MemberID]uint64, len(routers))
	for _, mem := range routers {
		weights[mem.ID] = weight(string(id[:]), string(mem.ID))
	}
	slices.SortFunc(routers, func(aa, bb bwmodel.Member) int {
		if near := aa.Zone == self.Zone; near != (bb.Zone == self.Zone) {
			if near {
				return 1
			}
			return -1
		}
		return compareWeights(weights[aa.ID], aa.ID, weights[bb.ID], bb.ID)
	})
	return routers
}

// Subset returns the upstreams of one service that a router follows: up to
// count of its region by rendezvous hashing, in at least two zones where the
// service has them, and those of other regions only when its own has none.
func Subset(self bwmodel.Member, upstreams []bwmodel.Upstream, count int) []bwmodel.Upstream {
	local := slices.DeleteFunc(slices.Clone(upstreams), func(ups bwmodel.Upstream) bool { return ups.Region != self.Region })
	if len(local) == 0 {
		local = slices.Clone(upstreams)
	}
	if len(local) <= count {
		return local
	}
	weights := make(map[bwmodel.UpstreamID]uint64, len(local))
	for _, ups := range local {
		weights[ups.Name] = weight(string(self.ID), string(ups.Name))
	}
	slices.SortFunc(local, func(aa, bb bwmodel.Upstream) int {
		return compareWeights(weights[aa.Name], aa.Name, weights[bb.Name], bb.Name)
	})
	chosen := slices.Clone(local[:count])
	if count > 1 && !slices.ContainsFunc(chosen, func(ups bwmodel.Upstream) bool { return ups.Zone != chosen[0].Zone }) {
		if ix := slices.IndexFunc(local, func(ups bwmodel.Upstream) bool { return ups.Zone != chosen[0].Zone }); ix >= 0 {
			chosen[count-1] = local[ix]
		}
	}
	return chosen
}

func split(self bwmodel.Member, entries []Entry, rng *rand.Rand) (near, far []bwmodel.Member) {
	for _, ent := range entries {
		switch {
		case ent.Status == Suspect:
		case ent.Member.Zone == self.Zone:
			near = append(near, ent.Member)
		default:
			far = append(far, ent.Member)
		}
	}
	rng.Shuffle(len(near), func(ix, jx int) { near[ix], near[jx] = near[jx], near[ix] })
	rng.Shuffle(len(far), func(ix, jx int) { far[ix], far[jx] = far[jx], far[ix] })
	return near, far
}

func liveRouters(entries []Entry, keep func(bwmodel.Member) bool) []bwmodel.Member {
	var routers []bwmodel.Member
	for _, ent := range entries {
		if ent.Status == Live && ent.Member.Role == bwmodel.RouterRole && keep(ent.Member) {
			routers = append(routers, ent.Member)
		}
	}
	return routers
}

// weight is the rendezvous weight of a candidate for a key.
func weight(key, candidate string) uint64 {
	dig := xxhash.New()
	// The digest's writes never fail.
	_, _ = dig.WriteString(key)
	_, _ = dig.Write([]byte{0})
	_, _ = dig.WriteString(candidate)
	return dig.Sum64()
}

// compareWeights orders the higher weight first, and equal ones by name.
func compareWeights[T cmp.Ordered](wa uint64, aa T, wb uint64, bb T) int {
	if order := cmp.Compare(wb, wa); order != 0 {
		return order
	}
	return cmp.Compare(aa, bb)
}

func outranks[T cmp.Ordered](wa uint64, aa T, wb uint64, bb T) bool {
	return compareWeights(wa, aa, wb, bb) < 0
}
