package bwforward

import (
	"cmp"
	"errors"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"time"

	"bilberrywick/core/bwmodel"
)

// RoutingTable is an immutable state of the routes, services and teams.
type RoutingTable struct {
	version  uint64
	hosts    map[string][]Route
	services map[bwmodel.ServiceID]Service
	keys     map[string]Team
	limits   Limits
}

// RoutingTableConfig holds what a Table is built from.
type RoutingTableConfig struct {
	// Version orders the states; a higher one replaces a lower one.
	Version  uint64
	Routes   []Route
	Services []Service
	Teams    []Team
	Limits   Limits
}

// Route says what happens with the requests below a path of a host.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   RouteKind
	// Resumable says that another upstream can go on after an event of a stream.
	Resumable bool
	// Timeout is the longest time that a caller is kept waiting.
	Timeout time.Duration
	// Target is the time within which a response, or the first event of a
	// stream, has its full value.
	Target time.Duration
	// Gap is the longest pause between events of a stream that is on time.
	Gap time.Duration
	// MaxUpstreams bounds the upstreams that one request is sent to.
	MaxUpstreams int
	// Priority is the rank of the requests; 0 goes first.
	Priority int
	// Public routes need no key.
	Public  bool
	Targets []Target
}

// Target is a service that gets a part of a route's requests.
type Target struct {
	Service bwmodel.ServiceID
	Weight  int
}

// RouteKind says how often a request may run, and how it is answered.
type RouteKind int

// Kinds of requests.
const (
	// AtMostOnce requests are never sent again once they may have run.
	AtMostOnce RouteKind = iota
	Idempotent
	// EventStream requests are answered with events that have increasing IDs.
	EventStream
)

// String returns the kind's name.
func (knd RouteKind) String() string {
	return [...]string{"AtMostOnce", "Idempotent", "EventStream"}[knd]
}

// Service is a group of upstreams that run the same requests.
type Service struct {
	Name bwmodel.ServiceID
	// Health is the path at which its upstreams say who they are.
	Health string
	// Model is set for services of model engines.
	Model *Model
}

// Model describes the engines of a model service.
type Model struct {
	Slots int
	// Memory is the number of tokens that an engine keeps.
	Memory int
	// Copies says that an engine can send a copy of a run's memory to another one.
	Copies bool
}

// Team is a group of callers that shares keys.
type Team struct {
	Name bwmodel.TeamID
	Keys []string
	// Priority replaces that of the route if it is set.
	Priority *int
}

// Limits bounds what a caller may send; 0 means the process's own bound.
type Limits struct {
	Body int64
}

// Match is where a request belongs.
type Match struct {
	Route    *Route
	Service  Service
	Team     bwmodel.TeamID
	Priority int
}

// Errors of Find.
var (
	ErrNoRoute    = errors.New("no route matches the request")
	ErrUnknownKey = errors.New("key belongs to no team")
)

// NewRoutingTable returns a table that finds the longest prefix first.
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

// Version returns the number of the state.
func (tbl *RoutingTable) Version() uint64 { return tbl.version }

// Limits returns the bounds for callers.
func (tbl *RoutingTable) Limits() Limits { return tbl.limits }

// Service returns a service by its name; one that is not listed has only that.
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

// Find returns where a request belongs, or ErrNoRoute or ErrUnknownKey. The
// path is compared as it was sent.
func (tbl *RoutingTable) Find(host, path, key string) (Match, error) {
	rt := tbl.route(host, path)
	if rt == nil {
		return Match{}, ErrNoRoute
	}
	mt := Match{Route: rt, Priority: rt.Priority}
	team, known := tbl.keys[key]
	switch {
	case known:
		mt.Team = team.Name
		if team.Priority != nil {
			mt.Priority = *team.Priority
		}
	case !rt.Public:
		return mt, ErrUnknownKey
	}
	mt.Service = tbl.Service(rt.draw())
	return mt, nil
}

func (tbl *RoutingTable) route(host, path string) *Route {
	rts := tbl.hosts[strings.ToLower(hostName(host))]
	for ix := range rts {
		if strings.HasPrefix(path, rts[ix].Prefix) {
			return &rts[ix]
		}
	}
	return nil
}

// hostName returns a Host header's name without its port.
func hostName(host string) string {
	if addr, err := netip.ParseAddrPort(host); err == nil {
		return addr.Addr().String()
	}
	if ix := strings.LastIndexByte(host, ':'); ix > 0 {
		return host[:ix]
	}
	return host
}

// draw picks a target by weight.
func (rt *Route) draw() bwmodel.ServiceID {
	total := 0
	for _, tgt := range rt.Targets {
		total += max(tgt.Weight, 0)
	}
	if total == 0 {
		return ""
	}
	at := rand.IntN(total)
	for _, tgt := range rt.Targets {
		at -= max(tgt.Weight, 0)
		if at < 0 {
			return tgt.Service
		}
	}
	return ""
}
