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
	"bilberrywick/core/bwmodel"
)

// Gateway handles callers' requests. It is safe for concurrent use.
type Gateway struct {
	cfg Config
	// draining is set when the process begins to stop.
	draining atomic.Bool
	// stopTime is when the process must exit; nil until SetStopTime is called.
	stopTime       atomic.Pointer[time.Time]
	activeRequests atomic.Int64
	admission      *bwforward.Admission
	plainAdmission *bwforward.PlainAdmission
	ages           bwforward.CallerAges
	lengths        bwforward.StreamLengths

	requestBodies, responseBodies, upstreamHeaders bodyMemory
}

// Config configures a Gateway.
type Config struct {
	Dialect Dialect
	// Table returns the current routing table, or nil if there is none yet.
	Table func() *bwforward.RoutingTable
	Pool  *bwforward.Pool
	// CopyKVCache requests that the engine which runs a request copies its KV cache
	// to another engine, and returns the copy's name; nil means that engines do not
	// support it.
	CopyKVCache func(ctx context.Context, source, target netip.AddrPort, request string) (string, error)
	// DropCopy frees an unused copy; nil means that copies only expire.
	DropCopy func(ctx context.Context, name string) error
	// Identify requests the identity of the upstream at an address, on its service's
	// health path. IdentifyModelEngine does the same for a model engine, and returns
	// ErrNoModelEngine if the upstream is none.
	Identify, IdentifyModelEngine func(ctx context.Context, addr netip.AddrPort, path string) (Identity, error)
	// ListUnavailable reports whether the list of upstreams can't be read.
	ListUnavailable func() bool
	// OnSuccessor is called with an upstream that responds at the address of another
	// one. Identify, IdentifyModelEngine, ListUnavailable and OnSuccessor may be nil.
	OnSuccessor func(ctx context.Context, old bwforward.Upstream, now bwforward.Successor)
	// ReuseTime is the time after the end of an upstream in which no upstream of another
	// service gets its address; 0 means none.
	ReuseTime time.Duration
	// Uptime returns the time since the start of the VM, in which it may have been
	// suspended, or 0 if that is not known; nil means the system's clock.
	Uptime func() time.Duration
	// SendNote sends a note to the other gateways; nil means that there are no
	// others.
	SendNote func(bwforward.PeerNote)
	// Dial opens connections to upstreams; nil means TCP.
	Dial DialFunc
	// Quarantine finds the parts of prompts that crash engines; nil means a new one.
	Quarantine *bwforward.Quarantine
	// OnQuarantine is called when the parts change that this gateway has put into
	// quarantine; it may be nil.
	OnQuarantine func()
	// Budgets limits retries.
	Budgets *bwforward.RetryBudgets
	// Borrow requests an amount of a service's retry budget from other gateways, and
	// reports whether isEnough returned true for the sum of their loans; nil means
	// that there are no others.
	Borrow func(ctx context.Context, svc bwmodel.ServiceID, amount float64, isEnough func(sum float64) bool) bool
	// TakePermit takes a permit for a request to an upstream that names a limit, in
	// requests a second; nil means that all requests are permitted.
	TakePermit func(ctx context.Context, up bwmodel.UpstreamID, limit float64) Permit
	// Rollouts says which versions of upstreams requests may use; nil means that versions
	// are ignored.
	Rollouts *Rollouts
	// MaxBodyBytes bounds a request's body if the routing table sets no limit; 0
	// means 4 MiB.
	MaxBodyBytes int64
	// BodyMemoryBytes bounds the bodies of all requests and plain responses that are
	// held at a time, half of it for each; 0 means 32 MiB. A request that would exceed
	// it is refused.
	BodyMemoryBytes int64
	// HeaderMemoryBytes bounds the memory of the headers that upstreams are sending; 0
	// means 8 MiB.
	HeaderMemoryBytes int64
	Metrics           *Metrics
	Now               func() time.Time
	Log               *slog.Logger
}

const (
	// defaultMaxBodyBytes is the limit of current deployments.
	defaultMaxBodyBytes    = 4 << 20
	defaultBodyMemoryBytes = 32 << 20
	// defaultHeaderMemoryBytes is what more than a thousand ordinary headers need.
	defaultHeaderMemoryBytes = 8 << 20
)

// New returns a Gateway, or an error if a required field is not set.
func New(cfg Config) (*Gateway, error) {
	if cfg.Table == nil || cfg.Pool == nil || cfg.Budgets == nil {
		return nil, errors.New("gateway: Table, Pool or Budgets is not set")
	}
	dlc := cfg.Dialect
	if dlc.ParseRequest == nil || dlc.UpstreamHeaders == nil || dlc.ParseResponse == nil || dlc.AddRefusalHeaders == nil || dlc.CopyName == nil {
		return nil, errors.New("gateway: a function field of Dialect is not set")
	}
	if cfg.Dial == nil {
		cfg.Dial = dialTCP
	}
	if cfg.SendNote == nil {
		cfg.SendNote = func(bwforward.PeerNote) {}
	}
	if cfg.Borrow == nil {
		cfg.Borrow = func(context.Context, bwmodel.ServiceID, float64, func(float64) bool) bool { return false }
	}
	if cfg.TakePermit == nil {
		cfg.TakePermit = func(context.Context, bwmodel.UpstreamID, float64) Permit {
			return Permit{PermitAnswer: bwforward.PermitAnswer{Granted: true}, Outcome: PermitGranted}
		}
	}
	if cfg.MaxBodyBytes == 0 {
		cfg.MaxBodyBytes = defaultMaxBodyBytes
	}
	if cfg.Metrics == nil {
		cfg.Metrics = NewMetrics()
	}
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.Uptime == nil {
		cfg.Uptime = uptime
	}
	if cfg.Quarantine == nil {
		cfg.Quarantine = bwforward.NewQuarantine(bwforward.QuarantineConfig{Now: cfg.Now})
	}
	if cfg.OnQuarantine == nil {
		cfg.OnQuarantine = func() {}
	}
	if cfg.Log == nil {
		cfg.Log = slog.New(slog.DiscardHandler)
	}
	if cfg.BodyMemoryBytes == 0 {
		cfg.BodyMemoryBytes = defaultBodyMemoryBytes
	}
	if cfg.HeaderMemoryBytes == 0 {
		cfg.HeaderMemoryBytes = defaultHeaderMemoryBytes
	}
	gw := &Gateway{cfg: cfg, admission: bwforward.NewAdmission(bwforward.AdmissionConfig{Pool: cfg.Pool, Now: cfg.Now})}
	gw.plainAdmission = bwforward.NewPlainAdmission(bwforward.PlainAdmissionConfig{Pool: cfg.Pool, Gateways: cfg.Budgets.GatewayCount, Now: cfg.Now})
	gw.SetBodyMemory(cfg.BodyMemoryBytes)
	gw.SetHeaderMemory(cfg.HeaderMemoryBytes)
	return gw, nil
}

// SetHeaderMemory changes the limit of Config.HeaderMemoryBytes.
func (gw *Gateway) SetHeaderMemory(size int64) { gw.upstreamHeaders.limit.Store(size) }

// SetBodyMemory changes the limit of Config.BodyMemoryBytes.
func (gw *Gateway) SetBodyMemory(size int64) {
	gw.requestBodies.limit.Store(size / 2)
	gw.responseBodies.limit.Store(size / 2)
}

// Ready reports whether the gateway has a routing table and is not draining.
func (gw *Gateway) Ready() bool { return gw.cfg.Table() != nil && !gw.draining.Load() }

// StartDrain makes the gateway not ready. Each caller's connection closes
// after its next response.
func (gw *Gateway) StartDrain() { gw.draining.Store(true) }

// SetStopTime makes the gateway refuse new requests whose deadline is after a
// time.
func (gw *Gateway) SetStopTime(stopTime time.Time) { gw.stopTime.Store(&stopTime) }

// ActiveRequests returns the number of requests in progress.
func (gw *Gateway) ActiveRequests() int { return int(gw.activeRequests.Load()) }

// ServeHTTP handles one request of a caller.
func (gw *Gateway) ServeHTTP(wrt http.ResponseWriter, req *http.Request) {
	cl := &call{
		gw:           gw,
		wrt:          wrt,
		ctx:          req.Context(),
		arrived:      gw.cfg.Now(),
		info:         gw.cfg.Dialect.ParseRequest(req.Header),
		callerHeader: req.Header,
		out:          outgoingRequest{method: req.Method, target: req.RequestURI, host: req.Host},
		requestBody:  bodyHolder{memory: &gw.requestBodies},
	}
	cl.responseBodies = bodyHolder{memory: &gw.responseBodies, isResponse: true}
	defer cl.requestBody.release()
	defer cl.responseBodies.release()
	if gw.draining.Load() {
		wrt.Header().Set("Connection", "close")
	}
	gw.activeRequests.Add(1)
	defer gw.activeRequests.Add(-1)
	defer cl.logEnd()
	tbl := cl.awaitTable()
	if tbl == nil {
		cl.refuseFor(http.StatusServiceUnavailable, "no state known", bwforward.SpreadRetryAfter(statelessRetryAfter))
		return
	}
	cl.stateVersion = tbl.Version()
	mt, err := tbl.Find(req.Host, requestPath(req.RequestURI), cl.info.Key)
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
	if stopTime := gw.stopTime.Load(); stopTime != nil && cl.deadline.After(*stopTime) {
		cl.refuse(http.StatusServiceUnavailable, "stopping")
		return
	}
	gw.cfg.Budgets.CountRequest(mt.Service.Name)
	cl.countForRollout()
	if mt.Route.Kind == bwforward.EventStream {
		cl.serveStream()
		return
	}
	cl.servePlain()
}

// recordFailure records that an upstream could not be reached or did not complete
// its response, notifies the other gateways if they should avoid it too, and
// searches for a successor.
func (gw *Gateway) recordFailure(nd *bwforward.Node, notify bool) {
	nd.RecordFailure(gw.cfg.Now())
	if notify {
		gw.cfg.SendNote(bwforward.PeerNote{Kind: bwforward.FailureNote, Upstream: nd.ID})
	}
	gw.searchSuccessor(nd)
}

// requestPath returns the path of a request target, without decoding it.
func requestPath(target string) string {
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

// keepAliveTimeout is the time without acknowledged keep-alive probes that
// closes a connection. It is longer than the gaps that streams may have.
const keepAliveTimeout = 3 * time.Second

func dialTCP(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	dlr := net.Dialer{KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: int(keepAliveTimeout / time.Second)}}
	return dlr.DialContext(ctx, "tcp4", addr.String())
}
