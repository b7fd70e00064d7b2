package bwrouter

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"bilberrywick/core/bwadmit"
	"bilberrywick/core/bwcontrol"
	"bilberrywick/core/bwmember"
	"bilberrywick/core/bwmodel"
	"bilberrywick/core/bwretry"
	"bilberrywick/core/bwroute"
	"bilberrywick/io/bwobserve"
	"bilberrywick/io/bwrpc"
)

// Services has a chooser and a queue for each service in effect, and a status stream
// to the agent of each upstream that the router follows.
type Services struct {
	cfg     ServicesConfig
	control *bwcontrol.Owner[servicesState, servicesView]
}

// ServicesConfig configures Services.
type ServicesConfig struct {
	Self   bwmodel.Member
	Client *bwrpc.Client
	// RoutePolicy and AdmitPolicy are the policies for the choice of upstreams and for
	// admission; the zero values mean the defaults of bwroute and bwadmit.
	RoutePolicy bwroute.Policy
	AdmitPolicy bwadmit.Policy
	// Hedge configures the hedge of each plain service.
	Hedge bwretry.HedgeConfig
	// MaxFollowed limits the total number of upstreams that the router follows; 0 means
	// 96, whose reports use 6.5 KB/s of a control budget of 9 KB/s.
	MaxFollowed int
	StateNumber func() bwmodel.TicketNumber
	// OnReport is called with each agent's report; it may be nil.
	OnReport func(AgentReport)
	Metrics  *bwobserve.Metrics
	Now      func() time.Time
	Log      *slog.Logger
}

const (
	defaultMaxFollowed = 96
	// Limits of the upstreams followed for one service: up to 32 are all scanned for a
	// choice, and 6 leave a choice in at least two zones.
	minPerService = 6
	maxPerService = 32
	// refreshInterval is how often the choosers compare the upstreams of a service
	// with each other, and the gauges are set.
	refreshInterval = 250 * time.Millisecond
	// maxCacheStreams is the number of followed upstreams up to which the router reads
	// their cache events. At peak an engine publishes about 290 events, 2.6 KB, a
	// second, so the events of 96 would use up the router's control budget.
	maxCacheStreams = 64
)

// ErrNoService means that no service of the name is in effect.
var ErrNoService = errors.New("service is not in force")

// service is one service in effect with its chooser, queue and hedge.
type service struct {
	spec    bwmodel.Service
	chooser *bwroute.Chooser
	queue   *bwadmit.Queue
	hedge   *bwretry.Hedge
	// demand counts the requests and output of each model in the service's list.
	demand map[string]*modelDemand
	cancel context.CancelFunc
}

// followed is one followed upstream with the last status of its agent.
type followed struct {
	upstream bwmodel.Upstream
	status   *atomic.Pointer[agentStatus]
}

// agentStatus is the content of an agent's last report: its clock, the engine's load
// and whether the agent is leaving.
type agentStatus struct {
	incarnation bwmodel.Incarnation
	clock       time.Duration
	receivedAt  time.Time
	load        bwmodel.LoadReport
	leaving     bool
	// connection ends when the status stream of the report is lost.
	connection context.Context
	disconnect context.CancelFunc
}

// servicesState is only used by the control goroutine.
type servicesState struct {
	services  map[bwmodel.ServiceID]*service
	upstreams map[bwmodel.UpstreamID]followed
	streams   *StatusStreams
	// withCache is set when the reports include the upstreams' cache events.
	withCache bool
}

// servicesView is the published state, which traffic goroutines read.
type servicesView struct {
	services  map[bwmodel.ServiceID]*service
	upstreams map[bwmodel.UpstreamID]followed
	withCache bool
}

// NewServices returns a Services that has no service until Update is called.
func NewServices(cfg ServicesConfig) *Services {
	if cfg.MaxFollowed == 0 {
		cfg.MaxFollowed = defaultMaxFollowed
	}
	svs := &Services{cfg: cfg}
	state := &servicesState{
		services:  make(map[bwmodel.ServiceID]*service),
		upstreams: make(map[bwmodel.UpstreamID]followed),
		streams: NewStatusStreams(StatusStreamsConfig{
			Self:        cfg.Self.ID,
			Client:      cfg.Client,
			StateNumber: cfg.StateNumber,
			OnReport:    svs.observe,
			OnLost:      svs.markDisconnected,
			Now:         cfg.Now,
			Log:         cfg.Log,
		}),
	}
	svs.control = bwcontrol.New(bwcontrol.Config[servicesState, servicesView]{
		State: state,
		View:  (*servicesState).view,
	})
	return svs
}

// Start runs the control goroutine until the context ends.
func (svs *Services) Start(ctx context.Context) {
	svs.control.Start(ctx)
	go svs.loop(ctx)
}

// Update applies the services, teams and upstreams in effect and the number of
// routers that share the teams' limits.
func (svs *Services) Update(ctx context.Context, objects RoutingObjects) error {
	var failed error
	err := svs.control.Do(ctx, func(st *servicesState) { failed = svs.update(ctx, st, objects) })
	return errors.Join(err, failed)
}

// RoutingObjects holds the parts of a ticket state that routing needs.
type RoutingObjects struct {
	Services  []bwmodel.Service
	Teams     []bwmodel.Team
	Upstreams []bwmodel.Upstream
	// Routers is the number of live routers, this one included.
	Routers int
}

// Service returns a service in effect.
func (svs *Services) Service(name bwmodel.ServiceID) (bwmodel.Service, bool) {
	svc := svs.control.Snapshot().services[name]
	if svc == nil {
		return bwmodel.Service{}, false
	}
	return svc.spec, true
}

// Upstream returns an upstream that the router follows.
func (svs *Services) Upstream(name bwmodel.UpstreamID) (bwmodel.Upstream, bool) {
	flw, ok := svs.control.Snapshot().upstreams[name]
	return flw.upstream, ok
}

// Hedge returns the hedge of a service, or nil when the service is not in effect.
func (svs *Services) Hedge(name bwmodel.ServiceID) *bwretry.Hedge {
	svc := svs.control.Snapshot().services[name]
	if svc == nil {
		return nil
	}
	return svc.hedge
}

// AgentClock returns an agent's incarnation and the lowest value that its clock can
// have now, which assumes that its last report arrived without delay.
func (svs *Services) AgentClock(name bwmodel.UpstreamID) (bwmodel.Incarnation, time.Duration, bool) {
	flw, ok := svs.control.Snapshot().upstreams[name]
	if !ok {
		return 0, 0, false
	}
	ags := flw.status.Load()
	if ags == nil {
		return 0, 0, false
	}
	return ags.incarnation, ags.clock + svs.cfg.Now().Sub(ags.receivedAt), true
}

// ConnectionContext returns a context that ends when the status stream of an upstream's
// agent is lost, or one that never ends when the upstream has not reported.
func (svs *Services) ConnectionContext(name bwmodel.UpstreamID) context.Context {
	if status := svs.control.Snapshot().upstreams[name].status; status != nil {
		if ags := status.Load(); ags != nil {
			return ags.connection
		}
	}
	return context.Background()
}

// UnreportedUpstreams lists the followed upstreams whose agent has not reported yet.
func (svs *Services) UnreportedUpstreams() []bwmodel.UpstreamID {
	var names []bwmodel.UpstreamID
	for name, flw := range svs.control.Snapshot().upstreams {
		if flw.status.Load() == nil {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// UpstreamViews returns the choosers' views of all followed upstreams.
func (svs *Services) UpstreamViews() map[bwmodel.UpstreamID]bwroute.UpstreamView {
	views := make(map[bwmodel.UpstreamID]bwroute.UpstreamView)
	for _, svc := range svs.control.Snapshot().services {
		for _, vw := range svc.chooser.UpstreamViews() {
			views[vw.Upstream.Name] = vw
		}
	}
	return views
}

// InProgress returns the number of this router's requests in progress at an upstream.
func (svs *Services) InProgress(name bwmodel.UpstreamID) int {
	return svs.UpstreamViews()[name].InFlight
}

// Choose waits until an upstream can be chosen, and logs the decision.
func (svs *Services) Choose(ctx context.Context, req bwroute.Request) (bwroute.Choice, error) {
	view := svs.control.Snapshot()
	svc := view.services[req.Service]
	if svc == nil {
		return bwroute.Choice{}, fmt.Errorf("service %q: %w", req.Service, ErrNoService)
	}
	choice, dec, err := svc.chooser.ChooseWait(ctx, req)
	svs.logChoice(ctx, req, dec)
	if err == nil {
		choice.Finish = svs.countErrors(choice)
	}
	if err == nil && !view.withCache && len(req.Prefix) > 0 {
		choice.Finish = svs.recordPrefixOnFinish(req, choice)
	}
	return choice, err
}

// recordPrefixOnFinish returns a Finish that records the prefix that the upstream has
// computed. It replaces the upstream's cache events when these are not read.
func (svs *Services) recordPrefixOnFinish(req bwroute.Request, choice bwroute.Choice) func(bwroute.Outcome) {
	return func(out bwroute.Outcome) {
		choice.Finish(out)
		if out.FirstToken == 0 {
			return
		}
		// A failed post means that the router is stopping.
		_ = svs.control.Post(context.Background(), func(st *servicesState) {
			if svc := st.services[req.Service]; svc != nil {
				svc.chooser.RecordPrefix(choice.Upstream.Name, req.Prefix)
			}
		})
	}
}

func (svs *Services) loop(ctx context.Context) {
	tick := time.NewTicker(refreshInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			if svs.control.Post(ctx, svs.refresh) != nil {
				return
			}
		case <-ctx.Done():
			return
		}
	}
}

// update runs in the control goroutine.
func (svs *Services) update(ctx context.Context, st *servicesState, objects RoutingObjects) error {
	wanted := make(map[bwmodel.ServiceID]bool, len(objects.Services))
	var failed error
	for _, spec := range objects.Services {
		wanted[spec.Name] = true
		if st.services[spec.Name] == nil {
			svc, err := svs.newService(ctx, spec)
			if err != nil {
				failed = errors.Join(failed, err)
				continue
			}
			st.services[spec.Name] = svc
		}
	}
	for name, svc := range st.services {
		if !wanted[name] {
			svc.cancel()
			delete(st.services, name)
		}
	}
	teams := divideLimits(objects.Teams, objects.Routers)
	perService := svs.followLimit(len(objects.Services))
	var follow []bwmodel.Upstream
	for _, spec := range objects.Services {
		svc := st.services[spec.Name]
		if svc == nil {
			continue
		}
		ups := bwmember.UpstreamSubset(svs.cfg.Self, upstreamsOf(objects.Upstreams, spec.Name), perService)
		// Change a copy, since traffic goroutines read the published value.
		next := *svc
		next.spec = spec
		next.demand = nextDemand(spec, next.demand)
		st.services[spec.Name] = &next
		next.chooser.SetRouterCount(objects.Routers)
		next.chooser.Update(ups)
		next.queue.Update(spec, teams)
		follow = append(follow, ups...)
	}
	st.follow(ctx, follow)
	return failed
}

// followLimit returns the number of upstreams to follow for one service.
func (svs *Services) followLimit(services int) int {
	return min(max(svs.cfg.MaxFollowed/max(services, 1), minPerService), maxPerService)
}

// newService creates the chooser and queue of a new service and starts the queue.
func (svs *Services) newService(ctx context.Context, spec bwmodel.Service) (*service, error) {
	chooser, err := bwroute.New(bwroute.Config{
		Service: spec.Name,
		Zone:    svs.cfg.Self.Zone,
		Now:     svs.cfg.Now,
		Policy:  svs.cfg.RoutePolicy,
	})
	if err != nil {
		return nil, fmt.Errorf("chooser of service %q: %w", spec.Name, err)
	}
	queue, err := bwadmit.New(bwadmit.Config{
		Service:   spec,
		Now:       svs.cfg.Now,
		Policy:    svs.cfg.AdmitPolicy,
		Capacity:  func() int { total, _ := chooser.Capacity(); return total },
		SlotShare: chooser.SlotShare,
	})
	if err != nil {
		return nil, fmt.Errorf("queue of service %q: %w", spec.Name, err)
	}
	ctx, cancel := context.WithCancel(ctx)
	queue.Start(ctx)
	svc := &service{
		spec:    spec,
		chooser: chooser,
		queue:   queue,
		hedge:   bwretry.NewHedge(svs.cfg.Hedge),
		cancel:  cancel,
	}
	return svc, nil
}

func (svs *Services) observe(ctx context.Context, rep AgentReport) {
	if svs.cfg.OnReport != nil {
		svs.cfg.OnReport(rep)
	}
	// A failed post means that the router is stopping.
	_ = svs.control.Post(ctx, func(st *servicesState) { st.observe(rep) })
}

func (svs *Services) markDisconnected(ctx context.Context, name bwmodel.UpstreamID) {
	// A failed post means that the router is stopping.
	_ = svs.control.Post(ctx, func(st *servicesState) { st.markDisconnected(name) })
}

func (st *servicesState) observe(rep AgentReport) {
	flw, ok := st.upstreams[rep.Upstream.Name]
	svc := st.services[rep.Upstream.Service]
	if !ok || svc == nil {
		return
	}
	next := &agentStatus{
		incarnation: rep.Member.Incarnation,
		clock:       rep.Clock,
		receivedAt:  rep.ReceivedAt,
		load:        rep.Load,
		leaving:     rep.Member.Leaving,
	}
	next.inheritConnection(flw.status.Load())
	flw.status.Store(next)
	svc.chooser.Observe(bwroute.UpstreamStatus{
		Upstream:    rep.Upstream.Name,
		Incarnation: rep.Member.Incarnation,
		Connected:   true,
		Leaving:     rep.Member.Leaving,
		Load:        rep.Load,
		Cache:       rep.CacheEvents,
	})
}

func (st *servicesState) markDisconnected(name bwmodel.UpstreamID) {
	flw, ok := st.upstreams[name]
	if !ok {
		return
	}
	if ags := flw.status.Load(); ags != nil {
		ags.disconnect()
	}
	if svc := st.services[flw.upstream.Service]; svc != nil {
		svc.chooser.Observe(bwroute.UpstreamStatus{Upstream: name})
	}
}

// inheritConnection takes over the connection of the last status unless it was lost.
func (ags *agentStatus) inheritConnection(last *agentStatus) {
	if last != nil && last.connection.Err() == nil {
		ags.connection, ags.disconnect = last.connection, last.disconnect
		return
	}
	ags.connection, ags.disconnect = context.WithCancel(context.Background())
}

// follow replaces the set of followed upstreams.
func (st *servicesState) follow(ctx context.Context, ups []bwmodel.Upstream) {
	next := make(map[bwmodel.UpstreamID]followed, len(ups))
	for _, up := range ups {
		flw, ok := st.upstreams[up.Name]
		if !ok {
			flw.status = new(atomic.Pointer[agentStatus])
		}
		flw.upstream = up
		next[up.Name] = flw
	}
	st.upstreams = next
	st.withCache = len(ups) <= maxCacheStreams
	st.streams.Update(ctx, ups, st.withCache)
}

func (st *servicesState) view() *servicesView {
	return &servicesView{services: maps.Clone(st.services), upstreams: st.upstreams, withCache: st.withCache}
}

// divideLimits returns the teams with limits divided equally among the routers and
// rounded up, so that each router gets at least one request.
func divideLimits(teams []bwmodel.Team, routers int) []bwmodel.Team {
	if routers <= 1 {
		return teams
	}
	shared := make([]bwmodel.Team, len(teams))
	for ix, team := range teams {
		if team.MaxInFlight > 0 {
			team.MaxInFlight = (team.MaxInFlight + routers - 1) / routers
		}
		shared[ix] = team
	}
	return shared
}

func upstreamsOf(all []bwmodel.Upstream, name bwmodel.ServiceID) []bwmodel.Upstream {
	var ups []bwmodel.Upstream
	for _, up := range all {
		if up.Service == name {
			ups = append(ups, up)
		}
	}
	return ups
}
