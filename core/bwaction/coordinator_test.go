package bwaction_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"bilberrywick/core/bwaction"
	"bilberrywick/core/bwmodel"
)

// fakeDependencies holds a table with one row and an agent with prepared responses.
// Each response is used once, and the last one for all later calls.
type fakeDependencies struct {
	row        *bwaction.Row
	reads      []error
	writes     []error
	dispatches []fakeResponse
	settles    []fakeResponse
	// replacement, if not nil, replaces the row before a dispatch returns.
	replacement *bwaction.Row
	dispatched  int
	sealed      int
}

type fakeResponse struct {
	state bwmodel.SettleState
	err   error
}

func nextOf[T any](items *[]T) T {
	var item T
	if len(*items) == 0 {
		return item
	}
	item = (*items)[0]
	if len(*items) > 1 {
		*items = (*items)[1:]
	}
	return item
}

func (dps *fakeDependencies) read(context.Context, bwaction.Key) (bwaction.Row, bool, error) {
	if err := nextOf(&dps.reads); err != nil || dps.row == nil {
		return bwaction.Row{}, false, err
	}
	return *dps.row, true, nil
}

func (dps *fakeDependencies) insert(_ context.Context, row bwaction.Row) error {
	if err := nextOf(&dps.writes); err != nil {
		return err
	}
	if dps.row != nil {
		return bwaction.ErrConflict
	}
	dps.row = &row
	return nil
}

func (dps *fakeDependencies) swap(_ context.Context, exp bwaction.RowVersion, row bwaction.Row) error {
	if err := nextOf(&dps.writes); err != nil {
		return err
	}
	if dps.row == nil || dps.row.Version() != exp {
		return bwaction.ErrConflict
	}
	dps.row = &row
	return nil
}

func (dps *fakeDependencies) choose(_ context.Context, _ bwaction.Request, exclude []bwmodel.UpstreamID) (bwaction.Target, error) {
	if len(exclude) > 0 {
		return bwaction.Target{}, errors.New("no other upstream")
	}
	return bwaction.Target{Upstream: bwmodel.Upstream{Name: "u1"}, Incarnation: testIncarnation}, nil
}

func (dps *fakeDependencies) dispatch(context.Context, bwmodel.UpstreamID, bwaction.Dispatch) (bwaction.SettleResult, error) {
	dps.dispatched++
	if dps.replacement != nil {
		dps.row = dps.replacement
	}
	response := nextOf(&dps.dispatches)
	return bwaction.SettleResult{State: response.state}, response.err
}

func (dps *fakeDependencies) settle(_ context.Context, _ bwmodel.UpstreamID, stl bwaction.SettleRequest) (bwaction.SettleResult, error) {
	if !stl.Peek {
		dps.sealed++
	}
	response := nextOf(&dps.settles)
	return bwaction.SettleResult{State: response.state}, response.err
}

func (dps *fakeDependencies) coordinator() *bwaction.Coordinator {
	return bwaction.NewCoordinator(bwaction.CoordinatorConfig{
		Read: dps.read, Insert: dps.insert, Swap: dps.swap, Choose: dps.choose,
		Dispatch: dps.dispatch, Settle: dps.settle, Now: time.Now, NewAttempt: dps.newAttempt,
	})
}

func (dps *fakeDependencies) newAttempt() bwmodel.RequestID { return bwmodel.RequestID{1} }

var testRequest = bwaction.Request{Key: testKey, Service: "desk", HTTP: bwmodel.HTTPRequest{Body: []byte("x")}}

func rowInState(state bwaction.RowState, body string) *bwaction.Row {
	req := bwmodel.HTTPRequest{Body: []byte(body)}
	return &bwaction.Row{
		Key: testKey, Service: "desk", Digest: bwaction.DigestOf("desk", req), Attempt: bwmodel.RequestID{9},
		Fence: 1, State: state, Upstream: "u1", Incarnation: testIncarnation,
	}
}

func refusedWith(ref bwaction.Refusal) fakeResponse {
	return fakeResponse{err: &bwaction.RefusedError{Refusal: ref}}
}

// Guards against a false outcome and against a second dispatch, for each response
// of the table and the agent.
func TestCoordinator(t *testing.T) {
	lost := fakeResponse{err: errLost}
	done, running := fakeResponse{state: bwmodel.SettleDone}, fakeResponse{state: bwmodel.SettleRunning}
	sealed, unavailable := fakeResponse{state: bwmodel.SettleSealed}, bwaction.ErrUnavailable
	tests := []struct {
		name       string
		deps       fakeDependencies
		want       string
		dispatched int
	}{
		{"agent responds", fakeDependencies{dispatches: []fakeResponse{done}}, "Done", 1},
		{"dispatch lost, running, then done", fakeDependencies{dispatches: []fakeResponse{lost}, settles: []fakeResponse{running, running, done}}, "Done", 1},
		{"dispatch lost, agent unresponsive", fakeDependencies{dispatches: []fakeResponse{lost}, settles: []fakeResponse{lost}}, "Unknown", 1},
		{"dispatch lost, agent restarted", fakeDependencies{dispatches: []fakeResponse{lost}, settles: []fakeResponse{refusedWith(bwaction.RefusedIncarnation)}}, "Unknown", 1},
		{"dispatch lost, then sealed", fakeDependencies{dispatches: []fakeResponse{lost, done}, settles: []fakeResponse{sealed}}, "Done", 2},
		{"already started", fakeDependencies{dispatches: []fakeResponse{refusedWith(bwaction.RefusedDuplicate)}, settles: []fakeResponse{done}}, "Done", 1},
		{"refused", fakeDependencies{dispatches: []fakeResponse{refusedWith(bwaction.RefusedLeaving)}}, "NotRun", 1},
		{"refused, table unavailable", fakeDependencies{dispatches: []fakeResponse{refusedWith(bwaction.RefusedLeaving)}, writes: []error{nil, unavailable}, reads: []error{unavailable}}, "RequestNotRun", 1},
		{"refused, table responses lost", fakeDependencies{dispatches: []fakeResponse{refusedWith(bwaction.RefusedLeaving)}, writes: []error{nil, bwaction.ErrOutcomeUnknown}}, "NotRun", 1},
		{"sealed by another request that is done", fakeDependencies{dispatches: []fakeResponse{refusedWith(bwaction.RefusedStale)}, replacement: rowInState(bwaction.Finished, "x")}, "Done", 1},
		{"sealed by another request that broke", fakeDependencies{dispatches: []fakeResponse{refusedWith(bwaction.RefusedStale)}, replacement: rowInState(bwaction.Broken, "x")}, "RequestNotRun", 1},
		{"sealed by another request, table unavailable", fakeDependencies{dispatches: []fakeResponse{refusedWith(bwaction.RefusedStale)}, reads: []error{unavailable}}, "RequestNotRun", 1},
		{"sealed by another request that did not take over", fakeDependencies{dispatches: []fakeResponse{refusedWith(bwaction.RefusedStale), done}}, "Done", 2},
		{"dispatch lost, sealed, table unavailable", fakeDependencies{dispatches: []fakeResponse{lost}, settles: []fakeResponse{sealed}, writes: []error{nil, unavailable}, reads: []error{unavailable}}, "RequestNotRun", 1},
		{"upstream failed", fakeDependencies{dispatches: []fakeResponse{{state: bwmodel.SettleBroken}}}, "Unknown", 1},
		{"key reused with another body", fakeDependencies{row: rowInState(bwaction.Finished, "y")}, "NotRun", 0},
		{"released key retried", fakeDependencies{row: rowInState(bwaction.Released, "x"), dispatches: []fakeResponse{done}}, "Done", 1},
		{"retry while running", fakeDependencies{row: rowInState(bwaction.Reserved, "x"), settles: []fakeResponse{running}}, "RequestNotRun", 0},
		{"retry, agent evicted the result", fakeDependencies{row: rowInState(bwaction.Reserved, "x"), settles: []fakeResponse{{state: bwmodel.SettleEvicted}}}, "RequestNotRun", 0},
		{"retry, agent restarted", fakeDependencies{row: rowInState(bwaction.Reserved, "x"), settles: []fakeResponse{refusedWith(bwaction.RefusedIncarnation)}}, "RequestNotRun", 0},
		{"retry, agent unresponsive", fakeDependencies{row: rowInState(bwaction.Reserved, "x"), settles: []fakeResponse{lost}}, "RequestNotRun", 0},
		{"table unavailable", fakeDependencies{writes: []error{unavailable}, reads: []error{unavailable}}, "RequestNotRun", 0},
		{"insert failed, no row", fakeDependencies{writes: []error{bwaction.ErrOutcomeUnknown}}, "NotRun", 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				dps := tt.deps
				_, err := dps.coordinator().Run(t.Context(), testRequest)
				if got := outcomeName(err); got != tt.want {
					t.Errorf("outcome %s (%v), want %s", got, err, tt.want)
				}
				if dps.dispatched != tt.dispatched {
					t.Errorf("dispatched %d times, want %d", dps.dispatched, tt.dispatched)
				}
			})
		})
	}
}

func outcomeName(err error) string {
	out := outputOf(bwaction.Result{}, err)
	switch {
	case out.done:
		return "Done"
	case out.notRun:
		return "NotRun"
	case out.requestNotRun:
		return "RequestNotRun"
	}
	return "Unknown"
}

// Guards against a query that seals an action that may still start.
func TestQueryDoesNotSeal(t *testing.T) {
	dps := &fakeDependencies{row: rowInState(bwaction.Reserved, "x"), settles: []fakeResponse{{state: bwmodel.SettleWaiting}}}
	_, err := dps.coordinator().Query(t.Context(), testKey)
	if got := outcomeName(err); got != "RequestNotRun" || dps.sealed > 0 {
		t.Errorf("outcome %s, sealed %d times; want RequestNotRun and no seal", got, dps.sealed)
	}
}

// Guards against a request that runs until RunTimeout while the agent accepts
// settle requests and never responds to them.
func TestUnresponsiveAgentTimesOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dps := &fakeDependencies{dispatches: []fakeResponse{{err: errLost}}}
		co := bwaction.NewCoordinator(bwaction.CoordinatorConfig{
			Read: dps.read, Insert: dps.insert, Swap: dps.swap, Choose: dps.choose, Dispatch: dps.dispatch,
			Settle: waitForever, Now: time.Now, NewAttempt: dps.newAttempt,
			CallTimeout: time.Second, SettleTimeout: 3 * time.Second, RunTimeout: time.Hour,
		})
		start := time.Now()
		_, err := co.Run(t.Context(), testRequest)
		if got := outcomeName(err); got != "Unknown" {
			t.Errorf("outcome %s (%v), want Unknown", got, err)
		}
		if took := time.Since(start); took > 5*time.Second {
			t.Errorf("gave up after %v, want at most 5s", took)
		}
	})
}

func waitForever(ctx context.Context, _ bwmodel.UpstreamID, _ bwaction.SettleRequest) (bwaction.SettleResult, error) {
	<-ctx.Done()
	return bwaction.SettleResult{}, ctx.Err()
}
