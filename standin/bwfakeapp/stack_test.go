package bwfakeapp_test

import (
	"context"
	"crypto/rand"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/gorilla/mux"

	"bilberrywick/core/bwaction"
	"bilberrywick/core/bwadmit"
	"bilberrywick/core/bwmodel"
	"bilberrywick/core/bwretry"
	"bilberrywick/core/bwroute"
	"bilberrywick/io/bwagent"
	"bilberrywick/io/bwengine"
	"bilberrywick/io/bwhttp"
	"bilberrywick/io/bwrouter"
	"bilberrywick/io/bwrpc"
	"bilberrywick/io/bwwire"
	"bilberrywick/standin/bwfakeapp"
)

// fakeTable is an in-memory table of actions that can be unavailable.
type fakeTable struct {
	mu          sync.Mutex
	rows        map[bwaction.Key]bwaction.Row
	unavailable bool
}

func (tbl *fakeTable) read(_ context.Context, key bwaction.Key) (bwaction.Row, bool, error) {
	tbl.mu.Lock()
	defer tbl.mu.Unlock()
	if tbl.unavailable {
		return bwaction.Row{}, false, bwaction.ErrUnavailable
	}
	row, ok := tbl.rows[key]
	return row, ok, nil
}

func (tbl *fakeTable) commit(_ context.Context, writes []bwaction.Write) ([]bool, error) {
	tbl.mu.Lock()
	defer tbl.mu.Unlock()
	if tbl.unavailable {
		return nil, bwaction.ErrUnavailable
	}
	conflicts := make([]bool, len(writes))
	failed := false
	for ix, wrt := range writes {
		row, ok := tbl.rows[wrt.Row.Key]
		conflicts[ix] = ok != (wrt.Expected != nil) || ok && row.Version() != *wrt.Expected
		failed = failed || conflicts[ix]
	}
	if failed {
		return conflicts, bwaction.ErrConflict
	}
	for _, wrt := range writes {
		tbl.rows[wrt.Row.Key] = wrt.Row
	}
	return nil, nil
}

func (tbl *fakeTable) setUnavailable(unavailable bool) {
	tbl.mu.Lock()
	defer tbl.mu.Unlock()
	tbl.unavailable = unavailable
}

// stack runs a router, an agent and an app on loopback.
type stack struct {
	app    *bwfakeapp.App
	table  *fakeTable
	url    string
	budget *bwretry.Budget
}

const incarnation bwmodel.Incarnation = 7

func startStack(t *testing.T, cfg bwfakeapp.Config) *stack {
	t.Helper()
	app := bwfakeapp.New(cfg)
	app.Start(t.Context())
	web := httptest.NewServer(app.Handler())
	t.Cleanup(web.Close)
	stk := startStackAt(t, netip.MustParseAddrPort(web.Listener.Addr().String()))
	stk.app = app
	return stk
}

// startStackAt runs a router and an agent in front of the service at an address.
func startStackAt(t *testing.T, addr netip.AddrPort) *stack {
	t.Helper()
	svc := bwengine.NewServiceClient(bwengine.ServiceClientConfig{Address: addr})
	t.Cleanup(svc.Close)
	acts := bwagent.NewActions(bwagent.ActionsConfig{
		Ledger:    bwaction.LedgerConfig{Incarnation: incarnation, Now: time.Now},
		RunAction: svc.RunAction,
		NotSent:   isNotSent,
		Timeout:   2 * time.Second,
	})
	acts.Start(t.Context())
	ups := bwmodel.Upstream{Name: "u1", Service: "desk", Agent: serveAgent(t, acts, bwagent.NewCalls(bwagent.CallsConfig{Call: svc.Call}))}
	stk := &stack{table: &fakeTable{rows: make(map[bwaction.Key]bwaction.Row)}, budget: bwretry.NewBudget(bwretry.BudgetConfig{})}
	stk.url = serveRouter(t, stk, ups, time.Now())
	return stk
}

func isNotSent(err error) bool { return errors.Is(err, bwengine.ErrNotSent) }

type agentServer struct {
	srv *bwrpc.Server
	lis net.Listener
}

func (srv *agentServer) run(ctx context.Context) { _ = srv.srv.Serve(ctx, srv.lis) }

func serveAgent(t *testing.T, acts *bwagent.Actions, cls *bwagent.Calls) netip.AddrPort {
	t.Helper()
	srv, err := bwrpc.NewServer(bwrpc.ServerConfig{})
	if err != nil {
		t.Fatal(err)
	}
	acts.Register(srv)
	cls.Register(srv)
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go (&agentServer{srv: srv, lis: lis}).run(t.Context())
	return lis.Addr().(*net.TCPAddr).AddrPort()
}

func serveRouter(t *testing.T, stk *stack, ups bwmodel.Upstream, start time.Time) string {
	t.Helper()
	cl, err := bwrpc.NewClient(bwrpc.ClientConfig{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = cl.Close() })
	bat := bwaction.NewBatcher(bwaction.BatcherConfig{Commit: stk.table.commit})
	bat.Start(t.Context())
	svc := bwmodel.Service{Name: "desk", Kind: bwmodel.PlainService, Class: bwmodel.PromptClass, Actions: []string{"/pay"}}
	find := func(id bwmodel.ServiceID) (bwmodel.Service, bool) { return svc, id == svc.Name }
	choose := func(_ context.Context, req bwroute.Request) (bwroute.Choice, error) {
		if len(req.Exclude) > 0 {
			return bwroute.Choice{}, errors.New("no other upstream")
		}
		return bwroute.Choice{Upstream: ups, Finish: func(bwroute.Outcome) {}}, nil
	}
	admit := func(context.Context, bwadmit.Request) (bwadmit.Grant, error) {
		return bwadmit.Grant{Finish: func(int) {}}, nil
	}
	acts := bwrouter.NewActions(bwrouter.ActionsConfig{
		Choose:   choose,
		Admit:    admit,
		Service:  find,
		Upstream: func(bwmodel.UpstreamID) (bwmodel.Upstream, bool) { return ups, true },
		AgentClock: func(bwmodel.UpstreamID) (bwmodel.Incarnation, time.Duration, bool) {
			return incarnation, time.Since(start) - time.Second, true
		},
		Dispatch: func(ctx context.Context, addr netip.AddrPort, req *bwwire.DispatchRequest) (*bwwire.DispatchResponse, error) {
			return bwrpc.Call[bwwire.DispatchRequest, bwwire.DispatchResponse](ctx, cl, addr, bwwire.AgentDispatch, req)
		},
		Settle: func(ctx context.Context, addr netip.AddrPort, req *bwwire.SettleRequest) (*bwwire.SettleResponse, error) {
			return bwrpc.Call[bwwire.SettleRequest, bwwire.SettleResponse](ctx, cl, addr, bwwire.AgentSettle, req)
		},
		Coordinator: bwaction.CoordinatorConfig{
			Read: stk.table.read, Insert: bat.Insert, Swap: bat.Swap, Now: time.Now, NewAttempt: newID,
		},
		// This is about what a message of bwrpc may hold.
		MaxBodyBytes: 15 << 20,
	})
	hedge := bwretry.NewHedge(bwretry.HedgeConfig{Now: time.Now})
	cls := bwrouter.NewCalls(bwrouter.CallsConfig{
		Choose:  choose,
		Admit:   admit,
		Service: find,
		Call: func(ctx context.Context, addr netip.AddrPort, req *bwwire.CallRequest) (*bwwire.CallResponse, error) {
			return bwrpc.Call[bwwire.CallRequest, bwwire.CallResponse](ctx, cl, addr, bwwire.AgentCall, req)
		},
		Hedge:        func(bwmodel.ServiceID) *bwretry.Hedge { return hedge },
		Budget:       stk.budget,
		Now:          time.Now,
		NewRequestID: newID,
	})
	rt := mux.NewRouter().UseEncodedPath()
	acts.Register(rt)
	cls.Register(rt)
	team := bwmodel.Team{Name: "t1"}
	web := httptest.NewServer(http.HandlerFunc(func(wr http.ResponseWriter, hrq *http.Request) {
		rt.ServeHTTP(wr, hrq.WithContext(bwhttp.WithTeam(hrq.Context(), team)))
	}))
	t.Cleanup(web.Close)
	return web.URL
}

func newID() bwmodel.RequestID {
	var rid bwmodel.RequestID
	_, _ = rand.Read(rid[:])
	return rid
}

type response struct {
	status  int
	outcome string
	body    string
}

func (stk *stack) send(t *testing.T, method, target, key, body string) response {
	t.Helper()
	hrq, err := http.NewRequestWithContext(t.Context(), method, stk.url+target, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	if key != "" {
		hrq.Header.Set("Idempotency-Key", key)
	}
	hrs, err := http.DefaultClient.Do(hrq)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = hrs.Body.Close() }()
	buf, err := io.ReadAll(hrs.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response{status: hrs.StatusCode, outcome: hrs.Header.Get("Outcome"), body: string(buf)}
}

const payPath = "/v1/services/desk/actions/pay/fee?permit=12"

// Guards against a retry that executes the action again or gets another response.
func TestRetryReturnsTheSameResponse(t *testing.T) {
	stk := startStack(t, bwfakeapp.Config{Name: "a1"})
	first := stk.send(t, http.MethodPost, payPath, "k1", "ሰላም 40 birr")
	if first.status != http.StatusOK || first.outcome != "Done" || !strings.Contains(first.body, "ሰላም") {
		t.Fatalf("got %+v", first)
	}
	for _, again := range []response{
		stk.send(t, http.MethodPost, payPath, "k1", "ሰላም 40 birr"),
		stk.send(t, http.MethodGet, "/v1/actions/k1", "", ""),
	} {
		if again != first {
			t.Errorf("got %+v, want %+v", again, first)
		}
	}
	other := stk.send(t, http.MethodPost, payPath, "k1", "ሰላም 41 birr")
	if other.status != http.StatusUnprocessableEntity {
		t.Errorf("same key with another body: status %d, want 422", other.status)
	}
	if got := len(stk.app.Snapshot().Executions); got != 1 {
		t.Errorf("executed %d times, want 1", got)
	}
}

// Guards against a wrong outcome after a fault of the upstream or the table.
func TestOutcomeAfterFault(t *testing.T) {
	tests := []struct {
		name        string
		faults      bwfakeapp.Faults
		unavailable bool
		outcome     string
		executed    int
	}{
		{"upstream dies before", bwfakeapp.Faults{DieBefore: 1}, false, `"Outcome":"Unknown"`, 0},
		{"upstream dies after", bwfakeapp.Faults{DieAfter: 1}, false, `"Outcome":"Unknown"`, 1},
		{"response is truncated", bwfakeapp.Faults{CutAnswer: 1}, false, `"Outcome":"Unknown"`, 1},
		{"response is invalid", bwfakeapp.Faults{BreakAnswer: 1}, false, `"Outcome":"Unknown"`, 1},
		{"table is unavailable", bwfakeapp.Faults{}, true, `"RequestOutcome":"NotRun"`, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			stk := startStack(t, bwfakeapp.Config{Faults: tt.faults})
			stk.table.setUnavailable(tt.unavailable)
			got := stk.send(t, http.MethodPost, payPath, "k1", "40")
			if !strings.Contains(got.body, tt.outcome) {
				t.Errorf("got %+v, want %s", got, tt.outcome)
			}
			if got := stk.app.Snapshot().ExecutionCount("t1/k1"); got != tt.executed {
				t.Errorf("executed %d times, want %d", got, tt.executed)
			}
		})
	}
}

// Guards against lookups that fail while the table is unavailable, and against a
// call that executes an action.
func TestLookupsWithoutTable(t *testing.T) {
	stk := startStack(t, bwfakeapp.Config{Name: "a1"})
	stk.table.setUnavailable(true)
	got := stk.send(t, http.MethodGet, "/v1/services/desk/calls/permits/12", "", "")
	if got.status != http.StatusOK || !strings.Contains(got.body, `"Path":"/permits/12"`) {
		t.Errorf("got %+v", got)
	}
	if got := stk.send(t, http.MethodGet, "/v1/services/desk/calls/pay/12", "", ""); got.status != http.StatusBadRequest {
		t.Errorf("action as a call: got %+v", got)
	}
}
