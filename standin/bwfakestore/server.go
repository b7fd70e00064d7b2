package bwfakestore

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"bilberrywick/core/bwmodel"
	"bilberrywick/standin/bwfakeserver"
)

// Server serves the table, the object store and the VM list from memory.
type Server struct {
	table   tableService
	objects objectService
	list    listService
	cfg     Config
	servers []*http.Server
	done    sync.WaitGroup
}

// Config configures a Server.
type Config struct {
	// Table, Objects and List are the listen addresses of the services. Port 0
	// selects a free port, and the zero value a free port on 127.0.0.1.
	Table   netip.AddrPort
	Objects netip.AddrPort
	List    netip.AddrPort
	// PageBytes is the size at which a page of a query ends, in bytes of rows;
	// 0 means 1 MiB.
	PageBytes int
}

const defaultPageBytes = 1 << 20

// Service identifies one of the platform's services.
type Service int

// The platform's services.
const (
	TableService Service = iota + 1
	ObjectService
	ListService
)

// Faults configures the injected faults of a service; the zero value injects none.
type Faults struct {
	// Down closes each connection without a response.
	Down bool
	// Latency delays each request before it is processed.
	Latency time.Duration
	// LoseResponses is the number of writes that are applied but get no response.
	LoseResponses int
	// DelayResponses is the number of writes whose response is sent DelayTime after
	// the write is applied.
	DelayResponses int
	// DelayTime is the delay of delayed responses and writes.
	DelayTime time.Duration
	// DelayWrites is the number of writes that get no response and are applied
	// DelayTime later.
	DelayWrites int
	// BreakResponses is the number of requests that get a response with an invalid status or
	// field name without being processed.
	BreakResponses int
	// Throttle is the number of requests that are refused without being processed.
	Throttle int
	// StaleList stops updates of the served VM list while it is set.
	StaleList bool
}

// Counts contains the numbers of requests that a service has processed.
type Counts struct {
	Reads  int
	Writes int
	// FailedConditions counts the writes whose conditions failed.
	FailedConditions int
}

// New returns a server; Start opens its listeners.
func New(cfg Config) *Server {
	if cfg.PageBytes == 0 {
		cfg.PageBytes = defaultPageBytes
	}
	srv := &Server{cfg: cfg}
	for _, svc := range []Service{TableService, ObjectService, ListService} {
		srv.injector(svc).breaker = bwfakeserver.NewBreaker()
	}
	srv.table.rows = make(map[string]map[string]storedRow)
	srv.table.pageBytes = cfg.PageBytes
	srv.objects.objects = make(map[string][]byte)
	return srv
}

// Start opens the listeners and serves until Close. It returns an error if a
// listener can't be opened.
func (srv *Server) Start(ctx context.Context) error {
	addrs := []*netip.AddrPort{&srv.cfg.Table, &srv.cfg.Objects, &srv.cfg.List}
	handlers := []http.Handler{&srv.table, &srv.objects, &srv.list}
	for ix, addr := range addrs {
		if !addr.IsValid() {
			*addr = netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), 0)
		}
		var lc net.ListenConfig
		lis, err := lc.Listen(ctx, "tcp", addr.String())
		if err != nil {
			srv.Close()
			return fmt.Errorf("listen on %v: %w", addr, err)
		}
		*addr = lis.Addr().(*net.TCPAddr).AddrPort()
		web := &http.Server{Handler: handlers[ix], ReadHeaderTimeout: time.Minute}
		srv.servers = append(srv.servers, web)
		srv.done.Add(1)
		go srv.run(web, lis)
	}
	return nil
}

// Close stops the services, closes their connections and waits until the servers have stopped.
func (srv *Server) Close() {
	for _, web := range srv.servers {
		_ = web.Close()
	}
	srv.done.Wait()
}

// TableAddress returns the address of the table service; it is valid after Start.
func (srv *Server) TableAddress() netip.AddrPort { return srv.cfg.Table }

// ObjectsAddress returns the address of the object store; it is valid after Start.
func (srv *Server) ObjectsAddress() netip.AddrPort { return srv.cfg.Objects }

// ListAddress returns the address of the VM list service; it is valid after Start.
func (srv *Server) ListAddress() netip.AddrPort { return srv.cfg.List }

// SetFaults replaces the faults of a service.
func (srv *Server) SetFaults(svc Service, faults Faults) { srv.injector(svc).setFaults(faults) }

// Counts returns the numbers of requests that a service has processed.
func (srv *Server) Counts(svc Service) Counts { return srv.injector(svc).readCounts() }

// SetMembers replaces the members of the VM list. While StaleList is set, the old
// list is served.
func (srv *Server) SetMembers(members []bwmodel.Member) { srv.list.setMembers(members) }

func (srv *Server) injector(svc Service) *faultInjector {
	switch svc {
	case TableService:
		return &srv.table.injector
	case ObjectService:
		return &srv.objects.injector
	default:
		return &srv.list.injector
	}
}

func (srv *Server) run(web *http.Server, lis net.Listener) {
	defer srv.done.Done()
	if err := web.Serve(lis); !errors.Is(err, http.ErrServerClosed) {
		panic(fmt.Sprintf("stand-in server on %v: %v", lis.Addr(), err))
	}
}
