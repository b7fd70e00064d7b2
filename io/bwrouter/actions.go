package bwrouter

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"net/netip"
	"net/url"
	"time"

	"github.com/gorilla/mux"

	"bilberrywick/core/bwaction"
	"bilberrywick/core/bwadmit"
	"bilberrywick/core/bwmodel"
	"bilberrywick/core/bwroute"
	"bilberrywick/io/bwhttp"
	"bilberrywick/io/bwobserve"
	"bilberrywick/io/bwwire"
)

// Actions serves non-idempotent actions of plain services and queries of their outcome.
type Actions struct{ cfg ActionsConfig }

// ActionsConfig configures an Actions.
type ActionsConfig struct {
	Choose  func(context.Context, bwroute.Request) (bwroute.Choice, error)
	Admit   func(context.Context, bwadmit.Request) (bwadmit.Grant, error)
	Service func(bwmodel.ServiceID) (bwmodel.Service, bool)
	// Upstream finds an upstream by its name, whether it takes new work or not.
	Upstream func(bwmodel.UpstreamID) (bwmodel.Upstream, bool)
	// AgentClock returns an agent's incarnation and the lowest possible value of its clock now.
	AgentClock func(bwmodel.UpstreamID) (bwmodel.Incarnation, time.Duration, bool)
	// ConnectionContext returns a context that ends when the agent's status stream is lost;
	// nil means that it never does.
	ConnectionContext func(bwmodel.UpstreamID) context.Context
	// Dispatch and Settle call an agent through bwrpc.
	Dispatch func(context.Context, netip.AddrPort, *bwwire.DispatchRequest) (*bwwire.DispatchResponse, error)
	Settle   func(context.Context, netip.AddrPort, *bwwire.SettleRequest) (*bwwire.SettleResponse, error)
	// Coordinator holds the functions Read, Insert and Swap, Now, NewAttempt and the
	// timeouts; Choose, Dispatch and Settle are set by Actions.
	Coordinator bwaction.CoordinatorConfig
	// StateNumber returns the number of the tickets in effect; nil means 0.
	StateNumber func() bwmodel.TicketNumber
	// MaxBodyBytes bounds the request's body; 0 means 256 KiB.
	MaxBodyBytes int64
	// Metrics counts the outcomes; nil discards them.
	Metrics *bwobserve.Metrics
	// Log receives the causes of actions that are not done; nil discards them.
	Log *slog.Logger
}

const (
	defaultMaxActionBody = 256 << 10
	maxKeyLength         = 255
	idempotencyHeader    = "Idempotency-Key"
	outcomeHeader        = "Outcome"
	repeatHeader         = "Repeat"
	actionsPath          = "/v1/actions/"
	// maxChoices bounds the upstreams tried whose agent's clock is not known.
	maxChoices = 4
)

// NewActions returns an Actions.
func NewActions(cfg ActionsConfig) *Actions {
	if cfg.MaxBodyBytes == 0 {
		cfg.MaxBodyBytes = defaultMaxActionBody
	}
	if cfg.ConnectionContext == nil {
		cfg.ConnectionContext = alwaysConnected
	}
	if cfg.StateNumber == nil {
		cfg.StateNumber = noState
	}
	if cfg.Metrics == nil {
		cfg.Metrics = bwobserve.NewMetrics()
	}
	if cfg.Log == nil {
		cfg.Log = slog.New(slog.DiscardHandler)
	}
	return &Actions{cfg: cfg}
}

// Register adds the routes to a router.
func (act *Actions) Register(rt *mux.Router) {
	rt.HandleFunc("/v1/services/{service}/actions/{path:.*}", act.ServeAction).Methods(http.MethodPost)
	rt.HandleFunc(actionsPath+"{key:.+}", act.ServeQuery).Methods(http.MethodGet)
}

// ServeAction runs an action and answers with the upstream's whole response or
// with a problem.
func (act *Actions) ServeAction(wr http.ResponseWriter, hrq *http.Request) {
	psd, prb := act.parse(wr, hrq)
	if prb != nil {
		bwhttp.WriteProblem(wr, *prb)
		return
	}
	done, err := act.run(hrq.Context(), psd)
	act.answer(wr, psd.req.Service, psd.req.Key, done, err)
}

// run admits and runs an action; a refusal is checked against earlier requests
// with the same key.
func (act *Actions) run(ctx context.Context, psd parsedAction) (bwaction.Result, error) {
	req := psd.req
	job := &actionJob{act: act}
	defer job.drop()
	co := act.coordinator(job)
	if psd.barred != nil {
		return co.Reject(ctx, req, psd.barred)
	}
	grant, err := act.cfg.Admit(ctx, bwadmit.Request{
		ID:      req.ID,
		Service: req.Service,
		Team:    req.Key.Team,
		Class:   psd.svc.Class,
		Tokens:  1,
	})
	if err != nil {
		return co.Reject(ctx, req, notAdmitted(err))
	}
	defer grant.Finish(1)
	return co.Run(ctx, req)
}

// ServeQuery answers with the outcome of a key of the caller's team so far.
func (act *Actions) ServeQuery(wr http.ResponseWriter, hrq *http.Request) {
	team, ok := bwhttp.TeamFromContext(hrq.Context())
	if !ok {
		bwhttp.WriteProblem(wr, *unauthorized())
		return
	}
	name, err := url.PathUnescape(mux.Vars(hrq)["key"])
	if err != nil || !validKey(name) {
		bwhttp.WriteProblem(wr, bwhttp.Problem{
			Status:  http.StatusBadRequest,
			Detail:  "the key is not one that an action can have",
			Outcome: bwhttp.OutcomeNotRun,
		})
		return
	}
	key := bwaction.Key{Team: team.Name, Name: name}
	job := &actionJob{act: act}
	done, err := act.coordinator(job).Query(hrq.Context(), key)
	act.answer(wr, "", key, done, err)
}

func (act *Actions) coordinator(job *actionJob) *bwaction.Coordinator {
	cfg := act.cfg.Coordinator
	cfg.Choose = job.choose
	cfg.Dispatch = job.dispatch
	cfg.Settle = job.settle
	return bwaction.NewCoordinator(cfg)
}

// actionJob keeps the choice of one request between its reservation and its dispatch.
type actionJob struct {
	act    *Actions
	choice bwroute.Choice
	held   bool
}

func (job *actionJob) choose(ctx context.Context, req bwaction.Request, exclude []bwmodel.UpstreamID) (bwaction.Target, error) {
	job.drop()
	exclude = append([]bwmodel.UpstreamID(nil), exclude...)
	for range maxChoices {
		choice, err := job.act.cfg.Choose(ctx, bwroute.Request{
			ID:      req.ID,
			Service: req.Service,
			Team:    req.Key.Team,
			Tokens:  1,
			Exclude: exclude,
		})
		if err != nil {
			return bwaction.Target{}, err
		}
		inc, clock, ok := job.act.cfg.AgentClock(choice.Upstream.Name)
		if ok {
			job.choice, job.held = choice, true
			return bwaction.Target{Upstream: choice.Upstream, Incarnation: inc, Clock: clock}, nil
		}
		choice.Finish(bwroute.Outcome{Refused: true})
		exclude = append(exclude, choice.Upstream.Name)
	}
	return bwaction.Target{}, errNoClock
}

func (job *actionJob) dispatch(ctx context.Context, ups bwmodel.UpstreamID, dis bwaction.Dispatch) (bwaction.SettleResult, error) {
	if !job.held || job.choice.Upstream.Name != ups {
		return bwaction.SettleResult{}, &bwaction.RefusedError{Refusal: bwaction.RefusedUnsent, Err: errNoUpstream}
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	// The connection of an agent that has vanished silently stays open; once its
	// reports are missing, the outcome is asked for instead of waited for.
	stop := context.AfterFunc(job.act.cfg.ConnectionContext(ups), cancel)
	defer stop()
	began := job.act.cfg.Coordinator.Now()
	rsp, err := job.act.cfg.Dispatch(ctx, job.choice.Upstream.Agent, &bwwire.DispatchRequest{
		Team:        dis.Key.Team,
		Key:         dis.Key.Name,
		Service:     dis.Service,
		Attempt:     dis.Attempt,
		Fence:       dis.Fence,
		Incarnation: dis.Incarnation,
		Expiry:      dis.Expiry,
		StateNumber: job.act.cfg.StateNumber(),
		HTTP:        dis.HTTP,
	})
	took := job.act.cfg.Coordinator.Now().Sub(began)
	job.act.cfg.Metrics.ActionDuration.With("Dispatch").Update(took.Seconds())
	if err != nil {
		err = agentError(err)
		ref := new(bwaction.RefusedError)
		job.finish(bwroute.Outcome{Elapsed: took, Refused: errors.As(err, &ref), Failed: !errors.As(err, &ref)})
		return bwaction.SettleResult{}, err
	}
	job.finish(bwroute.Outcome{
		FirstToken: took,
		Elapsed:    took,
		Tokens:     1,
		Failed:     rsp.State != bwmodel.SettleDone,
	})
	return bwaction.SettleResult{State: rsp.State, Response: rsp.HTTP}, nil
}

func (job *actionJob) settle(ctx context.Context, id bwmodel.UpstreamID, stl bwaction.SettleRequest) (bwaction.SettleResult, error) {
	ups, ok := job.act.cfg.Upstream(id)
	if !ok {
		return bwaction.SettleResult{}, errNoUpstream
	}
	rsp, err := job.act.cfg.Settle(ctx, ups.Agent, &bwwire.SettleRequest{
		Team:        stl.Key.Team,
		Key:         stl.Key.Name,
		Fence:       stl.Fence,
		Incarnation: stl.Incarnation,
		Expiry:      stl.Expiry,
		Peek:        stl.Peek,
	})
	if err != nil {
		return bwaction.SettleResult{}, agentError(err)
	}
	return bwaction.SettleResult{State: rsp.State, Response: rsp.HTTP}, nil
}

// drop releases a choice that was not used.
func (job *actionJob) drop() { job.finish(bwroute.Outcome{Refused: true}) }

func (job *actionJob) finish(out bwroute.Outcome) {
	if job.held {
		job.held = false
		job.choice.Finish(out)
	}
}

func alwaysConnected(bwmodel.UpstreamID) context.Context { return context.Background() }
