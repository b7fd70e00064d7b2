package bwrouter_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/gorilla/mux"

	"bilberrywick/core/bwadmit"
	"bilberrywick/core/bwmodel"
	"bilberrywick/core/bwretry"
	"bilberrywick/core/bwroute"
	"bilberrywick/io/bwhttp"
	"bilberrywick/io/bwrouter"
	"bilberrywick/io/bwrpc"
	"bilberrywick/io/bwwire"
)

// scriptedService is a plain service with three upstreams whose responses are scripted.
type scriptedService struct {
	mu sync.Mutex
	// sent lists the upstreams in the order of the attempts.
	sent     []bwmodel.UpstreamID
	outcomes map[bwmodel.UpstreamID]bwroute.Outcome
	// finished receives the upstream of each attempt that has ended.
	finished chan bwmodel.UpstreamID
	budget   *bwretry.Budget
	hedge    *bwretry.Hedge
	// respond returns the error of a call to an upstream; it may wait for the context.
	respond func(context.Context, bwmodel.UpstreamID) error
	after   chan time.Time
}

func newScriptedService(respond func(context.Context, bwmodel.UpstreamID) error) *scriptedService {
	policy := func(bwretry.Latencies) (time.Duration, bool) { return time.Millisecond, true }
	ssv := &scriptedService{
		outcomes: make(map[bwmodel.UpstreamID]bwroute.Outcome),
		finished: make(chan bwmodel.UpstreamID, 16),
		budget:   bwretry.NewBudget(bwretry.BudgetConfig{}),
		hedge:    bwretry.NewHedge(bwretry.HedgeConfig{Now: time.Now, Policy: policy}),
		respond:  respond,
		after:    make(chan time.Time, 1),
	}
	// Enough requests for the budget to allow one extra attempt.
	for range 100 {
		ssv.budget.CountRequest()
	}
	return ssv
}

func (ssv *scriptedService) choose(_ context.Context, req bwroute.Request) (bwroute.Choice, error) {
	for ix := range 3 {
		name := bwmodel.UpstreamID(fmt.Sprintf("u%d", ix))
		if slices.Contains(req.Exclude, name) {
			continue
		}
		ssv.mu.Lock()
		defer ssv.mu.Unlock()
		ssv.sent = append(ssv.sent, name)
		addr := netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(ix))
		return bwroute.Choice{Upstream: bwmodel.Upstream{Name: name, Agent: addr}, Finish: ssv.finish(name)}, nil
	}
	return bwroute.Choice{}, errors.New("no upstream is left")
}

func (ssv *scriptedService) finish(name bwmodel.UpstreamID) func(bwroute.Outcome) {
	return func(out bwroute.Outcome) {
		ssv.mu.Lock()
		ssv.outcomes[name] = out
		ssv.mu.Unlock()
		ssv.finished <- name
	}
}

func (ssv *scriptedService) call(ctx context.Context, addr netip.AddrPort, _ *bwwire.CallRequest) (*bwwire.CallResponse, error) {
	name := bwmodel.UpstreamID(fmt.Sprintf("u%d", addr.Port()))
	if err := ssv.respond(ctx, name); err != nil {
		return nil, err
	}
	return &bwwire.CallResponse{HTTP: bwmodel.HTTPResponse{Status: http.StatusOK, Body: []byte(name)}}, nil
}

// lookup sends one lookup and returns the status and the body.
func (ssv *scriptedService) lookup(t *testing.T) (int, string) {
	t.Helper()
	svc := bwmodel.Service{Name: "desk", Kind: bwmodel.PlainService, Class: bwmodel.PromptClass}
	cls := bwrouter.NewCalls(bwrouter.CallsConfig{
		Choose: ssv.choose,
		Admit: func(context.Context, bwadmit.Request) (bwadmit.Grant, error) {
			return bwadmit.Grant{Finish: func(int) {}}, nil
		},
		Service:      func(bwmodel.ServiceID) (bwmodel.Service, bool) { return svc, true },
		Call:         ssv.call,
		Hedge:        func(bwmodel.ServiceID) *bwretry.Hedge { return ssv.hedge },
		Budget:       ssv.budget,
		Now:          time.Now,
		After:        func(time.Duration) <-chan time.Time { return ssv.after },
		NewRequestID: func() bwmodel.RequestID { return bwmodel.RequestID{1} },
	})
	rt := mux.NewRouter().UseEncodedPath()
	cls.Register(rt)
	hrq := httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/v1/services/desk/calls/status/1", nil)
	rec := httptest.NewRecorder()
	rt.ServeHTTP(rec, hrq.WithContext(bwhttp.WithTeam(hrq.Context(), bwmodel.Team{Name: "t1"})))
	return rec.Code, rec.Body.String()
}

// exhaustBudget uses up the budget.
func (ssv *scriptedService) exhaustBudget() {
	for ssv.budget.Allow() {
		continue
	}
}

// Guards against a hedge that is not sent, and against a losing attempt that
// continues at its upstream or counts as that upstream's failure.
func TestHedgeCancelsLosingAttempt(t *testing.T) {
	ssv := newScriptedService(func(ctx context.Context, name bwmodel.UpstreamID) error {
		if name == "u0" {
			<-ctx.Done()
			return ctx.Err()
		}
		return nil
	})
	ssv.after <- time.Time{}
	if status, body := ssv.lookup(t); status != http.StatusOK || body != "u1" {
		t.Fatalf("got %d %q, want the hedge's response", status, body)
	}
	for range 2 {
		<-ssv.finished
	}
	losing := ssv.outcomes["u0"]
	if !losing.Canceled || losing.Failed || losing.Refused {
		t.Errorf("outcome of the losing attempt %+v, want only Canceled", losing)
	}
}

// Guards against retries beyond the budget, and against a budget that prevents the
// retry of a request that no upstream has run.
func TestCallBudget(t *testing.T) {
	failed := bwrpc.Errorf(bwwire.UpstreamFailed, "broken")
	tests := []struct {
		name     string
		err      error
		empty    bool
		attempts int
		status   int
	}{
		{"failed, budget left", failed, false, 2, http.StatusOK},
		{"failed, no budget", failed, true, 1, http.StatusBadGateway},
		{"nothing sent, no budget", bwrpc.Errorf(bwwire.UpstreamUnreachable, "unsent"), true, 2, http.StatusOK},
		{"leaving, no budget", bwrpc.Errorf(bwwire.Leaving, "leaving"), true, 2, http.StatusOK},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			ssv := newScriptedService(func(_ context.Context, name bwmodel.UpstreamID) error {
				if name == "u0" {
					return tt.err
				}
				return nil
			})
			if tt.empty {
				ssv.exhaustBudget()
			}
			status, body := ssv.lookup(t)
			if status != tt.status || len(ssv.sent) != tt.attempts {
				t.Errorf("got status %d with %d attempts, want %d with %d: %s", status, len(ssv.sent), tt.status, tt.attempts, body)
			}
		})
	}
}

// Guards against a hedge that is sent although the budget is used up.
func TestHedgeNeedsBudget(t *testing.T) {
	release := make(chan struct{})
	ssv := newScriptedService(func(context.Context, bwmodel.UpstreamID) error {
		<-release
		return nil
	})
	ssv.exhaustBudget()
	// An unbuffered channel, so that the router receives the hedge's timer before the
	// first attempt gets its response.
	ssv.after = make(chan time.Time)
	hsg := &hedgeSignal{after: ssv.after, release: release}
	go hsg.run()
	if status, body := ssv.lookup(t); status != http.StatusOK || body != "u0" {
		t.Fatalf("got %d %q, want the first attempt's response", status, body)
	}
	if len(ssv.sent) != 1 {
		t.Errorf("%d attempts were sent without a budget, want 1", len(ssv.sent))
	}
}

// hedgeSignal fires the hedge's timer and then releases the upstreams' responses.
type hedgeSignal struct {
	after   chan time.Time
	release chan struct{}
}

func (hsg *hedgeSignal) run() {
	hsg.after <- time.Time{}
	close(hsg.release)
}
