package bwsoak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"bilberrywick/bench/bwcaller"
	"bilberrywick/bench/bwfault"
	"bilberrywick/cmd/bwdev"
	"bilberrywick/core/bwretry"
	"bilberrywick/standin/bwfakeapp"
	"bilberrywick/standin/bwfakeengine"
	"bilberrywick/standin/bwfakenet"
)

// Config configures a run.
type Config struct {
	// Seed decides the faults and the requests; the order in which they meet
	// depends on the machine.
	Seed uint64
	// Generations and Actions are the requests after which the run ends.
	Generations int
	Actions     int
	// TimeLimit ends a run that has not made its requests; 0 means 10 min.
	TimeLimit time.Duration
	// RoundLength is the time with faults before each pause without; 0 means 12 s.
	RoundLength time.Duration
	// SettleTimeout is how long after the last fault all processes must be current; 0 means 3 s.
	SettleTimeout time.Duration
	// FinalWait is the time before the last look at what has run; 0 means 12 s, in which
	// every dispatch expires.
	FinalWait time.Duration
	// ParallelFaults is the number of faults at a time; 0 means 3.
	ParallelFaults int
	// Workers is the number of callers of each kind; 0 means 24.
	Workers int
	// OnlyFaults limits the faults to those named; empty means all.
	OnlyFaults []string
	// Progress receives a line each round; nil discards them.
	Progress  io.Writer
	LogOutput io.Writer
	Now       func() time.Time
}

const (
	defaultLimit   = 10 * time.Minute
	defaultRound   = 12 * time.Second
	defaultFaults  = 3
	defaultWorkers = 24
	defaultHeal    = 3 * time.Second
	defaultLate    = 12 * time.Second
	routers        = 3
	engines        = 6
	apps           = 3
	// callersName is the callers' name in the fleet's network.
	callersName = "callers"
	// reconnectTime is how long a caller tries to get the rest of its answer.
	reconnectTime = 20 * time.Second
	// silenceTime makes a caller leave a router that sends nothing.
	silenceTime = 3 * time.Second
)

// session is one run.
type session struct {
	cfg Config
	flt *bwdev.Fleet
	nw  *bwfakenet.Network
	rep *bwfault.Recorder
	// schedule plays the faults.
	schedule *bwfault.Schedule
	// caller streams generations and lookups, actor runs actions.
	caller *bwcaller.Caller
	actor  *bwcaller.Caller
	acts   *actionHistory
	tks    *ticketHistory

	generations atomic.Int64
	actions     atomic.Int64
	done        chan struct{}
	finish      sync.Once
	workers     sync.WaitGroup
}

// Run starts a fleet, plays requests and faults, and returns what was found; the
// error says only that the run itself failed.
func Run(ctx context.Context, cfg Config) (bwfault.Report, error) {
	cfg = withDefaults(cfg)
	nw := bwfakenet.New()
	flt, err := bwdev.Start(ctx, bwdev.Config{
		Routers:    routers,
		Engines:    engines,
		Apps:       apps,
		Engine:     bwfakeengine.Config{TokenTime: 4 * time.Millisecond, FirstTokenTime: 8 * time.Millisecond, Slots: 16, CacheBlocks: 512},
		App:        bwfakeapp.Config{Latency: 3 * time.Millisecond},
		LogOutput:  cfg.LogOutput,
		Network:    nw,
		DrainTime:  2 * time.Second,
		QueueLimit: 10_000,
	})
	if err != nil {
		return bwfault.Report{}, err
	}
	defer flt.Close()
	// Held connections would keep the processes from ending.
	defer nw.ClearFaults()
	ses := newSession(cfg, flt, nw)
	defer ses.caller.Close()
	defer ses.actor.Close()
	return ses.play(ctx)
}

func newSession(cfg Config, flt *bwdev.Fleet, nw *bwfakenet.Network) *session {
	call := bwcaller.Config{
		Routers:           flt.CallerAddresses,
		Key:               flt.Teams()[0].Key,
		ReconnectTimeout:  reconnectTime,
		StallTimeout:      silenceTime,
		DisableKeepAlives: true,
		Dial:              nw.Dial(callersName),
	}
	ses := &session{
		cfg:    cfg,
		flt:    flt,
		nw:     nw,
		rep:    bwfault.NewRecorder(cfg.Seed),
		caller: bwcaller.New(call),
		actor:  bwcaller.New(call),
		acts:   newActionHistory(),
		tks:    newTicketHistory(),
		done:   make(chan struct{}),
	}
	ses.schedule = newSchedule(ses)
	return ses
}

// play runs the load and the faults until the requests are made, and then checks.
func (ses *session) play(ctx context.Context) (bwfault.Report, error) {
	began := ses.cfg.Now()
	load, cancel := context.WithTimeout(ctx, ses.cfg.TimeLimit)
	defer cancel()
	mon := &monitor{ses: ses}
	watching, stopWatching := context.WithCancel(ctx)
	defer stopWatching()
	go mon.loop(watching)
	ses.startWorkers(load)
	for round := 1; !ses.ended(load); round++ {
		ses.round(load, round)
		ses.settle(ctx, fmt.Sprintf("round %d", round))
		ses.progress(round, ses.cfg.Now().Sub(began))
	}
	ses.stop()
	ses.workers.Wait()
	ses.settle(ctx, "end")
	if !bwretry.Pause(ctx, ses.cfg.FinalWait) {
		return bwfault.Report{}, ctx.Err()
	}
	ses.checkActions()
	ses.checkTickets(ctx)
	ses.rep.AddCount("Seconds", int64(ses.cfg.Now().Sub(began).Seconds()))
	return ses.rep.Report(), ctx.Err()
}

func (ses *session) startWorkers(ctx context.Context) {
	for ix := range ses.cfg.Workers {
		ses.workers.Add(3)
		go (&generationWorker{ses: ses, rng: ses.random("generation", ix)}).loop(ctx)
		go (&actionWorker{ses: ses, rng: ses.random("action", ix)}).loop(ctx)
		go (&lookupWorker{ses: ses, rng: ses.random("lookup", ix)}).loop(ctx)
	}
	const operators = 2
	for ix := range operators {
		ses.workers.Add(1)
		go (&operator{ses: ses, id: ix, rng: ses.random("operator", ix)}).loop(ctx)
	}
}

// random returns the generator of one worker.
func (ses *session) random(kind string, index int) *rand.Rand {
	sum := uint64(index)
	for _, chr := range []byte(kind) {
		sum = sum*131 + uint64(chr)
	}
	return rand.New(rand.NewPCG(ses.cfg.Seed, sum))
}

func (ses *session) stop() { ses.finish.Do(func() { close(ses.done) }) }

// ended reports whether the requests are made or the time is over.
func (ses *session) ended(ctx context.Context) bool {
	if ctx.Err() != nil {
		ses.stop()
		return true
	}
	return ses.generations.Load() >= int64(ses.cfg.Generations) && ses.actions.Load() >= int64(ses.cfg.Actions)
}

// stopped reports whether a worker has to end.
func (ses *session) stopped(ctx context.Context) bool {
	select {
	case <-ses.done:
		return true
	case <-ctx.Done():
		return true
	default:
		return false
	}
}

func (ses *session) progress(round int, took time.Duration) {
	_, _ = fmt.Fprintf(ses.cfg.Progress, "round %d after %v: %d generations, %d actions, %d violations\n",
		round, took.Round(time.Second), ses.generations.Load(), ses.actions.Load(), ses.rep.ViolationCount())
}

func withDefaults(cfg Config) Config {
	if cfg.TimeLimit == 0 {
		cfg.TimeLimit = defaultLimit
	}
	if cfg.RoundLength == 0 {
		cfg.RoundLength = defaultRound
	}
	if cfg.SettleTimeout == 0 {
		cfg.SettleTimeout = defaultHeal
	}
	if cfg.FinalWait == 0 {
		cfg.FinalWait = defaultLate
	}
	if cfg.ParallelFaults == 0 {
		cfg.ParallelFaults = defaultFaults
	}
	if cfg.Workers == 0 {
		cfg.Workers = defaultWorkers
	}
	if cfg.Progress == nil {
		cfg.Progress = io.Discard
	}
	if cfg.LogOutput == nil {
		cfg.LogOutput = io.Discard
	}
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	return cfg
}
