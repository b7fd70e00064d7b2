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

// bubble runs a test under a synthetic clock and ends its fleets.
func bubble(t *testing.T, test func(ctx context.Context, t *testing.T, net *network)) {
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

// Guards against a ticket that is not everywhere within 3 s, and against a
// fleet in which every process polls the store.
func TestSpreadWithinThreeSeconds(t *testing.T) {
	bubble(t, func(ctx context.Context, t *testing.T, net *network) {
		const members = 30
		var fleets []*bwfleet.Fleet
		for ix := range members {
			fleets = append(fleets, net.start(ctx, t, ix, 0, 1, 2))
		}
		time.Sleep(20 * time.Second)
		net.accept(5)
		net.takeReads()
		time.Sleep(3 * time.Second)
		for ix, fl := range fleets {
			if number(fl) != 5 || !fl.Snapshot().Ready {
				t.Errorf("process %d: number %d, ready=%v", ix, number(fl), fl.Snapshot().Ready)
			}
		}
		// Two watchers in each of 3 zones, 6 polls each, and their reads of the ticket.
		if reads := net.takeReads(); reads > 60 {
			t.Errorf("%d reads of the store in 3 s, want at most 60", reads)
		}
	})
}

// Guards against a restart while the store is down that leaves a process
// without the state, or ready with an old one.
func TestRestartWithoutStore(t *testing.T) {
	bubble(t, func(ctx context.Context, t *testing.T, net *network) {
		net.accept(5)
		for ix := range 4 {
			net.start(ctx, t, ix, 0, 1, 2, 3)
		}
		time.Sleep(10 * time.Second)
		// Process 3 is cut off and stays at 5 while the others reach 6.
		net.setCut(3, true)
		net.accept(6)
		time.Sleep(5 * time.Second)
		net.setDown(true)
		net.setCut(3, false)
		net.setCut(0, true)
		net.setCut(1, true)
		net.setCut(2, true)
		late := net.start(ctx, t, 7, 0, 1, 2, 3)
		time.Sleep(5 * time.Second)
		if late.Snapshot().Ready {
			t.Error("ready after hearing one of four seeds")
		}
		net.setCut(1, false)
		time.Sleep(5 * time.Second)
		if !late.Snapshot().Ready || number(late) != 6 {
			t.Errorf("after hearing half of the seeds: ready=%v, number %d, want 6", late.Snapshot().Ready, number(late))
		}
	})
}

// Guards against a fleet that restarts as a whole without the store and takes
// the empty state for the one in effect.
func TestBlankFleetIsNotReady(t *testing.T) {
	bubble(t, func(ctx context.Context, t *testing.T, net *network) {
		net.accept(5)
		net.setDown(true)
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
		net.setDown(false)
		time.Sleep(3 * time.Second)
		for ix, fl := range fleets {
			if !fl.Snapshot().Ready || number(fl) != 5 {
				t.Errorf("store back: process %d has number %d, ready=%v", ix, number(fl), fl.Snapshot().Ready)
			}
		}
	})
}

// Guards against a process without contact that keeps serving as ready, and
// against one that stays behind when it returns.
func TestPartitionedProcess(t *testing.T) {
	bubble(t, func(ctx context.Context, t *testing.T, net *network) {
		for ix := range 4 {
			net.start(ctx, t, ix, 0, 1, 2, 3)
		}
		time.Sleep(10 * time.Second)
		net.setCut(3, true)
		time.Sleep(4 * time.Second)
		alone := net.fleets[address(3)]
		if alone.Snapshot().Ready {
			t.Error("ready 4 s after the last contact")
		}
		net.accept(9)
		time.Sleep(4 * time.Second)
		net.setCut(3, false)
		time.Sleep(3 * time.Second)
		if number(alone) != 9 || !alone.Snapshot().Ready {
			t.Errorf("3 s after its return: number %d, ready=%v", number(alone), alone.Snapshot().Ready)
		}
	})
}

// Guards against readiness that doesn't say why, and against members whose
// ticket number stays unknown to a process that never exchanged with them.
func TestReadinessSaysWhy(t *testing.T) {
	bubble(t, func(ctx context.Context, t *testing.T, net *network) {
		net.accept(5)
		net.setDown(true)
		fl := net.start(ctx, t, 0, 0, 1)
		time.Sleep(5 * time.Second)
		checkReason(t, fl, "the state was not read yet")
		net.setDown(false)
		other := net.start(ctx, t, 1, 0, 1)
		net.start(ctx, t, 2, 0, 1)
		time.Sleep(5 * time.Second)
		checkReason(t, fl, "")
		if lost := fl.Snapshot().StoreUnavailableSince; !lost.IsZero() {
			t.Errorf("store counted as lost since %v although it answers", lost)
		}
		net.setCut(0, true)
		time.Sleep(4 * time.Second)
		checkReason(t, fl, "neither the store nor a peer was heard from for")
		if lost := fl.Snapshot().StoreUnavailableSince; lost.IsZero() {
			t.Error("store not counted as lost while it doesn't answer")
		}
		for _, ent := range other.Snapshot().Members {
			if ent.StateNumber != 5 {
				t.Errorf("%s: ticket number %d, want 5", ent.Member.ID, ent.StateNumber)
			}
		}
	})
}

func checkReason(t *testing.T, fl *bwfleet.Fleet, want string) {
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
