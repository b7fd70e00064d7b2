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

// script is a table with one row and an agent that answers as told; each answer
// is used once, the last one for all later calls.
type script struct {
	row        *bwaction.Row
	reads      []error
	writes     []error
	dispatches []scripted
	settles    []scripted
	// overtake replaces the row before a dispatch is answered.
	overtake   *bwaction.Row
	dispatched int
	sealed     int
}

type scripted struct {
	state bwmodel.SettleState
	err   error
}

func take[T any](list *[]T) T {
	var one T
	if len(*list) == 0 {
		return one
	}
	one = (*list)[0]
	if len(*list) > 1 {
		*list = (*list)[1:]
	}
	return one
}

func (scr *script) read(context.Context, bwaction.Key) (bwaction.Row, bool, error) {
	if err := take(&scr.reads); err != nil || scr.row == nil {
		return bwaction.Row{}, false, err
	}
	return *scr.row, true, nil
}

func (scr *script) insert(_ context.Context, row bwaction.Row) error {
	if err := take(&scr.writes); err != nil {
		return err
	}
	if scr.row != nil {
		return bwaction.ErrConflict
	}
	scr.row = &row
	return nil
}

func (scr *script) swap(_ context.Context, exp bwaction.RowVersion, row bwaction.Row) error {
	if err := take(&scr.writes); err != nil {
		return err
	}
	if scr.row == nil || scr.row.Version() != exp {
		return bwaction.ErrConflict
	}
	scr.row = &row
	return nil
}

func (scr *script) choose(_ context.Context, _ bwaction.Request, exclude []bwmodel.UpstreamID) (bwaction.Target, error) {
	if len(exclude) > 0 {
		return bwaction.Target{}, errors.New("no other upstream")
	}
	return bwaction.Target{Upstream: bwmodel.Upstream{Name: "u1"}, Incarnation: testIncarnation}, nil
}

func (scr *script) dispatch(context.Context, bwmodel.UpstreamID, bwaction.Dispatch) (bwaction.SettleResult, error) {
	scr.dispatched++
	if scr.overtake != nil {
		scr.row = scr.overtake
	}
	ans := take(&scr.dispatches)
	return bwaction.SettleResult{State: ans.state}, ans.err
}

func (scr *script) settle(_ context.Context, _ bwmodel.UpstreamID, stl bwaction.SettleRequest) (bwaction.SettleResult, error) {
	if !stl.Peek {
		scr.sealed++
	}
	ans := take(&scr.settles)
	return bwaction.SettleResult{State: ans.state}, ans.err
}

func (scr *script) coordinator() *bwaction.Coordinator {
	return bwaction.NewCoordinator(bwaction.CoordinatorConfig{
		Read: scr.read, Insert: scr.insert, Swap: scr.swap, Choose: scr.choose,
		Dispatch: scr.dispatch, Settle: scr.settle, Now: time.Now, NewAttempt: scr.newAttempt,
	})
}

func (scr *script) newAttempt() bwmodel.RequestID { return bwmodel.RequestID{1} }

var scriptRequest = bwaction.Request{Key: testKey, Service: "desk", HTTP: bwmodel.HTTPRequest{Body: []byte("x")}}

func rowOf(state bwaction.RowState, body string) *bwaction.Row {
	req := bwmodel.HTTPRequest{Body: []byte(body)}
	return &bwaction.Row{
		Key: testKey, Service: "desk", Digest: bwaction.DigestOf("desk", req), Attempt: bwmodel.RequestID{9},
		Fence: 1, State: state, Upstream: "u1", Incarnation: testIncarnation,
	}
}

func refusedWith(ref bwaction.Refusal) scripted {
	return scripted{err: &bwaction.RefusedError{Refusal: ref}}
}

// Guards against an outcome that is not true, and against a second dispatch,
// at each answer that the table and the agent can give.
func TestCoordinator(t *testing.T) {
	lost := scripted{err: errLost}
	done, running := scripted{state: bwmodel.SettleDone}, scripted{state: bwmodel.SettleRunning}
	sealed, away := scripted{state: bwmodel.SettleSealed}, bwaction.ErrUnavailable
	tests := []struct {
		name       string
		scr        script
		want       string
		dispatched int
	}{
		{"answered", script{dispatches: []scripted{done}}, "Done", 1},
		{"dispatch lost, running, then done", script{dispatches: []scripted{lost}, settles: []scripted{running, running, done}}, "Done", 1},
		{"dispatch lost, agent silent", script{dispatches: []scripted{lost}, settles: []scripted{lost}}, "Unknown", 1},
		{"dispatch lost, agent restarted", script{dispatches: []scripted{lost}, settles: []scripted{refusedWith(bwaction.RefusedIncarnation)}}, "Unknown", 1},
		{"dispatch lost, then sealed", script{dispatches: []scripted{lost, done}, settles: []scripted{sealed}}, "Done", 2},
		{"started before", script{dispatches: []scripted{refusedWith(bwaction.RefusedDuplicate)}, settles: []scripted{done}}, "Done", 1},
		{"refused", script{dispatches: []scripted{refusedWith(bwaction.RefusedLeaving)}}, "NotRun", 1},
		{"refused, table away", script{dispatches: []scripted{refusedWith(bwaction.RefusedLeaving)}, writes: []error{nil, away}, reads: []error{away}}, "RequestNotRun", 1},
		{"refused, table answers lost", script{dispatches: []scripted{refusedWith(bwaction.RefusedLeaving)}, writes: []error{nil, bwaction.ErrOutcomeUnknown}}, "NotRun", 1},
		{"sealed by another, which is done", script{dispatches: []scripted{refusedWith(bwaction.RefusedStale)}, overtake: rowOf(bwaction.Finished, "x")}, "Done", 1},
		{"sealed by another, which broke", script{dispatches: []scripted{refusedWith(bwaction.RefusedStale)}, overtake: rowOf(bwaction.Broken, "x")}, "RequestNotRun", 1},
		{"sealed by another, table away", script{dispatches: []scripted{refusedWith(bwaction.RefusedStale)}, reads: []error{away}}, "RequestNotRun", 1},
		{"sealed by another that went no further", script{dispatches: []scripted{refusedWith(bwaction.RefusedStale), done}}, "Done", 2},
		{"lost, sealed, table away", script{dispatches: []scripted{lost}, settles: []scripted{sealed}, writes: []error{nil, away}, reads: []error{away}}, "RequestNotRun", 1},
		{"upstream broke", script{dispatches: []scripted{{state: bwmodel.SettleBroken}}}, "Unknown", 1},
		{"repeat with another body", script{row: rowOf(bwaction.Finished, "y")}, "NotRun", 0},
		{"repeat of a released key", script{row: rowOf(bwaction.Released, "x"), dispatches: []scripted{done}}, "Done", 1},
		{"repeat while running", script{row: rowOf(bwaction.Reserved, "x"), settles: []scripted{running}}, "RequestNotRun", 0},
		{"repeat, agent forgot", script{row: rowOf(bwaction.Reserved, "x"), settles: []scripted{{state: bwmodel.SettleEvicted}}}, "RequestNotRun", 0},
		{"repeat, agent restarted", script{row: rowOf(bwaction.Reserved, "x"), settles: []scripted{refusedWith(bwaction.RefusedIncarnation)}}, "RequestNotRun", 0},
		{"repeat, agent silent", script{row: rowOf(bwaction.Reserved, "x"), settles: []scripted{lost}}, "RequestNotRun", 0},
		{"table away", script{writes: []error{away}, reads: []error{away}}, "RequestNotRun", 0},
		{"insert failed, no row", script{writes: []error{bwaction.ErrOutcomeUnknown}}, "NotRun", 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				scr := tt.scr
				_, err := scr.coordinator().Run(t.Context(), scriptRequest)
				if got := nameOf(err); got != tt.want {
					t.Errorf("outcome %s (%v), want %s", got, err, tt.want)
				}
				if scr.dispatched != tt.dispatched {
					t.Errorf("dispatched %d times, want %d", scr.dispatched, tt.dispatched)
				}
			})
		})
	}
}

func nameOf(err error) string {
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

// Guards against a query that stops an action which may still start.
func TestQueryDoesNotSeal(t *testing.T) {
	scr := &script{row: rowOf(bwaction.Reserved, "x"), settles: []scripted{{state: bwmodel.SettleWaiting}}}
	_, err := scr.coordinator().Query(t.Context(), testKey)
	if got := nameOf(err); got != "RequestNotRun" || scr.sealed > 0 {
		t.Errorf("outcome %s, sealed %d times", got, scr.sealed)
	}
}

// Guards against a caller who waits for the whole time of an action while the
// agent takes questions and never answers.
func TestSilentAgentIsGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		scr := &script{dispatches: []scripted{{err: errLost}}}
		co := bwaction.NewCoordinator(bwaction.CoordinatorConfig{
			Read: scr.read, Insert: scr.insert, Swap: scr.swap, Choose: scr.choose, Dispatch: scr.dispatch,
			Settle: waitForever, Now: time.Now, NewAttempt: scr.newAttempt,
			CallTimeout: time.Second, SettleTimeout: 3 * time.Second, RunTimeout: time.Hour,
		})
		began := time.Now()
		_, err := co.Run(t.Context(), scriptRequest)
		if got := nameOf(err); got != "Unknown" {
			t.Errorf("outcome %s (%v), want Unknown", got, err)
		}
		if took := time.Since(began); took > 5*time.Second {
			t.Errorf("given up after %v of the virtual clock, want at most 5s", took)
		}
	})
}

func waitForever(ctx context.Context, _ bwmodel.UpstreamID, _ bwaction.SettleRequest) (bwaction.SettleResult, error) {
	<-ctx.Done()
	return bwaction.SettleResult{}, ctx.Err()
}
