package bwrouter

import (
	"context"
	"errors"
	"net/http"
	"net/netip"
	"path"
	"strings"
	"time"

	"github.com/gorilla/mux"

	"bilberrywick/core/bwadmit"
	"bilberrywick/core/bwmodel"
	"bilberrywick/core/bwretry"
	"bilberrywick/core/bwroute"
	"bilberrywick/io/bwhttp"
	"bilberrywick/io/bwobserve"
	"bilberrywick/io/bwrpc"
	"bilberrywick/io/bwwire"
)

// Calls serves idempotent calls to plain services; it retries and hedges them
// within a budget.
type Calls struct{ cfg CallsConfig }

// CallsConfig configures a Calls.
type CallsConfig struct {
	Choose  func(context.Context, bwroute.Request) (bwroute.Choice, error)
	Admit   func(context.Context, bwadmit.Request) (bwadmit.Grant, error)
	Service func(bwmodel.ServiceID) (bwmodel.Service, bool)
	// Call calls an agent through bwrpc.
	Call func(context.Context, netip.AddrPort, *bwwire.CallRequest) (*bwwire.CallResponse, error)
	// Hedge returns the hedge of a service.
	Hedge  func(bwmodel.ServiceID) *bwretry.Hedge
	Budget *bwretry.Budget
	// Metrics counts hedges, retries and durations; nil means a set of its own.
	Metrics *bwobserve.Metrics
	Now     func() time.Time
	// After returns a channel that fires once; nil means time.After.
	After        func(time.Duration) <-chan time.Time
	NewRequestID func() bwmodel.RequestID
	// StateNumber returns the number of the tickets in effect; nil means 0.
	StateNumber func() bwmodel.TicketNumber
	// Timeout bounds a call; 0 means 10 s.
	Timeout time.Duration
	// MaxAttempts bounds the copies of one call, refused ones included; 0 means 4.
	MaxAttempts int
}

const (
	defaultCallTimeout = 10 * time.Second
	defaultMaxCopies   = 4
)

// NewCalls returns a Calls.
func NewCalls(cfg CallsConfig) *Calls {
	if cfg.After == nil {
		cfg.After = time.After
	}
	if cfg.Timeout == 0 {
		cfg.Timeout = defaultCallTimeout
	}
	if cfg.MaxAttempts == 0 {
		cfg.MaxAttempts = defaultMaxCopies
	}
	if cfg.StateNumber == nil {
		cfg.StateNumber = noState
	}
	if cfg.Metrics == nil {
		cfg.Metrics = bwobserve.NewMetrics()
	}
	return &Calls{cfg: cfg}
}

// Register adds the route to a router.
func (cls *Calls) Register(rt *mux.Router) {
	rt.HandleFunc("/v1/services/{service}/calls/{path:.*}", cls.ServeCall).Methods(http.MethodGet)
}

// ServeCall runs a call and answers with the first whole response or with a problem.
func (cls *Calls) ServeCall(wr http.ResponseWriter, hrq *http.Request) {
	team, ok := bwhttp.TeamFromContext(hrq.Context())
	if !ok {
		bwhttp.WriteProblem(wr, *unauthorized())
		return
	}
	svc, barred := access(hrq, team, cls.cfg.Service)
	if barred != nil {
		bwhttp.WriteProblem(wr, bwhttp.Problem{
			Status:  notRunStatus[barred.Reason],
			Detail:  string(barred.Reason),
			Outcome: bwhttp.OutcomeNotRun,
		})
		return
	}
	target, prb := upstreamPath(hrq, "calls")
	if prb == nil && isAction(svc, target) {
		prb = invalid("path %q is an action of the service", target)
	}
	if prb != nil {
		bwhttp.WriteProblem(wr, *prb)
		return
	}
	ctx, cancel := context.WithTimeout(hrq.Context(), cls.cfg.Timeout)
	defer cancel()
	job := &callJob{
		cls: cls,
		req: bwwire.CallRequest{
			Request:     cls.cfg.NewRequestID(),
			Team:        team.Name,
			Service:     svc.Name,
			StateNumber: cls.cfg.StateNumber(),
			HTTP:        bwmodel.HTTPRequest{Method: hrq.Method, Path: target},
		},
		results: make(chan *callCopy, cls.cfg.MaxAttempts),
	}
	grant, err := cls.cfg.Admit(ctx, bwadmit.Request{
		ID:      job.req.Request,
		Service: svc.Name,
		Team:    team.Name,
		Class:   svc.Class,
		Tokens:  1,
	})
	if err != nil {
		bwhttp.WriteProblem(wr, refusedCall(err))
		return
	}
	defer grant.Finish(1)
	began := cls.cfg.Now()
	rsp, err := job.do(ctx)
	cls.cfg.Metrics.CallDuration.With(string(svc.Name)).Update(cls.cfg.Now().Sub(began).Seconds())
	if err != nil {
		bwhttp.WriteProblem(wr, job.problem(err))
		return
	}
	writeResponse(wr, rsp)
}

// isAction reports whether a path belongs to the service's non-idempotent calls.
func isAction(svc bwmodel.Service, target string) bool {
	plain, _, _ := strings.Cut(target, "?")
	plain = path.Clean(plain)
	for _, prefix := range svc.Actions {
		if strings.HasPrefix(plain, prefix) {
			return true
		}
	}
	return false
}

func refusedCall(err error) bwhttp.Problem {
	prb := bwhttp.Problem{
		Status:  http.StatusServiceUnavailable,
		Detail:  err.Error(),
		Outcome: bwhttp.OutcomeNotRun,
	}
	ref := new(bwadmit.RefusedError)
	if errors.As(err, &ref) {
		prb.Status = http.StatusTooManyRequests
		prb.RetryAfter = ref.RetryAfter
	}
	return prb
}

// callJob is one call and its copies.
type callJob struct {
	cls     *Calls
	req     bwwire.CallRequest
	results chan *callCopy
	exclude []bwmodel.UpstreamID
	copies  int
	open    int
	// hedge is the number of the copy that is a hedge; 0 is none.
	hedge int
	// reached says that a copy may have reached an upstream.
	reached bool
}

// do sends copies until one is answered, none may be sent, or the context ends.
func (job *callJob) do(ctx context.Context) (bwmodel.HTTPResponse, error) {
	cfg := &job.cls.cfg
	cfg.Budget.CountRequest()
	cfg.Metrics.RetryBudget.Set(float64(cfg.Budget.Remaining()))
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if err := job.send(ctx); err != nil {
		return bwmodel.HTTPResponse{}, err
	}
	var hedge <-chan time.Time
	if delay, ok := cfg.Hedge(job.req.Service).Delay(); ok {
		hedge = cfg.After(delay)
	}
	for {
		select {
		case cpy := <-job.results:
			job.open--
			if cpy.err == nil {
				job.countHedge(cpy)
				return cpy.response, nil
			}
			if err := job.retry(ctx, cpy); err != nil {
				return bwmodel.HTTPResponse{}, err
			}
		case <-hedge:
			hedge = nil
			job.sendHedge(ctx)
		case <-ctx.Done():
			return bwmodel.HTTPResponse{}, ctx.Err()
		}
	}
}

// retry replaces a failed copy, and returns an error when no copy is left.
func (job *callJob) retry(ctx context.Context, cpy *callCopy) error {
	if _, refused := refusals[bwrpc.CodeOf(cpy.err)]; refused {
		// A refused copy has cost no upstream anything, so it needs no budget.
		if job.send(ctx) == nil {
			return nil
		}
	} else {
		job.reached = true
		sent := job.sendExtra(ctx)
		job.cls.cfg.Metrics.Retries.With(string(job.req.Service), extraResult(sent)).Inc()
		if sent {
			return nil
		}
	}
	if job.open > 0 {
		return nil
	}
	return cpy.err
}

// Results of extra copies.
const (
	extraSent     = "Sent"
	extraNoBudget = "NoBudget"
	hedgeWon      = "Won"
	hedgeLost     = "Lost"
)

func extraResult(sent bool) string {
	if sent {
		return extraSent
	}
	return extraNoBudget
}

func (job *callJob) sendHedge(ctx context.Context) {
	if job.sendExtra(ctx) {
		job.hedge = job.copies
		return
	}
	job.cls.cfg.Metrics.Hedges.With(string(job.req.Service), extraNoBudget).Inc()
}

// countHedge counts which half of a hedge was answered first.
func (job *callJob) countHedge(cpy *callCopy) {
	if job.hedge == 0 {
		return
	}
	result := hedgeLost
	if cpy.number == job.hedge {
		result = hedgeWon
	}
	job.cls.cfg.Metrics.Hedges.With(string(job.req.Service), result).Inc()
}

// sendExtra sends another copy if the budget allows it, and reports whether it did.
func (job *callJob) sendExtra(ctx context.Context) bool {
	if !job.cls.cfg.Budget.Allow() {
		return false
	}
	if job.send(ctx) != nil {
		job.cls.cfg.Budget.Refund()
		return false
	}
	return true
}

func (job *callJob) send(ctx context.Context) error {
	if job.copies >= job.cls.cfg.MaxAttempts {
		return errTooManyCopies
	}
	choice, err := job.cls.cfg.Choose(ctx, bwroute.Request{
		ID:      job.req.Request,
		Service: job.req.Service,
		Team:    job.req.Team,
		Tokens:  1,
		Exclude: job.exclude,
	})
	if err != nil {
		return err
	}
	job.copies++
	job.open++
	job.exclude = append(job.exclude, choice.Upstream.Name)
	cpy := &callCopy{job: job, choice: choice, number: job.copies}
	go cpy.run(ctx)
	return nil
}

func (job *callJob) problem(err error) bwhttp.Problem {
	prb := bwhttp.Problem{
		Status:  http.StatusServiceUnavailable,
		Detail:  err.Error(),
		Outcome: bwhttp.OutcomeNotRun,
	}
	if job.reached || job.open > 0 {
		prb.Status = http.StatusBadGateway
		prb.Outcome = bwhttp.OutcomeUnknown
	}
	if errors.Is(err, context.DeadlineExceeded) {
		prb.Status = http.StatusGatewayTimeout
	}
	return prb
}

var errTooManyCopies = errors.New("too many upstreams have failed the call")

// callCopy is one copy of a call at one upstream.
type callCopy struct {
	job *callJob
	// number counts the copies of a call from 1.
	number   int
	choice   bwroute.Choice
	response bwmodel.HTTPResponse
	err      error
}

func (cpy *callCopy) run(ctx context.Context) {
	cfg := &cpy.job.cls.cfg
	req := cpy.job.req
	began := cfg.Now()
	rsp, err := cfg.Call(ctx, cpy.choice.Upstream.Agent, &req)
	took := cfg.Now().Sub(began)
	_, refused := refusals[bwrpc.CodeOf(err)]
	canceled := err != nil && ctx.Err() != nil
	cpy.choice.Finish(bwroute.Outcome{
		FirstToken: took,
		Elapsed:    took,
		Tokens:     1,
		Refused:    err != nil && refused,
		Failed:     err != nil && !refused && !canceled,
		Canceled:   canceled,
	})
	if err == nil {
		cpy.response = rsp.HTTP
		cfg.Hedge(req.Service).Observe(took)
	}
	cpy.err = err
	cpy.job.results <- cpy
}
