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

// request sends one request of the load and records its measures.
type request struct {
	ses      *Session
	arrival  Arrival
	workload Workload
}

func (req *request) run(ctx context.Context) {
	defer req.ses.pending.Done()
	defer req.ses.openRequests.Add(-1)
	req.ses.Recorder.AddCount(req.measure("Sent"), 1)
	switch req.workload.Kind {
	case Lookup:
		req.lookup(ctx)
	case Action:
		req.runAction(ctx)
	default:
		req.generate(ctx)
	}
}

// countInWindow adds to a count if a time since the start of the load lies within
// the window. Finished work is counted at its first token: if it were counted at
// its arrival, requests that are queued at the end of the window would use
// capacity that lies after it.
func (req *request) countInWindow(measure string, since time.Duration, by int) {
	if req.ses.variant.Window.contains(since) {
		req.ses.Recorder.AddCount(req.measure(measure), int64(by))
	}
}

func (req *request) measure(name string) string { return name + "." + req.workload.resultLabel() }

// resultLabel returns the name of the workload in the results.
func (wkl Workload) resultLabel() string {
	label := string(wkl.Kind)
	if wkl.Class == bwmodel.DeferrableClass {
		label += "." + wkl.Class.String()
	}
	if wkl.LabelTeam {
		label += "." + string(wkl.Team)
	}
	return label
}

func (req *request) generate(ctx context.Context) {
	ses := req.ses
	cal := ses.callers[req.workload.Team]
	prompt := req.workload.sharedPrefixText(req.arrival.Ordinal) + fmt.Sprintf("Napíš venovanie číslo %d pre dom %s. ", req.arrival.Ordinal, req.workload.Team)
	gen := bwcaller.GenerationRequest{Model: string(req.workload.Service), Prompt: prompt, MaxTokens: req.arrival.Tokens, Class: req.workload.Class}
	due := ses.start.Add(req.arrival.At)
	// late is the delay until this goroutine runs; it counts as latency.
	late := ses.cfg.Now().Sub(due)
	req.countInWindow("Window.Offered", req.arrival.At, req.arrival.Tokens)
	cpl, err := cal.Generate(ctx, gen)
	if err != nil && ses.variant.RestartFailed && cpl.Tokens > 0 {
		req.restart(ctx, gen, cpl)
		return
	}
	if req.recordFailure(err) {
		return
	}
	if req.workload.Class == bwmodel.DeferrableClass {
		ses.addDeferrableStart(due.Add(late + cpl.FirstToken - ses.variant.StartDelay))
	}
	if err := bwdev.CheckGeneration(prompt, req.arrival.Tokens, cpl); err != nil {
		ses.RecordViolation("generation %d: %v", req.arrival.Ordinal, err)
	}
	ses.Recorder.Observe(req.measure("FirstToken"), late+cpl.FirstToken)
	if req.workload.Deadline > 0 && late+cpl.FirstToken <= req.workload.Deadline {
		ses.Recorder.AddCount(req.measure("InTime"), 1)
		req.countInWindow("Window.InTime", req.arrival.At+late+cpl.FirstToken, req.arrival.Tokens)
	}
	ses.Recorder.Observe(req.measure("Elapsed"), late+cpl.Elapsed)
	ses.Recorder.Observe(req.measure("LongestGap"), cpl.LongestGap)
	req.countInWindow("Window.Done", req.arrival.At+late+cpl.FirstToken, req.arrival.Tokens)
	ses.Recorder.AddCount("TokensDelivered", int64(cpl.Tokens))
	ses.Recorder.AddCount("Reconnects", int64(cpl.Reconnects))
	ses.Recorder.AddCount(req.measure("Done"), 1)
	ses.Recorder.AddCount("Done", 1)
}

// restart repeats a failed generation and measures the time until the caller
// receives a token that the first attempt did not deliver.
func (req *request) restart(ctx context.Context, gen bwcaller.GenerationRequest, partial bwcaller.Completion) {
	ses := req.ses
	start := ses.cfg.Now()
	total := 0
	recovered := false
	gen.OnTokens = func(tokens int, at time.Time) {
		total += tokens
		if total > partial.Tokens && !recovered {
			recovered = true
			ses.Recorder.Observe(req.measure("Recovery"), at.Sub(start))
		}
	}
	ses.Recorder.AddCount("TokensRepeated", int64(partial.Tokens))
	cpl, err := ses.callers[req.workload.Team].Generate(ctx, gen)
	if req.recordFailure(err) {
		return
	}
	ses.Recorder.AddCount("TokensDelivered", int64(cpl.Tokens))
	ses.Recorder.AddCount(req.measure("Done"), 1)
	ses.Recorder.AddCount("Done", 1)
}

func (req *request) lookup(ctx context.Context) {
	ses := req.ses
	due := ses.start.Add(req.arrival.At)
	path := fmt.Sprintf("status/%d", req.arrival.Ordinal)
	_, err := ses.callers[req.workload.Team].Lookup(ctx, string(req.workload.Service), path)
	if req.recordFailure(err) {
		return
	}
	ses.Recorder.Observe(req.measure("Elapsed"), ses.cfg.Now().Sub(due))
	ses.Recorder.AddCount(req.measure("Done"), 1)
	ses.Recorder.AddCount("Done", 1)
}

func (req *request) runAction(ctx context.Context) {
	ses := req.ses
	due := ses.start.Add(req.arrival.At)
	key := fmt.Sprintf("action-%d", req.arrival.Ordinal)
	_, err := ses.callers[req.workload.Team].RunAction(ctx, string(req.workload.Service), "orders", key, []byte(key))
	if req.recordFailure(err) {
		return
	}
	ses.Recorder.Observe(req.measure("Elapsed"), ses.cfg.Now().Sub(due))
	ses.Recorder.AddCount(req.measure("Done"), 1)
	ses.Recorder.AddCount("Done", 1)
}

// recordFailure counts an error by its outcome and reports whether err is not nil.
func (req *request) recordFailure(err error) bool {
	if err == nil {
		return false
	}
	var problem *bwcaller.ProblemError
	if errors.As(err, &problem) {
		req.ses.Recorder.AddCount(req.measure("Refused")+"."+string(problem.Outcome), 1)
		req.ses.Recorder.AddCount(req.measure("Unanswered"), 1)
		req.ses.Recorder.RecordError(req.measure("Refused"), err)
		if req.workload.Class == bwmodel.PromptClass {
			req.ses.addPromptRefusal(timeSpan{begin: req.ses.start.Add(req.arrival.At), end: req.ses.cfg.Now()})
		}
		return true
	}
	req.ses.Recorder.AddCount(req.measure("Failed"), 1)
	req.ses.Recorder.AddCount(req.measure("Unanswered"), 1)
	req.ses.Recorder.RecordError(req.measure("Failed"), err)
	return true
}
