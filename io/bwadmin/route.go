package bwadmin

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"reflect"
	"strconv"

	"github.com/gorilla/mux"

	"bilberrywick/core/bwmodel"
	"bilberrywick/io/bwhttp"
	"bilberrywick/io/bwsettings"
	"bilberrywick/io/bwwire"
)

var errMethodNotAllowed = errors.New("the method is not served on this path")

// route is one route of the API, for both the router and the OpenAPI description.
type route struct {
	method  string
	path    string
	summary string
	params  []parameter
	request reflect.Type
	// response is nil for a response that is not JSON.
	response reflect.Type
	handler  http.Handler
	// public routes need no key: the probes and the description.
	public bool
	// prefix marks a route for every path that starts with path.
	prefix bool
}

// parameter describes one parameter in a path or a query.
type parameter struct {
	name     string
	in       string
	typ      string
	required bool
	summary  string
}

func (cfg *Config) routes() []route {
	var routes []route
	routes = cfg.ticketRoutes(routes)
	routes = cfg.fleetRoutes(routes)
	routes = cfg.requestRoutes(routes)
	routes = cfg.processRoutes(routes)
	routes = append(routes, route{
		method: http.MethodGet, path: OpenAPIPath, summary: "This description", public: true,
	})
	routes[len(routes)-1].handler = openAPIHandler(routes)
	return routes
}

func (cfg *Config) ticketRoutes(routes []route) []route {
	if cfg.Apply != nil {
		rt := newRoute(http.MethodPost, TicketsPath, "Apply or check a change ticket", readTicket, cfg.Apply)
		rt.request = reflect.TypeFor[bwwire.TicketDocument]()
		rt.params = []parameter{{name: "DryRun", in: "query", typ: "boolean", summary: "Check only and change nothing"}}
		routes = append(routes, rt)
	}
	if cfg.Tickets != nil {
		rt := newRoute(http.MethodGet, TicketsPath, "List accepted tickets", readTicketList, cfg.Tickets)
		rt.params = []parameter{
			{name: "After", in: "query", typ: "integer", summary: "Only tickets with a higher number"},
			{name: "Limit", in: "query", typ: "integer", summary: "Number of tickets, at most 1000; 100 when absent"},
		}
		routes = append(routes, rt)
	}
	if cfg.Ticket != nil {
		rt := newRoute(http.MethodGet, TicketsPath+"/{Number}", "Show an accepted ticket", readTicketNumber, cfg.Ticket)
		rt.params = []parameter{{name: "Number", in: "path", typ: "integer", required: true, summary: "The ticket's number"}}
		routes = append(routes, rt)
	}
	if cfg.State != nil {
		summary := "Show the state in force with the number that set each object"
		routes = append(routes, newRoute(http.MethodGet, StatePath, summary, bwhttp.ReadNoInput, cfg.State))
	}
	return routes
}

func (cfg *Config) fleetRoutes(routes []route) []route {
	if cfg.Members != nil {
		routes = append(routes, newRoute(http.MethodGet, MembersPath, "List the members known here", bwhttp.ReadNoInput, cfg.Members))
	}
	if cfg.Upstreams != nil {
		summary := "List the upstreams followed here with their health"
		routes = append(routes, newRoute(http.MethodGet, UpstreamsPath, summary, bwhttp.ReadNoInput, cfg.Upstreams))
	}
	if cfg.Drains != nil {
		summary := "List the upstreams and members that take no new work"
		routes = append(routes, newRoute(http.MethodGet, DrainsPath, summary, bwhttp.ReadNoInput, cfg.Drains))
	}
	if cfg.Drain != nil {
		read := bwhttp.ReadJSON(bwsettings.Decode[DrainRequest])
		rt := newRoute(http.MethodPost, DrainsPath, "Drain and end the process that answers", read, cfg.Drain)
		rt.request = reflect.TypeFor[DrainRequest]()
		routes = append(routes, rt)
	}
	return routes
}

func (cfg *Config) requestRoutes(routes []route) []route {
	if cfg.Generation != nil {
		path := GenerationPath + "/{Request}"
		rt := newRoute(http.MethodGet, path, "Show a generation that this process serves or holds", readGeneration, cfg.Generation)
		rt.params = []parameter{{name: "Request", in: "path", typ: "string", required: true, summary: "The request's identifier"}}
		routes = append(routes, rt)
	}
	if cfg.Action != nil {
		rt := newRoute(http.MethodGet, ActionsPath, "Show an action", readAction, cfg.Action)
		rt.params = []parameter{
			{name: "Team", in: "query", typ: "string", required: true, summary: "The team that submitted the action"},
			{name: "Key", in: "query", typ: "string", required: true, summary: "The action's idempotency key"},
		}
		routes = append(routes, rt)
	}
	return routes
}

func (cfg *Config) processRoutes(routes []route) []route {
	routes = append(routes, newRoute(http.MethodGet, VersionPath, "Show the program's version", bwhttp.ReadNoInput, cfg.version))
	routes = append(routes, route{
		method: http.MethodGet, path: HealthPath, summary: "Whether the process answers", public: true,
		response: reflect.TypeFor[bwhttp.HealthResponse](), handler: bwhttp.HealthHandler(),
	})
	if cfg.Ready != nil {
		routes = append(routes, route{
			method: http.MethodGet, path: ReadyPath, summary: "Whether the process takes new work", public: true,
			response: reflect.TypeFor[bwhttp.ReadyResponse](), handler: bwhttp.ReadyHandler(cfg.Ready),
		})
	}
	if cfg.Metrics != nil {
		routes = append(routes, route{
			method: http.MethodGet, path: MetricsPath, summary: "Metrics in the Prometheus text format", handler: cfg.Metrics,
		})
	}
	if cfg.Profiles != nil {
		routes = append(routes, route{
			method: http.MethodGet, path: ProfilesPath, summary: "Runtime profiles", handler: cfg.Profiles, prefix: true,
		})
	}
	return routes
}

func (cfg *Config) version(context.Context, *struct{}) (*VersionResponse, error) {
	return &cfg.Version, nil
}

func newRoute[Req, Rsp any](
	method, path, summary string,
	read func(*http.Request) (*Req, error),
	serve func(context.Context, *Req) (*Rsp, error),
) route {
	return route{
		method:   method,
		path:     path,
		summary:  summary,
		response: reflect.TypeFor[Rsp](),
		handler:  bwhttp.Handler[Req, Rsp]{Read: read, Serve: serve, ErrorHandler: WriteError},
	}
}

func readTicket(rq *http.Request) (*TicketRequest, error) {
	doc, err := bwhttp.ReadJSON(bwsettings.DecodeTicket)(rq)
	if err != nil {
		return nil, err
	}
	req := &TicketRequest{Ticket: *doc}
	if txt := rq.URL.Query().Get("DryRun"); txt != "" {
		if req.DryRun, err = strconv.ParseBool(txt); err != nil {
			return nil, parameterError("DryRun", txt, "true or false")
		}
	}
	return req, nil
}

// Limits of one response with tickets; at target scale, 3,800 tickets are
// accepted per day.
const (
	defaultListLimit = 100
	maxListLimit     = 1000
)

func readTicketList(rq *http.Request) (*TicketListRequest, error) {
	req := &TicketListRequest{Limit: defaultListLimit}
	query := rq.URL.Query()
	if txt := query.Get("After"); txt != "" {
		num, err := strconv.ParseUint(txt, 10, 64)
		if err != nil {
			return nil, parameterError("After", txt, "a ticket number")
		}
		req.After = bwmodel.TicketNumber(num)
	}
	if txt := query.Get("Limit"); txt != "" {
		num, err := strconv.Atoi(txt)
		if err != nil || num < 1 || num > maxListLimit {
			return nil, parameterError("Limit", txt, fmt.Sprintf("a number from 1 to %d", maxListLimit))
		}
		req.Limit = num
	}
	return req, nil
}

func readTicketNumber(rq *http.Request) (*TicketNumberRequest, error) {
	txt := mux.Vars(rq)["Number"]
	num, err := strconv.ParseUint(txt, 10, 64)
	if err != nil {
		return nil, parameterError("Number", txt, "a ticket number")
	}
	return &TicketNumberRequest{Number: bwmodel.TicketNumber(num)}, nil
}

func readGeneration(rq *http.Request) (*GenerationRequest, error) {
	txt := mux.Vars(rq)["Request"]
	rid, err := bwmodel.ParseRequestID(txt)
	if err != nil {
		return nil, parameterError("Request", txt, "32 hexadecimal digits")
	}
	return &GenerationRequest{Request: rid}, nil
}

func readAction(rq *http.Request) (*ActionRequest, error) {
	query := rq.URL.Query()
	req := &ActionRequest{Team: bwmodel.TeamID(query.Get("Team")), Key: query.Get("Key")}
	if req.Team == "" {
		return nil, parameterError("Team", "", "a team's name")
	}
	if req.Key == "" {
		return nil, parameterError("Key", "", "an idempotency key")
	}
	return req, nil
}

func parameterError(name, got, want string) error {
	return &bwhttp.RequestError{
		Status: http.StatusBadRequest,
		Err:    fmt.Errorf("parameter %s is %q, want %s", name, got, want),
	}
}
