package bwagent

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"time"

	"bilberrywick/core/bwaction"
	"bilberrywick/core/bwlease"
	"bilberrywick/core/bwmodel"
	"bilberrywick/io/bwadmin"
	"bilberrywick/io/bwengine"
	"bilberrywick/io/bwfleet"
	"bilberrywick/io/bwhttp"
	"bilberrywick/io/bwprocess"
	"bilberrywick/io/bwsettings"
	"bilberrywick/io/bwstore"
	"bilberrywick/io/bwwire"
)

// Agent is the agent process of one upstream, a model engine or a plain service.
type Agent struct {
	cfg      Config
	proc     *bwprocess.Process
	reporter *Reporter
	// generations and orders are set for a model engine, actions and calls for a plain service.
	generations *Generations
	orders      *Orders
	actions     *Actions
	calls       *Calls
	operators   *bwhttp.Server
}

// Config configures an Agent.
type Config struct {
	Settings bwsettings.Agent
	Version  string
	// LogOutput receives the log, one JSON object per line.
	LogOutput io.Writer
	// Dial and Listen replace TCP in tests that break connections; nil means TCP.
	Dial   func(ctx context.Context, addr netip.AddrPort) (net.Conn, error)
	Listen func(ctx context.Context, addr netip.AddrPort) (net.Listener, error)
	// CertificateReloadInterval is the time between two reads of the certificate
	// files; 0 means 30 s.
	CertificateReloadInterval time.Duration
	// Now returns the current time; nil means time.Now.
	Now func() time.Time
}

// drainPollInterval is the time between two checks whether the work of a stopping
// agent has ended.
const drainPollInterval = 50 * time.Millisecond

// New opens the agent's listeners and returns an agent that has not started. An
// error names the part that could not be set up.
func New(cfg Config) (*Agent, error) {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	agt := &Agent{cfg: cfg}
	proc, err := bwprocess.New(bwprocess.Config{
		Role:                      bwmodel.AgentRole,
		Settings:                  cfg.Settings.Common(),
		Version:                   cfg.Version,
		LogOutput:                 cfg.LogOutput,
		Dial:                      cfg.Dial,
		Listen:                    cfg.Listen,
		CertificateReloadInterval: cfg.CertificateReloadInterval,
		CheckReady:                agt.leavingError,
		Now:                       cfg.Now,
	})
	if err != nil {
		return nil, err
	}
	agt.proc = proc
	agt.buildHandlers()
	agt.reporter.Register(proc.Server)
	agt.operators, err = proc.ListenOperators(agt.administration())
	if err != nil {
		return nil, errors.Join(fmt.Errorf("listen for operators: %w", err), proc.Close())
	}
	return agt, nil
}

// Address returns the address on which the agent serves other processes.
func (agt *Agent) Address() netip.AddrPort { return agt.proc.Self.Address }

// OperatorAddress returns the address of the agent's administration API.
func (agt *Agent) OperatorAddress() netip.AddrPort { return agt.operators.Address() }

// Fleet returns the agent's view of tickets and members.
func (agt *Agent) Fleet() *bwfleet.Fleet { return agt.proc.Fleet }

// Start runs the agent until Stop is called or the context ends.
func (agt *Agent) Start(ctx context.Context) {
	ctx, changes := agt.proc.Start(ctx)
	if agt.generations != nil {
		agt.generations.Start(ctx)
		agt.orders.Start(ctx)
	}
	if agt.actions != nil {
		agt.actions.Start(ctx)
	}
	agt.reporter.Start(ctx)
	agt.proc.ApplyChanges(ctx, changes, agt.updateLeaving)
	agt.operators.Start()
	agt.proc.Log.Info("agent started", "Address", agt.Address(), "Upstream", agt.cfg.Settings.Upstream.Name, "Operators", agt.OperatorAddress())
}

// Stop refuses new work immediately, waits up to the drain time for the work in
// progress and then ends the agent. Generations that still run after nine tenths
// of the drain time are migrated to other engines by their routers.
func (agt *Agent) Stop(ctx context.Context) error {
	drainCtx, cancel := context.WithTimeout(ctx, agt.cfg.Settings.DrainTime)
	defer cancel()
	agt.proc.BeginStop()
	err := agt.reporter.SetLeaving(drainCtx, true)
	err = errors.Join(err, agt.proc.Fleet.AnnounceLeaving(drainCtx))
	if agt.generations != nil {
		err = errors.Join(err, agt.drainGenerations(drainCtx))
	}
	err = errors.Join(err, agt.waitIdle(drainCtx))
	err = errors.Join(err, agt.proc.Stop(), agt.operators.Close())
	agt.proc.Log.Info("agent stopped", "Error", err)
	return err
}

// Kill ends the agent without a drain, as a failure of its VM would.
func (agt *Agent) Kill() error { return errors.Join(agt.proc.Stop(), agt.operators.Close()) }

// Leaving reports whether the agent refuses new work.
func (agt *Agent) Leaving() bool { return agt.reporter.Snapshot().Leaving }

// drainWaitNumerator and drainWaitDenominator define the part of the drain time
// in which generations can end before the rest is migrated.
const (
	drainWaitNumerator   = 9
	drainWaitDenominator = 10
)

// drainGenerations waits for generations to end and migrates the remaining ones.
func (agt *Agent) drainGenerations(ctx context.Context) error {
	waitCtx, cancel := context.WithTimeout(ctx, agt.cfg.Settings.DrainTime*drainWaitNumerator/drainWaitDenominator)
	defer cancel()
	if agt.waitIdle(waitCtx) == nil {
		return nil
	}
	return agt.generations.MigrateAll(ctx)
}

// waitIdle waits until no request is pending, or returns an error that wraps the
// context's error.
func (agt *Agent) waitIdle(ctx context.Context) error {
	tick := time.NewTicker(drainPollInterval)
	defer tick.Stop()
	for agt.pendingRequests() > 0 {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return fmt.Errorf("%d requests in progress after the drain time: %w", agt.pendingRequests(), ctx.Err())
		}
	}
	return nil
}

// pendingRequests counts what Stop waits for: the work in progress, and the unary
// requests, such as lookups and actions, whose responses are not yet sent.
func (agt *Agent) pendingRequests() int { return agt.inProgress() + agt.proc.Server.OpenCalls() }

func (agt *Agent) inProgress() int {
	count := 0
	if agt.generations != nil {
		count += agt.generations.Snapshot().Running
	}
	if agt.actions != nil {
		count += agt.actions.Snapshot().Running
	}
	return count
}

// buildHandlers creates the RPC handlers for the kind of upstream and the reporter.
func (agt *Agent) buildHandlers() {
	ups := agt.cfg.Settings.Upstream
	reporterCfg := ReporterConfig{
		Member:        agt.proc.Self,
		Upstream:      ups.Name,
		Service:       ups.Service,
		StateNumber:   agt.proc.StateNumber,
		OnStateNumber: agt.recordStateNumber,
		Now:           agt.cfg.Now,
		StartTime:     agt.proc.StartTime,
		Log:           agt.proc.Log,
	}
	if ups.ServiceKind() == bwmodel.ModelService {
		eng := bwengine.NewEngineClient(bwengine.EngineClientConfig{Address: ups.Address, Dial: agt.cfg.Dial})
		reporterCfg.ReadLoad, reporterCfg.ReadCacheEvents = eng.ReadLoad, eng.ReadCacheEvents
		agt.generations = NewGenerations(GenerationsConfig{
			Generate:    eng.Generate,
			Slots:       ups.Slots,
			Address:     agt.proc.Self.Address,
			Leaving:     agt.Leaving,
			StateNumber: agt.proc.StateNumber,
			Now:         agt.cfg.Now,
			Log:         agt.proc.Log,
		})
		agt.generations.Register(agt.proc.Server)
		agt.orders = NewOrders(OrdersConfig{
			Incarnation: agt.proc.Self.Incarnation,
			SendOrder:   eng.SendOrder,
			ReadLease:   agt.readLease,
			Log:         agt.proc.Log,
		})
		agt.orders.Register(agt.proc.Server)
		agt.reporter = NewReporter(reporterCfg)
		return
	}
	svc := bwengine.NewServiceClient(bwengine.ServiceClientConfig{Address: ups.Address, Dial: agt.cfg.Dial})
	agt.reporter = NewReporter(reporterCfg)
	agt.actions = NewActions(ActionsConfig{
		Ledger:      bwaction.LedgerConfig{Incarnation: agt.proc.Self.Incarnation, Now: agt.cfg.Now, Start: agt.proc.StartTime},
		RunAction:   svc.RunAction,
		NotSent:     notSent,
		Leaving:     agt.Leaving,
		StateNumber: agt.proc.StateNumber,
		Slots:       ups.Slots,
		Log:         agt.proc.Log,
	})
	agt.calls = NewCalls(CallsConfig{Call: svc.Call, NotSent: notSent, Leaving: agt.Leaving, StateNumber: agt.proc.StateNumber})
	agt.actions.Register(agt.proc.Server)
	agt.calls.Register(agt.proc.Server)
}

// notSent reports whether err means that nothing was sent to the service.
func notSent(err error) bool { return errors.Is(err, bwengine.ErrNotSent) }

// readLease reads the lease row of a control duty.
func (agt *Agent) readLease(ctx context.Context, duty string) (bwlease.Row, error) {
	if agt.proc.Store.Table == nil {
		return bwlease.Row{}, bwlease.ErrUnavailable
	}
	return bwstore.NewLeaseStore(agt.proc.Store.Table, duty).Read(ctx)
}

// recordStateNumber records the ticket number that a router has sent.
func (agt *Agent) recordStateNumber(num bwmodel.TicketNumber, from bwmodel.MemberID) {
	for _, ent := range agt.proc.Fleet.Snapshot().Members {
		if ent.Member.ID == from {
			agt.proc.Fleet.RecordTicketNumber(num, ent.Member.Address)
			return
		}
	}
}

// administration returns the agent's part of the administration API.
func (agt *Agent) administration() bwprocess.AdminConfig {
	return bwprocess.AdminConfig{
		API:                bwadmin.Config{Upstreams: agt.listUpstreams},
		InProgress:         agt.inProgress,
		UpstreamInProgress: agt.upstreamInProgress,
	}
}

func (agt *Agent) upstreamInProgress(name bwmodel.UpstreamID) int {
	if name != agt.cfg.Settings.Upstream.Name {
		return 0
	}
	return agt.inProgress()
}

// listUpstreams returns a list with the agent's own upstream only.
func (agt *Agent) listUpstreams(context.Context, *struct{}) (*bwadmin.UpstreamList, error) {
	set, view := agt.cfg.Settings.Upstream, agt.reporter.Snapshot()
	status := bwadmin.UpstreamStatus{
		Name:     set.Name,
		Service:  set.Service,
		Region:   agt.proc.Self.Region,
		Zone:     agt.proc.Self.Zone,
		Agent:    agt.proc.Self.Address,
		Health:   bwadmin.HealthyUpstream,
		Running:  view.Load.Running,
		Waiting:  view.Load.Waiting,
		Slots:    set.Slots,
		InFlight: agt.inProgress(),
		Models:   view.Load.Models,
	}
	if !view.MeasuredAt.IsZero() {
		status.ReportAge = bwwire.DurationText(agt.cfg.Now().Sub(view.MeasuredAt))
	}
	switch {
	case view.Leaving:
		status.Health, status.Reason = bwadmin.LeavingUpstream, errLeaving.Error()
	case view.Load.UpstreamIsDown:
		status.Health, status.Reason = bwadmin.DownUpstream, "the upstream does not answer"
	}
	return &bwadmin.UpstreamList{Upstreams: []bwadmin.UpstreamStatus{status}}, nil
}

// StopRequested returns a channel that is closed when an operator has requested
// that the agent stop.
func (agt *Agent) StopRequested() <-chan struct{} { return agt.proc.StopRequested() }

// Ready returns the reason why the agent accepts no new work, or nil when it does.
func (agt *Agent) Ready() error { return agt.proc.CheckReady() }

// leavingError returns errLeaving while the agent is leaving, and nil otherwise.
func (agt *Agent) leavingError() error {
	if agt.Leaving() {
		return errLeaving
	}
	return nil
}

var errLeaving = errors.New("the agent is leaving: a ticket or the platform's list drains its upstream")

// updateLeaving sets the leaving state when a ticket or the platform's list starts
// or ends a drain of the upstream, or when the process stops.
func (agt *Agent) updateLeaving(ctx context.Context) {
	snap := agt.proc.Fleet.Snapshot()
	ups, listed := snap.State.Upstream(agt.cfg.Settings.Upstream.Name)
	leaving := agt.proc.Stopping() || snap.Self.Leaving || (listed && ups.Draining)
	if leaving == agt.Leaving() {
		return
	}
	if err := agt.reporter.SetLeaving(ctx, leaving); err != nil {
		return
	}
	agt.proc.Log.Info("agent leaving state changed", "Leaving", leaving, "Number", snap.State.Number())
}
