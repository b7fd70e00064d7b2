package bwadmit

import (
	"time"

	"bilberrywick/core/bwmodel"
)

const idleWait = time.Hour

// dispatch starts what may start and returns the time until the next look.
func (st *state) dispatch(now time.Time) time.Duration {
	st.expire(now)
	st.demand.add(float64(len(st.running)-st.held+st.waiting[promptShort]), now)
	capacity := st.cfg.Capacity()
	for len(st.running) < capacity {
		ln := st.next()
		if ln == nil {
			break
		}
		st.start(ln.work.first(), now)
	}
	st.askPauses(capacity, now)
	if st.waitingTotal() == 0 {
		return idleWait
	}
	next := st.cfg.PollInterval
	if len(st.deadline) > 0 {
		next = min(next, st.deadline[0].deadline.Sub(now))
	}
	return max(next, time.Millisecond)
}

func (st *state) expire(now time.Time) {
	for len(st.deadline) > 0 && !st.deadline[0].deadline.After(now) {
		st.refuse(st.deadline[0], &RefusedError{Reason: DeadlinePassed, RetryAfter: st.waitFor(st.waitingTotal())})
	}
}

// next returns the line whose head starts next, or nil. Deferrable work is
// considered only when no prompt work waits, other than that of teams at their
// own limit.
func (st *state) next() *line {
	if st.cfg.Policy.Baseline {
		return st.first(promptShort, promptLong, deferrableShort, deferrableLong)
	}
	spare := float64(st.held) < st.heldLimit()
	if st.heaps[promptShort].Len()+st.heaps[promptLong].Len() > 0 {
		if spare {
			return st.first(promptShort, promptLong)
		}
		return st.first(promptShort)
	}
	if spare {
		return st.first(deferrableShort, deferrableLong)
	}
	return nil
}

func (st *state) first(kinds ...int) *line {
	var best *line
	for _, kind := range kinds {
		if st.heaps[kind].Len() == 0 {
			continue
		}
		ln := st.heaps[kind].lines[0]
		if best == nil || st.cfg.Policy.Before(ln.head(), best.head()) {
			best = ln
		}
	}
	return best
}

func (st *state) start(wt *waiter, now time.Time) {
	st.dequeue(wt)
	wt.started = now
	wt.charged = max(1, wt.req.Tokens)
	wt.reported.Store(int64(wt.charged))
	wt.pause = make(chan struct{})
	wt.team.running++
	st.virtual = max(st.virtual, wt.team.virtual)
	st.charge(wt.team, wt.charged)
	st.running[wt] = struct{}{}
	st.count(wt, 1)
	wt.reply <- reply{grant: Grant{
		Finish:   func(tokens int) { st.qu.post(event{kind: finished, waiter: wt, tokens: tokens}) },
		Progress: func(tokens int) { st.qu.report(wt, tokens) },
		Preempt:  wt.pause,
		Waited:   now.Sub(wt.arrived),
	}}
}

func (st *state) charge(tm *team, tokens int) {
	tm.virtual += float64(tokens) / tm.weight
	st.sync(tm)
}

func (st *state) count(wt *waiter, by int) {
	if wt.long {
		st.long += by
	}
	if wt.long || wt.req.Class == bwmodel.DeferrableClass {
		st.held += by
	}
	if wt.paused {
		st.pausing += by
	}
}

func (st *state) finish(wt *waiter, tokens int) {
	if wt.ended {
		return
	}
	wt.ended = true
	st.count(wt, -1)
	delete(st.running, wt)
	wt.team.running--
	st.charge(wt.team, tokens-wt.charged)
	st.drain.add(st.cfg.Now())
}

// progress charges work that has grown longer than expected and counts it as
// long when it is.
func (st *state) progress(wt *waiter, tokens int) {
	if wt.ended || tokens <= wt.charged {
		return
	}
	expected := 2 * tokens
	st.charge(wt.team, expected-wt.charged)
	wt.charged = expected
	st.count(wt, -1)
	wt.long = wt.long || expected >= st.cfg.LongTokens
	st.count(wt, 1)
}

// report posts progress only when it exceeds what was expected, and then only
// each time it has doubled.
func (qu *Queue) report(wt *waiter, tokens int) {
	mark := wt.reported.Load()
	if int64(tokens) <= mark || !wt.reported.CompareAndSwap(mark, 2*int64(tokens)) {
		return
	}
	qu.post(event{kind: progressed, waiter: wt, tokens: tokens})
}

// askPauses asks long deferrable work to give way when prompt work waits and no
// slot is free, one for each waiting request at most.
func (st *state) askPauses(capacity int, now time.Time) {
	if st.cfg.Policy.Baseline || len(st.running) < capacity {
		return
	}
	need := st.waiting[promptShort] + st.waiting[promptLong] - st.pausing
	for wt := range st.running {
		if need <= 0 {
			return
		}
		if wt.req.Class != bwmodel.DeferrableClass || !wt.long || wt.paused || now.Sub(wt.started) < st.cfg.MinRunTime {
			continue
		}
		wt.paused = true
		st.pausing++
		need--
		close(wt.pause)
	}
}

// makeRoom refuses the newest work of the team with the most waiting, so that
// prompt work can wait; deferrable work gives way first.
func (st *state) makeRoom(wt *waiter) bool {
	if st.cfg.Policy.Baseline || wt.req.Class != bwmodel.PromptClass {
		return false
	}
	if victim := st.crowds[deferrableGroup].newest(); victim != nil {
		st.refuse(victim, &RefusedError{Reason: Displaced, RetryAfter: st.waitFor(st.waitingTotal())})
		return true
	}
	victim := st.crowds[promptGroup].newest()
	if victim == nil || victim.team == wt.team || victim.team.waiting <= wt.team.waiting+1 {
		return false
	}
	st.refuse(victim, &RefusedError{Reason: TeamLimit, RetryAfter: st.waitFor(victim.team.waiting)})
	return true
}

// hopeless returns the refusal of work that can't start before its deadline at
// the rate at which work ends.
func (st *state) hopeless(wt *waiter, now time.Time) *RefusedError {
	if wt.deadline.IsZero() || st.cfg.Policy.Baseline {
		return nil
	}
	if !wt.deadline.After(now) {
		return &RefusedError{Reason: DeadlinePassed, RetryAfter: st.waitFor(st.waitingTotal())}
	}
	if len(st.running) < st.cfg.Capacity() {
		return nil
	}
	if wait := st.waitFor(st.ahead(wt)); now.Add(wait).After(wt.deadline) {
		return &RefusedError{Reason: DeadlinePassed, RetryAfter: wait}
	}
	return nil
}

// ahead estimates the number of requests that start before a new one: all that
// wait, or as many as each team with work waiting has in the same place.
func (st *state) ahead(wt *waiter) int {
	prompt := st.waiting[promptShort] + st.waiting[promptLong]
	if wt.req.Class == bwmodel.DeferrableClass {
		return st.waitingTotal()
	}
	lines := st.heaps[promptShort].Len() + st.heaps[promptLong].Len()
	return min(prompt, (wt.team.waiting+1)*max(1, lines))
}

// waitFor returns the time in which a number of requests ends at the observed
// rate; 0 when no rate has been observed.
func (st *state) waitFor(requests int) time.Duration {
	rate := st.drain.perSecond(st.cfg.Now())
	if rate <= 0 {
		return 0
	}
	return time.Duration(float64(requests+1) / rate * float64(time.Second))
}

// drainRate measures how many requests end in a second.
type drainRate struct {
	since    time.Time
	count    int
	smoothed float64
}

const (
	drainWindow    = 500 * time.Millisecond
	drainSmoothing = 0.4
)

func (dr *drainRate) add(now time.Time) {
	dr.roll(now)
	dr.count++
}

func (dr *drainRate) perSecond(now time.Time) float64 {
	dr.roll(now)
	return dr.smoothed
}

// roll closes the current window when it is over.
func (dr *drainRate) roll(now time.Time) {
	if dr.since.IsZero() {
		dr.since = now
		return
	}
	span := now.Sub(dr.since)
	if span < drainWindow {
		return
	}
	rate := float64(dr.count) / span.Seconds()
	if dr.smoothed == 0 {
		dr.smoothed = rate
	}
	dr.smoothed += drainSmoothing * (rate - dr.smoothed)
	dr.since, dr.count = now, 0
}
