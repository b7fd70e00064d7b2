package bwfakestore

import (
	"net/http"
	"sync"
	"time"
)

// gate holds the faults and counts of one service.
type gate struct {
	mu     sync.Mutex
	faults Faults
	counts Counts
}

// fate is what becomes of one write.
type fate int

const (
	fateAnswered fate = iota
	fateLost
	fateLateAnswer
	fateLateWrite
)

func (gt *gate) set(faults Faults) {
	gt.mu.Lock()
	defer gt.mu.Unlock()
	gt.faults = faults
}

func (gt *gate) read() Counts {
	gt.mu.Lock()
	defer gt.mu.Unlock()
	return gt.counts
}

func (gt *gate) current() Faults {
	gt.mu.Lock()
	defer gt.mu.Unlock()
	return gt.faults
}

// enter applies the faults before processing, and reports whether to go on.
// A throttled request must be answered with the service's own refusal.
func (gt *gate) enter(req *http.Request) (goOn, throttled bool) {
	gt.mu.Lock()
	faults := gt.faults
	if !faults.Down && faults.Throttle > 0 {
		gt.faults.Throttle--
		throttled = true
	}
	gt.mu.Unlock()
	if faults.Down {
		abort()
	}
	if faults.Latency > 0 && !wait(req, faults.Latency) {
		return false, false
	}
	// The service may have gone down during the wait.
	if gt.current().Down {
		abort()
	}
	return !throttled, throttled
}

// take decides the fate of a write, once.
func (gt *gate) take() (fate, time.Duration) {
	gt.mu.Lock()
	defer gt.mu.Unlock()
	late := gt.faults.DelayTime
	switch {
	case gt.faults.LoseResponses > 0:
		gt.faults.LoseResponses--
		return fateLost, 0
	case gt.faults.DelayResponses > 0:
		gt.faults.DelayResponses--
		return fateLateAnswer, late
	case gt.faults.DelayWrites > 0:
		gt.faults.DelayWrites--
		return fateLateWrite, late
	}
	return fateAnswered, 0
}

func (gt *gate) countRead() {
	gt.mu.Lock()
	defer gt.mu.Unlock()
	gt.counts.Reads++
}

func (gt *gate) countWrite(applied bool) {
	gt.mu.Lock()
	defer gt.mu.Unlock()
	gt.counts.Writes++
	if !applied {
		gt.counts.FailedConditions++
	}
}

// write applies one write under its fate; the caller answers when it returns.
func (gt *gate) write(req *http.Request, apply func() bool) {
	fate, late := gt.take()
	if fate == fateLateWrite {
		time.AfterFunc(late, func() { gt.countWrite(apply()) })
		abort()
	}
	gt.countWrite(apply())
	if fate == fateLost || fate == fateLateAnswer && !wait(req, late) {
		abort()
	}
}

// wait returns false when the client gave up first.
func wait(req *http.Request, dur time.Duration) bool {
	tmr := time.NewTimer(dur)
	defer tmr.Stop()
	select {
	case <-tmr.C:
		return true
	case <-req.Context().Done():
		return false
	}
}

// abort closes the connection without an answer.
func abort() { panic(http.ErrAbortHandler) }
