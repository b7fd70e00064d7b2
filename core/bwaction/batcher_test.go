package bwaction_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"bilberrywick/core/bwaction"
)

// writer writes one row through a batcher.
type writer struct {
	bat  *bwaction.Batcher
	row  bwaction.Row
	errs chan error
}

func (wr *writer) run(ctx context.Context) { wr.errs <- wr.bat.Insert(ctx, wr.row) }

// Guards against a failed row that fails the other rows of its transaction, and
// against rows that are not grouped.
func TestBatcherIsolatesFailedWrite(t *testing.T) {
	tests := []struct {
		name  string
		fault error
		// commits is the highest allowed number of transactions for ten rows.
		commits int
	}{
		{"no fault", nil, 1},
		{"conflict", bwaction.ErrConflict, 2},
		{"rejected row", bwaction.ErrRejected, 9},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				commits := 0
				bat := bwaction.NewBatcher(bwaction.BatcherConfig{
					Parallel: 1,
					Commit: func(_ context.Context, writes []bwaction.Write) ([]bool, error) {
						commits++
						return commitWithFault(writes, tt.fault)
					},
				})
				bat.Start(t.Context())
				bad, good := make(chan error, 1), make(chan error, 10)
				for ix := range 10 {
					wr := &writer{bat: bat, row: bwaction.Row{Key: bwaction.Key{Name: fmt.Sprint(ix)}}, errs: good}
					if ix == 6 {
						wr.errs = bad
					}
					go wr.run(t.Context())
				}
				for range 9 {
					if err := <-good; err != nil {
						t.Errorf("another row failed: %v", err)
					}
				}
				if err := <-bad; !errors.Is(err, tt.fault) {
					t.Errorf("failed row got %v, want %v", err, tt.fault)
				}
				if commits > tt.commits {
					t.Errorf("%d transactions for ten rows, want at most %d", commits, tt.commits)
				}
			})
		})
	}
}

func commitWithFault(writes []bwaction.Write, fault error) ([]bool, error) {
	conflicts := make([]bool, len(writes))
	for ix, wrt := range writes {
		if fault != nil && wrt.Row.Key.Name == "6" {
			conflicts[ix] = true
			return conflicts, fault
		}
	}
	return nil, nil
}

// Guards against a transaction with one key twice, which the table rejects, and
// against a reservation that waits longer than the delay.
func TestBatcherSplitsEqualKeys(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		seen := make(map[bwaction.Key]bool)
		bat := bwaction.NewBatcher(bwaction.BatcherConfig{
			Parallel: 1,
			Delay:    5 * time.Millisecond,
			Commit: func(_ context.Context, writes []bwaction.Write) ([]bool, error) {
				clear(seen)
				for _, wrt := range writes {
					if seen[wrt.Row.Key] {
						t.Errorf("key %v is twice in one transaction", wrt.Row.Key)
					}
					seen[wrt.Row.Key] = true
				}
				return nil, nil
			},
		})
		bat.Start(t.Context())
		errs := make(chan error, 6)
		start := time.Now()
		for ix := range 6 {
			row := bwaction.Row{Key: bwaction.Key{Name: fmt.Sprint(ix % 2)}}
			go (&writer{bat: bat, row: row, errs: errs}).run(t.Context())
		}
		for range 6 {
			if err := <-errs; err != nil {
				t.Error(err)
			}
		}
		if took := time.Since(start); took > 5*time.Millisecond {
			t.Errorf("took %v, want at most the delay of 5ms", took)
		}
	})
}

// Guards against a write that is reported as not written when its caller's
// context ends before the transaction does.
func TestBatcherOutcomeUnknownAfterCancel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bat := bwaction.NewBatcher(bwaction.BatcherConfig{
			Commit: func(ctx context.Context, _ []bwaction.Write) ([]bool, error) {
				<-ctx.Done()
				return nil, bwaction.ErrOutcomeUnknown
			},
		})
		bat.Start(t.Context())
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if err := bat.Insert(ctx, bwaction.Row{}); !errors.Is(err, bwaction.ErrOutcomeUnknown) {
			t.Errorf("got %v, want %v", err, bwaction.ErrOutcomeUnknown)
		}
	})
}
