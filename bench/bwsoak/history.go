package bwsoak

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/anishathalye/porcupine"
)

// actionHistory records the operations on each key. Its clock is a counter, so
// that no two events have the same time.
type actionHistory struct {
	clock atomic.Int64

	mu  sync.Mutex
	ops map[string][]porcupine.Operation
}

const (
	// afterAllEvents is a time after every event of a history.
	afterAllEvents = int64(1) << 60
	// checkTimeout limits the search for a linearization of one history.
	checkTimeout = time.Minute
)

func newActionHistory() *actionHistory {
	return &actionHistory{ops: make(map[string][]porcupine.Operation)}
}

func (his *actionHistory) tick() int64 { return his.clock.Add(1) }

func (his *actionHistory) add(key string, call int64, out actionOutcome) {
	ret := his.tick()
	if out.unknown() && !out.requestNotRun {
		// The action may still run after the response.
		ret = afterAllEvents
	}
	his.append(key, porcupine.Operation{Call: call, Output: out, Return: ret})
}

// addExecutions adds the executions found at the end, when no action can run any
// more.
func (his *actionHistory) addExecutions(key string, executions []string) {
	call := afterAllEvents + his.tick()
	out := actionOutcome{final: true, executions: executions}
	his.append(key, porcupine.Operation{Call: call, Output: out, Return: call + 1})
}

func (his *actionHistory) append(key string, op porcupine.Operation) {
	his.mu.Lock()
	defer his.mu.Unlock()
	op.ClientId = len(his.ops[key])
	his.ops[key] = append(his.ops[key], op)
}

func (his *actionHistory) keys() []string {
	his.mu.Lock()
	defer his.mu.Unlock()
	names := make([]string, 0, len(his.ops))
	for key := range his.ops {
		names = append(names, key)
	}
	slices.Sort(names)
	return names
}

// contradictions returns the keys whose operations have no linearization in which
// every outcome is correct, or none that is found within checkTimeout.
func (his *actionHistory) contradictions() []string {
	model := actionModel.ToModel()
	var contradicting []string
	for _, key := range his.keys() {
		if porcupine.CheckOperationsTimeout(model, his.ops[key], checkTimeout) != porcupine.Ok {
			contradicting = append(contradicting, key)
		}
	}
	return contradicting
}

func (his *actionHistory) describe(key string) string {
	var txt strings.Builder
	for _, op := range his.ops[key] {
		out := op.Output.(actionOutcome)
		if out.final {
			fmt.Fprintf(&txt, "  at the end: executions %q\n", out.executions)
			continue
		}
		fmt.Fprintf(&txt, "  %d to %d: %s, this request not run: %v, response %q, error %v\n",
			op.Call, op.Return, out.name(), out.requestNotRun, out.response, out.err)
	}
	return txt.String()
}

// actionState is the model's state of one key. The response is empty while it is
// unknown.
type actionState struct {
	ran      bool
	response string
}

// actionModel requires that a key runs at most once, and that each outcome is
// correct at some time between the request and its response.
var actionModel = porcupine.NondeterministicModel{
	Init:  func() []any { return []any{actionState{}} },
	Step:  stepAction,
	Equal: func(one, two any) bool { return one == two },
}

func stepAction(state, _, output any) []any {
	current, out := state.(actionState), output.(actionOutcome)
	switch {
	case out.final:
		if len(out.executions) > 1 || current.ran != (len(out.executions) == 1) {
			return nil
		}
		if current.response != "" && current.response != out.executions[0] {
			return nil
		}
		return []any{current}
	case out.done:
		if current.ran && current.response != "" && current.response != out.response {
			return nil
		}
		return []any{actionState{ran: true, response: out.response}}
	case out.notRun:
		if current.ran {
			return nil
		}
		return []any{current}
	case out.requestNotRun || current.ran:
		return []any{current}
	}
	return []any{current, actionState{ran: true}}
}
