package bwfakestore

import (
	"io"
	"net/http"
	"sync"
	"time"

	"bilberrywick/standin/bwfakeserver"
)

// faultInjector injects the faults of one service and counts its requests.
type faultInjector struct {
	mu      sync.Mutex
	faults  Faults
	counts  Counts
	breaker *bwfakeserver.Breaker
}

// writeFault is the fault injected into one write.
type writeFault int

const (
	noWriteFault writeFault = iota
	loseResponse
	delayResponse
	delayWrite
)

func (inj *faultInjector) setFaults(faults Faults) {
	inj.mu.Lock()
	defer inj.mu.Unlock()
	inj.faults = faults
}

func (inj *faultInjector) readCounts() Counts {
	inj.mu.Lock()
	defer inj.mu.Unlock()
	return inj.counts
}

func (inj *faultInjector) currentFaults() Faults {
	inj.mu.Lock()
	defer inj.mu.Unlock()
	return inj.faults
}

// beginRequest applies the faults that precede processing and reports whether to
// process the request. The caller must respond to a throttled request with the
// service's throttling error.
func (inj *faultInjector) beginRequest(wr http.ResponseWriter, req *http.Request) (proceed, throttled bool) {
	inj.mu.Lock()
	faults := inj.faults
	if !faults.Down && faults.Throttle > 0 {
		inj.faults.Throttle--
		throttled = true
	}
	inj.mu.Unlock()
	if faults.Down {
		abort()
	}
	if faults.Latency > 0 && !sleep(req, faults.Latency) {
		return false, false
	}
	// Down may have been set during the delay.
	if inj.currentFaults().Down {
		abort()
	}
	if !throttled && inj.takeBrokenResponse() {
		_, _ = io.Copy(io.Discard, req.Body)
		inj.breaker.Respond(wr, req, "{}")
		return false, false
	}
	return !throttled, throttled
}

// takeBrokenResponse reports whether a request gets a broken response, and decrements
// the fault's count.
func (inj *faultInjector) takeBrokenResponse() bool {
	inj.mu.Lock()
	defer inj.mu.Unlock()
	if inj.faults.BreakResponses == 0 {
		return false
	}
	inj.faults.BreakResponses--
	return true
}

// nextWriteFault returns the fault of the next write with its delay, and
// decrements the fault's count.
func (inj *faultInjector) nextWriteFault() (writeFault, time.Duration) {
	inj.mu.Lock()
	defer inj.mu.Unlock()
	delay := inj.faults.DelayTime
	switch {
	case inj.faults.LoseResponses > 0:
		inj.faults.LoseResponses--
		return loseResponse, 0
	case inj.faults.DelayResponses > 0:
		inj.faults.DelayResponses--
		return delayResponse, delay
	case inj.faults.DelayWrites > 0:
		inj.faults.DelayWrites--
		return delayWrite, delay
	}
	return noWriteFault, 0
}

func (inj *faultInjector) countRead() {
	inj.mu.Lock()
	defer inj.mu.Unlock()
	inj.counts.Reads++
}

func (inj *faultInjector) countWrite(applied bool) {
	inj.mu.Lock()
	defer inj.mu.Unlock()
	inj.counts.Writes++
	if !applied {
		inj.counts.FailedConditions++
	}
}

// runWrite applies one write and injects its fault. If runWrite returns, the
// caller sends the response.
func (inj *faultInjector) runWrite(req *http.Request, apply func() bool) {
	flt, delay := inj.nextWriteFault()
	if flt == delayWrite {
		time.AfterFunc(delay, func() { inj.countWrite(apply()) })
		abort()
	}
	inj.countWrite(apply())
	if flt == loseResponse || flt == delayResponse && !sleep(req, delay) {
		abort()
	}
}

// sleep waits for dur and reports false if the client disconnects first.
func sleep(req *http.Request, dur time.Duration) bool {
	tmr := time.NewTimer(dur)
	defer tmr.Stop()
	select {
	case <-tmr.C:
		return true
	case <-req.Context().Done():
		return false
	}
}

// abort closes the connection without a response.
func abort() { panic(http.ErrAbortHandler) }
