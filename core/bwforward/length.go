package bwforward

import (
	"sync"
	"time"

	"bilberrywick/core/bwmodel"
)

// StreamLengths learns how many events the streams of a route have and how fast they
// come. The load pattern that it answers is the return of all callers after the loss
// of gateways: many have too little time left for the rest of their stream, and their
// prompts would be processed for nothing. The zero value is ready for use, and safe
// for concurrent use.
type StreamLengths struct {
	mu       sync.Mutex
	routes   map[string]*streamLength
	services map[bwmodel.ServiceID]*streamLength
}

// streamLength has moving averages over the complete streams of a route or service.
type streamLength struct {
	count  int
	events float64
	pace   time.Duration
}

const (
	// minLengths is the number of complete streams from which the averages of a route are
	// used. Until then those of its service are, which a gateway that has just started
	// knows sooner.
	minLengths = 5
	// lengthWeight is the weight of a stream in the averages once there are more.
	lengthWeight = 0.1
	// shortShare is the part of the average length that a stream has at least: few are
	// shorter, and refusing a stream that could end costs more than an attempt.
	shortShare = 0.65
	// cachedShare is the part of the prefill that is needed at least; an engine may have
	// a part of the prompt in its KV cache.
	cachedShare = 0.5
)

// Observe records a complete stream by the ID of its last event and the time between two
// of its events.
func (sls *StreamLengths) Observe(svc bwmodel.ServiceID, route string, events uint64, pace time.Duration) {
	sls.mu.Lock()
	defer sls.mu.Unlock()
	if sls.routes == nil {
		sls.routes = make(map[string]*streamLength)
		sls.services = make(map[bwmodel.ServiceID]*streamLength)
	}
	if sls.routes[route] == nil {
		sls.routes[route] = new(streamLength)
	}
	if sls.services[svc] == nil {
		sls.services[svc] = new(streamLength)
	}
	sls.routes[route].observe(events, pace)
	sls.services[svc].observe(events, pace)
}

func (sln *streamLength) observe(events uint64, pace time.Duration) {
	sln.count++
	weight := max(lengthWeight, 1/float64(sln.count))
	sln.events += weight * (float64(events) - sln.events)
	sln.pace += time.Duration(weight * float64(pace-sln.pace))
}

// LeastTime returns the least time that a stream needs after its last event, with the
// prefill of its prompt on an engine that has nothing else to do. It is 0 until some
// streams of the route or of its service are complete.
func (sls *StreamLengths) LeastTime(svc bwmodel.ServiceID, route string, lastEvent uint64, prefill time.Duration) time.Duration {
	sls.mu.Lock()
	defer sls.mu.Unlock()
	sln := sls.routes[route]
	if sln == nil || sln.count < minLengths {
		sln = sls.services[svc]
	}
	if sln == nil || sln.count < minLengths {
		return 0
	}
	left := max(shortShare*sln.events-float64(lastEvent), 0)
	return scaled(prefill, cachedShare) + scaled(sln.pace, left)
}
