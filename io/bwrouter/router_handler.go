package bwrouter

import (
	"context"
	"crypto/sha256"
	"errors"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"

	"bilberrywick/core/bwaction"
	"bilberrywick/core/bwmodel"
	"bilberrywick/core/bwretry"
	"bilberrywick/io/bwhttp"
	"bilberrywick/io/bwprocess"
	"bilberrywick/io/bwrpc"
	"bilberrywick/io/bwwire"
)

// buildTraffic creates the components that serve callers.
func (rtr *Router) buildTraffic() error {
	codec, err := bwrpc.NewCodec()
	if err != nil {
		return err
	}
	table := &actionTable{metrics: rtr.proc.Metrics, table: rtr.proc.Store.Table, objects: rtr.proc.Store.Objects, codec: codec}
	rtr.actionRows = table
	rtr.batcher = bwaction.NewBatcher(bwaction.BatcherConfig{Commit: table.commit})
	table.batcher = rtr.batcher
	rtr.recorder = bwaction.NewRecorder(bwaction.RecorderConfig{Swap: table.swap, Now: rtr.cfg.Now})
	rtr.generations, err = NewGenerations(GenerationsConfig{
		Metrics:        rtr.proc.Metrics,
		Choose:         rtr.services.Choose,
		Admit:          rtr.services.Admit,
		CountRequest:   rtr.services.CountRequest,
		CountOutput:    rtr.services.CountOutput,
		Service:        rtr.serviceByModel,
		ChooseHolder:   rtr.chooseHolder,
		IsKnownAddress: rtr.isKnownAddress,
		StateNumber:    rtr.proc.StateNumber,
		OnResume:       rtr.countResume,
		ShouldResume:   func(string) bool { return !rtr.cfg.NoResume },
		Address:        rtr.proc.Self.Address,
		Records:        rtr.records,
		Client:         rtr.proc.Client,
		NewRequestID:   newRequestID,
		Now:            rtr.cfg.Now,
		Log:            rtr.proc.Log,
	})
	if err != nil {
		return err
	}
	rtr.actions = NewActions(ActionsConfig{
		Metrics:           rtr.proc.Metrics,
		Log:               rtr.proc.Log,
		Choose:            rtr.services.Choose,
		Admit:             rtr.services.Admit,
		Service:           rtr.services.Service,
		Upstream:          rtr.findUpstream,
		AgentClock:        rtr.services.AgentClock,
		ConnectionContext: rtr.services.ConnectionContext,
		Dispatch:          newRPCCall[bwwire.DispatchRequest, bwwire.DispatchResponse](rtr.proc.Client, bwwire.AgentDispatch),
		Settle:            newRPCCall[bwwire.SettleRequest, bwwire.SettleResponse](rtr.proc.Client, bwwire.AgentSettle),
		Coordinator: bwaction.CoordinatorConfig{
			Read:       table.read,
			Insert:     rtr.batcher.Insert,
			Swap:       table.swap,
			RetryLater: rtr.recorder.Add,
			Now:        rtr.cfg.Now,
			NewAttempt: newRequestID,
		},
		StateNumber: rtr.proc.StateNumber,
	})
	rtr.calls = NewCalls(CallsConfig{
		Choose:       rtr.services.Choose,
		Admit:        rtr.services.Admit,
		Service:      rtr.services.Service,
		Call:         newRPCCall[bwwire.CallRequest, bwwire.CallResponse](rtr.proc.Client, bwwire.AgentCall),
		Hedge:        rtr.services.Hedge,
		Budget:       bwretry.NewBudget(bwretry.BudgetConfig{}),
		Metrics:      rtr.proc.Metrics,
		Now:          rtr.cfg.Now,
		NewRequestID: newRequestID,
		StateNumber:  rtr.proc.StateNumber,
	})
	return nil
}

// callerHandler returns the handler for callers' requests, which requires a team's key.
func (rtr *Router) callerHandler() http.Handler {
	routes := mux.NewRouter().UseEncodedPath()
	rtr.generations.Register(routes)
	rtr.actions.Register(routes)
	rtr.calls.Register(routes)
	auth := &bwhttp.TeamAuthenticator{
		Lookup:       rtr.keys.lookup,
		Now:          rtr.cfg.Now,
		WithTeam:     bwhttp.WithTeam,
		ErrorHandler: failRequest,
	}
	return rtr.refuseWhenUnavailable(auth.Wrap(routes))
}

// newRPCCall returns a function that calls an RPC method of another process.
func newRPCCall[Req, Rsp any](cl *bwrpc.Client, method string) func(context.Context, netip.AddrPort, *Req) (*Rsp, error) {
	return func(ctx context.Context, addr netip.AddrPort, req *Req) (*Rsp, error) {
		return bwrpc.Call[Req, Rsp](ctx, cl, addr, method, req)
	}
}

// serviceByModel returns the service that serves a model or adapter.
func (rtr *Router) serviceByModel(model string) (bwmodel.Service, bool) {
	return rtr.proc.Fleet.Snapshot().State.ServiceByModel(model)
}

// findUpstream returns an upstream in effect even if this router does not follow it,
// since another router may have dispatched the action.
func (rtr *Router) findUpstream(name bwmodel.UpstreamID) (bwmodel.Upstream, bool) {
	return rtr.proc.Fleet.Snapshot().State.Upstream(name)
}

func (rtr *Router) countResume(cause string, latency time.Duration, recomputed int) {
	rtr.proc.Metrics.Resumes.With(cause, "Resumed").Inc()
	rtr.proc.Metrics.ResumeLatency.With(cause).Update(latency.Seconds())
	rtr.proc.Metrics.TokensRecomputed.With(cause).Add(recomputed)
	if rtr.cfg.OnResume != nil {
		rtr.cfg.OnResume(cause, latency, recomputed)
	}
}

// refuseWhenUnavailable refuses new requests while the router is stopping, so that
// callers on open connections use another router. It also refuses them until the
// router has read the teams, since every key would be unknown.
func (rtr *Router) refuseWhenUnavailable(next http.Handler) http.Handler {
	return http.HandlerFunc(func(wr http.ResponseWriter, req *http.Request) {
		var cause error
		switch {
		case rtr.proc.Stopping():
			cause = bwprocess.ErrStopping
		case rtr.keys.current.Load() == nil:
			cause = errNoState
		default:
			next.ServeHTTP(wr, req)
			return
		}
		wr.Header().Set("Connection", "close")
		prb := refusalProblem(req, http.StatusServiceUnavailable, cause)
		prb.RetryAfter = time.Second
		bwhttp.WriteProblem(wr, prb)
	})
}

var errNoState = errors.New("the router has not read the services and teams yet")

// refusalProblem returns the problem for a request that was not run. For an action
// the outcome of the key is unknown: an earlier request with the key may have
// run, and a router that has not read the teams can't look up the key's row.
func refusalProblem(req *http.Request, status int, cause error) bwhttp.Problem {
	prb := bwhttp.Problem{Status: status, Detail: cause.Error(), Outcome: bwhttp.OutcomeNotRun}
	if isActionPath(req.URL.Path) {
		prb.Outcome, prb.RequestOutcome = bwhttp.OutcomeUnknown, bwhttp.OutcomeNotRun
	}
	return prb
}

// isActionPath reports whether a path is for running an action or querying its outcome.
func isActionPath(target string) bool {
	return strings.HasPrefix(target, actionsPath) || strings.HasPrefix(target, "/v1/services/") && strings.Contains(target, "/actions/")
}

// failRequest sends the response to a request that was refused before any handler ran.
func failRequest(wr http.ResponseWriter, req *http.Request, err error) {
	prb := refusalProblem(req, http.StatusUnauthorized, err)
	var bad *bwhttp.RequestError
	if errors.As(err, &bad) {
		prb.Status = bad.Status
	}
	if errors.Is(err, bwhttp.ErrTooManyStreams) || errors.Is(err, bwhttp.ErrBodyMemory) {
		prb.RetryAfter = time.Second
	}
	bwhttp.WriteProblem(wr, prb)
}

// keyIndex holds the current index of the teams' keys; nil until the teams are read.
type keyIndex struct {
	current atomic.Pointer[bwhttp.KeyIndex]
}

func (kix *keyIndex) set(next *bwhttp.KeyIndex) { kix.current.Store(next) }

func (kix *keyIndex) lookup(hash [sha256.Size]byte) (bwmodel.Team, bool) {
	cur := kix.current.Load()
	if cur == nil {
		return bwmodel.Team{}, false
	}
	return cur.Lookup(hash)
}
