package bwprocess

import (
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"bilberrywick/io/bwadmin"
)

// stopState holds the cause and start of a drain, and whether an operator
// requested it.
type stopState struct {
	drain     atomic.Pointer[drainStart]
	requested chan struct{}
	once      sync.Once
}

// drainStart is the cause and the time of the start of a drain.
type drainStart struct {
	cause string
	since time.Time
}

func newStopState() *stopState { return &stopState{requested: make(chan struct{})} }

// requestStop marks the process as stopping and closes the channel that
// StopRequested returns.
func (sst *stopState) requestStop(now time.Time) {
	sst.drain.CompareAndSwap(nil, &drainStart{cause: bwadmin.CauseOperator, since: now})
	sst.once.Do(sst.closeRequested)
}

func (sst *stopState) closeRequested() { close(sst.requested) }

// beginStop marks the process as stopping unless requestStop already has.
func (sst *stopState) beginStop(now time.Time) {
	sst.drain.CompareAndSwap(nil, &drainStart{cause: bwadmin.CauseSignal, since: now})
}

// ErrStopping is the reason why a stopping process accepts no new work.
var ErrStopping = errors.New("the process is stopping")

// StopRequested returns a channel that is closed when an operator requests a
// drain of the process; the program then stops it as after a signal.
func (prc *Process) StopRequested() <-chan struct{} { return prc.stop.requested }

// BeginStop marks the process as stopping, so that it accepts no new work.
func (prc *Process) BeginStop() {
	prc.stop.beginStop(prc.cfg.Now())
	prc.Metrics.Draining.Set(1)
	prc.Metrics.Ready.Set(0)
}

// Stopping reports whether the process is stopping.
func (prc *Process) Stopping() bool { return prc.stop.drain.Load() != nil }

// CheckReady returns an error with the reason why the process accepts no new
// work, and nil when it does.
func (prc *Process) CheckReady() error {
	if prc.Stopping() {
		return ErrStopping
	}
	if err := prc.Fleet.Snapshot().CheckReady(prc.cfg.Now()); err != nil {
		return err
	}
	if prc.cfg.CheckReady == nil {
		return nil
	}
	return prc.cfg.CheckReady()
}
