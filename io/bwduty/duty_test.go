package bwduty_test

import (
	"context"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"bilberrywick/core/bwlease"
	"bilberrywick/core/bwmodel"
	"bilberrywick/io/bwduty"
	"bilberrywick/io/bwwire"
)

// table holds one lease row.
type table struct {
	mu    sync.Mutex
	row   bwlease.Row
	reads int
}

func (tab *table) read(context.Context) (bwlease.Row, error) {
	tab.mu.Lock()
	defer tab.mu.Unlock()
	tab.reads++
	return tab.row, nil
}

func (tab *table) swap(_ context.Context, next bwlease.Row) error {
	tab.mu.Lock()
	defer tab.mu.Unlock()
	if next.Version != tab.row.Version+1 {
		return bwlease.ErrRowChanged
	}
	tab.row = next
	return nil
}

func acceptOrder(_ context.Context, _ netip.AddrPort, req *bwwire.OrderRequest) (*bwwire.OrderResponse, error) {
	return &bwwire.OrderResponse{Fence: req.Fence}, nil
}

func newDuty(t *testing.T, tab *table, id bwmodel.MemberID, candidate func() bool) *bwduty.Duty {
	t.Helper()
	dty, err := bwduty.New(bwduty.Config{
		Name: "Place/Addis/review-desk", Self: id, Incarnation: 1,
		Read: tab.read, Swap: tab.swap, IsCandidate: candidate, SendOrder: acceptOrder,
	})
	if err != nil {
		t.Fatal(err)
	}
	return dty
}

// Guards against a stopping holder that doesn't release its lease, so that no
// process runs the duty for a whole TTL, and against a holder that doesn't renew.
func TestDutyIsHandedOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tab := &table{}
		ctx, stop := context.WithCancel(t.Context())
		first, second := newDuty(t, tab, "a", nil), newDuty(t, tab, "b", nil)
		first.Start(ctx)
		synctest.Wait()
		second.Start(t.Context())
		time.Sleep(time.Minute)
		if fence, err := first.CurrentFence(); err != nil || fence != 1 {
			t.Errorf("after a minute: the first process has fence %d, %v, want 1", fence, err)
		}
		stop()
		first.Wait()
		time.Sleep(4 * time.Second)
		if fence, err := second.CurrentFence(); err != nil || fence != 2 {
			t.Errorf("4 s after the first process stopped: the second has fence %d, %v, want 2", fence, err)
		}
		// The synctest bubble ends when the second process has stopped too.
	})
}

// Guards against processes that read the lease row although they are not
// candidates: 1,000 routers would use up the table's read capacity.
func TestOnlyCandidatesReadLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tab := &table{}
		candidate := true
		dty := newDuty(t, tab, "a", func() bool { return candidate })
		dty.AcquireOrRenew(t.Context())
		if _, err := dty.CurrentFence(); err != nil {
			t.Fatal(err)
		}
		candidate = false
		dty.AcquireOrRenew(t.Context())
		if _, err := dty.CurrentFence(); err != nil {
			t.Errorf("holder that is no longer a candidate: got %v, want it to keep the lease", err)
		}
		time.Sleep(time.Minute)
		reads := tab.reads
		dty.AcquireOrRenew(t.Context())
		if tab.reads != reads {
			t.Error("a process that is not a candidate read the lease row")
		}
	})
}
