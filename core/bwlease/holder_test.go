package bwlease_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"bilberrywick/core/bwlease"
	"bilberrywick/core/bwmodel"
)

const ttl = 10 * time.Second

// table holds one lease row; loseResponse makes the next write take effect
// without a response.
type table struct {
	row          bwlease.Row
	loseResponse bool
}

func (tab *table) read(context.Context) (bwlease.Row, error) { return tab.row, nil }

func (tab *table) swap(_ context.Context, next bwlease.Row) error {
	if next.Version != tab.row.Version+1 {
		return bwlease.ErrRowChanged
	}
	tab.row = next
	if tab.loseResponse {
		tab.loseResponse = false
		return bwlease.ErrOutcomeUnknown
	}
	return nil
}

// clock is the monotonic clock of one process.
type clock struct{ now time.Time }

func (clk *clock) read() time.Time { return clk.now }

func newHolder(t *testing.T, tab *table, clk *clock, self bwmodel.MemberID) *bwlease.Holder {
	t.Helper()
	hd, err := bwlease.NewHolder(bwlease.HolderConfig{
		Self: self, Incarnation: 1, TTL: ttl, Now: clk.read, Read: tab.read, Swap: tab.swap,
	})
	if err != nil {
		t.Fatal(err)
	}
	return hd
}

func acquireOrRenew(t *testing.T, hd *bwlease.Holder) {
	t.Helper()
	if err := hd.AcquireOrRenew(t.Context()); err != nil {
		t.Fatal(err)
	}
}

// Guards against a holder that sends orders after a pause longer than its lease,
// and against two holders at a time.
func TestPausedHolderLosesLease(t *testing.T) {
	tab := &table{}
	// The clocks differ by a day, since no process compares them.
	clkA, clkB := &clock{now: time.Unix(1e6, 0)}, &clock{now: time.Unix(1e6, 0).Add(24 * time.Hour)}
	first, second := newHolder(t, tab, clkA, "a"), newHolder(t, tab, clkB, "b")
	acquireOrRenew(t, first)
	if fence, err := first.CurrentFence(); err != nil || fence != 1 {
		t.Fatalf("first holder: got fence %d, %v, want fence 1", fence, err)
	}
	acquireOrRenew(t, second)
	clkA.now, clkB.now = clkA.now.Add(ttl/2), clkB.now.Add(ttl/2)
	acquireOrRenew(t, first)
	clkB.now = clkB.now.Add(ttl / 2)
	acquireOrRenew(t, second)
	if _, err := second.CurrentFence(); !errors.Is(err, bwlease.ErrNotHeld) {
		t.Fatal("lease acquired although it was renewed within the TTL")
	}
	// The first holder is paused from here on while its clock continues.
	clkA.now, clkB.now = clkA.now.Add(ttl), clkB.now.Add(ttl)
	acquireOrRenew(t, second)
	if fence, err := second.CurrentFence(); err != nil || fence != 2 {
		t.Errorf("second holder: got fence %d, %v, want fence 2", fence, err)
	}
	if _, err := first.CurrentFence(); !errors.Is(err, bwlease.ErrNotHeld) {
		t.Error("paused holder still counts the lease as held")
	}
	acquireOrRenew(t, first)
	if _, err := first.CurrentFence(); !errors.Is(err, bwlease.ErrNotHeld) {
		t.Error("former holder holds the lease again after AcquireOrRenew")
	}
}

// Guards against a grant whose time starts at the response to the write, which the
// store may delay.
func TestValidityStartsBeforeWriteIsSent(t *testing.T) {
	tab, clk := &table{}, &clock{now: time.Unix(1e6, 0)}
	hd, err := bwlease.NewHolder(bwlease.HolderConfig{
		Self: "a", TTL: ttl, Now: clk.read, Read: tab.read,
		Swap: func(ctx context.Context, next bwlease.Row) error {
			clk.now = clk.now.Add(ttl)
			return tab.swap(ctx, next)
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	acquireOrRenew(t, hd)
	if _, err := hd.CurrentFence(); !errors.Is(err, bwlease.ErrNotHeld) {
		t.Error("lease counts as held one TTL after the write was sent")
	}
}

// Guards against a lost response to a write that took effect: the lease must count
// as held only after the row has been read back.
func TestLostResponseIsReadBack(t *testing.T) {
	tab, clk := &table{loseResponse: true}, &clock{now: time.Unix(1e6, 0)}
	hd := newHolder(t, tab, clk, "a")
	if err := hd.AcquireOrRenew(t.Context()); !errors.Is(err, bwlease.ErrOutcomeUnknown) {
		t.Fatalf("got %v, want ErrOutcomeUnknown", err)
	}
	if _, err := hd.CurrentFence(); err == nil {
		t.Error("lease counts as held although the write's outcome is unknown")
	}
	acquireOrRenew(t, hd)
	if fence, err := hd.CurrentFence(); err != nil || fence != 1 {
		t.Errorf("after reading back: got fence %d, %v, want fence 1", fence, err)
	}
}

// Guards against orders under a stale fence, and against a restarted agent that
// accepts any fence.
func TestFenceGuard(t *testing.T) {
	guard := bwlease.NewFenceGuard()
	if err := guard.Admit("placement", 3); !errors.Is(err, bwlease.ErrLeaseNotRead) {
		t.Errorf("before the row is read: got %v, want ErrLeaseNotRead", err)
	}
	guard.RecordFence("placement", 3)
	for _, tt := range []struct {
		fence bwmodel.Fence
		want  error
	}{{2, bwlease.ErrStaleFence}, {3, nil}, {5, nil}, {4, bwlease.ErrStaleFence}, {5, nil}} {
		if err := guard.Admit("placement", tt.fence); !errors.Is(err, tt.want) {
			t.Errorf("fence %d: got %v, want %v", tt.fence, err, tt.want)
		}
	}
}
