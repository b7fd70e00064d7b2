package bwmember

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"bilberrywick/core/bwmodel"
)

// Record is what routers tell each other of a member: that it is there, that it
// was found silent, or that it is leaving. Of two records the one with the higher
// incarnation holds, then the one with the higher refutation, then the worse state.
type Record struct {
	Member bwmodel.Member
	// Refutation rises when the member answers a record that it is silent.
	Refutation uint32
	// State is Live, Suspect or Leaving.
	State Status
	// Age is the time since a member was found silent or leaving, so that all
	// processes forget it at about the same time.
	Age time.Duration
}

// changeTime is how long a change is repeated in exchanges; a push carries it at
// once, and a digest shows one that was missed.
const changeTime = 5 * time.Second

// SelfRecord returns the record of the process itself.
func (dir *Directory) SelfRecord() Record {
	rec := Record{Member: dir.cfg.Self, Refutation: dir.refutation, State: Live}
	if rec.Member.Leaving {
		rec.State = Leaving
	}
	return rec
}

// Merge takes records that another process passed on, and reports whether one
// of them is news to pass on.
func (dir *Directory) Merge(recs []Record) bool {
	news := false
	for _, in := range recs {
		if in.Member.ID == dir.cfg.Self.ID {
			news = dir.refute(in) || news
			continue
		}
		news = dir.merge(in) || news
	}
	return news
}

// MarkSuspect records that this process, which watches over a router, found it
// silent, and reports whether that is news to pass on.
func (dir *Directory) MarkSuspect(id bwmodel.MemberID) bool {
	rec := dir.members[id]
	if rec == nil || rec.member.Leaving || !rec.suspected.IsZero() || !rec.vouched {
		return false
	}
	now := dir.cfg.Now()
	rec.suspected, rec.changed = now, now
	dir.version++
	return true
}

// NonLiveRecords returns the records of members that are not plainly live, so that a
// member itself can be told what is believed of it.
func (dir *Directory) NonLiveRecords() []Record {
	now := dir.cfg.Now()
	var recs []Record
	for _, rec := range dir.members {
		if rec.told() && rec.state() != Live {
			recs = append(recs, dir.record(rec, now))
		}
	}
	return recs
}

// RecentChanges returns up to count records that changed lately, the newest first.
func (dir *Directory) RecentChanges(count int) []Record {
	now := dir.cfg.Now()
	var recent []*record
	for _, rec := range dir.members {
		if rec.told() && now.Sub(rec.changed) <= changeTime {
			recent = append(recent, rec)
		}
	}
	slices.SortFunc(recent, func(aa, bb *record) int {
		if order := bb.changed.Compare(aa.changed); order != 0 {
			return order
		}
		return cmp.Compare(aa.member.ID, bb.member.ID)
	})
	recs := make([]Record, 0, min(count, len(recent)))
	for _, rec := range recent[:min(count, len(recent))] {
		recs = append(recs, dir.record(rec, now))
	}
	return recs
}

// ZoneDigests returns a digest of the live routers of each zone of a region, or
// of all regions when it is empty. Two processes that know the same have the same.
func (dir *Directory) ZoneDigests(region bwmodel.RegionID) map[bwmodel.ZoneID]uint64 {
	sums := make(map[bwmodel.ZoneID]uint64)
	add := func(mem bwmodel.Member, refutation uint32) {
		if region == "" || mem.Region == region {
			sums[mem.Zone] ^= digest(mem, refutation)
		}
	}
	if self := dir.cfg.Self; self.Role == bwmodel.RouterRole && !self.Leaving {
		add(self, dir.refutation)
	}
	for _, rec := range dir.members {
		if rec.told() && rec.state() == Live {
			add(rec.member, rec.refutation)
		}
	}
	return sums
}

// Digest returns the zones' digests of a region as one number.
func (dir *Directory) Digest(region bwmodel.RegionID) uint64 {
	sum := uint64(0)
	for _, one := range dir.ZoneDigests(region) {
		sum ^= one
	}
	return sum
}

// DifferingRecords returns the records of the zones of a region, or of all regions,
// whose digests differ from another process's, the own record included.
func (dir *Directory) DifferingRecords(region bwmodel.RegionID, theirs map[bwmodel.ZoneID]uint64) []Record {
	ours := dir.ZoneDigests(region)
	now := dir.cfg.Now()
	recs := []Record{dir.SelfRecord()}
	for _, rec := range dir.members {
		mem := rec.member
		if !rec.told() || region != "" && mem.Region != region || ours[mem.Zone] == theirs[mem.Zone] {
			continue
		}
		recs = append(recs, dir.record(rec, now))
	}
	return recs
}

// refute answers a record of the process itself that says it is silent, and
// takes one that says it is leaving, as the platform may have told another process.
func (dir *Directory) refute(in Record) bool {
	if in.Member.Incarnation != dir.cfg.Self.Incarnation {
		return false
	}
	switch {
	case in.State == Leaving && !dir.cfg.Self.Leaving:
		dir.Leave()
		return true
	case in.State == Suspect && in.Refutation >= dir.refutation:
		dir.refutation = in.Refutation + 1
		dir.version++
		dir.selfChanged = dir.cfg.Now()
		return true
	}
	return false
}

func (dir *Directory) merge(in Record) bool {
	now := dir.cfg.Now()
	if in.State != Live && in.Age > dir.cfg.ForgetTime {
		return false
	}
	if in.Member.Role == bwmodel.AgentRole && in.State != Leaving {
		return false
	}
	rec := dir.members[in.Member.ID]
	if rec != nil && !newer(in, rec) {
		return false
	}
	next := &record{member: in.Member, refutation: in.Refutation, changed: now}
	next.vouched = in.Member.Role == bwmodel.RouterRole
	if rec != nil {
		next.listed = rec.listed
		if rec.member.Incarnation == in.Member.Incarnation {
			next.heard, next.failed, next.stateNumber = rec.heard, rec.failed, rec.stateNumber
		}
	}
	next.member.Leaving = in.State == Leaving
	switch in.State {
	case Suspect:
		next.suspected = now.Add(-in.Age)
	case Leaving:
		next.changed = now.Add(-in.Age)
	case Live:
	}
	dir.members[in.Member.ID] = next
	dir.version++
	return true
}

func newer(in Record, rec *record) bool {
	if order := cmp.Compare(in.Member.Incarnation, rec.member.Incarnation); order != 0 {
		return order > 0
	}
	if rec.member.Leaving {
		return false
	}
	if !rec.vouched && in.Member.Role == bwmodel.RouterRole {
		return true
	}
	if order := cmp.Compare(in.Refutation, rec.refutation); order != 0 {
		return order > 0 || in.State == Leaving
	}
	return in.State > rec.state()
}

// told reports whether the record is passed on.
func (rec *record) told() bool { return rec.vouched || rec.member.Leaving }

// state is what is passed on, which leaves out this process's own failed calls.
func (rec *record) state() Status {
	switch {
	case rec.member.Leaving:
		return Leaving
	case !rec.suspected.IsZero():
		return Suspect
	}
	return Live
}

func (dir *Directory) record(rec *record, now time.Time) Record {
	out := Record{Member: rec.member, Refutation: rec.refutation, State: rec.state()}
	switch out.State {
	case Suspect:
		out.Age = now.Sub(rec.suspected)
	case Leaving:
		out.Age = now.Sub(rec.changed)
	case Live:
	}
	return out
}

// digest identifies a run of a member and its answers to suspicion.
func digest(mem bwmodel.Member, refutation uint32) uint64 {
	dig := xxhash.New()
	var buf [12]byte
	binary.LittleEndian.PutUint64(buf[:8], uint64(mem.Incarnation))
	binary.LittleEndian.PutUint32(buf[8:], refutation)
	// The digest's writes never fail.
	_, _ = dig.Write(buf[:])
	_, _ = dig.WriteString(string(mem.ID))
	return dig.Sum64()
}
