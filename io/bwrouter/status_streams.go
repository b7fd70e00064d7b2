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
// router follows. Only the control goroutine calls its methods.
type StatusStreams struct {
	cfg  StatusStreamsConfig
	open map[bwmodel.UpstreamID]*statusStream
}

// StatusStreamsConfig configures a StatusStreams.
type StatusStreamsConfig struct {
	Self   bwmodel.MemberID
	Client *bwrpc.Client
	// StateNumber returns the number of the last ticket in effect.
	StateNumber func() bwmodel.TicketNumber
	// OnReport is called with each report, by the goroutine of the stream.
	OnReport func(context.Context, AgentReport)
	// OnLost is called when a stream has ended or the agent became unresponsive.
	OnLost func(context.Context, bwmodel.UpstreamID)
	// ReportTimeout is how long an agent may send no report; 0 means 3 s, three report intervals.
	ReportTimeout time.Duration
	Now           func() time.Time
	Log           *slog.Logger
}

// AgentReport is an agent's status with its time of arrival.
type AgentReport struct {
	Upstream    bwmodel.Upstream
	Member      bwmodel.Member
	StateNumber bwmodel.TicketNumber
	// Clock is the agent's monotonic clock when it sent the report.
	Clock time.Duration
	// Load is the last load that the agent reported, with its age at that time.
	Load        bwmodel.LoadReport
	CacheEvents []bwmodel.CacheEvent
	ReceivedAt  time.Time
}

const (
	defaultReportTimeout = 3 * time.Second
	// Reconnecting backs off, so that a failed zone does not cost a dial for each
	// upstream every minReconnectDelay.
	minReconnectDelay = 50 * time.Millisecond
	maxReconnectDelay = 2 * time.Second
)

// NewStatusStreams returns a set that has no streams until Update is called.
func NewStatusStreams(cfg StatusStreamsConfig) *StatusStreams {
	if cfg.ReportTimeout == 0 {
		cfg.ReportTimeout = defaultReportTimeout
	}
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	return &StatusStreams{cfg: cfg, open: make(map[bwmodel.UpstreamID]*statusStream)}
}

// Update opens a stream to each listed upstream that has none, and closes the
// streams of upstreams that are no longer listed or whose agent's address has
// changed. All streams are reopened when withCache changes.
func (sts *StatusStreams) Update(ctx context.Context, upstreams []bwmodel.Upstream, withCache bool) {
	wanted := make(map[bwmodel.UpstreamID]bwmodel.Upstream, len(upstreams))
	for _, ups := range upstreams {
		wanted[ups.Name] = ups
	}
	for name, sst := range sts.open {
		if ups, ok := wanted[name]; !ok || ups.Agent != sst.upstream.Agent || withCache != sst.withCache {
			sst.cancel()
			delete(sts.open, name)
		}
	}
	for name, ups := range wanted {
		if sts.open[name] != nil {
			continue
		}
		streamCtx, cancel := context.WithCancel(ctx)
		sst := &statusStream{cfg: sts.cfg, upstream: ups, withCache: withCache, cancel: cancel}
		sts.open[name] = sst
		go sst.loop(streamCtx)
	}
}

// statusStream is the status stream of one upstream.
type statusStream struct {
	cfg      StatusStreamsConfig
	upstream bwmodel.Upstream
	// withCache requests the upstream's cache events.
	withCache bool
	cancel    context.CancelFunc
}

func (sst *statusStream) loop(ctx context.Context) {
	delay := minReconnectDelay
	for ctx.Err() == nil {
		received, err := sst.read(ctx)
		if ctx.Err() != nil {
			return
		}
		sst.cfg.OnLost(ctx, sst.upstream.Name)
		if received {
			delay = minReconnectDelay
		}
		sst.cfg.Log.Info("status stream lost", "Upstream", sst.upstream.Name, "Agent", sst.upstream.Agent, "Error", err)
		if !bwretry.Pause(ctx, delay/2+rand.N(delay/2)) {
			return
		}
		delay = min(2*delay, maxReconnectDelay)
	}
}

// read reads one stream until it fails or the agent becomes unresponsive, and returns
// whether any complete report arrived.
func (sst *statusStream) read(ctx context.Context) (bool, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timeout := time.AfterFunc(sst.cfg.ReportTimeout, cancel)
	defer timeout.Stop()
	stm, err := bwrpc.OpenStream[bwwire.AgentStatusEvent, bwwire.StatusRequest](ctx, sst.cfg.Client, sst.upstream.Agent, bwwire.AgentStatus)
	if err != nil {
		return false, err
	}
	req := &bwwire.StatusRequest{From: sst.cfg.Self, StateNumber: sst.cfg.StateNumber(), WithoutCache: !sst.withCache}
	if err := stm.Send(req); err != nil {
		return false, err
	}
	ras := &reportAssembler{upstream: sst.upstream}
	for {
		event, err := stm.Recv()
		if err != nil {
			return ras.complete, err
		}
		timeout.Reset(sst.cfg.ReportTimeout)
		if rep, ok := ras.next(event, sst.cfg.Now()); ok {
			sst.cfg.OnReport(ctx, rep)
		}
	}
}

// reportAssembler combines the events of one stream into complete reports.
type reportAssembler struct {
	upstream bwmodel.Upstream
	member   bwmodel.Member
	// load is the last load received; an agent sends it only when it has changed.
	load bwmodel.LoadReport
	// complete is set once the member and the load are known.
	complete bool
}

func (ras *reportAssembler) next(event *bwwire.AgentStatusEvent, now time.Time) (AgentReport, bool) {
	if event.Member != nil {
		ras.member = *event.Member
	}
	if event.Load != nil {
		ras.load = event.Load.Report()
	}
	ras.complete = ras.complete || (event.Member != nil && event.Load != nil)
	if !ras.complete {
		return AgentReport{}, false
	}
	rep := AgentReport{
		Upstream:    ras.upstream,
		Member:      ras.member,
		StateNumber: event.StateNumber,
		Clock:       event.Clock,
		Load:        ras.load,
		CacheEvents: bwwire.CacheEvents(event.Cache),
		ReceivedAt:  now,
	}
	return rep, true
}
