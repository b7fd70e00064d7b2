package bwadmit

import "bilberrywick/core/bwmodel"

// Policy orders the subqueues of the teams that have work waiting.
type Policy struct {
	Name string
	// Before reports whether the first subqueue head starts before the second.
	Before func(ha, hb SubqueueHead) bool
	// Baseline turns off work classes, the reserve for short work, eviction,
	// early refusal by deadline and preemption.
	Baseline bool
}

// SubqueueHead describes the oldest waiting request of one team, class and length.
type SubqueueHead struct {
	Team  bwmodel.TeamID
	Class bwmodel.WorkClass
	// VirtualTime is the work that the team has received, in tokens per unit of weight.
	VirtualTime float64
	// Sequence is the number of the request in the order of arrival.
	Sequence uint64
}

// FairShares is weighted fair queueing: the team that has received the least work
// per unit of weight starts next.
func FairShares() Policy { return Policy{Name: "fair shares", Before: leastServed} }

// FirstComeFirstServed is the baseline that starts requests in the order of arrival.
func FirstComeFirstServed() Policy {
	return Policy{Name: "first come first served", Before: arrivedFirst, Baseline: true}
}

func leastServed(ha, hb SubqueueHead) bool {
	if ha.VirtualTime != hb.VirtualTime {
		return ha.VirtualTime < hb.VirtualTime
	}
	return ha.Sequence < hb.Sequence
}

func arrivedFirst(ha, hb SubqueueHead) bool { return ha.Sequence < hb.Sequence }
