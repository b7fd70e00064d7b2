package bwadmin

import (
	"context"
	"net/http"

	"github.com/gorilla/mux"

	"bilberrywick/io/bwhttp"
	"bilberrywick/io/bwwire"
)

// Config holds the functions of a process that the administration API serves.
// The routes of a nil function field are left out.
type Config struct {
	// Apply applies a ticket, or only checks it; its errors are *bwsettings.Error,
	// *ConflictError, ErrUnavailable and ErrOutcomeUnknown.
	Apply func(context.Context, *TicketRequest) (*TicketResult, error)
	// Tickets lists accepted tickets.
	Tickets func(context.Context, *TicketListRequest) (*TicketList, error)
	// Ticket returns one accepted ticket, or ErrNotFound.
	Ticket func(context.Context, *TicketNumberRequest) (*bwwire.TicketDocument, error)
	// State returns the state in effect with the ticket number that set each object.
	State     func(context.Context, *struct{}) (*bwwire.StateDocument, error)
	Members   func(context.Context, *struct{}) (*MemberList, error)
	Upstreams func(context.Context, *struct{}) (*UpstreamList, error)
	Drains    func(context.Context, *struct{}) (*DrainList, error)
	// Drain starts the graceful stop of the process, or returns ErrOtherMember
	// when the request names another process.
	Drain func(context.Context, *DrainRequest) (*DrainList, error)
	// Generation returns one generation that this process serves, or whose record
	// it holds, or ErrNotFound.
	Generation func(context.Context, *GenerationRequest) (*GenerationStatus, error)
	// Action returns one action, or ErrNotFound.
	Action func(context.Context, *ActionRequest) (*ActionStatus, error)
	// Version holds the versions of the program and of Go.
	Version VersionResponse
	// Ready returns an error with the reason why the process accepts no new work,
	// and nil when it does.
	Ready func() error
	// Metrics and Profiles serve the paths /metrics and /debug/pprof/.
	Metrics  http.Handler
	Profiles http.Handler
	// Gate checks the operators' keys. Nil admits every request, and is for
	// listeners on a loopback address only.
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

// NewHandler returns the router of the administration API. The handlers and the
// OpenAPI description are built from the same list of routes.
func NewHandler(cfg Config) *mux.Router {
	if cfg.Gate != nil {
		authenticator := *cfg.Gate
		authenticator.ErrorHandler = WriteError
		cfg.Gate = &authenticator
	}
	routes := cfg.routes()
	rtr := mux.NewRouter()
	rtr.NotFoundHandler = http.HandlerFunc(writeNotFound)
	rtr.MethodNotAllowedHandler = http.HandlerFunc(writeMethodNotAllowed)
	for _, rt := range routes {
		hdl := rt.handler
		if !rt.public && cfg.Gate != nil {
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

func writeNotFound(rw http.ResponseWriter, rq *http.Request) { WriteError(rw, rq, ErrNotFound) }

func writeMethodNotAllowed(rw http.ResponseWriter, rq *http.Request) {
	WriteError(rw, rq, &bwhttp.RequestError{Status: http.StatusMethodNotAllowed, Err: errMethodNotAllowed})
}
