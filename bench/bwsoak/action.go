package bwsoak

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"bilberrywick/bench/bwcaller"
	"bilberrywick/core/bwretry"
	"bilberrywick/io/bwhttp"
	"bilberrywick/standin/bwfakeapp"
)

// actionWorker sends actions. Some requests reuse a recent key, query an outcome,
// or disconnect before the response.
type actionWorker struct {
	ses *session
	rng *rand.Rand
}

const (
	actionTimeout = 20 * time.Second
	// recentKeys is the number of latest keys from which a repeat selects one; it
	// is small, so that several callers use one key at the same time.
	recentKeys      = 12
	repeatShare     = 0.4
	queryShare      = 0.15
	disconnectShare = 0.05
)

func (aw *actionWorker) loop(ctx context.Context) {
	defer aw.ses.workers.Done()
	for !aw.ses.stopped(ctx) {
		number := aw.ses.actions.Add(1)
		if aw.rng.Float64() < repeatShare {
			number = max(1, number-1-int64(aw.rng.IntN(recentKeys)))
		}
		aw.sendAction(ctx, fmt.Sprintf("act-%d", number))
		bwretry.Pause(ctx, time.Duration(aw.rng.IntN(300))*time.Millisecond)
	}
}

func (aw *actionWorker) sendAction(ctx context.Context, key string) {
	limit := actionTimeout
	if aw.rng.Float64() < disconnectShare {
		limit = time.Duration(aw.rng.IntN(30)) * time.Millisecond
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	call := aw.ses.actionHistory.tick()
	var rsp bwcaller.Response
	var err error
	query := aw.rng.Float64() < queryShare
	if query {
		rsp, err = aw.ses.actionCaller.QueryAction(ctx, key)
	} else {
		rsp, err = aw.ses.actionCaller.RunAction(ctx, appServiceName, "orders", key, []byte("order of "+key))
	}
	out := outcomeFrom(rsp, err)
	// A query never runs an action, even if its response is lost.
	out.requestNotRun = out.requestNotRun || query
	aw.ses.actionHistory.add(key, call, out)
	aw.ses.recorder.AddCount("Actions"+out.name(), 1)
	if out.unknown() {
		aw.ses.recorder.AddCount("Unknown: "+errorGroup(err), 1)
	}
}

// actionOutcome is the outcome that a caller received, or the executions found at
// the end of the run.
type actionOutcome struct {
	done, notRun, requestNotRun bool
	response                    string
	// final is set when executions holds the responses of all executions.
	final      bool
	executions []string
	err        error
}

func (out actionOutcome) unknown() bool { return !out.done && !out.notRun && !out.final }

func (out actionOutcome) name() string {
	switch {
	case out.done:
		return "Done"
	case out.notRun:
		return "NotRun"
	}
	return "Unknown"
}

func outcomeFrom(rsp bwcaller.Response, err error) actionOutcome {
	if err == nil {
		return actionOutcome{done: true, response: string(rsp.Body)}
	}
	out := actionOutcome{err: err}
	problem := new(bwcaller.ProblemError)
	if errors.As(err, &problem) {
		out.notRun = problem.Outcome == bwhttp.OutcomeNotRun
		out.requestNotRun = problem.RequestOutcome == bwhttp.OutcomeNotRun
	}
	return out
}

// checkActions compares the outcomes that callers received with the executions of
// the apps.
func (ses *session) checkActions() {
	executions := make(map[string][]string)
	team := string(ses.fleet.Teams()[0].Name)
	for _, app := range ses.fleet.Apps {
		for _, exe := range app.Fake.Snapshot().Executions {
			rsp := bwfakeapp.Response{App: string(app.Name), Key: exe.Key, Path: exe.Path, Body: exe.Body, Number: exe.Number}
			// The app encodes its responses in the same way.
			buf, _ := json.Marshal(rsp)
			executions[exe.Key] = append(executions[exe.Key], string(buf)+"\n")
		}
	}
	for _, key := range ses.actionHistory.keys() {
		responses := executions[team+"/"+key]
		ses.recorder.AddCount("KeysUsed", 1)
		if len(responses) > 1 {
			ses.recorder.RecordViolation("AtMostOnce", key, "ran %d times: %q", len(responses), responses)
		}
		ses.actionHistory.addExecutions(key, responses)
	}
	for _, key := range ses.actionHistory.contradictions() {
		ses.recorder.RecordViolation("Outcome", key, "callers were told what contradicts the executions:\n%s", ses.actionHistory.describe(key))
	}
}
