package bwgateway_test

import (
	"errors"
	"net/netip"
	"runtime"
	"strconv"
	"testing"
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
