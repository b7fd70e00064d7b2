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

// Agent is the agent process beside one upstream.
type Agent struct {
	cfg      Config
	proc     *bwprocess.Process
	reporter *Reporter
	// generations and orders are set beside a model engine, actions and calls beside a plain service.
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
	// LogOutput receives the log, one JSON object a line.
	LogOutput io.Writer
	// Dial and Listen replace TCP, for tests that break connections; nil means TCP.
	Dial   func(ctx context.Context, addr netip.AddrPort) (net.Conn, error)
	Listen func(ctx context.Context, addr netip.AddrPort) (net.Listener, error)
	// CertificateReloadInterval separates two readings of certificate files; 0 means 30 s.
	CertificateReloadInterval time.Duration
	// Now reads a clock; nil means time.Now.
	Now func() time.Time
}

// drainPoll is how often a stopping agent looks whether its work has ended.
const drainPoll = 50 * time.Millisecond

// New opens the agent's listeners and returns an agent that has not started, or
// an error that names what could not be set up.
func New(cfg Config) (*Agent, error) {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	agt := &Agent{cfg: cfg}
	proc, err := bwprocess.New(bwprocess.Config{
		Role:           bwmodel.AgentRole,
		Settings:       cfg.Settings.Common(),
		Version:        cfg.Version,
		LogOutput:      cfg.LogOutput,
		Dial:           cfg.Dial,
		Listen:         cfg.Listen,
		ReloadInterval: cfg.CertificateReloadInterval,
		Refusing:       agt.refusing,
		Now:            cfg.Now,
	})
	if err != nil {
		return nil, err
	}
	agt.proc = proc
	agt.buildUpstream()
	agt.reporter.Register(proc.Server)
	agt.operators, err = proc.ListenOperators(agt.administration())
	if err != nil {
		return nil, errors.Join(fmt.Errorf("listen for operators: %w", err), proc.Close())
	}
	return agt, nil
}

// Address returns where other processes reach the agent.
func (agt *Agent) Address() netip.AddrPort { return agt.proc.Self.Address }

// OperatorAddress returns where operators reach the agent.
func (agt *Agent) OperatorAddress() netip.AddrPort { return agt.operators.Address() }

// Fleet returns the agent's view of tickets and members.
func (agt *Agent) Fleet() *bwfleet.Fleet { return agt.proc.Fleet }

// Start runs the agent until Stop or the end of the context.
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
	agt.proc.Follow(ctx, changes, agt.follow)
	agt.operators.Start()
	agt.proc.Log.Info("agent started", "Address", agt.Address(), "Upstream", agt.cfg.Settings.Upstream.Name, "Operators", agt.OperatorAddress())
}

// Stop refuses new work at once, lets the work in progress end within the drain
// time and then ends the agent. Generations that run shortly before the drain
// time is over are moved to other engines by their routers.
func (agt *Agent) Stop(ctx context.Context) error {
	drain, cancel := context.WithTimeout(ctx, agt.cfg.Settings.DrainTime)
	defer cancel()
	agt.proc.BeginStop()
	err := agt.reporter.SetLeaving(drain, true)
	err = errors.Join(err, agt.proc.Fleet.AnnounceLeaving(drain))
	if agt.generations != nil {
		err = errors.Join(err, agt.drainGenerations(drain))
	}
	err = errors.Join(err, agt.drain(drain))
	err = errors.Join(err, agt.proc.Stop(), agt.operators.Close())
	agt.proc.Log.Info("agent stopped", "Error", err)
	return err
}

// Kill ends the agent at once, as the death of its VM would.
func (agt *Agent) Kill() error { return errors.Join(agt.proc.Stop(), agt.operators.Close()) }

// Leaving reports whether the agent refuses new work.
func (agt *Agent) Leaving() bool { return agt.reporter.Snapshot().Leaving }

// drainPart of drainParts of the drain time is left to generations to end.
const (
	drainPart  = 9
	drainParts = 10
)

// drainGenerations lets generations end, and moves what remains.
func (agt *Agent) drainGenerations(ctx context.Context) error {
	patient, cancel := context.WithTimeout(ctx, agt.cfg.Settings.DrainTime*drainPart/drainParts)
	defer cancel()
	if agt.drain(patient) == nil {
		return nil
	}
	return agt.generations.MigrateAll(ctx)
}

// drain waits until no work is in progress, or returns the context's error.
func (agt *Agent) drain(ctx context.Context) error {
	tick := time.NewTicker(drainPoll)
	defer tick.Stop()
	for agt.unanswered() > 0 {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return fmt.Errorf("%d requests in progress after the drain time: %w", agt.unanswered(), ctx.Err())
		}
	}
	return nil
}

// unanswered counts what a stop waits for: the work in progress, and the lookups
// and actions whose answers are not yet sent.
func (agt *Agent) unanswered() int { return agt.inProgress() + agt.proc.Server.OpenCalls() }

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

// buildUpstream creates the parts that work with the upstream.
func (agt *Agent) buildUpstream() {
	ups := agt.cfg.Settings.Upstream
	report := ReporterConfig{
		Member:        agt.proc.Self,
		Upstream:      ups.Name,
		Service:       ups.Service,
		StateNumber:   agt.proc.StateNumber,
		OnStateNumber: agt.learn,
		Now:           agt.cfg.Now,
		StartTime:     agt.proc.Began,
		Log:           agt.proc.Log,
	}
	if ups.ServiceKind() == bwmodel.ModelService {
		eng := bwengine.NewEngineClient(bwengine.EngineClientConfig{Address: ups.Address, Dial: agt.cfg.Dial})
		report.ReadLoad, report.ReadCacheEvents = eng.ReadLoad, eng.ReadCacheEvents
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
		agt.reporter = NewReporter(report)
		return
	}
	svc := bwengine.NewServiceClient(bwengine.ServiceClientConfig{Address: ups.Address, Dial: agt.cfg.Dial})
	agt.reporter = NewReporter(report)
	agt.actions = NewActions(ActionsConfig{
		Ledger:      bwaction.LedgerConfig{Incarnation: agt.proc.Self.Incarnation, Now: agt.cfg.Now, Start: agt.proc.Began},
		RunAction:   svc.RunAction,
		NotSent:     notSent,
		Leaving:     agt.Leaving,
		StateNumber: agt.proc.StateNumber,
		Slots:       ups.Slots,
	})
	agt.calls = NewCalls(CallsConfig{Call: svc.Call, NotSent: notSent, Leaving: agt.Leaving, StateNumber: agt.proc.StateNumber})
	agt.actions.Register(agt.proc.Server)
	agt.calls.Register(agt.proc.Server)
}

// notSent reports whether an error of an action says that nothing was sent.
func notSent(err error) bool { return errors.Is(err, bwengine.ErrNotSent) }

// readLease reads the lease row of a control duty.
func (agt *Agent) readLease(ctx context.Context, duty string) (bwlease.Row, error) {
	if agt.proc.Store.Table == nil {
		return bwlease.Row{}, bwlease.ErrUnavailable
	}
	return bwstore.NewLeaseStore(agt.proc.Store.Table, duty).Read(ctx)
}

// learn takes a ticket number that a router stated.
func (agt *Agent) learn(num bwmodel.TicketNumber, from bwmodel.MemberID) {
	for _, ent := range agt.proc.Fleet.Snapshot().Members {
		if ent.Member.ID == from {
			agt.proc.Fleet.RecordTicketNumber(num, ent.Member.Address)
			return
		}
	}
}

// administration returns what an agent adds to the administration API.
func (agt *Agent) administration() bwprocess.Administration {
	return bwprocess.Administration{
		API:                bwadmin.Config{Upstreams: agt.showUpstream},
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

// showUpstream lists the upstream beside the agent only.
func (agt *Agent) showUpstream(context.Context, *struct{}) (*bwadmin.UpstreamList, error) {
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

// StopRequested is closed when an operator has asked the agent to end.
func (agt *Agent) StopRequested() <-chan struct{} { return agt.proc.StopRequested() }

// Ready returns why the agent takes no new work, and nil when it does.
func (agt *Agent) Ready() error { return agt.proc.Ready() }

// refusing returns why the agent takes no new work although its process does.
func (agt *Agent) refusing() error {
	if agt.Leaving() {
		return errLeaving
	}
	return nil
}

var errLeaving = errors.New("the agent is leaving: a ticket or the platform's list drains its upstream")

// follow takes drains in tickets and in the platform's list into effect.
func (agt *Agent) follow(ctx context.Context) {
	snap := agt.proc.Fleet.Snapshot()
	ups, listed := snap.State.Upstream(agt.cfg.Settings.Upstream.Name)
	leaving := agt.proc.Stopping() || snap.Self.Leaving || (listed && ups.Draining)
	if leaving == agt.Leaving() {
		return
	}
	if err := agt.reporter.SetLeaving(ctx, leaving); err != nil {
		return
	}
	agt.proc.Log.Info("agent changes whether it takes new work", "Leaving", leaving, "Number", snap.State.Number())
}
