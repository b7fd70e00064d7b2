package bwgateway

import (
	"context"
	"log/slog"
	"time"

	"bilberrywick/core/bwcontrol"
	"bilberrywick/core/bwforward"
	"bilberrywick/core/bwmodel"
)

// ControlState keeps the gateway's state current with what a source publishes. One
// goroutine changes it; traffic reads its table and its pool.
type ControlState struct {
	cfg     ControlStateConfig
	control *bwcontrol.Owner[controlState, View]
	// met is closed when the announcements of the other gateways are known,
	// leaving when this one stops.
	met, leaving chan struct{}
}

// ControlStateConfig configures a State.
type ControlStateConfig struct {
	Pool    *bwforward.Pool
	Budgets *bwforward.RetryBudgets
	// Peers is told the addresses of the other gateways; nil means that there is
	// no exchange.
	Peers *Peers
	Now   func() time.Time
	Log   *slog.Logger
}

// View is the published state.
type View struct {
	// Table is nil until a state is known.
	Table     *bwforward.RoutingTable
	Upstreams int
	// ListUnavailable says that the list of upstreams can't be read.
	ListUnavailable bool
	// Members counts the gateways, with this one, and Staying the others that
	// don't stop.
	Members, ActivePeers int
	// clock is the store's steady clock at a time of this process.
	clock   time.Duration
	clockAt time.Time
}

// storeClock returns the store's steady clock now.
func (vw *View) storeClock() time.Duration { return vw.clock + time.Since(vw.clockAt) }

type controlState struct {
	table *bwforward.RoutingTable
	dir   *bwforward.UpstreamDirectory
	// pooled is the revision of dir that the pool has.
	pooled uint64
	ups    []bwforward.Upstream
	away   bool
	// members counts the gateways that share the retry budget.
	roster  bwforward.GatewayRoster
	members int
	staying int
	clock   time.Duration
	clockAt time.Time
}

// expiryStep is short against RecallTime.
const expiryStep = 200 * time.Millisecond

// NewControlState returns an empty state that Start makes ready.
func NewControlState(cfg ControlStateConfig) *ControlState {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.Log == nil {
		cfg.Log = slog.New(slog.DiscardHandler)
	}
	return &ControlState{cfg: cfg, met: make(chan struct{}), leaving: make(chan struct{}), control: bwcontrol.New(bwcontrol.Config[controlState, View]{
		State: &controlState{dir: bwforward.NewUpstreamDirectory()},
		View: func(cst *controlState) *View {
			return &View{Table: cst.table, Upstreams: len(cst.ups), ListUnavailable: cst.away, Members: cst.members, ActivePeers: cst.staying, clock: cst.clock, clockAt: cst.clockAt}
		},
	})}
}

// Start runs the control goroutine until the context ends.
func (st *ControlState) Start(ctx context.Context) {
	st.control.Start(ctx)
	go st.loop(ctx)
}

// View returns the published state; it never blocks.
func (st *ControlState) View() *View { return st.control.Snapshot() }

// Table returns the table in force, or nil.
func (st *ControlState) Table() *bwforward.RoutingTable { return st.control.Snapshot().Table }

// SetTable puts a table in force unless a higher version is.
func (st *ControlState) SetTable(ctx context.Context, tbl *bwforward.RoutingTable) error {
	return st.control.Do(ctx, func(cst *controlState) {
		if cst.table != nil && tbl.Version() <= cst.table.Version() {
			return
		}
		cst.table = tbl
		st.cfg.Log.Info("state in force", "StateVersion", tbl.Version(), "Routes", tbl.Routes())
	})
}

// MarkListUnavailable notes that the list of upstreams can't be read.
func (st *ControlState) MarkListUnavailable(ctx context.Context, cause error) error {
	return st.control.Do(ctx, func(cst *controlState) {
		if !cst.away {
			st.cfg.Log.Warn("list of upstreams lost", "Error", cause, "Upstreams", len(cst.ups))
		}
		cst.away = true
		cst.dir.MarkListUnavailable()
	})
}

// UpstreamChange is one change of the list of upstreams.
type UpstreamChange struct {
	ID bwmodel.UpstreamID
	// Upstream is nil when the entry is gone.
	Upstream *bwforward.Upstream
	// Err says why the entry can't be used.
	Err error
}

// ApplyChanges takes in changes of the list; with whole set they are all of it.
func (st *ControlState) ApplyChanges(ctx context.Context, changes []UpstreamChange, whole bool) error {
	return st.control.Do(ctx, func(cst *controlState) {
		now := st.cfg.Now()
		if cst.away {
			st.cfg.Log.Info("list of upstreams regained", "Entries", len(changes), "Whole", whole)
		}
		cst.away = false
		cst.dir.MarkListAvailable(now)
		st.apply(cst, changes, whole, now)
		st.updatePool(cst)
	})
}

func (st *ControlState) apply(cst *controlState, changes []UpstreamChange, whole bool, now time.Time) {
	var ups []bwforward.Upstream
	for _, chg := range changes {
		switch {
		case chg.Err != nil:
			st.cfg.Log.Warn("entry can't be used", "Upstream", chg.ID, "Error", chg.Err)
			cst.dir.RemoveNow(chg.ID)
		case chg.Upstream == nil:
			st.cfg.Log.Info("entry removed", "Upstream", chg.ID)
			cst.dir.Remove(chg.ID, now)
		default:
			ups = append(ups, *chg.Upstream)
			if !cst.dir.Put(*chg.Upstream) {
				continue
			}
			st.cfg.Log.Info("entry", "Upstream", chg.ID, "Service", chg.Upstream.Service, "Address", chg.Upstream.Address,
				"Zone", chg.Upstream.Zone, "Leaving", chg.Upstream.Leaving, "Born", chg.Upstream.StartTime)
		}
	}
	if whole {
		cst.dir.Replace(ups, now)
	}
}

// AddSuccessor takes in an upstream that was met at the address of another one. It
// is used until the list says more.
func (st *ControlState) AddSuccessor(ctx context.Context, old bwforward.Upstream, idy Identity) {
	err := st.control.Do(ctx, func(cst *controlState) {
		reason := cst.dir.AddSuccessor(old, idy.ID, idy.Slots, st.cfg.Now())
		st.cfg.Log.Info("upstream met at a known address", "Old", old.ID, "New", idy.ID, "Address", old.Address,
			"Slots", idy.Slots, "Away", cst.away, "Outcome", reason)
		st.updatePool(cst)
	})
	if err != nil {
		st.cfg.Log.Warn("upstream not taken in", "Upstream", idy.ID, "Error", err)
	}
}

// ApplyAnnouncements takes in announcements of gateways, also the own one, and the time
// now on the source's steady clock; with whole set they are all.
func (st *ControlState) ApplyAnnouncements(ctx context.Context, anns []bwforward.Announcement, now time.Duration, whole bool) error {
	first := false
	err := st.control.Do(ctx, func(cst *controlState) {
		first = cst.clockAt.IsZero()
		cst.clock, cst.clockAt = now, time.Now()
		anns = st.others(anns, first)
		if whole {
			cst.roster.Replace(anns)
		}
		for _, ann := range anns {
			cst.roster.Put(ann)
		}
		if st.cfg.Peers != nil {
			st.cfg.Peers.SetPeers(cst.roster.Others(now))
		}
		cst.staying = cst.roster.ActivePeers(now)
		count := cst.roster.Count(now)
		if count == cst.members {
			return
		}
		cst.members = count
		st.cfg.Budgets.SetGatewayCount(count)
		st.cfg.Log.Info("gateways counted", "Members", count, "RetryBurst", st.cfg.Budgets.Burst())
	})
	// The announcer reads the view, which is published by now.
	if err == nil && first {
		close(st.met)
	}
	return err
}

// AnnounceLeaving has this gateway announced as one that stops. It is called once.
func (st *ControlState) AnnounceLeaving() { close(st.leaving) }

// others returns the announcements of other gateways. The own one, from before a
// restart, has the key that they know.
func (st *ControlState) others(anns []bwforward.Announcement, first bool) []bwforward.Announcement {
	if st.cfg.Peers == nil {
		return anns
	}
	var others []bwforward.Announcement
	for _, ann := range anns {
		if ann.Member != st.cfg.Peers.Member() {
			others = append(others, ann)
		} else if first {
			st.cfg.Peers.RestoreKey(ann.Key)
		}
	}
	return others
}

// sharedMembers is the number of gateways from which on short calls that are
// shared are fewer than long ones that each makes by itself.
const sharedMembers = 6

// Follow keeps the process current with a table until the context ends. What it
// reads is shared with the other gateways.
func (st *ControlState) Follow(ctx context.Context, cfg FollowerConfig) {
	cfg.Log = st.cfg.Log
	cfg.SendUpdate = func(TableUpdate) {}
	cfg.SharesReads = func() bool { return false }
	if prs := st.cfg.Peers; prs != nil {
		cfg.SendUpdate = prs.SendUpdate
		cfg.SharesReads = func() bool { return st.View().Members >= sharedMembers }
	}
	fol := newFollower(cfg)
	if prs := st.cfg.Peers; prs != nil {
		prs.Subscribe(cfg.Table, fol.hear)
	}
	fol.Start(ctx)
}

// loop takes entries away that have not come back after an outage.
func (st *ControlState) loop(ctx context.Context) {
	tick := time.NewTicker(expiryStep)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			if err := st.control.Do(ctx, st.expire); err != nil {
				return
			}
		case <-ctx.Done():
			return
		}
	}
}

func (st *ControlState) expire(cst *controlState) {
	gone := cst.dir.Expire(st.cfg.Now())
	if len(gone) == 0 {
		return
	}
	st.cfg.Log.Info("entries did not come back", "Upstreams", gone)
	st.updatePool(cst)
}

// updatePool passes the upstreams on if they have changed: most readings bring
// nothing, and a pool of thousands takes milliseconds to build.
func (st *ControlState) updatePool(cst *controlState) {
	if rev := cst.dir.Revision(); rev != cst.pooled {
		cst.pooled = rev
		cst.ups = cst.dir.Upstreams()
		st.cfg.Pool.Update(cst.ups)
	}
}
