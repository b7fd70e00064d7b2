package bwadmin

import (
	"context"
	"net/http"

	"github.com/gorilla/mux"

	"bilberrywick/io/bwhttp"
	"bilberrywick/io/bwwire"
)

// Config holds what the administration API needs from its process. A nil
// function field leaves its routes out.
type Config struct {
	// Apply accepts a ticket or checks it; its errors are *bwsettings.Error,
	// *ConflictError, ErrUnavailable and ErrUnknown.
	Apply func(context.Context, *TicketRequest) (*TicketResult, error)
	// Tickets lists accepted tickets.
	Tickets func(context.Context, *TicketListRequest) (*TicketList, error)
	// Ticket returns one accepted ticket, or ErrNotFound.
	Ticket func(context.Context, *TicketNumberRequest) (*bwwire.TicketDocument, error)
	// State returns the state in force with the number that set each object.
	State     func(context.Context, *struct{}) (*bwwire.StateDocument, error)
	Members   func(context.Context, *struct{}) (*MemberList, error)
	Upstreams func(context.Context, *struct{}) (*UpstreamList, error)
	Drains    func(context.Context, *struct{}) (*DrainList, error)
	// Drain starts the graceful end of the process, or returns ErrOtherMember.
	Drain func(context.Context, *DrainRequest) (*DrainList, error)
	// Generation returns one generation that this process serves or holds, or ErrNotFound.
	Generation func(context.Context, *GenerationRequest) (*GenerationStatus, error)
	// Action returns one action, or ErrNotFound.
	Action func(context.Context, *ActionRequest) (*ActionStatus, error)
	// Version describes the program.
	Version VersionResponse
	// Ready returns why the process takes no new work, and nil when it does.
	Ready func() error
	// Metrics and Profiles serve the paths /metrics and /debug/pprof/.
	Metrics  http.Handler
	Profiles http.Handler
	// Gate checks the operators' keys; nil admits every request, for loopback listeners only.
	Gate *bwhttp.OperatorAuthenticator
}

// Paths of the API.
const (
	TicketsPath    = "/v1/tickets"
	StatePath      = "/v1/state"
	MembersPath    = "/v1/members"
	UpstreamsPath  = "/v1/upstreams"
	DrainsPath     = "/v1/drains"
	GenerationPath = "/v1/generations"
	ActionsPath    = "/v1/actions"
	VersionPath    = "/v1/version"
	OpenAPIPath    = "/openapi.json"
	HealthPath     = "/health"
	ReadyPath      = "/ready"
	MetricsPath    = "/metrics"
	ProfilesPath   = "/debug/pprof/"
)

// NewHandler returns the router of the administration API; its routes and
// their description come from one table.
func NewHandler(cfg Config) *mux.Router {
	if cfg.Gate != nil {
		gate := *cfg.Gate
		gate.ErrorHandler = WriteError
		cfg.Gate = &gate
	}
	table := cfg.routes()
	rtr := mux.NewRouter()
	rtr.NotFoundHandler = http.HandlerFunc(failNotFound)
	rtr.MethodNotAllowedHandler = http.HandlerFunc(failMethod)
	for _, rt := range table {
		hdl := rt.handler
		if !rt.open && cfg.Gate != nil {
			hdl = cfg.Gate.Wrap(hdl)
		}
		if rt.prefix {
			rtr.PathPrefix(rt.path).Methods(rt.method).Handler(hdl)
			continue
		}
		rtr.Path(rt.path).Methods(rt.method).Handler(hdl)
	}
	return rtr
}

func failNotFound(rw http.ResponseWriter, rq *http.Request) { WriteError(rw, rq, ErrNotFound) }

func failMethod(rw http.ResponseWriter, rq *http.Request) {
	WriteError(rw, rq, &bwhttp.RequestError{Status: http.StatusMethodNotAllowed, Err: errMethod})
}
