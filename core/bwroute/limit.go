package bwroute

import "math"

// limit is the adaptive limit of requests in flight to one upstream. It falls when
// the latency rises well above the lowest observed, which means that requests queue
// in the upstream. It grows while at least half of it is in use and the latency is
// within the tolerance.
type limit struct {
	value atomicFloat
	// baseLatency is the latency without a queue, in seconds: a moving average that
	// falls quickly and rises slowly.
	baseLatency atomicFloat
}

const (
	// latencyTolerance is the ratio to baseLatency up to which a latency indicates no
	// queue.
	latencyTolerance = 2
	// toleranceFloor is added to the tolerated latency, in seconds, so that the jitter
	// of short responses does not indicate a queue.
	toleranceFloor      = 0.005
	limitSmoothing      = 0.2
	baseFallWeight      = 0.3
	baseRiseWeight      = 0.002
	minGradient         = 0.5
	defaultInitialLimit = 16
)

func (lim *limit) current() int { return max(1, int(lim.value.load())) }

func (lim *limit) reset(val int) { lim.value.store(float64(max(1, val))) }

// update adjusts the limit by the ratio of the tolerated to the smoothed latency.
func (lim *limit) update(sample, smoothed float64, inFlight, maxInFlight int) {
	weight := baseRiseWeight
	if sample < lim.baseLatency.load() {
		weight = baseFallWeight
	}
	lim.baseLatency.smooth(sample, weight)
	val := lim.value.load()
	gradient := (lim.baseLatency.load()*latencyTolerance + toleranceFloor) / smoothed
	gradient = min(1, max(minGradient, gradient))
	if gradient == 1 && inFlight*2 < int(val) {
		return
	}
	target := val*gradient + math.Sqrt(val)
	val += limitSmoothing * (target - val)
	lim.value.store(min(float64(maxInFlight), max(1, val)))
}
