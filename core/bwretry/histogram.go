package bwretry

import (
	"math/bits"
	"sync/atomic"
	"time"
)

// Buckets count microseconds exactly below 16 and then in eighths of a power of
// two, so that a quantile is at most 12.5% too high.
const (
	exactBuckets = 16
	exactBits    = 4
	stepBits     = 3
	steps        = 1 << stepBits
	// maxBits bounds the latency counted to about 19 h.
	maxBits     = 36
	bucketCount = exactBuckets + (maxBits-exactBits)*steps
)

type histogram struct{ counts [bucketCount]atomic.Uint32 }

func (his *histogram) add(took time.Duration) { his.counts[bucketOf(took)].Add(1) }

func (his *histogram) reset() {
	for ix := range his.counts {
		his.counts[ix].Store(0)
	}
}

func (his *histogram) addTo(lat *Latencies) {
	for ix := range his.counts {
		count := int(his.counts[ix].Load())
		lat.counts[ix] += count
		lat.total += count
	}
}

// Latencies is a distribution of recent latencies.
type Latencies struct {
	counts [bucketCount]int
	total  int
}

// Count returns the number of latencies.
func (lat Latencies) Count() int { return lat.total }

// Quantile returns the latency that a share of the requests did not exceed, or
// 0 without requests.
func (lat Latencies) Quantile(share float64) time.Duration {
	rank := int(share * float64(lat.total))
	for ix, count := range lat.counts {
		rank -= count
		if rank < 0 {
			return upperBound(ix)
		}
	}
	return 0
}

func bucketOf(took time.Duration) int {
	micros := uint64(max(took.Microseconds(), 0))
	if micros < exactBuckets {
		return int(micros)
	}
	exp := bits.Len64(micros) - 1
	if exp >= maxBits {
		return bucketCount - 1
	}
	step := int(micros>>(exp-stepBits)) % steps
	return exactBuckets + (exp-exactBits)*steps + step
}

func upperBound(bucket int) time.Duration {
	if bucket < exactBuckets {
		return time.Duration(bucket+1) * time.Microsecond
	}
	exp := (bucket-exactBuckets)/steps + exactBits
	step := (bucket - exactBuckets) % steps
	return time.Duration(steps+step+1) << (exp - stepBits) * time.Microsecond
}
