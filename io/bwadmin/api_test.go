package bwadmin_test

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/gorilla/mux"

	"bilberrywick/core/bwmodel"
	"bilberrywick/io/bwadmin"
	"bilberrywick/io/bwhttp"
	"bilberrywick/io/bwsettings"
	"bilberrywick/io/bwwire"
)

const operatorKey = "operator-key"

func newConfig() bwadmin.Config {
	return bwadmin.Config{
		Apply: func(_ context.Context, req *bwadmin.TicketRequest) (*bwadmin.TicketResult, error) {
			if req.Ticket.Number < 5 {
				return nil, &bwadmin.ConflictError{Head: 5, Reason: "number 4 is below the head"}
			}
			if req.DryRun {
				return &bwadmin.TicketResult{Number: req.Ticket.Number, Result: bwadmin.ResultValid}, nil
			}
			return &bwadmin.TicketResult{Number: req.Ticket.Number, Result: bwadmin.ResultAccepted}, nil
		},
		Tickets: func(_ context.Context, req *bwadmin.TicketListRequest) (*bwadmin.TicketList, error) {
			return &bwadmin.TicketList{Head: req.After, Tickets: make([]bwadmin.TicketSummary, req.Limit)}, nil
		},
		Ticket: func(context.Context, *bwadmin.TicketNumberRequest) (*bwwire.TicketDocument, error) {
			return nil, bwadmin.ErrNotFound
		},
		State: func(context.Context, *struct{}) (*bwwire.StateDocument, error) {
			return &bwwire.StateDocument{Number: 5}, nil
		},
		Members:   func(context.Context, *struct{}) (*bwadmin.MemberList, error) { return nil, bwadmin.ErrUnavailable },
		Upstreams: func(context.Context, *struct{}) (*bwadmin.UpstreamList, error) { return &bwadmin.UpstreamList{}, nil },
		Drains:    func(context.Context, *struct{}) (*bwadmin.DrainList, error) { return &bwadmin.DrainList{}, nil },
		Drain: func(context.Context, *bwadmin.DrainRequest) (*bwadmin.DrainList, error) {
			return nil, bwadmin.ErrOtherMember
		},
		Generation: func(_ context.Context, req *bwadmin.GenerationRequest) (*bwadmin.GenerationStatus, error) {
			return &bwadmin.GenerationStatus{Request: req.Request}, nil
		},
		Action: func(_ context.Context, req *bwadmin.ActionRequest) (*bwadmin.ActionStatus, error) {
			return &bwadmin.ActionStatus{Team: req.Team, Key: req.Key}, nil
		},
		Ready:    func() error { return nil },
		Metrics:  http.NotFoundHandler(),
		Profiles: http.NotFoundHandler(),
		Gate: &bwhttp.OperatorAuthenticator{
			Keys: []bwhttp.OperatorKey{{Name: "test", Hash: sha256.Sum256([]byte(operatorKey))}},
			Now:  time.Now,
		},
	}
}

func startAPI(t *testing.T, key string) *bwadmin.Client {
	t.Helper()
	srv := httptest.NewServer(bwadmin.NewHandler(newConfig()))
	t.Cleanup(srv.Close)
	addr := netip.MustParseAddrPort(srv.Listener.Addr().String())
	cl := bwadmin.NewClient(bwhttp.ClientConfig{Address: addr, Key: key})
	t.Cleanup(cl.Close)
	return cl
}

// Guards against a route that the OpenAPI description lacks, and against a
// described route that is not served.
func TestDescriptionIsComplete(t *testing.T) {
	rtr := bwadmin.NewHandler(newConfig())
	rec := httptest.NewRecorder()
	rtr.ServeHTTP(rec, httptest.NewRequest(http.MethodGet, bwadmin.OpenAPIPath, nil))
	var doc struct {
		Paths      map[string]map[string]json.RawMessage
		Components struct{ Schemas map[string]json.RawMessage }
	}
	if err := json.Unmarshal(rec.Body.Bytes(), &doc); err != nil {
		t.Fatal(err)
	}
	served := 0
	err := rtr.Walk(func(rt *mux.Route, _ *mux.Router, _ []*mux.Route) error {
		path, err := rt.GetPathTemplate()
		if err != nil {
			return err
		}
		methods, err := rt.GetMethods()
		if err != nil {
			return err
		}
		for _, method := range methods {
			served++
			if _, ok := doc.Paths[path][strings.ToLower(method)]; !ok {
				t.Errorf("%s %s is not described", method, path)
			}
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	described := 0
	for _, methods := range doc.Paths {
		described += len(methods)
	}
	if described != served || served < 15 {
		t.Errorf("%d routes are described, %d are served", described, served)
	}
	for _, ref := range strings.Split(rec.Body.String(), `"$ref":"#/components/schemas/`)[1:] {
		name, _, _ := strings.Cut(ref, `"`)
		if _, ok := doc.Components.Schemas[name]; !ok {
			t.Errorf("schema %s is missing", name)
		}
	}
}

// Guards against errors that lose their type between the process and the client.
func TestClientErrors(t *testing.T) {
	cl := startAPI(t, operatorKey)
	var conflict *bwadmin.ConflictError
	_, err := cl.Apply(t.Context(), &bwadmin.TicketRequest{Ticket: bwwire.TicketDocument{Number: 4}})
	if !errors.As(err, &conflict) || conflict.Head != 5 {
		t.Errorf("conflict: got %v", err)
	}
	var faults *bwsettings.Error
	bad := bwwire.TicketDocument{Number: 6, Services: []bwwire.ServiceDocument{{Kind: "Engine", Class: "Prompt"}, {Kind: "Model"}}}
	_, err = cl.Apply(t.Context(), &bwadmin.TicketRequest{Ticket: bad})
	if !errors.As(err, &faults) || len(faults.Faults) != 2 {
		t.Errorf("faults: got %v", err)
	}
	var prob *bwadmin.ProblemError
	if _, err = cl.Ticket(t.Context(), 9); !errors.As(err, &prob) || prob.Status != http.StatusNotFound {
		t.Errorf("missing ticket: got %v", err)
	}
	if _, err = cl.Members(t.Context()); !errors.As(err, &prob) || prob.Status != http.StatusServiceUnavailable {
		t.Errorf("unavailable: got %v", err)
	}
	if _, err = cl.Drain(t.Context(), &bwadmin.DrainRequest{Member: "x"}); !errors.As(err, &prob) || prob.Status != http.StatusConflict {
		t.Errorf("other member: got %v", err)
	}
}

// Guards against requests whose parameters are lost between the client and the
// process, and against a dry run that applies the ticket.
func TestClientRequests(t *testing.T) {
	cl := startAPI(t, operatorKey)
	res, err := cl.Apply(t.Context(), &bwadmin.TicketRequest{Ticket: bwwire.TicketDocument{Number: 6}, DryRun: true})
	if err != nil || res.Result != bwadmin.ResultValid {
		t.Errorf("dry run: %+v, %v", res, err)
	}
	list, err := cl.Tickets(t.Context(), &bwadmin.TicketListRequest{After: 3, Limit: 2})
	if err != nil || list.Head != 3 || len(list.Tickets) != 2 {
		t.Errorf("list: %+v, %v", list, err)
	}
	act, err := cl.Action(t.Context(), &bwadmin.ActionRequest{Team: "úrad", Key: "a/b&c"})
	if err != nil || act.Team != "úrad" || act.Key != "a/b&c" {
		t.Errorf("action: %+v, %v", act, err)
	}
	rid := bwmodel.RequestID{1, 2, 3}
	gen, err := cl.Generation(t.Context(), rid)
	if err != nil || gen.Request != rid {
		t.Errorf("generation: %+v, %v", gen, err)
	}
}

// Guards against routes that are served without an operator's key.
func TestKeyIsRequired(t *testing.T) {
	rtr := bwadmin.NewHandler(newConfig())
	public := map[string]bool{bwadmin.HealthPath: true, bwadmin.ReadyPath: true, bwadmin.OpenAPIPath: true}
	paths := []string{
		bwadmin.TicketsPath, bwadmin.StatePath, bwadmin.MembersPath, bwadmin.UpstreamsPath, bwadmin.DrainsPath,
		bwadmin.ActionsPath, bwadmin.VersionPath, bwadmin.MetricsPath, bwadmin.ProfilesPath + "heap",
		bwadmin.HealthPath, bwadmin.ReadyPath, bwadmin.OpenAPIPath,
	}
	for _, path := range paths {
		rec := httptest.NewRecorder()
		rtr.ServeHTTP(rec, httptest.NewRequest(http.MethodGet, path, nil))
		if got := rec.Code == http.StatusUnauthorized; got == public[path] {
			t.Errorf("%s without a key: status %d", path, rec.Code)
		}
	}
}
