package bwfakestore_test

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"bilberrywick/core/bwmodel"
	"bilberrywick/core/bwticket"
	"bilberrywick/io/bwstore"
	"bilberrywick/standin/bwfakestore"
)

// historyInput is one operation of an operator: it submits a ticket or reads the history.
type historyInput struct {
	number bwmodel.TicketNumber
	// content distinguishes tickets with the same number.
	content int
	// readHistory is set to read the whole history.
	readHistory bool
}

// historyOutput is the result of an operation.
type historyOutput struct {
	accepted       bool
	outcomeUnknown bool
	unavailable    bool
	previous       bwmodel.TicketNumber
	numberTaken    bool
	history        []historyInput
}

// historyState is the model's state: the history of accepted tickets.
type historyState struct{ tickets []historyInput }

func (hs historyState) lastNumber() bwmodel.TicketNumber {
	if len(hs.tickets) == 0 {
		return 0
	}
	return hs.tickets[len(hs.tickets)-1].number
}

func (hs historyState) find(num bwmodel.TicketNumber) int {
	return slices.IndexFunc(hs.tickets, func(inp historyInput) bool { return inp.number == num })
}

func (hs historyState) withTicket(inp historyInput) historyState {
	return historyState{tickets: append(slices.Clone(hs.tickets), inp)}
}

// stepHistory returns the possible states after an operation.
func stepHistory(state, input, output any) []any {
	st, inp, out := state.(historyState), input.(historyInput), output.(historyOutput)
	if inp.readHistory {
		if out.unavailable || slices.EqualFunc(st.tickets, out.history, func(aa, bb historyInput) bool { return aa == bb }) {
			return []any{st}
		}
		return nil
	}
	ix := st.find(inp.number)
	same := ix >= 0 && st.tickets[ix] == inp
	possible := ix < 0 && inp.number > st.lastNumber()
	switch {
	case out.unavailable:
		return []any{st}
	case out.outcomeUnknown && possible:
		return []any{st, st.withTicket(inp)}
	case out.outcomeUnknown:
		return []any{st}
	case out.accepted && same:
		previous := bwmodel.TicketNumber(0)
		if ix > 0 {
			previous = st.tickets[ix-1].number
		}
		return statesIf(st, previous == out.previous)
	case out.accepted:
		return statesIf(st.withTicket(inp), possible && st.lastNumber() == out.previous)
	case out.numberTaken:
		return statesIf(st, ix >= 0 && !same)
	}
	return statesIf(st, ix < 0 && !possible)
}

func statesIf(st historyState, holds bool) []any {
	if !holds {
		return nil
	}
	return []any{st}
}

// operatorRace runs operators that submit tickets with conflicting numbers, and
// records their operations.
type operatorRace struct {
	t     *testing.T
	srv   *bwfakestore.Server
	store *bwstore.Client
	start time.Time
	mu    sync.Mutex
	ops   []porcupine.Operation
	done  sync.WaitGroup
}

// operator is one operator with its own random number generator.
type operator struct {
	race *operatorRace
	id   int
	rng  *rand.Rand
}

const (
	operators   = 4
	submissions = 12
)

func (opr *operator) run(ctx context.Context) {
	defer opr.race.done.Done()
	tks := bwstore.NewTicketStore(opr.race.store.Table)
	reg := tks.Registry(func() *bwticket.State { return nil })
	for round := range submissions {
		opr.setRandomFaults()
		inp := historyInput{number: bwmodel.TicketNumber(round*2 + 1 + opr.rng.IntN(5)), content: 1 + opr.rng.IntN(3)}
		if opr.rng.IntN(5) == 0 {
			inp = historyInput{readHistory: true}
		}
		call := time.Since(opr.race.start).Nanoseconds()
		opr.race.record(opr.id, inp, call, opr.execute(ctx, tks, reg, inp))
	}
}

// setRandomFaults injects at most one random fault into the next requests.
func (opr *operator) setRandomFaults() {
	faults := bwfakestore.Faults{}
	switch opr.rng.IntN(7) {
	case 0:
		faults.LoseResponses = 1
	case 1:
		faults.DelayWrites, faults.DelayTime = 1, 20*time.Millisecond
	case 2:
		faults.Throttle = 1
	case 3:
		faults.DelayResponses, faults.DelayTime = 1, 10*time.Millisecond
	}
	opr.race.srv.SetFaults(bwfakestore.TableService, faults)
}

func (opr *operator) execute(ctx context.Context, tks *bwstore.TicketStore, reg *bwticket.Registry, inp historyInput) historyOutput {
	if inp.readHistory {
		accs, err := tks.TicketsAfter(ctx, 0)
		out := historyOutput{unavailable: err != nil}
		for _, acc := range accs {
			out.history = append(out.history, historyInput{number: acc.Ticket.Number, content: acc.Ticket.Services[0].QueueLimit})
		}
		return out
	}
	acc, err := reg.Submit(ctx, bwticket.Ticket{Number: inp.number, Services: []bwmodel.Service{{
		Name: "review-desk", Kind: bwmodel.ModelService, Class: bwmodel.PromptClass, QueueLimit: inp.content, Deadline: time.Second,
	}}})
	var conflict *bwticket.ConflictError
	switch {
	case err == nil:
		return historyOutput{accepted: true, previous: acc.Previous}
	case errors.As(err, &conflict):
		return historyOutput{numberTaken: conflict.NumberTaken}
	case errors.Is(err, bwticket.ErrOutcomeUnknown):
		return historyOutput{outcomeUnknown: true}
	case errors.Is(err, bwticket.ErrUnavailable):
		return historyOutput{unavailable: true}
	}
	opr.race.t.Errorf("ticket %d: %v", inp.number, err)
	return historyOutput{unavailable: true}
}

func (rc *operatorRace) record(client int, inp historyInput, call int64, out historyOutput) {
	end := time.Since(rc.start).Nanoseconds()
	if out.outcomeUnknown {
		// The write may be applied at any later time.
		end = math.MaxInt64
	}
	rc.mu.Lock()
	defer rc.mu.Unlock()
	if out.outcomeUnknown {
		// An operation without an end needs its own client ID.
		client = operators + len(rc.ops)
	}
	rc.ops = append(rc.ops, porcupine.Operation{ClientId: client, Input: inp, Call: call, Output: out, Return: end})
}

// Guards against two tickets with one number, a number inserted below a later one,
// an accepted ticket that is not in the history, and a refused one that is in it.
// Operators race while writes are lost, delayed and throttled.
func TestRacingOperatorsAreLinearizable(t *testing.T) {
	model := porcupine.NondeterministicModel{
		Init: func() []any { return []any{historyState{}} },
		Step: stepHistory,
		Equal: func(aa, bb any) bool {
			return slices.Equal(aa.(historyState).tickets, bb.(historyState).tickets)
		},
	}
	outputCounts := make(map[string]int)
	for seed := range uint64(8) {
		srv, cl := startServer(t)
		rc := &operatorRace{t: t, srv: srv, store: cl, start: time.Now()}
		for id := range operators {
			rc.done.Add(1)
			opr := &operator{race: rc, id: id, rng: rand.New(rand.NewPCG(seed, uint64(id)))}
			go opr.run(t.Context())
		}
		rc.done.Wait()
		for _, op := range rc.ops {
			out := op.Output.(historyOutput)
			out.previous, out.history = 0, nil
			outputCounts[fmt.Sprintf("%+v", out)]++
		}
		if res := porcupine.CheckOperationsTimeout(model.ToModel(), rc.ops, 20*time.Second); res != porcupine.Ok {
			t.Errorf("seed %d: history of %d operations is not linearizable: %v", seed, len(rc.ops), res)
		}
	}
	t.Log(slices.Sorted(maps.Keys(outputCounts)), outputCounts)
}
