package bwgateway_test

import (
	"errors"
	"testing"

	"bilberrywick/core/bwforward"
	"bilberrywick/io/bwgateway"
)

// Guards against a table that comes late and puts an older state in force.
func TestTablesNeverGoBack(t *testing.T) {
	st := bwgateway.NewState(bwgateway.StateConfig{Pool: bwforward.NewPool(bwforward.PoolConfig{})})
	st.Start(t.Context())
	for _, tt := range []struct{ version, want uint64 }{{9, 9}, {7, 9}, {9, 9}, {12, 12}} {
		tbl := bwforward.NewTable(bwforward.TableConfig{Version: tt.version})
		if err := st.SetTable(t.Context(), tbl); err != nil {
			t.Fatal(err)
		}
		if got := st.Table().Version(); got != tt.want {
			t.Errorf("version %d in force after %d, want %d", got, tt.version, tt.want)
		}
	}
}

// Guards against an entry that can't be read and leaves its engine in use, and
// against upstreams that are forgotten while the list is away.
func TestEntriesThatCannotBeRead(t *testing.T) {
	eng := newEngine(t, "e1", well)
	pool := bwforward.NewPool(bwforward.PoolConfig{})
	st := bwgateway.NewState(bwgateway.StateConfig{Pool: pool})
	st.Start(t.Context())
	up := eng.upstream()
	steps := []struct {
		name string
		do   func() error
		want int
	}{
		{"listed", func() error {
			return st.Apply(t.Context(), []bwgateway.Change{{ID: up.ID, Upstream: &up}}, true)
		}, 1},
		{"list away", func() error { return st.ListLost(t.Context(), errors.New("down")) }, 1},
		{"unreadable", func() error {
			return st.Apply(t.Context(), []bwgateway.Change{{ID: up.ID, Invalid: errors.New("bytes")}}, false)
		}, 0},
	}
	for _, stp := range steps {
		if err := stp.do(); err != nil {
			t.Fatal(err)
		}
		if got := pool.Size("svc"); got != stp.want {
			t.Errorf("%s: %d upstreams, want %d", stp.name, got, stp.want)
		}
	}
}
