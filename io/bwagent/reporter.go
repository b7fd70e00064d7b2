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

// Reporter serves the RPC Agent.Status. It polls the upstream for its load and cache
// events and sends them, with the agent's own state, to every subscribed router.
type Reporter struct {
	cfg     ReporterConfig
	control *bwcontrol.Owner[reporterState, ReporterView]
}

// ReporterConfig configures a Reporter.
type ReporterConfig struct {
	Member   bwmodel.Member
	Upstream bwmodel.UpstreamID
	Service  bwmodel.ServiceID
	// Interval is the time between two polls of the upstream and between two reports
	// to a router without a change; 0 means 1 s.
	Interval time.Duration
	// ReadLoad requests the upstream's load report; nil means that the upstream has none.
	ReadLoad func(context.Context) (bwmodel.LoadReport, error)
	// ReadCacheEvents returns the upstream's cache events after a sequence number; may be nil.
	ReadCacheEvents func(ctx context.Context, after uint64) ([]bwmodel.CacheEvent, error)
	// StateNumber returns the number of the last ticket in effect.
	StateNumber func() bwmodel.TicketNumber
	// OnStateNumber is called with the ticket number that a router has sent; may be nil.
	OnStateNumber func(bwmodel.TicketNumber, bwmodel.MemberID)
	Now           func() time.Time
	// StartTime is the zero point of the reported clock; the zero time means now.
	StartTime time.Time
	Log       *slog.Logger
}

const (
	defaultReportInterval = time.Second
	// maxBufferedCacheEvents limits the events buffered for slow subscribers. A
	// subscriber that is further behind receives a gap in the sequence numbers and
	// then gives its view of the cache less weight.
	maxBufferedCacheEvents = 4096
)

// ReporterView is the agent's state as routers receive it.
type ReporterView struct {
	Leaving bool
	Load    bwmodel.LoadReport
	// MeasuredAt is when the load was measured.
	MeasuredAt time.Time
	// loadRevision is incremented when any value of the load other than its age changes.
	loadRevision uint64
	cacheEvents  []bwmodel.CacheEvent
	// changed is closed when a change must be sent to subscribers immediately.
	changed chan struct{}
	// closeOnPublish is the previous changed channel; nil when it stays in use.
	closeOnPublish chan struct{}
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
	rep.control = bwcontrol.New(bwcontrol.Config[reporterState, ReporterView]{
		State:     &reporterState{changed: make(chan struct{})},
		View:      (*reporterState).newView,
		OnPublish: notifySubscribers,
	})
	return rep
}

// Register serves Agent.Status on a server.
func (rep *Reporter) Register(srv *bwrpc.Server) {
	bwrpc.HandleStream(srv, bwwire.AgentStatus, rep.serveStatus)
}

// Start starts polling the upstream; polling ends with the context.
func (rep *Reporter) Start(ctx context.Context) {
	rep.control.Start(ctx)
	go rep.loop(ctx)
}

// Snapshot returns the current view; it never blocks.
func (rep *Reporter) Snapshot() *ReporterView { return rep.control.Snapshot() }

// Clock returns the monotonic time since ReporterConfig.StartTime.
func (rep *Reporter) Clock() time.Duration { return rep.cfg.Now().Sub(rep.cfg.StartTime) }

// SetLeaving sets whether the agent refuses new work; a change is sent to all
// subscribers immediately. It returns an error if the reporter or ctx has ended.
func (rep *Reporter) SetLeaving(ctx context.Context, leaving bool) error {
	return rep.control.Do(ctx, func(st *reporterState) {
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

// poll requests the load and the cache events once; an upstream whose load can't be
// read is reported as down.
func (rep *Reporter) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, rep.cfg.Interval)
	defer cancel()
	var load bwmodel.LoadReport
	if rep.cfg.ReadLoad != nil {
		var err error
		if load, err = rep.cfg.ReadLoad(ctx); err != nil {
			load = bwmodel.LoadReport{UpstreamIsDown: true}
		}
		rep.logAvailability(ctx, err)
	}
	events := rep.readCacheEvents(ctx)
	now := rep.cfg.Now()
	// Post fails only when the process is stopping and the report is no longer needed.
	_ = rep.control.Post(ctx, func(st *reporterState) { st.recordPoll(load, events, now) })
}

// logAvailability logs when the upstream stops or starts to respond. Logging each
// failed poll would write two lines a second for as long as the upstream is down.
func (rep *Reporter) logAvailability(ctx context.Context, err error) {
	wasDown := rep.control.Snapshot().Load.UpstreamIsDown
	switch {
	case err != nil && !wasDown && !errors.Is(ctx.Err(), context.Canceled):
		rep.cfg.Log.Warn("upstream does not respond", "Upstream", rep.cfg.Upstream, "Error", err)
	case err == nil && wasDown:
		rep.cfg.Log.Info("upstream responds again", "Upstream", rep.cfg.Upstream)
	}
}

func (rep *Reporter) readCacheEvents(ctx context.Context) []bwmodel.CacheEvent {
	if rep.cfg.ReadCacheEvents == nil {
		return nil
	}
	var after uint64
	if buffered := rep.control.Snapshot().cacheEvents; len(buffered) > 0 {
		after = buffered[len(buffered)-1].Sequence
	}
	events, err := rep.cfg.ReadCacheEvents(ctx, after)
	if err != nil {
		rep.cfg.Log.Debug("reading cache events failed", "Upstream", rep.cfg.Upstream, "Error", err)
		return nil
	}
	return events
}

func (rep *Reporter) serveStatus(ctx context.Context, stm *bwrpc.Stream[bwwire.StatusRequest, bwwire.AgentStatusEvent]) error {
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
		view := rep.control.Snapshot()
		if err := stm.Send(sub.nextEvent(view)); err != nil {
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

// subscriber records what was sent to a router on one status stream.
type subscriber struct {
	rep *Reporter
	// lastSent is the view of the last event; nil before the first.
	lastSent *ReporterView
	// lastSequence is the sequence number of the last cache event sent.
	lastSequence uint64
	withoutCache bool
}

// nextEvent returns an event with the changes that were not sent to the subscriber yet.
func (sub *subscriber) nextEvent(view *ReporterView) *bwwire.AgentStatusEvent {
	rep := sub.rep
	event := &bwwire.AgentStatusEvent{StateNumber: rep.cfg.StateNumber(), Clock: rep.Clock()}
	if sub.lastSent == nil || sub.lastSent.Leaving != view.Leaving {
		member := rep.cfg.Member
		member.Leaving = view.Leaving
		event.Member = &member
	}
	if sub.lastSent == nil || sub.lastSent.loadRevision != view.loadRevision {
		load := view.Load
		if !view.MeasuredAt.IsZero() {
			load.Age += rep.cfg.Now().Sub(view.MeasuredAt)
		}
		event.Load = bwwire.NewLoadMessage(load)
	}
	if !sub.withoutCache {
		event.Cache = sub.nextCacheRuns(view.cacheEvents)
	}
	sub.lastSent = view
	return event
}

func (sub *subscriber) nextCacheRuns(events []bwmodel.CacheEvent) []bwwire.CacheRun {
	unsent := eventsAfter(events, sub.lastSequence)
	if len(unsent) == 0 {
		return nil
	}
	sub.lastSequence = unsent[len(unsent)-1].Sequence
	return bwwire.NewCacheRuns(unsent)
}

// eventsAfter returns the events with a higher sequence number than the given one.
func eventsAfter(events []bwmodel.CacheEvent, sequence uint64) []bwmodel.CacheEvent {
	for ix, event := range events {
		if event.Sequence > sequence {
			return events[ix:]
		}
	}
	return nil
}

func (st *reporterState) recordPoll(load bwmodel.LoadReport, events []bwmodel.CacheEvent, now time.Time) {
	st.notify = st.notify || st.view.Load.UpstreamIsDown != load.UpstreamIsDown
	if !sameLoad(st.view.Load, load) {
		st.view.loadRevision++
	}
	st.view.Load = load
	st.view.MeasuredAt = now
	if len(events) == 0 {
		return
	}
	merged := make([]bwmodel.CacheEvent, 0, len(st.view.cacheEvents)+len(events))
	merged = append(merged, st.view.cacheEvents...)
	merged = append(merged, events...)
	if excess := len(merged) - maxBufferedCacheEvents; excess > 0 {
		merged = merged[excess:]
	}
	st.view.cacheEvents = merged
}

// newView returns a copy of the view. For a change that subscribers must receive
// immediately, it also replaces the changed channel; the previous one is closed
// after the view is published.
func (st *reporterState) newView() *ReporterView {
	view := st.view
	if st.notify {
		view.closeOnPublish = st.changed
		st.changed = make(chan struct{})
		st.notify = false
	}
	view.changed = st.changed
	return &view
}

func notifySubscribers(_, current *ReporterView) {
	if current.closeOnPublish != nil {
		close(current.closeOnPublish)
	}
}

// sameLoad reports whether two reports are equal apart from their age; the later one
// is then not sent.
func sameLoad(prev, next bwmodel.LoadReport) bool {
	return prev.Running == next.Running &&
		prev.Waiting == next.Waiting &&
		prev.Slots == next.Slots &&
		prev.TokenRate == next.TokenRate &&
		prev.QueuedTokens == next.QueuedTokens &&
		prev.UpstreamIsDown == next.UpstreamIsDown &&
		slices.Equal(prev.Models, next.Models)
}
