package bwcontrol_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"

	"bilberrywick/core/bwcontrol"
)

type counter struct{ total int }

type total struct{ value int }

func newOwner(backlog int) *bwcontrol.Owner[counter, total] {
	return bwcontrol.New(bwcontrol.Config[counter, total]{
		State:   &counter{},
		View:    func(ctr *counter) *total { return &total{value: ctr.total} },
		Backlog: backlog,
	})
}

// Guards against a Do that returns before its change is in the published view, and
// against changes that are lost when many goroutines post at once.
func TestDoPublishesBeforeReturn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		own := newOwner(4)
		own.Start(ctx)
		const posters, changes = 8, 50
		for range posters {
			post := &poster{own: own, changes: changes}
			go post.run(ctx)
		}
		synctest.Wait()
		err := own.Do(ctx, func(ctr *counter) { ctr.total++ })
		if err != nil {
			t.Fatal(err)
		}
		if got, want := own.Snapshot().value, posters*changes+1; got != want {
			t.Errorf("total is %d, want %d", got, want)
		}
		cancel()
		<-own.Done()
	})
}

// Guards against callers that wait forever for a control goroutine that has ended.
func TestStoppedOwnerRefusesChanges(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	own := newOwner(1)
	own.Start(ctx)
	cancel()
	<-own.Done()
	var err error
	for range 3 {
		err = own.Do(context.Background(), func(*counter) {})
	}
	if !errors.Is(err, bwcontrol.ErrStopped) {
		t.Errorf("got %v, want ErrStopped", err)
	}
	if got := own.Snapshot().value; got != 0 {
		t.Errorf("total is %d, want 0", got)
	}
}

// poster posts increments.
type poster struct {
	own     *bwcontrol.Owner[counter, total]
	changes int
}

func (pst *poster) run(ctx context.Context) {
	for range pst.changes {
		if err := pst.own.Post(ctx, func(ctr *counter) { ctr.total++ }); err != nil {
			return
		}
	}
}

// Guards against a change that is applied after its caller has stopped waiting: a
// data race, since it may write to variables that the caller reads again.
func TestWithdrawnChangeIsNotApplied(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ownerCtx, stop := context.WithCancel(t.Context())
		own := newOwner(4)
		own.Start(ownerCtx)
		gate := make(chan struct{})
		if err := own.Post(ownerCtx, func(*counter) { <-gate }); err != nil {
			t.Fatal(err)
		}
		synctest.Wait()
		ctx, cancel := context.WithCancel(t.Context())
		wtr := &withdrawer{own: own, failed: make(chan error, 1)}
		go wtr.run(ctx)
		synctest.Wait()
		cancel()
		if err := <-wtr.failed; !errors.Is(err, context.Canceled) {
			t.Errorf("error %v, want context.Canceled", err)
		}
		close(gate)
		if err := own.Do(ownerCtx, func(ctr *counter) { ctr.total++ }); err != nil {
			t.Fatal(err)
		}
		if got := own.Snapshot().value; got != 1 {
			t.Errorf("total is %d, want 1: the withdrawn change was applied", got)
		}
		stop()
		<-own.Done()
	})
}

// withdrawer waits for a change that adds 100, until its context ends.
type withdrawer struct {
	own    *bwcontrol.Owner[counter, total]
	failed chan error
}

func (wtr *withdrawer) run(ctx context.Context) {
	wtr.failed <- wtr.own.Do(ctx, func(ctr *counter) { ctr.total += 100 })
}
