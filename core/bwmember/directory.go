package bwmember

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"bilberrywick/core/bwmodel"
)

// Status is the status of a member in a process's directory.
type Status int

// Statuses of a member.
const (
	// Live means that the last contact is within Config.LiveTime, or that the member
	// is a router that no monitor has found unresponsive.
	Live Status = iota + 1
	// Suspect means that the member was found unresponsive, or that only the
	// platform lists it.
	Suspect
	// Leaving means that the member or the platform announced that it is leaving.
	Leaving
)

// String returns the name of the status.
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

// Entry is a member and its status.
type Entry struct {
	Member bwmodel.Member
	Status Status
	// LastContact is when this process last had direct contact with the member;
	// zero means never.
	LastContact time.Time
	// StateNumber is the highest ticket number that the member is known to have
	// applied.
	StateNumber bwmodel.TicketNumber
}

// Directory merges the platform's list, direct contacts and the records that
// routers exchange. It is not safe for concurrent use; one goroutine owns it.
type Directory struct {
	cfg     Config
	members map[bwmodel.MemberID]*record
	// refutation is Record.Refutation of the process itself.
	refutation uint32
	// selfChangedAt is when the record of the process itself last changed.
	selfChangedAt time.Time
	version       uint64
}

// Config configures a Directory.
type Config struct {
	Self bwmodel.Member
	Now  func() time.Time
	// LiveTime is how long a member counts as live after a contact; 0 means 3 s.
	LiveTime time.Duration
	// ForgetTime is how long a member that is neither live nor listed is kept; 0
	// means 1 min.
	ForgetTime time.Duration
}

const (
	defaultLiveTime   = 3 * time.Second
	defaultForgetTime = time.Minute
	// callFailureTime is how long a member stays suspect after an unanswered call.
	// It is limited so that a process that was itself partitioned soon lists the
	// others as live again.
	callFailureTime = 10 * time.Second
)

// record is the state of one member other than the process itself.
type record struct {
	member     bwmodel.Member
	refutation uint32
	// confirmed reports that the member is a router that had contact with this
	// process or with a router that sent its record.
	confirmed bool
	// suspectedAt is when a router found the member unresponsive; zero means never.
	suspectedAt time.Time
	// lastContact is when this process last had direct contact with the member, and
	// lastFailure when it last called the member without a response.
	lastContact time.Time
	lastFailure time.Time
	// listed reports that the member is in the platform's last list.
	listed bool
	// changedAt is when the shared part of the record last changed.
	changedAt   time.Time
	stateNumber bwmodel.TicketNumber
}

// NewDirectory returns a directory that holds only the process itself.
func NewDirectory(cfg Config) *Directory {
	if cfg.LiveTime == 0 {
		cfg.LiveTime = defaultLiveTime
	}
	if cfg.ForgetTime == 0 {
		cfg.ForgetTime = defaultForgetTime
	}
	return &Directory{cfg: cfg, members: make(map[bwmodel.MemberID]*record), selfChangedAt: cfg.Now()}
}

// Version returns a number that rises with each change other than a repeated
// contact with a live member, so that callers need not rebuild their view on
// each message.
func (dir *Directory) Version() uint64 { return dir.version }

// Self returns the member of the process itself.
func (dir *Directory) Self() bwmodel.Member { return dir.cfg.Self }

// Leave marks the process itself as leaving.
func (dir *Directory) Leave() {
	if !dir.cfg.Self.Leaving {
		dir.cfg.Self.Leaving = true
		dir.version++
		dir.selfChangedAt = dir.cfg.Now()
	}
}

// RecordContact records that this process had direct contact with a member age
// ago, and reports whether the member's record changed and is to be
// disseminated. It ignores a lower incarnation than the known one.
func (dir *Directory) RecordContact(mem bwmodel.Member, age time.Duration) bool {
	if mem.ID == dir.cfg.Self.ID || mem.ID == "" {
		return false
	}
	now := dir.cfg.Now()
	rec := dir.members[mem.ID]
	if rec == nil || mem.Incarnation > rec.member.Incarnation {
		next := &record{member: mem, lastContact: now.Add(-age), changedAt: now, confirmed: mem.Role == bwmodel.RouterRole}
		next.listed = rec != nil && rec.listed
		dir.members[mem.ID] = next
		dir.version++
		return next.confirmed
	}
	if mem.Incarnation < rec.member.Incarnation {
		return false
	}
	// An incarnation that is leaving never becomes live again.
	leaving := rec.member.Leaving || mem.Leaving
	changed := mem.Role == bwmodel.RouterRole && (!rec.confirmed || leaving != rec.member.Leaving)
	before := dir.status(rec, now)
	if contact := now.Add(-age); contact.After(rec.lastContact) {
		rec.lastContact = contact
		rec.member = mem
	}
	if changed || leaving || before != Live {
		dir.version++
	}
	rec.member.Leaving = leaving
	if changed {
		rec.confirmed, rec.changedAt = true, now
	}
	return changed
}

// RecordCallFailure records that a call to a member got no response. The failure
// counts in this process only and is not disseminated.
func (dir *Directory) RecordCallFailure(id bwmodel.MemberID) {
	if rec := dir.members[id]; rec != nil {
		rec.lastFailure = dir.cfg.Now()
		dir.version++
	}
}

// RecordStateNumber records the ticket number that a member has applied. It
// ignores another incarnation than the known one.
func (dir *Directory) RecordStateNumber(id bwmodel.MemberID, inc bwmodel.Incarnation, num bwmodel.TicketNumber) {
	if rec := dir.members[id]; rec != nil && rec.member.Incarnation == inc {
		rec.stateNumber = max(rec.stateNumber, num)
	}
}

// ApplyPlatformList applies the platform's list of members, and reports whether
// it newly lists a member as leaving, which is to be disseminated. Direct
// contacts take precedence over the list, except that a member listed as leaving
// is leaving. Agents that are not leaving are skipped, because each router has
// contact with those that it follows.
func (dir *Directory) ApplyPlatformList(listed []bwmodel.Member) bool {
	dir.version++
	for _, rec := range dir.members {
		rec.listed = false
	}
	changed := false
	for _, mem := range listed {
		if mem.ID == dir.cfg.Self.ID {
			if mem.Leaving && mem.Incarnation >= dir.cfg.Self.Incarnation {
				dir.Leave()
			}
			continue
		}
		changed = dir.applyListed(mem) || changed
	}
	return changed
}

func (dir *Directory) applyListed(mem bwmodel.Member) bool {
	rec := dir.members[mem.ID]
	if rec == nil || mem.Incarnation > rec.member.Incarnation {
		if mem.Role == bwmodel.AgentRole && !mem.Leaving {
			return false
		}
		rec = &record{member: mem, listed: true, changedAt: dir.cfg.Now()}
		dir.members[mem.ID] = rec
		return mem.Leaving
	}
	if mem.Incarnation < rec.member.Incarnation {
		// The list does not show the member's restart yet.
		return false
	}
	rec.listed = true
	if !mem.Leaving || rec.member.Leaving {
		return false
	}
	rec.member.Leaving, rec.changedAt = true, dir.cfg.Now()
	return true
}

// Entries returns all members other than the process itself, sorted by ID. It
// first drops the members that have been unresponsive and unlisted for
// Config.ForgetTime.
func (dir *Directory) Entries() []Entry {
	now := dir.cfg.Now()
	maps.DeleteFunc(dir.members, func(_ bwmodel.MemberID, rec *record) bool { return dir.expired(rec, now) })
	entries := make([]Entry, 0, len(dir.members))
	for _, rec := range dir.members {
		ent := Entry{Member: rec.member, Status: dir.status(rec, now), LastContact: rec.lastContact, StateNumber: rec.stateNumber}
		entries = append(entries, ent)
	}
	slices.SortFunc(entries, func(aa, bb Entry) int { return cmp.Compare(aa.Member.ID, bb.Member.ID) })
	return entries
}

// expired reports whether a member has been non-live for so long that no other
// process disseminates it any more.
func (dir *Directory) expired(rec *record, now time.Time) bool {
	if rec.listed && !rec.member.Leaving {
		return false
	}
	since := rec.lastContact
	switch {
	case rec.member.Leaving:
		since = rec.changedAt
	case rec.confirmed && rec.suspectedAt.IsZero():
		return false
	case rec.confirmed:
		since = rec.suspectedAt
	}
	return now.Sub(since) > dir.cfg.ForgetTime && now.Sub(rec.lastContact) > dir.cfg.ForgetTime
}

func (dir *Directory) status(rec *record, now time.Time) Status {
	switch {
	case rec.member.Leaving:
		return Leaving
	case rec.suspectedAt.After(rec.lastContact):
		return Suspect
	case rec.lastFailure.After(rec.lastContact) && now.Sub(rec.lastFailure) <= callFailureTime:
		return Suspect
	case rec.confirmed || now.Sub(rec.lastContact) <= dir.cfg.LiveTime:
		return Live
	}
	return Suspect
}
