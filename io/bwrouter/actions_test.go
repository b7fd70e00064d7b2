package bwrouter_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/gorilla/mux"

	"bilberrywick/core/bwaction"
	"bilberrywick/core/bwadmit"
	"bilberrywick/core/bwmodel"
	"bilberrywick/core/bwroute"
	"bilberrywick/io/bwhttp"
	"bilberrywick/io/bwrouter"
	"bilberrywick/io/bwrpc"
	"bilberrywick/io/bwwire"
)

// Guards against a caller who waits until the action's timeout although the agent
// has disappeared without closing its connection.
func TestDispatchEndsWithTheStatusStream(t *testing.T) {
	ups := bwmodel.Upstream{Name: "u1", Service: "desk"}
	connected, lose := context.WithCancel(t.Context())
	acts := bwrouter.NewActions(bwrouter.ActionsConfig{
		Choose: func(context.Context, bwroute.Request) (bwroute.Choice, error) {
			return bwroute.Choice{Upstream: ups, Finish: func(bwroute.Outcome) {}}, nil
		},
		Admit: func(context.Context, bwadmit.Request) (bwadmit.Grant, error) {
			return bwadmit.Grant{Finish: func(int) {}}, nil
		},
		Service: func(bwmodel.ServiceID) (bwmodel.Service, bool) {
			return bwmodel.Service{Name: "desk", Kind: bwmodel.PlainService}, true
		},
		Upstream:          func(bwmodel.UpstreamID) (bwmodel.Upstream, bool) { return ups, true },
		AgentClock:        func(bwmodel.UpstreamID) (bwmodel.Incarnation, time.Duration, bool) { return 1, 0, true },
		ConnectionContext: func(bwmodel.UpstreamID) context.Context { return connected },
		Dispatch: func(ctx context.Context, _ netip.AddrPort, _ *bwwire.DispatchRequest) (*bwwire.DispatchResponse, error) {
			lose()
			<-ctx.Done()
			return nil, ctx.Err()
		},
		// The agent was replaced, so the coordinator reports an unknown outcome without polling.
		Settle: func(context.Context, netip.AddrPort, *bwwire.SettleRequest) (*bwwire.SettleResponse, error) {
			return nil, bwrpc.Errorf(bwwire.OtherIncarnation, "replaced")
		},
		Coordinator: bwaction.CoordinatorConfig{
			Read:       func(context.Context, bwaction.Key) (bwaction.Row, bool, error) { return bwaction.Row{}, false, nil },
			Insert:     func(context.Context, bwaction.Row) error { return nil },
			Swap:       func(context.Context, bwaction.RowVersion, bwaction.Row) error { return nil },
			Now:        time.Now,
			NewAttempt: func() bwmodel.RequestID { return bwmodel.RequestID{1} },
		},
	})
	rt := mux.NewRouter().UseEncodedPath()
	acts.Register(rt)
	hrq := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/v1/services/desk/actions/pay", strings.NewReader("40"))
	hrq.Header.Set("Idempotency-Key", "k1")
	rec := httptest.NewRecorder()
	rt.ServeHTTP(rec, hrq.WithContext(bwhttp.WithTeam(hrq.Context(), bwmodel.Team{Name: "t1"})))
	if got := rec.Body.String(); !strings.Contains(got, `"Outcome":"Unknown"`) || strings.Contains(got, "RequestOutcome") {
		t.Errorf("got %d %s, want an unknown outcome", rec.Code, got)
	}
}

// Guards against a stored result whose status no response may have, which would end the
// connection of each caller that repeats the action.
func TestStoredInvalidStatus(t *testing.T) {
	read := func(_ context.Context, key bwaction.Key) (bwaction.Row, bool, error) {
		return bwaction.Row{Key: key, State: bwaction.Finished}, true, nil
	}
	rt := mux.NewRouter().UseEncodedPath()
	bwrouter.NewActions(bwrouter.ActionsConfig{Coordinator: bwaction.CoordinatorConfig{Read: read, Now: time.Now}}).Register(rt)
	hrq := httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/v1/actions/k1", nil)
	rec := httptest.NewRecorder()
	rt.ServeHTTP(rec, hrq.WithContext(bwhttp.WithTeam(hrq.Context(), bwmodel.Team{Name: "t1"})))
	if got := rec.Body.String(); rec.Code != http.StatusBadGateway || !strings.Contains(got, `"Outcome":"Unknown"`) {
		t.Errorf("got %d %s, want an unknown outcome", rec.Code, got)
	}
}
