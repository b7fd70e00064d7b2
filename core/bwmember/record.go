package bwmember

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"bilberrywick/core/bwmodel"
)

// Record is what routers exchange about a member: that it is live, that it was
// found unresponsive, or that it is leaving. Of two records, the one with the
// higher incarnation takes precedence, then the one with the higher refutation,
// then the one whose state comes later in the order Live, Suspect, Leaving.
type Record struct {
	Member bwmodel.Member
	// Refutation rises each time the member refutes a record that lists it as
	// suspect.
	Refutation uint32
	// State is Live, Suspect or Leaving.
	State Status
	// Age is the time since the member was found unresponsive or leaving. It lets
	// all processes drop the member at about the same time.
	Age time.Duration
}

// recentChangeTime is how long exchanges repeat a change. A push sends it at
// once, and a differing digest reveals a change that was missed.
const recentChangeTime = 5 * time.Second

// SelfRecord returns the record of the process itself.
func (dir *Directory) SelfRecord() Record {
	rec := Record{Member: dir.cfg.Self, Refutation: dir.refutation, State: Live}
	if rec.Member.Leaving {
		rec.State = Leaving
	}
	return rec
}

// Merge merges records that another process sent, and reports whether one of
// them changed the directory and is to be disseminated.
func (dir *Directory) Merge(recs []Record) bool {
	changed := false
	for _, in := range recs {
		if in.Member.ID == dir.cfg.Self.ID {
			changed = dir.refute(in) || changed
			continue
		}
		changed = dir.merge(in) || changed
	}
	return changed
}

// MarkSuspect records that this process found a router that it monitors
// unresponsive, and reports whether the record changed and is to be
// disseminated.
func (dir *Directory) MarkSuspect(id bwmodel.MemberID) bool {
	rec := dir.members[id]
	if rec == nil || rec.member.Leaving || !rec.suspectedAt.IsZero() || !rec.confirmed {
		return false
	}
	now := dir.cfg.Now()
	rec.suspectedAt, rec.changedAt = now, now
	dir.version++
	return true
}

// NonLiveRecords returns the records of members that are suspect or leaving, so
// that they can be sent to the member itself.
func (dir *Directory) NonLiveRecords() []Record {
	now := dir.cfg.Now()
	var recs []Record
	for _, rec := range dir.members {
		if rec.isDisseminated() && rec.sharedState() != Live {
			recs = append(recs, dir.sharedRecord(rec, now))
		}
	}
	return recs
}

// RecentChanges returns up to count records that changed in the last 5 s, newest
// first.
func (dir *Directory) RecentChanges(count int) []Record {
	now := dir.cfg.Now()
	var recent []*record
	for _, rec := range dir.members {
		if rec.isDisseminated() && now.Sub(rec.changedAt) <= recentChangeTime {
			recent = append(recent, rec)
		}
	}
	slices.SortFunc(recent, func(aa, bb *record) int {
		if order := bb.changedAt.Compare(aa.changedAt); order != 0 {
			return order
		}
		return cmp.Compare(aa.member.ID, bb.member.ID)
	})
	recs := make([]Record, 0, min(count, len(recent)))
	for _, rec := range recent[:min(count, len(recent))] {
		recs = append(recs, dir.sharedRecord(rec, now))
	}
	return recs
}

// ZoneDigests returns, by zone, a digest of the live routers of a region, or of
// all regions when region is empty. Processes with the same records of live
// routers have the same digests.
func (dir *Directory) ZoneDigests(region bwmodel.RegionID) map[bwmodel.ZoneID]uint64 {
	digests := make(map[bwmodel.ZoneID]uint64)
	add := func(mem bwmodel.Member, refutation uint32) {
		if region == "" || mem.Region == region {
			digests[mem.Zone] ^= memberDigest(mem, refutation)
		}
	}
	if self := dir.cfg.Self; self.Role == bwmodel.RouterRole && !self.Leaving {
		add(self, dir.refutation)
	}
	for _, rec := range dir.members {
		if rec.isDisseminated() && rec.sharedState() == Live {
			add(rec.member, rec.refutation)
		}
	}
	return digests
}

// Digest returns the combined zone digests of a region, or of all regions when
// region is empty.
func (dir *Directory) Digest(region bwmodel.RegionID) uint64 {
	sum := uint64(0)
	for _, zoneDigest := range dir.ZoneDigests(region) {
		sum ^= zoneDigest
	}
	return sum
}

// DifferingRecords returns the records of those zones of a region whose digests
// differ from the peer's, and always the record of the process itself. An empty
// region means all regions.
func (dir *Directory) DifferingRecords(region bwmodel.RegionID, peerDigests map[bwmodel.ZoneID]uint64) []Record {
	ownDigests := dir.ZoneDigests(region)
	now := dir.cfg.Now()
	recs := []Record{dir.SelfRecord()}
	for _, rec := range dir.members {
		mem := rec.member
		if !rec.isDisseminated() || region != "" && mem.Region != region || ownDigests[mem.Zone] == peerDigests[mem.Zone] {
			continue
		}
		recs = append(recs, dir.sharedRecord(rec, now))
	}
	return recs
}

// refute handles a record of the process itself. It refutes one that lists the
// process as suspect, and accepts one that lists it as leaving, because another
// process may have received that from the platform. It reports whether the record
// of the process itself changed.
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
		dir.selfChangedAt = dir.cfg.Now()
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
	if rec != nil && !supersedes(in, rec) {
		return false
	}
	next := &record{member: in.Member, refutation: in.Refutation, changedAt: now}
	next.confirmed = in.Member.Role == bwmodel.RouterRole
	if rec != nil {
		next.listed = rec.listed
		if rec.member.Incarnation == in.Member.Incarnation {
			next.lastContact, next.lastFailure, next.stateNumber = rec.lastContact, rec.lastFailure, rec.stateNumber
		}
	}
	next.member.Leaving = in.State == Leaving
	switch in.State {
	case Suspect:
		next.suspectedAt = now.Add(-in.Age)
	case Leaving:
		next.changedAt = now.Add(-in.Age)
	case Live:
	}
	dir.members[in.Member.ID] = next
	dir.version++
	return true
}

func supersedes(in Record, rec *record) bool {
	if order := cmp.Compare(in.Member.Incarnation, rec.member.Incarnation); order != 0 {
		return order > 0
	}
	if rec.member.Leaving {
		return false
	}
	if !rec.confirmed && in.Member.Role == bwmodel.RouterRole {
		return true
	}
	if order := cmp.Compare(in.Refutation, rec.refutation); order != 0 {
		return order > 0 || in.State == Leaving
	}
	return in.State > rec.sharedState()
}

// isDisseminated reports whether the record is sent to other processes.
func (rec *record) isDisseminated() bool { return rec.confirmed || rec.member.Leaving }

// sharedState returns the state that is sent to other processes. It does not
// depend on this process's own failed calls.
func (rec *record) sharedState() Status {
	switch {
	case rec.member.Leaving:
		return Leaving
	case !rec.suspectedAt.IsZero():
		return Suspect
	}
	return Live
}

func (dir *Directory) sharedRecord(rec *record, now time.Time) Record {
	out := Record{Member: rec.member, Refutation: rec.refutation, State: rec.sharedState()}
	switch out.State {
	case Suspect:
		out.Age = now.Sub(rec.suspectedAt)
	case Leaving:
		out.Age = now.Sub(rec.changedAt)
	case Live:
	}
	return out
}

// memberDigest returns a hash of a member's ID, incarnation and refutation.
func memberDigest(mem bwmodel.Member, refutation uint32) uint64 {
	hash := xxhash.New()
	var buf [12]byte
	binary.LittleEndian.PutUint64(buf[:8], uint64(mem.Incarnation))
	binary.LittleEndian.PutUint32(buf[8:], refutation)
	// xxhash writes never fail.
	_, _ = hash.Write(buf[:])
	_, _ = hash.WriteString(string(mem.ID))
	return hash.Sum64()
}
