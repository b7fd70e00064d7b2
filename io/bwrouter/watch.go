package bwrouter

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"bilberrywick/core/bwmodel"
	"bilberrywick/core/bwretry"
	"bilberrywick/io/bwrpc"
	"bilberrywick/io/bwwire"
)

// StatusStreams keeps a status stream open to the agent of each upstream that the
// router uses. Its methods are called by the control goroutine only.
type StatusStreams struct {
	cfg  StatusStreamsConfig
	open map[bwmodel.UpstreamID]*watch
}

// StatusStreamsConfig configures Watches.
type StatusStreamsConfig struct {
	Self   bwmodel.MemberID
	Client *bwrpc.Client
	// StateNumber is the number of the ticket in force here.
	StateNumber func() bwmodel.TicketNumber
	// OnReport is called by traffic goroutines with each report.
	OnReport func(context.Context, AgentReport)
	// OnLost is called when an agent has closed its stream or gone silent.
	OnLost func(context.Context, bwmodel.UpstreamID)
	// ReportTimeout is how long an agent may send nothing; 0 means 3 s, three reports.
	ReportTimeout time.Duration
	Now           func() time.Time
	Log           *slog.Logger
}

// AgentReport is an agent's status and when it arrived.
type AgentReport struct {
	Upstream    bwmodel.Upstream
	Member      bwmodel.Member
	StateNumber bwmodel.TicketNumber
	// Clock is the agent's monotonic clock when it sent the report.
	Clock time.Duration
	// Load is the last load that the agent reported, with the age that it had then.
	Load        bwmodel.LoadReport
	CacheEvents []bwmodel.CacheEvent
	ReceivedAt  time.Time
}

const (
	defaultSilence = 3 * time.Second
	// Reconnecting backs off so that a dead zone does not cost a dial per
	// upstream and interval.
	minReconnect = 50 * time.Millisecond
	maxReconnect = 2 * time.Second
)

// NewStatusStreams returns a set without streams.
func NewStatusStreams(cfg StatusStreamsConfig) *StatusStreams {
	if cfg.ReportTimeout == 0 {
		cfg.ReportTimeout = defaultSilence
	}
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	return &StatusStreams{cfg: cfg, open: make(map[bwmodel.UpstreamID]*watch)}
}

// Update opens streams to the upstreams that have none, and closes the streams to
// those that are no longer listed or whose agent has moved. Streams are opened
// again when it changes whether they carry cache events.
func (ws *StatusStreams) Update(ctx context.Context, upstreams []bwmodel.Upstream, withCache bool) {
	wanted := make(map[bwmodel.UpstreamID]bwmodel.Upstream, len(upstreams))
	for _, ups := range upstreams {
		wanted[ups.Name] = ups
	}
	for name, wtc := range ws.open {
		if ups, ok := wanted[name]; !ok || ups.Agent != wtc.upstream.Agent || withCache != wtc.withCache {
			wtc.cancel()
			delete(ws.open, name)
		}
	}
	for name, ups := range wanted {
		if ws.open[name] != nil {
			continue
		}
		wctx, cancel := context.WithCancel(ctx)
		wtc := &watch{cfg: ws.cfg, upstream: ups, withCache: withCache, cancel: cancel}
		ws.open[name] = wtc
		go wtc.loop(wctx)
	}
}

// watch is the status stream of one upstream.
type watch struct {
	cfg      StatusStreamsConfig
	upstream bwmodel.Upstream
	// withCache asks for the upstream's cache events.
	withCache bool
	cancel    context.CancelFunc
}

func (wtc *watch) loop(ctx context.Context) {
	delay := minReconnect
	for ctx.Err() == nil {
		received, err := wtc.read(ctx)
		if ctx.Err() != nil {
			return
		}
		wtc.cfg.OnLost(ctx, wtc.upstream.Name)
		if received {
			delay = minReconnect
		}
		wtc.cfg.Log.Info("agent status lost", "Upstream", wtc.upstream.Name, "Agent", wtc.upstream.Agent, "Error", err)
		if !bwretry.Pause(ctx, delay/2+rand.N(delay/2)) {
			return
		}
		delay = min(2*delay, maxReconnect)
	}
}

// read follows one stream until it breaks or falls silent, and tells whether
// any report arrived.
func (wtc *watch) read(ctx context.Context) (bool, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	silence := time.AfterFunc(wtc.cfg.ReportTimeout, cancel)
	defer silence.Stop()
	stm, err := bwrpc.OpenStream[bwwire.AgentStatusEvent, bwwire.StatusRequest](ctx, wtc.cfg.Client, wtc.upstream.Agent, bwwire.AgentStatus)
	if err != nil {
		return false, err
	}
	req := &bwwire.StatusRequest{From: wtc.cfg.Self, StateNumber: wtc.cfg.StateNumber(), WithoutCache: !wtc.withCache}
	if err := stm.Send(req); err != nil {
		return false, err
	}
	rdr := &reportReader{upstream: wtc.upstream}
	for {
		event, err := stm.Recv()
		if err != nil {
			return rdr.complete, err
		}
		silence.Reset(wtc.cfg.ReportTimeout)
		if rep, ok := rdr.next(event, wtc.cfg.Now()); ok {
			wtc.cfg.OnReport(ctx, rep)
		}
	}
}

// reportReader joins the events of one stream into whole reports.
type reportReader struct {
	upstream bwmodel.Upstream
	member   bwmodel.Member
	// load stays as it is while the agent reads the same from its upstream.
	load bwmodel.LoadReport
	// complete is set once the member and the load are known.
	complete bool
}

func (rdr *reportReader) next(event *bwwire.AgentStatusEvent, now time.Time) (AgentReport, bool) {
	if event.Member != nil {
		rdr.member = *event.Member
	}
	if event.Load != nil {
		rdr.load = event.Load.Report()
	}
	rdr.complete = rdr.complete || (event.Member != nil && event.Load != nil)
	if !rdr.complete {
		return AgentReport{}, false
	}
	rep := AgentReport{
		Upstream:    rdr.upstream,
		Member:      rdr.member,
		StateNumber: event.StateNumber,
		Clock:       event.Clock,
		Load:        rdr.load,
		CacheEvents: bwwire.CacheEvents(event.Cache),
		ReceivedAt:  now,
	}
	return rep, true
}
