package bwagent

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/gorilla/mux"

	"bilberrywick/core/bwaction"
	"bilberrywick/core/bwmodel"
	"bilberrywick/io/bwengine"
	"bilberrywick/io/bwfleet"
	"bilberrywick/io/bwhttp"
	"bilberrywick/io/bwobserve"
	"bilberrywick/io/bwprocess"
	"bilberrywick/io/bwsettings"
)

// Agent is the agent process beside one upstream.
type Agent struct {
	cfg      Config
	proc     *bwprocess.Process
	reporter *Reporter
	// generations is set beside a model engine, actions and calls beside a plain service.
	generations *Generations
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
	set := cfg.Settings
	proc, err := bwprocess.New(bwprocess.Config{
		Role:      bwmodel.AgentRole,
		Identity:  set.Identity,
		Peers:     set.Peers,
		SeedPeers: set.SeedPeers,
		Platform:  set.Platform,
		Log:       set.Log,
		Version:   cfg.Version,
		LogOutput: cfg.LogOutput,
		Now:       cfg.Now,
	})
	if err != nil {
		return nil, err
	}
	agt := &Agent{cfg: cfg, proc: proc}
	agt.buildUpstream()
	agt.reporter.Register(proc.Server)
	agt.operators, err = proc.Listen(bwprocess.Listener{
		Address: set.Operators.Address,
		TLS:     set.Operators.TLS,
		Bounds:  set.Operators.Bounds,
		Handler: agt.operatorHandler(),
	})
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
	}
	if agt.actions != nil {
		agt.actions.Start(ctx)
	}
	agt.reporter.Start(ctx)
	flw := &follower{agt: agt, changes: changes}
	go flw.loop(ctx)
	agt.operators.Start()
	agt.proc.Log.Info("agent started", "Address", agt.Address(), "Upstream", agt.cfg.Settings.Upstream.Name, "Operators", agt.OperatorAddress())
}

// Stop refuses new work at once, lets the work in progress end within the drain
// time and then ends the agent. Generations that run shortly before the drain
// time is over are moved to other engines by their routers.
func (agt *Agent) Stop(ctx context.Context) error {
	drain, cancel := context.WithTimeout(ctx, agt.cfg.Settings.DrainTime)
	defer cancel()
	agt.proc.Metrics.Draining.Set(1)
	err := agt.reporter.SetLeaving(drain, true)
	err = errors.Join(err, agt.proc.Fleet.Leave(drain))
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
	return agt.generations.Move(ctx)
}

// drain waits until no work is in progress, or returns the context's error.
func (agt *Agent) drain(ctx context.Context) error {
	tick := time.NewTicker(drainPoll)
	defer tick.Stop()
	for agt.inProgress() > 0 {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return fmt.Errorf("%d requests in progress after the drain time: %w", agt.inProgress(), ctx.Err())
		}
	}
	return nil
}

func (agt *Agent) inProgress() int {
	count := 0
	if agt.generations != nil {
		count += agt.generations.View().Running
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
		Member:      agt.proc.Self,
		Upstream:    ups.Name,
		Service:     ups.Service,
		StateNumber: agt.proc.StateNumber,
		Learn:       agt.learn,
		Now:         agt.cfg.Now,
		Start:       agt.proc.Began,
		Log:         agt.proc.Log,
	}
	if ups.ServiceKind() == bwmodel.ModelService {
		eng := bwengine.NewEngine(bwengine.EngineConfig{Address: ups.Address})
		report.Load, report.CacheEvents = eng.Load, eng.CacheEvents
		agt.generations = NewGenerations(GenerationsConfig{
			Generate:    eng.Generate,
			Address:     agt.proc.Self.Address,
			Leaving:     agt.Leaving,
			StateNumber: agt.proc.StateNumber,
			Now:         agt.cfg.Now,
			Log:         agt.proc.Log,
		})
		agt.generations.Register(agt.proc.Server)
		agt.reporter = NewReporter(report)
		return
	}
	svc := bwengine.NewService(bwengine.ServiceConfig{Address: ups.Address})
	agt.reporter = NewReporter(report)
	agt.actions = NewActions(ActionsConfig{
		Ledger:      bwaction.LedgerConfig{Incarnation: agt.proc.Self.Incarnation, Now: agt.cfg.Now, Start: agt.proc.Began},
		Act:         svc.Act,
		NotSent:     notSent,
		Leaving:     agt.Leaving,
		StateNumber: agt.proc.StateNumber,
		Slots:       ups.Slots,
	})
	agt.calls = NewCalls(CallsConfig{Call: svc.Call, Leaving: agt.Leaving, StateNumber: agt.proc.StateNumber})
	agt.actions.Register(agt.proc.Server)
	agt.calls.Register(agt.proc.Server)
}

// notSent reports whether an error of an action says that nothing was sent.
func notSent(err error) bool { return errors.Is(err, bwengine.ErrNotSent) }

// learn takes a ticket number that a router stated.
func (agt *Agent) learn(num bwmodel.TicketNumber, from bwmodel.MemberID) {
	for _, ent := range agt.proc.Fleet.Snapshot().Members {
		if ent.Member.ID == from {
			agt.proc.Fleet.Learn(num, ent.Member.Address)
			return
		}
	}
}

func (agt *Agent) operatorHandler() http.Handler {
	routes := mux.NewRouter()
	routes.Handle("/health", bwhttp.HealthHandler())
	routes.Handle("/ready", bwhttp.ReadyHandler(agt.ready))
	routes.Handle("/metrics", bwobserve.MetricsHandler(agt.proc.Metrics))
	return routes
}

// ready returns why the agent takes no new work, and nil when it does.
func (agt *Agent) ready() error {
	if agt.Leaving() {
		return errLeaving
	}
	if !agt.proc.Fleet.Snapshot().Ready {
		return errNotCurrent
	}
	return nil
}

var (
	errLeaving    = errors.New("the agent is leaving")
	errNotCurrent = errors.New("neither the store nor a peer has confirmed the state within 3 s")
)

// follower takes drains in tickets and in the platform's list into effect.
type follower struct {
	agt     *Agent
	changes <-chan struct{}
}

func (flw *follower) loop(ctx context.Context) {
	for {
		flw.apply(ctx)
		select {
		case <-flw.changes:
		case <-ctx.Done():
			return
		}
	}
}

func (flw *follower) apply(ctx context.Context) {
	agt := flw.agt
	snap := agt.proc.Fleet.Snapshot()
	agt.proc.Metrics.TicketNumber.Set(float64(snap.State.Number()))
	ups, listed := snap.State.Upstream(agt.cfg.Settings.Upstream.Name)
	leaving := snap.Self.Leaving || (listed && ups.Draining)
	if leaving == agt.Leaving() {
		return
	}
	if err := agt.reporter.SetLeaving(ctx, leaving); err != nil {
		return
	}
	agt.proc.Log.Info("agent changes whether it takes new work", "Leaving", leaving, "Number", snap.State.Number())
}
