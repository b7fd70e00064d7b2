package bwmember

import (
	"slices"

	"bilberrywick/core/bwmodel"
)

// MonitorsPerRouter is the number of routers that call a router each second to
// detect its failure. Two of them are in other zones if there are any, because a
// zone can fail as a whole.
const MonitorsPerRouter = 3

// MonitoredRouters returns the routers that self monitors with a call each
// second, given the known members. They are in the region of self. An agent
// monitors none.
func MonitoredRouters(self bwmodel.Member, entries []Entry) []bwmodel.Member {
	if self.Role != bwmodel.RouterRole {
		return nil
	}
	ring := liveRouters(entries, func(mem bwmodel.Member) bool { return mem.Region == self.Region })
	ring = append(ring, self)
	weights := make(map[bwmodel.MemberID]uint64, len(ring))
	for _, mem := range ring {
		weights[mem.ID] = rendezvousWeight("ring", string(mem.ID))
	}
	slices.SortFunc(ring, func(aa, bb bwmodel.Member) int {
		return compareWeights(weights[aa.ID], aa.ID, weights[bb.ID], bb.ID)
	})
	var monitored []bwmodel.Member
	for ix, mem := range ring {
		if mem.ID != self.ID && slices.Contains(monitors(ring, ix), self.ID) {
			monitored = append(monitored, mem)
		}
	}
	return monitored
}

// monitors returns the monitors of the router at an index: the next two routers
// on the ring in other zones, then the next ones in any zone.
func monitors(ring []bwmodel.Member, index int) []bwmodel.MemberID {
	var ids []bwmodel.MemberID
	for step := 1; step < len(ring) && len(ids) < MonitorsPerRouter-1; step++ {
		if mem := ring[(index+step)%len(ring)]; mem.Zone != ring[index].Zone {
			ids = append(ids, mem.ID)
		}
	}
	for step := 1; step < len(ring) && len(ids) < MonitorsPerRouter; step++ {
		if mem := ring[(index+step)%len(ring)]; !slices.Contains(ids, mem.ID) {
			ids = append(ids, mem.ID)
		}
	}
	return ids
}
