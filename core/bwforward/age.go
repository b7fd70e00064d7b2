package bwforward

import (
	"sync"
	"time"
)

// CallerAges infers how long ago callers made their first attempt. A caller that
// comes back sends what is left of its time, which shows only if the callers of a
// route have about the same time in all. The zero value is ready for use, and safe
// for concurrent use.
type CallerAges struct {
	mu     sync.Mutex
	routes map[string]*callerTimes
}

// callerTimes describes the time that a route's callers have.
type callerTimes struct {
	// full is the time of first attempts. fullShare is the share of the last requests
	// that had it.
	full      time.Duration
	fullShare float64
}

const (
	// fullTolerance is the part by which the times of first attempts may differ.
	fullTolerance = 0.02
	// minFullShare is the share of first attempts from which smaller times are taken
	// for those of callers that came back. More of them come back at a crest.
	minFullShare = 0.3
	// firstShare is that of a time which has come once. A single caller with much time
	// must not make the others look as if they had come back.
	firstShare = 0.2
	// forgetShare is the share below which another time is learned.
	forgetShare = 0.05
	// shareWeight is the weight of one request in the share.
	shareWeight = 0.02
)

// Observe records the time that a caller of a route has left and returns the time
// since its first attempt, or 0 if that is not known.
func (cgs *CallerAges) Observe(route string, left time.Duration) time.Duration {
	cgs.mu.Lock()
	defer cgs.mu.Unlock()
	if cgs.routes == nil {
		cgs.routes = make(map[string]*callerTimes)
	}
	tms := cgs.routes[route]
	if tms == nil || left > tms.full || tms.fullShare < forgetShare {
		tms = &callerTimes{full: left, fullShare: firstShare}
		cgs.routes[route] = tms
	}
	isFull := float64(left) >= float64(tms.full)*(1-fullTolerance)
	tms.fullShare *= 1 - shareWeight
	if isFull {
		tms.fullShare += shareWeight
	}
	if isFull || tms.fullShare < minFullShare {
		return 0
	}
	return tms.full - left
}
