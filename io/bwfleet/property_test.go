package bwfleet_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"bilberrywick/core/bwmodel"
	"bilberrywick/io/bwfleet"
	"bilberrywick/io/bwwire"
)

// Kinds of event in a schedule.
const (
	acceptTicket = iota
	storeDown
	storeUp
	cutProcess
	joinProcess
	restartProcess
	leaveProcess
	slowAnswers
	fastAnswers
	wait
	eventKinds
)

const scheduled = 5

// schedule runs processes through random events and watches their numbers.
type schedule struct {
	t    *testing.T
	net  *network
	runs []*scheduledRun
	next bwmodel.TicketNumber
	// broken says what went wrong first.
	broken string
}

// scheduledRun is one run of a process.
type scheduledRun struct {
	fleet  *bwfleet.Fleet
	cancel context.CancelFunc
	number bwmodel.TicketNumber
	// floor is the lowest number that any process had when this run began.
	floor bwmodel.TicketNumber
}

func (sch *schedule) start(ix int) {
	ctx, cancel := context.WithCancel(sch.t.Context())
	run := &scheduledRun{cancel: cancel, floor: sch.lowest()}
	run.fleet = sch.net.start(ctx, sch.t, ix, 0, 1, 2, 3, 4)
	sch.runs[ix] = run
}

// lowest returns the lowest number that a process had, 0 before all have one.
func (sch *schedule) lowest() bwmodel.TicketNumber {
	low := bwmodel.TicketNumber(1 << 60)
	for _, run := range sch.runs {
		if run == nil {
			return 0
		}
		low = min(low, run.number)
	}
	return low
}

// pass lets time pass and checks all processes all the while.
func (sch *schedule) pass(span time.Duration) {
	const step = 20 * time.Millisecond
	for ; span > 0; span -= step {
		time.Sleep(step)
		sch.check()
	}
}

func (sch *schedule) check() {
	for ix, run := range sch.runs {
		snap := run.fleet.Snapshot()
		num := snap.State.Number()
		switch {
		case num < run.number:
			sch.broken = fmt.Sprintf("process %d went from %d back to %d", ix, run.number, num)
		case snap.Ready && num < run.floor:
			sch.broken = fmt.Sprintf("process %d is ready with %d after a restart, each process had %d", ix, num, run.floor)
		}
		run.number = max(run.number, num)
	}
}

func (sch *schedule) apply(event int) {
	ix := event / eventKinds % scheduled
	switch event % eventKinds {
	case acceptTicket:
		sch.next++
		sch.net.accept(sch.next)
	case storeDown:
		sch.net.setDown(true)
	case storeUp:
		sch.net.setDown(false)
	case cutProcess:
		sch.net.setCut(ix, true)
	case joinProcess:
		sch.net.setCut(ix, false)
	case restartProcess:
		sch.runs[ix].cancel()
		sch.runs[ix].fleet.Wait()
		sch.start(ix)
	case leaveProcess:
		_ = sch.runs[ix].fleet.AnnounceLeaving(sch.t.Context())
	case slowAnswers:
		sch.net.setLate(time.Duration(ix) * 200 * time.Millisecond)
	case fastAnswers:
		sch.net.setLate(0)
	}
	sch.pass(time.Duration(event%7) * 300 * time.Millisecond)
}

// finish mends all faults, and reports what went wrong or stays wrong.
func (sch *schedule) finish() string {
	sch.net.setDown(false)
	sch.net.setLate(0)
	for ix := range scheduled {
		sch.net.setCut(ix, false)
	}
	sch.pass(3 * time.Second)
	for ix, run := range sch.runs {
		if num := number(run.fleet); num != sch.next && sch.broken == "" {
			sch.broken = fmt.Sprintf("process %d has number %d 3 s after all faults have ended, want %d", ix, num, sch.next)
		}
	}
	return sch.broken
}

func runSchedule(t *testing.T, events []int) (broken string) {
	synctest.Test(t, func(t *testing.T) {
		sch := &schedule{t: t, net: newNetwork(), runs: make([]*scheduledRun, scheduled), next: 1}
		sch.net.accept(1)
		for ix := range scheduled {
			sch.start(ix)
		}
		time.Sleep(5 * time.Second)
		for _, event := range events {
			sch.apply(event)
		}
		broken = sch.finish()
		for _, run := range sch.runs {
			run.cancel()
			run.fleet.Wait()
		}
	})
	return broken
}

// Guards against a process that goes back to a lower ticket number, or stays
// behind, under any schedule of tickets, pushes, exchanges, restarts,
// partitions and outages of the store.
func TestNumberNeverGoesBack(t *testing.T) {
	params := gopter.DefaultTestParametersWithSeed(20261204)
	params.MinSuccessfulTests = 60
	props := gopter.NewProperties(params)
	props.Property("numbers rise", prop.ForAll(func(events []int) (bool, error) {
		if broken := runSchedule(t, events); broken != "" {
			return false, fmt.Errorf("%s", broken)
		}
		return true, nil
	}, gen.SliceOfN(30, gen.IntRange(0, eventKinds*scheduled*7-1))))
	props.TestingRun(t)
}

// Guards against a peer that is behind and pulls others back with its message,
// its tickets or its whole state.
func TestStalePeerIsIgnored(t *testing.T) {
	bubble(t, func(ctx context.Context, t *testing.T, net *network) {
		net.accept(5)
		first := net.start(ctx, t, 0, 0, 1)
		stale := net.start(ctx, t, 1, 0, 1)
		time.Sleep(5 * time.Second)
		net.setCut(1, true)
		net.accept(6)
		net.accept(7)
		time.Sleep(2 * time.Second)
		if number(first) != 7 || number(stale) != 5 {
			t.Fatalf("got numbers %d and %d, want 7 and 5", number(first), number(stale))
		}
		net.setDown(true)
		msg, err := stale.HandleExchange(ctx, &bwwire.ExchangeMessage{})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := first.HandleExchange(ctx, msg); err != nil {
			t.Fatal(err)
		}
		first.RecordTicketNumber(9, address(1))
		net.setCut(1, false)
		time.Sleep(3 * time.Second)
		if number(first) != 7 || number(stale) != 7 {
			t.Errorf("got numbers %d and %d, want 7 and 7", number(first), number(stale))
		}
	})
}

// Guards against a ticket that waits for the next exchange although traffic
// carried its number, and against a pull that waits for a peer that does not answer.
func TestLearnFromTraffic(t *testing.T) {
	bubble(t, func(ctx context.Context, t *testing.T, net *network) {
		net.accept(5)
		var fleets []*bwfleet.Fleet
		for ix := range 3 {
			fleets = append(fleets, net.start(ctx, t, ix, 0, 1, 2))
		}
		time.Sleep(5 * time.Second)
		// Processes 1 and 2 hear nothing of ticket 6 but by traffic.
		net.setCut(1, true)
		net.accept(6)
		time.Sleep(time.Second)
		net.setDown(true)
		net.setSilent(2, true)
		net.setCut(1, false)
		fleets[1].RecordTicketNumber(6, address(2))
		fleets[1].RecordTicketNumber(6, address(0))
		time.Sleep(120 * time.Millisecond)
		if number(fleets[1]) != 6 {
			t.Errorf("number %d 120 ms after traffic carried 6, with one of two sources silent", number(fleets[1]))
		}
	})
}

// Guards against a leaving process that others still use, and against
// subscribers that are not told.
func TestLeaveAndChanges(t *testing.T) {
	bubble(t, func(ctx context.Context, t *testing.T, net *network) {
		net.accept(5)
		leaving := net.start(ctx, t, 0, 0, 1, 2)
		others := []*bwfleet.Fleet{net.start(ctx, t, 1, 0, 1, 2), net.start(ctx, t, 2, 0, 1, 2)}
		time.Sleep(5 * time.Second)
		before := others[0].Snapshot().Revision
		if err := leaving.AnnounceLeaving(ctx); err != nil {
			t.Fatal(err)
		}
		time.Sleep(100 * time.Millisecond)
		for ix, fl := range others {
			for _, ent := range fl.Snapshot().Members {
				if ent.Member.ID == "m0" && ent.Status.String() != "Leaving" {
					t.Errorf("process %d sees the leaving one as %v after 100 ms", ix+1, ent.Status)
				}
			}
		}
		if others[0].Snapshot().Revision == before {
			t.Error("revision did not rise")
		}
		if !leaving.Snapshot().Self.Leaving {
			t.Error("process does not see itself as leaving")
		}
	})
}
