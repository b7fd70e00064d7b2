package bwadmit

import "container/heap"

// crowd orders the teams by the work that they have waiting in two kinds of
// line, the most first, so that a full queue finds whose work gives way without
// a walk over all teams.
type crowd struct {
	// kinds are the kinds of line, in the order in which their work gives way.
	kinds [2]int
	// group is the crowd's index in the teams' places.
	group int
	teams []*team
}

// Groups of kinds of line.
const (
	promptGroup = iota
	deferrableGroup
	groupCount
)

func newCrowds() [groupCount]*crowd {
	return [groupCount]*crowd{
		{group: promptGroup, kinds: [2]int{promptShort, promptLong}},
		{group: deferrableGroup, kinds: [2]int{deferrableLong, deferrableShort}},
	}
}

// Len returns the number of teams.
func (cr *crowd) Len() int { return len(cr.teams) }

// Less reports whether one team has more work waiting than another.
func (cr *crowd) Less(ia, ib int) bool { return cr.count(cr.teams[ia]) > cr.count(cr.teams[ib]) }

// Swap exchanges two teams.
func (cr *crowd) Swap(ia, ib int) {
	cr.teams[ia], cr.teams[ib] = cr.teams[ib], cr.teams[ia]
	cr.teams[ia].places[cr.group], cr.teams[ib].places[cr.group] = ia, ib
}

// Push adds a team.
func (cr *crowd) Push(val any) {
	tm := val.(*team)
	tm.places[cr.group] = len(cr.teams)
	cr.teams = append(cr.teams, tm)
}

// Pop removes the last team.
func (cr *crowd) Pop() any {
	last := len(cr.teams) - 1
	tm := cr.teams[last]
	cr.teams[last] = nil
	cr.teams = cr.teams[:last]
	tm.places[cr.group] = -1
	return tm
}

func (cr *crowd) count(tm *team) int {
	return tm.lines[cr.kinds[0]].work.size() + tm.lines[cr.kinds[1]].work.size()
}

// sync puts a team where it belongs after a change of its lines.
func (cr *crowd) sync(tm *team) {
	place, waits := tm.places[cr.group], cr.count(tm) > 0
	switch {
	case waits && place >= 0:
		heap.Fix(cr, place)
	case waits:
		heap.Push(cr, tm)
	case place >= 0:
		heap.Remove(cr, place)
	}
}

// newest returns the newest work of the team that has the most waiting, or nil.
func (cr *crowd) newest() *waiter {
	if len(cr.teams) == 0 {
		return nil
	}
	for _, kind := range cr.kinds {
		if ln := &cr.teams[0].lines[kind]; ln.work.size() > 0 {
			return ln.work.last()
		}
	}
	return nil
}
