package bwaction_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"bilberrywick/core/bwaction"
	"bilberrywick/core/bwmodel"
)

// fakeTable returns prepared errors for writes and keeps the rows written.
type fakeTable struct {
	errs     []error
	written  []bwaction.Row
	attempts int
}

func (tbl *fakeTable) swap(_ context.Context, _ bwaction.RowVersion, row bwaction.Row) error {
	tbl.attempts++
	err := nextOf(&tbl.errs)
	if err == nil {
		tbl.written = append(tbl.written, row)
	}
	return err
}

func finishedRow(name string, size int) bwaction.Row {
	return bwaction.Row{
		Key: bwaction.Key{Team: "t1", Name: name}, State: bwaction.Finished,
		Response: bwmodel.HTTPResponse{Body: make([]byte, size)},
	}
}

// Guards against a result that is lost with its agent because its write failed
// once, and against writes that are retried after the row has an outcome.
func TestRecorderRetriesWrites(t *testing.T) {
	tests := []struct {
		name              string
		errs              []error
		attempts, written int
	}{
		{"table unavailable", []error{bwaction.ErrUnavailable, bwaction.ErrUnavailable, nil}, 3, 1},
		{"outcome of the write unknown", []error{bwaction.ErrOutcomeUnknown, nil}, 2, 1},
		{"another outcome", []error{bwaction.ErrConflict}, 1, 0},
		{"rejected", []error{bwaction.ErrRejected}, 1, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tbl := &fakeTable{errs: tt.errs}
				rcd := bwaction.NewRecorder(bwaction.RecorderConfig{Swap: tbl.swap, Now: time.Now})
				ctx, cancel := context.WithCancel(t.Context())
				rcd.Start(ctx)
				rcd.Add(bwaction.RowVersion{Fence: 1, State: bwaction.Reserved}, finishedRow("k1", 1))
				time.Sleep(time.Minute)
				cancel()
				synctest.Wait()
				if tbl.attempts != tt.attempts || len(tbl.written) != tt.written || rcd.Pending() != 0 {
					t.Errorf("%d attempts, %d written, %d pending; want %d, %d and 0", tbl.attempts, len(tbl.written), rcd.Pending(), tt.attempts, tt.written)
				}
			})
		})
	}
}

// Guards against results that exhaust the router's memory in a long outage, and
// against retries that never end.
func TestRecorderIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tbl := &fakeTable{errs: []error{bwaction.ErrUnavailable}}
		rcd := bwaction.NewRecorder(bwaction.RecorderConfig{Swap: tbl.swap, Now: time.Now, MaxResults: 3, MaxBytes: 250, Retention: time.Hour})
		ctx, cancel := context.WithCancel(t.Context())
		rcd.Start(ctx)
		for _, name := range []string{"k1", "k2", "k3"} {
			rcd.Add(bwaction.RowVersion{}, finishedRow(name, 100))
			synctest.Wait()
		}
		if got := rcd.Pending(); got != 2 {
			t.Errorf("%d results pending, want the 2 that fit", got)
		}
		time.Sleep(time.Hour + time.Minute)
		cancel()
		synctest.Wait()
		if got := rcd.Pending(); got != 0 {
			t.Errorf("%d results pending after the retention, want 0", got)
		}
	})
}

// Guards against a coordinator that drops a result whose write failed.
func TestFailedResultWriteIsRetried(t *testing.T) {
	dps := &fakeDependencies{dispatches: []fakeResponse{{state: bwmodel.SettleDone}}, writes: []error{nil, bwaction.ErrUnavailable}}
	var retried []bwaction.Row
	co := bwaction.NewCoordinator(bwaction.CoordinatorConfig{
		Read: dps.read, Insert: dps.insert, Swap: dps.swap, Choose: dps.choose,
		Dispatch: dps.dispatch, Settle: dps.settle, Now: time.Now, NewAttempt: dps.newAttempt,
		RetryLater: func(_ bwaction.RowVersion, row bwaction.Row) { retried = append(retried, row) },
	})
	if _, err := co.Run(t.Context(), testRequest); err != nil {
		t.Fatal(err)
	}
	if len(retried) != 1 || retried[0].State != bwaction.Finished {
		t.Errorf("writes to retry: %+v, want one of a finished row", retried)
	}
}
