package bwroute

import "math"

// limit is the adaptive number of requests in flight to one upstream. It falls
// when the latency rises above the best observed, which means that requests
// queue in the upstream, and grows while it is used and the latency stays.
type limit struct {
	value number
	// best is the slowly rising lowest latency, in seconds.
	best number
}

const (
	// limitTolerance is the latency relative to the best that counts as no queue.
	limitTolerance = 2
	// limitFloor is added to the tolerated latency, in seconds, so that jitter
	// of short answers does not count as a queue.
	limitFloor     = 0.005
	limitSmoothing = 0.2
	bestFall       = 0.3
	bestRise       = 0.002
	lowestGradient = 0.5
	firstLimit     = 16
)

func (lim *limit) now() int { return max(1, int(lim.value.load())) }

func (lim *limit) start(val int) { lim.value.store(float64(max(1, val))) }

// learn moves the limit by the gradient between the best and the smoothed latency.
func (lim *limit) learn(sample, smoothed float64, inFlight, highest int) {
	part := bestRise
	if sample < lim.best.load() {
		part = bestFall
	}
	lim.best.blend(sample, part)
	val := lim.value.load()
	gradient := (lim.best.load()*limitTolerance + limitFloor) / smoothed
	gradient = min(1, max(lowestGradient, gradient))
	if gradient == 1 && inFlight*2 < int(val) {
		return
	}
	target := val*gradient + math.Sqrt(val)
	val += limitSmoothing * (target - val)
	lim.value.store(min(float64(highest), max(1, val)))
}
