package bwfleet_test

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"bilberrywick/core/bwmodel"
	"bilberrywick/io/bwfleet"
)

// runWithNetwork runs a test under a synthetic clock and ends its fleets.
func runWithNetwork(t *testing.T, test func(ctx context.Context, t *testing.T, net *network)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		net := newNetwork()
		test(ctx, t, net)
		cancel()
		for _, fl := range net.fleets {
			fl.Wait()
		}
	})
}

func number(fl *bwfleet.Fleet) bwmodel.TicketNumber { return fl.Snapshot().State.Number() }

// Guards against a ticket that doesn't reach all processes within 3 s, and
// against a fleet in which every process polls the store.
func TestTicketPropagatesWithinThreeSeconds(t *testing.T) {
	runWithNetwork(t, func(ctx context.Context, t *testing.T, net *network) {
		const members = 30
		var fleets []*bwfleet.Fleet
		for ix := range members {
			fleets = append(fleets, net.start(ctx, t, ix, 0, 1, 2))
		}
		time.Sleep(20 * time.Second)
		net.accept(5)
		net.resetStoreCalls()
		time.Sleep(3 * time.Second)
		for ix, fl := range fleets {
			if number(fl) != 5 || !fl.Snapshot().Ready {
				t.Errorf("process %d: number %d, ready=%v", ix, number(fl), fl.Snapshot().Ready)
			}
		}
		// Two store pollers in each of 3 zones, 6 polls each, and their reads of the ticket.
		if calls := net.resetStoreCalls(); calls > 60 {
			t.Errorf("%d calls to the store in 3 s, want at most 60", calls)
		}
	})
}

// Guards against a process that restarts while the store is unavailable and
// stays without a state, or becomes ready with a stale one.
func TestRestartWithoutStore(t *testing.T) {
	runWithNetwork(t, func(ctx context.Context, t *testing.T, net *network) {
		net.accept(5)
		for ix := range 4 {
			net.start(ctx, t, ix, 0, 1, 2, 3)
		}
		time.Sleep(10 * time.Second)
		// Process 3 is disconnected and stays at 5 while the others reach 6.
		net.setDisconnected(3, true)
		net.accept(6)
		time.Sleep(5 * time.Second)
		net.setStoreDown(true)
		net.setDisconnected(3, false)
		net.setDisconnected(0, true)
		net.setDisconnected(1, true)
		net.setDisconnected(2, true)
		joiner := net.start(ctx, t, 7, 0, 1, 2, 3)
		time.Sleep(5 * time.Second)
		if joiner.Snapshot().Ready {
			t.Error("ready with one of four seeds reachable")
		}
		net.setDisconnected(1, false)
		time.Sleep(5 * time.Second)
		if !joiner.Snapshot().Ready || number(joiner) != 6 {
			t.Errorf("half of the seeds reachable: ready=%v, number %d, want 6", joiner.Snapshot().Ready, number(joiner))
		}
	})
}

// Guards against a fleet that restarts as a whole without the store and becomes
// ready with the empty state.
func TestFleetWithoutStateIsNotReady(t *testing.T) {
	runWithNetwork(t, func(ctx context.Context, t *testing.T, net *network) {
		net.accept(5)
		net.setStoreDown(true)
		var fleets []*bwfleet.Fleet
		for ix := range 4 {
			fleets = append(fleets, net.start(ctx, t, ix, 0, 1, 2, 3))
		}
		time.Sleep(10 * time.Second)
		for ix, fl := range fleets {
			if fl.Snapshot().Ready {
				t.Errorf("process %d is ready without the state", ix)
			}
		}
		net.setStoreDown(false)
		time.Sleep(3 * time.Second)
		for ix, fl := range fleets {
			if !fl.Snapshot().Ready || number(fl) != 5 {
				t.Errorf("store available again: process %d has number %d, ready=%v", ix, number(fl), fl.Snapshot().Ready)
			}
		}
	})
}

// Guards against a process that stays ready without contact to the store or a
// peer, and that doesn't catch up when it is connected again.
func TestPartitionedProcess(t *testing.T) {
	runWithNetwork(t, func(ctx context.Context, t *testing.T, net *network) {
		for ix := range 4 {
			net.start(ctx, t, ix, 0, 1, 2, 3)
		}
		time.Sleep(10 * time.Second)
		net.setDisconnected(3, true)
		time.Sleep(4 * time.Second)
		isolated := net.fleets[address(3)]
		if isolated.Snapshot().Ready {
			t.Error("ready 4 s after the last contact")
		}
		net.accept(9)
		time.Sleep(4 * time.Second)
		net.setDisconnected(3, false)
		time.Sleep(3 * time.Second)
		if number(isolated) != 9 || !isolated.Snapshot().Ready {
			t.Errorf("3 s after it was connected again: number %d, ready=%v", number(isolated), isolated.Snapshot().Ready)
		}
	})
}

// Guards against a process that reports no reason when it is not ready, and
// against members whose ticket number stays unknown to a process that never
// exchanged with them.
func TestReadinessReportsReason(t *testing.T) {
	runWithNetwork(t, func(ctx context.Context, t *testing.T, net *network) {
		net.accept(5)
		net.setStoreDown(true)
		fl := net.start(ctx, t, 0, 0, 1)
		time.Sleep(5 * time.Second)
		checkReadiness(t, fl, "the state was not read yet")
		net.setStoreDown(false)
		other := net.start(ctx, t, 1, 0, 1)
		net.start(ctx, t, 2, 0, 1)
		time.Sleep(5 * time.Second)
		checkReadiness(t, fl, "")
		if since := fl.Snapshot().StoreUnavailableSince; !since.IsZero() {
			t.Errorf("store counts as unavailable since %v although it responds", since)
		}
		net.setDisconnected(0, true)
		time.Sleep(4 * time.Second)
		checkReadiness(t, fl, "neither the store nor a peer was heard from for")
		if since := fl.Snapshot().StoreUnavailableSince; since.IsZero() {
			t.Error("store doesn't count as unavailable although it doesn't respond")
		}
		for _, ent := range other.Snapshot().Members {
			if ent.StateNumber != 5 {
				t.Errorf("%s: ticket number %d, want 5", ent.Member.ID, ent.StateNumber)
			}
		}
	})
}

func checkReadiness(t *testing.T, fl *bwfleet.Fleet, want string) {
	t.Helper()
	err := fl.Snapshot().CheckReady(time.Now())
	if want == "" {
		if err != nil {
			t.Errorf("not ready: %v", err)
		}
		return
	}
	if err == nil || !strings.Contains(err.Error(), want) {
		t.Errorf("got %v, want %q", err, want)
	}
}
