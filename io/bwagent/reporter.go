package bwagent

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"time"

	"bilberrywick/core/bwcontrol"
	"bilberrywick/core/bwmodel"
	"bilberrywick/io/bwrpc"
	"bilberrywick/io/bwwire"
)

// Reporter serves Agent.Status: it polls the upstream for its load and cache
// events and sends them, with the agent's own state, to every subscribed router.
type Reporter struct {
	cfg ReporterConfig
	own *bwcontrol.Owner[reporterState, ReporterView]
}

// ReporterConfig configures a Reporter.
type ReporterConfig struct {
	Member   bwmodel.Member
	Upstream bwmodel.UpstreamID
	Service  bwmodel.ServiceID
	// Interval is the time between two reports without a change; 0 means 1 s.
	Interval time.Duration
	// ReadLoad asks the upstream for its load; nil when the upstream reports none.
	ReadLoad func(context.Context) (bwmodel.LoadReport, error)
	// ReadCacheEvents returns the upstream's cache events after a sequence number; may be nil.
	ReadCacheEvents func(ctx context.Context, after uint64) ([]bwmodel.CacheEvent, error)
	// StateNumber is the number of the ticket in force here.
	StateNumber func() bwmodel.TicketNumber
	// OnStateNumber is told of a higher ticket number that a router stated; may be nil.
	OnStateNumber func(bwmodel.TicketNumber, bwmodel.MemberID)
	Now           func() time.Time
	// StartTime is where the reported clock begins; the zero time means now.
	StartTime time.Time
	Log       *slog.Logger
}

const (
	defaultReportInterval = time.Second
	// maxCacheEvents bounds the events kept for subscribers that are behind; one
	// that is further behind sees a gap, which lowers its trust in its view.
	maxCacheEvents = 4096
)

// ReporterView is the agent's state as it is reported.
type ReporterView struct {
	Leaving bool
	Load    bwmodel.LoadReport
	// MeasuredAt is when the load was measured.
	MeasuredAt time.Time
	// revision rises whenever the load says something else.
	revision uint64
	cache    []bwmodel.CacheEvent
	changed  chan struct{}
	replaced chan struct{}
}

type reporterState struct {
	view    ReporterView
	changed chan struct{}
	notify  bool
}

// NewReporter returns a reporter that has not been started.
func NewReporter(cfg ReporterConfig) *Reporter {
	if cfg.Interval == 0 {
		cfg.Interval = defaultReportInterval
	}
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.Log == nil {
		cfg.Log = slog.New(slog.DiscardHandler)
	}
	if cfg.StartTime.IsZero() {
		cfg.StartTime = cfg.Now()
	}
	rep := &Reporter{cfg: cfg}
	rep.own = bwcontrol.New(bwcontrol.Config[reporterState, ReporterView]{
		State:     &reporterState{changed: make(chan struct{})},
		View:      (*reporterState).current,
		OnPublish: wakeSubscribers,
	})
	return rep
}

// Register serves Agent.Status on a server.
func (rep *Reporter) Register(srv *bwrpc.Server) {
	bwrpc.HandleStream(srv, bwwire.AgentStatus, rep.serve)
}

// Start polls the upstream until the context ends.
func (rep *Reporter) Start(ctx context.Context) {
	rep.own.Start(ctx)
	go rep.loop(ctx)
}

// Snapshot returns the state as it is reported.
func (rep *Reporter) Snapshot() *ReporterView { return rep.own.Snapshot() }

// Clock returns the agent's monotonic clock, counted from its start.
func (rep *Reporter) Clock() time.Duration { return rep.cfg.Now().Sub(rep.cfg.StartTime) }

// SetLeaving tells every subscriber at once that the upstream takes no new work.
func (rep *Reporter) SetLeaving(ctx context.Context, leaving bool) error {
	return rep.own.Do(ctx, func(st *reporterState) {
		st.notify = st.notify || st.view.Leaving != leaving
		st.view.Leaving = leaving
	})
}

func (rep *Reporter) loop(ctx context.Context) {
	tick := time.NewTicker(rep.cfg.Interval)
	defer tick.Stop()
	for {
		rep.poll(ctx)
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// poll asks the upstream once; an upstream that does not answer is reported as down.
func (rep *Reporter) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, rep.cfg.Interval)
	defer cancel()
	var load bwmodel.LoadReport
	if rep.cfg.ReadLoad != nil {
		var err error
		if load, err = rep.cfg.ReadLoad(ctx); err != nil {
			load = bwmodel.LoadReport{UpstreamIsDown: true}
		}
		rep.logChange(ctx, err)
	}
	events := rep.readCacheEvents(ctx)
	now := rep.cfg.Now()
	// A failed post means that the process is stopping, and nobody reads the report.
	_ = rep.own.Post(ctx, func(st *reporterState) { st.observe(load, events, now) })
}

// logChange logs that the upstream has stopped or started to answer; a line for
// each failed poll would be two a second for as long as the upstream is down.
func (rep *Reporter) logChange(ctx context.Context, err error) {
	wasDown := rep.own.Snapshot().Load.UpstreamIsDown
	switch {
	case err != nil && !wasDown && !errors.Is(ctx.Err(), context.Canceled):
		rep.cfg.Log.Warn("upstream does not answer", "Upstream", rep.cfg.Upstream, "Error", err)
	case err == nil && wasDown:
		rep.cfg.Log.Info("upstream answers again", "Upstream", rep.cfg.Upstream)
	}
}

func (rep *Reporter) readCacheEvents(ctx context.Context) []bwmodel.CacheEvent {
	if rep.cfg.ReadCacheEvents == nil {
		return nil
	}
	var after uint64
	if known := rep.own.Snapshot().cache; len(known) > 0 {
		after = known[len(known)-1].Sequence
	}
	events, err := rep.cfg.ReadCacheEvents(ctx, after)
	if err != nil {
		rep.cfg.Log.Debug("reading cache events failed", "Upstream", rep.cfg.Upstream, "Error", err)
		return nil
	}
	return events
}

func (rep *Reporter) serve(ctx context.Context, stm *bwrpc.Stream[bwwire.StatusRequest, bwwire.AgentStatusEvent]) error {
	req, err := stm.Recv()
	if err != nil {
		return err
	}
	if rep.cfg.OnStateNumber != nil {
		rep.cfg.OnStateNumber(req.StateNumber, req.From)
	}
	tick := time.NewTicker(rep.cfg.Interval)
	defer tick.Stop()
	sub := &subscriber{rep: rep, withoutCache: req.WithoutCache}
	for {
		view := rep.own.Snapshot()
		if err := stm.Send(sub.event(view)); err != nil {
			return err
		}
		select {
		case <-tick.C:
		case <-view.changed:
		case <-ctx.Done():
			return nil
		}
	}
}

// subscriber remembers what a router has been told on one stream.
type subscriber struct {
	rep *Reporter
	// told is the view of the last event; nil before the first.
	told *ReporterView
	// cached is the sequence number of the last cache event sent.
	cached       uint64
	withoutCache bool
}

// event returns what the subscriber has not been told yet.
func (sub *subscriber) event(view *ReporterView) *bwwire.AgentStatusEvent {
	rep := sub.rep
	event := &bwwire.AgentStatusEvent{StateNumber: rep.cfg.StateNumber(), Clock: rep.Clock()}
	if sub.told == nil || sub.told.Leaving != view.Leaving {
		member := rep.cfg.Member
		member.Leaving = view.Leaving
		event.Member = &member
	}
	if sub.told == nil || sub.told.revision != view.revision {
		load := view.Load
		if !view.MeasuredAt.IsZero() {
			load.Age += rep.cfg.Now().Sub(view.MeasuredAt)
		}
		event.Load = bwwire.NewLoadMessage(load)
	}
	if !sub.withoutCache {
		event.Cache = sub.cacheRuns(view.cache)
	}
	sub.told = view
	return event
}

func (sub *subscriber) cacheRuns(events []bwmodel.CacheEvent) []bwwire.CacheRun {
	fresh := after(events, sub.cached)
	if len(fresh) == 0 {
		return nil
	}
	sub.cached = fresh[len(fresh)-1].Sequence
	return bwwire.NewCacheRuns(fresh)
}

// after returns the events above a sequence number.
func after(events []bwmodel.CacheEvent, sequence uint64) []bwmodel.CacheEvent {
	for ix, event := range events {
		if event.Sequence > sequence {
			return events[ix:]
		}
	}
	return nil
}

func (st *reporterState) observe(load bwmodel.LoadReport, events []bwmodel.CacheEvent, now time.Time) {
	st.notify = st.notify || st.view.Load.UpstreamIsDown != load.UpstreamIsDown
	if !sameLoad(st.view.Load, load) {
		st.view.revision++
	}
	st.view.Load = load
	st.view.MeasuredAt = now
	if len(events) == 0 {
		return
	}
	joined := make([]bwmodel.CacheEvent, 0, len(st.view.cache)+len(events))
	joined = append(joined, st.view.cache...)
	joined = append(joined, events...)
	if extra := len(joined) - maxCacheEvents; extra > 0 {
		joined = joined[extra:]
	}
	st.view.cache = joined
}

// current returns a copy of the view; a change that subscribers must hear of at
// once gets a new channel, and the old one is closed after the view is published.
func (st *reporterState) current() *ReporterView {
	view := st.view
	if st.notify {
		view.replaced = st.changed
		st.changed = make(chan struct{})
		st.notify = false
	}
	view.changed = st.changed
	return &view
}

func wakeSubscribers(_, current *ReporterView) {
	if current.replaced != nil {
		close(current.replaced)
	}
}

// sameLoad reports whether two reports say the same, whatever their age: the
// report is then not sent again.
func sameLoad(one, two bwmodel.LoadReport) bool {
	return one.Running == two.Running &&
		one.Waiting == two.Waiting &&
		one.Slots == two.Slots &&
		one.TokenRate == two.TokenRate &&
		one.QueuedTokens == two.QueuedTokens &&
		one.UpstreamIsDown == two.UpstreamIsDown &&
		slices.Equal(one.Models, two.Models)
}
