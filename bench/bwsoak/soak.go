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
	// Seed determines the faults and the requests; their interleaving depends on
	// the machine.
	Seed uint64
	// Generations and Actions are the numbers of requests after which the run ends.
	Generations int
	Actions     int
	// TimeLimit ends a run that has not sent its requests; 0 means 10 min.
	TimeLimit time.Duration
	// RoundLength is the time with faults in each round; a check without faults
	// follows it. 0 means 12 s.
	RoundLength time.Duration
	// SettleTimeout is the time after the faults of a round within which all
	// processes must be ready and have the latest ticket; 0 means 3 s.
	SettleTimeout time.Duration
	// FinalWait is the wait before the final check of the executions; 0 means
	// 12 s, in which every dispatch expires.
	FinalWait time.Duration
	// ParallelFaults is the number of concurrent series of faults; 0 means 3.
	ParallelFaults int
	// Workers is the number of concurrent callers of each kind; 0 means 24.
	Workers int
	// OnlyFaults restricts the faults to those named; empty means all.
	OnlyFaults []string
	// Progress receives a line each round; nil discards the lines.
	Progress io.Writer
	// LogOutput receives the logs of the fleet's processes; nil discards them.
	LogOutput io.Writer
	// Now reads the clock; nil means time.Now.
	Now func() time.Time
}

const (
	defaultTimeLimit      = 10 * time.Minute
	defaultRoundLength    = 12 * time.Second
	defaultParallelFaults = 3
	defaultWorkers        = 24
	defaultSettleTimeout  = 3 * time.Second
	defaultFinalWait      = 12 * time.Second
	routerCount           = 3
	engineCount           = 6
	appCount              = 3
	// callersName is the name of the callers in the fleet's network.
	callersName = "callers"
	// reconnectTimeout limits a caller's attempts to resume a broken stream.
	reconnectTimeout = 20 * time.Second
	// stallTimeout is the time without an event before a caller reconnects.
	stallTimeout = 3 * time.Second
)

// session is one soak run.
type session struct {
	cfg      Config
	fleet    *bwdev.Fleet
	network  *bwfakenet.Network
	recorder *bwfault.Recorder
	// schedule injects the faults.
	schedule *bwfault.Schedule
	// caller sends generations and lookups, actionCaller sends actions.
	caller        *bwcaller.Caller
	actionCaller  *bwcaller.Caller
	actionHistory *actionHistory
	ticketHistory *ticketHistory

	generations atomic.Int64
	actions     atomic.Int64
	done        chan struct{}
	closeDone   sync.Once
	workers     sync.WaitGroup
}

// Run starts a fleet, sends requests, injects faults and returns the report, which
// lists the violations. The error means only that the run itself failed.
func Run(ctx context.Context, cfg Config) (bwfault.Report, error) {
	cfg = withDefaults(cfg)
	nw := bwfakenet.New()
	flt, err := bwdev.Start(ctx, bwdev.Config{
		Routers:    routerCount,
		Engines:    engineCount,
		Apps:       appCount,
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
	// Held connections would prevent the processes from stopping.
	defer nw.ClearFaults()
	ses := newSession(cfg, flt, nw)
	defer ses.caller.Close()
	defer ses.actionCaller.Close()
	return ses.runSession(ctx)
}

func newSession(cfg Config, flt *bwdev.Fleet, nw *bwfakenet.Network) *session {
	callerCfg := bwcaller.Config{
		Routers:           flt.CallerAddresses,
		Key:               flt.Teams()[0].Key,
		ReconnectTimeout:  reconnectTimeout,
		StallTimeout:      stallTimeout,
		DisableKeepAlives: true,
		Dial:              nw.Dial(callersName),
	}
	ses := &session{
		cfg:           cfg,
		fleet:         flt,
		network:       nw,
		recorder:      bwfault.NewRecorder(cfg.Seed),
		caller:        bwcaller.New(callerCfg),
		actionCaller:  bwcaller.New(callerCfg),
		actionHistory: newActionHistory(),
		ticketHistory: newTicketHistory(),
		done:          make(chan struct{}),
	}
	ses.schedule = newSchedule(ses)
	return ses
}

// runSession runs the load and the faults until the requests are sent, and then
// checks the results.
func (ses *session) runSession(ctx context.Context) (bwfault.Report, error) {
	start := ses.cfg.Now()
	loadCtx, cancel := context.WithTimeout(ctx, ses.cfg.TimeLimit)
	defer cancel()
	mon := &ticketMonitor{ses: ses}
	monitorCtx, stopMonitor := context.WithCancel(ctx)
	defer stopMonitor()
	go mon.loop(monitorCtx)
	ses.startWorkers(loadCtx)
	for round := 1; !ses.targetReached(loadCtx); round++ {
		ses.runRound(loadCtx, round)
		ses.awaitSettled(ctx, fmt.Sprintf("round %d", round))
		ses.printProgress(round, ses.cfg.Now().Sub(start))
	}
	ses.stopWorkers()
	ses.workers.Wait()
	ses.awaitSettled(ctx, "end")
	if !bwretry.Pause(ctx, ses.cfg.FinalWait) {
		return bwfault.Report{}, ctx.Err()
	}
	ses.checkActions()
	ses.checkTickets(ctx)
	ses.recorder.AddCount("Seconds", int64(ses.cfg.Now().Sub(start).Seconds()))
	return ses.recorder.Report(), ctx.Err()
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
		go (&ticketWorker{ses: ses, id: ix, rng: ses.random("operator", ix)}).loop(ctx)
	}
}

// random returns the random generator of one worker, derived from the seed.
func (ses *session) random(kind string, index int) *rand.Rand {
	sum := uint64(index)
	for _, chr := range []byte(kind) {
		sum = sum*131 + uint64(chr)
	}
	return rand.New(rand.NewPCG(ses.cfg.Seed, sum))
}

func (ses *session) stopWorkers() { ses.closeDone.Do(func() { close(ses.done) }) }

// targetReached reports whether all requests are sent or the deadline has
// expired, in which case it stops the workers.
func (ses *session) targetReached(ctx context.Context) bool {
	if ctx.Err() != nil {
		ses.stopWorkers()
		return true
	}
	return ses.generations.Load() >= int64(ses.cfg.Generations) && ses.actions.Load() >= int64(ses.cfg.Actions)
}

// stopped reports whether the workers must stop.
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

func (ses *session) printProgress(round int, elapsed time.Duration) {
	_, _ = fmt.Fprintf(ses.cfg.Progress, "round %d after %v: %d generations, %d actions, %d violations\n",
		round, elapsed.Round(time.Second), ses.generations.Load(), ses.actions.Load(), ses.recorder.ViolationCount())
}

func withDefaults(cfg Config) Config {
	if cfg.TimeLimit == 0 {
		cfg.TimeLimit = defaultTimeLimit
	}
	if cfg.RoundLength == 0 {
		cfg.RoundLength = defaultRoundLength
	}
	if cfg.SettleTimeout == 0 {
		cfg.SettleTimeout = defaultSettleTimeout
	}
	if cfg.FinalWait == 0 {
		cfg.FinalWait = defaultFinalWait
	}
	if cfg.ParallelFaults == 0 {
		cfg.ParallelFaults = defaultParallelFaults
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
