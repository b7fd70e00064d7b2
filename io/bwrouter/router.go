package bwrouter

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"bilberrywick/core/bwaction"
	"bilberrywick/core/bwadmit"
	"bilberrywick/core/bwmember"
	"bilberrywick/core/bwmodel"
	"bilberrywick/core/bwretry"
	"bilberrywick/core/bwroute"
	"bilberrywick/io/bwfleet"
	"bilberrywick/io/bwhttp"
	"bilberrywick/io/bwobserve"
	"bilberrywick/io/bwprocess"
	"bilberrywick/io/bwrpc"
	"bilberrywick/io/bwsettings"
	"bilberrywick/io/bwwire"
)

// Router is the router process: it serves callers, other routers and operators.
type Router struct {
	cfg         Config
	proc        *bwprocess.Process
	services    *Services
	records     *Records
	duties      *Duties
	generations *Generations
	actions     *Actions
	calls       *Calls
	batcher     *bwaction.Batcher
	recorder    *bwaction.Recorder
	actionRows  *actionTable
	callers     *bwhttp.Server
	operators   *bwhttp.Server
	keys        keyIndex
	// applied says that the router serves by the state that it has read.
	applied atomic.Bool
}

// Config configures a Router.
type Config struct {
	Settings bwsettings.Router
	Version  string
	// LogOutput receives the log, one JSON object a line.
	LogOutput io.Writer
	// RoutePolicy, Order and Hedge are the policies of choice, admission and hedging;
	// the zero values are the defaults.
	RoutePolicy bwroute.Policy
	AdmitPolicy bwadmit.Policy
	HedgePolicy func(bwretry.Latencies) (time.Duration, bool)
	// NoResume ends a generation whose engine fails, as a baseline.
	NoResume bool
	// Duties are the times of control duties; the zero values are the defaults.
	Duties DutyTiming
	// OnResume is told of each resumed generation; may be nil.
	OnResume func(cause string, took time.Duration, recomputed int)
	// Dial and Listen replace TCP, for tests that break connections; nil means TCP.
	Dial   func(ctx context.Context, addr netip.AddrPort) (net.Conn, error)
	Listen func(ctx context.Context, addr netip.AddrPort) (net.Listener, error)
	// CertificateReloadInterval separates two readings of certificate files; 0 means 30 s.
	CertificateReloadInterval time.Duration
	// Now reads a clock; nil means time.Now.
	Now func() time.Time
}

// New opens the router's listeners and returns a router that has not started,
// or an error that names what could not be set up.
func New(cfg Config) (*Router, error) {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	rtr := &Router{cfg: cfg}
	proc, err := bwprocess.New(bwprocess.Config{
		Role:           bwmodel.RouterRole,
		Refusing:       rtr.refusing,
		Gauges:         rtr.setGauges,
		Settings:       cfg.Settings.Common(),
		Version:        cfg.Version,
		LogOutput:      cfg.LogOutput,
		Dial:           cfg.Dial,
		Listen:         cfg.Listen,
		ReloadInterval: cfg.CertificateReloadInterval,
		Now:            cfg.Now,
	})
	if err != nil {
		return nil, err
	}
	rtr.proc = proc
	if err := rtr.build(); err != nil {
		return nil, errors.Join(err, proc.Close())
	}
	if err := rtr.listen(); err != nil {
		return nil, errors.Join(err, proc.Close())
	}
	return rtr, nil
}

// CallerAddress returns where callers reach the router.
func (rtr *Router) CallerAddress() netip.AddrPort { return rtr.callers.Address() }

// OperatorAddress returns where operators reach the router.
func (rtr *Router) OperatorAddress() netip.AddrPort { return rtr.operators.Address() }

// Member returns the router's own member.
func (rtr *Router) Member() bwmodel.Member { return rtr.proc.Self }

// Fleet returns the router's view of tickets and members.
func (rtr *Router) Fleet() *bwfleet.Fleet { return rtr.proc.Fleet }

// Services returns the services that the router routes to.
func (rtr *Router) Services() *Services { return rtr.services }

// Metrics returns the router's metrics.
func (rtr *Router) Metrics() *bwobserve.Metrics { return rtr.proc.Metrics }

// Start runs the router until Stop or the end of the context.
func (rtr *Router) Start(ctx context.Context) {
	ctx, changes := rtr.proc.Start(ctx)
	rtr.services.Start(ctx)
	rtr.records.Start(ctx)
	rtr.generations.Start(ctx)
	rtr.batcher.Start(ctx)
	rtr.recorder.Start(ctx)
	rtr.proc.Follow(ctx, changes, rtr.follow)
	rtr.operators.Start()
	rtr.callers.Start()
	rtr.proc.Log.Info("router started", "Callers", rtr.CallerAddress(), "Peers", rtr.proc.Self.Address, "Operators", rtr.OperatorAddress())
}

// Ready returns why the router takes no new work, and nil when it does.
func (rtr *Router) Ready() error { return rtr.proc.Ready() }

// refusing returns why the router takes no new work although its process does.
func (rtr *Router) refusing() error {
	if !rtr.applied.Load() {
		return errNotApplied
	}
	return nil
}

var errNotApplied = errors.New("the state was read and is being taken into force")

// StopRequested is closed when an operator has asked the router to end.
func (rtr *Router) StopRequested() <-chan struct{} { return rtr.proc.StopRequested() }

// Stop takes no new work, lets the work in progress end within the drain time
// and then ends the router. Generations that are open shortly before the drain
// time is over are handed over to other routers.
func (rtr *Router) Stop(ctx context.Context) error {
	rtr.proc.BeginStop()
	drain, cancel := context.WithTimeout(ctx, rtr.cfg.Settings.DrainTime)
	defer cancel()
	patience := time.AfterFunc(rtr.cfg.Settings.DrainTime-handOverTime(rtr.cfg.Settings.DrainTime), rtr.generations.HandOver)
	defer patience.Stop()
	err := rtr.proc.Fleet.AnnounceLeaving(drain)
	err = errors.Join(err, rtr.callers.Shutdown(drain))
	err = errors.Join(err, rtr.proc.Stop(), rtr.operators.Close())
	// The leases are given up, so that other routers need not wait for their end.
	rtr.duties.Wait()
	rtr.proc.Log.Info("router stopped", "Error", err)
	return err
}

// maxHandOver is twice the interval at which http.Server looks for connections
// that have become idle.
const maxHandOver = time.Second

// handOverTime returns the part of the drain time kept for handing over.
func handOverTime(drain time.Duration) time.Duration { return min(maxHandOver, drain/2) }

// Kill ends the router at once, as the death of its VM would.
func (rtr *Router) Kill() error {
	return errors.Join(rtr.callers.Close(), rtr.proc.Stop(), rtr.operators.Close())
}

// listen opens the listeners for callers and operators.
func (rtr *Router) listen() error {
	set := rtr.cfg.Settings
	var err error
	rtr.callers, err = rtr.proc.Listen(bwprocess.Listener{
		Address: set.Callers.Address,
		TLS:     set.Callers.TLS,
		Bounds:  set.Callers.Bounds,
		Handler: rtr.callerHandler(),
		Fail:    failRequest,
	})
	if err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	rtr.operators, err = rtr.proc.ListenOperators(rtr.administration())
	if err != nil {
		return errors.Join(fmt.Errorf("listen for operators: %w", err), rtr.callers.Close())
	}
	return nil
}

// build creates the parts that decide, and those that serve other routers.
func (rtr *Router) build() error {
	rtr.services = NewServices(ServicesConfig{
		Self:        rtr.proc.Self,
		Client:      rtr.proc.Client,
		RoutePolicy: rtr.cfg.RoutePolicy,
		AdmitPolicy: rtr.cfg.AdmitPolicy,
		Hedge:       bwretry.HedgeConfig{Now: rtr.cfg.Now, Policy: rtr.cfg.HedgePolicy},
		StateNumber: rtr.proc.StateNumber,
		OnReport:    rtr.heardAgent,
		Metrics:     rtr.proc.Metrics,
		Now:         rtr.cfg.Now,
		Log:         rtr.proc.Log,
	})
	rtr.records = NewRecords(RecordsConfig{Client: rtr.proc.Client, Now: rtr.cfg.Now, Log: rtr.proc.Log})
	rtr.records.Register(rtr.proc.Server)
	orders := &countingOrders{
		order:   caller[bwwire.OrderRequest, bwwire.OrderResponse](rtr.proc.Client, bwwire.AgentOrder),
		metrics: rtr.proc.Metrics,
	}
	rtr.duties = NewDuties(DutiesConfig{
		Self:          rtr.proc.Self,
		Snapshot:      rtr.proc.Fleet.Snapshot,
		Services:      rtr.services,
		Table:         rtr.proc.Store.Table,
		SendOrder:     orders.give,
		OnLeaseChange: rtr.leaseChanged,
		SendReport:    caller[bwwire.DemandReport, bwwire.DemandResponse](rtr.proc.Client, bwwire.PeerDemand),
		Timing:        rtr.cfg.Duties,
		WeightRate:    float64(rtr.cfg.Settings.Placement.WeightBytesPerSecond),
		Now:           rtr.cfg.Now,
		Log:           rtr.proc.Log,
	})
	bwrpc.HandleUnary(rtr.proc.Server, bwwire.PeerDemand, rtr.duties.HandleDemandReport)
	return rtr.buildTraffic()
}

func (rtr *Router) setGauges() { rtr.duties.setGauges(rtr.proc.Metrics) }

func (rtr *Router) leaseChanged(duty string, held bool) {
	event := "Lost"
	if held {
		event = "Acquired"
	}
	rtr.proc.Metrics.LeaseChanges.With(duty, event).Inc()
}

// heardAgent takes the evidence that an agent's report carries.
func (rtr *Router) heardAgent(rep AgentReport) {
	mem := rep.Member
	// An agent whose upstream a ticket drains may return, while a member that is
	// leaving never does; it says so itself in an exchange.
	mem.Leaving = false
	rtr.proc.Fleet.RecordContact(mem, rep.StateNumber)
	rtr.proc.Fleet.RecordTicketNumber(rep.StateNumber, rep.Upstream.Agent)
	held := rtr.records.View()
	rtr.proc.Metrics.RecordsHeld.Set(float64(held.Held))
	rtr.proc.Metrics.RecordBytes.Set(float64(held.HeldBytes))
}

// holder returns the router that holds a request's copy.
func (rtr *Router) holder(id bwmodel.RequestID, exclude []netip.AddrPort) (netip.AddrPort, bool) {
	for _, mem := range bwmember.RecordHolders(rtr.proc.Self, rtr.proc.Fleet.Snapshot().Members, id) {
		if !slices.Contains(exclude, mem.Address) {
			return mem.Address, true
		}
	}
	return netip.AddrPort{}, false
}

// known reports whether an address belongs to a member or to an upstream's agent.
func (rtr *Router) known(addr netip.AddrPort) bool {
	snap := rtr.proc.Fleet.Snapshot()
	for _, ent := range snap.Members {
		if ent.Member.Address == addr {
			return true
		}
	}
	for _, ent := range snap.State.Upstreams() {
		if ent.Object.Agent == addr {
			return true
		}
	}
	return addr == rtr.proc.Self.Address
}

// follow takes each change of the fleet's view into force.
func (rtr *Router) follow(ctx context.Context) {
	snap := rtr.proc.Fleet.Snapshot()
	routers := 1
	for _, ent := range snap.Members {
		if ent.Member.Role == bwmodel.RouterRole && ent.Status == bwmember.Live {
			routers++
		}
	}
	objects := RoutingObjects{Routers: routers}
	for _, ent := range snap.State.Services() {
		objects.Services = append(objects.Services, ent.Object)
	}
	for _, ent := range snap.State.Teams() {
		objects.Teams = append(objects.Teams, ent.Object)
	}
	for _, ent := range snap.State.Upstreams() {
		objects.Upstreams = append(objects.Upstreams, ent.Object)
	}
	if err := rtr.services.Update(ctx, objects); err != nil && ctx.Err() == nil {
		rtr.proc.Log.Error("taking a ticket into force failed", "Number", snap.State.Number(), "Error", err)
	}
	if snap.StateLoaded || snap.State.Number() > 0 {
		// After the services, so that no team is let in before what it may call is known.
		rtr.keys.set(bwhttp.NewKeyIndex(objects.Teams))
	}
	if err := rtr.duties.Update(ctx, objects.Services); err != nil {
		rtr.proc.Log.Error("starting control duties failed", "Error", err)
	}
	if snap.StateLoaded {
		rtr.applied.Store(true)
	}
}

func newRequestID() bwmodel.RequestID {
	var id bwmodel.RequestID
	_, _ = rand.Read(id[:])
	return id
}
