package bwforward

import (
	"cmp"
	"errors"
	"math/rand/v2"
	"net/netip"
	"reflect"
	"slices"
	"strings"
	"time"

	"bilberrywick/core/bwmodel"
)

// RoutingTable is an immutable version of the routes, services and teams.
type RoutingTable struct {
	version  uint64
	hosts    map[string][]Route
	services map[bwmodel.ServiceID]Service
	keys     map[string]Team
	limits   Limits
}

// RoutingTableConfig configures a RoutingTable.
type RoutingTableConfig struct {
	// Version orders the tables; a higher one replaces a lower one.
	Version  uint64
	Routes   []Route
	Services []Service
	Teams    []Team
	Limits   Limits
}

// Route configures the requests for a host whose path has a prefix.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   RouteKind
	// Resumable is set when another upstream can continue a stream after any event.
	Resumable bool
	// Timeout is the longest time for which a caller waits for its response.
	Timeout time.Duration
	// Target is the latency up to which a response, or the first event of a stream,
	// has its full value for the caller.
	Target time.Duration
	// Gap is the longest time between two events of a stream that is on time.
	Gap time.Duration
	// MaxUpstreams limits the number of upstreams that one request is sent to.
	MaxUpstreams int
	// Priority is the rank of the requests; 0 is the most urgent.
	Priority int
	// Public is set when requests need no key.
	Public  bool
	Targets []Target
}

// MayRunAgain reports whether the route's requests may run more than once.
func (rt *Route) MayRunAgain() bool {
	return rt.Kind == Idempotent || rt.Kind == EventStream && rt.Resumable
}

// Target is a service that receives a share of a route's requests, in proportion
// to its weight.
type Target struct {
	Service bwmodel.ServiceID
	Weight  int
}

// RouteKind states how often a request may run and the form of its response.
type RouteKind int

// Kinds of routes.
const (
	// AtMostOnce requests are never sent again once they may have run.
	AtMostOnce RouteKind = iota
	// Idempotent requests may run several times.
	Idempotent
	// EventStream requests are answered with a stream of events of increasing IDs.
	EventStream
)

// String returns the kind's name.
func (knd RouteKind) String() string {
	return [...]string{"AtMostOnce", "Idempotent", "EventStream"}[knd]
}

// Service is a group of upstreams that run the same requests.
type Service struct {
	Name bwmodel.ServiceID
	// Health is the path at which upstreams report their identity.
	Health string
	// Model is set for services whose upstreams are model engines.
	Model *Model
}

// Model describes the engines of a model service.
type Model struct {
	Slots int
	// Memory is the capacity of an engine's KV cache in tokens.
	Memory int
	// Copies is set when an engine can send a copy of a run's KV cache to another one.
	Copies bool
}

// Team is a group of callers with common keys.
type Team struct {
	Name bwmodel.TeamID
	Keys []string
	// Priority replaces the priority of the route unless it is nil.
	Priority *int
}

// Limits holds the limits on callers' requests.
type Limits struct {
	// Body is the largest body in bytes; 0 means the process's own limit.
	Body int64
}

// Match is the result of RoutingTable.Find.
type Match struct {
	Route    *Route
	Service  Service
	Team     bwmodel.TeamID
	Priority int
}

// Errors of RoutingTable.Find.
var (
	ErrNoRoute    = errors.New("no route matches the request")
	ErrUnknownKey = errors.New("key belongs to no team")
)

// NewRoutingTable returns a table that matches longer prefixes first.
func NewRoutingTable(cfg RoutingTableConfig) *RoutingTable {
	tbl := &RoutingTable{
		version:  cfg.Version,
		hosts:    make(map[string][]Route),
		services: make(map[bwmodel.ServiceID]Service, len(cfg.Services)),
		keys:     make(map[string]Team),
		limits:   cfg.Limits,
	}
	for _, rt := range cfg.Routes {
		host := strings.ToLower(rt.Host)
		tbl.hosts[host] = append(tbl.hosts[host], rt)
	}
	for _, rts := range tbl.hosts {
		slices.SortStableFunc(rts, func(ra, rb Route) int { return cmp.Compare(len(rb.Prefix), len(ra.Prefix)) })
	}
	for _, svc := range cfg.Services {
		tbl.services[svc.Name] = svc
	}
	for _, team := range cfg.Teams {
		for _, key := range team.Keys {
			tbl.keys[key] = team
		}
	}
	return tbl
}

// Version returns the version of the table.
func (tbl *RoutingTable) Version() uint64 { return tbl.version }

// Equal reports whether two tables have the same content.
func (tbl *RoutingTable) Equal(other *RoutingTable) bool { return reflect.DeepEqual(tbl, other) }

// Limits returns the limits on callers' requests.
func (tbl *RoutingTable) Limits() Limits { return tbl.limits }

// Service returns a service by its name; an unlisted one has no field but Name.
func (tbl *RoutingTable) Service(name bwmodel.ServiceID) Service {
	svc := tbl.services[name]
	svc.Name = name
	return svc
}

// Routes returns the number of routes.
func (tbl *RoutingTable) Routes() int {
	count := 0
	for _, rts := range tbl.hosts {
		count += len(rts)
	}
	return count
}

// Find returns the route, service, team and priority of a request. It returns
// ErrNoRoute, or ErrUnknownKey if a route that is not public is requested without
// a team's key; the Match then has the route, but no service or team. The path
// is not normalized.
func (tbl *RoutingTable) Find(host, path, key string) (Match, error) {
	rt := tbl.findRoute(host, path)
	if rt == nil {
		return Match{}, ErrNoRoute
	}
	mt := Match{Route: rt, Priority: rt.Priority}
	team, found := tbl.keys[key]
	switch {
	case found:
		mt.Team = team.Name
		if team.Priority != nil {
			mt.Priority = *team.Priority
		}
	case !rt.Public:
		return mt, ErrUnknownKey
	}
	mt.Service = tbl.Service(rt.pickTarget())
	return mt, nil
}

// findRoute returns the route with the longest matching prefix, or nil.
func (tbl *RoutingTable) findRoute(host, path string) *Route {
	rts := tbl.hosts[strings.ToLower(hostName(host))]
	for ix := range rts {
		if strings.HasPrefix(path, rts[ix].Prefix) {
			return &rts[ix]
		}
	}
	return nil
}

// hostName returns the host of a Host header without the port.
func hostName(host string) string {
	if addr, err := netip.ParseAddrPort(host); err == nil {
		return addr.Addr().String()
	}
	if ix := strings.LastIndexByte(host, ':'); ix > 0 {
		return host[:ix]
	}
	return host
}

// pickTarget returns a random target by weight. It returns "" if no target has a
// positive weight.
func (rt *Route) pickTarget() bwmodel.ServiceID {
	total := 0
	for _, tgt := range rt.Targets {
		total += max(tgt.Weight, 0)
	}
	if total == 0 {
		return ""
	}
	point := rand.IntN(total)
	for _, tgt := range rt.Targets {
		point -= max(tgt.Weight, 0)
		if point < 0 {
			return tgt.Service
		}
	}
	return ""
}
