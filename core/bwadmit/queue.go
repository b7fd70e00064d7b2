package bwadmit

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"bilberrywick/core/bwmodel"
)

// Queue decides for one service which request starts next. One goroutine owns
// the state; traffic goroutines send events to it.
type Queue struct {
	cfg    Config
	events chan event
	done   chan struct{}
	load   atomic.Pointer[Load]
}

// Config holds the settings and callbacks of a Queue.
type Config struct {
	Service bwmodel.Service
	Now     func() time.Time
	// Capacity returns the number of requests that may run at a time.
	Capacity func() int
	// SlotShare returns this router's share of the slots and the number of routers
	// that share them; it limits long and deferrable work. nil means the capacity
	// and one router.
	SlotShare func() (slots float64, routers int)
	// Policy orders the teams; the zero value means FairShares.
	Policy Policy
	// LongTokens is the expected number of tokens from which a request counts as
	// long; 0 means 2000.
	LongTokens int
	// ShortReserve is the least fraction of the slot share that is reserved for
	// short prompt work; 0 means 0.2. The reserve grows with the demand for it.
	ShortReserve float64
	// MinRunTime is the least time that long deferrable work runs before it may
	// be preempted; 0 means 1 s.
	MinRunTime time.Duration
	// PollInterval is the interval at which Capacity is called while work waits;
	// 0 means 20 ms.
	PollInterval time.Duration
}

// Load holds the counts of a queue at one moment.
type Load struct {
	Capacity int
	// Running counts the running requests, and RunningLong the long ones among them.
	Running     int
	RunningLong int
	// WaitingPrompt and WaitingDeferrable count the waiting requests by class.
	WaitingPrompt     int
	WaitingDeferrable int
	// CompletionRate is the smoothed number of requests that end per second.
	CompletionRate float64
}

const (
	defaultQueueLimit   = 1024
	defaultLongTokens   = 2000
	defaultShortReserve = 0.2
	defaultMinRunTime   = time.Second
	defaultPollInterval = 20 * time.Millisecond
	eventBuffer         = 256
)

// New returns a queue whose goroutine has not started. It returns an error when
// Now or Capacity is nil.
func New(cfg Config) (*Queue, error) {
	if cfg.Now == nil || cfg.Capacity == nil {
		return nil, errors.New("queue: Now and Capacity must be set")
	}
	if cfg.SlotShare == nil {
		capacity := cfg.Capacity
		cfg.SlotShare = func() (float64, int) { return float64(capacity()), 1 }
	}
	if cfg.Policy.Before == nil {
		cfg.Policy = FairShares()
	}
	if cfg.LongTokens == 0 {
		cfg.LongTokens = defaultLongTokens
	}
	if cfg.ShortReserve == 0 {
		cfg.ShortReserve = defaultShortReserve
	}
	if cfg.MinRunTime == 0 {
		cfg.MinRunTime = defaultMinRunTime
	}
	if cfg.PollInterval == 0 {
		cfg.PollInterval = defaultPollInterval
	}
	qu := &Queue{cfg: cfg, events: make(chan event, eventBuffer), done: make(chan struct{})}
	qu.load.Store(&Load{})
	return qu, nil
}

// Start runs the queue's goroutine until the context ends. Requests that wait at
// that time are refused with ShuttingDown.
func (qu *Queue) Start(ctx context.Context) { go qu.run(ctx) }

// Done returns a channel that is closed when the queue's goroutine has ended.
func (qu *Queue) Done() <-chan struct{} { return qu.done }

// Load returns the last published counts; it never blocks.
func (qu *Queue) Load() Load { return *qu.load.Load() }

// Update replaces the service's settings and the teams' weights and limits. The
// MaxInFlight of a team must be this router's share of the team's limit.
func (qu *Queue) Update(svc bwmodel.Service, teams []bwmodel.Team) {
	qu.post(event{kind: updated, service: svc, teams: teams})
}

// Admit waits until the request may start. It returns a *RefusedError when the
// request is refused, and the context's error when the context ends first.
func (qu *Queue) Admit(ctx context.Context, req Request) (Grant, error) {
	wt := &waiter{req: req, arrived: qu.cfg.Now(), reply: make(chan reply, 1)}
	if !qu.post(event{kind: arrived, waiter: wt}) {
		return Grant{}, &RefusedError{Reason: ShuttingDown}
	}
	select {
	case rep := <-wt.reply:
		return rep.grant, rep.err
	case <-ctx.Done():
		return qu.withdraw(ctx, wt)
	case <-qu.done:
		return qu.replyAfterStop(wt)
	}
}

// withdraw removes a request whose context has ended. If the request was granted
// at the same time, withdraw finishes the grant with no tokens.
func (qu *Queue) withdraw(ctx context.Context, wt *waiter) (Grant, error) {
	qu.post(event{kind: withdrawn, waiter: wt})
	select {
	case rep := <-wt.reply:
		if rep.err == nil {
			rep.grant.Finish(0)
		}
	case <-qu.done:
	}
	return Grant{}, ctx.Err()
}

// replyAfterStop returns a reply that was sent before the queue stopped, or a refusal.
func (qu *Queue) replyAfterStop(wt *waiter) (Grant, error) {
	select {
	case rep := <-wt.reply:
		return rep.grant, rep.err
	default:
		return Grant{}, &RefusedError{Reason: ShuttingDown}
	}
}

// post sends an event to the queue's goroutine; it reports false once the goroutine
// has ended.
func (qu *Queue) post(ev event) bool {
	select {
	case qu.events <- ev:
		return true
	case <-qu.done:
		return false
	}
}

func (qu *Queue) run(ctx context.Context) {
	defer close(qu.done)
	st := newState(qu)
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		select {
		case ev := <-qu.events:
			st.apply(ev)
			qu.applyPending(st)
		case <-timer.C:
		case <-ctx.Done():
			st.refuseAll()
			qu.load.Store(st.snapshot())
			return
		}
		next := st.dispatch(qu.cfg.Now())
		qu.load.Store(st.snapshot())
		timer.Reset(next)
	}
}

// applyPending applies the events that are already in the channel, so that a burst
// of events needs only one dispatch.
func (qu *Queue) applyPending(st *state) {
	for range eventBuffer {
		select {
		case ev := <-qu.events:
			st.apply(ev)
		default:
			return
		}
	}
}

type eventKind int

const (
	arrived eventKind = iota
	withdrawn
	finished
	progressed
	updated
)

type event struct {
	kind    eventKind
	waiter  *waiter
	tokens  int
	service bwmodel.Service
	teams   []bwmodel.Team
}

type reply struct {
	grant Grant
	err   error
}

// waiter is one request from its arrival to its end. The queue's goroutine owns
// all fields except reply and nextReport.
type waiter struct {
	req      Request
	team     *team
	arrived  time.Time
	deadline time.Time
	sequence uint64
	long     bool
	reply    chan reply
	// deadlineIndex is the index in state.deadlines, or -1.
	deadlineIndex int
	waiting       bool

	started time.Time
	// charged is the number of tokens that the team has been charged.
	charged   int
	preempt   chan struct{}
	preempted bool
	ended     bool
	// nextReport is the number of tokens above which progress is reported next.
	nextReport atomic.Int64
}
