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
	// Table, Objects and List are where the services listen; port 0 picks a free
	// port, and the zero value means a free port on 127.0.0.1.
	Table   netip.AddrPort
	Objects netip.AddrPort
	List    netip.AddrPort
	// PageBytes is the size of the rows in one page of a query; 0 means 1 MiB.
	PageBytes int
}

const defaultPageBytes = 1 << 20

// Service names one of the platform's services.
type Service int

// The platform's services.
const (
	TableService Service = iota + 1
	ObjectService
	ListService
)

// Faults says how a service misbehaves; the zero value means not at all.
type Faults struct {
	// Down closes each connection without an answer.
	Down bool
	// Latency delays each request before it is processed.
	Latency time.Duration
	// LoseResponses is the number of writes that take effect but get no answer.
	LoseResponses int
	// DelayResponses is the number of writes whose answer is delayed by LateTime
	// after they took effect.
	DelayResponses int
	DelayTime      time.Duration
	// DelayWrites is the number of writes that get no answer and take effect only
	// LateTime later.
	DelayWrites int
	// Throttle is the number of requests that are refused before anything is applied.
	Throttle int
	// StaleList keeps the VM list as it is while set.
	StaleList bool
}

// Counts are the requests that a service processed.
type Counts struct {
	Reads  int
	Writes int
	// FailedConditions counts writes whose conditions failed.
	FailedConditions int
}

// New returns a server that is not listening yet.
func New(cfg Config) *Server {
	if cfg.PageBytes == 0 {
		cfg.PageBytes = defaultPageBytes
	}
	srv := &Server{cfg: cfg}
	srv.table.rows = make(map[string]map[string]storedRow)
	srv.table.pageBytes = cfg.PageBytes
	srv.objects.objects = make(map[string][]byte)
	return srv
}

// Start listens and serves until Close, or returns an error of the listeners.
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

// Close stops the services and their connections.
func (srv *Server) Close() {
	for _, web := range srv.servers {
		_ = web.Close()
	}
	srv.done.Wait()
}

// TableAddress is where the table service listens, once started.
func (srv *Server) TableAddress() netip.AddrPort { return srv.cfg.Table }

// ObjectsAddress is where the object store listens, once started.
func (srv *Server) ObjectsAddress() netip.AddrPort { return srv.cfg.Objects }

// ListAddress is where the VM list is served, once started.
func (srv *Server) ListAddress() netip.AddrPort { return srv.cfg.List }

// SetFaults replaces the faults of a service.
func (srv *Server) SetFaults(svc Service, faults Faults) { srv.gate(svc).set(faults) }

// Counts returns the requests that a service has processed.
func (srv *Server) Counts(svc Service) Counts { return srv.gate(svc).read() }

// SetMembers replaces what the platform lists; a stale list shows it later.
func (srv *Server) SetMembers(members []bwmodel.Member) { srv.list.setMembers(members) }

func (srv *Server) gate(svc Service) *gate {
	switch svc {
	case TableService:
		return &srv.table.gate
	case ObjectService:
		return &srv.objects.gate
	default:
		return &srv.list.gate
	}
}

func (srv *Server) run(web *http.Server, lis net.Listener) {
	defer srv.done.Done()
	if err := web.Serve(lis); !errors.Is(err, http.ErrServerClosed) {
		panic(fmt.Sprintf("stand-in server on %v: %v", lis.Addr(), err))
	}
}
