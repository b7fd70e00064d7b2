package bwgateway

import (
	"context"
	"log/slog"
	"time"

	"bilberrywick/core/bwcontrol"
	"bilberrywick/core/bwforward"
	"bilberrywick/core/bwmodel"
)

// ControlState holds the routing table, the list of upstreams and the known
// gateways. One goroutine changes them; request handlers read the published
// table and pool. Methods with an error return bwcontrol.ErrStopped or the
// context's error if the change is not applied.
type ControlState struct {
	cfg     ControlStateConfig
	control *bwcontrol.Owner[ownedState, View]
	// membersKnown is closed when the other gateways' announcements are applied
	// for the first time, stopping when this gateway stops.
	membersKnown, stopping chan struct{}
	// announceNow makes the announcer write an announcement at once, announceAgain soon.
	announceNow, announceAgain chan struct{}
}

// ControlStateConfig configures a ControlState.
type ControlStateConfig struct {
	Pool    *bwforward.Pool
	Budgets *bwforward.RetryBudgets
	// Quarantine receives the parts of prompts that other gateways have put into
	// quarantine; nil means that none are.
	Quarantine *bwforward.Quarantine
	// Peers receives the addresses of the other gateways; nil disables the exchange
	// with them.
	Peers *Peers
	// Rollouts gets the upstreams before the pool; nil means that versions are ignored.
	Rollouts *Rollouts
	Now      func() time.Time
	Log      *slog.Logger
}

// View is the published, immutable part of a ControlState.
type View struct {
	// Table is nil until a routing table is set.
	Table     *bwforward.RoutingTable
	Upstreams int
	// ListUnavailable means that the list of upstreams can't be read.
	ListUnavailable bool
	// listSettledAt is that of bwforward.UpstreamDirectory.
	listSettledAt time.Time
	// Members is the number of gateways including this one, ActivePeers that of the
	// others that are not stopping.
	Members, ActivePeers int
	// clock is the reading of the store's monotonic clock at clockAt.
	clock   time.Duration
	clockAt time.Time
	// startedAt is the first reading of that clock, leavingSince the one when this gateway
	// began to stop, or 0.
	startedAt, leavingSince time.Duration
	// memberEra is the store's era of the announcements.
	memberEra uint64
	// own is that of ownedState; announced is set if it is of this process.
	own       bwforward.Announcement
	announced bool
	// permitHolders are the gateways that grant permits. settled is set once they are
	// known.
	permitHolders []bwforward.PermitHolder
	settled       bool
	// sharing is that of ownedState.
	sharing int
}

// storeClock estimates the current reading of the store's monotonic clock.
func (vw *View) storeClock() time.Duration { return vw.clock + time.Since(vw.clockAt) }

// ownedState is changed only by the control goroutine.
type ownedState struct {
	table *bwforward.RoutingTable
	// lowerTable is a table with a lower version than table that the store has had since
	// lowerSince, after it was restored; nil if there is none.
	lowerTable *bwforward.RoutingTable
	lowerSince time.Time
	// firstTableAt is when the first table was read. announcedTable is the highest
	// version that another gateway has announced in the store's current era.
	firstTableAt   time.Time
	announcedTable uint64
	// tableEra, listEra and memberEra are the store's eras of the routing table, the
	// list of upstreams and the announcements.
	tableEra, listEra, memberEra uint64
	dir                          *bwforward.UpstreamDirectory
	// poolRevision is the revision of dir that was passed to the pool.
	poolRevision    uint64
	upstreams       []bwforward.Upstream
	listUnavailable bool
	// listKnown is set once the list has been read.
	listKnown bool
	roster    bwforward.GatewayRoster
	// members is the number of known gateways, and sharing the number by which the
	// slack of the retry budgets is divided.
	members     int
	settled     bwforward.SettledCount
	sharing     int
	activePeers int
	clock       time.Duration
	clockAt     time.Time
	// startedAt is the reading of the clock at the first announcements.
	startedAt time.Duration
	// own is the newest announcement of this gateway that the store is known to have had,
	// with the version of the row that it has now.
	own bwforward.Announcement
	// leavingSince is the reading of the clock when this gateway began to stop, or 0.
	leavingSince  time.Duration
	permitHolders []bwforward.PermitHolder
}

// storeClock estimates the current reading of the store's monotonic clock.
func (cst *ownedState) storeClock() time.Duration { return cst.clock + time.Since(cst.clockAt) }

// expiryInterval is short against bwforward.OutageGracePeriod.
const expiryInterval = 200 * time.Millisecond

// NewControlState returns an empty state; Start must be called before any
// method that changes it.
func NewControlState(cfg ControlStateConfig) *ControlState {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.Log == nil {
		cfg.Log = slog.New(slog.DiscardHandler)
	}
	return &ControlState{cfg: cfg, membersKnown: make(chan struct{}), stopping: make(chan struct{}), announceNow: make(chan struct{}, 1), announceAgain: make(chan struct{}, 1), control: bwcontrol.New(bwcontrol.Config[ownedState, View]{
		State: &ownedState{dir: bwforward.NewUpstreamDirectory()},
		View: func(cst *ownedState) *View {
			return &View{Table: cst.table, Upstreams: len(cst.upstreams), ListUnavailable: cst.listUnavailable, listSettledAt: cst.dir.SettledAt(), Members: cst.members, ActivePeers: cst.activePeers, clock: cst.clock, clockAt: cst.clockAt, startedAt: cst.startedAt, leavingSince: cst.leavingSince, memberEra: cst.memberEra, own: cst.own, announced: cst.isAnnounced(), permitHolders: cst.permitHolders, settled: cst.sharing > 0, sharing: cst.sharing}
		},
	})}
}

// Start runs the control goroutine and the expiry of entries until the context
// ends.
func (st *ControlState) Start(ctx context.Context) {
	st.control.Start(ctx)
	go st.loop(ctx)
}

// Rollouts returns the rollouts of services, or nil if there are none.
func (st *ControlState) Rollouts() *Rollouts { return st.cfg.Rollouts }

// View returns the published state; it never blocks.
func (st *ControlState) View() *View { return st.control.Snapshot() }

// Table returns the current routing table, or nil.
func (st *ControlState) Table() *bwforward.RoutingTable { return st.control.Snapshot().Table }

// SetTable applies the routing table that the store has in an era. It replaces the
// current one if it has a higher version. In another era the store may have a copy from
// before the current one, which the operator writes again soon: a table with a lower
// version is only applied if the store still has it after lowerTableDelay.
func (st *ControlState) SetTable(ctx context.Context, tbl *bwforward.RoutingTable, era uint64) error {
	return st.control.Do(ctx, func(cst *ownedState) {
		isRestored := cst.table != nil && era != cst.tableEra
		cst.tableEra = era
		switch {
		case cst.table == nil && tbl.Version() < cst.announcedTable:
			st.holdTable(cst, tbl)
		case cst.table == nil || tbl.Version() > cst.table.Version() || isRestored && tbl.Version() == cst.table.Version() && !tbl.Equal(cst.table):
			st.replaceTable(cst, tbl)
		case tbl.Version() == cst.table.Version():
			cst.lowerTable = nil
		default:
			st.cfg.Log.Info("older routing table not taken", "StateVersion", cst.table.Version(), "Older", tbl.Version(), "Routes", tbl.Routes(), "Era", era)
			if isRestored {
				cst.lowerSince = st.cfg.Now()
			}
			if isRestored || cst.lowerTable != nil {
				cst.lowerTable = tbl
			}
		}
	})
}

// lowerTableDelay is the time after which a routing table with a lower version is applied
// that a restored store has. It is five times that within which what was lost is
// written again.
const lowerTableDelay = 10 * time.Second

// startTime is the time after the first routing table in which the announcements of other
// gateways show whether it is outdated.
const startTime = 3 * time.Second

// checkFirstTable withdraws the first routing table after the start if another gateway
// has used a later one: the store was restored, and the operator has not written again
// what it has lost. It may have routes and keys that were removed.
func (st *ControlState) checkFirstTable(cst *ownedState) {
	isFirst := cst.table != nil && st.cfg.Now().Sub(cst.firstTableAt) < startTime
	if isFirst && cst.table.Version() < cst.announcedTable {
		tbl := cst.table
		cst.table = nil
		st.holdTable(cst, tbl)
	}
}

// holdTable keeps a routing table until lowerTableDelay has passed.
func (st *ControlState) holdTable(cst *ownedState, tbl *bwforward.RoutingTable) {
	if cst.lowerTable == nil {
		cst.lowerSince = st.cfg.Now()
	}
	cst.noteFirstTable(cst.lowerSince)
	cst.lowerTable = tbl
	st.cfg.Log.Warn("routing table is older than another gateway's", "Older", tbl.Version(), "Announced", cst.announcedTable, "Era", cst.tableEra)
}

// noteFirstTable records when the store's first routing table was read.
func (cst *ownedState) noteFirstTable(now time.Time) {
	if cst.firstTableAt.IsZero() {
		cst.firstTableAt = now
	}
}

func (st *ControlState) replaceTable(cst *ownedState, tbl *bwforward.RoutingTable) {
	cst.noteFirstTable(st.cfg.Now())
	cst.table, cst.lowerTable = tbl, nil
	st.cfg.Log.Info("routing table replaced", "StateVersion", tbl.Version(), "Routes", tbl.Routes(), "Era", cst.tableEra)
}

// MarkListUnavailable records that the list of upstreams can't be read.
func (st *ControlState) MarkListUnavailable(ctx context.Context, cause error) error {
	return st.control.Do(ctx, func(cst *ownedState) {
		if !cst.listUnavailable {
			st.cfg.Log.Warn("list of upstreams unavailable", "Error", cause, "Upstreams", len(cst.upstreams))
		}
		cst.listUnavailable = true
		cst.dir.MarkListUnavailable()
	})
}

// ExpectsListChanges reports whether the list of upstreams is about to change: after an
// outage of it upstreams write their entries again, and one that is lost may restart.
func (st *ControlState) ExpectsListChanges() bool {
	return st.cfg.Now().Before(st.View().listSettledAt) || st.cfg.Pool.HasLostUpstreams()
}

// UpstreamChange is one change in the list of upstreams.
type UpstreamChange struct {
	ID bwmodel.UpstreamID
	// Upstream is nil if the entry was removed.
	Upstream *bwforward.Upstream
	// Err is set if the entry is invalid.
	Err error
}

// ApplyChanges applies changes of the list of upstreams in an era of the store; if full
// is set they are the whole list.
func (st *ControlState) ApplyChanges(ctx context.Context, changes []UpstreamChange, era uint64, full bool) error {
	return st.control.Do(ctx, func(cst *ownedState) {
		now := st.cfg.Now()
		if cst.listUnavailable {
			st.cfg.Log.Info("list of upstreams available again", "Entries", len(changes), "Whole", full)
		}
		cst.listUnavailable = false
		cst.dir.MarkListAvailable(now)
		isRestored := cst.listKnown && era != cst.listEra
		cst.listKnown, cst.listEra = true, era
		st.updateDirectory(cst, changes, full, isRestored, now)
		st.updatePool(cst)
	})
}

func (st *ControlState) updateDirectory(cst *ownedState, changes []UpstreamChange, full, isRestored bool, now time.Time) {
	var ups []bwforward.Upstream
	for _, chg := range changes {
		switch {
		case chg.Err != nil:
			st.cfg.Log.Warn("invalid entry removed", "Upstream", chg.ID, "Error", chg.Err)
			cst.dir.RemoveNow(chg.ID)
		case chg.Upstream == nil:
			st.cfg.Log.Info("entry removed", "Upstream", chg.ID)
			cst.dir.Remove(chg.ID, now)
		default:
			ups = append(ups, *chg.Upstream)
			if isRestored || !cst.dir.Put(*chg.Upstream, now) {
				continue
			}
			st.cfg.Log.Info("entry", "Upstream", chg.ID, "Service", chg.Upstream.Service, "Address", chg.Upstream.Address,
				"Zone", chg.Upstream.Zone, "Leaving", chg.Upstream.Leaving, "Born", chg.Upstream.StartTime)
		}
	}
	if isRestored {
		outdated := cst.dir.ReplaceRestored(ups, now)
		st.cfg.Log.Info("list of upstreams restored", "Entries", len(ups), "Era", cst.listEra, "Outdated", outdated)
	} else if full {
		cst.dir.Replace(ups, now)
	}
}

// AddSuccessor adds an upstream that responds at the address of another one, if it is
// known to be of the same service. It is used until the list of upstreams is available
// again.
func (st *ControlState) AddSuccessor(ctx context.Context, old bwforward.Upstream, suc bwforward.Successor) {
	err := st.control.Do(ctx, func(cst *ownedState) {
		reason := cst.dir.AddSuccessor(old, suc, st.cfg.Now())
		st.cfg.Log.Info("new upstream found at a known address", "Old", old.ID, "New", suc.ID, "Address", old.Address,
			"Slots", suc.Slots, "ModelEngine", suc.IsModelEngine, "SameService", suc.SameService, "Away", cst.listUnavailable, "Outcome", reason)
		st.updatePool(cst)
	})
	if err != nil {
		st.cfg.Log.Warn("new upstream not added", "Upstream", suc.ID, "Error", err)
	}
}

// minSharingMembers is the number of gateways from which sharing reads takes
// fewer calls than long polls by each gateway.
const minSharingMembers = 6

// Follow applies the changes of a table until the context ends, and shares
// what it reads with the other gateways. It sets Log, SendUpdate, SendProbe and
// Readers itself.
func (st *ControlState) Follow(ctx context.Context, cfg FollowerConfig) {
	cfg.Log = st.cfg.Log
	cfg.SendUpdate, cfg.SendProbe = func(TableUpdate) {}, func() {}
	cfg.Readers = func() int { return 1 }
	prs := st.cfg.Peers
	if prs != nil {
		cfg.SendUpdate = prs.SendUpdate
		cfg.SendProbe = func() { prs.SendProbe(cfg.Table) }
		cfg.Readers = st.readers
	}
	fol := NewFollower(cfg)
	if prs != nil {
		prs.Subscribe(cfg.Table, TableHandler{OnUpdate: fol.Receive, OnProbe: fol.ReceiveProbe})
	}
	fol.Start(ctx)
}

// readers returns the number of gateways that share reads, or 1.
func (st *ControlState) readers() int {
	if members := st.View().Members; members >= minSharingMembers {
		return members
	}
	return 1
}

// loop applies the changes that come with time: a routing table and entries of a
// restored store, entries that are still missing some time after an outage of the
// list, and the division of the retry budgets.
func (st *ControlState) loop(ctx context.Context) {
	tick := time.NewTicker(expiryInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			if err := st.control.Do(ctx, st.tick); err != nil {
				return
			}
		case <-ctx.Done():
			return
		}
	}
}

func (st *ControlState) tick(cst *ownedState) {
	if cst.lowerTable != nil && st.cfg.Now().Sub(cst.lowerSince) >= lowerTableDelay {
		st.replaceTable(cst, cst.lowerTable)
	}
	st.expire(cst)
	st.shareBudgets(cst)
}

// shareBudgets divides the slack of the retry budgets by the settled number of
// gateways, which changes with time.
func (st *ControlState) shareBudgets(cst *ownedState) {
	if cst.members == 0 {
		return
	}
	established := cst.roster.Established(cst.storeClock())
	count := cst.settled.Observe(cst.members, established, st.cfg.Now())
	if count == cst.sharing {
		return
	}
	cst.sharing = count
	st.cfg.Budgets.SetGatewayCount(count)
	st.cfg.Log.Info("retry budget shared", "Gateways", count, "SlackPart", st.cfg.Budgets.SlackPart())
}

func (st *ControlState) expire(cst *ownedState) {
	expired := cst.dir.Expire(st.cfg.Now())
	if len(expired) > 0 {
		st.cfg.Log.Info("entries expired after an outage of the list", "Upstreams", expired)
	}
	st.updatePool(cst)
}

// updatePool passes the upstreams to the pool if they have changed. Most reads
// bring no change, and building a pool of thousands of upstreams takes
// milliseconds.
func (st *ControlState) updatePool(cst *ownedState) {
	if rev := cst.dir.Revision(); rev != cst.poolRevision {
		cst.poolRevision = rev
		cst.upstreams = cst.dir.Upstreams()
		st.cfg.Rollouts.setUpstreams(cst.upstreams)
		st.cfg.Pool.Update(cst.upstreams)
	}
}
