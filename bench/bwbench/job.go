package bwbench

import (
	"context"
	"errors"
	"fmt"
	"time"

	"bilberrywick/bench/bwcaller"
	"bilberrywick/cmd/bwdev"
	"bilberrywick/core/bwmodel"
)

// job is one request of the load.
type job struct {
	ses *Session
	arr Arrival
	stm Workload
}

func (jb *job) run(ctx context.Context) {
	defer jb.ses.pending.Done()
	defer jb.ses.open.Add(-1)
	jb.ses.Recorder.AddCount(jb.name("Sent"), 1)
	switch jb.stm.Kind {
	case Lookup:
		jb.look(ctx)
	case Action:
		jb.act(ctx)
	default:
		jb.generate(ctx)
	}
}

// count adds the request to a count when a time since the start lies within the
// window. Work done is counted by its first token: counted by its arrival, work
// that queues at the window's end would count against capacity after it.
func (jb *job) count(measure string, since time.Duration, by int) {
	if jb.ses.variant.Window.holds(since) {
		jb.ses.Recorder.AddCount(jb.name(measure), int64(by))
	}
}

func (jb *job) name(measure string) string { return measure + "." + jb.stm.label() }

// label names the stream in the results.
func (stm Workload) label() string {
	label := string(stm.Kind)
	if stm.Class == bwmodel.DeferrableClass {
		label += "." + stm.Class.String()
	}
	if stm.LabelTeam {
		label += "." + string(stm.Team)
	}
	return label
}

func (jb *job) generate(ctx context.Context) {
	ses := jb.ses
	cal := ses.callers[jb.stm.Team]
	prompt := jb.stm.beginning(jb.arr.Ordinal) + fmt.Sprintf("Napíš venovanie číslo %d pre dom %s. ", jb.arr.Ordinal, jb.stm.Team)
	gen := bwcaller.GenerationRequest{Model: string(jb.stm.Service), Prompt: prompt, MaxTokens: jb.arr.Tokens, Class: jb.stm.Class}
	due := ses.began.Add(jb.arr.At)
	// The wait of this goroutine for a processor counts as latency too.
	late := ses.cfg.Now().Sub(due)
	jb.count("Window.Offered", jb.arr.At, jb.arr.Tokens)
	ans, err := cal.Generate(ctx, gen)
	if err != nil && ses.variant.RestartFailed && ans.Tokens > 0 {
		jb.restart(ctx, gen, ans)
		return
	}
	if jb.failed(err) {
		return
	}
	if jb.stm.Class == bwmodel.DeferrableClass {
		ses.deferrableStarted(due.Add(late + ans.FirstToken - ses.variant.StartDelay))
	}
	if err := bwdev.CheckGeneration(prompt, jb.arr.Tokens, ans); err != nil {
		ses.RecordViolation("generation %d: %v", jb.arr.Ordinal, err)
	}
	ses.Recorder.Observe(jb.name("FirstToken"), late+ans.FirstToken)
	if jb.stm.Deadline > 0 && late+ans.FirstToken <= jb.stm.Deadline {
		ses.Recorder.AddCount(jb.name("InTime"), 1)
		jb.count("Window.InTime", jb.arr.At+late+ans.FirstToken, jb.arr.Tokens)
	}
	ses.Recorder.Observe(jb.name("Elapsed"), late+ans.Elapsed)
	ses.Recorder.Observe(jb.name("LongestGap"), ans.LongestGap)
	jb.count("Window.Done", jb.arr.At+late+ans.FirstToken, jb.arr.Tokens)
	ses.Recorder.AddCount("TokensDelivered", int64(ans.Tokens))
	ses.Recorder.AddCount("Reconnects", int64(ans.Reconnects))
	ses.Recorder.AddCount(jb.name("Done"), 1)
	ses.Recorder.AddCount("Done", 1)
}

// restart repeats a generation that broke and measures the time until the
// caller has again as many tokens as before.
func (jb *job) restart(ctx context.Context, gen bwcaller.GenerationRequest, broken bwcaller.Completion) {
	ses := jb.ses
	began := ses.cfg.Now()
	total := 0
	recovered := false
	gen.OnTokens = func(tokens int, at time.Time) {
		total += tokens
		if total > broken.Tokens && !recovered {
			recovered = true
			ses.Recorder.Observe(jb.name("Recovery"), at.Sub(began))
		}
	}
	ses.Recorder.AddCount("TokensRepeated", int64(broken.Tokens))
	ans, err := ses.callers[jb.stm.Team].Generate(ctx, gen)
	if jb.failed(err) {
		return
	}
	ses.Recorder.AddCount("TokensDelivered", int64(ans.Tokens))
	ses.Recorder.AddCount(jb.name("Done"), 1)
	ses.Recorder.AddCount("Done", 1)
}

func (jb *job) look(ctx context.Context) {
	ses := jb.ses
	due := ses.began.Add(jb.arr.At)
	path := fmt.Sprintf("status/%d", jb.arr.Ordinal)
	_, err := ses.callers[jb.stm.Team].Lookup(ctx, string(jb.stm.Service), path)
	if jb.failed(err) {
		return
	}
	ses.Recorder.Observe(jb.name("Elapsed"), ses.cfg.Now().Sub(due))
	ses.Recorder.AddCount(jb.name("Done"), 1)
	ses.Recorder.AddCount("Done", 1)
}

func (jb *job) act(ctx context.Context) {
	ses := jb.ses
	due := ses.began.Add(jb.arr.At)
	key := fmt.Sprintf("action-%d", jb.arr.Ordinal)
	_, err := ses.callers[jb.stm.Team].RunAction(ctx, string(jb.stm.Service), "orders", key, []byte(key))
	if jb.failed(err) {
		return
	}
	ses.Recorder.Observe(jb.name("Elapsed"), ses.cfg.Now().Sub(due))
	ses.Recorder.AddCount(jb.name("Done"), 1)
	ses.Recorder.AddCount("Done", 1)
}

// failed counts an error by the outcome that it stated.
func (jb *job) failed(err error) bool {
	if err == nil {
		return false
	}
	var refused *bwcaller.ProblemError
	if errors.As(err, &refused) {
		jb.ses.Recorder.AddCount(jb.name("Refused")+"."+string(refused.Outcome), 1)
		jb.ses.Recorder.AddCount(jb.name("Unanswered"), 1)
		jb.ses.Recorder.RecordError(jb.name("Refused"), err)
		if jb.stm.Class == bwmodel.PromptClass {
			jb.ses.promptRefused(span{begin: jb.ses.began.Add(jb.arr.At), end: jb.ses.cfg.Now()})
		}
		return true
	}
	jb.ses.Recorder.AddCount(jb.name("Failed"), 1)
	jb.ses.Recorder.AddCount(jb.name("Unanswered"), 1)
	jb.ses.Recorder.RecordError(jb.name("Failed"), err)
	return true
}
