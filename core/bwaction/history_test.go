package bwaction_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"

	"bilberrywick/core/bwaction"
	"bilberrywick/core/bwmodel"
)

// input is one operation of a history.
type input struct {
	key bwaction.Key
	// final marks the look at the service after everything has ended.
	final bool
}

// output is what a caller was told, or the executions that the service recorded.
type output struct {
	done, notRun, requestNotRun bool
	response                    string
	executions                  []int
	err                         error
}

// keyState is the truth about a key: the response is empty when it is not known.
type keyState struct {
	ran      bool
	response string
}

// atMostOnce says that an action runs at most once per key and that outcomes are
// true when they are given.
var atMostOnce = porcupine.NondeterministicModel{
	Partition: partitionByKey,
	Init:      func() []interface{} { return []interface{}{keyState{}} },
	Step:      stepKey,
	Equal:     func(one, two interface{}) bool { return one == two },
	DescribeOperation: func(in, out interface{}) string {
		return fmt.Sprintf("%v -> %+v %v", in, out, out.(output).err)
	},
}

func partitionByKey(ops []porcupine.Operation) [][]porcupine.Operation {
	parts := make(map[bwaction.Key][]porcupine.Operation)
	for _, op := range ops {
		key := op.Input.(input).key
		parts[key] = append(parts[key], op)
	}
	var all [][]porcupine.Operation
	for _, part := range parts {
		all = append(all, part)
	}
	return all
}

func stepKey(state, in, out interface{}) []interface{} {
	was, got := state.(keyState), out.(output)
	switch {
	case in.(input).final:
		if len(got.executions) > 1 || was.ran != (len(got.executions) == 1) {
			return nil
		}
		if was.response != "" && was.response != fmt.Sprint(got.executions[0]) {
			return nil
		}
		return []interface{}{was}
	case got.done:
		if was.ran && was.response != "" && was.response != got.response {
			return nil
		}
		return []interface{}{keyState{ran: true, response: got.response}}
	case got.notRun:
		if was.ran {
			return nil
		}
		return []interface{}{was}
	case got.requestNotRun || was.ran:
		return []interface{}{was}
	}
	return []interface{}{was, keyState{ran: true}}
}

// history records operations with a counter as its clock, so that no two
// events are at the same time.
type history struct {
	mu    sync.Mutex
	clock atomic.Int64
	ops   []porcupine.Operation
}

// never is later than every event of a history.
const never = int64(1) << 60

func (his *history) add(client int, in input, call int64, out output) {
	ret := his.clock.Add(1)
	if !out.done && !out.notRun && !in.final {
		// An action with an unknown outcome may still run after the answer.
		ret = never
	}
	his.mu.Lock()
	defer his.mu.Unlock()
	his.ops = append(his.ops, porcupine.Operation{ClientId: client, Input: in, Call: call, Output: out, Return: ret})
}

// client sends requests through its own router.
type client struct {
	id  int
	wld *world
	his *history
	wg  *sync.WaitGroup
}

const (
	historyKeys     = 3
	historyClients  = 4
	historyRequests = 6
)

func (cl *client) run(ctx context.Context) {
	defer cl.wg.Done()
	co := cl.wld.coordinator()
	for range historyRequests {
		cl.wld.wait(400 * time.Millisecond)
		cl.wld.mu.Lock()
		key := bwaction.Key{Team: "t1", Name: fmt.Sprint(cl.wld.rng.IntN(historyKeys))}
		kind := cl.wld.rng.IntN(6)
		cl.wld.mu.Unlock()
		req := bwaction.Request{Key: key, Service: "desk", HTTP: bwmodel.HTTPRequest{Body: []byte("x")}}
		call := cl.his.clock.Add(1)
		var done bwaction.Result
		var err error
		switch kind {
		case 0:
			done, err = co.Query(ctx, key)
		case 1:
			done, err = co.Reject(ctx, req, &bwaction.NotRunError{Reason: bwaction.NotAdmitted})
		default:
			done, err = co.Run(ctx, req)
		}
		cl.his.add(cl.id, input{key: key}, call, outputOf(done, err))
	}
}

func outputOf(done bwaction.Result, err error) output {
	if err == nil {
		return output{done: true, response: string(done.Response.Body)}
	}
	out := output{err: err}
	not, unk := new(bwaction.NotRunError), new(bwaction.UnknownOutcomeError)
	switch {
	case errors.As(err, &not):
		out.notRun = true
	case errors.As(err, &unk):
		out.requestNotRun = unk.RequestNotRun
	default:
		panic(fmt.Sprintf("an error that is not an outcome: %v", err))
	}
	return out
}

// record runs clients in a world and returns the history of what they were told.
func record(t *testing.T, seed uint64, flt faults) *history {
	t.Helper()
	his := new(history)
	synctest.Test(t, func(t *testing.T) {
		wld := newWorld(seed, flt, 2)
		ctx, cancel := context.WithCancel(t.Context())
		go (&disturber{wld: wld}).run(ctx)
		var wg sync.WaitGroup
		for id := range historyClients {
			wg.Add(1)
			go (&client{id: id, wld: wld, his: his, wg: &wg}).run(ctx)
		}
		wg.Wait()
		cancel()
		time.Sleep(time.Minute)
		synctest.Wait()
		for id := range historyKeys {
			key := bwaction.Key{Team: "t1", Name: fmt.Sprint(id)}
			call := never + his.clock.Add(1)
			out := output{executions: wld.executions[key]}
			his.ops = append(his.ops, porcupine.Operation{
				ClientId: historyClients, Input: input{key: key, final: true}, Call: call, Output: out, Return: call + 1,
			})
		}
	})
	return his
}

// Guards against an action that runs twice and against a false outcome, under
// each fault alone and all of them together.
func TestHistories(t *testing.T) {
	all := faults{
		tableFails: 0.05, tableUnsure: 0.1, messageLost: 0.1, messageLate: 0.1, replyLost: 0.1,
		appDiesBefore: 0.05, appDiesAfter: 0.1, appUnreachable: 0.1,
		pause: time.Second, restart: 2 * time.Second, outage: time.Second,
	}
	tests := []struct {
		name   string
		faults faults
	}{
		{"no faults", faults{}},
		{"router pauses", faults{pause: 2 * time.Second}},
		{"agent restarts", faults{restart: 500 * time.Millisecond}},
		{"table answers lost", faults{tableUnsure: 0.5}},
		{"table away", faults{tableFails: 0.2, outage: 300 * time.Millisecond}},
		{"dispatch late", faults{messageLate: 0.5}},
		{"replies lost", faults{replyLost: 0.5}},
		{"upstream dies", faults{appDiesBefore: 0.2, appDiesAfter: 0.3, appUnreachable: 0.2}},
		{"late dispatch and pause", faults{messageLate: 0.4, pause: 2 * time.Second}},
		{"pause and table answers lost", faults{tableUnsure: 0.4, pause: time.Second}},
		{"late dispatch and restart", faults{messageLate: 0.4, restart: 500 * time.Millisecond}},
		{"all", all},
	}
	const seeds = 40
	model := atMostOnce.ToModel()
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			counts := make(map[string]int)
			for seed := uint64(1); seed <= seeds; seed++ {
				his := record(t, seed, tt.faults)
				if !porcupine.CheckOperations(model, his.ops) {
					t.Errorf("seed %d: outcomes contradict at-most-once", seed)
					for _, op := range his.ops {
						t.Logf("%d-%d client %d %s", op.Call, op.Return, op.ClientId, model.DescribeOperation(op.Input, op.Output))
					}
					return
				}
				tally(counts, his)
			}
			t.Logf("seeds 1 to %d: %v", seeds, counts)
		})
	}
}

func tally(counts map[string]int, his *history) {
	for _, op := range his.ops {
		out := op.Output.(output)
		switch {
		case op.Input.(input).final:
			counts["Executions"] += len(out.executions)
		case out.done:
			counts["Done"]++
		case out.notRun:
			counts["NotRun"]++
		default:
			counts["Unknown"]++
		}
	}
}
