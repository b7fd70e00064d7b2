package bwadmit

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"bilberrywick/core/bwmodel"
)

// Queue decides for one service which request starts next. One goroutine owns
// its state; traffic goroutines post to it.
type Queue struct {
	cfg    Config
	posted chan event
	done   chan struct{}
	load   atomic.Pointer[Load]
}

// Config holds what a Queue starts from.
type Config struct {
	Service bwmodel.Service
	Now     func() time.Time
	// Capacity returns the number of requests that may run at a time.
	Capacity func() int
	// SlotShare returns this router's part of the slots, and the number of routers
	// that share them; it bounds long and deferrable work. nil means the capacity
	// and one router.
	SlotShare func() (slots float64, routers int)
	// Policy orders the teams; the zero value means FairShares.
	Policy Policy
	// LongTokens is the expected work from which a request counts as long; 0 means 2000.
	LongTokens int
	// ShortReserve is the least part of the share that long and deferrable work
	// leaves free; 0 means 0.2. More is left when short work needs it.
	ShortReserve float64
	// MinRunTime is the time that long deferrable work runs at least before it is
	// asked to pause; 0 means 1 s.
	MinRunTime time.Duration
	// PollInterval is the interval at which a change of capacity is noticed while work
	// waits; 0 means 20 ms.
	PollInterval time.Duration
}

// Load is what a queue holds at a moment.
type Load struct {
	Capacity int
	// Running and Long count the work in progress, and the long part of it.
	Running     int
	RunningLong int
	// WaitingPrompt and Deferrable count the work that waits.
	WaitingPrompt     int
	WaitingDeferrable int
	// CompletionRate is the number of requests that end in a second.
	CompletionRate float64
}

const (
	defaultQueueLimit   = 1024
	defaultLongTokens   = 2000
	defaultShortReserve = 0.2
	defaultMinRun       = time.Second
	defaultPoll         = 20 * time.Millisecond
	backlog             = 256
)

// New returns a queue whose goroutine has not started.
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
		cfg.MinRunTime = defaultMinRun
	}
	if cfg.PollInterval == 0 {
		cfg.PollInterval = defaultPoll
	}
	qu := &Queue{cfg: cfg, posted: make(chan event, backlog), done: make(chan struct{})}
	qu.load.Store(&Load{})
	return qu, nil
}

// Start runs the queue's goroutine until the context ends; work that waits then
// is refused with ShuttingDown.
func (qu *Queue) Start(ctx context.Context) { go qu.run(ctx) }

// Done is closed when the queue's goroutine has ended.
func (qu *Queue) Done() <-chan struct{} { return qu.done }

// Load returns the last published figures; it never blocks.
func (qu *Queue) Load() Load { return *qu.load.Load() }

// Update replaces the service's settings and the teams' weights and limits. A
// team's MaxInFlight is taken as this router's part of the limit.
func (qu *Queue) Update(svc bwmodel.Service, teams []bwmodel.Team) {
	qu.post(event{kind: updated, service: svc, teams: teams})
}

// Admit waits until the work may start. It returns a *RefusedError when the
// work will not be started, and the context's error when that ends first.
func (qu *Queue) Admit(ctx context.Context, req Request) (Grant, error) {
	wt := &waiter{req: req, arrived: qu.cfg.Now(), reply: make(chan reply, 1)}
	if !qu.post(event{kind: arrived, waiter: wt}) {
		return Grant{}, &RefusedError{Reason: ShuttingDown}
	}
	select {
	case rep := <-wt.reply:
		return rep.grant, rep.err
	case <-ctx.Done():
		return qu.abandon(ctx, wt)
	case <-qu.done:
		return qu.answered(wt)
	}
}

// abandon withdraws a request; a grant that crossed the withdrawal is given back.
func (qu *Queue) abandon(ctx context.Context, wt *waiter) (Grant, error) {
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

func (qu *Queue) answered(wt *waiter) (Grant, error) {
	select {
	case rep := <-wt.reply:
		return rep.grant, rep.err
	default:
		return Grant{}, &RefusedError{Reason: ShuttingDown}
	}
}

func (qu *Queue) post(ev event) bool {
	select {
	case qu.posted <- ev:
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
		case ev := <-qu.posted:
			st.apply(ev)
			qu.drain(st)
		case <-timer.C:
		case <-ctx.Done():
			st.refuseAll()
			qu.load.Store(st.figures())
			return
		}
		next := st.dispatch(qu.cfg.Now())
		qu.load.Store(st.figures())
		timer.Reset(next)
	}
}

// drain applies the events that wait already, so that a burst costs one dispatch.
func (qu *Queue) drain(st *state) {
	for range backlog {
		select {
		case ev := <-qu.posted:
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
// all fields but reply and reported.
type waiter struct {
	req      Request
	team     *team
	arrived  time.Time
	deadline time.Time
	sequence uint64
	long     bool
	reply    chan reply
	// heapIndex is the place among the deadlines, or -1.
	heapIndex int
	waiting   bool

	started time.Time
	// charged is the work that the team has been charged for.
	charged int
	pause   chan struct{}
	paused  bool
	ended   bool
	// reported is the progress from which the next report is posted.
	reported atomic.Int64
}
