package bwgateway

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"bilberrywick/core/bwforward"
	"bilberrywick/core/bwmodel"
	"bilberrywick/core/bwrollout"
	"bilberrywick/io/bwlisten"
	"bilberrywick/io/bwtransport"
)

// Metrics holds the metrics of a Gateway.
type Metrics struct{ set *metrics.Set }

// NewMetrics returns an empty set of metrics.
func NewMetrics() *Metrics { return &Metrics{set: metrics.NewSet()} }

// ServeHTTP writes the metrics in the Prometheus text format.
func (mx *Metrics) ServeHTTP(wrt http.ResponseWriter, _ *http.Request) {
	wrt.Header().Set("Content-Type", "text/plain; charset=utf-8")
	mx.set.WritePrometheus(wrt)
	metrics.WriteProcessMetrics(wrt)
}

// AddGauge adds a gauge whose value is read on each scrape.
func (mx *Metrics) AddGauge(name string, read func() float64) { mx.set.GetOrCreateGauge(name, read) }

// countExtraRequest counts a retry, or one that the budget did not allow.
func (mx *Metrics) countExtraRequest(kind, cause string) {
	mx.set.GetOrCreateCounter(fmt.Sprintf("bilberrywick_gateway_extra_requests_total{kind=%q,cause=%q}", kind, cause)).Inc()
}

// countUnverified counts a response that is not known to be its upstream's.
func (mx *Metrics) countUnverified(cause error) {
	mx.set.GetOrCreateCounter(fmt.Sprintf("bilberrywick_gateway_unverified_responses_total{reason=%q}", cause.Error())).Inc()
}

// countInvalid counts a response that failed a check of bwtransport, if err says so.
func (mx *Metrics) countInvalid(err error) {
	if reason := bwtransport.Reason(err); reason != "" {
		mx.set.GetOrCreateCounter(fmt.Sprintf("bilberrywick_gateway_invalid_responses_total{reason=%q}", reason)).Inc()
	}
}

// addConnectionsGauge adds the gauge of the open connections of a listener.
func (mx *Metrics) addConnectionsGauge(listener string, read func() float64) {
	mx.AddGauge(fmt.Sprintf("bilberrywick_gateway_connections{address=%q}", listener), read)
}

// addHeldGauge adds the gauge of a part of the memory that is held for others.
func (mx *Metrics) addHeldGauge(part string, read func() float64) {
	mx.AddGauge(fmt.Sprintf("bilberrywick_gateway_held_bytes{for=%q}", part), read)
}

// countClosed counts a connection that was closed or refused to stay within a limit.
func (mx *Metrics) countClosed(listener string, reason bwlisten.Reason) {
	mx.set.GetOrCreateCounter(fmt.Sprintf("bilberrywick_gateway_connections_closed_total{address=%q,reason=%q}", listener, reason)).Inc()
}

// observeRequest records a finished request; the status is 0 if none was sent.
func (mx *Metrics) observeRequest(kind string, status int, took time.Duration) {
	mx.set.GetOrCreateCounter(fmt.Sprintf("bilberrywick_gateway_requests_total{kind=%q,status=%q}", kind, strconv.Itoa(status))).Inc()
	mx.set.GetOrCreateHistogram(fmt.Sprintf("bilberrywick_gateway_request_seconds{kind=%q}", kind)).Update(took.Seconds())
}

// observeAdmission records a stream that was refused, or started after a wait.
func (mx *Metrics) observeAdmission(outcome string, waited time.Duration) {
	mx.set.GetOrCreateHistogram(fmt.Sprintf("bilberrywick_gateway_admission_seconds{outcome=%q}", outcome)).Update(waited.Seconds())
}

// observePlainAdmission records a plain request that was refused, or started after a wait.
func (mx *Metrics) observePlainAdmission(outcome string, waited time.Duration) {
	mx.set.GetOrCreateHistogram(fmt.Sprintf("bilberrywick_gateway_plain_admission_seconds{outcome=%q}", outcome)).Update(waited.Seconds())
}

// countPermit counts a request for a permit by its outcome.
func (mx *Metrics) countPermit(outcome PermitOutcome) {
	mx.set.GetOrCreateCounter(fmt.Sprintf("bilberrywick_gateway_permits_total{outcome=%q}", outcome)).Inc()
}

// countRolloutResponse counts a response of a service with a rollout, or a failure.
func (mx *Metrics) countRolloutResponse(svc bwmodel.ServiceID, isNew bool, cnt bwrollout.Counts) {
	version, outcome := "old", "good"
	if isNew {
		version = "new"
	}
	if cnt.Failed > 0 {
		outcome = "failed"
	} else if cnt.Slow > 0 {
		outcome = "slow"
	}
	mx.set.GetOrCreateCounter(fmt.Sprintf("bilberrywick_gateway_rollout_responses_total{service=%q,version=%q,outcome=%q}", svc, version, outcome)).Inc()
}

// countRolloutState counts a change of a rollout's phase that this gateway has learned of.
func (mx *Metrics) countRolloutState(ph bwrollout.Phase) {
	mx.set.GetOrCreateCounter(fmt.Sprintf("bilberrywick_gateway_rollout_states_total{phase=%q}", ph.String())).Inc()
}

// countRolloutWrite counts a write of a rollout's state by its outcome.
func (mx *Metrics) countRolloutWrite(outcome string) {
	mx.set.GetOrCreateCounter(fmt.Sprintf("bilberrywick_gateway_rollout_writes_total{outcome=%q}", outcome)).Inc()
}

// countRolloutNote counts a note that a version is bad, sent or received.
func (mx *Metrics) countRolloutNote(event string) {
	mx.set.GetOrCreateCounter(fmt.Sprintf("bilberrywick_gateway_rollout_notes_total{event=%q}", event)).Inc()
}

// countQuarantineDrop counts what the quarantine of prompts has dropped at a limit.
func (mx *Metrics) countQuarantineDrop(drop bwforward.QuarantineDrop) {
	mx.set.GetOrCreateCounter(fmt.Sprintf("bilberrywick_gateway_quarantine_dropped_total{what=%q}", drop)).Inc()
}

// countQuarantine counts an event of the quarantine of prompts: refused, named or
// cleared.
func (mx *Metrics) countQuarantine(event string) {
	mx.set.GetOrCreateCounter(fmt.Sprintf("bilberrywick_gateway_quarantine_total{event=%q}", event)).Inc()
}
