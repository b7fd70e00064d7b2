package bwgateway

import (
	"context"
	"errors"
	"fmt"
	"log"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"os"
	"time"

	"github.com/gorilla/mux"

	"bilberrywick/core/bwforward"
	"bilberrywick/core/bwmodel"
	"bilberrywick/core/bwretry"
	"bilberrywick/io/bwlisten"
)

// Process is a running gateway.
type Process struct {
	cfg          ProcessConfig
	state        *ControlState
	gateway      *Gateway
	metrics      *Metrics
	peers        *Peers
	rollouts     *Rollouts
	callerServer *http.Server
	statusServer *http.Server
	// callers and status are the listeners of a running process.
	callers, status *bwlisten.Listener
}

// ProcessConfig configures a Process.
type ProcessConfig struct {
	Settings *Settings
	Dialect  Dialect
	// DropCopy, CopyKVCache, Identify and IdentifyModelEngine are passed to Config.
	DropCopy                      func(ctx context.Context, name string) error
	CopyKVCache                   func(ctx context.Context, source, target netip.AddrPort, request string) (string, error)
	Identify, IdentifyModelEngine func(ctx context.Context, addr netip.AddrPort, path string) (Identity, error)
	// Watch keeps the state up to date until the context ends.
	Watch func(context.Context, *ControlState)
	// ReloadSettings returns the current settings; nil means that they never change.
	ReloadSettings func() (*Settings, error)
	// OnStoreAddressChange is called with the store's new address; it may be nil.
	OnStoreAddressChange func(netip.AddrPort)
	// ReloadSignals triggers an immediate reload of the settings; it may be nil.
	ReloadSignals <-chan os.Signal
	// DroppedLines returns the number of log lines dropped so far; it may be nil.
	DroppedLines func() int64
	Log          *slog.Logger
}

const (
	// drainDelay is how long a stopping process still accepts all requests. The
	// platform checks readiness every second and sends no new connections after two
	// failed checks.
	drainDelay = 2600 * time.Millisecond
	// activePollInterval is the interval of checks for requests in progress.
	activePollInterval = 25 * time.Millisecond
	// shutdownMargin is reserved at the end of the grace time to close connections.
	shutdownMargin = 300 * time.Millisecond
	// headerTimeout bounds the time to read a request's header, idleTimeout the time
	// without a request. Callers of current deployments keep connections for 12 s.
	headerTimeout = 5 * time.Second
	idleTimeout   = time.Minute
	// maxHeaderBytes bounds the size of a request's header.
	maxHeaderBytes = 64 << 10
	// heapShare is the part of MemoryLimit that is set as the Go memory limit, at
	// which the garbage collector runs more often. The rest is for stacks and for
	// memory outside of the heap.
	heapShare = 0.7
	// bodyShare is the part of MemoryLimit that bodies may take. Each byte of it may
	// need a second one until the garbage collector has run.
	bodyShare = 0.25
)

// bodyMemoryBytes returns the memory for bodies of a process with a limit in MiB.
func bodyMemoryBytes(limit float64) int64 { return int64(limit * bodyShare * (1 << 20)) }

// NewProcess returns a process that Run starts. It listens for datagrams of other
// gateways, and returns an error if it can't.
func NewProcess(cfg ProcessConfig) (*Process, error) {
	sts := cfg.Settings
	pool := bwforward.NewPool(bwforward.PoolConfig{Zone: bwmodel.ZoneID(sts.Zone)})
	budgets := bwforward.NewRetryBudgets(bwforward.RetryBudgetsConfig{Share: sts.RetryShare, Slack: sts.RetrySlack, Window: sts.RetryWindow})
	metrics := NewMetrics()
	drops := &quarantineDropLog{metrics: metrics, log: cfg.Log}
	quarantine := bwforward.NewQuarantine(bwforward.QuarantineConfig{OnDrop: drops.add})
	prc := &Process{cfg: cfg, state: NewControlState(ControlStateConfig{Pool: pool, Budgets: budgets, Quarantine: quarantine, Log: cfg.Log}), metrics: metrics}
	permits := NewPermits(PermitsConfig{Member: bwmodel.MemberID(sts.Member), Pool: pool, View: prc.state.View, Ask: func(ctx context.Context, addr netip.AddrPort, req PermitRequest) (bwforward.PermitAnswer, bool) {
		return prc.peers.AskPermit(ctx, addr, req)
	}, Metrics: prc.metrics})
	prc.addRollouts(pool)
	prs, err := NewPeers(PeersConfig{Member: bwmodel.MemberID(sts.Member), Zone: bwmodel.ZoneID(sts.Zone), Address: sts.Peers, OnNote: func(nt bwforward.PeerNote) { prc.gateway.HandleNote(nt) }, Lend: budgets.Lend, KeepLoan: budgets.Keep, GrantPermit: permits.Grant, OnRolloutReport: prc.receiveReport, OnRollbackNote: prc.receiveNote, Log: cfg.Log})
	if err != nil {
		return nil, err
	}
	prc.peers = prs
	prc.state.cfg.Peers = prs
	gw, err := New(Config{
		Dialect:             cfg.Dialect,
		Table:               prc.state.Table,
		Pool:                pool,
		Budgets:             budgets,
		Quarantine:          quarantine,
		OnQuarantine:        prc.state.AnnounceQuarantine,
		SendNote:            prs.SendNote,
		Borrow:              prs.Borrow,
		TakePermit:          permits.Take,
		Rollouts:            prc.rollouts,
		CopyKVCache:         cfg.CopyKVCache,
		DropCopy:            cfg.DropCopy,
		Identify:            cfg.Identify,
		IdentifyModelEngine: cfg.IdentifyModelEngine,
		OnSuccessor:         prc.state.AddSuccessor,
		ReuseTime:           sts.ReuseTime,
		ListUnavailable:     func() bool { return prc.state.View().ListUnavailable },
		BodyMemoryBytes:     bodyMemoryBytes(sts.MemoryLimit),
		HeaderMemoryBytes:   upstreamHeaderBytes(sts.MemoryLimit),
		Metrics:             prc.metrics,
		Log:                 cfg.Log,
	})
	if err != nil {
		return nil, err
	}
	prc.gateway = gw
	prc.callerServer = &http.Server{
		Handler:           gw,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          serverLog(cfg.Log),
		// The server's own handler would answer OPTIONS * with 200.
		DisableGeneralOptionsHandler: true,
	}
	prc.addGauges()
	rtr := mux.NewRouter()
	rtr.HandleFunc("/ready", prc.serveReady)
	rtr.Handle("/metrics", prc.metrics)
	prc.statusServer = newStatusServer(rtr, serverLog(cfg.Log))
	return prc, nil
}

// addGauges adds gauges for the process's state.
func (prc *Process) addGauges() {
	gauges := map[string]func() float64{
		"bilberrywick_gateway_upstreams": func() float64 { return float64(prc.state.View().Upstreams) },
		"bilberrywick_gateway_state_version": func() float64 {
			if tbl := prc.state.Table(); tbl != nil {
				return float64(tbl.Version())
			}
			return 0
		},
		"bilberrywick_gateway_quarantined": func() float64 { return float64(len(prc.gateway.cfg.Quarantine.All())) },
		"bilberrywick_gateway_list_away": func() float64 {
			if prc.state.View().ListUnavailable {
				return 1
			}
			return 0
		},
		"bilberrywick_gateway_notes_unsent":  func() float64 { return float64(prc.peers.FailedSends()) },
		"bilberrywick_gateway_notes_refused": func() float64 { return float64(prc.peers.RefusedDatagrams()) },
	}
	if prc.cfg.DroppedLines != nil {
		gauges["bilberrywick_gateway_log_lines_dropped"] = func() float64 { return float64(prc.cfg.DroppedLines()) }
	}
	for name, read := range gauges {
		prc.metrics.AddGauge(name, read)
	}
}

func serverLog(lgr *slog.Logger) *log.Logger {
	return slog.NewLogLogger(lgr.Handler(), slog.LevelDebug)
}

// Run serves until the context ends, and then drains. It returns an error if a
// server can't listen or fails.
func (prc *Process) Run(ctx context.Context) error {
	sts := prc.cfg.Settings
	setMemoryLimit(sts.MemoryLimit)
	callers, err := net.Listen("tcp4", sts.Callers.String())
	if err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	status, err := net.Listen("tcp4", sts.Status.String())
	if err != nil {
		return fmt.Errorf("listen for status: %w", err)
	}
	workCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	prc.state.Start(workCtx)
	prc.peers.Start(workCtx)
	wtc := &watcher{watch: prc.cfg.Watch, state: prc.state}
	go wtc.run(workCtx)
	failed := make(chan error, 2)
	prc.listen(callers, status)
	rld := &reloader{cfg: prc.cfg, gateway: prc.gateway, callers: prc.callers, current: *sts}
	go rld.run(workCtx)
	for _, srv := range []*server{{prc.callerServer, prc.callers, failed}, {prc.statusServer, prc.status, failed}} {
		go srv.run()
	}
	prc.cfg.Log.Info("started", "Callers", sts.Callers, "Status", sts.Status, "Store", sts.Store, "GraceTime", sts.GraceTime,
		"RetryShare", sts.RetryShare, "MemoryLimit", sts.MemoryLimit)
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	prc.drain()
	return nil
}

// watcher runs ProcessConfig.Watch.
type watcher struct {
	watch func(context.Context, *ControlState)
	state *ControlState
}

func (wtc *watcher) run(ctx context.Context) { wtc.watch(ctx, wtc.state) }

// drain lets requests in progress finish within the grace time. If all other
// gateways are stopping too, it keeps accepting requests that finish in time.
// Otherwise it closes the listener early, so that callers reach another gateway
// sooner.
func (prc *Process) drain() {
	startedAt := time.Now()
	deadline := startedAt.Add(prc.cfg.Settings.GraceTime - shutdownMargin)
	prc.cfg.Log.Info("stopping", "GraceTime", prc.cfg.Settings.GraceTime, "Staying", prc.state.View().ActivePeers)
	prc.gateway.StartDrain()
	prc.state.AnnounceLeaving()
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	bwretry.Pause(ctx, min(drainDelay, prc.cfg.Settings.GraceTime/3))
	prc.gateway.SetStopTime(deadline)
	for prc.allPeersLeaving() && prc.gateway.ActiveRequests() > 0 && bwretry.Pause(ctx, activePollInterval) {
	}
	err := prc.callerServer.Shutdown(ctx)
	if err != nil {
		_ = prc.callerServer.Close()
	}
	_ = prc.statusServer.Close()
	prc.cfg.Log.Info("stopped", "Took", time.Since(startedAt), "Error", err)
}

// allPeersLeaving reports whether the other gateways are known and all are
// stopping.
func (prc *Process) allPeersLeaving() bool {
	vw := prc.state.View()
	return vw.Members > 0 && vw.ActivePeers == 0
}

func (prc *Process) serveReady(wrt http.ResponseWriter, _ *http.Request) {
	if !prc.gateway.Ready() {
		http.Error(wrt, "no state is known, or the process is stopping", http.StatusServiceUnavailable)
		return
	}
	_, _ = fmt.Fprintf(wrt, "version %d\n", prc.state.Table().Version())
}

// server runs an HTTP server on one listener.
type server struct {
	srv    *http.Server
	lis    net.Listener
	failed chan<- error
}

func (sv *server) run() {
	if err := sv.srv.Serve(sv.lis); !errors.Is(err, http.ErrServerClosed) {
		sv.failed <- fmt.Errorf("serve %v: %w", sv.lis.Addr(), err)
	}
}
