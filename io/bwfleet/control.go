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

// maxRecentTickets is the number of tickets kept for peers. A peer that needs
// older ones receives the complete state.
const maxRecentTickets = 64

// contactTimeout is how long a process stays ready without contact with the
// store or a peer.
const contactTimeout = 3 * time.Second

// controlState holds the tickets and members. Only the goroutine of Fleet.control
// accesses it.
type controlState struct {
	now           func() time.Time
	dir           *bwmember.Directory
	state         *bwticket.State
	recentTickets []bwticket.AcceptedTicket
	// stateLoaded is set once the state was read from the store or from enough seeds.
	stateLoaded bool
	// lastContact is the time of the last message from the store, a peer or a member.
	lastContact time.Time
	// lastPeerContact is the time of the last message from a peer.
	lastPeerContact time.Time
	// agentContacts holds the time of the last call of each agent to this router,
	// which pushes tickets to the recent callers.
	agentContacts map[netip.AddrPort]time.Time
	// differingSince is when the digests of peers began to differ, and lastSync
	// when the routers were last fetched from a peer; see needsSync.
	differingSince time.Time
	lastSync       time.Time
	// suspectedAt is when this process last reported a router as suspect.
	suspectedAt map[bwmodel.MemberID]time.Time
	// storeUnavailableSince is the time of the first failed read of the store,
	// and zero while reads succeed.
	storeUnavailableSince time.Time
	revision              uint64
	members               membersView
	published             Snapshot
}

func newControlState(cfg Config) *controlState {
	return &controlState{
		now:   cfg.Now,
		dir:   bwmember.NewDirectory(bwmember.Config{Self: cfg.Self, Now: cfg.Now}),
		state: bwticket.NewState(bwticket.StateConfig{}),

		agentContacts: make(map[netip.AddrPort]time.Time),
		suspectedAt:   make(map[bwmodel.MemberID]time.Time),
	}
}

// maxMembersAge limits the age of the members in a snapshot, since a status
// can change by the passing of time alone.
const maxMembersAge = 250 * time.Millisecond

func (ctl *controlState) snapshot() *Snapshot {
	now := ctl.now()
	if ctl.members.createdAt.IsZero() || ctl.members.version != ctl.dir.Version() || now.Sub(ctl.members.createdAt) >= maxMembersAge {
		ctl.members = newMembersView(ctl.dir, now)
	}
	snap := Snapshot{
		Self:                  ctl.dir.Self(),
		State:                 ctl.state,
		Members:               ctl.members.entries,
		Ready:                 ctl.stateLoaded && now.Sub(ctl.lastContact) <= contactTimeout,
		StateLoaded:           ctl.stateLoaded,
		LastContact:           ctl.lastContact,
		StoreUnavailableSince: ctl.storeUnavailableSince,
		recentTickets:         ctl.recentTickets,
		lastPeerContact:       ctl.lastPeerContact,
		members:               ctl.members,
	}
	if snap.differs(&ctl.published) {
		ctl.revision++
	}
	snap.Revision = ctl.revision
	ctl.published = snap
	return &snap
}

// membersView holds the member data for snapshots and exchanges.
type membersView struct {
	createdAt time.Time
	version   uint64
	entries   []bwmember.Entry
	self      bwmember.Record
	// regionDigest and worldDigest are digests of the live routers.
	regionDigest uint64
	worldDigest  uint64
	changes      []bwmember.Record
	// nonLive holds the records of members that are not live. Each is sent to
	// its own member, which can refute it.
	nonLive []bwmember.Record
}

func newMembersView(dir *bwmember.Directory, now time.Time) membersView {
	view := membersView{
		createdAt:    now,
		entries:      dir.Entries(),
		version:      dir.Version(),
		self:         dir.SelfRecord(),
		regionDigest: dir.Digest(dir.Self().Region),
		changes:      dir.RecentChanges(maxChanges),
		nonLive:      dir.NonLiveRecords(),
	}
	if dir.Self().Role == bwmodel.RouterRole {
		view.worldDigest = dir.Digest("")
	}
	return view
}

// recordContact records the time of a contact with the store, a peer or a member.
func (ctl *controlState) recordContact() { ctl.lastContact = ctl.now() }

// recordStoreRead records whether a read of the store succeeded. It reports
// whether the store became unavailable or available again, and in the latter
// case the length of the outage.
func (ctl *controlState) recordStoreRead(ok bool) (changed bool, outage time.Duration) {
	since := ctl.storeUnavailableSince
	switch {
	case ok:
		ctl.recordContact()
		ctl.storeUnavailableSince = time.Time{}
		return !since.IsZero(), ctl.now().Sub(since)
	case since.IsZero():
		ctl.storeUnavailableSince = ctl.now()
		return true, 0
	}
	return false, 0
}

// applyTickets applies the tickets with a number above the state's and skips
// the others. It stops at a gap in the numbers and reports it.
func (ctl *controlState) applyTickets(accs []bwticket.AcceptedTicket) (gap bool) {
	for _, acc := range accs {
		st, err := ctl.state.Apply(acc)
		if errors.Is(err, bwticket.ErrStaleTicket) {
			continue
		}
		if err != nil {
			return true
		}
		ctl.state = st
		// A new slice, since snapshots share the old one.
		start := max(0, len(ctl.recentTickets)+1-maxRecentTickets)
		ctl.recentTickets = append(slices.Clone(ctl.recentTickets[start:]), acc)
	}
	return false
}

// replaceState replaces the state by one with a higher number, and ignores others.
func (ctl *controlState) replaceState(st *bwticket.State) {
	if st.Number() <= ctl.state.Number() {
		return
	}
	ctl.state = st
	ctl.recentTickets = nil
}

func (sn *Snapshot) differs(old *Snapshot) bool {
	if sn.State != old.State || sn.Ready != old.Ready || sn.StateLoaded != old.StateLoaded || sn.Self != old.Self {
		return true
	}
	if sn.members.createdAt.Equal(old.members.createdAt) {
		return false
	}
	return !slices.EqualFunc(sn.Members, old.Members, func(aa, bb bwmember.Entry) bool {
		return aa.Member == bb.Member && aa.Status == bb.Status
	})
}

// ticketsAfter returns the tickets above a number, or false when the recent
// tickets don't reach back to it.
func (sn *Snapshot) ticketsAfter(num bwmodel.TicketNumber) ([]bwticket.AcceptedTicket, bool) {
	if num >= sn.State.Number() {
		return nil, true
	}
	ix := slices.IndexFunc(sn.recentTickets, func(acc bwticket.AcceptedTicket) bool { return acc.Previous == num })
	if ix < 0 {
		return nil, false
	}
	return sn.recentTickets[ix:], true
}
