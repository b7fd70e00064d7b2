package bwrollout

import (
	"slices"
	"time"
)

const (
	// SlowFactor is how many times the usual response time a response may take. Bad
	// versions are at least 3 times slower.
	SlowFactor = 2.5
	// baselineSize is the number of response times that are kept. The standard error of
	// the median of 63 is about a tenth of that of one.
	baselineSize = 63
	// baselineWindow is the age up to which response times are used: long enough for
	// several responses at a usual rate, short enough to follow a load peak.
	baselineWindow = 3 * time.Second
	// baselineOlder is the number of older response times that are used if nothing else
	// is known.
	baselineOlder = 9
	// baselineMaxAge is the age above which a response time is never used.
	baselineMaxAge = 2 * time.Minute
	// baselineFewest is the number of response times without which nothing is known.
	baselineFewest = 5
)

// Baseline is the usual response time of the old version on one route, as this gateway
// has observed it. The zero value is empty.
type Baseline struct {
	// samples is a ring, next the index of its oldest entry once it is full.
	samples []timeSample
	next    int
}

type timeSample struct {
	at   time.Time
	took time.Duration
}

// Observe records the response time of an old upstream.
func (bsl *Baseline) Observe(took time.Duration, now time.Time) {
	smp := timeSample{now, took}
	if len(bsl.samples) < baselineSize {
		bsl.samples = append(bsl.samples, smp)
		return
	}
	bsl.samples[bsl.next] = smp
	bsl.next = (bsl.next + 1) % baselineSize
}

// Usual returns the median of the response times of the last seconds, for reports.
func (bsl *Baseline) Usual(now time.Time) UsualTime {
	return bsl.median(now, baselineWindow, baselineSize)
}

// IsSlow reports whether a response time is more than SlowFactor times the usual one, and
// whether that is known. Shared is the usual time that the rollout's state has, or 0; it
// is used by a gateway with few recent response times of its own. IsSlow is called for
// the responses of both versions, before Observe.
func (bsl *Baseline) IsSlow(took, shared time.Duration, now time.Time) (slow, known bool) {
	usual := bsl.Usual(now)
	if usual.Samples < baselineFewest {
		usual = UsualTime{Median: shared, Samples: baselineFewest}
		if shared == 0 {
			usual = bsl.median(now, baselineMaxAge, baselineOlder)
		}
	}
	if usual.Samples < baselineFewest {
		return false, false
	}
	return float64(took) > SlowFactor*float64(usual.Median), true
}

// median returns the median of the newest response times up to an age and a number.
func (bsl *Baseline) median(now time.Time, maxAge time.Duration, most int) UsualTime {
	var times [baselineSize]time.Duration
	count := 0
	for ix := range bsl.samples {
		// From the newest sample to the oldest.
		smp := bsl.samples[(bsl.next+2*len(bsl.samples)-1-ix)%len(bsl.samples)]
		if now.Sub(smp.at) > maxAge || count == most {
			break
		}
		times[count] = smp.took
		count++
	}
	if count == 0 {
		return UsualTime{}
	}
	slices.Sort(times[:count])
	return UsualTime{Median: times[count/2], Samples: count}
}
