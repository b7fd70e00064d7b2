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

// desk is a plain service with three upstreams whose answers are scripted.
type desk struct {
	mu sync.Mutex
	// sent are the upstreams in the order of the copies.
	sent     []bwmodel.UpstreamID
	outcomes map[bwmodel.UpstreamID]bwroute.Outcome
	// finished tells of each copy that has ended.
	finished chan bwmodel.UpstreamID
	budget   *bwretry.Budget
	hedge    *bwretry.Hedge
	// answer returns what an upstream does; it may wait for the context.
	answer func(context.Context, bwmodel.UpstreamID) error
	after  chan time.Time
}

func newDesk(answer func(context.Context, bwmodel.UpstreamID) error) *desk {
	policy := func(bwretry.Latencies) (time.Duration, bool) { return time.Millisecond, true }
	dsk := &desk{
		outcomes: make(map[bwmodel.UpstreamID]bwroute.Outcome),
		finished: make(chan bwmodel.UpstreamID, 16),
		budget:   bwretry.NewBudget(bwretry.BudgetConfig{}),
		hedge:    bwretry.NewHedge(bwretry.HedgeConfig{Now: time.Now, Policy: policy}),
		answer:   answer,
		after:    make(chan time.Time, 1),
	}
	// Enough requests for one extra copy.
	for range 100 {
		dsk.budget.CountRequest()
	}
	return dsk
}

func (dsk *desk) choose(_ context.Context, req bwroute.Request) (bwroute.Choice, error) {
	for ix := range 3 {
		name := bwmodel.UpstreamID(fmt.Sprintf("u%d", ix))
		if slices.Contains(req.Exclude, name) {
			continue
		}
		dsk.mu.Lock()
		defer dsk.mu.Unlock()
		dsk.sent = append(dsk.sent, name)
		addr := netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(ix))
		return bwroute.Choice{Upstream: bwmodel.Upstream{Name: name, Agent: addr}, Finish: dsk.finish(name)}, nil
	}
	return bwroute.Choice{}, errors.New("no upstream is left")
}

func (dsk *desk) finish(name bwmodel.UpstreamID) func(bwroute.Outcome) {
	return func(out bwroute.Outcome) {
		dsk.mu.Lock()
		dsk.outcomes[name] = out
		dsk.mu.Unlock()
		dsk.finished <- name
	}
}

func (dsk *desk) call(ctx context.Context, addr netip.AddrPort, _ *bwwire.CallRequest) (*bwwire.CallResponse, error) {
	name := bwmodel.UpstreamID(fmt.Sprintf("u%d", addr.Port()))
	if err := dsk.answer(ctx, name); err != nil {
		return nil, err
	}
	return &bwwire.CallResponse{HTTP: bwmodel.HTTPResponse{Status: http.StatusOK, Body: []byte(name)}}, nil
}

// look sends one lookup and returns the status and the body.
func (dsk *desk) look(t *testing.T) (int, string) {
	t.Helper()
	svc := bwmodel.Service{Name: "desk", Kind: bwmodel.PlainService, Class: bwmodel.PromptClass}
	cls := bwrouter.NewCalls(bwrouter.CallsConfig{
		Choose: dsk.choose,
		Admit: func(context.Context, bwadmit.Request) (bwadmit.Grant, error) {
			return bwadmit.Grant{Finish: func(int) {}}, nil
		},
		Service:      func(bwmodel.ServiceID) (bwmodel.Service, bool) { return svc, true },
		Call:         dsk.call,
		Hedge:        func(bwmodel.ServiceID) *bwretry.Hedge { return dsk.hedge },
		Budget:       dsk.budget,
		Now:          time.Now,
		After:        func(time.Duration) <-chan time.Time { return dsk.after },
		NewRequestID: func() bwmodel.RequestID { return bwmodel.RequestID{1} },
	})
	rt := mux.NewRouter().UseEncodedPath()
	cls.Register(rt)
	hrq := httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/v1/services/desk/calls/status/1", nil)
	rec := httptest.NewRecorder()
	rt.ServeHTTP(rec, hrq.WithContext(bwhttp.WithTeam(hrq.Context(), bwmodel.Team{Name: "t1"})))
	return rec.Code, rec.Body.String()
}

// exhaust takes the whole budget.
func (dsk *desk) exhaust() {
	for dsk.budget.Allow() {
		continue
	}
}

// Guards against a hedge that is not sent, and against a losing copy that goes on
// at its upstream or counts as that upstream's failure.
func TestHedgeCancelsTheLoser(t *testing.T) {
	dsk := newDesk(func(ctx context.Context, name bwmodel.UpstreamID) error {
		if name == "u0" {
			<-ctx.Done()
			return ctx.Err()
		}
		return nil
	})
	dsk.after <- time.Time{}
	if status, body := dsk.look(t); status != http.StatusOK || body != "u1" {
		t.Fatalf("got %d %q, want the hedge's answer", status, body)
	}
	for range 2 {
		<-dsk.finished
	}
	loser := dsk.outcomes["u0"]
	if !loser.Canceled || loser.Failed || loser.Refused {
		t.Errorf("outcome of the loser %+v, want only Canceled", loser)
	}
}

// Guards against hedges and retries beyond the budget, and against a budget that
// refuses a retry of what was never sent.
func TestCallBudget(t *testing.T) {
	failed := bwrpc.Errorf(bwwire.UpstreamFailed, "broken")
	tests := []struct {
		name   string
		err    error
		empty  bool
		copies int
		status int
	}{
		{"failed, budget left", failed, false, 2, http.StatusOK},
		{"failed, no budget", failed, true, 1, http.StatusBadGateway},
		{"nothing sent, no budget", bwrpc.Errorf(bwwire.UpstreamUnreachable, "unsent"), true, 2, http.StatusOK},
		{"leaving, no budget", bwrpc.Errorf(bwwire.Leaving, "leaving"), true, 2, http.StatusOK},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			dsk := newDesk(func(_ context.Context, name bwmodel.UpstreamID) error {
				if name == "u0" {
					return tt.err
				}
				return nil
			})
			if tt.empty {
				dsk.exhaust()
			}
			status, body := dsk.look(t)
			if status != tt.status || len(dsk.sent) != tt.copies {
				t.Errorf("got status %d with %d copies, want %d with %d: %s", status, len(dsk.sent), tt.status, tt.copies, body)
			}
		})
	}
}

// Guards against a hedge that a budget used up does not stop.
func TestHedgeNeedsBudget(t *testing.T) {
	release := make(chan struct{})
	dsk := newDesk(func(context.Context, bwmodel.UpstreamID) error {
		<-release
		return nil
	})
	dsk.exhaust()
	// The router must take the hedge's signal before the first copy is answered.
	dsk.after = make(chan time.Time)
	sig := &signal{after: dsk.after, release: release}
	go sig.run()
	if status, body := dsk.look(t); status != http.StatusOK || body != "u0" {
		t.Fatalf("got %d %q, want the first copy's answer", status, body)
	}
	if len(dsk.sent) != 1 {
		t.Errorf("%d copies were sent without a budget, want 1", len(dsk.sent))
	}
}

// signal fires the hedge's timer and then lets the copies be answered.
type signal struct {
	after   chan time.Time
	release chan struct{}
}

func (sig *signal) run() {
	sig.after <- time.Time{}
	close(sig.release)
}
