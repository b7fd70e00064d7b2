package bwbench

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"strings"
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
}

// Variant is one policy with its fleet, load and faults.
type Variant struct {
	Policy  string
	Fleet   bwdev.Config
	Streams []Stream
	Length  time.Duration
	// Script injects faults while the load runs; may be nil.
	Script func(context.Context, *Session) error
	// Restart makes callers repeat a failed generation from the beginning.
	Restart bool
	// Direct sends the load past the routers, straight to this path; it is for
	// the router's own cost. May be nil.
	Direct func(*bwdev.Fleet) []netip.AddrPort
}

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
	Fleet *bwdev.Fleet
	Rec   *Recorder

	cfg     Config
	variant Variant
	began   time.Time
	callers map[bwmodel.TeamID]*bwcaller.Caller
	pending sync.WaitGroup
	open    atomic.Int64

	mu         sync.Mutex
	violations []string
}

// maxViolations bounds the violations that are kept; one is enough to fail.
const maxViolations = 20

// reconnectTime is how long callers try to get the rest of an answer.
const reconnectTime = 10 * time.Second

// drainTime is how long a run waits for its requests after the last arrival.
const drainTime = 60 * time.Second

// RunAll runs every variant of an experiment, one after the other.
func RunAll(ctx context.Context, exp Experiment, cfg Config) ([]Run, error) {
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
		Rec:     NewRecorder(),
		cfg:     cfg,
		variant: vrt,
		callers: make(map[bwmodel.TeamID]*bwcaller.Caller),
	}
	vrt.Fleet.Resumed = ses.resumed
	vrt.Fleet.LogOutput = cfg.LogOutput
	flt, err := bwdev.Start(ctx, vrt.Fleet)
	if err != nil {
		return Run{}, err
	}
	defer flt.Close()
	ses.Fleet = flt
	entries := flt.Callers
	if vrt.Direct != nil {
		entries = func() []netip.AddrPort { return vrt.Direct(flt) }
	}
	reconnect := reconnectTime
	if vrt.Restart {
		reconnect = 0
	}
	for _, team := range flt.Teams() {
		ses.callers[team.Name] = bwcaller.New(bwcaller.Config{
			Routers:   entries,
			Key:       team.Key,
			Reconnect: reconnect,
			Now:       cfg.Now,
		})
	}
	defer ses.close()
	if err := ses.play(ctx, name); err != nil {
		return Run{}, err
	}
	elapsed := cfg.Now().Sub(ses.began)
	ses.collect()
	res := newResult(name, vrt.Policy, cfg.Seed, ses.began, elapsed, ses.Rec)
	res.Violations = ses.violations
	return Run{Result: res, Recorder: ses.Rec}, nil
}

// resumed records a resume that a router reported.
func (ses *Session) resumed(cause string, took time.Duration, recomputed int) {
	ses.Rec.Observe("Resume."+cause, took)
	ses.Rec.Add("TokensRecomputed", int64(recomputed))
}

// Elapsed returns the time since the load began.
func (ses *Session) Elapsed() time.Duration { return ses.cfg.Now().Sub(ses.began) }

// Wait waits until a time since the start of the load, or returns the context's error.
func (ses *Session) Wait(ctx context.Context, since time.Duration) error {
	tmr := time.NewTimer(since - ses.Elapsed())
	defer tmr.Stop()
	select {
	case <-tmr.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Violate records a broken guarantee.
func (ses *Session) Violate(format string, args ...any) {
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
	plan := Plan(ses.cfg.Seed, ses.variant.Length, ses.variant.Streams)
	ses.began = ses.cfg.Now()
	ended := make(chan error, 1)
	if ses.variant.Script != nil {
		spt := &scriptRun{ses: ses, ended: ended}
		go spt.run(ctx)
	} else {
		ended <- nil
	}
	prg := &progress{ses: ses, name: name, plan: len(plan)}
	go prg.loop(ctx)
	for _, arr := range plan {
		if err := ses.Wait(ctx, arr.At); err != nil {
			return err
		}
		ses.pending.Add(1)
		ses.open.Add(1)
		job := &job{ses: ses, arr: arr, stm: ses.variant.Streams[arr.Stream]}
		go job.run(ctx)
	}
	late := time.AfterFunc(drainTime, cancel)
	defer late.Stop()
	ses.pending.Wait()
	return <-ended
}

func (ses *Session) close() {
	for _, cal := range ses.callers {
		cal.Close()
	}
}

// collect adds what the stand-ins counted to the recorder.
func (ses *Session) collect() {
	for _, eng := range ses.Fleet.Engines {
		counts := eng.Fake.Counts()
		ses.Rec.Add("Engine.PromptTokensComputed", int64(counts.PromptTokensComputed))
		ses.Rec.Add("Engine.PromptTokensCached", int64(counts.PromptTokensCached))
		ses.Rec.Add("Engine.TokensGenerated", int64(counts.TokensGenerated))
		ses.Rec.Add("Engine.Requests", int64(counts.Requests))
	}
	for _, app := range ses.Fleet.Apps {
		view := app.Fake.Snapshot()
		ses.Rec.Add("App.Lookups", int64(view.Lookups))
		ses.Rec.Add("App.Executions", int64(len(view.Executions)))
		seen := make(map[string]bool)
		for _, exe := range view.Executions {
			if seen[exe.Key] {
				ses.Violate("action %s ran more than once", exe.Key)
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
				prg.ses.Elapsed().Round(time.Second), prg.ses.open.Load(), prg.ses.Rec.Count("Done"), prg.plan)
		case <-ctx.Done():
			return
		}
	}
}

// job is one request of the load.
type job struct {
	ses *Session
	arr Arrival
	stm Stream
}

func (jb *job) run(ctx context.Context) {
	defer jb.ses.pending.Done()
	defer jb.ses.open.Add(-1)
	switch jb.stm.Kind {
	case Lookup:
		jb.look(ctx)
	case Action:
		jb.act(ctx)
	default:
		jb.generate(ctx)
	}
}

func (jb *job) name(measure string) string { return measure + "." + jb.stm.label() }

// label names the stream in the results.
func (stm Stream) label() string {
	label := string(stm.Kind)
	if stm.Class == bwmodel.Deferrable {
		label += "." + stm.Class.String()
	}
	if stm.Labeled {
		label += "." + string(stm.Team)
	}
	return label
}

// beginning returns the long text that a prompt shares with others.
func (stm Stream) beginning(ordinal int) string {
	if stm.Beginnings == 0 {
		return ""
	}
	const repeats = 40
	// Fibonacci hashing, so that the order is unlike that of any policy.
	text := (uint64(ordinal) * 0x9e3779b97f4a7c15 >> 32) % uint64(stm.Beginnings)
	return strings.Repeat(fmt.Sprintf("Pravidlá dielne číslo %d. ", text), repeats)
}

func (jb *job) generate(ctx context.Context) {
	ses := jb.ses
	cal := ses.callers[jb.stm.Team]
	prompt := jb.stm.beginning(jb.arr.Ordinal) + fmt.Sprintf("Napíš venovanie číslo %d pre dom %s. ", jb.arr.Ordinal, jb.stm.Team)
	gen := bwcaller.Generation{Model: string(jb.stm.Service), Prompt: prompt, MaxTokens: jb.arr.Tokens, Class: jb.stm.Class}
	due := ses.began.Add(jb.arr.At)
	ans, err := cal.Generate(ctx, gen)
	if err != nil && ses.variant.Restart && ans.Tokens > 0 {
		jb.restart(ctx, gen, ans)
		return
	}
	if jb.failed(err) {
		return
	}
	if err := bwdev.CheckAnswer(prompt, jb.arr.Tokens, ans); err != nil {
		ses.Violate("generation %d: %v", jb.arr.Ordinal, err)
	}
	late := ses.began.Add(ses.Elapsed()).Sub(due) - ans.Elapsed
	ses.Rec.Observe(jb.name("FirstToken"), late+ans.FirstToken)
	if jb.stm.Deadline > 0 && late+ans.FirstToken <= jb.stm.Deadline {
		ses.Rec.Add(jb.name("InTime"), 1)
	}
	ses.Rec.Observe(jb.name("Elapsed"), late+ans.Elapsed)
	ses.Rec.Observe(jb.name("LongestGap"), ans.LongestGap)
	ses.Rec.Add("TokensDelivered", int64(ans.Tokens))
	ses.Rec.Add("Reconnects", int64(ans.Reconnects))
	ses.Rec.Add(jb.name("Done"), 1)
	ses.Rec.Add("Done", 1)
}

// restart repeats a generation that broke and measures the time until the
// caller has again as many tokens as before.
func (jb *job) restart(ctx context.Context, gen bwcaller.Generation, broken bwcaller.Answer) {
	ses := jb.ses
	began := ses.cfg.Now()
	total := 0
	recovered := false
	gen.Received = func(tokens int, at time.Time) {
		total += tokens
		if total > broken.Tokens && !recovered {
			recovered = true
			ses.Rec.Observe(jb.name("Recovery"), at.Sub(began))
		}
	}
	ses.Rec.Add("TokensRepeated", int64(broken.Tokens))
	ans, err := ses.callers[jb.stm.Team].Generate(ctx, gen)
	if jb.failed(err) {
		return
	}
	ses.Rec.Add("TokensDelivered", int64(ans.Tokens))
	ses.Rec.Add(jb.name("Done"), 1)
	ses.Rec.Add("Done", 1)
}

func (jb *job) look(ctx context.Context) {
	ses := jb.ses
	due := ses.began.Add(jb.arr.At)
	path := fmt.Sprintf("status/%d", jb.arr.Ordinal)
	_, err := ses.callers[jb.stm.Team].Look(ctx, string(jb.stm.Service), path)
	if jb.failed(err) {
		return
	}
	ses.Rec.Observe(jb.name("Elapsed"), ses.cfg.Now().Sub(due))
	ses.Rec.Add(jb.name("Done"), 1)
	ses.Rec.Add("Done", 1)
}

func (jb *job) act(ctx context.Context) {
	ses := jb.ses
	due := ses.began.Add(jb.arr.At)
	key := fmt.Sprintf("action-%d", jb.arr.Ordinal)
	_, err := ses.callers[jb.stm.Team].Act(ctx, string(jb.stm.Service), "orders", key, []byte(key))
	if jb.failed(err) {
		return
	}
	ses.Rec.Observe(jb.name("Elapsed"), ses.cfg.Now().Sub(due))
	ses.Rec.Add(jb.name("Done"), 1)
	ses.Rec.Add("Done", 1)
}

// failed counts an error by the outcome that it stated.
func (jb *job) failed(err error) bool {
	if err == nil {
		return false
	}
	var refused *bwcaller.RefusedError
	if errors.As(err, &refused) {
		jb.ses.Rec.Add(jb.name("Refused")+"."+string(refused.Outcome), 1)
		return true
	}
	jb.ses.Rec.Add(jb.name("Failed"), 1)
	jb.ses.Rec.Sample(jb.name("Failed"), err)
	return true
}
