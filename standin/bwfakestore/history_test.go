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

// submit is a ticket that an operator submits; content tells two with one number apart.
type submit struct {
	number  bwmodel.TicketNumber
	content int
	// read asks for the whole history instead.
	read bool
}

// outcome is what an operator was told.
type outcome struct {
	accepted bool
	unsure   bool
	away     bool
	previous bwmodel.TicketNumber
	taken    bool
	history  []submit
}

// historyState is the history of tickets as the model has it.
type historyState struct{ tickets []submit }

func (hs historyState) head() bwmodel.TicketNumber {
	if len(hs.tickets) == 0 {
		return 0
	}
	return hs.tickets[len(hs.tickets)-1].number
}

func (hs historyState) find(num bwmodel.TicketNumber) int {
	return slices.IndexFunc(hs.tickets, func(sub submit) bool { return sub.number == num })
}

func (hs historyState) with(sub submit) historyState {
	return historyState{tickets: append(slices.Clone(hs.tickets), sub)}
}

// stepHistory returns the states that may follow an operation.
func stepHistory(state, input, output any) []any {
	st, sub, out := state.(historyState), input.(submit), output.(outcome)
	if sub.read {
		if out.away || slices.EqualFunc(st.tickets, out.history, func(aa, bb submit) bool { return aa == bb }) {
			return []any{st}
		}
		return nil
	}
	ix := st.find(sub.number)
	same := ix >= 0 && st.tickets[ix] == sub
	possible := ix < 0 && sub.number > st.head()
	switch {
	case out.away:
		return []any{st}
	case out.unsure && possible:
		return []any{st, st.with(sub)}
	case out.unsure:
		return []any{st}
	case out.accepted && same:
		previous := bwmodel.TicketNumber(0)
		if ix > 0 {
			previous = st.tickets[ix-1].number
		}
		return stateIf(st, previous == out.previous)
	case out.accepted:
		return stateIf(st.with(sub), possible && st.head() == out.previous)
	case out.taken:
		return stateIf(st, ix >= 0 && !same)
	}
	return stateIf(st, ix < 0 && !possible)
}

func stateIf(st historyState, holds bool) []any {
	if !holds {
		return nil
	}
	return []any{st}
}

// race lets operators submit tickets with clashing numbers, and records what
// they were told.
type race struct {
	t     *testing.T
	srv   *bwfakestore.Server
	store *bwstore.Client
	began time.Time
	mu    sync.Mutex
	ops   []porcupine.Operation
	done  sync.WaitGroup
}

// operator is one operator with its own random choices.
type operator struct {
	race *race
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
	for turn := range submissions {
		opr.fault()
		sub := submit{number: bwmodel.TicketNumber(turn*2 + 1 + opr.rng.IntN(5)), content: 1 + opr.rng.IntN(3)}
		if opr.rng.IntN(5) == 0 {
			sub = submit{read: true}
		}
		call := time.Since(opr.race.began).Nanoseconds()
		opr.race.record(opr.id, sub, call, opr.do(ctx, tks, reg, sub))
	}
}

// fault makes some of the next writes fail, in ways that differ by turn.
func (opr *operator) fault() {
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

func (opr *operator) do(ctx context.Context, tks *bwstore.TicketStore, reg *bwticket.Registry, sub submit) outcome {
	if sub.read {
		accs, err := tks.TicketsAfter(ctx, 0)
		out := outcome{away: err != nil}
		for _, acc := range accs {
			out.history = append(out.history, submit{number: acc.Ticket.Number, content: acc.Ticket.Services[0].QueueLimit})
		}
		return out
	}
	ans, err := reg.Submit(ctx, bwticket.Ticket{Number: sub.number, Services: []bwmodel.Service{{
		Name: "review-desk", Kind: bwmodel.ModelService, Class: bwmodel.PromptClass, QueueLimit: sub.content, Deadline: time.Second,
	}}})
	var conflict *bwticket.ConflictError
	switch {
	case err == nil:
		return outcome{accepted: true, previous: ans.Previous}
	case errors.As(err, &conflict):
		return outcome{taken: conflict.NumberTaken}
	case errors.Is(err, bwticket.ErrOutcomeUnknown):
		return outcome{unsure: true}
	case errors.Is(err, bwticket.ErrUnavailable):
		return outcome{away: true}
	}
	opr.race.t.Errorf("ticket %d: %v", sub.number, err)
	return outcome{away: true}
}

func (rc *race) record(client int, sub submit, call int64, out outcome) {
	end := time.Since(rc.began).Nanoseconds()
	if out.unsure {
		// The write may take effect at any later time.
		end = math.MaxInt64
	}
	rc.mu.Lock()
	defer rc.mu.Unlock()
	if out.unsure {
		// An operation without an end needs a client of its own.
		client = operators + len(rc.ops)
	}
	rc.ops = append(rc.ops, porcupine.Operation{ClientId: client, Input: sub, Call: call, Output: out, Return: end})
}

// Guards against two contents of one number, a number that is inserted below a
// later one, an accepted ticket that vanishes, and a refused one that is in the
// history: racing operators over the table with lost, late and throttled writes.
func TestRacingOperatorsAreLinearizable(t *testing.T) {
	model := porcupine.NondeterministicModel{
		Init: func() []any { return []any{historyState{}} },
		Step: stepHistory,
		Equal: func(aa, bb any) bool {
			return slices.Equal(aa.(historyState).tickets, bb.(historyState).tickets)
		},
	}
	kinds := make(map[string]int)
	for seed := range uint64(8) {
		srv, cl := start(t)
		rc := &race{t: t, srv: srv, store: cl, began: time.Now()}
		for id := range operators {
			rc.done.Add(1)
			opr := &operator{race: rc, id: id, rng: rand.New(rand.NewPCG(seed, uint64(id)))}
			go opr.run(t.Context())
		}
		rc.done.Wait()
		for _, op := range rc.ops {
			out := op.Output.(outcome)
			out.previous, out.history = 0, nil
			kinds[fmt.Sprintf("%+v", out)]++
		}
		if res := porcupine.CheckOperationsTimeout(model.ToModel(), rc.ops, 20*time.Second); res != porcupine.Ok {
			t.Errorf("seed %d: history of %d operations is not linearizable: %v", seed, len(rc.ops), res)
		}
	}
	t.Log(slices.Sorted(maps.Keys(kinds)), kinds)
}
