package bwgateway

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"time"

	"bilberrywick/core/bwforward"
)

// Gateway answers callers' requests.
type Gateway struct {
	cfg Config
	// leaving is set once the process stops.
	leaving atomic.Bool
	// finish is when the process ends, once it is about to.
	finish atomic.Pointer[time.Time]
	active atomic.Int64
}

// Config configures a Gateway.
type Config struct {
	Dialect Dialect
	// Table returns the state in force; nil means that none is known yet.
	Table func() *bwforward.RoutingTable
	Pool  *bwforward.Pool
	// CopyKVCache asks the engine that runs a request to copy its memory to another
	// engine, and returns the copy's name; nil means that engines can't.
	CopyKVCache func(ctx context.Context, source, target netip.AddrPort, request string) (string, error)
	// DropCopy frees a copy that is not used; nil means that its time frees it.
	DropCopy func(ctx context.Context, name string) error
	// Identify asks what answers at an address, on a service's health path.
	Identify func(ctx context.Context, addr netip.AddrPort, path string) (Identity, error)
	// ListUnavailable reports whether the list of upstreams can't be read.
	ListUnavailable func() bool
	// OnSuccessor is told of an upstream that answers at the address of another
	// one; all three may be nil.
	OnSuccessor func(ctx context.Context, old bwforward.Upstream, now Identity)
	// SendNote sends a note to the other gateways; nil means that there are none.
	SendNote func(bwforward.PeerNote)
	// Dial opens connections to upstreams; nil means TCP.
	Dial DialFunc
	// Budgets bounds the requests that are sent once more.
	Budgets *bwforward.RetryBudgets
	// MaxBodyBytes bounds a request's body where the state has no bound.
	MaxBodyBytes int64
	Metrics      *Metrics
	Now          func() time.Time
	Log          *slog.Logger
}

// defaultMaxBody is the bound of today's deployments.
const defaultMaxBody = 4 << 20

// New returns a Gateway, or an error when a needed field is unset.
func New(cfg Config) (*Gateway, error) {
	if cfg.Table == nil || cfg.Pool == nil || cfg.Budgets == nil {
		return nil, errors.New("gateway: table, pool or budgets are unset")
	}
	dlc := cfg.Dialect
	if dlc.ParseRequest == nil || dlc.UpstreamHeaders == nil || dlc.ParseResponse == nil || dlc.AddRefusalHeaders == nil || dlc.CopyName == nil {
		return nil, errors.New("gateway: a function field of the dialect is unset")
	}
	if cfg.Dial == nil {
		cfg.Dial = dialTCP
	}
	if cfg.SendNote == nil {
		cfg.SendNote = func(bwforward.PeerNote) {}
	}
	if cfg.MaxBodyBytes == 0 {
		cfg.MaxBodyBytes = defaultMaxBody
	}
	if cfg.Metrics == nil {
		cfg.Metrics = NewMetrics()
	}
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.Log == nil {
		cfg.Log = slog.New(slog.DiscardHandler)
	}
	return &Gateway{cfg: cfg}, nil
}

// Ready reports whether callers should be sent here.
func (gw *Gateway) Ready() bool { return gw.cfg.Table() != nil && !gw.leaving.Load() }

// StartDrain makes the gateway not ready; connections close with their next answer.
func (gw *Gateway) StartDrain() { gw.leaving.Store(true) }

// SetStopTime makes the gateway refuse new requests whose callers wait beyond a time.
func (gw *Gateway) SetStopTime(by time.Time) { gw.finish.Store(&by) }

// ActiveRequests returns the number of requests that are not answered yet.
func (gw *Gateway) ActiveRequests() int { return int(gw.active.Load()) }

// ServeHTTP answers one request of a caller.
func (gw *Gateway) ServeHTTP(wrt http.ResponseWriter, req *http.Request) {
	cl := &call{
		gw:      gw,
		wrt:     wrt,
		ctx:     req.Context(),
		arrived: gw.cfg.Now(),
		ask:     gw.cfg.Dialect.ParseRequest(req.Header),
		caller:  req.Header,
		out:     outgoing{method: req.Method, target: req.RequestURI, host: req.Host},
	}
	if gw.leaving.Load() {
		wrt.Header().Set("Connection", "close")
	}
	gw.active.Add(1)
	defer gw.active.Add(-1)
	defer cl.finish()
	tbl := gw.cfg.Table()
	if tbl == nil {
		cl.refuse(http.StatusServiceUnavailable, "no state known")
		return
	}
	cl.version = tbl.Version()
	mt, err := tbl.Find(req.Host, pathOf(req.RequestURI), cl.ask.Key)
	if errors.Is(err, bwforward.ErrNoRoute) {
		cl.refuse(http.StatusNotFound, "no route")
		return
	}
	cl.match = mt
	if err != nil {
		cl.refuse(http.StatusUnauthorized, "unknown key")
		return
	}
	if !cl.readBody(req, tbl.Limits()) {
		return
	}
	cl.setDeadline()
	if by := gw.finish.Load(); by != nil && cl.until.After(*by) {
		cl.refuse(http.StatusServiceUnavailable, "stopping")
		return
	}
	gw.cfg.Budgets.CountRequest(mt.Service.Name)
	if mt.Route.Kind == bwforward.EventStream {
		cl.serveStream()
		return
	}
	cl.servePlain()
}

// failed notes that an upstream could not be reached or broke off, and tells
// the other gateways.
func (gw *Gateway) failed(nd *bwforward.Node) {
	nd.RecordFailure(gw.cfg.Now())
	gw.cfg.SendNote(bwforward.PeerNote{Kind: bwforward.FailureNote, Upstream: nd.ID})
	gw.search(nd)
}

// pathOf returns the path of a request target as it was sent.
func pathOf(target string) string {
	if ix := strings.Index(target, "://"); ix > 0 && target[0] != '/' {
		target = target[ix+len("://"):]
		slash := strings.IndexByte(target, '/')
		if slash < 0 {
			return "/"
		}
		target = target[slash:]
	}
	path, _, _ := strings.Cut(target, "?")
	return path
}

// userTimeout ends a connection whose peer acknowledges nothing. It is above
// the silences that streams are allowed.
const userTimeout = 3 * time.Second

func dialTCP(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	dlr := net.Dialer{KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: int(userTimeout / time.Second)}}
	return dlr.DialContext(ctx, "tcp4", addr.String())
}
