package bwadmit

import "bilberrywick/core/bwmodel"

// Policy orders the teams that have work waiting.
type Policy struct {
	Name string
	// Before reports whether the work at the head of one line starts before
	// that at the head of another.
	Before func(ha, hb SubqueueHead) bool
	// Baseline leaves out classes, slots kept for short work and pauses, as a baseline needs.
	Baseline bool
}

// SubqueueHead describes the oldest waiting work of one team, class and length.
type SubqueueHead struct {
	Team  bwmodel.TeamID
	Class bwmodel.WorkClass
	// VirtualTime is the work that the team has received, in tokens for each unit of weight.
	VirtualTime float64
	// Sequence grows by one for each arrival.
	Sequence uint64
}

// FairShares starts the work of the team that has received the least work for
// its weight.
func FairShares() Policy { return Policy{Name: "fair shares", Before: leastServed} }

// FirstComeFirstServed is the baseline that starts work in the order of arrival.
func FirstComeFirstServed() Policy {
	return Policy{Name: "first come first served", Before: oldest, Baseline: true}
}

func leastServed(ha, hb SubqueueHead) bool {
	if ha.VirtualTime != hb.VirtualTime {
		return ha.VirtualTime < hb.VirtualTime
	}
	return ha.Sequence < hb.Sequence
}

func oldest(ha, hb SubqueueHead) bool { return ha.Sequence < hb.Sequence }
