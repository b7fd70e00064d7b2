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

// actionHistory records the operations on each key with a counter as its
// clock, so that no two events are at the same time.
type actionHistory struct {
	clock atomic.Int64

	mu  sync.Mutex
	ops map[string][]porcupine.Operation
}

const (
	// never is later than every event of a history.
	never = int64(1) << 60
	// checkTime bounds the search for an order of one history.
	checkTime = time.Minute
)

func newActionHistory() *actionHistory {
	return &actionHistory{ops: make(map[string][]porcupine.Operation)}
}

func (his *actionHistory) now() int64 { return his.clock.Add(1) }

func (his *actionHistory) add(key string, call int64, out actionOutput) {
	ret := his.now()
	if out.unknown() && !out.requestNotRun {
		// The action may still run after the answer.
		ret = never
	}
	his.append(key, porcupine.Operation{Call: call, Output: out, Return: ret})
}

// finish adds the executions that were found once nothing could run any more.
func (his *actionHistory) finish(key string, executions []string) {
	call := never + his.now()
	out := actionOutput{final: true, executions: executions}
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

// contradictions returns the keys whose operations have no order in which every
// outcome is true.
func (his *actionHistory) contradictions() []string {
	model := actionModel.ToModel()
	var wrong []string
	for _, key := range his.keys() {
		if porcupine.CheckOperationsTimeout(model, his.ops[key], checkTime) != porcupine.Ok {
			wrong = append(wrong, key)
		}
	}
	return wrong
}

func (his *actionHistory) describe(key string) string {
	var txt strings.Builder
	for _, op := range his.ops[key] {
		out := op.Output.(actionOutput)
		if out.final {
			fmt.Fprintf(&txt, "  at the end: executions %q\n", out.executions)
			continue
		}
		fmt.Fprintf(&txt, "  %d to %d: %s, this request not run: %v, response %q, error %v\n",
			op.Call, op.Return, out.name(), out.requestNotRun, out.response, out.err)
	}
	return txt.String()
}

// actionState is the truth about one key; the response is empty while unknown.
type actionState struct {
	ran      bool
	response string
}

// actionModel says that a key runs at most once and that each outcome is true at
// some moment between the request and its answer.
var actionModel = porcupine.NondeterministicModel{
	Init:  func() []any { return []any{actionState{}} },
	Step:  stepAction,
	Equal: func(one, two any) bool { return one == two },
}

func stepAction(state, _, output any) []any {
	was, out := state.(actionState), output.(actionOutput)
	switch {
	case out.final:
		if len(out.executions) > 1 || was.ran != (len(out.executions) == 1) {
			return nil
		}
		if was.response != "" && was.response != out.executions[0] {
			return nil
		}
		return []any{was}
	case out.done:
		if was.ran && was.response != "" && was.response != out.response {
			return nil
		}
		return []any{actionState{ran: true, response: out.response}}
	case out.notRun:
		if was.ran {
			return nil
		}
		return []any{was}
	case out.requestNotRun || was.ran:
		return []any{was}
	}
	return []any{was, actionState{ran: true}}
}
