package bwbench

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"bilberrywick/bench/bwcaller"
	"bilberrywick/cmd/bwdev"
	"bilberrywick/core/bwmodel"
)

// Experiment compares policies under one load and one script of faults.
type Experiment struct {
	Name     string
	Goal     string
	Variants []Variant
	// Goals are judged from the finished runs.
	Goals []Goal
}

// Variant is one policy with its fleet, load and faults.
type Variant struct {
	Policy    string
	Fleet     bwdev.Config
	Workloads []Workload
	Length    time.Duration
	// Window is the part of the load that is counted apart; the zero value is none.
	Window Window
	// StartDelay is the time from the start of a generation to its first token.
	StartDelay time.Duration
	// Script injects faults while the load runs; may be nil.
	Script func(context.Context, *Session) error
	// RestartFailed makes callers repeat a failed generation from the beginning.
	RestartFailed bool
	// DirectAddresses sends the load past the routers, straight to this path; it is for
	// the router's own cost. May be nil.
	DirectAddresses func(*bwdev.Fleet) []netip.AddrPort
}

// Window is a part of a run, counted from the start of the load.
type Window struct {
	Begin time.Duration
	End   time.Duration
}

// holds reports whether a time since the start lies in the window.
func (win Window) holds(since time.Duration) bool { return since >= win.Begin && since < win.End }

// Config configures the runs of experiments.
type Config struct {
	Seed uint64
	// Progress receives a line each second; nil discards them.
	Progress  io.Writer
	LogOutput io.Writer
	Now       func() time.Time
}

// Session is one running variant.
type Session struct {
	Fleet    *bwdev.Fleet
	Recorder *Recorder

	cfg     Config
	variant Variant
	began   time.Time
	callers map[bwmodel.TeamID]*bwcaller.Caller
	pending sync.WaitGroup
	open    atomic.Int64

	mu         sync.Mutex
	violations []string
	refusals   []span
	starts     []time.Time
}

// maxViolations bounds the violations that are kept; one is enough to fail.
const maxViolations = 20

// reconnectTime is how long callers try to get the rest of an answer.
const reconnectTime = 10 * time.Second

// drainTime is how long a run waits for its requests after the last arrival.
const drainTime = 60 * time.Second

// RunExperiment runs every variant of an experiment, one after the other.
func RunExperiment(ctx context.Context, exp Experiment, cfg Config) ([]Run, error) {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.Progress == nil {
		cfg.Progress = io.Discard
	}
	var runs []Run
	for _, vrt := range exp.Variants {
		run, err := runVariant(ctx, exp.Name, vrt, cfg)
		if err != nil {
			return runs, fmt.Errorf("%s with %s: %w", exp.Name, vrt.Policy, err)
		}
		runs = append(runs, run)
	}
	return runs, nil
}

func runVariant(ctx context.Context, name string, vrt Variant, cfg Config) (Run, error) {
	ses := &Session{
		Recorder: NewRecorder(),
		cfg:      cfg,
		variant:  vrt,
		callers:  make(map[bwmodel.TeamID]*bwcaller.Caller),
	}
	vrt.Fleet.OnResume = ses.resumed
	vrt.Fleet.LogOutput = cfg.LogOutput
	flt, err := bwdev.Start(ctx, vrt.Fleet)
	if err != nil {
		return Run{}, err
	}
	defer flt.Close()
	ses.Fleet = flt
	entries := flt.CallerAddresses
	if vrt.DirectAddresses != nil {
		entries = func() []netip.AddrPort { return vrt.DirectAddresses(flt) }
	}
	reconnect := reconnectTime
	if vrt.RestartFailed {
		reconnect = 0
	}
	for _, team := range flt.Teams() {
		ses.callers[team.Name] = bwcaller.New(bwcaller.Config{
			Routers:          entries,
			Key:              team.Key,
			ReconnectTimeout: reconnect,
			Now:              cfg.Now,
		})
	}
	defer ses.close()
	cost, err := beginCost()
	if err != nil {
		return Run{}, err
	}
	if err := ses.play(ctx, name); err != nil {
		return Run{}, err
	}
	elapsed := cfg.Now().Sub(ses.began)
	cost.record(ses.Recorder)
	ses.collect()
	res := newResult(name, vrt.Policy, cfg.Seed, ses.began, elapsed, ses.Recorder)
	res.Violations = ses.violations
	return Run{Result: res, Recorder: ses.Recorder}, nil
}

// resumed records a resume that a router reported.
func (ses *Session) resumed(cause string, took time.Duration, recomputed int) {
	ses.Recorder.Observe("Resume."+cause, took)
	ses.Recorder.Observe("Resume", took)
	ses.Recorder.AddCount("TokensRecomputed", int64(recomputed))
}

// Elapsed returns the time since the load began.
func (ses *Session) Elapsed() time.Duration { return ses.cfg.Now().Sub(ses.began) }

// WaitUntil waits until a time since the start of the load, or returns the context's error.
func (ses *Session) WaitUntil(ctx context.Context, since time.Duration) error {
	tmr := time.NewTimer(since - ses.Elapsed())
	defer tmr.Stop()
	select {
	case <-tmr.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// RecordViolation records a broken guarantee.
func (ses *Session) RecordViolation(format string, args ...any) {
	ses.mu.Lock()
	defer ses.mu.Unlock()
	if len(ses.violations) < maxViolations {
		ses.violations = append(ses.violations, fmt.Sprintf(format, args...))
	}
}

// play sends every request at its time and waits until all have ended.
func (ses *Session) play(ctx context.Context, name string) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	plan := PlanArrivals(ses.cfg.Seed, ses.variant.Length, ses.variant.Workloads)
	ses.began = ses.cfg.Now()
	ended := make(chan error, 1)
	if ses.variant.Script != nil {
		spt := &scriptRun{ses: ses, ended: ended}
		go spt.run(ctx)
	} else {
		ended <- nil
	}
	smp := &windowSampler{ses: ses, ended: make(chan struct{})}
	go smp.run(ctx)
	prg := &progress{ses: ses, name: name, plan: len(plan)}
	go prg.loop(ctx)
	for _, arr := range plan {
		if err := ses.WaitUntil(ctx, arr.At); err != nil {
			return err
		}
		ses.pending.Add(1)
		ses.open.Add(1)
		job := &job{ses: ses, arr: arr, stm: ses.variant.Workloads[arr.Workload]}
		go job.run(ctx)
	}
	late := time.AfterFunc(drainTime, cancel)
	defer late.Stop()
	ses.pending.Wait()
	<-smp.ended
	return <-ended
}

func (ses *Session) close() {
	for _, cal := range ses.callers {
		cal.Close()
	}
}

// collect adds what the stand-ins counted to the recorder.
func (ses *Session) collect() {
	ses.Recorder.AddCount(promptRefusedBeside, ses.refusedBeside())
	for _, eng := range ses.Fleet.Engines {
		counts := eng.Fake.Counts()
		ses.Recorder.AddCount("Engine.PromptTokensComputed", int64(counts.PromptTokensComputed))
		ses.Recorder.AddCount("Engine.PromptTokensCached", int64(counts.PromptTokensCached))
		ses.Recorder.AddCount("Engine.TokensGenerated", int64(counts.TokensGenerated))
		ses.Recorder.AddCount("Engine.Requests", int64(counts.Requests))
	}
	for _, app := range ses.Fleet.Apps {
		view := app.Fake.Snapshot()
		ses.Recorder.AddCount("App.Lookups", int64(view.Lookups))
		ses.Recorder.AddCount("App.Executions", int64(len(view.Executions)))
		seen := make(map[string]bool)
		for _, exe := range view.Executions {
			if seen[exe.Key] {
				ses.RecordViolation("action %s ran more than once", exe.Key)
			}
			seen[exe.Key] = true
		}
	}
}

// scriptRun runs the script of a variant.
type scriptRun struct {
	ses   *Session
	ended chan error
}

func (spt *scriptRun) run(ctx context.Context) { spt.ended <- spt.ses.variant.Script(ctx, spt.ses) }

// progress prints a line each second.
type progress struct {
	ses  *Session
	name string
	plan int
}

func (prg *progress) loop(ctx context.Context) {
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			_, _ = fmt.Fprintf(prg.ses.cfg.Progress, "%s %s: %v, %d requests open, %d done of %d\n", prg.name, prg.ses.variant.Policy,
				prg.ses.Elapsed().Round(time.Second), prg.ses.open.Load(), prg.ses.Recorder.Count("Done"), prg.plan)
		case <-ctx.Done():
			return
		}
	}
}
