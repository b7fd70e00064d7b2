package bwrouter

import (
	"context"
	"crypto/sha256"
	"errors"
	"net/http"
	"net/netip"
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
	table := &actionTable{table: rtr.proc.Store.Table, codec: codec}
	rtr.actionRows = table
	rtr.batcher = bwaction.NewBatcher(bwaction.BatcherConfig{Commit: table.commit})
	rtr.generations, err = NewGenerations(GenerationsConfig{
		Choose:       rtr.services.Choose,
		Admit:        rtr.services.Admit,
		Asked:        rtr.services.Asked,
		Produced:     rtr.services.Produced,
		Service:      rtr.modelService,
		Holder:       rtr.holder,
		Known:        rtr.known,
		StateNumber:  rtr.proc.StateNumber,
		Resumed:      rtr.resumed,
		Resume:       func(string) bool { return !rtr.cfg.NoResume },
		Address:      rtr.proc.Self.Address,
		Records:      rtr.records,
		Client:       rtr.proc.Client,
		NewRequestID: newRequestID,
		Now:          rtr.cfg.Now,
		Log:          rtr.proc.Log,
	})
	if err != nil {
		return err
	}
	rtr.actions = NewActions(ActionsConfig{
		Choose:     rtr.services.Choose,
		Admit:      rtr.services.Admit,
		Service:    rtr.services.Service,
		Upstream:   rtr.upstream,
		AgentClock: rtr.services.AgentClock,
		Connected:  rtr.services.Connected,
		Dispatch:   caller[bwwire.DispatchRequest, bwwire.DispatchResponse](rtr.proc.Client, bwwire.AgentDispatch),
		Settle:     caller[bwwire.SettleRequest, bwwire.SettleResponse](rtr.proc.Client, bwwire.AgentSettle),
		Table: bwaction.CoordinatorConfig{
			Read:       table.read,
			Insert:     rtr.batcher.Insert,
			Swap:       rtr.batcher.Swap,
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
	rtr.generations.Routes(routes)
	rtr.actions.Register(routes)
	rtr.calls.Register(routes)
	gate := &bwhttp.TeamGate{
		Lookup: rtr.keys.lookup,
		Now:    rtr.cfg.Now,
		Attach: bwhttp.WithTeam,
		Fail:   failRequest,
	}
	return rtr.refuseWhenStopping(gate.Wrap(routes))
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
	rtr.proc.Metrics.ResumeLatency.With(cause).Update(took.Seconds())
	rtr.proc.Metrics.TokensRecomputed.With(cause).Add(recomputed)
	if rtr.cfg.Resumed != nil {
		rtr.cfg.Resumed(cause, took, recomputed)
	}
}

// refuseWhenStopping refuses new requests once the router is stopping, so that
// callers on connections that are still open go to another router.
func (rtr *Router) refuseWhenStopping(next http.Handler) http.Handler {
	return http.HandlerFunc(func(wr http.ResponseWriter, req *http.Request) {
		if !rtr.proc.Stopping() {
			next.ServeHTTP(wr, req)
			return
		}
		wr.Header().Set("Connection", "close")
		bwhttp.WriteProblem(wr, bwhttp.Problem{
			Status:     http.StatusServiceUnavailable,
			Detail:     bwprocess.ErrStopping.Error(),
			Outcome:    bwhttp.OutcomeNotRun,
			RetryAfter: time.Second,
		})
	})
}

// failRequest answers a request that was refused before any handler ran.
func failRequest(wr http.ResponseWriter, _ *http.Request, err error) {
	prb := bwhttp.Problem{Status: http.StatusUnauthorized, Detail: err.Error(), Outcome: bwhttp.OutcomeNotRun}
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
