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

// Actions serves non-idempotent actions of plain services and queries for their outcome.
type Actions struct{ cfg ActionsConfig }

// ActionsConfig configures an Actions.
type ActionsConfig struct {
	Choose  func(context.Context, bwroute.Request) (bwroute.Choice, error)
	Admit   func(context.Context, bwadmit.Request) (bwadmit.Grant, error)
	Service func(bwmodel.ServiceID) (bwmodel.Service, bool)
	// Upstream finds an upstream by its name, whether or not it accepts new work.
	Upstream func(bwmodel.UpstreamID) (bwmodel.Upstream, bool)
	// AgentClock returns an agent's incarnation and the lowest value that its clock
	// can have now; false when the router has no report of the agent.
	AgentClock func(bwmodel.UpstreamID) (bwmodel.Incarnation, time.Duration, bool)
	// ConnectionContext returns a context that ends when the agent's status stream is
	// lost; a nil function means a context that never ends.
	ConnectionContext func(bwmodel.UpstreamID) context.Context
	// Dispatch and Settle call an agent through bwrpc.
	Dispatch func(context.Context, netip.AddrPort, *bwwire.DispatchRequest) (*bwwire.DispatchResponse, error)
	Settle   func(context.Context, netip.AddrPort, *bwwire.SettleRequest) (*bwwire.SettleResponse, error)
	// Coordinator configures the coordinators except for Choose, Dispatch and Settle,
	// which Actions sets.
	Coordinator bwaction.CoordinatorConfig
	// StateNumber returns the number of the last ticket in effect; nil means 0.
	StateNumber func() bwmodel.TicketNumber
	// MaxBodyBytes limits the request's body; 0 means 256 KiB.
	MaxBodyBytes int64
	// Metrics counts the outcomes; nil discards them.
	Metrics *bwobserve.Metrics
	// Log receives the errors of actions that did not complete; nil discards them.
	Log *slog.Logger
}

const (
	defaultMaxActionBody = 256 << 10
	maxKeyLength         = 255
	idempotencyHeader    = "Idempotency-Key"
	outcomeHeader        = "Outcome"
	repeatHeader         = "Repeat"
	actionsPath          = "/v1/actions/"
	// maxChoices limits the upstreams tried to find one whose agent's clock is known.
	maxChoices = 4
)

// NewActions returns an Actions with defaults for unset optional fields.
func NewActions(cfg ActionsConfig) *Actions {
	if cfg.MaxBodyBytes == 0 {
		cfg.MaxBodyBytes = defaultMaxActionBody
	}
	if cfg.ConnectionContext == nil {
		cfg.ConnectionContext = alwaysConnected
	}
	if cfg.StateNumber == nil {
		cfg.StateNumber = zeroStateNumber
	}
	if cfg.Metrics == nil {
		cfg.Metrics = bwobserve.NewMetrics()
	}
	if cfg.Log == nil {
		cfg.Log = slog.New(slog.DiscardHandler)
	}
	return &Actions{cfg: cfg}
}

// Register adds the action routes to a router.
func (act *Actions) Register(rt *mux.Router) {
	rt.HandleFunc("/v1/services/{service}/actions/{path:.*}", act.ServeAction).Methods(http.MethodPost)
	rt.HandleFunc(actionsPath+"{key:.+}", act.ServeQuery).Methods(http.MethodGet)
}

// ServeAction runs an action and responds with the upstream's complete response or
// with a problem.
func (act *Actions) ServeAction(wr http.ResponseWriter, hrq *http.Request) {
	psd, prb := act.parse(wr, hrq)
	if prb != nil {
		bwhttp.WriteProblem(wr, *prb)
		return
	}
	res, err := act.run(hrq.Context(), psd)
	act.writeResult(wr, psd.req.Service, psd.req.Key, res, err)
}

// run admits and runs an action. A refused request may be a retry of one that has
// run, so the coordinator looks up its key.
func (act *Actions) run(ctx context.Context, psd parsedAction) (bwaction.Result, error) {
	req := psd.req
	job := &actionJob{act: act}
	defer job.releaseChoice()
	co := act.coordinator(job)
	if psd.denied != nil {
		return co.Refuse(ctx, req, psd.denied)
	}
	grant, err := act.cfg.Admit(ctx, bwadmit.Request{
		ID:      req.ID,
		Service: req.Service,
		Team:    req.Key.Team,
		Class:   psd.svc.Class,
		Tokens:  1,
	})
	if err != nil {
		return co.Refuse(ctx, req, notAdmittedError(err))
	}
	defer grant.Finish(1)
	return co.Run(ctx, req)
}

// ServeQuery responds with the current outcome of one of the team's idempotency keys.
func (act *Actions) ServeQuery(wr http.ResponseWriter, hrq *http.Request) {
	team, ok := bwhttp.TeamFromContext(hrq.Context())
	if !ok {
		bwhttp.WriteProblem(wr, *unauthorizedProblem())
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
	res, err := act.coordinator(job).Query(hrq.Context(), key)
	act.writeResult(wr, "", key, res, err)
}

func (act *Actions) coordinator(job *actionJob) *bwaction.Coordinator {
	cfg := act.cfg.Coordinator
	cfg.Choose = job.choose
	cfg.Dispatch = job.dispatch
	cfg.Settle = job.settle
	return bwaction.NewCoordinator(cfg)
}

// actionJob keeps the chosen upstream of one request from its reservation to its dispatch.
type actionJob struct {
	act    *Actions
	choice bwroute.Choice
	chosen bool
}

func (job *actionJob) choose(ctx context.Context, req bwaction.Request, exclude []bwmodel.UpstreamID) (bwaction.Target, error) {
	job.releaseChoice()
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
			job.choice, job.chosen = choice, true
			return bwaction.Target{Upstream: choice.Upstream, Incarnation: inc, Clock: clock}, nil
		}
		choice.Finish(bwroute.Outcome{Refused: true})
		exclude = append(exclude, choice.Upstream.Name)
	}
	return bwaction.Target{}, errNoClock
}

func (job *actionJob) dispatch(ctx context.Context, ups bwmodel.UpstreamID, dis bwaction.Dispatch) (bwaction.SettleResult, error) {
	if !job.chosen || job.choice.Upstream.Name != ups {
		return bwaction.SettleResult{}, &bwaction.RefusedError{Refusal: bwaction.RefusedUnsent, Err: errUpstreamRemoved}
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	// An agent that disappears without closing its connection leaves the call pending.
	// The loss of its status stream ends the call, and the coordinator then polls for
	// the outcome.
	stop := context.AfterFunc(job.act.cfg.ConnectionContext(ups), cancel)
	defer stop()
	start := job.act.cfg.Coordinator.Now()
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
	elapsed := job.act.cfg.Coordinator.Now().Sub(start)
	job.act.cfg.Metrics.ActionDuration.With("Dispatch").Update(elapsed.Seconds())
	if err != nil {
		err = agentError(err)
		ref := new(bwaction.RefusedError)
		job.finishChoice(bwroute.Outcome{Elapsed: elapsed, Refused: errors.As(err, &ref), Failed: !errors.As(err, &ref)})
		return bwaction.SettleResult{}, err
	}
	job.finishChoice(bwroute.Outcome{
		FirstToken: elapsed,
		Elapsed:    elapsed,
		Tokens:     1,
		Failed:     rsp.State != bwmodel.SettleDone,
	})
	return bwaction.SettleResult{State: rsp.State, Response: rsp.HTTP}, nil
}

func (job *actionJob) settle(ctx context.Context, id bwmodel.UpstreamID, stl bwaction.SettleRequest) (bwaction.SettleResult, error) {
	ups, ok := job.act.cfg.Upstream(id)
	if !ok {
		return bwaction.SettleResult{}, errUpstreamRemoved
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

// releaseChoice releases a chosen upstream that was not used.
func (job *actionJob) releaseChoice() { job.finishChoice(bwroute.Outcome{Refused: true}) }

func (job *actionJob) finishChoice(out bwroute.Outcome) {
	if job.chosen {
		job.chosen = false
		job.choice.Finish(out)
	}
}

func alwaysConnected(bwmodel.UpstreamID) context.Context { return context.Background() }
