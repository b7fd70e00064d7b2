package bwfleet

import (
	"errors"
	"slices"
	"time"

	"bilberrywick/core/bwmember"
	"bilberrywick/core/bwmodel"
	"bilberrywick/core/bwticket"
	"bilberrywick/io/bwwire"
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
	recent []bwticket.Accepted
	// started says that the state was read from the store or from enough seeds.
	started bool
	// contact is when the store or a peer was last heard from.
	contact time.Time
	// storeLost is when the store stopped to answer; zero while it answers.
	storeLost time.Time
	revision  uint64
	last      Snapshot
}

func newControl(cfg Config) *control {
	return &control{
		now:   cfg.Now,
		dir:   bwmember.NewDirectory(bwmember.Config{Self: cfg.Self, Now: cfg.Now}),
		state: bwticket.NewState(bwticket.StateConfig{}),
	}
}

func (ctl *control) view() *Snapshot {
	snap := Snapshot{
		Self:      ctl.dir.Self(),
		State:     ctl.state,
		Members:   ctl.dir.Entries(),
		Ready:     ctl.started && ctl.now().Sub(ctl.contact) <= contactTime,
		Started:   ctl.started,
		Contact:   ctl.contact,
		StoreLost: ctl.storeLost,
		recent:    ctl.recent,
	}
	if snap.differs(&ctl.last) {
		ctl.revision++
	}
	snap.Revision = ctl.revision
	ctl.last = snap
	return &snap
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

// hear records what a peer said in an exchange.
func (ctl *control) hear(msg *bwwire.ExchangeMessage) {
	ctl.touch()
	ctl.dir.Hear(msg.From, 0)
	ctl.dir.Learn(msg.From.ID, msg.From.Incarnation, msg.Head)
	for _, sum := range msg.Members {
		ctl.dir.Hear(sum.Member, sum.Age)
		ctl.dir.Learn(sum.Member.ID, sum.Member.Incarnation, sum.StateNumber)
	}
}

// follow applies the tickets that are above the state, and reports whether
// there was a gap. A ticket at or below the state is passed over.
func (ctl *control) follow(accs []bwticket.Accepted) (gap bool) {
	for _, acc := range accs {
		st, err := ctl.state.Apply(acc)
		if errors.Is(err, bwticket.ErrOld) {
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
	if sn.State != old.State || sn.Ready != old.Ready || sn.Started != old.Started || sn.Self != old.Self {
		return true
	}
	return !slices.EqualFunc(sn.Members, old.Members, func(aa, bb bwmember.Entry) bool {
		return aa.Member == bb.Member && aa.Status == bb.Status
	})
}

// after returns the recent tickets above a number, or false when they don't
// reach back to it.
func (sn *Snapshot) after(num bwmodel.TicketNumber) ([]bwticket.Accepted, bool) {
	if num >= sn.State.Number() {
		return nil, true
	}
	ix := slices.IndexFunc(sn.recent, func(acc bwticket.Accepted) bool { return acc.Previous == num })
	if ix < 0 {
		return nil, false
	}
	return sn.recent[ix:], true
}
