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

// Calls serves idempotent calls to plain services and retries and hedges them
// within a budget.
type Calls struct{ cfg CallsConfig }

// CallsConfig configures a Calls.
type CallsConfig struct {
	Choose  func(context.Context, bwroute.Request) (bwroute.Choice, error)
	Admit   func(context.Context, bwadmit.Request) (bwadmit.Grant, error)
	Service func(bwmodel.ServiceID) (bwmodel.Service, bool)
	// Call sends a call to an agent through bwrpc.
	Call func(context.Context, netip.AddrPort, *bwwire.CallRequest) (*bwwire.CallResponse, error)
	// Hedge returns the hedge of a service, which decides when a second attempt is sent.
	Hedge  func(bwmodel.ServiceID) *bwretry.Hedge
	Budget *bwretry.Budget
	// Metrics counts hedges, retries and durations; nil means a new set.
	Metrics *bwobserve.Metrics
	Now     func() time.Time
	// After returns a channel that fires once; nil means time.After.
	After        func(time.Duration) <-chan time.Time
	NewRequestID func() bwmodel.RequestID
	// StateNumber returns the number of the last ticket in effect; nil means 0.
	StateNumber func() bwmodel.TicketNumber
	// Timeout limits the time of a call; 0 means 10 s.
	Timeout time.Duration
	// MaxAttempts limits the attempts of one call, including refused ones; 0 means 4.
	MaxAttempts int
}

const (
	defaultCallTimeout     = 10 * time.Second
	defaultMaxCallAttempts = 4
)

// NewCalls returns a Calls with defaults for unset optional fields.
func NewCalls(cfg CallsConfig) *Calls {
	if cfg.After == nil {
		cfg.After = time.After
	}
	if cfg.Timeout == 0 {
		cfg.Timeout = defaultCallTimeout
	}
	if cfg.MaxAttempts == 0 {
		cfg.MaxAttempts = defaultMaxCallAttempts
	}
	if cfg.StateNumber == nil {
		cfg.StateNumber = zeroStateNumber
	}
	if cfg.Metrics == nil {
		cfg.Metrics = bwobserve.NewMetrics()
	}
	return &Calls{cfg: cfg}
}

// Register adds the call route to a router.
func (cls *Calls) Register(rt *mux.Router) {
	rt.HandleFunc("/v1/services/{service}/calls/{path:.*}", cls.ServeCall).Methods(http.MethodGet)
}

// ServeCall runs a call and responds with the first complete response or with a problem.
func (cls *Calls) ServeCall(wr http.ResponseWriter, hrq *http.Request) {
	team, ok := bwhttp.TeamFromContext(hrq.Context())
	if !ok {
		bwhttp.WriteProblem(wr, *unauthorizedProblem())
		return
	}
	svc, denied := authorizeService(hrq, team, cls.cfg.Service)
	if denied != nil {
		bwhttp.WriteProblem(wr, bwhttp.Problem{
			Status:  notRunStatus[denied.Reason],
			Detail:  string(denied.Reason),
			Outcome: bwhttp.OutcomeNotRun,
		})
		return
	}
	target, prb := upstreamPath(hrq, "calls")
	if prb == nil && isAction(svc, target) {
		prb = invalidProblem("path %q is an action of the service", target)
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
		results: make(chan *callAttempt, cls.cfg.MaxAttempts),
	}
	grant, err := cls.cfg.Admit(ctx, bwadmit.Request{
		ID:      job.req.Request,
		Service: svc.Name,
		Team:    team.Name,
		Class:   svc.Class,
		Tokens:  1,
	})
	if err != nil {
		bwhttp.WriteProblem(wr, callRefusalProblem(err))
		return
	}
	defer grant.Finish(1)
	start := cls.cfg.Now()
	rsp, err := job.execute(ctx)
	cls.cfg.Metrics.CallDuration.With(string(svc.Name)).Update(cls.cfg.Now().Sub(start).Seconds())
	if err != nil {
		bwhttp.WriteProblem(wr, job.problem(err))
		return
	}
	writeResponse(wr, rsp)
}

// isAction reports whether a path is one of the service's non-idempotent actions.
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

func callRefusalProblem(err error) bwhttp.Problem {
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

// callJob is one call and its attempts.
type callJob struct {
	cls      *Calls
	req      bwwire.CallRequest
	results  chan *callAttempt
	exclude  []bwmodel.UpstreamID
	attempts int
	inFlight int
	// hedgeNumber is the number of the attempt that is a hedge; 0 means none.
	hedgeNumber int
	// mayHaveRun is set once an attempt may have reached an upstream.
	mayHaveRun bool
}

// execute sends attempts until one succeeds, no other may be sent, or the context ends.
func (job *callJob) execute(ctx context.Context) (bwmodel.HTTPResponse, error) {
	cfg := &job.cls.cfg
	cfg.Budget.CountRequest()
	cfg.Metrics.RetryBudget.Set(float64(cfg.Budget.Remaining()))
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if err := job.startAttempt(ctx); err != nil {
		return bwmodel.HTTPResponse{}, err
	}
	var hedge <-chan time.Time
	if delay, ok := cfg.Hedge(job.req.Service).Delay(); ok {
		hedge = cfg.After(delay)
	}
	for {
		select {
		case att := <-job.results:
			job.inFlight--
			if att.err == nil {
				job.countHedge(att)
				return att.response, nil
			}
			if err := job.retry(ctx, att); err != nil {
				return bwmodel.HTTPResponse{}, err
			}
		case <-hedge:
			hedge = nil
			job.startHedge(ctx)
		case <-ctx.Done():
			return bwmodel.HTTPResponse{}, ctx.Err()
		}
	}
}

// retry replaces a failed attempt. It returns the attempt's error when that is not
// possible and no other attempt is in flight.
func (job *callJob) retry(ctx context.Context, att *callAttempt) error {
	if _, refused := refusalByCode[bwrpc.CodeOf(att.err)]; refused {
		// A refused attempt did no work at an upstream, so its replacement needs no budget.
		if job.startAttempt(ctx) == nil {
			return nil
		}
	} else {
		job.mayHaveRun = true
		sent := job.startExtra(ctx)
		job.cls.cfg.Metrics.Retries.With(string(job.req.Service), extraResult(sent)).Inc()
		if sent {
			return nil
		}
	}
	if job.inFlight > 0 {
		return nil
	}
	return att.err
}

// Results of extra attempts and of hedges, as metric labels.
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

func (job *callJob) startHedge(ctx context.Context) {
	if job.startExtra(ctx) {
		job.hedgeNumber = job.attempts
		return
	}
	job.cls.cfg.Metrics.Hedges.With(string(job.req.Service), extraNoBudget).Inc()
}

// countHedge counts whether the hedge or the original attempt succeeded first.
func (job *callJob) countHedge(att *callAttempt) {
	if job.hedgeNumber == 0 {
		return
	}
	result := hedgeLost
	if att.number == job.hedgeNumber {
		result = hedgeWon
	}
	job.cls.cfg.Metrics.Hedges.With(string(job.req.Service), result).Inc()
}

// startExtra sends another attempt if the budget allows it, and reports whether it did.
func (job *callJob) startExtra(ctx context.Context) bool {
	if !job.cls.cfg.Budget.Allow() {
		return false
	}
	if job.startAttempt(ctx) != nil {
		job.cls.cfg.Budget.Refund()
		return false
	}
	return true
}

func (job *callJob) startAttempt(ctx context.Context) error {
	if job.attempts >= job.cls.cfg.MaxAttempts {
		return errTooManyAttempts
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
	job.attempts++
	job.inFlight++
	job.exclude = append(job.exclude, choice.Upstream.Name)
	att := &callAttempt{job: job, choice: choice, number: job.attempts}
	go att.run(ctx)
	return nil
}

func (job *callJob) problem(err error) bwhttp.Problem {
	prb := bwhttp.Problem{
		Status:  http.StatusServiceUnavailable,
		Detail:  err.Error(),
		Outcome: bwhttp.OutcomeNotRun,
	}
	if job.mayHaveRun || job.inFlight > 0 {
		prb.Status = http.StatusBadGateway
		prb.Outcome = bwhttp.OutcomeUnknown
	}
	if errors.Is(err, context.DeadlineExceeded) {
		prb.Status = http.StatusGatewayTimeout
	}
	return prb
}

var errTooManyAttempts = errors.New("too many upstreams have failed the call")

// callAttempt is one attempt of a call at one upstream.
type callAttempt struct {
	job *callJob
	// number counts the attempts of a call from 1.
	number   int
	choice   bwroute.Choice
	response bwmodel.HTTPResponse
	err      error
}

func (att *callAttempt) run(ctx context.Context) {
	cfg := &att.job.cls.cfg
	req := att.job.req
	start := cfg.Now()
	rsp, err := cfg.Call(ctx, att.choice.Upstream.Agent, &req)
	elapsed := cfg.Now().Sub(start)
	_, refused := refusalByCode[bwrpc.CodeOf(err)]
	canceled := err != nil && ctx.Err() != nil
	att.choice.Finish(bwroute.Outcome{
		FirstToken: elapsed,
		Elapsed:    elapsed,
		Tokens:     1,
		Refused:    err != nil && refused,
		Failed:     err != nil && !refused && !canceled,
		Canceled:   canceled,
	})
	if err == nil {
		att.response = rsp.HTTP
		cfg.Hedge(req.Service).Observe(elapsed)
	}
	att.err = err
	att.job.results <- att
}
