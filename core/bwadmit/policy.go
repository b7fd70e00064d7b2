package bwadmit

import "bilberrywick/core/bwmodel"

// Policy orders the teams that have work waiting.
type Policy struct {
	Name string
	// Before reports whether the work at the head of one line starts before
	// that at the head of another.
	Before func(ha, hb Head) bool
	// Plain leaves out classes, slots kept for short work and pauses, as a baseline needs.
	Plain bool
}

// Head describes the oldest waiting work of one team, class and length.
type Head struct {
	Team  bwmodel.TeamID
	Class bwmodel.WorkClass
	// Virtual is the work that the team has received, in tokens for each unit of weight.
	Virtual float64
	// Sequence grows by one for each arrival.
	Sequence uint64
}

// FairShares starts the work of the team that has received the least work for
// its weight.
func FairShares() Policy { return Policy{Name: "fair shares", Before: leastServed} }

// FirstCome is the baseline that starts work in the order of arrival.
func FirstCome() Policy { return Policy{Name: "first come first served", Before: oldest, Plain: true} }

func leastServed(ha, hb Head) bool {
	if ha.Virtual != hb.Virtual {
		return ha.Virtual < hb.Virtual
	}
	return ha.Sequence < hb.Sequence
}

func oldest(ha, hb Head) bool { return ha.Sequence < hb.Sequence }
