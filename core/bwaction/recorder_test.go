package bwaction_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"bilberrywick/core/bwaction"
	"bilberrywick/core/bwmodel"
)

// swaps answers writes as told and keeps what was written.
type swaps struct {
	errs    []error
	written []bwaction.Row
	tries   int
}

func (swp *swaps) swap(_ context.Context, _ bwaction.RowVersion, row bwaction.Row) error {
	swp.tries++
	err := take(&swp.errs)
	if err == nil {
		swp.written = append(swp.written, row)
	}
	return err
}

func resultOf(name string, size int) bwaction.Row {
	return bwaction.Row{
		Key: bwaction.Key{Team: "t1", Name: name}, State: bwaction.Finished,
		Response: bwmodel.HTTPResponse{Body: make([]byte, size)},
	}
}

// Guards against a result that is lost with its agent because its write failed
// once, and against writes that go on after the row has an outcome.
func TestRecorderRepeatsWrites(t *testing.T) {
	tests := []struct {
		name           string
		errs           []error
		tries, written int
	}{
		{"table away", []error{bwaction.ErrUnavailable, bwaction.ErrUnavailable, nil}, 3, 1},
		{"outcome of the write unknown", []error{bwaction.ErrOutcomeUnknown, nil}, 2, 1},
		{"another outcome", []error{bwaction.ErrConflict}, 1, 0},
		{"rejected", []error{bwaction.ErrRejected}, 1, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				swp := &swaps{errs: tt.errs}
				rcd := bwaction.NewRecorder(bwaction.RecorderConfig{Swap: swp.swap, Now: time.Now})
				ctx, cancel := context.WithCancel(t.Context())
				rcd.Start(ctx)
				rcd.Add(bwaction.RowVersion{Fence: 1, State: bwaction.Reserved}, resultOf("k1", 1))
				time.Sleep(time.Minute)
				cancel()
				synctest.Wait()
				if swp.tries != tt.tries || len(swp.written) != tt.written || rcd.Pending() != 0 {
					t.Errorf("%d tries, %d written, %d waiting; want %d, %d and 0", swp.tries, len(swp.written), rcd.Pending(), tt.tries, tt.written)
				}
			})
		})
	}
}

// Guards against results that use up the router's memory in a long outage, and
// against tries that never end.
func TestRecorderIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		swp := &swaps{errs: []error{bwaction.ErrUnavailable}}
		rcd := bwaction.NewRecorder(bwaction.RecorderConfig{Swap: swp.swap, Now: time.Now, MaxResults: 3, MaxBytes: 250, Retention: time.Hour})
		ctx, cancel := context.WithCancel(t.Context())
		rcd.Start(ctx)
		for _, name := range []string{"k1", "k2", "k3"} {
			rcd.Add(bwaction.RowVersion{}, resultOf(name, 100))
			synctest.Wait()
		}
		if got := rcd.Pending(); got != 2 {
			t.Errorf("%d results wait, want the 2 that fit", got)
		}
		time.Sleep(time.Hour + time.Minute)
		cancel()
		synctest.Wait()
		if got := rcd.Pending(); got != 0 {
			t.Errorf("%d results wait after the retention, want 0", got)
		}
	})
}

// Guards against a coordinator that gives up the write of a result.
func TestFailedRecordIsRepeated(t *testing.T) {
	scr := &script{dispatches: []scripted{{state: bwmodel.SettleDone}}, writes: []error{nil, bwaction.ErrUnavailable}}
	var repeated []bwaction.Row
	co := bwaction.NewCoordinator(bwaction.CoordinatorConfig{
		Read: scr.read, Insert: scr.insert, Swap: scr.swap, Choose: scr.choose,
		Dispatch: scr.dispatch, Settle: scr.settle, Now: time.Now, NewAttempt: scr.newAttempt,
		RetryLater: func(_ bwaction.RowVersion, row bwaction.Row) { repeated = append(repeated, row) },
	})
	if _, err := co.Run(t.Context(), scriptRequest); err != nil {
		t.Fatal(err)
	}
	if len(repeated) != 1 || repeated[0].State != bwaction.Finished {
		t.Errorf("writes to repeat: %+v, want the result", repeated)
	}
}
