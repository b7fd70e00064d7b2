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

// table holds one lease row; lose makes the next write take effect without an answer.
type table struct {
	row  bwlease.Row
	lose bool
}

func (tab *table) read(context.Context) (bwlease.Row, error) { return tab.row, nil }

func (tab *table) swap(_ context.Context, next bwlease.Row) error {
	if next.Version != tab.row.Version+1 {
		return bwlease.ErrRowChanged
	}
	tab.row = next
	if tab.lose {
		tab.lose = false
		return bwlease.ErrOutcomeUnknown
	}
	return nil
}

// clock is a process's own monotonic clock.
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

func step(t *testing.T, hd *bwlease.Holder) {
	t.Helper()
	if err := hd.AcquireOrRenew(t.Context()); err != nil {
		t.Fatal(err)
	}
}

// Guards against a holder that was paused past its lease and still sends
// orders, and against two holders at a time.
func TestPausedHolderLosesLease(t *testing.T) {
	tab := &table{}
	// The clocks differ by a day, since no process compares them.
	clkA, clkB := &clock{now: time.Unix(1e6, 0)}, &clock{now: time.Unix(1e6, 0).Add(24 * time.Hour)}
	first, second := newHolder(t, tab, clkA, "a"), newHolder(t, tab, clkB, "b")
	step(t, first)
	if fence, err := first.CurrentFence(); err != nil || fence != 1 {
		t.Fatalf("first holder: got fence %d, %v", fence, err)
	}
	step(t, second)
	clkA.now, clkB.now = clkA.now.Add(ttl/2), clkB.now.Add(ttl/2)
	step(t, first)
	clkB.now = clkB.now.Add(ttl / 2)
	step(t, second)
	if _, err := second.CurrentFence(); !errors.Is(err, bwlease.ErrNotHeld) {
		t.Fatal("lease taken although it was renewed within the TTL")
	}
	// The first holder is paused from here on; its clock goes on.
	clkA.now, clkB.now = clkA.now.Add(ttl), clkB.now.Add(ttl)
	step(t, second)
	if fence, err := second.CurrentFence(); err != nil || fence != 2 {
		t.Errorf("second holder: got fence %d, %v, want fence 2", fence, err)
	}
	if _, err := first.CurrentFence(); !errors.Is(err, bwlease.ErrNotHeld) {
		t.Error("paused holder believes that it holds the lease")
	}
	step(t, first)
	if _, err := first.CurrentFence(); !errors.Is(err, bwlease.ErrNotHeld) {
		t.Error("former holder took the lease back")
	}
}

// Guards against validity that counts from the answer of a renewal, which the
// store may have delayed.
func TestValidityCountsFromSending(t *testing.T) {
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
	step(t, hd)
	if _, err := hd.CurrentFence(); !errors.Is(err, bwlease.ErrNotHeld) {
		t.Error("lease counts as held a whole TTL after the write was sent")
	}
}

// Guards against a lost answer that loses the lease or grants it unseen.
func TestLostAnswerIsReadBack(t *testing.T) {
	tab, clk := &table{lose: true}, &clock{now: time.Unix(1e6, 0)}
	hd := newHolder(t, tab, clk, "a")
	if err := hd.AcquireOrRenew(t.Context()); !errors.Is(err, bwlease.ErrOutcomeUnknown) {
		t.Fatalf("got %v, want ErrUnsure", err)
	}
	if _, err := hd.CurrentFence(); err == nil {
		t.Error("lease counts as held although the write's outcome is unknown")
	}
	step(t, hd)
	if fence, err := hd.CurrentFence(); err != nil || fence != 1 {
		t.Errorf("after reading back: got fence %d, %v, want fence 1", fence, err)
	}
}

// Guards against orders under a replaced fence, and against a restarted agent
// that accepts any fence.
func TestGuard(t *testing.T) {
	gd := bwlease.NewFenceGuard()
	if err := gd.Admit("placement", 3); !errors.Is(err, bwlease.ErrLeaseNotRead) {
		t.Errorf("before the row is read: got %v, want ErrNotRead", err)
	}
	gd.RecordFence("placement", 3)
	for _, tt := range []struct {
		fence bwmodel.Fence
		want  error
	}{{2, bwlease.ErrStaleFence}, {3, nil}, {5, nil}, {4, bwlease.ErrStaleFence}, {5, nil}} {
		if err := gd.Admit("placement", tt.fence); !errors.Is(err, tt.want) {
			t.Errorf("fence %d: got %v, want %v", tt.fence, err, tt.want)
		}
	}
}
