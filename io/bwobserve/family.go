package bwobserve

import (
	"maps"
	"strconv"
	"sync"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
)

// maxSeries limits the series of one family, so that an unlimited number of
// label values can't exhaust memory. It is enough for 3,100 teams.
const maxSeries = 8192

// copyDivisor sets how often the map is copied: once the lookups under the lock
// reach 1/copyDivisor of the number of series. Copying the map for each new
// series copied 67 million entries to create 8,192 series.
const copyDivisor = 4

// overflowValue replaces the label values of new series beyond maxSeries.
const overflowValue = "other"

// Family is a metric with one or two labels; M is the type of one series.
// Looking up a published series takes no lock and allocates no memory.
type Family[M any] struct {
	def    MetricDefinition
	create func(name string) M
	// published is read without a lock; all also contains the series created since
	// the last publication.
	published atomic.Pointer[map[[2]string]M]
	mu        sync.Mutex
	all       map[[2]string]M
	// misses counts the lookups that took the lock since the last publication.
	misses int
}

// With returns the series for the values of the family's labels; a family with
// one label takes one value.
func (fam *Family[M]) With(first string, second ...string) M {
	key := [2]string{first}
	if len(second) > 0 {
		key[1] = second[0]
	}
	if ser, ok := (*fam.published.Load())[key]; ok {
		return ser
	}
	return fam.lookup(key)
}

// lookup finds or creates a series under the lock. It publishes a copy of the map
// after enough such lookups to amortize the copy.
func (fam *Family[M]) lookup(key [2]string) M {
	fam.mu.Lock()
	defer fam.mu.Unlock()
	if _, ok := fam.all[key]; !ok && len(fam.all) >= maxSeries {
		key = [2]string{overflowValue}
		if len(fam.def.Labels) > 1 {
			key[1] = overflowValue
		}
	}
	ser, ok := fam.all[key]
	if !ok {
		ser = fam.create(fam.seriesName(key))
		fam.all[key] = ser
	}
	if fam.misses++; fam.misses*copyDivisor >= len(fam.all) {
		next := maps.Clone(fam.all)
		fam.published.Store(&next)
		fam.misses = 0
	}
	return ser
}

func (fam *Family[M]) seriesName(key [2]string) string {
	name := fam.def.Name + "{"
	for ix, label := range fam.def.Labels {
		if ix > 0 {
			name += ","
		}
		name += label + "=" + strconv.Quote(key[ix])
	}
	return name + "}"
}

// declarer creates metrics and collects their definitions.
type declarer struct {
	set  *metrics.Set
	defs []MetricDefinition
}

func (dc *declarer) define(kind MetricKind, name, help string, labels []string) MetricDefinition {
	def := MetricDefinition{Name: namePrefix + name, Kind: kind, Labels: labels, Help: help}
	dc.defs = append(dc.defs, def)
	return def
}

func (dc *declarer) counter(name, help string) *metrics.Counter {
	return dc.set.NewCounter(dc.define(CounterMetric, name, help, nil).Name)
}

func (dc *declarer) gauge(name, help string) *metrics.Gauge {
	return dc.set.NewGauge(dc.define(GaugeMetric, name, help, nil).Name, nil)
}

func (dc *declarer) histogram(name, help string, buckets []float64) *metrics.PrometheusHistogram {
	return dc.set.NewPrometheusHistogramExt(dc.define(HistogramMetric, name, help, nil).Name, buckets)
}

func (dc *declarer) counters(name, help string, labels ...string) *Family[*metrics.Counter] {
	return newFamily(dc.define(CounterMetric, name, help, labels), dc.set.NewCounter)
}

func (dc *declarer) gauges(name, help string, labels ...string) *Family[*metrics.Gauge] {
	return newFamily(dc.define(GaugeMetric, name, help, labels), dc.newGauge)
}

func (dc *declarer) histograms(name, help string, buckets []float64, labels ...string) *Family[*metrics.PrometheusHistogram] {
	src := histogramSource{set: dc.set, buckets: buckets}
	return newFamily(dc.define(HistogramMetric, name, help, labels), src.create)
}

func (dc *declarer) newGauge(name string) *metrics.Gauge { return dc.set.NewGauge(name, nil) }

type histogramSource struct {
	set     *metrics.Set
	buckets []float64
}

func (hs histogramSource) create(name string) *metrics.PrometheusHistogram {
	return hs.set.NewPrometheusHistogramExt(name, hs.buckets)
}

func newFamily[M any](def MetricDefinition, create func(string) M) *Family[M] {
	fam := &Family[M]{def: def, create: create, all: make(map[[2]string]M)}
	fam.published.Store(&map[[2]string]M{})
	return fam
}
