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
	// virtual is the work received, in tokens for each unit of weight.
	virtual float64
	lines   [lineCount]line
	// places are the team's indexes in the crowds, or -1.
	places [groupCount]int
}

// line holds the waiting work of one team, class and length in order of arrival.
type line struct {
	team  *team
	class bwmodel.WorkClass
	work  fifo
	// index is the place among the lines of the same kind, or -1.
	index int
}

// Kinds of line, by class and length.
const (
	promptShort = iota
	promptLong
	deferrableShort
	deferrableLong
	lineCount
)

func newTeam(name bwmodel.TeamID) *team {
	tm := &team{name: name, weight: 1, places: [groupCount]int{-1, -1}}
	for kind := range tm.lines {
		ln := &tm.lines[kind]
		ln.team, ln.index, ln.class = tm, -1, bwmodel.PromptClass
		if kind >= deferrableShort {
			ln.class = bwmodel.DeferrableClass
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

func (ln *line) head() SubqueueHead {
	return SubqueueHead{
		Team: ln.team.name, Class: ln.class,
		VirtualTime: ln.team.virtual, Sequence: ln.work.first().sequence,
	}
}

// lineHeap orders the lines of one kind that may start work by the policy.
type lineHeap struct {
	before func(ha, hb SubqueueHead) bool
	lines  []*line
}

// Len returns the number of lines.
func (lh *lineHeap) Len() int { return len(lh.lines) }

// Less reports whether one line's head starts before another's.
func (lh *lineHeap) Less(ia, ib int) bool {
	return lh.before(lh.lines[ia].head(), lh.lines[ib].head())
}

// Swap exchanges two lines.
func (lh *lineHeap) Swap(ia, ib int) {
	lh.lines[ia], lh.lines[ib] = lh.lines[ib], lh.lines[ia]
	lh.lines[ia].index, lh.lines[ib].index = ia, ib
}

// Push adds a line.
func (lh *lineHeap) Push(val any) {
	ln := val.(*line)
	ln.index = len(lh.lines)
	lh.lines = append(lh.lines, ln)
}

// Pop removes the last line.
func (lh *lineHeap) Pop() any {
	last := len(lh.lines) - 1
	ln := lh.lines[last]
	lh.lines[last] = nil
	lh.lines = lh.lines[:last]
	ln.index = -1
	return ln
}

// sync puts a line where it belongs after any change of it or its team.
func (lh *lineHeap) sync(ln *line) {
	eligible := ln.work.size() > 0 && !ln.team.atLimit()
	switch {
	case eligible && ln.index >= 0:
		heap.Fix(lh, ln.index)
	case eligible:
		heap.Push(lh, ln)
	case ln.index >= 0:
		heap.Remove(lh, ln.index)
	}
}

// fifo is a queue of waiters whose withdrawn entries are dropped lazily.
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

// remove takes out a waiter that is no longer waiting.
func (ff *fifo) remove() {
	ff.live--
	if ff.live == 0 {
		ff.items = nil
	}
}

// deadlineHeap orders waiters by deadline.
type deadlineHeap []*waiter

// Len returns the number of waiters.
func (dh deadlineHeap) Len() int { return len(dh) }

// Less reports whether one deadline is before another.
func (dh deadlineHeap) Less(ia, ib int) bool { return dh[ia].deadline.Before(dh[ib].deadline) }

// Swap exchanges two waiters.
func (dh deadlineHeap) Swap(ia, ib int) {
	dh[ia], dh[ib] = dh[ib], dh[ia]
	dh[ia].heapIndex, dh[ib].heapIndex = ia, ib
}

// Push adds a waiter.
func (dh *deadlineHeap) Push(val any) {
	wt := val.(*waiter)
	wt.heapIndex = len(*dh)
	*dh = append(*dh, wt)
}

// Pop removes the last waiter.
func (dh *deadlineHeap) Pop() any {
	old := *dh
	wt := old[len(old)-1]
	old[len(old)-1] = nil
	*dh = old[:len(old)-1]
	wt.heapIndex = -1
	return wt
}
