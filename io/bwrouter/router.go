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

// Router is the router process, which serves callers, other routers and operators.
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
	// applied is set once the router uses the ticket state that it has read.
	applied atomic.Bool
}

// Config configures a Router.
type Config struct {
	Settings bwsettings.Router
	Version  string
	// LogOutput receives the log, one JSON object per line.
	LogOutput io.Writer
	// RoutePolicy, AdmitPolicy and HedgePolicy are the policies for the choice of
	// upstreams, admission and hedging; the zero values mean the defaults.
	RoutePolicy bwroute.Policy
	AdmitPolicy bwadmit.Policy
	HedgePolicy func(bwretry.Latencies) (time.Duration, bool)
	// NoResume ends a generation when its engine fails; used as a baseline.
	NoResume bool
	// Duties configures the times of control duties; zero values mean the defaults.
	Duties DutyTiming
	// OnResume is called with each resumed generation; may be nil.
	OnResume func(cause string, latency time.Duration, recomputed int)
	// Dial and Listen replace TCP, for tests that break connections; nil means TCP.
	Dial   func(ctx context.Context, addr netip.AddrPort) (net.Conn, error)
	Listen func(ctx context.Context, addr netip.AddrPort) (net.Listener, error)
	// CertificateReloadInterval is how often certificate files are read; 0 means 30 s.
	CertificateReloadInterval time.Duration
	// Now returns the current time; nil means time.Now.
	Now func() time.Time
}

// New opens the router's listeners and returns a router that Start runs, or an
// error that names the part that failed.
func New(cfg Config) (*Router, error) {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	rtr := &Router{cfg: cfg}
	proc, err := bwprocess.New(bwprocess.Config{
		Role:                      bwmodel.RouterRole,
		CheckReady:                rtr.notReadyReason,
		UpdateGauges:              rtr.setGauges,
		Settings:                  cfg.Settings.Common(),
		Version:                   cfg.Version,
		LogOutput:                 cfg.LogOutput,
		Dial:                      cfg.Dial,
		Listen:                    cfg.Listen,
		CertificateReloadInterval: cfg.CertificateReloadInterval,
		Now:                       cfg.Now,
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

// CallerAddress returns the address of the callers' listener.
func (rtr *Router) CallerAddress() netip.AddrPort { return rtr.callers.Address() }

// OperatorAddress returns the address of the operators' listener.
func (rtr *Router) OperatorAddress() netip.AddrPort { return rtr.operators.Address() }

// Member returns the router as a member of the fleet.
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
	rtr.proc.ApplyChanges(ctx, changes, rtr.applyState)
	rtr.operators.Start()
	rtr.callers.Start()
	rtr.proc.Log.Info("router started", "Callers", rtr.CallerAddress(), "Peers", rtr.proc.Self.Address, "Operators", rtr.OperatorAddress())
}

// Ready returns nil when the router accepts new work, and the reason otherwise.
func (rtr *Router) Ready() error { return rtr.proc.CheckReady() }

// notReadyReason returns why the router accepts no new work although its process is
// ready, or nil.
func (rtr *Router) notReadyReason() error {
	if !rtr.applied.Load() {
		return errNotApplied
	}
	return nil
}

var errNotApplied = errors.New("the state was read and is being taken into force")

// StopRequested returns a channel that is closed when an operator requests a stop.
func (rtr *Router) StopRequested() <-chan struct{} { return rtr.proc.StopRequested() }

// Stop refuses new work, lets the work in progress finish within the drain time and
// then stops the router. Generations that are still open shortly before the end of
// the drain time are handed over to other routers.
func (rtr *Router) Stop(ctx context.Context) error {
	rtr.proc.BeginStop()
	drain, cancel := context.WithTimeout(ctx, rtr.cfg.Settings.DrainTime)
	defer cancel()
	handOver := time.AfterFunc(rtr.cfg.Settings.DrainTime-handOverTime(rtr.cfg.Settings.DrainTime), rtr.generations.HandOver)
	defer handOver.Stop()
	err := rtr.proc.Fleet.AnnounceLeaving(drain)
	err = errors.Join(err, rtr.callers.Shutdown(drain))
	err = errors.Join(err, rtr.proc.Stop(), rtr.operators.Close())
	// Wait until the leases are released, so that other routers need not wait for their expiry.
	rtr.duties.Wait()
	rtr.proc.Log.Info("router stopped", "Error", err)
	return err
}

// maxHandOverTime is twice the interval at which http.Server.Shutdown checks for
// idle connections.
const maxHandOverTime = time.Second

// handOverTime returns the part of the drain time that is reserved for handing over.
func handOverTime(drain time.Duration) time.Duration { return min(maxHandOverTime, drain/2) }

// Kill stops the router at once, like a failure of its VM.
func (rtr *Router) Kill() error {
	return errors.Join(rtr.callers.Close(), rtr.proc.Stop(), rtr.operators.Close())
}

// listen opens the listeners for callers and operators.
func (rtr *Router) listen() error {
	set := rtr.cfg.Settings
	var err error
	rtr.callers, err = rtr.proc.Listen(bwprocess.ListenerConfig{
		Address:      set.Callers.Address,
		TLS:          set.Callers.TLS,
		Limits:       set.Callers.Bounds,
		Handler:      rtr.callerHandler(),
		ErrorHandler: failRequest,
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

// build creates the router's components, those for callers last.
func (rtr *Router) build() error {
	rtr.services = NewServices(ServicesConfig{
		Self:        rtr.proc.Self,
		Client:      rtr.proc.Client,
		RoutePolicy: rtr.cfg.RoutePolicy,
		AdmitPolicy: rtr.cfg.AdmitPolicy,
		Hedge:       bwretry.HedgeConfig{Now: rtr.cfg.Now, Policy: rtr.cfg.HedgePolicy},
		StateNumber: rtr.proc.StateNumber,
		OnReport:    rtr.recordAgentReport,
		Metrics:     rtr.proc.Metrics,
		Now:         rtr.cfg.Now,
		Log:         rtr.proc.Log,
	})
	rtr.records = NewRecords(RecordsConfig{Client: rtr.proc.Client, Now: rtr.cfg.Now, Log: rtr.proc.Log})
	rtr.records.Register(rtr.proc.Server)
	orders := &countingOrders{
		sendOrder: newRPCCall[bwwire.OrderRequest, bwwire.OrderResponse](rtr.proc.Client, bwwire.AgentOrder),
		metrics:   rtr.proc.Metrics,
	}
	rtr.duties = NewDuties(DutiesConfig{
		Self:          rtr.proc.Self,
		Snapshot:      rtr.proc.Fleet.Snapshot,
		Services:      rtr.services,
		Table:         rtr.proc.Store.Table,
		SendOrder:     orders.send,
		OnLeaseChange: rtr.countLeaseChange,
		SendReport:    newRPCCall[bwwire.DemandReport, bwwire.DemandResponse](rtr.proc.Client, bwwire.PeerDemand),
		Timing:        rtr.cfg.Duties,
		WeightRate:    float64(rtr.cfg.Settings.Placement.WeightBytesPerSecond),
		Now:           rtr.cfg.Now,
		Log:           rtr.proc.Log,
	})
	bwrpc.HandleUnary(rtr.proc.Server, bwwire.PeerDemand, rtr.duties.HandleDemandReport)
	return rtr.buildTraffic()
}

func (rtr *Router) setGauges() { rtr.duties.setGauges(rtr.proc.Metrics) }

func (rtr *Router) countLeaseChange(duty string, held bool) {
	event := "Lost"
	if held {
		event = "Acquired"
	}
	rtr.proc.Metrics.LeaseChanges.With(duty, event).Inc()
}

// recordAgentReport records the contact and the ticket number of an agent's report,
// and updates the gauges of held records.
func (rtr *Router) recordAgentReport(rep AgentReport) {
	mem := rep.Member
	// Leaving in a report may only mean that a ticket drains the upstream, which can be
	// undone. A member that leaves for good sets it in an exchange.
	mem.Leaving = false
	rtr.proc.Fleet.RecordContact(mem, rep.StateNumber)
	rtr.proc.Fleet.RecordTicketNumber(rep.StateNumber, rep.Upstream.Agent)
	held := rtr.records.View()
	rtr.proc.Metrics.RecordsHeld.Set(float64(held.Held))
	rtr.proc.Metrics.RecordBytes.Set(float64(held.HeldBytes))
}

// chooseHolder returns the router that should hold the copy of a request's record.
func (rtr *Router) chooseHolder(id bwmodel.RequestID, exclude []netip.AddrPort) (netip.AddrPort, bool) {
	for _, mem := range bwmember.RecordHolders(rtr.proc.Self, rtr.proc.Fleet.Snapshot().Members, id) {
		if !slices.Contains(exclude, mem.Address) {
			return mem.Address, true
		}
	}
	return netip.AddrPort{}, false
}

// isKnownAddress reports whether an address belongs to a member or to an upstream's agent.
func (rtr *Router) isKnownAddress(addr netip.AddrPort) bool {
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

// applyState applies the current snapshot of the fleet to the router's components.
func (rtr *Router) applyState(ctx context.Context) {
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
		rtr.proc.Log.Error("applying a ticket failed", "Number", snap.State.Number(), "Error", err)
	}
	if snap.StateLoaded || snap.State.Number() > 0 {
		// The keys are set after the services, so that no team is accepted before its
		// services are known.
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
