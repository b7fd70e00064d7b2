package bwgateway_test

import (
	"context"
	"errors"
	"net/netip"
	"runtime"
	"strconv"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"bilberrywick/core/bwforward"
	"bilberrywick/core/bwmodel"
	"bilberrywick/io/bwgateway"
)

// Guards against a delayed table that replaces a newer one.
func TestTableVersionNeverDecreases(t *testing.T) {
	st := bwgateway.NewControlState(bwgateway.ControlStateConfig{Pool: bwforward.NewPool(bwforward.PoolConfig{})})
	st.Start(t.Context())
	for _, tt := range []struct{ version, want uint64 }{{9, 9}, {7, 9}, {9, 9}, {12, 12}} {
		tbl := bwforward.NewRoutingTable(bwforward.RoutingTableConfig{Version: tt.version})
		if err := st.SetTable(t.Context(), tbl, 0); err != nil {
			t.Fatal(err)
		}
		if got := st.Table().Version(); got != tt.want {
			t.Errorf("version %d after setting %d, want %d", got, tt.version, tt.want)
		}
	}
}

// Guards against an invalid entry whose engine stays in use, and against dropping
// upstreams while the list is unavailable.
func TestInvalidEntryIsRemoved(t *testing.T) {
	eng := newFakeEngine(t, "e1", respondOK)
	pool := bwforward.NewPool(bwforward.PoolConfig{})
	st := bwgateway.NewControlState(bwgateway.ControlStateConfig{Pool: pool})
	st.Start(t.Context())
	up := eng.upstream()
	steps := []struct {
		name string
		do   func() error
		want int
	}{
		{"listed", func() error {
			return st.ApplyChanges(t.Context(), []bwgateway.UpstreamChange{{ID: up.ID, Upstream: &up}}, 0, true)
		}, 1},
		{"list unavailable", func() error { return st.MarkListUnavailable(t.Context(), errors.New("down")) }, 1},
		{"unreadable", func() error {
			return st.ApplyChanges(t.Context(), []bwgateway.UpstreamChange{{ID: up.ID, Err: errors.New("bytes")}}, 0, false)
		}, 0},
	}
	for _, stp := range steps {
		if err := stp.do(); err != nil {
			t.Fatal(err)
		}
		if got := pool.ActiveUpstreams("svc"); got != stp.want {
			t.Errorf("%s: %d upstreams, want %d", stp.name, got, stp.want)
		}
	}
}

// Guards against rebuilding a list of thousands of upstreams on each read,
// which took a tenth of the CPU of each gateway in a deployment of 300
// gateways.
func TestUnchangedEntriesAllocateLittle(t *testing.T) {
	const upstreams, reads = 3000, 50
	pool := bwforward.NewPool(bwforward.PoolConfig{})
	st := bwgateway.NewControlState(bwgateway.ControlStateConfig{Pool: pool})
	st.Start(t.Context())
	var changes []bwgateway.UpstreamChange
	for ix := range upstreams {
		up := bwforward.Upstream{
			ID: bwmodel.UpstreamID(strconv.Itoa(ix)), Service: "svc", StartTime: time.Unix(1, 0),
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(ix >> 8), byte(ix)}), 80),
		}
		changes = append(changes, bwgateway.UpstreamChange{ID: up.ID, Upstream: &up})
	}
	if err := st.ApplyChanges(t.Context(), changes, 0, true); err != nil {
		t.Fatal(err)
	}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range reads {
		if err := st.ApplyChanges(t.Context(), changes[:1], 0, false); err != nil {
			t.Fatal(err)
		}
	}
	runtime.ReadMemStats(&after)
	if each := (after.TotalAlloc - before.TotalAlloc) / reads; each > 16<<10 {
		t.Errorf("a read allocates %d bytes, want at most 16 KiB", each)
	}
	leaving := *changes[7].Upstream
	leaving.Leaving = true
	if err := st.ApplyChanges(t.Context(), []bwgateway.UpstreamChange{{ID: leaving.ID, Upstream: &leaving}}, 0, false); err != nil {
		t.Fatal(err)
	}
	if got := pool.ActiveUpstreams("svc"); got != upstreams-1 {
		t.Errorf("%d upstreams accept work after one began to leave, want %d", got, upstreams-1)
	}
	if got := st.View().Upstreams; got != upstreams {
		t.Errorf("the view has %d upstreams, want %d", got, upstreams)
	}
}

// Guards against engines that have restarted and wait for the next regular read of the
// list, while the others have all of the work.
func TestListIsReadSoonerAfterLosses(t *testing.T) {
	tests := []struct {
		name string
		lose func(context.Context, *bwgateway.ControlState, *bwforward.Pool)
		// least and most are the reads in the next second.
		least, most int64
	}{
		{"calm", func(context.Context, *bwgateway.ControlState, *bwforward.Pool) {}, 0, 1},
		{"engine failed", func(_ context.Context, _ *bwgateway.ControlState, pl *bwforward.Pool) {
			pl.Node("e1").RecordFailure(time.Now())
		}, 4, 10},
		{"engine responds again", func(_ context.Context, _ *bwgateway.ControlState, pl *bwforward.Pool) {
			pl.Node("e1").RecordFailure(time.Now())
			pl.Node("e1").RecordResponse(time.Now())
		}, 0, 1},
		{"engine replaced", func(_ context.Context, _ *bwgateway.ControlState, pl *bwforward.Pool) {
			pl.Node("e1").MarkReplaced(time.Now())
		}, 4, 10},
		{"list available again", func(ctx context.Context, st *bwgateway.ControlState, _ *bwforward.Pool) {
			_ = st.MarkListUnavailable(ctx, errors.New("down"))
			_ = st.ApplyChanges(ctx, nil, 1, false)
		}, 4, 10},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				pl := bwforward.NewPool(bwforward.PoolConfig{})
				st := bwgateway.NewControlState(bwgateway.ControlStateConfig{Pool: pl, Budgets: bwforward.NewRetryBudgets(bwforward.RetryBudgetsConfig{})})
				st.Start(ctx)
				up := bwforward.Upstream{ID: "e1", Service: "model"}
				_ = st.ApplyChanges(ctx, []bwgateway.UpstreamChange{{ID: up.ID, Upstream: &up}}, 1, true)
				var calls atomic.Int64
				st.Follow(ctx, bwgateway.FollowerConfig{
					Table: "engines", PollInterval: time.Minute, ExpectsChanges: st.ExpectsListChanges, ChangesInterval: 200 * time.Millisecond,
					ReadTable: func(context.Context) (bwgateway.ReadResult, error) {
						tt.lose(ctx, st, pl)
						return bwgateway.ReadResult{Version: 1}, nil
					},
					ReadChanges: func(context.Context, uint64, time.Duration, int64) (bwgateway.ReadResult, error) {
						calls.Add(1)
						return bwgateway.ReadResult{Version: 1}, nil
					},
					Apply: func(context.Context, bwgateway.ReadResult, bool) error { return nil },
				})
				time.Sleep(time.Second)
				if got := calls.Load(); got < tt.least || got > tt.most {
					t.Errorf("%d reads in a second, want %d to %d", got, tt.least, tt.most)
				}
				cancel()
				synctest.Wait()
			})
		})
	}
}
