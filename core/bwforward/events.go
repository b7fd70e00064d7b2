package bwforward

import (
	"math"
	"math/bits"
	"sync/atomic"
	"time"
)

// eventTimes tracks the median of the time between the events of a stream at the engines
// of a service, by the number of streams there. The zero value is empty.
type eventTimes struct{ medians [eventClasses]median }

const (
	// eventClasses is the number of classes of streams, by powers of two up to the slots
	// of current engines.
	eventClasses = 7
	// minEventTimes is the number of observations from which a median is used.
	minEventTimes = 20
	// medianStep is the relative change of a median with each observation.
	medianStep = 0.04
	// minSlowWindows is the number of observations in a row from which an engine's events
	// show that it is slow. A single one may be due to a prompt of which no note came.
	minSlowWindows = 2
)

// median is used without locks; an observation that is lost among others does no harm.
type median struct {
	// value is the logarithm of the median in seconds, as the bits of a float64.
	value atomic.Uint64
	count atomic.Int64
}

// observe records a value and returns its factor in relation to the median, and false as
// long as there are too few.
func (mdn *median) observe(dur time.Duration) (factor float64, ok bool) {
	val := math.Log(dur.Seconds())
	count := mdn.count.Add(1)
	if count == 1 {
		mdn.value.Store(math.Float64bits(val))
		return 1, false
	}
	old := math.Float64frombits(mdn.value.Load())
	mdn.value.Store(math.Float64bits(old + math.Copysign(medianStep, val-old)))
	return math.Exp(val - old), count >= minEventTimes
}

// ObserveEvents records the time between events of a stream, for a number of events in
// a row that took some time in all. It returns the note that other gateways should get,
// and false if there is none. Events beside the prefill of a prompt show nothing.
func (pl *Pool) ObserveEvents(nd *Node, events int, took time.Duration) (PeerNote, bool) {
	now := pl.cfg.Now()
	begun := nanos(now.Add(-took))
	if events <= 0 || took <= 0 || nd.prefillTokens.Load() > 0 || nd.prefillDone.Load() > begun || nd.peerWork.prefillEnd.Load() > begun {
		return PeerNote{}, false
	}
	class := min(bits.Len(uint(nd.runningRequests(now))), eventClasses) - 1
	factor, ok := pl.state(nd.Service).events.medians[max(class, 0)].observe(took / time.Duration(events))
	if !ok {
		return PeerNote{}, false
	}
	if factor < minSlowdown*nd.engineSpeed().usual {
		nd.slowWindows.Store(0)
	} else if nd.slowWindows.Add(1) < minSlowWindows {
		return PeerNote{}, false
	}
	return nd.observeSpeed(speedSample{low: factor, high: factor, weight: eventsWeight, isClean: true}, now)
}
