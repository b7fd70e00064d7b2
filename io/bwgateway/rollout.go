package bwgateway

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"time"

	"bilberrywick/core/bwcontrol"
	"bilberrywick/core/bwforward"
	"bilberrywick/core/bwmodel"
	"bilberrywick/core/bwrollout"
)

// Rollouts moves the traffic of services between versions as operators order it. One
// goroutine owns its control state; request handlers read the published rules. A nil
// Rollouts means that versions are ignored.
type Rollouts struct {
	cfg     RolloutsConfig
	control *bwcontrol.Owner[ownedRollouts, rolloutsView]
	plan    bwrollout.Plan
	// reconsider makes loop decide at once, ordered tells that an order has come.
	reconsider, ordered chan struct{}
	// writeState is RolloutStateWriter; it is set by Start.
	writeState RolloutStateWriter
}

// RolloutsConfig configures Rollouts.
type RolloutsConfig struct {
	Limits bwrollout.Limits
	Member bwmodel.MemberID
	Pool   *bwforward.Pool
	// View returns the published control state.
	View func() *View
	// SendReport sends a report to the gateways that decide, SendNote a note to all others.
	SendReport func(RolloutReport, []bwforward.PermitHolder)
	SendNote   func(RollbackNote)
	Metrics    *Metrics
	Now        func() time.Time
	Log        *slog.Logger
}

// RolloutRow is the state of a service's rollouts as the store has it.
type RolloutRow struct {
	Service bwmodel.ServiceID
	State   bwrollout.State
	// Version is the version of the row; 0 if there is none.
	Version uint64
}

// RolloutOrder is a change of a service's order in the store.
type RolloutOrder struct {
	Service bwmodel.ServiceID
	// Order is nil if the order was removed.
	Order *bwrollout.Order
}

// RolloutStateWriter writes a state together with the status that operators read, if the
// row of the state still is the given one, and returns the row that the store has then.
// It returns ErrRolloutReplaced with the stored row if that is another one. It does not
// begin a write after the context's deadline.
type RolloutStateWriter func(ctx context.Context, next bwrollout.State, base RolloutRow) (RolloutRow, error)

// ErrRolloutReplaced means that the row of a rollout's state has changed, so that nothing
// was written.
var ErrRolloutReplaced = errors.New("row of the rollout's state has changed")

// ownedRollouts is changed only by the goroutine of Rollouts.
type ownedRollouts struct {
	services map[bwmodel.ServiceID]*serviceRollout
	// ordersRead is the revision of the store up to which the orders were read, listRead
	// that of the list of upstreams; zero before the first read.
	ordersRead, listRead bwrollout.Revision
	// statesEra is the era in which the states were read last, statesRead the time at
	// which they were known to be current; zero before the first read.
	statesEra  uint64
	statesRead time.Time
	// lastTick is the time of the last decisions, resumedAt that of the first ones after
	// the start or a pause of the process.
	lastTick, resumedAt time.Time
}

// serviceRollout is what is known of the rollouts of one service.
type serviceRollout struct {
	name bwmodel.ServiceID
	// order is the order in the store, or nil. known is the newest known state, and
	// stored the row that the store has.
	order  *bwrollout.Order
	known  bwrollout.State
	stored RolloutRow
	// versions has the listed versions.
	versions map[bwmodel.VersionID]*listedVersion
	// listedSince has the times at which the upstreams were listed. It is replaced, not
	// changed, since traffic reads it.
	listedSince map[bwmodel.UpstreamID]time.Time
	// serving is the version that served before the current order, if servingKnown is set.
	serving      bwmodel.VersionID
	servingKnown bool
	// traffic counts the requests since the current order; nil if there is none.
	traffic *rolloutTraffic
	tally   bwrollout.Tally
	// runningSince is when this gateway learned of the running rollout.
	runningSince time.Time
	// stopped is set if the new version of the current order is known to be bad, and
	// badRoute the route on which a gateway that decides has found it bad, if noted is set.
	stopped, noted bool
	badRoute       string
	// writing is set while a write of a state is in progress. lastNote is the time of this
	// gateway's last note, lastDetail that of its last write of another state in the same
	// phase.
	writing              bool
	lastNote, lastDetail time.Time
	lastReport           sentReport
	rules                *versionRules
}

// sentReport is a report that was sent.
type sentReport struct {
	report     bwrollout.Report
	recipients []bwforward.PermitHolder
	at         time.Time
}

// listedVersion is a version with listed upstreams.
type listedVersion struct {
	// appeared is the revision of the store at which it was read first.
	appeared bwrollout.Revision
	// cleared is set once the orders were read at that revision or a later one.
	cleared bool
}

// rolloutsView is the published, immutable part of Rollouts.
type rolloutsView struct {
	rules map[bwmodel.ServiceID]*versionRules
	// idle is set if no rollout runs or is ordered.
	idle bool
}

// versionRules are the rules of a service's requests. They are not changed.
type versionRules struct {
	// established is for all requests, but the copies of their KV caches, for which copies
	// is, and those that the exposure allows, for which sampled is. sampled is nil if
	// there are none.
	established, copies, sampled *bwforward.VersionRule
	// traffic is nil without a rollout.
	traffic *rolloutTraffic
}

// unknownService forbids all requests of a service whose upstreams are not known yet.
var unknownService = &versionRules{established: &bwforward.VersionRule{}, copies: &bwforward.VersionRule{}}

// NewRollouts returns a Rollouts, or nil if the limits are not set; Start starts it.
func NewRollouts(cfg RolloutsConfig) *Rollouts {
	if !cfg.Limits.AreSet() {
		return nil
	}
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.Log == nil {
		cfg.Log = slog.New(slog.DiscardHandler)
	}
	if cfg.Metrics == nil {
		cfg.Metrics = NewMetrics()
	}
	return &Rollouts{cfg: cfg, plan: bwrollout.Plan{Limits: cfg.Limits}, reconsider: make(chan struct{}, 1), ordered: make(chan struct{}, 1), control: bwcontrol.New(bwcontrol.Config[ownedRollouts, rolloutsView]{
		State: &ownedRollouts{services: make(map[bwmodel.ServiceID]*serviceRollout)},
		View: func(ors *ownedRollouts) *rolloutsView {
			rules := make(map[bwmodel.ServiceID]*versionRules, len(ors.services))
			for name, srl := range ors.services {
				rules[name] = srl.rules
			}
			return &rolloutsView{rules: rules, idle: ors.isIdle()}
		},
	})}
}

// Start decides about rollouts until the context ends. It must be called before any
// method that changes the state.
func (rol *Rollouts) Start(ctx context.Context, write RolloutStateWriter) {
	rol.writeState = write
	rol.control.Start(ctx)
	go rol.loop(ctx)
}

// IsIdle reports whether no rollout runs or is ordered, so that the states need not be
// read often.
func (rol *Rollouts) IsIdle() bool { return rol.control.Snapshot().idle }

// Ordered receives a value when orders were read.
func (rol *Rollouts) Ordered() <-chan struct{} { return rol.ordered }

// isIdle reports whether all orders are handled and no rollout runs. After a restore of the
// store the states have to be read, as final ones may be lost.
func (ors *ownedRollouts) isIdle() bool {
	if ors.statesEra != ors.ordersRead.Era {
		return false
	}
	for _, srl := range ors.services {
		if srl.known.IsRunning() || srl.order != nil && !srl.known.Handles(*srl.order) {
			return false
		}
	}
	return true
}

// rulesOf returns the rules of a service.
func (rol *Rollouts) rulesOf(svc bwmodel.ServiceID) *versionRules {
	if rules := rol.control.Snapshot().rules[svc]; rules != nil {
		return rules
	}
	return unknownService
}

// service returns what is known of a service.
func (ors *ownedRollouts) service(name bwmodel.ServiceID) *serviceRollout {
	srl := ors.services[name]
	if srl == nil {
		srl = &serviceRollout{name: name, stored: RolloutRow{Service: name}, versions: make(map[bwmodel.VersionID]*listedVersion), rules: unknownService}
		ors.services[name] = srl
	}
	return srl
}

// ApplyOrders applies orders that were read at a time of the store. If full is set they
// are all orders.
func (rol *Rollouts) ApplyOrders(ctx context.Context, orders []RolloutOrder, at StoreTime, full bool) error {
	return rol.control.Do(ctx, func(ors *ownedRollouts) {
		if full {
			rol.removeOrders(ors, orders)
		}
		for _, ord := range orders {
			srl := ors.service(ord.Service)
			isKnown := srl.order != nil && ord.Order != nil && *srl.order == *ord.Order
			srl.order = ord.Order
			if ord.Order != nil && !isKnown {
				rol.cfg.Log.Info("rollout order", "Service", ord.Service, "To", ord.Order.To, "Duration", ord.Order.Duration,
					"Revision", ord.Order.Revision.Version, "Era", ord.Order.Revision.Era, "New", !srl.known.Handles(*ord.Order), "Phase", srl.known.Phase.String())
			}
		}
		// The rules of the orders are made with what was known before: an order that is
		// there at the first read may be older than this process.
		rol.refreshAll(ors)
		isRestored := at.Era != ors.ordersRead.Era
		ors.ordersRead = bwrollout.Revision{Era: at.Era, Version: at.Version}
		rol.refreshAll(ors)
		if len(orders) > 0 || isRestored {
			signal(rol.reconsider)
			signal(rol.ordered)
		}
	})
}

// removeOrders removes the orders of services that are not among the orders in the store.
func (rol *Rollouts) removeOrders(ors *ownedRollouts, orders []RolloutOrder) {
	for name, srl := range ors.services {
		if srl.order != nil && !slices.ContainsFunc(orders, func(ord RolloutOrder) bool { return ord.Service == name }) {
			rol.cfg.Log.Info("rollout order removed", "Service", name, "To", srl.order.To, "Phase", srl.known.Phase.String())
			srl.order = nil
		}
	}
}

// ApplyStates applies states of rollouts that were read at a time of the store. If full is
// set they are all states.
func (rol *Rollouts) ApplyStates(ctx context.Context, rows []RolloutRow, at StoreTime, full bool) error {
	return rol.control.Do(ctx, func(ors *ownedRollouts) {
		if full {
			for _, srl := range ors.services {
				srl.stored = RolloutRow{Service: srl.name}
			}
		}
		for _, row := range rows {
			rol.adopt(ors.service(row.Service), row, "read")
		}
		// A read through another gateway, or one of a process that was paused since, is
		// older than its arrival.
		vw := rol.cfg.View()
		age := time.Duration(0)
		if !vw.clockAt.IsZero() {
			age = max(vw.storeClock()-at.Clock, 0)
		}
		if read := rol.cfg.Now().Add(-age); read.After(ors.statesRead) {
			ors.statesRead = read
		}
		ors.statesEra = at.Era
		for _, srl := range ors.services {
			if full || srl.traffic != nil || len(rows) > 0 {
				rol.refresh(ors, srl)
			}
		}
		if len(rows) > 0 || full {
			signal(rol.reconsider)
		}
	})
}

// adopt applies a row of the store. The known state stays if the row has an older one, or
// if it has a rollout that begins again with an order that the known one has handled, by
// a gateway that did not know it after a restore.
func (rol *Rollouts) adopt(srl *serviceRollout, row RolloutRow, source string) {
	before := srl.stored.Version
	srl.stored = row
	repeats := srl.known.Phase.IsFinal() && !row.State.Phase.IsFinal() && srl.known.Handles(row.State.Order)
	if repeats && row.State.Handled.Era > srl.known.Handled.Era {
		srl.known.Handled = row.State.Handled
	}
	if srl.known.IsRunning() && isSameRollout(row.State, srl.known) && row.Version >= before {
		srl.known = row.State
		return
	}
	if repeats || !row.State.Supersedes(srl.known) {
		return
	}
	if srl.known.Phase != row.State.Phase || srl.known.Order != row.State.Order {
		rol.logState("rollout state", srl, row.State, "Source", source, "RowVersion", row.Version)
		rol.cfg.Metrics.countRolloutState(row.State.Phase)
	}
	if row.State.IsRunning() && (!srl.known.IsRunning() || srl.known.Order != row.State.Order) {
		srl.runningSince = rol.cfg.Now()
	}
	srl.known = row.State
}

// logState writes a log line about a state.
func (rol *Rollouts) logState(message string, srl *serviceRollout, st bwrollout.State, attrs ...any) {
	clock := rol.cfg.View().storeClock()
	rol.cfg.Log.Info(message, append([]any{
		"Service", srl.name, "From", st.From, "To", st.Order.To, "Phase", st.Phase.String(), "Reason", st.Reason, "BadRoute", st.BadRoute,
		"Before", srl.known.Phase.String(), "SinceOrder", clock - st.BeganAt, "Duration", st.Order.Duration, "DecisionAge", clock - st.DecidedAt,
	}, attrs...)...)
}

// ListRead records the revision of the store at which the list of upstreams was read. It
// is called before the list is applied.
func (rol *Rollouts) ListRead(ctx context.Context, at StoreTime) error {
	return rol.control.Do(ctx, func(ors *ownedRollouts) {
		if at.Era != ors.listRead.Era {
			for _, srl := range ors.services {
				for _, lvr := range srl.versions {
					lvr.appeared = bwrollout.Revision{Era: at.Era, Version: at.Version}
				}
			}
		}
		ors.listRead = bwrollout.Revision{Era: at.Era, Version: at.Version}
	})
}

// setUpstreams sets the versions of the upstreams that the pool gets next.
func (rol *Rollouts) setUpstreams(ups []bwforward.Upstream) {
	if rol == nil {
		return
	}
	err := rol.control.Do(context.Background(), func(ors *ownedRollouts) {
		listed := make(map[bwmodel.ServiceID][]bwforward.Upstream)
		for _, up := range ups {
			listed[up.Service] = append(listed[up.Service], up)
			ors.service(up.Service)
		}
		for name, srl := range ors.services {
			rol.setVersions(ors, srl, listed[name])
		}
		rol.refreshAll(ors)
	})
	if err != nil {
		rol.cfg.Log.Warn("versions of upstreams not applied", "Error", err)
	}
}

// setVersions sets the listed versions of a service. One that was not listed for a while
// may come back under another order.
func (rol *Rollouts) setVersions(ors *ownedRollouts, srl *serviceRollout, ups []bwforward.Upstream) {
	listed, since, now := make(map[bwmodel.VersionID]bool), make(map[bwmodel.UpstreamID]time.Time, len(ups)), rol.cfg.Now()
	for _, up := range ups {
		listed[up.Version] = true
		since[up.ID] = now
		if at, ok := srl.listedSince[up.ID]; ok {
			since[up.ID] = at
		}
	}
	srl.listedSince = since
	for ver := range srl.versions {
		if !listed[ver] {
			delete(srl.versions, ver)
		}
	}
	for ver := range listed {
		if srl.versions[ver] == nil {
			srl.versions[ver] = &listedVersion{appeared: ors.listRead}
			rol.cfg.Log.Info("version appeared", "Service", srl.name, "UpstreamVersion", ver, "ListRevision", ors.listRead.Version, "OrdersRevision", ors.ordersRead.Version, "Era", ors.listRead.Era)
		}
	}
}
