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

// table is a map-backed table of actions that can be away.
type table struct {
	mu   sync.Mutex
	rows map[bwaction.Key]bwaction.Row
	away bool
}

func (tbl *table) read(_ context.Context, key bwaction.Key) (bwaction.Row, bool, error) {
	tbl.mu.Lock()
	defer tbl.mu.Unlock()
	if tbl.away {
		return bwaction.Row{}, false, bwaction.ErrUnavailable
	}
	row, ok := tbl.rows[key]
	return row, ok, nil
}

func (tbl *table) commit(_ context.Context, writes []bwaction.Write) ([]bool, error) {
	tbl.mu.Lock()
	defer tbl.mu.Unlock()
	if tbl.away {
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

func (tbl *table) setAway(away bool) {
	tbl.mu.Lock()
	defer tbl.mu.Unlock()
	tbl.away = away
}

// path is the way from a caller to an app and all its parts, on loopback.
type path struct {
	app    *bwfakeapp.App
	table  *table
	url    string
	budget *bwretry.Budget
}

const incarnation bwmodel.Incarnation = 7

func startPath(t *testing.T, cfg bwfakeapp.Config) *path {
	t.Helper()
	app := bwfakeapp.New(cfg)
	app.Start(t.Context())
	web := httptest.NewServer(app.Handler())
	t.Cleanup(web.Close)
	svc := bwengine.NewServiceClient(bwengine.ServiceClientConfig{Address: netip.MustParseAddrPort(web.Listener.Addr().String())})
	t.Cleanup(svc.Close)
	acts := bwagent.NewActions(bwagent.ActionsConfig{
		Ledger:    bwaction.LedgerConfig{Incarnation: incarnation, Now: time.Now},
		RunAction: svc.RunAction,
		NotSent:   isNotSent,
		Timeout:   2 * time.Second,
	})
	acts.Start(t.Context())
	ups := bwmodel.Upstream{Name: "u1", Service: "desk", Agent: serveAgent(t, acts, bwagent.NewCalls(bwagent.CallsConfig{Call: svc.Call}))}
	pth := &path{app: app, table: &table{rows: make(map[bwaction.Key]bwaction.Row)}, budget: bwretry.NewBudget(bwretry.BudgetConfig{})}
	pth.url = serveRouter(t, pth, ups, time.Now())
	return pth
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

func serveRouter(t *testing.T, pth *path, ups bwmodel.Upstream, start time.Time) string {
	t.Helper()
	cl, err := bwrpc.NewClient(bwrpc.ClientConfig{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = cl.Close() })
	bat := bwaction.NewBatcher(bwaction.BatcherConfig{Commit: pth.table.commit})
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
			Read: pth.table.read, Insert: bat.Insert, Swap: bat.Swap, Now: time.Now, NewAttempt: newID,
		},
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
		Budget:       pth.budget,
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

type answer struct {
	status  int
	outcome string
	body    string
}

func (pth *path) do(t *testing.T, method, target, key, body string) answer {
	t.Helper()
	hrq, err := http.NewRequestWithContext(t.Context(), method, pth.url+target, strings.NewReader(body))
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
	return answer{status: hrs.StatusCode, outcome: hrs.Header.Get("Outcome"), body: string(buf)}
}

const payPath = "/v1/services/desk/actions/pay/fee?permit=12"

// Guards against a path on which a repeat runs the action again or gets another answer.
func TestRepeatGetsTheSameAnswer(t *testing.T) {
	pth := startPath(t, bwfakeapp.Config{Name: "a1"})
	first := pth.do(t, http.MethodPost, payPath, "k1", "ሰላም 40 birr")
	if first.status != http.StatusOK || first.outcome != "Done" || !strings.Contains(first.body, "ሰላም") {
		t.Fatalf("got %+v", first)
	}
	for _, again := range []answer{
		pth.do(t, http.MethodPost, payPath, "k1", "ሰላም 40 birr"),
		pth.do(t, http.MethodGet, "/v1/actions/k1", "", ""),
	} {
		if again != first {
			t.Errorf("got %+v, want %+v", again, first)
		}
	}
	other := pth.do(t, http.MethodPost, payPath, "k1", "ሰላም 41 birr")
	if other.status != http.StatusUnprocessableEntity {
		t.Errorf("same key with another body: status %d, want 422", other.status)
	}
	if got := len(pth.app.Snapshot().Executions); got != 1 {
		t.Errorf("executed %d times, want 1", got)
	}
}

// Guards against an outcome that is not true after a fault at the upstream or the table.
func TestOutcomeAfterFault(t *testing.T) {
	tests := []struct {
		name     string
		faults   bwfakeapp.Faults
		away     bool
		outcome  string
		executed int
	}{
		{"upstream dies before", bwfakeapp.Faults{DieBefore: 1}, false, `"Outcome":"Unknown"`, 0},
		{"upstream dies after", bwfakeapp.Faults{DieAfter: 1}, false, `"Outcome":"Unknown"`, 1},
		{"answer is cut", bwfakeapp.Faults{CutAnswer: 1}, false, `"Outcome":"Unknown"`, 1},
		{"table away", bwfakeapp.Faults{}, true, `"RequestOutcome":"NotRun"`, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			pth := startPath(t, bwfakeapp.Config{Faults: tt.faults})
			pth.table.setAway(tt.away)
			got := pth.do(t, http.MethodPost, payPath, "k1", "40")
			if !strings.Contains(got.body, tt.outcome) {
				t.Errorf("got %+v, want %s", got, tt.outcome)
			}
			if got := pth.app.Snapshot().ExecutionCount("t1/k1"); got != tt.executed {
				t.Errorf("executed %d times, want %d", got, tt.executed)
			}
		})
	}
}

// Guards against lookups that stop with the table, and against a call that runs an action.
func TestLookups(t *testing.T) {
	pth := startPath(t, bwfakeapp.Config{Name: "a1"})
	pth.table.setAway(true)
	got := pth.do(t, http.MethodGet, "/v1/services/desk/calls/permits/12", "", "")
	if got.status != http.StatusOK || !strings.Contains(got.body, `"Path":"/permits/12"`) {
		t.Errorf("got %+v", got)
	}
	if got := pth.do(t, http.MethodGet, "/v1/services/desk/calls/pay/12", "", ""); got.status != http.StatusBadRequest {
		t.Errorf("action as a call: got %+v", got)
	}
}
