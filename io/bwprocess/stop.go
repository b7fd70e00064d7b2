package bwprocess

import (
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"bilberrywick/io/bwadmin"
)

// stopState remembers whether and why the process ends its work.
type stopState struct {
	drain     atomic.Pointer[stopping]
	requested chan struct{}
	once      sync.Once
}

type stopping struct {
	cause string
	since time.Time
}

func newStopState() *stopState { return &stopState{requested: make(chan struct{})} }

// request asks the program to stop the process, which takes no new work from now on.
func (sst *stopState) request(now time.Time) {
	sst.drain.CompareAndSwap(nil, &stopping{cause: bwadmin.CauseOperator, since: now})
	sst.once.Do(sst.announce)
}

func (sst *stopState) announce() { close(sst.requested) }

// begin marks the process as stopping unless a request has done so.
func (sst *stopState) begin(now time.Time) {
	sst.drain.CompareAndSwap(nil, &stopping{cause: bwadmin.CauseSignal, since: now})
}

// ErrStopping says that the process ends its work.
var ErrStopping = errors.New("the process is stopping")

// StopRequested is closed when an operator has asked the process to end; the
// program then stops it as it does after a signal.
func (prc *Process) StopRequested() <-chan struct{} { return prc.stop.requested }

// BeginStop marks the process as stopping; it takes no new work from now on.
func (prc *Process) BeginStop() {
	prc.stop.begin(prc.cfg.Now())
	prc.Metrics.Draining.Set(1)
	prc.Metrics.Ready.Set(0)
}

// Stopping reports whether the process ends its work.
func (prc *Process) Stopping() bool { return prc.stop.drain.Load() != nil }

// CheckReady returns why the process takes no new work, and nil when it does.
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
