package bwmember

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"bilberrywick/core/bwmodel"
)

// Status is what a process believes of a member.
type Status int

// What a process believes of a member.
const (
	// Live says that the member was heard from within the live time.
	Live Status = iota + 1
	// Suspect says that the platform lists the member but it was not heard from.
	Suspect
	// Leaving says that the member or the platform said that it is leaving.
	Leaving
)

// String returns the status's name.
func (sts Status) String() string {
	switch sts {
	case Live:
		return "Live"
	case Suspect:
		return "Suspect"
	case Leaving:
		return "Leaving"
	}
	return "Unknown"
}

// Entry is a member and what is believed of it.
type Entry struct {
	Member bwmodel.Member
	Status Status
	// Heard is when the member itself was last heard, by this process or by a peer
	// that passed it on; zero means never.
	Heard time.Time
	// StateNumber is the highest ticket number that the member was known to have.
	StateNumber bwmodel.TicketNumber
}

// Directory merges the platform's list with direct evidence. It is owned by
// one goroutine.
type Directory struct {
	cfg     Config
	members map[bwmodel.MemberID]*record
}

// Config configures a Directory.
type Config struct {
	Self bwmodel.Member
	Now  func() time.Time
	// LiveTime is how long a member counts as live after it was heard; 0 means 3 s.
	LiveTime time.Duration
	// ForgetTime is how long a member that is neither heard nor listed is
	// remembered; 0 means 1 min.
	ForgetTime time.Duration
}

const (
	defaultLiveTime   = 3 * time.Second
	defaultForgetTime = time.Minute
)

// NewDirectory returns a directory that knows only the process itself.
func NewDirectory(cfg Config) *Directory {
	if cfg.LiveTime == 0 {
		cfg.LiveTime = defaultLiveTime
	}
	if cfg.ForgetTime == 0 {
		cfg.ForgetTime = defaultForgetTime
	}
	return &Directory{cfg: cfg, members: make(map[bwmodel.MemberID]*record)}
}

// Self returns the process's own member.
func (dir *Directory) Self() bwmodel.Member { return dir.cfg.Self }

// Leave marks the process itself as leaving.
func (dir *Directory) Leave() { dir.cfg.Self.Leaving = true }

// Hear records that a member was heard age ago, by this process or a peer.
// A lower incarnation than the one known is ignored.
func (dir *Directory) Hear(mem bwmodel.Member, age time.Duration) {
	if mem.ID == dir.cfg.Self.ID || mem.ID == "" {
		return
	}
	at := dir.cfg.Now().Add(-age)
	rec := dir.members[mem.ID]
	if rec == nil || mem.Incarnation > rec.member.Incarnation {
		dir.members[mem.ID] = &record{member: mem, heard: at, listed: rec != nil && rec.listed}
		return
	}
	if mem.Incarnation < rec.member.Incarnation {
		return
	}
	leaving := rec.member.Leaving || mem.Leaving
	if at.After(rec.heard) {
		rec.heard = at
		rec.member = mem
	}
	// An incarnation that is leaving never returns.
	rec.member.Leaving = leaving
}

// Learn records the ticket number that a member's incarnation has in force.
func (dir *Directory) Learn(id bwmodel.MemberID, inc bwmodel.Incarnation, num bwmodel.TicketNumber) {
	if rec := dir.members[id]; rec != nil && rec.member.Incarnation == inc {
		rec.stateNumber = max(rec.stateNumber, num)
	}
}

// List replaces what the platform lists. Direct evidence takes precedence over
// it, except that a member listed as leaving is leaving.
func (dir *Directory) List(listed []bwmodel.Member) {
	for _, rec := range dir.members {
		rec.listed, rec.listedLeaving = false, false
	}
	for _, mem := range listed {
		if mem.ID == dir.cfg.Self.ID {
			dir.cfg.Self.Leaving = dir.cfg.Self.Leaving || mem.Leaving && mem.Incarnation >= dir.cfg.Self.Incarnation
			continue
		}
		rec := dir.members[mem.ID]
		if rec == nil || mem.Incarnation > rec.member.Incarnation {
			rec = &record{member: mem}
			dir.members[mem.ID] = rec
		}
		if mem.Incarnation < rec.member.Incarnation {
			// The list lags behind a restart of the member.
			continue
		}
		rec.listed, rec.listedLeaving = true, mem.Leaving
	}
}

// Entries returns all members but the process itself, by name, and forgets
// those that have been silent and unlisted for the forget time.
func (dir *Directory) Entries() []Entry {
	now := dir.cfg.Now()
	maps.DeleteFunc(dir.members, func(_ bwmodel.MemberID, rec *record) bool {
		return !rec.listed && now.Sub(rec.heard) > dir.cfg.ForgetTime
	})
	entries := make([]Entry, 0, len(dir.members))
	for _, rec := range dir.members {
		ent := Entry{Member: rec.member, Status: dir.status(rec, now), Heard: rec.heard, StateNumber: rec.stateNumber}
		ent.Member.Leaving = ent.Status == Leaving
		entries = append(entries, ent)
	}
	slices.SortFunc(entries, func(aa, bb Entry) int { return cmp.Compare(aa.Member.ID, bb.Member.ID) })
	return entries
}

func (dir *Directory) status(rec *record, now time.Time) Status {
	switch {
	case rec.member.Leaving || rec.listedLeaving:
		return Leaving
	case now.Sub(rec.heard) <= dir.cfg.LiveTime:
		return Live
	}
	return Suspect
}

type record struct {
	member bwmodel.Member
	// heard is when the member itself was last heard.
	heard time.Time
	// listed and listedLeaving are from the platform's last list.
	listed        bool
	stateNumber   bwmodel.TicketNumber
	listedLeaving bool
}
