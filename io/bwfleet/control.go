package bwfleet

import (
	"errors"
	"net/netip"
	"slices"
	"time"

	"bilberrywick/core/bwmember"
	"bilberrywick/core/bwmodel"
	"bilberrywick/core/bwticket"
)

// maxRecent is the number of tickets kept to pass on; a peer that is further
// behind gets the whole state.
const maxRecent = 64

// contactTime is how long a process stays ready without hearing from the store
// or a peer.
const contactTime = 3 * time.Second

// control is changed by the owner's goroutine only.
type control struct {
	now    func() time.Time
	dir    *bwmember.Directory
	state  *bwticket.State
	recent []bwticket.AcceptedTicket
	// started says that the state was read from the store or from enough seeds.
	started bool
	// contact is when the store or a peer was last heard from.
	contact time.Time
	// peers is when a peer was last heard from.
	peers time.Time
	// agents are those that lately called this router, to push tickets to.
	agents map[netip.AddrPort]time.Time
	// differed is since when the digests of peers have differed, and synced when
	// the routers were last fetched from a peer; see differs.
	differed time.Time
	synced   time.Time
	// suspected is when this process last said of a router that it is silent.
	suspected map[bwmodel.MemberID]time.Time
	// storeLost is when the store stopped to answer; zero while it answers.
	storeLost time.Time
	revision  uint64
	seen      membersView
	last      Snapshot
}

func newControl(cfg Config) *control {
	return &control{
		now:   cfg.Now,
		dir:   bwmember.NewDirectory(bwmember.Config{Self: cfg.Self, Now: cfg.Now}),
		state: bwticket.NewState(bwticket.StateConfig{}),

		agents:    make(map[netip.AddrPort]time.Time),
		suspected: make(map[bwmodel.MemberID]time.Time),
	}
}

// membersInterval bounds the age of the members in a view when nothing but the
// time changes their status.
const membersInterval = 250 * time.Millisecond

func (ctl *control) view() *Snapshot {
	now := ctl.now()
	if ctl.seen.at.IsZero() || ctl.seen.version != ctl.dir.Version() || now.Sub(ctl.seen.at) >= membersInterval {
		ctl.seen = newMembersView(ctl.dir, now)
	}
	snap := Snapshot{
		Self:                  ctl.dir.Self(),
		State:                 ctl.state,
		Members:               ctl.seen.entries,
		Ready:                 ctl.started && now.Sub(ctl.contact) <= contactTime,
		StateLoaded:           ctl.started,
		LastContact:           ctl.contact,
		StoreUnavailableSince: ctl.storeLost,
		recent:                ctl.recent,
		peers:                 ctl.peers,
		seen:                  ctl.seen,
	}
	if snap.differs(&ctl.last) {
		ctl.revision++
	}
	snap.Revision = ctl.revision
	ctl.last = snap
	return &snap
}

// membersView is what a view shows and an exchange carries of the members.
type membersView struct {
	at      time.Time
	version uint64
	entries []bwmember.Entry
	record  bwmember.Record
	// region and world are digests of the live routers.
	region  uint64
	world   uint64
	changes []bwmember.Record
	// flagged are the members that are told what is believed of them.
	flagged []bwmember.Record
}

func newMembersView(dir *bwmember.Directory, now time.Time) membersView {
	seen := membersView{
		at:      now,
		entries: dir.Entries(),
		version: dir.Version(),
		record:  dir.SelfRecord(),
		region:  dir.Digest(dir.Self().Region),
		changes: dir.RecentChanges(maxChanges),
		flagged: dir.NonLiveRecords(),
	}
	if dir.Self().Role == bwmodel.RouterRole {
		seen.world = dir.Digest("")
	}
	return seen
}

// touch records that the store or a peer was heard from.
func (ctl *control) touch() { ctl.contact = ctl.now() }

// readStore records whether a read of the store succeeded, and reports whether
// that has changed, with the length of an outage that is over.
func (ctl *control) readStore(ok bool) (changed bool, outage time.Duration) {
	lost := ctl.storeLost
	switch {
	case ok:
		ctl.touch()
		ctl.storeLost = time.Time{}
		return !lost.IsZero(), ctl.now().Sub(lost)
	case lost.IsZero():
		ctl.storeLost = ctl.now()
		return true, 0
	}
	return false, 0
}

// follow applies the tickets that are above the state, and reports whether
// there was a gap. A ticket at or below the state is passed over.
func (ctl *control) follow(accs []bwticket.AcceptedTicket) (gap bool) {
	for _, acc := range accs {
		st, err := ctl.state.Apply(acc)
		if errors.Is(err, bwticket.ErrStaleTicket) {
			continue
		}
		if err != nil {
			return true
		}
		ctl.state = st
		// A new slice, because views share the old one.
		start := max(0, len(ctl.recent)+1-maxRecent)
		ctl.recent = append(slices.Clone(ctl.recent[start:]), acc)
	}
	return false
}

// replace takes a whole state with a higher number, and ignores another.
func (ctl *control) replace(st *bwticket.State) {
	if st.Number() <= ctl.state.Number() {
		return
	}
	ctl.state = st
	ctl.recent = nil
}

func (sn *Snapshot) differs(old *Snapshot) bool {
	if sn.State != old.State || sn.Ready != old.Ready || sn.StateLoaded != old.StateLoaded || sn.Self != old.Self {
		return true
	}
	if sn.seen.at.Equal(old.seen.at) {
		return false
	}
	return !slices.EqualFunc(sn.Members, old.Members, func(aa, bb bwmember.Entry) bool {
		return aa.Member == bb.Member && aa.Status == bb.Status
	})
}

// after returns the recent tickets above a number, or false when they don't
// reach back to it.
func (sn *Snapshot) after(num bwmodel.TicketNumber) ([]bwticket.AcceptedTicket, bool) {
	if num >= sn.State.Number() {
		return nil, true
	}
	ix := slices.IndexFunc(sn.recent, func(acc bwticket.AcceptedTicket) bool { return acc.Previous == num })
	if ix < 0 {
		return nil, false
	}
	return sn.recent[ix:], true
}
