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

// Experiment compares policies under the same load and the same fault script.
type Experiment struct {
	Name     string
	Goal     string
	Variants []Variant
	// Goals are checked against the results of the finished runs.
	Goals []Goal
}

// Variant is one policy with its fleet, workloads and faults.
type Variant struct {
	Policy    string
	Fleet     bwdev.Config
	Workloads []Workload
	Length    time.Duration
	// Window is the part of the load that has its own counts; the zero value
	// means none.
	Window Window
	// StartDelay is the time that an idle engine needs for the first token.
	StartDelay time.Duration
	// Script injects faults while the load runs; it may be nil.
	Script func(context.Context, *Session) error
	// RestartFailed makes callers repeat a failed generation from the first token.
	RestartFailed bool
	// DirectAddresses returns the addresses that receive the load instead of the
	// routers, to measure the overhead of the routers; it may be nil.
	DirectAddresses func(*bwdev.Fleet) []netip.AddrPort
}

// Window is a part of a run, counted from the start of the load.
type Window struct {
	Begin time.Duration
	End   time.Duration
}

// contains reports whether a time since the start lies in the window.
func (win Window) contains(since time.Duration) bool { return since >= win.Begin && since < win.End }

// Config configures the runs of experiments.
type Config struct {
	Seed uint64
	// Progress receives a line each second; nil discards the lines.
	Progress io.Writer
	// LogOutput receives the logs of the fleet's processes.
	LogOutput io.Writer
	// Now reads the clock; nil means time.Now.
	Now func() time.Time
}

// Session is the run of one variant while it is in progress.
type Session struct {
	Fleet    *bwdev.Fleet
	Recorder *Recorder

	cfg          Config
	variant      Variant
	start        time.Time
	callers      map[bwmodel.TeamID]*bwcaller.Caller
	pending      sync.WaitGroup
	openRequests atomic.Int64

	mu               sync.Mutex
	violations       []string
	refusals         []timeSpan
	deferrableStarts []time.Time
}

// maxViolations limits the violations that a result lists; a single one fails the
// run.
const maxViolations = 20

// reconnectTimeout limits a caller's attempts to resume a broken stream.
const reconnectTimeout = 10 * time.Second

// drainTimeout limits the wait for open requests after the last arrival.
const drainTimeout = 60 * time.Second

// RunExperiment runs all variants of an experiment sequentially. On an error it
// returns the finished runs too.
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
	vrt.Fleet.OnResume = ses.recordResume
	vrt.Fleet.LogOutput = cfg.LogOutput
	flt, err := bwdev.Start(ctx, vrt.Fleet)
	if err != nil {
		return Run{}, err
	}
	defer flt.Close()
	ses.Fleet = flt
	targets := flt.CallerAddresses
	if vrt.DirectAddresses != nil {
		targets = func() []netip.AddrPort { return vrt.DirectAddresses(flt) }
	}
	reconnect := reconnectTimeout
	if vrt.RestartFailed {
		reconnect = 0
	}
	for _, team := range flt.Teams() {
		ses.callers[team.Name] = bwcaller.New(bwcaller.Config{
			Routers:          targets,
			Key:              team.Key,
			ReconnectTimeout: reconnect,
			Now:              cfg.Now,
		})
	}
	defer ses.close()
	usage, err := startUsage()
	if err != nil {
		return Run{}, err
	}
	if err := ses.runLoad(ctx, name); err != nil {
		return Run{}, err
	}
	elapsed := cfg.Now().Sub(ses.start)
	usage.recordSince(ses.Recorder)
	ses.collectCounts()
	res := newResult(name, vrt.Policy, cfg.Seed, ses.start, elapsed, ses.Recorder)
	res.Violations = ses.violations
	return Run{Result: res, Recorder: ses.Recorder}, nil
}

// recordResume records a resume that a router reports.
func (ses *Session) recordResume(cause string, latency time.Duration, recomputed int) {
	ses.Recorder.Observe("Resume."+cause, latency)
	ses.Recorder.Observe("Resume", latency)
	ses.Recorder.AddCount("TokensRecomputed", int64(recomputed))
}

// Elapsed returns the time since the start of the load.
func (ses *Session) Elapsed() time.Duration { return ses.cfg.Now().Sub(ses.start) }

// WaitUntil blocks until a time since the start of the load. It returns the
// context's error if the context ends first.
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

// RecordViolation records the violation of a guarantee.
func (ses *Session) RecordViolation(format string, args ...any) {
	ses.mu.Lock()
	defer ses.mu.Unlock()
	if len(ses.violations) < maxViolations {
		ses.violations = append(ses.violations, fmt.Sprintf(format, args...))
	}
}

// runLoad sends every request at its arrival time and waits until all have ended.
func (ses *Session) runLoad(ctx context.Context, name string) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	plan := PlanArrivals(ses.cfg.Seed, ses.variant.Length, ses.variant.Workloads)
	ses.start = ses.cfg.Now()
	ended := make(chan error, 1)
	if ses.variant.Script != nil {
		srn := &scriptRun{ses: ses, ended: ended}
		go srn.run(ctx)
	} else {
		ended <- nil
	}
	smp := &windowSampler{ses: ses, ended: make(chan struct{})}
	go smp.run(ctx)
	prg := &progressReporter{ses: ses, name: name, total: len(plan)}
	go prg.loop(ctx)
	for _, arr := range plan {
		if err := ses.WaitUntil(ctx, arr.At); err != nil {
			return err
		}
		ses.pending.Add(1)
		ses.openRequests.Add(1)
		req := &request{ses: ses, arrival: arr, workload: ses.variant.Workloads[arr.Workload]}
		go req.run(ctx)
	}
	late := time.AfterFunc(drainTimeout, cancel)
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

// collectCounts adds the counts of the stand-in engines and apps to the
// recorder and checks that no action ran twice.
func (ses *Session) collectCounts() {
	ses.Recorder.AddCount(promptRefusedMeasure, ses.promptRefusedCount())
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

// scriptRun runs the fault script of a variant.
type scriptRun struct {
	ses   *Session
	ended chan error
}

func (srn *scriptRun) run(ctx context.Context) { srn.ended <- srn.ses.variant.Script(ctx, srn.ses) }

// progressReporter prints a progress line each second.
type progressReporter struct {
	ses   *Session
	name  string
	total int
}

func (prg *progressReporter) loop(ctx context.Context) {
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			_, _ = fmt.Fprintf(prg.ses.cfg.Progress, "%s %s: %v, %d requests open, %d done of %d\n", prg.name, prg.ses.variant.Policy,
				prg.ses.Elapsed().Round(time.Second), prg.ses.openRequests.Load(), prg.ses.Recorder.Count("Done"), prg.total)
		case <-ctx.Done():
			return
		}
	}
}
