package bwgateway

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"bilberrywick/core/bwforward"
	"bilberrywick/core/bwmodel"
	"bilberrywick/core/bwretry"
	"bilberrywick/io/bwlisten"
	"bilberrywick/io/bwtransport"
)

// call is one caller's request. Only one goroutine changes it.
type call struct {
	gw      *Gateway
	wrt     http.ResponseWriter
	ctx     context.Context
	arrived time.Time
	// deadline is when the caller must have its response.
	deadline     time.Time
	info         RequestInfo
	callerHeader http.Header
	out          outgoingRequest
	match        bwforward.Match
	stateVersion uint64
	// requestBody and responseBodies hold the memory of the bodies below.
	requestBody, responseBodies bodyHolder

	// exclude lists the upstreams that failed this request, possibleRuns counts
	// those that may have run it, and attempts counts all that were chosen.
	exclude      []bwmodel.UpstreamID
	possibleRuns int
	attempts     int
	// delivered counts the upstreams that received the request, including those
	// that refused it.
	delivered int
	// sentUptime is the reading of Config.Uptime before the last request was sent.
	sentUptime time.Duration
	// refusedPermits counts the permits that were refused in the last choice.
	refusedPermits int
	// versions is what the request may use of its service's versions.
	versions callVersions
	// status and reason describe the response to the caller in the log.
	status int
	reason string
	// retryNote says why the request was not retried.
	retryNote        string
	upstream         bwmodel.UpstreamID
	resumes          int
	timeToFirstEvent time.Duration
	// longestGap is the longest time between two events of a stream.
	longestGap time.Duration
}

const (
	// defaultTimeout applies to callers that send no timeout.
	defaultTimeout = 30 * time.Second
	// maxAttempts bounds the attempts of one request, including those that were
	// refused or could not connect. It leaves room for a whole zone of current
	// deployments to be unreachable.
	maxAttempts = 48
	// bodyTimeout bounds the time to read a body; 4 MiB take 12 s at 3 Mbit/s.
	bodyTimeout = 12 * time.Second
	// responseMargin is reserved before the deadline to send the final response.
	responseMargin = 5 * time.Millisecond
)

// readBody buffers the whole body, so that it can be sent again. If the body is
// too long or the process has no memory for it, it refuses the request and returns
// false; if reading fails it aborts
// the connection.
func (cl *call) readBody(req *http.Request, lim bwforward.Limits) bool {
	limit := lim.Body
	if limit == 0 {
		limit = cl.gw.cfg.MaxBodyBytes
	}
	// The server sets no read deadline for bodies, so a slow caller would never
	// time out.
	ctl := http.NewResponseController(cl.wrt)
	prd := &progressReader{src: http.MaxBytesReader(cl.wrt, req.Body, limit), ctl: ctl, end: cl.arrived.Add(bodyTimeout)}
	bwlisten.BeginBody(cl.ctx)
	body, err := cl.requestBody.read(prd, limit)
	bwlisten.EndBody(cl.ctx)
	_ = ctl.SetReadDeadline(time.Time{})
	if errors.Is(err, errBodiesInHand) {
		cl.wrt.Header().Set("Connection", "close")
		cl.refuse(http.StatusServiceUnavailable, "no memory for the body")
		return false
	}
	if _, tooLong := errors.AsType[*http.MaxBytesError](err); tooLong {
		cl.refuse(http.StatusRequestEntityTooLarge, "body is too long")
		return false
	}
	if err != nil {
		cl.reason = "body broke off: " + err.Error()
		cl.abort()
	}
	cl.out.body = body
	return true
}

const (
	// stateWaitShare is the part of a caller's time that a gateway which has just
	// started lets a request wait for its state, up to maxStateWait. It is read within
	// a tenth of a second unless the store is away.
	stateWaitShare    = 1.0 / 30
	maxStateWait      = 500 * time.Millisecond
	stateWaitInterval = 10 * time.Millisecond
	// statelessRetryAfter is for callers of a gateway without state. Outages of the
	// store take seconds, and callers of streams who come back after this time can
	// still be on time.
	statelessRetryAfter = 2 * time.Second
)

// awaitTable returns the routing table, or nil if there is none in time.
func (cl *call) awaitTable() *bwforward.RoutingTable {
	giveUpAt := cl.arrived.Add(min(scale(cl.info.Timeout, stateWaitShare), maxStateWait))
	for {
		tbl := cl.gw.cfg.Table()
		if tbl != nil || !cl.gw.cfg.Now().Before(giveUpAt) || !bwretry.Pause(cl.ctx, stateWaitInterval) {
			return tbl
		}
	}
}

func (cl *call) setDeadline() {
	timeout := cl.info.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	if limit := cl.match.Route.Timeout; limit > 0 {
		timeout = min(timeout, limit)
	}
	cl.deadline = cl.arrived.Add(timeout - responseMargin)
}

// parts returns the parts of the prompt that requests share.
func (cl *call) parts() []bwforward.PartID {
	if cl.info.Parts == nil {
		return nil
	}
	return cl.info.Parts()
}

// remaining returns the time left until the deadline.
func (cl *call) remaining() time.Duration { return cl.deadline.Sub(cl.gw.cfg.Now()) }

func (cl *call) work() bwforward.Work {
	wrk := bwforward.Work{Service: cl.match.Service, Exclude: cl.exclude, SkipLimited: cl.refusedPermits >= maxRefusedPermits, Versions: cl.versionRule()}
	if wrk.Service.Model != nil {
		wrk.PromptTokens, wrk.MaxOutputTokens, wrk.Session = cl.info.PromptTokens, cl.info.MaxOutputTokens, cl.info.Session
		wrk.Reconnect = cl.info.LastEventID != ""
	}
	return wrk
}

// attemptInfo returns the data from which an attempt's headers are built.
func (cl *call) attemptInfo(nd *bwforward.Node) AttemptInfo {
	info := AttemptInfo{
		Upstream:    nd.ID,
		Team:        cl.match.Team,
		Timeout:     cl.remaining(),
		Priority:    -1,
		LastEventID: cl.info.LastEventID,
	}
	if cl.match.Service.Model != nil {
		info.Priority = cl.match.Priority
	}
	return info
}

// sendRequest sends the request to an upstream and counts the attempt. An error
// is ErrNotSent; the upstream is then recorded as failed and excluded.
func (cl *call) sendRequest(ctx context.Context, nd *bwforward.Node, info AttemptInfo) (*exchange, error) {
	out := cl.out
	out.header = cl.gw.cfg.Dialect.UpstreamHeaders(cl.callerHeader, info)
	cl.sentUptime = cl.gw.cfg.Uptime()
	exc, err := openExchange(ctx, cl.gw.cfg.Dial, nd.Address, &out, &cl.gw.upstreamHeaders)
	if errors.Is(err, ErrNotSent) {
		cl.gw.recordFailure(nd, true)
		cl.exclude = append(cl.exclude, nd.ID)
		return nil, err
	}
	cl.possibleRuns++
	cl.delivered++
	ld, age := nd.LastLoad(cl.gw.cfg.Now())
	cl.gw.cfg.Log.Info("request placed", "Request", cl.info.RequestID, "Upstream", nd.ID, "UpstreamZone", nd.Zone, "UpstreamVersion", nd.Version, "Sent", cl.possibleRuns,
		"Running", nd.Running(), "ReportedRunning", ld.Running, "ReportedWaiting", ld.Waiting, "ReportAge", age,
		"CopyTo", info.CopyTarget, "Copy", info.CopyName, "LastEvent", info.LastEventID, "Left", info.Timeout)
	return exc, err
}

// chargeRetryBudget charges the retry budget for the next request to an upstream,
// and reports whether it allows one. Attempts are free until an upstream has
// received the request. A retry after a refusal is charged too, because each
// request is load for an upstream.
func (cl *call) chargeRetryBudget(class bwforward.RetryClass) bool {
	if cl.delivered == 0 {
		return true
	}
	kind := cl.match.Route.Kind.String()
	if cl.gw.cfg.Budgets.Allow(cl.match.Service.Name, class) {
		cl.gw.cfg.Metrics.countExtraRequest(kind, "sent")
		return true
	}
	if class != bwforward.PlainRetry && cl.borrowRetry() {
		cl.gw.cfg.Metrics.countExtraRequest(kind, "borrowed")
		return true
	}
	cl.gw.cfg.Metrics.countExtraRequest(kind, "no budget")
	cl.retryNote = "retry budget is used up"
	return false
}

// borrowRetry takes one extra request with the help of other gateways' budgets.
func (cl *call) borrowRetry() bool {
	svc, bds := cl.match.Service.Name, cl.gw.cfg.Budgets
	return cl.gw.cfg.Borrow(cl.ctx, svc, bds.Shortfall(svc), func(sum float64) bool { return bds.Borrow(svc, sum) })
}

// processHeader evaluates the header of a response to a request sent at sentAt. It
// returns nil if the rest is the upstream's response to the request, errNotRun if the
// request did not run, and ErrUnverifiedResponse if nothing in the response can be used.
func (cl *call) processHeader(nd *bwforward.Node, rsp *http.Response, sentAt time.Time) error {
	info := cl.gw.cfg.Dialect.ParseResponse(rsp)
	kind, err := info.Classify(cl.info.RequestID, nd.ID)
	switch kind {
	case bwforward.UpstreamResponse:
		cl.observeResponse(nd, info, sentAt)
		return nil
	case bwforward.UpstreamRefusal:
		cl.recordNotRun(nd)
		cl.observeResponse(nd, info, sentAt)
		return errNotRun
	case bwforward.OtherUpstreamRefusal:
		cl.recordNotRun(nd)
		nd.MarkReplaced(cl.gw.cfg.Now())
		cl.gw.cfg.SendNote(bwforward.PeerNote{Kind: bwforward.ReplacedNote, Upstream: nd.ID})
		cl.gw.logReplaced(nd, info.Responder)
		cl.gw.searchSuccessor(nd)
		return errNotRun
	default:
		cl.excludeUnverified(nd, err)
		return fmt.Errorf("%w: %w", ErrUnverifiedResponse, err)
	}
}

// errNotRun means that an upstream refused the request without running it.
var errNotRun = errors.New("upstream refused the request without running it")

func (cl *call) recordNotRun(nd *bwforward.Node) {
	cl.possibleRuns--
	cl.exclude = append(cl.exclude, nd.ID)
}

// excludeUnverified excludes an upstream with an unverified response from further attempts.
func (cl *call) excludeUnverified(nd *bwforward.Node, cause error) {
	cl.gw.cfg.Metrics.countUnverified(cause)
	if nd.RecordUnverified() {
		cl.excludeFailed(nd)
		return
	}
	cl.exclude = append(cl.exclude, nd.ID)
}

// observeResponse records what a verified response says of its upstream.
func (cl *call) observeResponse(nd *bwforward.Node, info ResponseInfo, sentAt time.Time) {
	if info.Load != nil {
		nd.ObserveLoad(*info.Load, cl.gw.cfg.Now())
	}
	if info.ShowsAlive(cl.info.RequestID, nd.ID) {
		nd.RecordAlive(cl.sentUptime)
	}
	// A refusal without a limit does not end one.
	if info.Limit != nil || info.Signed {
		cl.observeLimit(nd, info.Limit, sentAt)
	}
	cl.observeLeaving(nd, info.Leaving)
	if info.RetryAfter > 0 {
		cl.gw.cfg.Log.Info("upstream wants no requests", "Upstream", nd.ID, "Request", cl.info.RequestID, "For", info.RetryAfter)
		nd.RecordBackOff(info.RetryAfter, cl.gw.cfg.Now())
	}
}

// observeLimit records the limit that a response names, logs its changes and tells the
// other gateways.
func (cl *call) observeLimit(nd *bwforward.Node, rate *float64, sentAt time.Time) {
	if !nd.ObserveLimit(rate, sentAt, cl.gw.cfg.Now()) {
		return
	}
	if rate == nil {
		cl.gw.cfg.Log.Info("upstream limit ended", "Upstream", nd.ID, "Request", cl.info.RequestID)
		cl.gw.cfg.SendNote(bwforward.PeerNote{Kind: bwforward.LimitEndNote, Upstream: nd.ID})
		return
	}
	cl.gw.cfg.Log.Info("upstream limit", "Upstream", nd.ID, "PerSecond", *rate, "Request", cl.info.RequestID)
	cl.gw.cfg.SendNote(bwforward.PeerNote{Kind: bwforward.LimitNote, Upstream: nd.ID, Limit: *rate})
}

// observeLeaving records that an upstream has said in a response that it leaves, and
// tells the other gateways. The list may not say so yet, or be unavailable.
func (cl *call) observeLeaving(nd *bwforward.Node, leaving bool) {
	if !leaving || !nd.MarkLeaving() {
		return
	}
	cl.gw.cfg.Log.Info("upstream says that it leaves", "Upstream", nd.ID, "Request", cl.info.RequestID)
	cl.gw.cfg.SendNote(bwforward.NewLeavingNote(nd.Upstream))
}

// probeTimeout bounds a probe's connection attempt; a round trip takes a few
// milliseconds.
const probeTimeout = 150 * time.Millisecond

var (
	errNoConnection = errors.New("probe connection failed")
	errIncomplete   = errors.New("response ended early")
)

// probe checks that an upstream still accepts connections.
func (cl *call) probe(nd *bwforward.Node) error {
	ctx, cancel := context.WithTimeout(cl.ctx, probeTimeout)
	defer cancel()
	conn, err := cl.gw.cfg.Dial(ctx, nd.Address)
	if err != nil {
		return fmt.Errorf("%w: %w", errNoConnection, err)
	}
	// Closing loses nothing, since nothing was sent.
	_ = conn.Close()
	return nil
}

// checkComplete returns an error unless the response that was just read is
// complete. A response without a length or chunked encoding ends when the
// connection closes. So it does if the upstream breaks off while the request is
// still written, since only the writer may get the error of the reset, or if the
// upstream crashes, so it is probed.
func (cl *call) checkComplete(nd *bwforward.Node, exc *exchange) error {
	if err := bwtransport.CheckFieldNames(exc.rsp.Trailer); err != nil {
		return fmt.Errorf("%w: trailer: %w", errIncomplete, err)
	}
	if bwtransport.HasFraming(exc.rsp) {
		return nil
	}
	if err := exc.sender.end(); err != nil {
		return fmt.Errorf("%w: %w: %w", errIncomplete, bwtransport.ErrIncomplete, err)
	}
	if err := cl.probe(nd); err != nil {
		return fmt.Errorf("%w: %w", errIncomplete, err)
	}
	return nil
}

// refuse responds with a status of the gateway itself and no body.
func (cl *call) refuse(status int, reason string) {
	cl.refuseFor(status, reason, bwforward.SpreadRetryAfter(0))
}

// refuseFor is refuse with the time after which the caller should come back, which
// only a status that says so carries.
func (cl *call) refuseFor(status int, reason string, retryDelay time.Duration) {
	cl.status, cl.reason = status, reason
	if status != http.StatusServiceUnavailable {
		retryDelay = 0
	}
	hdr := cl.wrt.Header()
	cl.gw.cfg.Dialect.AddRefusalHeaders(hdr, cl.info.RequestID, retryDelay)
	hdr.Set("Content-Length", "0")
	cl.wrt.WriteHeader(status)
}

// abort closes the caller's connection, so that a partial response can't be
// mistaken for a complete one.
func (cl *call) abort() { panic(http.ErrAbortHandler) }

// callerGone reports whether the caller has disconnected.
func (cl *call) callerGone() bool { return cl.ctx.Err() != nil }

// logEnd counts the finished request and writes its last log line.
func (cl *call) logEnd() {
	took := cl.gw.cfg.Now().Sub(cl.arrived)
	kind, route := "", ""
	if cl.match.Route != nil {
		kind, route = cl.match.Route.Kind.String(), cl.match.Route.Name
	}
	cl.gw.cfg.Metrics.observeRequest(kind, cl.status, took)
	cl.gw.cfg.Log.Info("request ended", "Request", cl.info.RequestID, "Route", route, "Team", cl.match.Team, "StateVersion", cl.stateVersion,
		"Upstream", cl.upstream, "Status", cl.status, "Reason", cl.reason, "Note", cl.retryNote, "Sent", cl.possibleRuns, "Tries", cl.attempts,
		"Resumes", cl.resumes, "First", cl.timeToFirstEvent, "LongestGap", cl.longestGap, "Took", took, "CallerLeft", cl.callerGone())
}
