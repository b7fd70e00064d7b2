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

// Services keeps a chooser and a queue for each service in force and a status
// stream to each upstream that the router follows.
type Services struct {
	cfg ServicesConfig
	own *bwcontrol.Owner[servicesState, servicesView]
}

// ServicesConfig configures Services.
type ServicesConfig struct {
	Self   bwmodel.Member
	Client *bwrpc.Client
	// RoutePolicy and Order are the policies of choice and admission; the zero values
	// are the defaults of bwroute and bwadmit.
	RoutePolicy bwroute.Policy
	AdmitPolicy bwadmit.Policy
	// Hedge configures the hedge of each plain service.
	Hedge bwretry.HedgeConfig
	// MaxFollowed bounds the upstreams that the router follows in all; 0 means
	// 96, whose reports take 6.5 KB/s of a control budget of 9 KB/s.
	MaxFollowed int
	StateNumber func() bwmodel.TicketNumber
	// OnReport is told of each agent's report; it may be nil.
	OnReport func(AgentReport)
	Metrics  *bwobserve.Metrics
	Now      func() time.Time
	Log      *slog.Logger
}

const (
	defaultMaxFollowed = 96
	// A service gets its part of the followed upstreams within these bounds: 32
	// are scanned in full, and 6 leave a choice in at least two zones.
	minPerService = 6
	maxPerService = 32
	// refreshInterval is how often upstreams are compared with their peers.
	refreshInterval = 250 * time.Millisecond
	// maxCacheStreams is the number of followed upstreams up to which their cache
	// events are read. At peak an engine publishes about 290 events a second,
	// 2.6 KB, so a router that follows 96 would spend its budget on them.
	maxCacheStreams = 64
)

// ErrNoService says that no service of the name is in force.
var ErrNoService = errors.New("service is not in force")

// service is one service in force, with its decisions.
type service struct {
	spec    bwmodel.Service
	chooser *bwroute.Chooser
	queue   *bwadmit.Queue
	hedge   *bwretry.Hedge
	// demand counts what is asked of each model in the service's list.
	demand map[string]*modelDemand
	cancel context.CancelFunc
}

// followed is one upstream with the last reading of its agent's clock.
type followed struct {
	upstream bwmodel.Upstream
	reading  *atomic.Pointer[clockReading]
}

// clockReading is an agent's clock as its report carried it, with the engine's
// load and whether the agent is leaving.
type clockReading struct {
	incarnation bwmodel.Incarnation
	clock       time.Duration
	arrived     time.Time
	load        bwmodel.LoadReport
	leaving     bool
	// connected ends when the status stream that brought the report is lost.
	connected context.Context
	lose      context.CancelFunc
}

// servicesState is changed by the control goroutine only.
type servicesState struct {
	services  map[bwmodel.ServiceID]*service
	upstreams map[bwmodel.UpstreamID]followed
	watches   *StatusStreams
	// withCache says that the reports carry the upstreams' cache events.
	withCache bool
}

// servicesView is what traffic goroutines read.
type servicesView struct {
	services  map[bwmodel.ServiceID]*service
	upstreams map[bwmodel.UpstreamID]followed
	withCache bool
}

// NewServices returns a Services without any service.
func NewServices(cfg ServicesConfig) *Services {
	if cfg.MaxFollowed == 0 {
		cfg.MaxFollowed = defaultMaxFollowed
	}
	svs := &Services{cfg: cfg}
	state := &servicesState{
		services:  make(map[bwmodel.ServiceID]*service),
		upstreams: make(map[bwmodel.UpstreamID]followed),
		watches: NewStatusStreams(StatusStreamsConfig{
			Self:        cfg.Self.ID,
			Client:      cfg.Client,
			StateNumber: cfg.StateNumber,
			OnReport:    svs.observe,
			OnLost:      svs.lose,
			Now:         cfg.Now,
			Log:         cfg.Log,
		}),
	}
	svs.own = bwcontrol.New(bwcontrol.Config[servicesState, servicesView]{
		State: state,
		View:  (*servicesState).view,
	})
	return svs
}

// Start runs the control goroutine until the context ends.
func (svs *Services) Start(ctx context.Context) {
	svs.own.Start(ctx)
	go svs.loop(ctx)
}

// Update takes in the services, teams and upstreams in force and the number of
// routers that share the teams' limits.
func (svs *Services) Update(ctx context.Context, objects RoutingObjects) error {
	var failed error
	err := svs.own.Do(ctx, func(st *servicesState) { failed = svs.update(ctx, st, objects) })
	return errors.Join(err, failed)
}

// RoutingObjects is what a ticket state holds, as far as routing needs it.
type RoutingObjects struct {
	Services  []bwmodel.Service
	Teams     []bwmodel.Team
	Upstreams []bwmodel.Upstream
	// Routers is the number of live routers, this one included.
	Routers int
}

// Service returns a service in force.
func (svs *Services) Service(name bwmodel.ServiceID) (bwmodel.Service, bool) {
	svc := svs.own.Snapshot().services[name]
	if svc == nil {
		return bwmodel.Service{}, false
	}
	return svc.spec, true
}

// Upstream returns an upstream that the router follows.
func (svs *Services) Upstream(name bwmodel.UpstreamID) (bwmodel.Upstream, bool) {
	fol, ok := svs.own.Snapshot().upstreams[name]
	return fol.upstream, ok
}

// Hedge returns the hedge of a plain service, or nil when it is not in force.
func (svs *Services) Hedge(name bwmodel.ServiceID) *bwretry.Hedge {
	svc := svs.own.Snapshot().services[name]
	if svc == nil {
		return nil
	}
	return svc.hedge
}

// AgentClock returns an agent's incarnation and the lowest value that its clock
// can have now: its last report took no time at least to arrive.
func (svs *Services) AgentClock(name bwmodel.UpstreamID) (bwmodel.Incarnation, time.Duration, bool) {
	fol, ok := svs.own.Snapshot().upstreams[name]
	if !ok {
		return 0, 0, false
	}
	rdg := fol.reading.Load()
	if rdg == nil {
		return 0, 0, false
	}
	return rdg.incarnation, rdg.clock + svs.cfg.Now().Sub(rdg.arrived), true
}

// ConnectionContext returns a context that ends when the status stream of an upstream's
// agent is lost, or one that never ends when the upstream has not reported.
func (svs *Services) ConnectionContext(name bwmodel.UpstreamID) context.Context {
	if reading := svs.own.Snapshot().upstreams[name].reading; reading != nil {
		if rdg := reading.Load(); rdg != nil {
			return rdg.connected
		}
	}
	return context.Background()
}

// UnreportedUpstreams lists the followed upstreams whose agent has not reported yet.
func (svs *Services) UnreportedUpstreams() []bwmodel.UpstreamID {
	var names []bwmodel.UpstreamID
	for name, fol := range svs.own.Snapshot().upstreams {
		if fol.reading.Load() == nil {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// UpstreamViews returns what is known of each followed upstream.
func (svs *Services) UpstreamViews() map[bwmodel.UpstreamID]bwroute.UpstreamView {
	views := make(map[bwmodel.UpstreamID]bwroute.UpstreamView)
	for _, svc := range svs.own.Snapshot().services {
		for _, vw := range svc.chooser.UpstreamViews() {
			views[vw.Upstream.Name] = vw
		}
	}
	return views
}

// InProgress returns the number of this router's requests at an upstream.
func (svs *Services) InProgress(name bwmodel.UpstreamID) int {
	return svs.UpstreamViews()[name].InFlight
}

// Choose waits for an upstream and logs the decision.
func (svs *Services) Choose(ctx context.Context, req bwroute.Request) (bwroute.Choice, error) {
	view := svs.own.Snapshot()
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
		choice.Finish = svs.remember(req, choice)
	}
	return choice, err
}

// remember returns a Finish that notes the prefix which the upstream has
// computed, in place of the cache events that it does not report.
func (svs *Services) remember(req bwroute.Request, choice bwroute.Choice) func(bwroute.Outcome) {
	return func(out bwroute.Outcome) {
		choice.Finish(out)
		if out.FirstToken == 0 {
			return
		}
		// A failed post means that the router is stopping.
		_ = svs.own.Post(context.Background(), func(st *servicesState) {
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
			if svs.own.Post(ctx, svs.refresh) != nil {
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
			svc, err := svs.open(ctx, spec)
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
	teams := shareLimits(objects.Teams, objects.Routers)
	perService := svs.perService(len(objects.Services))
	var follow []bwmodel.Upstream
	for _, spec := range objects.Services {
		svc := st.services[spec.Name]
		if svc == nil {
			continue
		}
		ups := bwmember.UpstreamSubset(svs.cfg.Self, upstreamsOf(objects.Upstreams, spec.Name), perService)
		// A copy, since traffic goroutines read the published one.
		next := *svc
		next.spec = spec
		next.demand = newDemand(spec, next.demand)
		st.services[spec.Name] = &next
		next.chooser.SetRouterCount(objects.Routers)
		next.chooser.Update(ups)
		next.queue.Update(spec, teams)
		follow = append(follow, ups...)
	}
	st.follow(ctx, follow)
	return failed
}

// perService returns the number of upstreams that are followed for one service.
func (svs *Services) perService(services int) int {
	return min(max(svs.cfg.MaxFollowed/max(services, 1), minPerService), maxPerService)
}

// open starts the decisions of a service that has come into force.
func (svs *Services) open(ctx context.Context, spec bwmodel.Service) (*service, error) {
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
	_ = svs.own.Post(ctx, func(st *servicesState) { st.observe(rep) })
}

func (svs *Services) lose(ctx context.Context, name bwmodel.UpstreamID) {
	// A failed post means that the router is stopping.
	_ = svs.own.Post(ctx, func(st *servicesState) { st.lose(name) })
}

func (st *servicesState) observe(rep AgentReport) {
	fol, ok := st.upstreams[rep.Upstream.Name]
	svc := st.services[rep.Upstream.Service]
	if !ok || svc == nil {
		return
	}
	next := &clockReading{
		incarnation: rep.Member.Incarnation,
		clock:       rep.Clock,
		arrived:     rep.ReceivedAt,
		load:        rep.Load,
		leaving:     rep.Member.Leaving,
	}
	next.connect(fol.reading.Load())
	fol.reading.Store(next)
	svc.chooser.Observe(bwroute.UpstreamStatus{
		Upstream:    rep.Upstream.Name,
		Incarnation: rep.Member.Incarnation,
		Connected:   true,
		Leaving:     rep.Member.Leaving,
		Load:        rep.Load,
		Cache:       rep.CacheEvents,
	})
}

func (st *servicesState) lose(name bwmodel.UpstreamID) {
	fol, ok := st.upstreams[name]
	if !ok {
		return
	}
	if rdg := fol.reading.Load(); rdg != nil {
		rdg.lose()
	}
	if svc := st.services[fol.upstream.Service]; svc != nil {
		svc.chooser.Observe(bwroute.UpstreamStatus{Upstream: name})
	}
}

// connect goes on with the connection of the last reading unless that was lost.
func (rdg *clockReading) connect(last *clockReading) {
	if last != nil && last.connected.Err() == nil {
		rdg.connected, rdg.lose = last.connected, last.lose
		return
	}
	rdg.connected, rdg.lose = context.WithCancel(context.Background())
}

// follow replaces the upstreams that have a status stream.
func (st *servicesState) follow(ctx context.Context, ups []bwmodel.Upstream) {
	next := make(map[bwmodel.UpstreamID]followed, len(ups))
	for _, up := range ups {
		fol, ok := st.upstreams[up.Name]
		if !ok {
			fol.reading = new(atomic.Pointer[clockReading])
		}
		fol.upstream = up
		next[up.Name] = fol
	}
	st.upstreams = next
	st.withCache = len(ups) <= maxCacheStreams
	st.watches.Update(ctx, ups, st.withCache)
}

func (st *servicesState) view() *servicesView {
	return &servicesView{services: maps.Clone(st.services), upstreams: st.upstreams, withCache: st.withCache}
}

// shareLimits gives each router an equal part of the teams' limits, at least one request.
func shareLimits(teams []bwmodel.Team, routers int) []bwmodel.Team {
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
