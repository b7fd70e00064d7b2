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
	// finalRead marks the read of the service's executions after all requests have
	// ended.
	finalRead bool
}

// output is the outcome that a caller received, or the executions that the
// service recorded.
type output struct {
	done, notRun, requestNotRun bool
	response                    string
	executions                  []int
	err                         error
}

// keyState is the state of a key in the model; an unknown response is empty.
type keyState struct {
	ran      bool
	response string
}

// atMostOnce is the model in which an action runs at most once per key and each
// outcome is true when it is returned.
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
	before, got := state.(keyState), out.(output)
	switch {
	case in.(input).finalRead:
		if len(got.executions) > 1 || before.ran != (len(got.executions) == 1) {
			return nil
		}
		if before.response != "" && before.response != fmt.Sprint(got.executions[0]) {
			return nil
		}
		return []interface{}{before}
	case got.done:
		if before.ran && before.response != "" && before.response != got.response {
			return nil
		}
		return []interface{}{keyState{ran: true, response: got.response}}
	case got.notRun:
		if before.ran {
			return nil
		}
		return []interface{}{before}
	case got.requestNotRun || before.ran:
		return []interface{}{before}
	}
	return []interface{}{before, keyState{ran: true}}
}

// history records operations. Its clock is a counter, so that no two events have
// the same time.
type history struct {
	mu    sync.Mutex
	clock atomic.Int64
	ops   []porcupine.Operation
}

// endOfTime is later than every event of a history.
const endOfTime = int64(1) << 60

func (his *history) add(client int, in input, call int64, out output) {
	ret := his.clock.Add(1)
	if !out.done && !out.notRun && !in.finalRead {
		// An action with an unknown outcome may still run after the response.
		ret = endOfTime
	}
	his.mu.Lock()
	defer his.mu.Unlock()
	his.ops = append(his.ops, porcupine.Operation{ClientId: client, Input: in, Call: call, Output: out, Return: ret})
}

// client sends requests through its own router.
type client struct {
	id  int
	sim *simulation
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
	co := cl.sim.coordinator()
	for range historyRequests {
		cl.sim.wait(400 * time.Millisecond)
		cl.sim.mu.Lock()
		key := bwaction.Key{Team: "t1", Name: fmt.Sprint(cl.sim.rng.IntN(historyKeys))}
		kind := cl.sim.rng.IntN(6)
		cl.sim.mu.Unlock()
		req := bwaction.Request{Key: key, Service: "desk", HTTP: bwmodel.HTTPRequest{Body: []byte("x")}}
		call := cl.his.clock.Add(1)
		var done bwaction.Result
		var err error
		switch kind {
		case 0:
			done, err = co.Query(ctx, key)
		case 1:
			done, err = co.Refuse(ctx, req, &bwaction.NotRunError{Reason: bwaction.NotAdmitted})
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
		panic(fmt.Sprintf("error is not an outcome: %v", err))
	}
	return out
}

// recordHistory runs clients in a simulation and returns the history of their
// outcomes.
func recordHistory(t *testing.T, seed uint64, flt faults) *history {
	t.Helper()
	his := new(history)
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(seed, flt, 2)
		ctx, cancel := context.WithCancel(t.Context())
		go (&faultInjector{sim: sim}).run(ctx)
		var wg sync.WaitGroup
		for id := range historyClients {
			wg.Add(1)
			go (&client{id: id, sim: sim, his: his, wg: &wg}).run(ctx)
		}
		wg.Wait()
		cancel()
		time.Sleep(time.Minute)
		synctest.Wait()
		for id := range historyKeys {
			key := bwaction.Key{Team: "t1", Name: fmt.Sprint(id)}
			call := endOfTime + his.clock.Add(1)
			out := output{executions: sim.executions[key]}
			his.ops = append(his.ops, porcupine.Operation{
				ClientId: historyClients, Input: input{key: key, finalRead: true}, Call: call, Output: out, Return: call + 1,
			})
		}
	})
	return his
}

// Guards against an action that runs twice and against a false outcome, with
// each fault alone, some pairs, and all faults together.
func TestAtMostOnceHistories(t *testing.T) {
	all := faults{
		tableFails: 0.05, tableResponseLost: 0.1, messageLost: 0.1, messageDelayed: 0.1, responseLost: 0.1,
		appFailsBefore: 0.05, appFailsAfter: 0.1, appUnreachable: 0.1,
		pause: time.Second, restart: 2 * time.Second, outage: time.Second,
	}
	tests := []struct {
		name   string
		faults faults
	}{
		{"no faults", faults{}},
		{"router pauses", faults{pause: 2 * time.Second}},
		{"agent restarts", faults{restart: 500 * time.Millisecond}},
		{"table responses lost", faults{tableResponseLost: 0.5}},
		{"table unavailable", faults{tableFails: 0.2, outage: 300 * time.Millisecond}},
		{"dispatch delayed", faults{messageDelayed: 0.5}},
		{"responses lost", faults{responseLost: 0.5}},
		{"upstream fails", faults{appFailsBefore: 0.2, appFailsAfter: 0.3, appUnreachable: 0.2}},
		{"delayed dispatch and pause", faults{messageDelayed: 0.4, pause: 2 * time.Second}},
		{"pause and table responses lost", faults{tableResponseLost: 0.4, pause: time.Second}},
		{"delayed dispatch and restart", faults{messageDelayed: 0.4, restart: 500 * time.Millisecond}},
		{"all", all},
	}
	const seeds = 40
	model := atMostOnce.ToModel()
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			counts := make(map[string]int)
			for seed := uint64(1); seed <= seeds; seed++ {
				his := recordHistory(t, seed, tt.faults)
				if !porcupine.CheckOperations(model, his.ops) {
					t.Errorf("seed %d: outcomes violate at-most-once", seed)
					for _, op := range his.ops {
						t.Logf("%d-%d client %d %s", op.Call, op.Return, op.ClientId, model.DescribeOperation(op.Input, op.Output))
					}
					return
				}
				countOutcomes(counts, his)
			}
			t.Logf("seeds 1 to %d: %v", seeds, counts)
		})
	}
}

func countOutcomes(counts map[string]int, his *history) {
	for _, op := range his.ops {
		out := op.Output.(output)
		switch {
		case op.Input.(input).finalRead:
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
