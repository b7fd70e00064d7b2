package bwgateway

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Metrics counts what a Gateway does.
type Metrics struct{ set *metrics.Set }

// NewMetrics returns metrics without values.
func NewMetrics() *Metrics { return &Metrics{set: metrics.NewSet()} }

// ServeHTTP writes the metrics in the Prometheus text format.
func (mx *Metrics) ServeHTTP(wrt http.ResponseWriter, _ *http.Request) {
	wrt.Header().Set("Content-Type", "text/plain; charset=utf-8")
	mx.set.WritePrometheus(wrt)
	metrics.WriteProcessMetrics(wrt)
}

// AddGauge adds a value that is read when the metrics are.
func (mx *Metrics) AddGauge(name string, read func() float64) { mx.set.GetOrCreateGauge(name, read) }

// extra counts a request beyond the first.
func (mx *Metrics) extra(kind, cause string) {
	mx.set.GetOrCreateCounter(fmt.Sprintf("bilberrywick_gateway_extra_requests_total{kind=%q,cause=%q}", kind, cause)).Inc()
}

// observe counts the end of a request; the status is 0 when the caller got none.
func (mx *Metrics) observe(kind string, status int, took time.Duration) {
	mx.set.GetOrCreateCounter(fmt.Sprintf("bilberrywick_gateway_requests_total{kind=%q,status=%q}", kind, strconv.Itoa(status))).Inc()
	mx.set.GetOrCreateHistogram(fmt.Sprintf("bilberrywick_gateway_request_seconds{kind=%q}", kind)).Update(took.Seconds())
}
