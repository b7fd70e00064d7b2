package bwmember

import (
	"slices"

	"bilberrywick/core/bwmodel"
)

// MonitorsPerRouter is the number of routers that call a router each second to
// find out whether it is silent. Two of them are in other zones where there are
// any, because a zone is lost as a whole.
const MonitorsPerRouter = 3

// MonitoredRouters returns the routers of its region that self calls each second, given
// the members known. It is empty for an agent.
func MonitoredRouters(self bwmodel.Member, entries []Entry) []bwmodel.Member {
	if self.Role != bwmodel.RouterRole {
		return nil
	}
	ring := liveRouters(entries, func(mem bwmodel.Member) bool { return mem.Region == self.Region })
	ring = append(ring, self)
	weights := make(map[bwmodel.MemberID]uint64, len(ring))
	for _, mem := range ring {
		weights[mem.ID] = weight("ring", string(mem.ID))
	}
	slices.SortFunc(ring, func(aa, bb bwmodel.Member) int {
		return compareWeights(weights[aa.ID], aa.ID, weights[bb.ID], bb.ID)
	})
	var overseen []bwmodel.Member
	for ix, mem := range ring {
		if mem.ID != self.ID && slices.Contains(overseers(ring, ix), self.ID) {
			overseen = append(overseen, mem)
		}
	}
	return overseen
}

// overseers returns those of the router at an index: the two next routers on the
// ring in other zones, and the next ones whatever their zone.
func overseers(ring []bwmodel.Member, index int) []bwmodel.MemberID {
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
