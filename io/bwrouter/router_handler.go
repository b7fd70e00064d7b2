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

// buildTraffic creates the parts that serve callers.
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
		Service:        rtr.modelService,
		ChooseHolder:   rtr.holder,
		IsKnownAddress: rtr.known,
		StateNumber:    rtr.proc.StateNumber,
		OnResume:       rtr.resumed,
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
		Upstream:          rtr.upstream,
		AgentClock:        rtr.services.AgentClock,
		ConnectionContext: rtr.services.ConnectionContext,
		Dispatch:          caller[bwwire.DispatchRequest, bwwire.DispatchResponse](rtr.proc.Client, bwwire.AgentDispatch),
		Settle:            caller[bwwire.SettleRequest, bwwire.SettleResponse](rtr.proc.Client, bwwire.AgentSettle),
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
		Call:         caller[bwwire.CallRequest, bwwire.CallResponse](rtr.proc.Client, bwwire.AgentCall),
		Hedge:        rtr.services.Hedge,
		Budget:       bwretry.NewBudget(bwretry.BudgetConfig{}),
		Metrics:      rtr.proc.Metrics,
		Now:          rtr.cfg.Now,
		NewRequestID: newRequestID,
		StateNumber:  rtr.proc.StateNumber,
	})
	return nil
}

// callerHandler serves callers' requests; each needs a team's key.
func (rtr *Router) callerHandler() http.Handler {
	routes := mux.NewRouter().UseEncodedPath()
	rtr.generations.Register(routes)
	rtr.actions.Register(routes)
	rtr.calls.Register(routes)
	gate := &bwhttp.TeamAuthenticator{
		Lookup:       rtr.keys.lookup,
		Now:          rtr.cfg.Now,
		WithTeam:     bwhttp.WithTeam,
		ErrorHandler: failRequest,
	}
	return rtr.refuseWhenAway(gate.Wrap(routes))
}

// caller returns a function that calls one method of other processes.
func caller[Req, Rsp any](cl *bwrpc.Client, method string) func(context.Context, netip.AddrPort, *Req) (*Rsp, error) {
	return func(ctx context.Context, addr netip.AddrPort, req *Req) (*Rsp, error) {
		return bwrpc.Call[Req, Rsp](ctx, cl, addr, method, req)
	}
}

// modelService returns the service that serves a model or adapter.
func (rtr *Router) modelService(model string) (bwmodel.Service, bool) {
	return rtr.proc.Fleet.Snapshot().State.ServiceByModel(model)
}

// upstream finds an upstream in force, whether this router follows it or not,
// since an action may have been dispatched by another router.
func (rtr *Router) upstream(name bwmodel.UpstreamID) (bwmodel.Upstream, bool) {
	return rtr.proc.Fleet.Snapshot().State.Upstream(name)
}

func (rtr *Router) resumed(cause string, took time.Duration, recomputed int) {
	rtr.proc.Metrics.Resumes.With(cause, "Resumed").Inc()
	rtr.proc.Metrics.ResumeLatency.With(cause).Update(took.Seconds())
	rtr.proc.Metrics.TokensRecomputed.With(cause).Add(recomputed)
	if rtr.cfg.OnResume != nil {
		rtr.cfg.OnResume(cause, took, recomputed)
	}
}

// refuseWhenAway refuses new requests once the router is stopping, so that
// callers on connections that are still open go to another router, and before it
// has read the teams, when it would find every key unknown.
func (rtr *Router) refuseWhenAway(next http.Handler) http.Handler {
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
		prb := turnedAway(req, http.StatusServiceUnavailable, cause)
		prb.RetryAfter = time.Second
		bwhttp.WriteProblem(wr, prb)
	})
}

var errNoState = errors.New("the router has not read the services and teams yet")

// turnedAway says that a request has run nothing. Of an action only this request
// is known not to have run: an earlier one with its key may have, and a router
// that has not read the teams yet can't look up the key's row.
func turnedAway(req *http.Request, status int, cause error) bwhttp.Problem {
	prb := bwhttp.Problem{Status: status, Detail: cause.Error(), Outcome: bwhttp.OutcomeNotRun}
	if isActionPath(req.URL.Path) {
		prb.Outcome, prb.RequestOutcome = bwhttp.OutcomeUnknown, bwhttp.OutcomeNotRun
	}
	return prb
}

// isActionPath reports whether a path runs an action or asks for its outcome.
func isActionPath(target string) bool {
	return strings.HasPrefix(target, actionsPath) || strings.HasPrefix(target, "/v1/services/") && strings.Contains(target, "/actions/")
}

// failRequest answers a request that was refused before any handler ran.
func failRequest(wr http.ResponseWriter, req *http.Request, err error) {
	prb := turnedAway(req, http.StatusUnauthorized, err)
	var bad *bwhttp.RequestError
	if errors.As(err, &bad) {
		prb.Status = bad.Status
	}
	if errors.Is(err, bwhttp.ErrTooManyStreams) || errors.Is(err, bwhttp.ErrBodyMemory) {
		prb.RetryAfter = time.Second
	}
	bwhttp.WriteProblem(wr, prb)
}

// keyIndex is the current index of teams' keys.
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
