package bwadmit

import "container/heap"

// backlogHeap is a max-heap of the teams by the number of their requests that
// wait in two kinds of subqueue. It lets a full queue find the request to evict
// without a scan of all teams.
type backlogHeap struct {
	// kinds are the kinds of subqueue, in the order in which they are evicted.
	kinds [2]int
	// group is the heap's index in team.heapIndexes.
	group int
	teams []*team
}

// Groups of subqueue kinds.
const (
	promptGroup = iota
	deferrableGroup
	groupCount
)

func newBacklogHeaps() [groupCount]*backlogHeap {
	return [groupCount]*backlogHeap{
		{group: promptGroup, kinds: [2]int{promptShort, promptLong}},
		{group: deferrableGroup, kinds: [2]int{deferrableLong, deferrableShort}},
	}
}

// Len returns the number of teams.
func (bh *backlogHeap) Len() int { return len(bh.teams) }

// Less reports whether the first team has more requests waiting than the second.
func (bh *backlogHeap) Less(ia, ib int) bool {
	return bh.waitingWork(bh.teams[ia]) > bh.waitingWork(bh.teams[ib])
}

// Swap exchanges two teams.
func (bh *backlogHeap) Swap(ia, ib int) {
	bh.teams[ia], bh.teams[ib] = bh.teams[ib], bh.teams[ia]
	bh.teams[ia].heapIndexes[bh.group], bh.teams[ib].heapIndexes[bh.group] = ia, ib
}

// Push appends a team; it is called by container/heap.
func (bh *backlogHeap) Push(val any) {
	tm := val.(*team)
	tm.heapIndexes[bh.group] = len(bh.teams)
	bh.teams = append(bh.teams, tm)
}

// Pop removes and returns the last team; it is called by container/heap.
func (bh *backlogHeap) Pop() any {
	last := len(bh.teams) - 1
	tm := bh.teams[last]
	bh.teams[last] = nil
	bh.teams = bh.teams[:last]
	tm.heapIndexes[bh.group] = -1
	return tm
}

// waitingWork returns the number of the team's requests that wait in the heap's kinds.
func (bh *backlogHeap) waitingWork(tm *team) int {
	return tm.subqueues[bh.kinds[0]].work.size() + tm.subqueues[bh.kinds[1]].work.size()
}

// update restores the heap order after a change of the team's subqueues.
func (bh *backlogHeap) update(tm *team) {
	index, waiting := tm.heapIndexes[bh.group], bh.waitingWork(tm) > 0
	switch {
	case waiting && index >= 0:
		heap.Fix(bh, index)
	case waiting:
		heap.Push(bh, tm)
	case index >= 0:
		heap.Remove(bh, index)
	}
}

// newest returns the newest request of the team with the most requests waiting,
// or nil when none waits.
func (bh *backlogHeap) newest() *waiter {
	if len(bh.teams) == 0 {
		return nil
	}
	for _, kind := range bh.kinds {
		if sq := &bh.teams[0].subqueues[kind]; sq.work.size() > 0 {
			return sq.work.last()
		}
	}
	return nil
}
