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
	// Live says that the member was heard from within the live time, or that it is
	// a router that no other router has found silent.
	Live Status = iota + 1
	// Suspect says that the member was found silent, or that only the platform
	// lists it.
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
	// LastContact is when this process itself last heard the member; zero means never.
	LastContact time.Time
	// StateNumber is the highest ticket number that the member was known to have.
	StateNumber bwmodel.TicketNumber
}

// Directory merges the platform's list, direct evidence and what routers tell
// each other of changes. It is owned by one goroutine.
type Directory struct {
	cfg     Config
	members map[bwmodel.MemberID]*record
	// refutation is the own one; see Record.
	refutation uint32
	// selfChanged is when the own record last changed.
	selfChanged time.Time
	version     uint64
}

// Config configures a Directory.
type Config struct {
	Self bwmodel.Member
	Now  func() time.Time
	// LiveTime is how long a member counts as live after it was heard; 0 means 3 s.
	LiveTime time.Duration
	// ForgetTime is how long a member that is neither live nor listed is
	// remembered; 0 means 1 min.
	ForgetTime time.Duration
}

const (
	defaultLiveTime   = 3 * time.Second
	defaultForgetTime = time.Minute
	// failTime is how long a member that did not answer counts as silent here; it
	// ends so that a process that was cut off itself soon sees the others as live.
	failTime = 10 * time.Second
)

// record is one member but the process itself.
type record struct {
	member     bwmodel.Member
	refutation uint32
	// vouched says that the member is a router that was heard, here or by a
	// router that passed it on.
	vouched bool
	// suspected is when another router found the member silent; zero means not.
	suspected time.Time
	// heard is when this process last heard the member, and failed when it last
	// called it without an answer.
	heard  time.Time
	failed time.Time
	// listed is from the platform's last list.
	listed bool
	// changed is when this process learned of the record as it is passed on.
	changed     time.Time
	stateNumber bwmodel.TicketNumber
}

// NewDirectory returns a directory that knows only the process itself.
func NewDirectory(cfg Config) *Directory {
	if cfg.LiveTime == 0 {
		cfg.LiveTime = defaultLiveTime
	}
	if cfg.ForgetTime == 0 {
		cfg.ForgetTime = defaultForgetTime
	}
	return &Directory{cfg: cfg, members: make(map[bwmodel.MemberID]*record), selfChanged: cfg.Now()}
}

// Version rises with each change but a member that is heard again, so that a
// view of many members need not be built on each message.
func (dir *Directory) Version() uint64 { return dir.version }

// Self returns the process's own member.
func (dir *Directory) Self() bwmodel.Member { return dir.cfg.Self }

// Leave marks the process itself as leaving.
func (dir *Directory) Leave() {
	if !dir.cfg.Self.Leaving {
		dir.cfg.Self.Leaving = true
		dir.version++
		dir.selfChanged = dir.cfg.Now()
	}
}

// RecordContact records that this process heard a member age ago, and reports whether
// that is news to pass on. A lower incarnation than the one known is ignored.
func (dir *Directory) RecordContact(mem bwmodel.Member, age time.Duration) bool {
	if mem.ID == dir.cfg.Self.ID || mem.ID == "" {
		return false
	}
	now := dir.cfg.Now()
	rec := dir.members[mem.ID]
	if rec == nil || mem.Incarnation > rec.member.Incarnation {
		next := &record{member: mem, heard: now.Add(-age), changed: now, vouched: mem.Role == bwmodel.RouterRole}
		next.listed = rec != nil && rec.listed
		dir.members[mem.ID] = next
		dir.version++
		return next.vouched
	}
	if mem.Incarnation < rec.member.Incarnation {
		return false
	}
	// An incarnation that is leaving never returns.
	leaving := rec.member.Leaving || mem.Leaving
	news := mem.Role == bwmodel.RouterRole && (!rec.vouched || leaving != rec.member.Leaving)
	before := dir.status(rec, now)
	if at := now.Add(-age); at.After(rec.heard) {
		rec.heard = at
		rec.member = mem
	}
	if news || leaving || before != Live {
		dir.version++
	}
	rec.member.Leaving = leaving
	if news {
		rec.vouched, rec.changed = true, now
	}
	return news
}

// RecordCallFailure records that a call to a member got no answer. It is this process's own
// view and is not passed on.
func (dir *Directory) RecordCallFailure(id bwmodel.MemberID) {
	if rec := dir.members[id]; rec != nil {
		rec.failed = dir.cfg.Now()
		dir.version++
	}
}

// RecordStateNumber records the ticket number that a member's incarnation has in force.
func (dir *Directory) RecordStateNumber(id bwmodel.MemberID, inc bwmodel.Incarnation, num bwmodel.TicketNumber) {
	if rec := dir.members[id]; rec != nil && rec.member.Incarnation == inc {
		rec.stateNumber = max(rec.stateNumber, num)
	}
}

// ApplyPlatformList replaces what the platform lists, and reports whether a member that is
// leaving is news to pass on. Direct evidence takes precedence over the list,
// except that a member listed as leaving is leaving. Agents that are not leaving
// are left out, since each router hears those that it follows.
func (dir *Directory) ApplyPlatformList(listed []bwmodel.Member) bool {
	dir.version++
	for _, rec := range dir.members {
		rec.listed = false
	}
	news := false
	for _, mem := range listed {
		if mem.ID == dir.cfg.Self.ID {
			if mem.Leaving && mem.Incarnation >= dir.cfg.Self.Incarnation {
				dir.Leave()
			}
			continue
		}
		news = dir.list(mem) || news
	}
	return news
}

func (dir *Directory) list(mem bwmodel.Member) bool {
	rec := dir.members[mem.ID]
	if rec == nil || mem.Incarnation > rec.member.Incarnation {
		if mem.Role == bwmodel.AgentRole && !mem.Leaving {
			return false
		}
		rec = &record{member: mem, listed: true, changed: dir.cfg.Now()}
		dir.members[mem.ID] = rec
		return mem.Leaving
	}
	if mem.Incarnation < rec.member.Incarnation {
		// The list lags behind a restart of the member.
		return false
	}
	rec.listed = true
	if !mem.Leaving || rec.member.Leaving {
		return false
	}
	rec.member.Leaving, rec.changed = true, dir.cfg.Now()
	return true
}

// Entries returns all members but the process itself, by name, and forgets
// those that have been silent and unlisted for the forget time.
func (dir *Directory) Entries() []Entry {
	now := dir.cfg.Now()
	maps.DeleteFunc(dir.members, func(_ bwmodel.MemberID, rec *record) bool { return dir.forgotten(rec, now) })
	entries := make([]Entry, 0, len(dir.members))
	for _, rec := range dir.members {
		ent := Entry{Member: rec.member, Status: dir.status(rec, now), LastContact: rec.heard, StateNumber: rec.stateNumber}
		entries = append(entries, ent)
	}
	slices.SortFunc(entries, func(aa, bb Entry) int { return cmp.Compare(aa.Member.ID, bb.Member.ID) })
	return entries
}

// forgotten reports whether a member has ended long enough ago that no other
// process passes it on any more.
func (dir *Directory) forgotten(rec *record, now time.Time) bool {
	if rec.listed && !rec.member.Leaving {
		return false
	}
	since := rec.heard
	switch {
	case rec.member.Leaving:
		since = rec.changed
	case rec.vouched && rec.suspected.IsZero():
		return false
	case rec.vouched:
		since = rec.suspected
	}
	return now.Sub(since) > dir.cfg.ForgetTime && now.Sub(rec.heard) > dir.cfg.ForgetTime
}

func (dir *Directory) status(rec *record, now time.Time) Status {
	switch {
	case rec.member.Leaving:
		return Leaving
	case rec.suspected.After(rec.heard):
		return Suspect
	case rec.failed.After(rec.heard) && now.Sub(rec.failed) <= failTime:
		return Suspect
	case rec.vouched || now.Sub(rec.heard) <= dir.cfg.LiveTime:
		return Live
	}
	return Suspect
}
