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

// actionWorker sends actions; some repeat a recent key, ask for an outcome, or
// leave before the answer.
type actionWorker struct {
	ses *session
	rng *rand.Rand
}

const (
	actionTime = 20 * time.Second
	// recentKeys is how far back a repeat goes; it makes several callers use one
	// key at the same time.
	recentKeys  = 12
	repeatShare = 0.4
	queryShare  = 0.15
	leaveShare  = 0.05
)

func (aw *actionWorker) loop(ctx context.Context) {
	defer aw.ses.workers.Done()
	for !aw.ses.stopped(ctx) {
		number := aw.ses.actions.Add(1)
		if aw.rng.Float64() < repeatShare {
			number = max(1, number-1-int64(aw.rng.IntN(recentKeys)))
		}
		aw.act(ctx, fmt.Sprintf("act-%d", number))
		bwretry.Pause(ctx, time.Duration(aw.rng.IntN(300))*time.Millisecond)
	}
}

func (aw *actionWorker) act(ctx context.Context, key string) {
	limit := actionTime
	if aw.rng.Float64() < leaveShare {
		limit = time.Duration(aw.rng.IntN(30)) * time.Millisecond
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	call := aw.ses.acts.now()
	var rep bwcaller.Response
	var err error
	query := aw.rng.Float64() < queryShare
	if query {
		rep, err = aw.ses.actor.QueryAction(ctx, key)
	} else {
		rep, err = aw.ses.actor.RunAction(ctx, serviceName, "orders", key, []byte("order of "+key))
	}
	out := outcomeOf(rep, err)
	// A query never runs anything, whatever became of its answer.
	out.requestNotRun = out.requestNotRun || query
	aw.ses.acts.add(key, call, out)
	aw.ses.rep.AddCount("Actions"+out.name(), 1)
	if out.unknown() {
		aw.ses.rep.AddCount("Unknown: "+reason(err), 1)
	}
}

// actionOutput is what a caller was told, or the executions found at the end.
type actionOutput struct {
	done, notRun, requestNotRun bool
	response                    string
	// final says that executions holds the responses of all executions.
	final      bool
	executions []string
	err        error
}

func (out actionOutput) unknown() bool { return !out.done && !out.notRun && !out.final }

func (out actionOutput) name() string {
	switch {
	case out.done:
		return "Done"
	case out.notRun:
		return "NotRun"
	}
	return "Unknown"
}

func outcomeOf(rep bwcaller.Response, err error) actionOutput {
	if err == nil {
		return actionOutput{done: true, response: string(rep.Body)}
	}
	out := actionOutput{err: err}
	refused := new(bwcaller.ProblemError)
	if errors.As(err, &refused) {
		out.notRun = refused.Outcome == bwhttp.OutcomeNotRun
		out.requestNotRun = refused.RequestOutcome == bwhttp.OutcomeNotRun
	}
	return out
}

// checkActions compares what callers were told with what the apps have run.
func (ses *session) checkActions() {
	executions := make(map[string][]string)
	team := string(ses.flt.Teams()[0].Name)
	for _, app := range ses.flt.Apps {
		for _, exe := range app.Fake.Snapshot().Executions {
			ans := bwfakeapp.Response{App: string(app.Name), Key: exe.Key, Path: exe.Path, Body: exe.Body, Number: exe.Number}
			// The encoding is that of the app's own answers.
			buf, _ := json.Marshal(ans)
			executions[exe.Key] = append(executions[exe.Key], string(buf)+"\n")
		}
	}
	for _, key := range ses.acts.keys() {
		ran := executions[team+"/"+key]
		ses.rep.AddCount("KeysUsed", 1)
		if len(ran) > 1 {
			ses.rep.RecordViolation("AtMostOnce", key, "ran %d times: %q", len(ran), ran)
		}
		ses.acts.finish(key, ran)
	}
	for _, key := range ses.acts.contradictions() {
		ses.rep.RecordViolation("Outcome", key, "callers were told what contradicts the executions:\n%s", ses.acts.describe(key))
	}
}
