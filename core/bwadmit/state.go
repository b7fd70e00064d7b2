package bwadmit

import (
	"container/heap"
	"time"

	"bilberrywick/core/bwmodel"
)

// state holds the waiting and running requests of a queue; only the queue's
// goroutine uses it.
type state struct {
	qu          *Queue
	cfg         Config
	teams       map[bwmodel.TeamID]*team
	heaps       [kindCount]*subqueueHeap
	backlogs    [groupCount]*backlogHeap
	deadlines   deadlineHeap
	running     map[*waiter]struct{}
	runningLong int
	// restricted counts the running requests that may not use the reserve for short work.
	restricted int
	preempting int
	waiting    [kindCount]int
	sequence   uint64
	// virtualTime is the highest virtual time of a team at the start of a request.
	// The virtual time of a team that was idle is raised to it, so that the team
	// receives no share for its idle time.
	virtualTime float64
	completions completionRate
	shortDemand demandAverage
}

func newState(qu *Queue) *state {
	st := &state{
		qu: qu, cfg: qu.cfg, teams: map[bwmodel.TeamID]*team{},
		running: map[*waiter]struct{}{}, backlogs: newBacklogHeaps(),
	}
	for kind := range st.heaps {
		st.heaps[kind] = &subqueueHeap{before: st.cfg.Policy.Before}
	}
	return st
}

func (st *state) apply(ev event) {
	switch ev.kind {
	case arrived:
		st.enqueueOrRefuse(ev.waiter, st.cfg.Now())
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
		st.reorder(tm)
	}
}

func (st *state) queueLimit() int {
	if st.cfg.Service.QueueLimit > 0 {
		return st.cfg.Service.QueueLimit
	}
	return defaultQueueLimit
}

// enqueueOrRefuse handles an arriving request.
func (st *state) enqueueOrRefuse(wt *waiter, now time.Time) {
	if wt.req.Class == 0 {
		wt.req.Class = st.cfg.Service.Class
	}
	wt.team = st.team(wt.req.Team)
	wt.long = wt.req.Tokens >= st.cfg.LongTokens
	wt.deadlineIndex = -1
	st.sequence++
	wt.sequence = st.sequence
	wt.deadline = wt.req.Deadline
	if wt.deadline.IsZero() && wt.req.Class == bwmodel.PromptClass && st.cfg.Service.Deadline > 0 {
		wt.deadline = wt.arrived.Add(st.cfg.Service.Deadline)
	}
	if err := st.deadlineRefusal(wt, now); err != nil {
		wt.reply <- reply{err: err}
		return
	}
	if !wt.req.Resumed && st.waitingTotal() >= st.queueLimit() && !st.evictFor(wt) {
		wt.reply <- reply{err: &RefusedError{Reason: QueueFull, RetryAfter: st.estimateWait(st.waitingTotal())}}
		return
	}
	st.enqueue(wt)
}

func (st *state) enqueue(wt *waiter) {
	tm := wt.team
	if tm.waiting == 0 && tm.running == 0 {
		tm.virtualTime = max(tm.virtualTime, st.virtualTime)
	}
	wt.waiting = true
	tm.waiting++
	kind := kindOf(wt)
	st.waiting[kind]++
	tm.subqueues[kind].work.push(wt)
	st.heaps[kind].update(&tm.subqueues[kind])
	st.backlogs[groupOf(kind)].update(tm)
	if !wt.deadline.IsZero() {
		heap.Push(&st.deadlines, wt)
	}
}

// dequeue removes a request from its subqueue before it is started or refused.
func (st *state) dequeue(wt *waiter) {
	kind := kindOf(wt)
	wt.waiting = false
	wt.team.waiting--
	st.waiting[kind]--
	wt.team.subqueues[kind].work.dropOne()
	st.heaps[kind].update(&wt.team.subqueues[kind])
	st.backlogs[groupOf(kind)].update(wt.team)
	if wt.deadlineIndex >= 0 {
		heap.Remove(&st.deadlines, wt.deadlineIndex)
	}
}

func (st *state) refuse(wt *waiter, err *RefusedError) {
	st.dequeue(wt)
	wt.reply <- reply{err: err}
}

func (st *state) refuseAll() {
	for _, tm := range st.teams {
		for kind := range tm.subqueues {
			for tm.subqueues[kind].work.size() > 0 {
				st.refuse(tm.subqueues[kind].work.first(), &RefusedError{Reason: ShuttingDown})
			}
		}
	}
}

// reorder updates the heaps after a change of a team's virtual time or limit.
func (st *state) reorder(tm *team) {
	for kind := range tm.subqueues {
		st.heaps[kind].update(&tm.subqueues[kind])
	}
}

func (st *state) waitingTotal() int {
	sum := 0
	for _, cnt := range st.waiting {
		sum += cnt
	}
	return sum
}

func (st *state) snapshot() *Load {
	return &Load{
		Capacity: st.cfg.Capacity(), Running: len(st.running), RunningLong: st.runningLong,
		WaitingPrompt:     st.waiting[promptShort] + st.waiting[promptLong],
		WaitingDeferrable: st.waiting[deferrableShort] + st.waiting[deferrableLong],
		CompletionRate:    st.completions.perSecond(st.cfg.Now()),
	}
}
