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
	disconnectProcess
	reconnectProcess
	restartProcess
	leaveProcess
	slowReads
	fastReads
	waitOnly
	eventKinds
)

const processCount = 5

// schedule applies random events to processes and checks their ticket numbers.
type schedule struct {
	t          *testing.T
	net        *network
	runs       []*processRun
	lastTicket bwmodel.TicketNumber
	// failure describes a violated property.
	failure string
}

// processRun is one run of a process.
type processRun struct {
	fleet  *bwfleet.Fleet
	cancel context.CancelFunc
	number bwmodel.TicketNumber
	// minNumber is the lowest ticket number of all processes at the start of this run.
	minNumber bwmodel.TicketNumber
}

func (sch *schedule) start(ix int) {
	ctx, cancel := context.WithCancel(sch.t.Context())
	run := &processRun{cancel: cancel, minNumber: sch.lowestNumber()}
	run.fleet = sch.net.start(ctx, sch.t, ix, 0, 1, 2, 3, 4)
	sch.runs[ix] = run
}

// lowestNumber returns the lowest ticket number of all processes, and 0 before
// all are started.
func (sch *schedule) lowestNumber() bwmodel.TicketNumber {
	low := bwmodel.TicketNumber(1 << 60)
	for _, run := range sch.runs {
		if run == nil {
			return 0
		}
		low = min(low, run.number)
	}
	return low
}

// sleepAndCheck sleeps in short steps and checks all processes after each.
func (sch *schedule) sleepAndCheck(span time.Duration) {
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
			sch.failure = fmt.Sprintf("process %d: number fell from %d to %d", ix, run.number, num)
		case snap.Ready && num < run.minNumber:
			sch.failure = fmt.Sprintf("process %d is ready with number %d after a restart, but every process had at least %d", ix, num, run.minNumber)
		}
		run.number = max(run.number, num)
	}
}

func (sch *schedule) apply(event int) {
	ix := event / eventKinds % processCount
	switch event % eventKinds {
	case acceptTicket:
		sch.lastTicket++
		sch.net.accept(sch.lastTicket)
	case storeDown:
		sch.net.setStoreDown(true)
	case storeUp:
		sch.net.setStoreDown(false)
	case disconnectProcess:
		sch.net.setDisconnected(ix, true)
	case reconnectProcess:
		sch.net.setDisconnected(ix, false)
	case restartProcess:
		sch.runs[ix].cancel()
		sch.runs[ix].fleet.Wait()
		sch.start(ix)
	case leaveProcess:
		_ = sch.runs[ix].fleet.AnnounceLeaving(sch.t.Context())
	case slowReads:
		sch.net.setReadDelay(time.Duration(ix) * 200 * time.Millisecond)
	case fastReads:
		sch.net.setReadDelay(0)
	}
	sch.sleepAndCheck(time.Duration(event%7) * 300 * time.Millisecond)
}

// endFaultsAndCheck ends all faults, checks that all processes catch up, and
// returns a description of the failure, if any.
func (sch *schedule) endFaultsAndCheck() string {
	sch.net.setStoreDown(false)
	sch.net.setReadDelay(0)
	for ix := range processCount {
		sch.net.setDisconnected(ix, false)
	}
	sch.sleepAndCheck(3 * time.Second)
	for ix, run := range sch.runs {
		if num := number(run.fleet); num != sch.lastTicket && sch.failure == "" {
			sch.failure = fmt.Sprintf("process %d has number %d 3 s after all faults have ended, want %d", ix, num, sch.lastTicket)
		}
	}
	return sch.failure
}

func runSchedule(t *testing.T, events []int) (failure string) {
	synctest.Test(t, func(t *testing.T) {
		sch := &schedule{t: t, net: newNetwork(), runs: make([]*processRun, processCount), lastTicket: 1}
		sch.net.accept(1)
		for ix := range processCount {
			sch.start(ix)
		}
		time.Sleep(5 * time.Second)
		for _, event := range events {
			sch.apply(event)
		}
		failure = sch.endFaultsAndCheck()
		for _, run := range sch.runs {
			run.cancel()
			run.fleet.Wait()
		}
	})
	return failure
}

// Guards against a process whose ticket number decreases, or that doesn't catch
// up, under any schedule of tickets, pushes, exchanges, restarts, partitions and
// outages of the store.
func TestTicketNumberNeverDecreases(t *testing.T) {
	params := gopter.DefaultTestParametersWithSeed(20261204)
	params.MinSuccessfulTests = 60
	props := gopter.NewProperties(params)
	props.Property("ticket numbers never decrease", prop.ForAll(func(events []int) (bool, error) {
		if failure := runSchedule(t, events); failure != "" {
			return false, fmt.Errorf("%s", failure)
		}
		return true, nil
	}, gen.SliceOfN(30, gen.IntRange(0, eventKinds*processCount*7-1))))
	props.TestingRun(t)
}

// Guards against a peer with a lower ticket number whose message, tickets or
// state replace the newer state of others.
func TestStalePeerIsIgnored(t *testing.T) {
	runWithNetwork(t, func(ctx context.Context, t *testing.T, net *network) {
		net.accept(5)
		first := net.start(ctx, t, 0, 0, 1)
		stale := net.start(ctx, t, 1, 0, 1)
		time.Sleep(5 * time.Second)
		net.setDisconnected(1, true)
		net.accept(6)
		net.accept(7)
		time.Sleep(2 * time.Second)
		if number(first) != 7 || number(stale) != 5 {
			t.Fatalf("got numbers %d and %d, want 7 and 5", number(first), number(stale))
		}
		net.setStoreDown(true)
		msg, err := stale.HandleExchange(ctx, &bwwire.ExchangeMessage{})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := first.HandleExchange(ctx, msg); err != nil {
			t.Fatal(err)
		}
		first.RecordTicketNumber(9, address(1))
		net.setDisconnected(1, false)
		time.Sleep(3 * time.Second)
		if number(first) != 7 || number(stale) != 7 {
			t.Errorf("got numbers %d and %d, want 7 and 7", number(first), number(stale))
		}
	})
}

// Guards against a ticket that is fetched only after the next exchange although
// traffic carried its number, and against a pull that waits for an unresponsive
// peer.
func TestTicketNumberFromTraffic(t *testing.T) {
	runWithNetwork(t, func(ctx context.Context, t *testing.T, net *network) {
		net.accept(5)
		var fleets []*bwfleet.Fleet
		for ix := range 3 {
			fleets = append(fleets, net.start(ctx, t, ix, 0, 1, 2))
		}
		time.Sleep(5 * time.Second)
		// Process 1 receives the number of ticket 6 only from traffic.
		net.setDisconnected(1, true)
		net.accept(6)
		time.Sleep(time.Second)
		net.setStoreDown(true)
		net.setUnresponsive(2, true)
		net.setDisconnected(1, false)
		fleets[1].RecordTicketNumber(6, address(2))
		fleets[1].RecordTicketNumber(6, address(0))
		time.Sleep(120 * time.Millisecond)
		if number(fleets[1]) != 6 {
			t.Errorf("number %d 120 ms after traffic carried 6, with one of two sources unresponsive", number(fleets[1]))
		}
	})
}

// Guards against a leaving process that others still list as live, and against a
// snapshot revision that doesn't change with it.
func TestLeavingIsAnnounced(t *testing.T) {
	runWithNetwork(t, func(ctx context.Context, t *testing.T, net *network) {
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
					t.Errorf("process %d lists the leaving process as %v after 100 ms", ix+1, ent.Status)
				}
			}
		}
		if others[0].Snapshot().Revision == before {
			t.Error("revision did not change")
		}
		if !leaving.Snapshot().Self.Leaving {
			t.Error("process is not marked as leaving in its own snapshot")
		}
	})
}
