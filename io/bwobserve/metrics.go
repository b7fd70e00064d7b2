package bwobserve

import (
	"io"
	"slices"
	"strings"

	"github.com/VictoriaMetrics/metrics"
)

const namePrefix = "bilberrywick_"

// MetricKind is the Prometheus type of a metric.
type MetricKind string

// Kinds of metric.
const (
	CounterMetric   MetricKind = "counter"
	GaugeMetric     MetricKind = "gauge"
	HistogramMetric MetricKind = "histogram"
)

// MetricDefinition describes one metric.
type MetricDefinition struct {
	// Name ends in the unit, and in "_total" for a counter.
	Name   string
	Kind   MetricKind
	Labels []string
	Help   string
}

// Metrics contains every metric of routers and agents; a process leaves the
// metrics of other roles at zero.
type Metrics struct {
	set  *metrics.Set
	defs []MetricDefinition

	// Requests is the number of finished requests by service and outcome.
	Requests *Family[*metrics.Counter]
	// RequestsInProgress is the number of requests being served by service.
	RequestsInProgress *Family[*metrics.Gauge]
	// TimeToFirstToken is the time to the first token in seconds by service and class.
	TimeToFirstToken *Family[*metrics.PrometheusHistogram]
	// TokenGap is the time between two delivered tokens in seconds by service.
	TokenGap *Family[*metrics.PrometheusHistogram]
	// CallDuration is the duration of idempotent calls in seconds by service.
	CallDuration *Family[*metrics.PrometheusHistogram]
	// TokensDelivered is the number of tokens delivered to callers by service.
	TokensDelivered *Family[*metrics.Counter]
	// TokensRecomputed is the number of tokens that an engine computed again in recovery, by cause.
	TokensRecomputed *Family[*metrics.Counter]
	// TokensRefused is the number of tokens dropped because they were not at the
	// next position of the current attempt.
	TokensRefused *metrics.Counter

	// ResumeLatency is the time from the loss of an attempt to the next delivered
	// token in seconds by cause.
	ResumeLatency *Family[*metrics.PrometheusHistogram]
	// Resumes is the number of recoveries from lost attempts by cause and result.
	Resumes *Family[*metrics.Counter]
	// HolderAckDuration is the time until a holder acknowledges an append to a
	// generation record, in seconds.
	HolderAckDuration *metrics.PrometheusHistogram
	// HolderChanges is the number of changes of a generation's holder by reason.
	HolderChanges *Family[*metrics.Counter]
	// RecordsHeld is the number of generation records kept for other routers.
	RecordsHeld *metrics.Gauge
	// RecordBytes is the size of the generation records kept for other routers, in bytes.
	RecordBytes *metrics.Gauge
	// Takeovers is the number of generations taken over from another router by result.
	Takeovers *Family[*metrics.Counter]

	// QueueWait is the wait before a request starts in seconds by service and class.
	QueueWait *Family[*metrics.PrometheusHistogram]
	// QueueLength is the number of waiting requests by service and class.
	QueueLength *Family[*metrics.Gauge]
	// Refusals is the number of requests refused with NotRun by service and reason.
	Refusals *Family[*metrics.Counter]
	// TeamTokens is the work done in tokens by team.
	TeamTokens *Family[*metrics.Counter]
	// Preemptions is the number of preempted deferrable generations by service.
	Preemptions *Family[*metrics.Counter]

	// UpstreamChoices is the number of times an upstream was chosen by upstream and reason.
	UpstreamChoices *Family[*metrics.Counter]
	// UpstreamLimit is the adaptive limit on requests by upstream.
	UpstreamLimit *Family[*metrics.Gauge]
	// UpstreamSlowFactor is an upstream's latency divided by the median of its peers.
	UpstreamSlowFactor *Family[*metrics.Gauge]
	// UpstreamErrors is the number of failed attempts by upstream and kind.
	UpstreamErrors *Family[*metrics.Counter]
	// CachedPromptTokens is the number of prompt tokens found in an engine's prefix
	// cache by service.
	CachedPromptTokens *Family[*metrics.Counter]
	// Hedges is the number of hedged requests by service and result.
	Hedges *Family[*metrics.Counter]
	// Retries is the number of retried idempotent requests by service and result.
	Retries *Family[*metrics.Counter]
	// RetryBudget is the number of hedges and retries that the budget currently allows.
	RetryBudget *metrics.Gauge

	// Actions is the number of completed actions by service and outcome.
	Actions *Family[*metrics.Counter]
	// ActionDuration is the duration of actions in seconds by step.
	ActionDuration *Family[*metrics.PrometheusHistogram]
	// ReservationBatchSize is the number of reservations in one table transaction.
	ReservationBatchSize *metrics.PrometheusHistogram

	// TicketNumber is the number of the ticket in effect.
	TicketNumber *metrics.Gauge
	// TicketPropagation is the time from a ticket's acceptance to its effect in
	// this process in seconds by source.
	TicketPropagation *Family[*metrics.PrometheusHistogram]
	// TicketSubmissions is the number of submitted tickets by result.
	TicketSubmissions *Family[*metrics.Counter]
	// Members is the number of known members by role and state.
	Members *Family[*metrics.Gauge]
	// LeaseHeld is 1 while this process holds the lease of a duty.
	LeaseHeld *Family[*metrics.Gauge]
	// LeaseChanges is the number of acquired and lost leases by duty and event.
	LeaseChanges *Family[*metrics.Counter]
	// Orders is the number of orders to engines by kind and result.
	Orders *Family[*metrics.Counter]

	// StoreDuration is the duration of requests to the platform in seconds by store and operation.
	StoreDuration *Family[*metrics.PrometheusHistogram]
	// StoreErrors is the number of failed requests to the platform by store and kind.
	StoreErrors *Family[*metrics.Counter]
	// ConnectionsClosed is the number of connections closed or refused to stay within a
	// limit, by listener and reason.
	ConnectionsClosed *Family[*metrics.Counter]
	// RPCDuration is the duration of unary calls between processes in seconds by method.
	RPCDuration *Family[*metrics.PrometheusHistogram]
	// RPCErrors is the number of failed calls between processes by method and code.
	RPCErrors *Family[*metrics.Counter]
	// ControlBytes is the control traffic sent to other processes in bytes by kind.
	ControlBytes *Family[*metrics.Counter]
	// Ready is 1 while the process accepts new work, and otherwise 0.
	Ready *metrics.Gauge
	// Draining is 1 while the process drains before it exits, and otherwise 0.
	Draining *metrics.Gauge
}

// Upper bounds of histogram buckets, in seconds except for batchBuckets. The
// latency targets (75 ms, 150 ms, 300 ms, 750 ms, 1 s, 3 s) are bounds, so that a
// scrape shows exactly how many requests met them.
var (
	latencyBuckets = []float64{
		0.001, 0.002, 0.005, 0.01, 0.02, 0.046, 0.075, 0.1, 0.15, 0.2, 0.3, 0.5, 0.61, 0.75, 1, 1.5, 3, 5, 10, 30,
	}
	shortBuckets = []float64{
		0.0001, 0.0002, 0.0005, 0.001, 0.002, 0.003, 0.005, 0.01, 0.02, 0.046, 0.1, 0.2, 0.5, 1, 3,
	}
	batchBuckets = []float64{1, 2, 4, 8, 16, 25, 50, 100}
)

// NewMetrics returns metrics at zero. Each call creates a separate set, so that
// several processes can run in one test.
func NewMetrics() *Metrics {
	dc := &declarer{set: metrics.NewSet()}
	mx := &Metrics{set: dc.set}
	mx.declareRequests(dc)
	mx.declareRecovery(dc)
	mx.declareAdmission(dc)
	mx.declareRouting(dc)
	mx.declareActions(dc)
	mx.declareControl(dc)
	mx.declareTransport(dc)
	mx.defs = dc.defs
	return mx
}

func (mx *Metrics) declareRequests(dc *declarer) {
	mx.Requests = dc.counters("requests_total",
		"Finished requests by service and outcome (Done, NotRun, Unknown, Canceled).", "service", "outcome")
	mx.RequestsInProgress = dc.gauges("in_progress_requests",
		"Requests being served by service.", "service")
	mx.TimeToFirstToken = dc.histograms("first_token_seconds",
		"Time from the request to the first token delivered, by service and class.", latencyBuckets, "service", "class")
	mx.TokenGap = dc.histograms("token_gap_seconds",
		"Time between two tokens delivered to a caller, by service.", latencyBuckets, "service")
	mx.CallDuration = dc.histograms("call_duration_seconds",
		"Duration of idempotent calls by service.", latencyBuckets, "service")
	mx.TokensDelivered = dc.counters("tokens_delivered_total",
		"Tokens delivered to callers by service.", "service")
	mx.TokensRecomputed = dc.counters("tokens_recomputed_total",
		"Tokens that an engine computed a second time in recovery, by cause, in the words of the log.", "cause")
	mx.TokensRefused = dc.counter("tokens_refused_total",
		"Tokens dropped since they were not the next position of the current attempt.")
}

func (mx *Metrics) declareRecovery(dc *declarer) {
	mx.ResumeLatency = dc.histograms("resume_latency_seconds",
		"Time from the loss of an attempt to the next token delivered, by cause, in the words of the log.",
		latencyBuckets, "cause")
	mx.Resumes = dc.counters("resumes_total",
		"Losses made up for, by cause in the words of the log and result (Resumed, GaveUp).", "cause", "result")
	mx.HolderAckDuration = dc.histogram("holder_ack_seconds",
		"Time until the holder acknowledged an append to a generation record.", shortBuckets)
	mx.HolderChanges = dc.counters("holder_changes_total",
		"Changes of a generation's holder by reason, in the words of the log.", "reason")
	mx.RecordsHeld = dc.gauge("records_held",
		"Generation records kept for other routers.")
	mx.RecordBytes = dc.gauge("record_bytes",
		"Size of the generation records kept for other routers.")
	mx.Takeovers = dc.counters("take_overs_total",
		"Generations taken over from another router by result (Done, Refused).", "result")
}

func (mx *Metrics) declareAdmission(dc *declarer) {
	mx.QueueWait = dc.histograms("queue_wait_seconds",
		"Wait in the router's queue before a request started, by service and class.", latencyBuckets, "service", "class")
	mx.QueueLength = dc.gauges("queue_length_requests",
		"Requests waiting in the router's queue by service and class.", "service", "class")
	mx.Refusals = dc.counters("refusals_total",
		"Requests answered with NotRun by service and reason.", "service", "reason")
	mx.TeamTokens = dc.counters("team_work_tokens_total",
		"Work done by team; a call to a plain service counts as one token.", "team")
	mx.Preemptions = dc.counters("preemptions_total",
		"Deferrable generations that gave way to prompt work, by service.", "service")
}

func (mx *Metrics) declareRouting(dc *declarer) {
	mx.UpstreamChoices = dc.counters("upstream_choices_total",
		"Choices of an upstream by upstream and reason as the decision log gives it.", "upstream", "reason")
	mx.UpstreamLimit = dc.gauges("upstream_limit_requests",
		"Adaptive limit on requests in progress by upstream.", "upstream")
	mx.UpstreamSlowFactor = dc.gauges("upstream_slow_ratio",
		"An upstream's latency relative to the median of its peers.", "upstream")
	mx.UpstreamErrors = dc.counters("upstream_errors_total",
		"Failed attempts by upstream and kind (Refused, Failed).", "upstream", "kind")
	mx.CachedPromptTokens = dc.counters("cached_prompt_tokens_total",
		"Prompt tokens that an engine had in its prefix cache, by service.", "service")
	mx.Hedges = dc.counters("hedges_total",
		"Second requests of a hedge by service and result (Won, Lost, NoBudget).", "service", "result")
	mx.Retries = dc.counters("retries_total",
		"Repeated idempotent requests by service and result (Sent, NoBudget).", "service", "result")
	mx.RetryBudget = dc.gauge("retry_budget_requests",
		"Extra requests that the budget for hedges and retries allows now.")
}

func (mx *Metrics) declareActions(dc *declarer) {
	mx.Actions = dc.counters("actions_total",
		"Answered actions by service and outcome (Done, NotRun, Unknown).", "service", "outcome")
	mx.ActionDuration = dc.histograms("action_duration_seconds",
		"Duration of the steps of actions by step (Dispatch).", latencyBuckets, "step")
	mx.ReservationBatchSize = dc.histogram("reservation_batch_actions",
		"Reservations in one table transaction.", batchBuckets)
}

func (mx *Metrics) declareControl(dc *declarer) {
	mx.TicketNumber = dc.gauge("ticket_number",
		"Number of the ticket in force in this process.")
	mx.TicketPropagation = dc.histograms("ticket_propagation_seconds",
		"Time from a ticket's acceptance to its effect in this process by both wall clocks, by source (Store, Exchange, Traffic).",
		latencyBuckets, "source")
	mx.TicketSubmissions = dc.counters("ticket_submissions_total",
		"Tickets submitted to this process by result (Accepted, Repeated, Conflict, Invalid, Unavailable, Unknown).", "result")
	mx.Members = dc.gauges("members",
		"Known members by role and state (Live, Suspect, Leaving).", "role", "state")
	mx.LeaseHeld = dc.gauges("lease_held",
		"1 while this process holds the lease of a duty, and otherwise 0.", "duty")
	mx.LeaseChanges = dc.counters("lease_changes_total",
		"Changes of leases by duty and event (Acquired, Lost).", "duty", "event")
	mx.Orders = dc.counters("orders_total",
		"Orders to engines by kind (Load, Unload, Role) and result (Done, StaleFence, Failed).", "kind", "result")
	mx.Ready = dc.gauge("ready",
		"1 while this process takes new work, and otherwise 0.")
	mx.Draining = dc.gauge("draining",
		"1 while this process ends its work before it exits, and otherwise 0.")
}

func (mx *Metrics) declareTransport(dc *declarer) {
	mx.StoreDuration = dc.histograms("store_duration_seconds",
		"Duration of requests to the platform by store (Table, Objects, VMList) and operation.", latencyBuckets, "store", "operation")
	mx.StoreErrors = dc.counters("store_errors_total",
		"Failed requests to the platform by store and kind (Unavailable, Unsure, Conflict, Invalid).", "store", "kind")
	mx.ConnectionsClosed = dc.counters("connections_closed_total",
		"Connections closed or refused to stay within a limit, by listener (its address) and reason.", "listener", "reason")
	mx.RPCDuration = dc.histograms("rpc_duration_seconds",
		"Duration of unary calls between processes by method.", shortBuckets, "method")
	mx.RPCErrors = dc.counters("rpc_errors_total",
		"Failed calls between processes by method and code.", "method", "code")
	mx.ControlBytes = dc.counters("control_sent_bytes_total",
		"Bytes of control traffic sent to other processes by kind (Status, Exchange, Tickets).", "kind")
}

// Definitions returns the definitions of all metrics, sorted by name.
func (mx *Metrics) Definitions() []MetricDefinition {
	defs := slices.Clone(mx.defs)
	slices.SortFunc(defs, compareDefinitions)
	return defs
}

// Write writes the metrics, and those of the Go runtime and the process, in
// the Prometheus text format.
func (mx *Metrics) Write(out io.Writer) {
	mx.set.WritePrometheus(out)
	metrics.WriteProcessMetrics(out)
}

// MarkdownRow returns the definition's row in the table of docs/metrics.md.
func (def MetricDefinition) MarkdownRow() string {
	labels := "–"
	if len(def.Labels) > 0 {
		labels = "`" + strings.Join(def.Labels, "`, `") + "`"
	}
	return "| `" + def.Name + "` | " + string(def.Kind) + " | " + labels + " | " + def.Help + " |"
}

func compareDefinitions(one, two MetricDefinition) int { return strings.Compare(one.Name, two.Name) }
