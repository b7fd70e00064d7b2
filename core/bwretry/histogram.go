package bwretry

import (
	"math/bits"
	"sync/atomic"
	"time"
)

// Sizes of the buckets. Latencies below 16 µs have one bucket per microsecond,
// longer ones eight per power of two, so that a quantile is at most 12.5% too high.
const (
	exactBuckets  = 16
	exactBits     = 4
	subBucketBits = 3
	subBuckets    = 1 << subBucketBits
	// maxBits limits latencies to about 19 h; longer ones count in the last bucket.
	maxBits     = 36
	bucketCount = exactBuckets + (maxBits-exactBits)*subBuckets
)

// histogram counts latencies by bucket.
type histogram struct{ counts [bucketCount]atomic.Uint32 }

func (his *histogram) add(latency time.Duration) { his.counts[bucketOf(latency)].Add(1) }

func (his *histogram) reset() {
	for ix := range his.counts {
		his.counts[ix].Store(0)
	}
}

func (his *histogram) mergeInto(lat *Latencies) {
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

// Quantile returns the latency that a share of the requests did not exceed, or 0
// if there are no latencies.
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

// bucketOf returns the index of a latency's bucket.
func bucketOf(latency time.Duration) int {
	micros := uint64(max(latency.Microseconds(), 0))
	if micros < exactBuckets {
		return int(micros)
	}
	exp := bits.Len64(micros) - 1
	if exp >= maxBits {
		return bucketCount - 1
	}
	sub := int(micros>>(exp-subBucketBits)) % subBuckets
	return exactBuckets + (exp-exactBits)*subBuckets + sub
}

// upperBound returns the end of a bucket.
func upperBound(bucket int) time.Duration {
	if bucket < exactBuckets {
		return time.Duration(bucket+1) * time.Microsecond
	}
	exp := (bucket-exactBuckets)/subBuckets + exactBits
	sub := (bucket - exactBuckets) % subBuckets
	return time.Duration(subBuckets+sub+1) << (exp - subBucketBits) * time.Microsecond
}
