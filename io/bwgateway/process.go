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
)

// Process is a running gateway.
type Process struct {
	cfg     ProcessConfig
	state   *ControlState
	gateway *Gateway
	metrics *Metrics
	peers   *Peers
	callers *http.Server
	status  *http.Server
}

// ProcessConfig configures a Process.
type ProcessConfig struct {
	Settings *Settings
	Dialect  Dialect
	// Copy, DropCopy and Identify are those of Config.
	DropCopy    func(ctx context.Context, name string) error
	CopyKVCache func(ctx context.Context, source, target netip.AddrPort, request string) (string, error)
	Identify    func(ctx context.Context, addr netip.AddrPort, path string) (Identity, error)
	// Watch keeps a state current until the context ends.
	Watch func(context.Context, *ControlState)
	// ReloadSettings returns the settings as they are now; nil means that they never change.
	ReloadSettings func() (*Settings, error)
	// OnStoreAddressChange is told the store's address when it has changed; it may be nil.
	OnStoreAddressChange func(netip.AddrPort)
	// ReloadSignals asks for the settings to be read again at once; it may be nil.
	ReloadSignals <-chan os.Signal
	// DroppedLines returns the log lines left out so far; it may be nil.
	DroppedLines func() int64
	Log          *slog.Logger
}

const (
	// settleTime is how long a stopping process takes all requests: the platform
	// asks every second and sends no new connections after two misses.
	settleTime = 2600 * time.Millisecond
	// activeStep is the time between two looks at whether requests are open.
	activeStep = 25 * time.Millisecond
	// endMargin is left of the grace time to close what has not ended.
	endMargin = 300 * time.Millisecond
	// headTime bounds the head of a request, idleTime a connection without one;
	// callers keep connections for 12 s on today's deployments.
	headTime = 5 * time.Second
	idleTime = time.Minute
	// maxHead bounds a request's head in bytes.
	maxHead = 64 << 10
	// memoryShare of the limit is where the collector works harder; the rest is
	// for stacks and what the limit counts beside the heap.
	memoryShare = 0.7
)

// NewProcess returns a process that Run starts.
func NewProcess(cfg ProcessConfig) (*Process, error) {
	sts := cfg.Settings
	pool := bwforward.NewPool(bwforward.PoolConfig{Zone: bwmodel.ZoneID(sts.Zone)})
	budgets := bwforward.NewRetryBudgets(bwforward.RetryBudgetsConfig{Share: sts.RetryShare, Slack: sts.RetrySlack})
	prc := &Process{cfg: cfg, state: NewControlState(ControlStateConfig{Pool: pool, Budgets: budgets, Log: cfg.Log}), metrics: NewMetrics()}
	prs, err := NewPeers(PeersConfig{Member: bwmodel.MemberID(sts.Member), Address: sts.Peers, OnNote: pool.ApplyNote, Log: cfg.Log})
	if err != nil {
		return nil, err
	}
	prc.peers = prs
	prc.state.cfg.Peers = prs
	gw, err := New(Config{
		Dialect:         cfg.Dialect,
		Table:           prc.state.Table,
		Pool:            pool,
		Budgets:         budgets,
		SendNote:        prs.SendNote,
		CopyKVCache:     cfg.CopyKVCache,
		DropCopy:        cfg.DropCopy,
		Identify:        cfg.Identify,
		OnSuccessor:     prc.state.AddSuccessor,
		ListUnavailable: func() bool { return prc.state.View().ListUnavailable },
		Metrics:         prc.metrics,
		Log:             cfg.Log,
	})
	if err != nil {
		return nil, err
	}
	prc.gateway = gw
	prc.callers = &http.Server{Handler: gw, ReadHeaderTimeout: headTime, IdleTimeout: idleTime, MaxHeaderBytes: maxHead, ErrorLog: serverLog(cfg.Log)}
	prc.addGauges()
	rtr := mux.NewRouter()
	rtr.HandleFunc("/ready", prc.serveReady)
	rtr.Handle("/metrics", prc.metrics)
	prc.status = &http.Server{Handler: rtr, ReadHeaderTimeout: headTime, ErrorLog: serverLog(cfg.Log)}
	return prc, nil
}

// addGauges shows what the process believes.
func (prc *Process) addGauges() {
	gauges := map[string]func() float64{
		"bilberrywick_gateway_upstreams": func() float64 { return float64(prc.state.View().Upstreams) },
		"bilberrywick_gateway_state_version": func() float64 {
			if tbl := prc.state.Table(); tbl != nil {
				return float64(tbl.Version())
			}
			return 0
		},
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

// Run serves until the context ends, and then drains; it returns the error that
// ended it earlier.
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
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	prc.state.Start(work)
	prc.peers.Start(work)
	wtc := &watcher{watch: prc.cfg.Watch, state: prc.state}
	go wtc.run(work)
	rld := &reloader{cfg: prc.cfg, gateway: prc.gateway, current: *sts}
	go rld.run(work)
	failed := make(chan error, 2)
	for _, srv := range []*server{{prc.callers, callers, failed}, {prc.status, status, failed}} {
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

// watcher keeps the state current.
type watcher struct {
	watch func(context.Context, *ControlState)
	state *ControlState
}

func (wtc *watcher) run(ctx context.Context) { wtc.watch(ctx, wtc.state) }

// drain lets open requests end within the grace time. While all other gateways
// stop as well it goes on to take requests that end in time; otherwise callers
// do better at another one, which they reach sooner without a listener here.
func (prc *Process) drain() {
	begun := time.Now()
	end := begun.Add(prc.cfg.Settings.GraceTime - endMargin)
	prc.cfg.Log.Info("stopping", "GraceTime", prc.cfg.Settings.GraceTime, "Staying", prc.state.View().ActivePeers)
	prc.gateway.StartDrain()
	prc.state.AnnounceLeaving()
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	bwretry.Pause(ctx, min(settleTime, prc.cfg.Settings.GraceTime/3))
	prc.gateway.SetStopTime(end)
	for prc.alone() && prc.gateway.ActiveRequests() > 0 && bwretry.Pause(ctx, activeStep) {
	}
	err := prc.callers.Shutdown(ctx)
	if err != nil {
		_ = prc.callers.Close()
	}
	_ = prc.status.Close()
	prc.cfg.Log.Info("stopped", "Took", time.Since(begun), "Error", err)
}

// alone reports whether the other gateways are known, and all of them stop.
func (prc *Process) alone() bool {
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

// server serves one listener.
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
