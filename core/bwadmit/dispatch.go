package bwadmit

import (
	"time"

	"bilberrywick/core/bwmodel"
)

// idleWait is the time until the next dispatch when no request waits.
const idleWait = time.Hour

// dispatch starts the requests that may run now and returns the time until it
// must be called again.
func (st *state) dispatch(now time.Time) time.Duration {
	st.expire(now)
	st.shortDemand.setLevel(float64(len(st.running)-st.restricted+st.waiting[promptShort]), now)
	capacity := st.cfg.Capacity()
	for len(st.running) < capacity {
		sq := st.nextSubqueue()
		if sq == nil {
			break
		}
		st.start(sq.work.first(), now)
	}
	st.preempt(capacity, now)
	if st.waitingTotal() == 0 {
		return idleWait
	}
	next := st.cfg.PollInterval
	if len(st.deadlines) > 0 {
		next = min(next, st.deadlines[0].deadline.Sub(now))
	}
	return max(next, time.Millisecond)
}

// expire refuses the requests whose deadline has passed.
func (st *state) expire(now time.Time) {
	for len(st.deadlines) > 0 && !st.deadlines[0].deadline.After(now) {
		st.refuse(st.deadlines[0], &RefusedError{Reason: DeadlinePassed, RetryAfter: st.estimateWait(st.waitingTotal())})
	}
}

// nextSubqueue returns the subqueue whose head starts next, or nil. Deferrable
// work is considered only when no prompt work waits; prompt work of teams that
// are at their own limit does not count.
func (st *state) nextSubqueue() *subqueue {
	if st.cfg.Policy.Baseline {
		return st.firstOf(promptShort, promptLong, deferrableShort, deferrableLong)
	}
	underLimit := float64(st.restricted) < st.restrictedLimit()
	if st.heaps[promptShort].Len()+st.heaps[promptLong].Len() > 0 {
		if underLimit {
			return st.firstOf(promptShort, promptLong)
		}
		return st.firstOf(promptShort)
	}
	if underLimit {
		return st.firstOf(deferrableShort, deferrableLong)
	}
	return nil
}

// firstOf returns the subqueue of the given kinds that the policy puts first, or nil.
func (st *state) firstOf(kinds ...int) *subqueue {
	var best *subqueue
	for _, kind := range kinds {
		if st.heaps[kind].Len() == 0 {
			continue
		}
		sq := st.heaps[kind].subqueues[0]
		if best == nil || st.cfg.Policy.Before(sq.head(), best.head()) {
			best = sq
		}
	}
	return best
}

// start grants a waiting request and charges its team the expected tokens.
func (st *state) start(wt *waiter, now time.Time) {
	st.dequeue(wt)
	wt.started = now
	wt.charged = max(1, wt.req.Tokens)
	wt.nextReport.Store(int64(wt.charged))
	wt.preempt = make(chan struct{})
	wt.team.running++
	st.virtualTime = max(st.virtualTime, wt.team.virtualTime)
	st.charge(wt.team, wt.charged)
	st.running[wt] = struct{}{}
	st.adjustRunning(wt, 1)
	wt.reply <- reply{grant: Grant{
		Finish:   func(tokens int) { st.qu.post(event{kind: finished, waiter: wt, tokens: tokens}) },
		Progress: func(tokens int) { st.qu.reportProgress(wt, tokens) },
		Preempt:  wt.preempt,
		Waited:   now.Sub(wt.arrived),
	}}
}

// charge adds tokens, divided by the weight, to the team's virtual time.
func (st *state) charge(tm *team, tokens int) {
	tm.virtualTime += float64(tokens) / tm.weight
	st.reorder(tm)
}

// adjustRunning adds delta to the counts of running requests that include this one.
func (st *state) adjustRunning(wt *waiter, delta int) {
	if wt.long {
		st.runningLong += delta
	}
	if wt.long || wt.req.Class == bwmodel.DeferrableClass {
		st.restricted += delta
	}
	if wt.preempted {
		st.preempting += delta
	}
}

// finish removes a running request and corrects the charge to the actual tokens.
func (st *state) finish(wt *waiter, tokens int) {
	if wt.ended {
		return
	}
	wt.ended = true
	st.adjustRunning(wt, -1)
	delete(st.running, wt)
	wt.team.running--
	st.charge(wt.team, tokens-wt.charged)
	st.completions.record(st.cfg.Now())
}

// progress handles a request that has produced more tokens than expected: it
// charges the team twice the tokens so far and reclassifies the request as long
// when that reaches LongTokens.
func (st *state) progress(wt *waiter, tokens int) {
	if wt.ended || tokens <= wt.charged {
		return
	}
	expected := 2 * tokens
	st.charge(wt.team, expected-wt.charged)
	wt.charged = expected
	st.adjustRunning(wt, -1)
	wt.long = wt.long || expected >= st.cfg.LongTokens
	st.adjustRunning(wt, 1)
}

// reportProgress posts progress only when the tokens exceed the expectation, and
// after that only each time they have doubled.
func (qu *Queue) reportProgress(wt *waiter, tokens int) {
	threshold := wt.nextReport.Load()
	if int64(tokens) <= threshold || !wt.nextReport.CompareAndSwap(threshold, 2*int64(tokens)) {
		return
	}
	qu.post(event{kind: progressed, waiter: wt, tokens: tokens})
}

// preempt signals running long deferrable requests to stop when prompt work waits
// and no slot is free, at most one for each waiting prompt request.
func (st *state) preempt(capacity int, now time.Time) {
	if st.cfg.Policy.Baseline || len(st.running) < capacity {
		return
	}
	wanted := st.waiting[promptShort] + st.waiting[promptLong] - st.preempting
	for wt := range st.running {
		if wanted <= 0 {
			return
		}
		if wt.req.Class != bwmodel.DeferrableClass || !wt.long || wt.preempted || now.Sub(wt.started) < st.cfg.MinRunTime {
			continue
		}
		wt.preempted = true
		st.preempting++
		wanted--
		close(wt.preempt)
	}
}

// evictFor makes room in a full queue for a prompt request: it refuses the newest
// request of the team with the most requests waiting, and deferrable requests
// before prompt ones. It reports whether it evicted one.
func (st *state) evictFor(wt *waiter) bool {
	if st.cfg.Policy.Baseline || wt.req.Class != bwmodel.PromptClass {
		return false
	}
	if victim := st.backlogs[deferrableGroup].newest(); victim != nil {
		st.refuse(victim, &RefusedError{Reason: Displaced, RetryAfter: st.estimateWait(st.waitingTotal())})
		return true
	}
	victim := st.backlogs[promptGroup].newest()
	if victim == nil || victim.team == wt.team || victim.team.waiting <= wt.team.waiting+1 {
		return false
	}
	st.refuse(victim, &RefusedError{Reason: TeamLimit, RetryAfter: st.estimateWait(victim.team.waiting)})
	return true
}

// deadlineRefusal returns the refusal of a request that can't start before its
// deadline at the current completion rate, or nil.
func (st *state) deadlineRefusal(wt *waiter, now time.Time) *RefusedError {
	if wt.deadline.IsZero() || st.cfg.Policy.Baseline {
		return nil
	}
	if !wt.deadline.After(now) {
		return &RefusedError{Reason: DeadlinePassed, RetryAfter: st.estimateWait(st.waitingTotal())}
	}
	if len(st.running) < st.cfg.Capacity() {
		return nil
	}
	if wait := st.estimateWait(st.requestsAhead(wt)); now.Add(wait).After(wt.deadline) {
		return &RefusedError{Reason: DeadlinePassed, RetryAfter: wait}
	}
	return nil
}

// requestsAhead estimates the number of requests that start before a new one. For
// a deferrable request these are all waiting requests. For a prompt request it
// assumes that teams take turns: each subqueue with prompt work starts as many
// requests as the new one's team has waiting, plus one.
func (st *state) requestsAhead(wt *waiter) int {
	prompt := st.waiting[promptShort] + st.waiting[promptLong]
	if wt.req.Class == bwmodel.DeferrableClass {
		return st.waitingTotal()
	}
	subqueues := st.heaps[promptShort].Len() + st.heaps[promptLong].Len()
	return min(prompt, (wt.team.waiting+1)*max(1, subqueues))
}

// estimateWait returns the time in which one more than the given number of
// requests end at the current completion rate; 0 when no rate has been observed.
func (st *state) estimateWait(requests int) time.Duration {
	rate := st.completions.perSecond(st.cfg.Now())
	if rate <= 0 {
		return 0
	}
	return time.Duration(float64(requests+1) / rate * float64(time.Second))
}

// completionRate measures the number of requests that end per second, smoothed
// over windows of at least rateWindow.
type completionRate struct {
	windowStart time.Time
	count       int
	smoothed    float64
}

const (
	rateWindow    = 500 * time.Millisecond
	rateSmoothing = 0.4
)

func (cr *completionRate) record(now time.Time) {
	cr.rollWindow(now)
	cr.count++
}

func (cr *completionRate) perSecond(now time.Time) float64 {
	cr.rollWindow(now)
	return cr.smoothed
}

// rollWindow adds the current window to the smoothed rate once the window has ended.
func (cr *completionRate) rollWindow(now time.Time) {
	if cr.windowStart.IsZero() {
		cr.windowStart = now
		return
	}
	span := now.Sub(cr.windowStart)
	if span < rateWindow {
		return
	}
	rate := float64(cr.count) / span.Seconds()
	if cr.smoothed == 0 {
		cr.smoothed = rate
	}
	cr.smoothed += rateSmoothing * (rate - cr.smoothed)
	cr.windowStart, cr.count = now, 0
}
