package bwadmit

import (
	"container/heap"

	"bilberrywick/core/bwmodel"
)

// team is the state of one team at one service.
type team struct {
	name    bwmodel.TeamID
	weight  float64
	limit   int
	running int
	waiting int
	// virtualTime is the work received, in tokens per unit of weight.
	virtualTime float64
	subqueues   [kindCount]subqueue
	// heapIndexes are the team's indexes in the backlog heaps, or -1.
	heapIndexes [groupCount]int
}

// subqueue holds the waiting requests of one team, class and length in order of
// arrival.
type subqueue struct {
	team  *team
	class bwmodel.WorkClass
	work  fifo
	// index is the index in the subqueueHeap of its kind, or -1.
	index int
}

// Kinds of subqueue, by class and length.
const (
	promptShort = iota
	promptLong
	deferrableShort
	deferrableLong
	kindCount
)

func newTeam(name bwmodel.TeamID) *team {
	tm := &team{name: name, weight: 1, heapIndexes: [groupCount]int{-1, -1}}
	for kind := range tm.subqueues {
		sq := &tm.subqueues[kind]
		sq.team, sq.index, sq.class = tm, -1, bwmodel.PromptClass
		if kind >= deferrableShort {
			sq.class = bwmodel.DeferrableClass
		}
	}
	return tm
}

func kindOf(wt *waiter) int {
	kind := promptShort
	if wt.req.Class == bwmodel.DeferrableClass {
		kind = deferrableShort
	}
	if wt.long {
		kind++
	}
	return kind
}

func groupOf(kind int) int {
	if kind >= deferrableShort {
		return deferrableGroup
	}
	return promptGroup
}

func (tm *team) atLimit() bool { return tm.limit > 0 && tm.running >= tm.limit }

func (sq *subqueue) head() SubqueueHead {
	return SubqueueHead{
		Team: sq.team.name, Class: sq.class,
		VirtualTime: sq.team.virtualTime, Sequence: sq.work.first().sequence,
	}
}

// subqueueHeap orders the eligible subqueues of one kind by the policy.
type subqueueHeap struct {
	before    func(ha, hb SubqueueHead) bool
	subqueues []*subqueue
}

// Len returns the number of subqueues.
func (sh *subqueueHeap) Len() int { return len(sh.subqueues) }

// Less reports whether the head of the first subqueue starts before that of the second.
func (sh *subqueueHeap) Less(ia, ib int) bool {
	return sh.before(sh.subqueues[ia].head(), sh.subqueues[ib].head())
}

// Swap exchanges two subqueues.
func (sh *subqueueHeap) Swap(ia, ib int) {
	sh.subqueues[ia], sh.subqueues[ib] = sh.subqueues[ib], sh.subqueues[ia]
	sh.subqueues[ia].index, sh.subqueues[ib].index = ia, ib
}

// Push appends a subqueue; it is called by container/heap.
func (sh *subqueueHeap) Push(val any) {
	sq := val.(*subqueue)
	sq.index = len(sh.subqueues)
	sh.subqueues = append(sh.subqueues, sq)
}

// Pop removes and returns the last subqueue; it is called by container/heap.
func (sh *subqueueHeap) Pop() any {
	last := len(sh.subqueues) - 1
	sq := sh.subqueues[last]
	sh.subqueues[last] = nil
	sh.subqueues = sh.subqueues[:last]
	sq.index = -1
	return sq
}

// update restores the heap order after a change of the subqueue or its team.
func (sh *subqueueHeap) update(sq *subqueue) {
	eligible := sq.work.size() > 0 && !sq.team.atLimit()
	switch {
	case eligible && sq.index >= 0:
		heap.Fix(sh, sq.index)
	case eligible:
		heap.Push(sh, sq)
	case sq.index >= 0:
		heap.Remove(sh, sq.index)
	}
}

// fifo is a queue of waiters. Entries that no longer wait are removed only when
// they reach an end of the queue; live counts the entries that still wait.
type fifo struct {
	items []*waiter
	live  int
}

func (ff *fifo) size() int { return ff.live }

func (ff *fifo) push(wt *waiter) {
	ff.items = append(ff.items, wt)
	ff.live++
}

// first returns the oldest waiter; the queue must not be empty.
func (ff *fifo) first() *waiter {
	for !ff.items[0].waiting {
		ff.items[0] = nil
		ff.items = ff.items[1:]
	}
	return ff.items[0]
}

// last returns the newest waiter; the queue must not be empty.
func (ff *fifo) last() *waiter {
	for !ff.items[len(ff.items)-1].waiting {
		ff.items[len(ff.items)-1] = nil
		ff.items = ff.items[:len(ff.items)-1]
	}
	return ff.items[len(ff.items)-1]
}

// dropOne decrements live for a waiter that no longer waits; first and last remove
// its entry.
func (ff *fifo) dropOne() {
	ff.live--
	if ff.live == 0 {
		ff.items = nil
	}
}

// deadlineHeap orders waiters by deadline.
type deadlineHeap []*waiter

// Len returns the number of waiters.
func (dh deadlineHeap) Len() int { return len(dh) }

// Less reports whether the first deadline is before the second.
func (dh deadlineHeap) Less(ia, ib int) bool { return dh[ia].deadline.Before(dh[ib].deadline) }

// Swap exchanges two waiters.
func (dh deadlineHeap) Swap(ia, ib int) {
	dh[ia], dh[ib] = dh[ib], dh[ia]
	dh[ia].deadlineIndex, dh[ib].deadlineIndex = ia, ib
}

// Push appends a waiter; it is called by container/heap.
func (dh *deadlineHeap) Push(val any) {
	wt := val.(*waiter)
	wt.deadlineIndex = len(*dh)
	*dh = append(*dh, wt)
}

// Pop removes and returns the last waiter; it is called by container/heap.
func (dh *deadlineHeap) Pop() any {
	old := *dh
	wt := old[len(old)-1]
	old[len(old)-1] = nil
	*dh = old[:len(old)-1]
	wt.deadlineIndex = -1
	return wt
}
