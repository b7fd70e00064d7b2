package bwgateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"bilberrywick/core/bwforward"
	"bilberrywick/core/bwmodel"
)

// call is one request of a caller. One goroutine owns it.
type call struct {
	gw      *Gateway
	wrt     http.ResponseWriter
	ctx     context.Context
	arrived time.Time
	// until is when the caller has to have its answer.
	until   time.Time
	ask     RequestInfo
	caller  http.Header
	out     outgoing
	match   bwforward.Match
	version uint64

	// exclude lists the upstreams that have failed this request, sent counts
	// those that may have run it, and tries all that were chosen.
	exclude []bwmodel.UpstreamID
	sent    int
	tries   int
	// arrivals counts the requests that upstreams have got, with those refused.
	arrivals int
	// status and reason are what the caller was told, for the log.
	status int
	reason string
	// note says why the request was not tried again.
	note     string
	upstream bwmodel.UpstreamID
	resumes  int
	first    time.Duration
}

const (
	// defaultPatience holds for callers that don't say how long they wait.
	defaultPatience = 30 * time.Second
	// maxTries bounds the upstreams asked by one request, with those that
	// refused it or could not be reached; a whole zone of today's may be among them.
	maxTries = 48
	// bodyTime bounds the reading of a body; 4 MiB take that long at 3 Mbit/s.
	bodyTime = 12 * time.Second
	// answerMargin is left to send the last answer before the deadline.
	answerMargin = 5 * time.Millisecond
)

// readBody takes the whole body, so that it can be sent again; it answers the
// caller itself when it can't.
func (cl *call) readBody(req *http.Request, lim bwforward.Limits) bool {
	limit := lim.Body
	if limit == 0 {
		limit = cl.gw.cfg.MaxBodyBytes
	}
	// A connection without deadlines reads its body however long it takes.
	ctl := http.NewResponseController(cl.wrt)
	_ = ctl.SetReadDeadline(cl.arrived.Add(bodyTime))
	body, err := io.ReadAll(http.MaxBytesReader(cl.wrt, req.Body, limit))
	_ = ctl.SetReadDeadline(time.Time{})
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

func (cl *call) setDeadline() {
	patience := cl.ask.Timeout
	if patience <= 0 {
		patience = defaultPatience
	}
	if limit := cl.match.Route.Timeout; limit > 0 {
		patience = min(patience, limit)
	}
	cl.until = cl.arrived.Add(patience - answerMargin)
}

// left returns how long the caller still waits.
func (cl *call) left() time.Duration { return cl.until.Sub(cl.gw.cfg.Now()) }

func (cl *call) work() bwforward.Work {
	wrk := bwforward.Work{Service: cl.match.Service, Exclude: cl.exclude}
	if wrk.Service.Model != nil {
		wrk.PromptTokens, wrk.MaxOutputTokens, wrk.Session = cl.ask.PromptTokens, cl.ask.MaxOutputTokens, cl.ask.Session
		wrk.Reconnect = cl.ask.LastEventID != ""
	}
	return wrk
}

// dispatch returns what an upstream is told.
func (cl *call) dispatch(nd *bwforward.Node) AttemptInfo {
	dsp := AttemptInfo{
		Upstream:    nd.ID,
		Team:        cl.match.Team,
		Timeout:     cl.left(),
		Priority:    -1,
		LastEventID: cl.ask.LastEventID,
	}
	if cl.match.Service.Model != nil {
		dsp.Priority = cl.match.Priority
	}
	return dsp
}

// open sends the request to an upstream and counts the attempt.
func (cl *call) open(ctx context.Context, nd *bwforward.Node, dsp AttemptInfo) (*exchange, error) {
	out := cl.out
	out.header = cl.gw.cfg.Dialect.UpstreamHeaders(cl.caller, dsp)
	exc, err := open(ctx, cl.gw.cfg.Dial, nd.Address, &out)
	if errors.Is(err, ErrNotSent) {
		cl.gw.failed(nd)
		cl.exclude = append(cl.exclude, nd.ID)
		return nil, err
	}
	cl.sent++
	cl.arrivals++
	ld, age := nd.LastLoad(cl.gw.cfg.Now())
	cl.gw.cfg.Log.Info("request placed", "Request", cl.ask.RequestID, "Upstream", nd.ID, "UpstreamZone", nd.Zone, "Sent", cl.sent,
		"Running", nd.Running(), "ReportedRunning", ld.Running, "ReportedWaiting", ld.Waiting, "ReportAge", age,
		"CopyTo", dsp.CopyTarget, "Copy", dsp.CopyName, "LastEvent", dsp.LastEventID, "Left", dsp.Timeout)
	return exc, err
}

// mayArrive takes an arrival beyond the first from the budget, also when the
// first was refused: the budget protects the upstreams, which see each of them.
func (cl *call) mayArrive(clm bwforward.RetryClass) bool {
	if cl.arrivals == 0 {
		return true
	}
	kind := cl.match.Route.Kind.String()
	if cl.gw.cfg.Budgets.Allow(cl.match.Service.Name, clm) {
		cl.gw.cfg.Metrics.extra(kind, "sent")
		return true
	}
	cl.gw.cfg.Metrics.extra(kind, "no budget")
	cl.note = "retry budget is used up"
	return false
}

// observe takes in the head of a response, and reports whether it is this
// request's.
func (cl *call) observe(nd *bwforward.Node, rsp *http.Response) (ResponseInfo, error) {
	ans := cl.gw.cfg.Dialect.ParseResponse(rsp)
	if ans.Load != nil {
		nd.ObserveLoad(*ans.Load, cl.gw.cfg.Now())
	}
	if ans.RequestID != "" && ans.RequestID != cl.ask.RequestID {
		return ans, ErrMismatchedResponse
	}
	if ans.NotRun || ans.OtherUpstream {
		cl.sent--
		cl.exclude = append(cl.exclude, nd.ID)
		if ans.OtherUpstream {
			nd.MarkReplaced()
			cl.gw.search(nd)
		}
	}
	return ans, nil
}

// probeTime bounds the connection of a probe; a round trip takes a few milliseconds.
const probeTime = 150 * time.Millisecond

var (
	errNoConnection = errors.New("takes no connection")
	errNotWhole     = errors.New("answer ended before its end")
)

// probe asks an upstream for a connection; one that has died gives no answer.
func (cl *call) probe(nd *bwforward.Node) error {
	ctx, cancel := context.WithTimeout(cl.ctx, probeTime)
	defer cancel()
	conn, err := cl.gw.cfg.Dial(ctx, nd.Address)
	if err != nil {
		return fmt.Errorf("%w: %w", errNoConnection, err)
	}
	// Nothing was sent on it.
	_ = conn.Close()
	return nil
}

// checkEnd returns an error unless the response that was just read is whole.
// One that doesn't say where it ends ends with its connection, and that may
// have been the end of the upstream itself.
func (cl *call) checkEnd(nd *bwforward.Node, exc *exchange) error {
	if exc.rsp.ContentLength >= 0 || len(exc.rsp.TransferEncoding) > 0 {
		return nil
	}
	if err := cl.probe(nd); err != nil {
		return fmt.Errorf("%w: %w", errNotWhole, err)
	}
	return nil
}

// refuse answers with a status of the gateway itself.
func (cl *call) refuse(status int, reason string) {
	cl.status, cl.reason = status, reason
	retry := time.Duration(0)
	if status == http.StatusServiceUnavailable {
		retry = retryAfter
	}
	hdr := cl.wrt.Header()
	cl.gw.cfg.Dialect.AddRefusalHeaders(hdr, cl.ask.RequestID, retry)
	hdr.Set("Content-Length", "0")
	cl.wrt.WriteHeader(status)
}

// retryAfter is about the time after which a crashed upstream is replaced or a
// full one has finished a part of its work.
const retryAfter = 300 * time.Millisecond

// abort breaks the caller's connection, so that no partial answer looks whole.
func (cl *call) abort() { panic(http.ErrAbortHandler) }

// gone reports whether the caller has left.
func (cl *call) gone() bool { return cl.ctx.Err() != nil }

// finish writes the line of the request's end.
func (cl *call) finish() {
	took := cl.gw.cfg.Now().Sub(cl.arrived)
	kind, route := "", ""
	if cl.match.Route != nil {
		kind, route = cl.match.Route.Kind.String(), cl.match.Route.Name
	}
	cl.gw.cfg.Metrics.observe(kind, cl.status, took)
	cl.gw.cfg.Log.Info("request ended", "Request", cl.ask.RequestID, "Route", route, "Team", cl.match.Team, "StateVersion", cl.version,
		"Upstream", cl.upstream, "Status", cl.status, "Reason", cl.reason, "Note", cl.note, "Sent", cl.sent, "Tries", cl.tries,
		"Resumes", cl.resumes, "First", cl.first, "Took", took, "CallerLeft", cl.gone())
}
