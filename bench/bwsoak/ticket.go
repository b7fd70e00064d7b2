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

// ticketWorker is an operator that submits tickets through random routers, in
// competition with the other operators.
type ticketWorker struct {
	ses *session
	id  int
	rng *rand.Rand
	// submissions counts the submitted tickets; it makes the content of each
	// unique.
	submissions int
}

const (
	submitTimeout   = 3 * time.Second
	readHeadTimeout = 2 * time.Second
)

func (tw *ticketWorker) loop(ctx context.Context) {
	defer tw.ses.workers.Done()
	for !tw.ses.stopped(ctx) {
		tw.ses.ticketHistory.submitLock.RLock()
		tw.submit(ctx)
		tw.ses.ticketHistory.submitLock.RUnlock()
		bwretry.Pause(ctx, time.Duration(100+tw.rng.IntN(600))*time.Millisecond)
	}
}

// submit submits a ticket that changes a team's weight. The number is one of the
// current number and the two after it, so that some tickets conflict.
func (tw *ticketWorker) submit(ctx context.Context) {
	tw.submissions++
	rtr := tw.rng.IntN(routerCount)
	num := tw.ses.fleet.Router(rtr).Fleet().Snapshot().State.Number() + bwmodel.TicketNumber(tw.rng.IntN(3))
	full := tw.ses.fleet.FullTicket(num)
	doc := bwwire.TicketDocument{Number: num, Comment: fmt.Sprintf("operator %d, submission %d", tw.id, tw.submissions), Teams: full.Teams}
	doc.Teams[0].Weight = 1 + tw.rng.IntN(9)
	_ = tw.ses.submitTicket(ctx, rtr, doc)
}

// submitTicket submits a ticket through a router and records the result.
func (ses *session) submitTicket(ctx context.Context, router int, doc bwwire.TicketDocument) error {
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	call := ses.ticketHistory.clock.Add(1)
	rsp, err := ses.fleet.Router(router).Fleet().SubmitTicket(ctx, doc)
	out := ticketOutput{previous: rsp.Previous, err: err}
	var conflict *bwticket.ConflictError
	var faults bwticket.Faults
	switch {
	case err == nil:
		out.kind = ticketAccepted
	case errors.As(err, &conflict):
		out.kind = ticketConflict
	case errors.Is(err, bwticket.ErrUnavailable), errors.As(err, &faults):
		out.kind = ticketNotWritten
	default:
		out.kind = ticketUnknown
	}
	ses.ticketHistory.add(call, ticketInput{number: doc.Number, content: doc.Comment}, out)
	ses.recorder.AddCount("Tickets"+string(out.kind), 1)
	return err
}

// ticketHistory records the submissions of tickets and their results.
type ticketHistory struct {
	clock atomic.Int64
	// submitLock is locked for reading during a submission by an operator, and for
	// writing to prevent submissions.
	submitLock sync.RWMutex

	mu  sync.Mutex
	ops []porcupine.Operation
}

type ticketInput struct {
	number  bwmodel.TicketNumber
	content string
}

type ticketOutput struct {
	kind     ticketOutcome
	previous bwmodel.TicketNumber
	err      error
}

type ticketOutcome string

const (
	ticketAccepted ticketOutcome = "Accepted"
	ticketConflict ticketOutcome = "Conflict"
	// ticketNotWritten means that nothing was written.
	ticketNotWritten ticketOutcome = "NotWritten"
	ticketUnknown    ticketOutcome = "Unknown"
	// ticketFinal marks the read of the store's head at the end.
	ticketFinal ticketOutcome = "Final"
)

func newTicketHistory() *ticketHistory { return new(ticketHistory) }

func (his *ticketHistory) add(call int64, in ticketInput, out ticketOutput) {
	ret := his.clock.Add(1)
	if out.kind == ticketUnknown {
		ret = afterAllEvents
	}
	if out.kind == ticketFinal {
		call, ret = afterAllEvents+call, afterAllEvents+ret
	}
	his.mu.Lock()
	defer his.mu.Unlock()
	his.ops = append(his.ops, porcupine.Operation{ClientId: len(his.ops), Input: in, Call: call, Output: out, Return: ret})
}

// ticketState is the model's state: the head and the text of every accepted ticket.
type ticketState struct {
	head bwmodel.TicketNumber
	rows string
}

// firstTicket is the number of the ticket that the fleet starts with.
const firstTicket = 1

var ticketModel = porcupine.NondeterministicModel{
	Init:  func() []any { return []any{ticketState{head: firstTicket}} },
	Step:  stepTicket,
	Equal: func(one, two any) bool { return one == two },
}

func stepTicket(state, input, output any) []any {
	current, in, out := state.(ticketState), input.(ticketInput), output.(ticketOutput)
	row := fmt.Sprintf("%d %s;", in.number, in.content)
	next := ticketState{head: in.number, rows: current.rows + row}
	switch out.kind {
	case ticketAccepted:
		if in.number > current.head && out.previous == current.head {
			return []any{next}
		}
	case ticketConflict:
		if in.number <= current.head {
			return []any{current}
		}
	case ticketNotWritten:
		return []any{current}
	case ticketUnknown:
		if in.number > current.head {
			return []any{current, next}
		}
		return []any{current}
	case ticketFinal:
		if in.number == current.head {
			return []any{current}
		}
	}
	return nil
}

// checkTickets searches for a linearization of all submissions in which each
// result is correct.
func (ses *session) checkTickets(ctx context.Context) {
	head, err := ses.storedHead(ctx)
	if err != nil {
		ses.recorder.RecordViolation("TicketHistory", "head", "the store can't be read at the end: %v", err)
		return
	}
	his := ses.ticketHistory
	his.add(his.clock.Add(1), ticketInput{number: head}, ticketOutput{kind: ticketFinal})
	if res := porcupine.CheckOperationsTimeout(ticketModel.ToModel(), his.ops, checkTimeout); res != porcupine.Ok {
		ses.recorder.RecordViolation("TicketHistory", fmt.Sprintf("ticket %d", head), "%s: no order of %d submissions explains the answers:\n%s",
			res, len(his.ops)-1, his.describe())
	}
}

// describe lists all submissions in the order of their results.
func (his *ticketHistory) describe() string {
	var txt strings.Builder
	for _, op := range his.ops {
		in, out := op.Input.(ticketInput), op.Output.(ticketOutput)
		fmt.Fprintf(&txt, "  %d to %d: ticket %d (%s): %s after %d, error %v\n", op.Call, op.Return, in.number, in.content, out.kind, out.previous, out.err)
	}
	return txt.String()
}

// storedHead reads the number of the last accepted ticket directly from the store.
func (ses *session) storedHead(ctx context.Context) (bwmodel.TicketNumber, error) {
	ctx, cancel := context.WithTimeout(ctx, readHeadTimeout)
	defer cancel()
	cl, err := bwstore.New(bwstore.Config{
		Table:     ses.fleet.Platform.TableAddress(),
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

// awaitSettled is called after all faults have ended. It blocks submissions, waits
// until every process is ready and has the latest ticket, and records a violation
// for each process that does not within SettleTimeout.
func (ses *session) awaitSettled(ctx context.Context, phase string) {
	start := ses.cfg.Now()
	ses.ticketHistory.submitLock.Lock()
	defer ses.ticketHistory.submitLock.Unlock()
	var late map[string]string
	for {
		late = ses.lateProcesses(ctx)
		if len(late) == 0 || ses.cfg.Now().Sub(start) > ses.cfg.SettleTimeout {
			break
		}
		if !bwretry.Pause(ctx, monitorInterval) {
			return
		}
	}
	ses.recorder.AddCount("TicketChecks", 1)
	for name, status := range late {
		ses.recorder.RecordViolation("TicketEverywhere", name, "%s: %s", phase, status)
	}
}

// lateProcesses describes the state of each process that is not ready or does not
// have the latest ticket, by the name of the process.
func (ses *session) lateProcesses(ctx context.Context) map[string]string {
	head, err := ses.storedHead(ctx)
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

// fleets returns each process's Fleet by the name of the process.
func (ses *session) fleets() map[string]*bwfleet.Fleet {
	all := make(map[string]*bwfleet.Fleet)
	for ix := range routerCount {
		rtr := ses.fleet.Router(ix)
		all[string(rtr.Member().ID)] = rtr.Fleet()
	}
	for name, agt := range ses.fleet.Agents() {
		all["agent of "+string(name)] = agt.Fleet()
	}
	return all
}

// ticketMonitor checks that the ticket number of a process never decreases.
type ticketMonitor struct {
	ses *session
}

const monitorInterval = 20 * time.Millisecond

func (mon *ticketMonitor) loop(ctx context.Context) {
	highest := make(map[*bwfleet.Fleet]bwmodel.TicketNumber)
	for bwretry.Pause(ctx, monitorInterval) {
		for name, fl := range mon.ses.fleets() {
			num := fl.Snapshot().State.Number()
			if num < highest[fl] {
				mon.ses.recorder.RecordViolation("TicketFalls", name, "number fell from %d to %d", highest[fl], num)
			}
			highest[fl] = num
		}
	}
}
