package bwbench

import (
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Recorder collects latencies, counts and errors by name. It is safe for
// concurrent use.
type Recorder struct {
	mu     sync.Mutex
	hists  map[string]*hdrhistogram.Histogram
	counts map[string]int64
	errors map[string]error
}

// Range and precision of the latency histograms.
const (
	lowestLatency     = time.Microsecond
	highestLatency    = 10 * time.Minute
	significantDigits = 3
)

// NewRecorder returns an empty recorder.
func NewRecorder() *Recorder {
	return &Recorder{
		hists:  make(map[string]*hdrhistogram.Histogram),
		counts: make(map[string]int64),
		errors: make(map[string]error),
	}
}

// Observe adds a latency. Values outside 1 µs to 10 min are recorded as the
// nearest limit.
func (rec *Recorder) Observe(name string, latency time.Duration) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	hist := rec.hists[name]
	if hist == nil {
		hist = hdrhistogram.New(int64(lowestLatency), int64(highestLatency), significantDigits)
		rec.hists[name] = hist
	}
	latency = min(max(latency, lowestLatency), highestLatency)
	// RecordValue fails only for a value outside the histogram's range.
	_ = hist.RecordValue(int64(latency))
}

// AddCount adds to the named count.
func (rec *Recorder) AddCount(name string, count int64) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.counts[name] += count
}

// RecordError stores an error under a name; only the first one is kept.
func (rec *Recorder) RecordError(name string, err error) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	if rec.errors[name] == nil {
		rec.errors[name] = err
	}
}

// Errors returns the texts of the stored errors by name.
func (rec *Recorder) Errors() map[string]string {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	texts := make(map[string]string, len(rec.errors))
	for name, err := range rec.errors {
		texts[name] = err.Error()
	}
	return texts
}

// Count returns the named count.
func (rec *Recorder) Count(name string) int64 {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	return rec.counts[name]
}

// Summary holds the quantiles of a latency distribution.
type Summary struct {
	Count  int64
	Median time.Duration
	P95    time.Duration
	P99    time.Duration
	Max    time.Duration
}

// Summary returns the quantiles of the named latency, or the zero value if none
// was recorded.
func (rec *Recorder) Summary(name string) Summary {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	hist := rec.hists[name]
	if hist == nil {
		return Summary{}
	}
	return Summary{
		Count:  hist.TotalCount(),
		Median: time.Duration(hist.ValueAtQuantile(50)),
		P95:    time.Duration(hist.ValueAtQuantile(95)),
		P99:    time.Duration(hist.ValueAtQuantile(99)),
		Max:    time.Duration(hist.Max()),
	}
}

// LatencyNames returns the sorted names of the recorded latencies.
func (rec *Recorder) LatencyNames() []string {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	names := make([]string, 0, len(rec.hists))
	for name := range rec.hists {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Counts returns a copy of all counts.
func (rec *Recorder) Counts() map[string]int64 {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	counts := make(map[string]int64, len(rec.counts))
	for name, count := range rec.counts {
		counts[name] = count
	}
	return counts
}

// quantilePoint is one point of a quantile plot.
type quantilePoint struct {
	quantile float64
	latency  time.Duration
}

func (rec *Recorder) quantiles(name string, quantiles []float64) []quantilePoint {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	hist := rec.hists[name]
	if hist == nil {
		return nil
	}
	points := make([]quantilePoint, 0, len(quantiles))
	for _, qtl := range quantiles {
		points = append(points, quantilePoint{quantile: qtl, latency: time.Duration(hist.ValueAtQuantile(qtl))})
	}
	return points
}
