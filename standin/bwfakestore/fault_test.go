package bwfakestore_test

import (
	"errors"
	"testing"
	"time"

	"bilberrywick/io/bwstore"
	"bilberrywick/standin/bwfakestore"
)

// Guards against a write that is reported as not applied although only its
// response was lost, and against a refused one with an unknown outcome.
func TestWriteErrors(t *testing.T) {
	tests := []struct {
		name    string
		faults  bwfakestore.Faults
		want    error
		applied bool
	}{
		{"no fault", bwfakestore.Faults{}, nil, true},
		{"down", bwfakestore.Faults{Down: true}, bwstore.ErrOutcomeUnknown, false},
		{"throttled", bwfakestore.Faults{Throttle: 1}, bwstore.ErrUnavailable, false},
		{"response lost", bwfakestore.Faults{LoseResponses: 1}, bwstore.ErrOutcomeUnknown, true},
		{"response delayed", bwfakestore.Faults{DelayResponses: 1, DelayTime: time.Minute}, bwstore.ErrOutcomeUnknown, true},
		{"slow", bwfakestore.Faults{Latency: time.Minute}, bwstore.ErrOutcomeUnknown, false},
		{"write delayed", bwfakestore.Faults{DelayWrites: 1, DelayTime: time.Minute}, bwstore.ErrOutcomeUnknown, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			srv, cl := startServer(t)
			row := bwstore.Row{Key: bwstore.Key{Partition: "P", Sort: "s"}, Version: 1, Body: []byte("x")}
			srv.SetFaults(bwfakestore.TableService, tt.faults)
			if err := cl.Table.Insert(t.Context(), row); !errors.Is(err, tt.want) {
				t.Errorf("got %v, want %v", err, tt.want)
			}
			srv.SetFaults(bwfakestore.TableService, bwfakestore.Faults{})
			got, err := cl.Table.Get(t.Context(), row.Key)
			if err != nil {
				t.Fatal(err)
			}
			if (got != nil) != tt.applied {
				t.Errorf("row %v, want applied=%v", got, tt.applied)
			}
		})
	}
}

// Guards against a failed dial that is reported as an unknown outcome.
func TestWriteWithoutConnection(t *testing.T) {
	srv, cl := startServer(t)
	srv.Close()
	row := bwstore.Row{Key: bwstore.Key{Partition: "P", Sort: "s"}, Version: 1, Body: []byte("x")}
	if err := cl.Table.Insert(t.Context(), row); !errors.Is(err, bwstore.ErrUnavailable) {
		t.Errorf("write: got %v, want ErrUnavailable", err)
	}
	if _, err := cl.Table.Get(t.Context(), row.Key); !errors.Is(err, bwstore.ErrUnavailable) {
		t.Errorf("read: got %v, want ErrUnavailable", err)
	}
}

// Guards against a query that stops after its first page, and against a
// transaction that is applied in part.
func TestQueryAndTransaction(t *testing.T) {
	_, cl := startServer(t)
	var writes []bwstore.Write
	for _, sort := range []string{"a", "b", "c", "d", "e", "f", "g"} {
		key := bwstore.Key{Partition: "P", Sort: sort}
		writes = append(writes, bwstore.Write{Row: bwstore.Row{Key: key, Version: 1, Body: make([]byte, 90)}, If: bwstore.IfAbsent()})
	}
	if err := cl.Table.Write(t.Context(), writes[2:]...); err != nil {
		t.Fatal(err)
	}
	var conflict *bwstore.ConflictError
	if err := cl.Table.Write(t.Context(), writes[:3]...); !errors.As(err, &conflict) || conflict.Failed[0] != 2 {
		t.Errorf("got %v, want a conflict of write 2", err)
	}
	for _, tt := range []struct {
		after string
		want  int
	}{{"", 5}, {"d", 3}, {"g", 0}} {
		rows, err := cl.Table.Query(t.Context(), "P", tt.after)
		if err != nil || len(rows) != tt.want {
			t.Errorf("after %q: got %d rows, %v, want %d", tt.after, len(rows), err, tt.want)
		}
	}
}
