package bwsoak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/anishathalye/porcupine"

	"bilberrywick/cmd/bwdev"
	"bilberrywick/core/bwmodel"
	"bilberrywick/core/bwretry"
	"bilberrywick/core/bwticket"
	"bilberrywick/io/bwfleet"
	"bilberrywick/io/bwstore"
	"bilberrywick/io/bwwire"
)

// operator submits tickets through any router and races the other operators.
type operator struct {
	ses *session
	id  int
	rng *rand.Rand
	// sent counts the submissions, so that each has its own content.
	sent int
}

const (
	applyTime    = 3 * time.Second
	readHeadTime = 2 * time.Second
)

func (op *operator) loop(ctx context.Context) {
	defer op.ses.workers.Done()
	for !op.ses.stopped(ctx) {
		op.ses.tks.quiet.RLock()
		op.submit(ctx)
		op.ses.tks.quiet.RUnlock()
		bwretry.Pause(ctx, time.Duration(100+op.rng.IntN(600))*time.Millisecond)
	}
}

// submit changes a team's weight; the number is at times one that is taken.
func (op *operator) submit(ctx context.Context) {
	op.sent++
	rtr := op.rng.IntN(routers)
	num := op.ses.flt.Router(rtr).Fleet().Snapshot().State.Number() + bwmodel.TicketNumber(op.rng.IntN(3))
	whole := op.ses.flt.FullTicket(num)
	doc := bwwire.TicketDocument{Number: num, Comment: fmt.Sprintf("operator %d, submission %d", op.id, op.sent), Teams: whole.Teams}
	doc.Teams[0].Weight = 1 + op.rng.IntN(9)
	_ = op.ses.apply(ctx, rtr, doc)
}

// apply submits a ticket through a router and records the answer.
func (ses *session) apply(ctx context.Context, router int, doc bwwire.TicketDocument) error {
	ctx, cancel := context.WithTimeout(ctx, applyTime)
	defer cancel()
	call := ses.tks.clock.Add(1)
	ans, err := ses.flt.Router(router).Fleet().SubmitTicket(ctx, doc)
	out := ticketOutput{previous: ans.Previous, err: err}
	var conflict *bwticket.ConflictError
	var faults bwticket.Faults
	switch {
	case err == nil:
		out.outcome = ticketAccepted
	case errors.As(err, &conflict):
		out.outcome = ticketConflict
	case errors.Is(err, bwticket.ErrUnavailable), errors.As(err, &faults):
		out.outcome = ticketNothing
	default:
		out.outcome = ticketUnknown
	}
	ses.tks.add(call, ticketInput{number: doc.Number, content: doc.Comment}, out)
	ses.rep.AddCount("Tickets"+string(out.outcome), 1)
	return err
}

// ticketHistory records what operators were told.
type ticketHistory struct {
	clock atomic.Int64
	// quiet is held for writing while no ticket may be submitted.
	quiet sync.RWMutex

	mu  sync.Mutex
	ops []porcupine.Operation
}

type ticketInput struct {
	number  bwmodel.TicketNumber
	content string
}

type ticketOutput struct {
	outcome  ticketOutcome
	previous bwmodel.TicketNumber
	err      error
}

type ticketOutcome string

const (
	ticketAccepted ticketOutcome = "Accepted"
	ticketConflict ticketOutcome = "Conflict"
	// ticketNothing says that nothing was written.
	ticketNothing ticketOutcome = "NotWritten"
	ticketUnknown ticketOutcome = "Unknown"
	// ticketFinal is the store's head at the end.
	ticketFinal ticketOutcome = "Final"
)

func newTicketHistory() *ticketHistory { return new(ticketHistory) }

func (his *ticketHistory) add(call int64, in ticketInput, out ticketOutput) {
	ret := his.clock.Add(1)
	if out.outcome == ticketUnknown {
		ret = never
	}
	if out.outcome == ticketFinal {
		call, ret = never+call, never+ret
	}
	his.mu.Lock()
	defer his.mu.Unlock()
	his.ops = append(his.ops, porcupine.Operation{ClientId: len(his.ops), Input: in, Call: call, Output: out, Return: ret})
}

// ticketState is the head and every accepted ticket.
type ticketState struct {
	head bwmodel.TicketNumber
	rows string
}

// firstTicket is the one that the fleet starts with.
const firstTicket = 1

var ticketModel = porcupine.NondeterministicModel{
	Init:  func() []any { return []any{ticketState{head: firstTicket}} },
	Step:  stepTicket,
	Equal: func(one, two any) bool { return one == two },
}

func stepTicket(state, input, output any) []any {
	was, in, out := state.(ticketState), input.(ticketInput), output.(ticketOutput)
	row := fmt.Sprintf("%d %s;", in.number, in.content)
	next := ticketState{head: in.number, rows: was.rows + row}
	switch out.outcome {
	case ticketAccepted:
		if in.number > was.head && out.previous == was.head {
			return []any{next}
		}
	case ticketConflict:
		if in.number <= was.head {
			return []any{was}
		}
	case ticketNothing:
		return []any{was}
	case ticketUnknown:
		if in.number > was.head {
			return []any{was, next}
		}
		return []any{was}
	case ticketFinal:
		if in.number == was.head {
			return []any{was}
		}
	}
	return nil
}

// checkTickets looks for an order of all submissions in which each answer is true.
func (ses *session) checkTickets(ctx context.Context) {
	head, err := ses.head(ctx)
	if err != nil {
		ses.rep.RecordViolation("TicketHistory", "head", "the store can't be read at the end: %v", err)
		return
	}
	his := ses.tks
	his.add(his.clock.Add(1), ticketInput{number: head}, ticketOutput{outcome: ticketFinal})
	if res := porcupine.CheckOperationsTimeout(ticketModel.ToModel(), his.ops, checkTime); res != porcupine.Ok {
		ses.rep.RecordViolation("TicketHistory", fmt.Sprintf("ticket %d", head), "%s: no order of %d submissions explains the answers:\n%s",
			res, len(his.ops)-1, his.describe())
	}
}

// describe lists all submissions in the order of their answers.
func (his *ticketHistory) describe() string {
	var txt strings.Builder
	for _, op := range his.ops {
		in, out := op.Input.(ticketInput), op.Output.(ticketOutput)
		fmt.Fprintf(&txt, "  %d to %d: ticket %d (%s): %s after %d, error %v\n", op.Call, op.Return, in.number, in.content, out.outcome, out.previous, out.err)
	}
	return txt.String()
}

// head reads the number of the last accepted ticket from the store itself.
func (ses *session) head(ctx context.Context) (bwmodel.TicketNumber, error) {
	ctx, cancel := context.WithTimeout(ctx, readHeadTime)
	defer cancel()
	cl, err := bwstore.New(bwstore.Config{
		Table:     ses.flt.Platform.TableAddress(),
		Region:    "local",
		AccessKey: "dev",
		SecretKey: "dev",
		TableName: "bilberrywick",
	})
	if err != nil {
		return 0, err
	}
	defer cl.Close()
	return bwstore.NewTicketStore(cl.Table).Head(ctx)
}

// settle waits, after all faults are healed and no ticket is under way, until
// every process is current, and reports those that are not in time.
func (ses *session) settle(ctx context.Context, when string) {
	healed := ses.cfg.Now()
	ses.tks.quiet.Lock()
	defer ses.tks.quiet.Unlock()
	var late map[string]string
	for {
		late = ses.behind(ctx)
		if len(late) == 0 || ses.cfg.Now().Sub(healed) > ses.cfg.SettleTimeout {
			break
		}
		if !bwretry.Pause(ctx, monitorInterval) {
			return
		}
	}
	ses.rep.AddCount("TicketChecks", 1)
	for name, what := range late {
		ses.rep.RecordViolation("TicketEverywhere", name, "%s: %s", when, what)
	}
}

// behind returns what each process that is not current has instead.
func (ses *session) behind(ctx context.Context) map[string]string {
	head, err := ses.head(ctx)
	if err != nil {
		return map[string]string{bwdev.PlatformNode: err.Error()}
	}
	late := make(map[string]string)
	for name, fl := range ses.fleets() {
		snap := fl.Snapshot()
		if num := snap.State.Number(); num != head || !snap.Ready {
			late[name] = fmt.Sprintf("has ticket %d, ready %v; the last accepted is %d", num, snap.Ready, head)
		}
	}
	return late
}

// fleets returns the views of all processes by name.
func (ses *session) fleets() map[string]*bwfleet.Fleet {
	all := make(map[string]*bwfleet.Fleet)
	for ix := range routers {
		rtr := ses.flt.Router(ix)
		all[string(rtr.Member().ID)] = rtr.Fleet()
	}
	for name, agt := range ses.flt.Agents() {
		all["agent of "+string(name)] = agt.Fleet()
	}
	return all
}

// monitor watches that no process's ticket number falls.
type monitor struct {
	ses *session
}

const monitorInterval = 20 * time.Millisecond

func (mon *monitor) loop(ctx context.Context) {
	highest := make(map[*bwfleet.Fleet]bwmodel.TicketNumber)
	for bwretry.Pause(ctx, monitorInterval) {
		for name, fl := range mon.ses.fleets() {
			num := fl.Snapshot().State.Number()
			if num < highest[fl] {
				mon.ses.rep.RecordViolation("TicketFalls", name, "number fell from %d to %d", highest[fl], num)
			}
			highest[fl] = num
		}
	}
}
