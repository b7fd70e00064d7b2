package bwadmit

import (
	"container/heap"
	"time"

	"bilberrywick/core/bwmodel"
)

// state holds the decisions of a queue; only the queue's goroutine uses it.
type state struct {
	qu       *Queue
	cfg      Config
	teams    map[bwmodel.TeamID]*team
	heaps    [lineCount]*lineHeap
	crowds   [groupCount]*crowd
	deadline deadlineHeap
	running  map[*waiter]struct{}
	long     int
	// held counts running work that may not use the slots kept for short work.
	held     int
	pausing  int
	waiting  [lineCount]int
	sequence uint64
	// virtual is the virtual time of the work started last.
	virtual float64
	drain   drainRate
	demand  demand
}

func newState(qu *Queue) *state {
	st := &state{
		qu: qu, cfg: qu.cfg, teams: map[bwmodel.TeamID]*team{},
		running: map[*waiter]struct{}{}, crowds: newCrowds(),
	}
	for kind := range st.heaps {
		st.heaps[kind] = &lineHeap{before: st.cfg.Policy.Before}
	}
	return st
}

func (st *state) apply(ev event) {
	switch ev.kind {
	case arrived:
		st.arrive(ev.waiter, st.cfg.Now())
	case withdrawn:
		if ev.waiter.waiting {
			st.refuse(ev.waiter, &RefusedError{Reason: Displaced})
		}
	case finished:
		st.finish(ev.waiter, ev.tokens)
	case progressed:
		st.progress(ev.waiter, ev.tokens)
	case updated:
		st.update(ev.service, ev.teams)
	}
}

func (st *state) team(name bwmodel.TeamID) *team {
	tm := st.teams[name]
	if tm == nil {
		tm = newTeam(name)
		st.teams[name] = tm
	}
	return tm
}

func (st *state) update(svc bwmodel.Service, teams []bwmodel.Team) {
	st.cfg.Service = svc
	for _, mt := range teams {
		tm := st.team(mt.Name)
		tm.weight = float64(max(1, mt.Weight))
		tm.limit = mt.MaxInFlight
		st.sync(tm)
	}
}

func (st *state) queueLimit() int {
	if st.cfg.Service.QueueLimit > 0 {
		return st.cfg.Service.QueueLimit
	}
	return defaultQueueLimit
}

func (st *state) arrive(wt *waiter, now time.Time) {
	if wt.req.Class == 0 {
		wt.req.Class = st.cfg.Service.Class
	}
	wt.team = st.team(wt.req.Team)
	wt.long = wt.req.Tokens >= st.cfg.LongTokens
	wt.heapIndex = -1
	st.sequence++
	wt.sequence = st.sequence
	wt.deadline = wt.req.Deadline
	if wt.deadline.IsZero() && wt.req.Class == bwmodel.PromptClass && st.cfg.Service.Deadline > 0 {
		wt.deadline = wt.arrived.Add(st.cfg.Service.Deadline)
	}
	if err := st.hopeless(wt, now); err != nil {
		wt.reply <- reply{err: err}
		return
	}
	if !wt.req.Resumed && st.waitingTotal() >= st.queueLimit() && !st.makeRoom(wt) {
		wt.reply <- reply{err: &RefusedError{Reason: QueueFull, RetryAfter: st.waitFor(st.waitingTotal())}}
		return
	}
	st.enqueue(wt)
}

func (st *state) enqueue(wt *waiter) {
	tm := wt.team
	if tm.waiting == 0 && tm.running == 0 {
		tm.virtual = max(tm.virtual, st.virtual)
	}
	wt.waiting = true
	tm.waiting++
	kind := kindOf(wt)
	st.waiting[kind]++
	tm.lines[kind].work.push(wt)
	st.heaps[kind].sync(&tm.lines[kind])
	st.crowds[groupOf(kind)].sync(tm)
	if !wt.deadline.IsZero() {
		heap.Push(&st.deadline, wt)
	}
}

// dequeue takes a waiter out of its line, to be started or refused.
func (st *state) dequeue(wt *waiter) {
	kind := kindOf(wt)
	wt.waiting = false
	wt.team.waiting--
	st.waiting[kind]--
	wt.team.lines[kind].work.remove()
	st.heaps[kind].sync(&wt.team.lines[kind])
	st.crowds[groupOf(kind)].sync(wt.team)
	if wt.heapIndex >= 0 {
		heap.Remove(&st.deadline, wt.heapIndex)
	}
}

func (st *state) refuse(wt *waiter, err *RefusedError) {
	st.dequeue(wt)
	wt.reply <- reply{err: err}
}

func (st *state) refuseAll() {
	for _, tm := range st.teams {
		for kind := range tm.lines {
			for tm.lines[kind].work.size() > 0 {
				st.refuse(tm.lines[kind].work.first(), &RefusedError{Reason: ShuttingDown})
			}
		}
	}
}

// sync reorders a team's lines after a change of its virtual time or limit.
func (st *state) sync(tm *team) {
	for kind := range tm.lines {
		st.heaps[kind].sync(&tm.lines[kind])
	}
}

func (st *state) waitingTotal() int {
	sum := 0
	for _, cnt := range st.waiting {
		sum += cnt
	}
	return sum
}

func (st *state) figures() *Load {
	return &Load{
		Capacity: st.cfg.Capacity(), Running: len(st.running), RunningLong: st.long,
		WaitingPrompt:     st.waiting[promptShort] + st.waiting[promptLong],
		WaitingDeferrable: st.waiting[deferrableShort] + st.waiting[deferrableLong],
		CompletionRate:    st.drain.perSecond(st.cfg.Now()),
	}
}
