package bwmember

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"

	"bilberrywick/core/bwmodel"
)

// StorePollersPerZone is the number of routers in a zone that poll the store's
// head ticket.
const StorePollersPerZone = 2

// PollsStore reports whether self is one of the routers of its zone that poll
// the store, given the known members. Only live routers count, so that a router
// without contact to others polls.
func PollsStore(self bwmodel.Member, entries []Entry) bool {
	if self.Role != bwmodel.RouterRole || self.Leaving {
		return false
	}
	others := liveRouters(entries, func(mem bwmodel.Member) bool { return mem.Zone == self.Zone })
	own := rendezvousWeight("watch", string(self.ID))
	higher := 0
	for _, mem := range others {
		if outranks(rendezvousWeight("watch", string(mem.ID)), mem.ID, own, self.ID) {
			higher++
		}
	}
	return higher < StorePollersPerZone
}

// IsDutyCandidate reports whether self is one of the count routers of its region
// that may take a control duty, given the known members. It ranks them by
// rendezvous hashing.
func IsDutyCandidate(self bwmodel.Member, entries []Entry, duty string, count int) bool {
	if self.Role != bwmodel.RouterRole || self.Leaving {
		return false
	}
	others := DutyCandidates(self.Region, entries, duty, count)
	if len(others) < count {
		return true
	}
	last := others[count-1]
	return compareWeights(rendezvousWeight(duty, string(self.ID)), self.ID, rendezvousWeight(duty, string(last.ID)), last.ID) < 0
}

// DutyCandidates returns up to count live routers of a region that may take a
// control duty, highest rendezvous weight first.
func DutyCandidates(region bwmodel.RegionID, entries []Entry, duty string, count int) []bwmodel.Member {
	routers := liveRouters(entries, func(mem bwmodel.Member) bool { return mem.Region == region })
	slices.SortFunc(routers, func(aa, bb bwmodel.Member) int {
		return compareWeights(rendezvousWeight(duty, string(aa.ID)), aa.ID, rendezvousWeight(duty, string(bb.ID)), bb.ID)
	})
	return routers[:min(count, len(routers))]
}

// PushTargets returns up to fanout routers to which self pushes a change. The
// first is in another region and the next ones are in the other zones of the
// region of self, so that a push reaches both even when most routers are in the
// zone of self. The rest are random routers of that zone, then of that region,
// then of other regions.
func PushTargets(self bwmodel.Member, entries []Entry, fanout int, rng *rand.Rand) []bwmodel.Member {
	sameRegion, otherRegions := shuffledRouters(self, entries, rng)
	zones := map[bwmodel.ZoneID]bool{self.Zone: true}
	var otherZones, sameZone, rest []bwmodel.Member
	for _, mem := range sameRegion {
		switch {
		case mem.Zone == self.Zone:
			sameZone = append(sameZone, mem)
		case zones[mem.Zone]:
			rest = append(rest, mem)
		default:
			zones[mem.Zone] = true
			otherZones = append(otherZones, mem)
		}
	}
	// With many zones, half of the fan-out is left for the zone of self.
	otherZones = otherZones[:min(len(otherZones), max(1, fanout/2))]
	remote := otherRegions[:min(1, len(otherRegions))]
	targets := slices.Concat(remote, otherZones, sameZone, rest, otherRegions[len(remote):])
	return targets[:min(fanout, len(targets))]
}

// crossRegionShare is the share of exchanges that cross regions. With it, a
// region of 167 routers makes about 20 such exchanges per second.
const crossRegionShare = 0.125

// ExchangePeer returns a random router to exchange records with, or false when
// none is known. A router mostly gets one of its region and an agent one of its
// zone, so that the agents are spread evenly over the routers. Routers also
// exchange with suspect routers, because an exchange makes those live again.
// Leaving routers are excluded.
func ExchangePeer(self bwmodel.Member, entries []Entry, rng *rand.Rand) (bwmodel.Member, bool) {
	var preferred, others []bwmodel.Member
	for _, ent := range entries {
		mem := ent.Member
		if mem.Role != bwmodel.RouterRole || ent.Status == Leaving || ent.Status == Suspect && self.Role == bwmodel.AgentRole {
			continue
		}
		if mem.Region == self.Region && (self.Role == bwmodel.RouterRole || mem.Zone == self.Zone) {
			preferred = append(preferred, mem)
		} else {
			others = append(others, mem)
		}
	}
	pool := preferred
	if len(preferred) == 0 || self.Role == bwmodel.RouterRole && len(others) > 0 && rng.Float64() < crossRegionShare {
		pool = others
	}
	if len(pool) == 0 {
		return bwmodel.Member{}, false
	}
	return pool[rng.IntN(len(pool))], true
}

// RecordHolders returns the live routers that may hold copies of a request's
// record, first choice first. Routers in another zone of the region come before
// those in the zone of self, because a zone can fail as a whole. Other regions come
// last, because each token waits for the holder's acknowledgement.
func RecordHolders(self bwmodel.Member, entries []Entry, id bwmodel.RequestID) []bwmodel.Member {
	routers := liveRouters(entries, func(bwmodel.Member) bool { return true })
	weights := make(map[bwmodel.MemberID]uint64, len(routers))
	for _, mem := range routers {
		weights[mem.ID] = rendezvousWeight(string(id[:]), string(mem.ID))
	}
	slices.SortFunc(routers, func(aa, bb bwmodel.Member) int {
		if order := cmp.Compare(holderPreference(self, aa), holderPreference(self, bb)); order != 0 {
			return order
		}
		return compareWeights(weights[aa.ID], aa.ID, weights[bb.ID], bb.ID)
	})
	return routers
}

// UpstreamSubset returns the upstreams of one service that a router follows: up
// to count of its region by rendezvous hashing, in at least two zones if the
// service has them. It returns upstreams of other regions only when the region
// of the router has none.
func UpstreamSubset(self bwmodel.Member, upstreams []bwmodel.Upstream, count int) []bwmodel.Upstream {
	local := slices.DeleteFunc(slices.Clone(upstreams), func(ups bwmodel.Upstream) bool { return ups.Region != self.Region })
	if len(local) == 0 {
		local = slices.Clone(upstreams)
	}
	if len(local) <= count {
		return local
	}
	weights := make(map[bwmodel.UpstreamID]uint64, len(local))
	for _, ups := range local {
		weights[ups.Name] = rendezvousWeight(string(self.ID), string(ups.Name))
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

// holderPreference ranks a router as a record holder; lower is better.
func holderPreference(self, mem bwmodel.Member) int {
	switch {
	case mem.Region != self.Region:
		return 2
	case mem.Zone == self.Zone:
		return 1
	}
	return 0
}

// shuffledRouters returns the routers of the region of self and those of other
// regions, shuffled and without suspect ones.
func shuffledRouters(self bwmodel.Member, entries []Entry, rng *rand.Rand) (sameRegion, otherRegions []bwmodel.Member) {
	for _, ent := range entries {
		switch {
		case ent.Status == Suspect || ent.Member.Role != bwmodel.RouterRole:
		case ent.Member.Region == self.Region:
			sameRegion = append(sameRegion, ent.Member)
		default:
			otherRegions = append(otherRegions, ent.Member)
		}
	}
	rng.Shuffle(len(sameRegion), func(ix, jx int) { sameRegion[ix], sameRegion[jx] = sameRegion[jx], sameRegion[ix] })
	rng.Shuffle(len(otherRegions), func(ix, jx int) { otherRegions[ix], otherRegions[jx] = otherRegions[jx], otherRegions[ix] })
	return sameRegion, otherRegions
}

func liveRouters(entries []Entry, match func(bwmodel.Member) bool) []bwmodel.Member {
	var routers []bwmodel.Member
	for _, ent := range entries {
		if ent.Status == Live && ent.Member.Role == bwmodel.RouterRole && match(ent.Member) {
			routers = append(routers, ent.Member)
		}
	}
	return routers
}

// rendezvousWeight returns the rendezvous weight of a candidate for a key.
func rendezvousWeight(key, candidate string) uint64 {
	hash := xxhash.New()
	// xxhash writes never fail.
	_, _ = hash.WriteString(key)
	_, _ = hash.Write([]byte{0})
	_, _ = hash.WriteString(candidate)
	return hash.Sum64()
}

// compareWeights orders higher weights first, and equal ones by name.
func compareWeights[T cmp.Ordered](wa uint64, aa T, wb uint64, bb T) int {
	if order := cmp.Compare(wb, wa); order != 0 {
		return order
	}
	return cmp.Compare(aa, bb)
}

func outranks[T cmp.Ordered](wa uint64, aa T, wb uint64, bb T) bool {
	return compareWeights(wa, aa, wb, bb) < 0
}
