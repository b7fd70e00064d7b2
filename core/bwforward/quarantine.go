package bwforward

import (
	"slices"
	"sync"
	"time"
)

// Quarantine finds the parts of prompts that crash engines, so that prompts with
// them are no longer sent to any. The load pattern it answers is requests of which
// each one crashes the engine that begins with it, whatever else it has in common
// with sound ones, at any gateway.
//
// A part is suspected when engines crash as they begin with prompts that have it,
// and cleared when a prompt that has it gets a response. Prompts with several
// suspected parts are named by the parts that all of them have: the sound ones of
// these are found when a prompt without the deadly one is served. It is safe for
// concurrent use.
type Quarantine struct {
	mu    sync.Mutex
	now   func() time.Time
	parts map[PartID]*partRecord
	// named has the groups of parts in quarantine; the last one was added last.
	named []QuarantinedParts
}

// partRecord is what is known of a part.
type partRecord struct {
	// crashes counts the crashes since the last response, those at about the same
	// time once. lastCrash is the last one, lastServed the last response.
	crashes               int
	lastCrash, lastServed time.Time
	// group has the parts that all prompts had which crashed with this one.
	group []PartID
	// isKnown is set when the part has been in quarantine, of which one more crash
	// makes it a member again.
	isKnown bool
}

// QuarantinedParts is a group of parts: prompts that have all of them crash engines.
type QuarantinedParts struct {
	Parts []PartID
	// Until is the end of the quarantine.
	Until time.Time
	// isOwn is set if this gateway has named the group. It lets one prompt pass at
	// testAt, and again after testPause, which doubles.
	isOwn     bool
	testAt    time.Time
	testPause time.Duration
}

const (
	// QuarantineTime is the time for which parts stay in quarantine. When it ends, a
	// prompt is sent to an engine again, which crashes if nothing has changed.
	QuarantineTime = 10 * time.Minute
	// firstTestPause is the time after which a prompt is sent to an engine to test
	// whether it still crashes. A sound part that had bad luck is cleared by it, a
	// deadly one costs an engine.
	firstTestPause = time.Minute
	// crashesToName is the number of crashes without a response in between after which
	// parts are named. The crash of a zone hits a prompt once or twice.
	crashesToName = 3
	// explainedCrashes is what is left of the crashes of a part when a group with it is
	// named.
	explainedCrashes = 1
	// crashSpacing is the time within which crashes count as one: engines of a zone
	// that fail together take all prompts of a part with them at the same moment.
	crashSpacing = 150 * time.Millisecond
	// servedTime is the time after a response during which crashes don't count. A
	// part that many prompts share is served all the time while engines crash for
	// other reasons.
	servedTime = 5 * time.Second
	// maxRecords and maxNamed bound the memory for records and groups. The oldest
	// group yields.
	maxRecords = 8192
	maxNamed   = 64
)

// NewQuarantine returns an empty Quarantine. A nil now means time.Now.
func NewQuarantine(now func() time.Time) *Quarantine {
	if now == nil {
		now = time.Now
	}
	return &Quarantine{now: now, parts: make(map[PartID]*partRecord)}
}

// RecordCrash records that an engine crashed as it began with a prompt, which
// another gateway saw unless isOwn is set. It returns the group that this crash
// put into quarantine, or nil.
func (qrt *Quarantine) RecordCrash(parts []PartID, isOwn bool) *QuarantinedParts {
	qrt.mu.Lock()
	defer qrt.mu.Unlock()
	now := qrt.now()
	suspects := slices.DeleteFunc(slices.Clone(parts), func(part PartID) bool { return qrt.isServed(part, now) })
	for _, part := range suspects {
		qrt.record(part, now).addCrash(suspects, now)
	}
	var named *QuarantinedParts
	for _, part := range suspects {
		rec := qrt.record(part, now)
		if rec.crashes < crashesToName && !rec.isKnown || qrt.hasNarrowerSuspect(part, rec) {
			continue
		}
		if qp := qrt.name(QuarantinedParts{Parts: rec.group, Until: now.Add(QuarantineTime), isOwn: isOwn}); qp != nil {
			named = qp
			qrt.explainCrashes(rec.group)
		}
	}
	return named
}

// hasNarrowerSuspect reports whether the crashes of a part are explained as well by
// another one that fewer prompts have and that is not in quarantine yet. Prompts that wait at an engine crash with it,
// so that parts which many prompts share are suspected with the deadly one.
func (qrt *Quarantine) hasNarrowerSuspect(part PartID, rec *partRecord) bool {
	for _, other := range qrt.parts {
		if len(other.group) > len(rec.group) && other.crashes >= rec.crashes-1 && slices.Contains(other.group, part) && !qrt.isNamed(other.group) {
			return true
		}
	}
	return false
}

// isNamed reports whether a group is in quarantine, so that its prompts crash no more
// engines.
func (qrt *Quarantine) isNamed(group []PartID) bool {
	return slices.ContainsFunc(qrt.named, func(qp QuarantinedParts) bool { return slices.Equal(qp.Parts, group) })
}

// explainCrashes lowers the count of crashes of those parts of a named group that have
// crashed in other prompts too: the group explains most of them.
func (qrt *Quarantine) explainCrashes(group []PartID) {
	for _, part := range group {
		if rec := qrt.parts[part]; rec != nil && len(rec.group) < len(group) {
			rec.crashes, rec.isKnown = min(rec.crashes, explainedCrashes), false
		}
	}
}

// isServed reports whether a prompt with the part has had a response lately.
func (qrt *Quarantine) isServed(part PartID, now time.Time) bool {
	rec := qrt.parts[part]
	return rec != nil && !rec.lastServed.IsZero() && now.Sub(rec.lastServed) < servedTime
}

// addCrash counts a crash with a prompt of which these parts are suspected.
func (rec *partRecord) addCrash(suspects []PartID, now time.Time) {
	if now.Sub(rec.lastCrash) > QuarantineTime {
		rec.crashes, rec.group = 0, nil
	}
	if rec.group == nil {
		rec.group = slices.Clone(suspects)
	} else {
		rec.group = slices.DeleteFunc(slices.Clone(rec.group), func(part PartID) bool { return !slices.Contains(suspects, part) })
	}
	if rec.crashes == 0 || now.Sub(rec.lastCrash) >= crashSpacing {
		rec.crashes++
		rec.lastCrash = now
	}
}

// name adds a group and returns it, or returns nil if it is in quarantine already.
// A smaller group replaces those that contain it.
func (qrt *Quarantine) name(qp QuarantinedParts) *QuarantinedParts {
	if len(qp.Parts) == 0 {
		return nil
	}
	for _, old := range qrt.named {
		if containsAll(qp.Parts, old.Parts) {
			return nil
		}
	}
	qrt.named = slices.DeleteFunc(qrt.named, func(old QuarantinedParts) bool { return containsAll(old.Parts, qp.Parts) })
	qp.testPause = firstTestPause
	qp.testAt = qrt.now().Add(qp.testPause)
	qrt.named = append(qrt.named[max(len(qrt.named)-maxNamed+1, 0):], qp)
	for _, part := range qp.Parts {
		qrt.record(part, qrt.now()).isKnown = true
	}
	return &qp
}

// RecordServed records that a prompt has had a response, and reports whether one of
// its parts was in quarantine, or would have been with the next crash. The others
// must be told then.
func (qrt *Quarantine) RecordServed(parts []PartID) bool {
	qrt.mu.Lock()
	defer qrt.mu.Unlock()
	now := qrt.now()
	wasNear := false
	for _, part := range parts {
		rec := qrt.record(part, now)
		isSuspected := rec.crashes > 0 || rec.isKnown
		wasNear = wasNear || rec.crashes >= crashesToName-1 || rec.isKnown
		*rec = partRecord{lastServed: now}
		if isSuspected {
			qrt.clearServed(part)
		}
	}
	return wasNear
}

// clearServed removes a served part from all groups.
func (qrt *Quarantine) clearServed(served PartID) {
	for _, rec := range qrt.parts {
		rec.group = without(rec.group, served)
	}
	for ix := range qrt.named {
		qrt.named[ix].Parts = without(qrt.named[ix].Parts, served)
	}
	qrt.named = slices.DeleteFunc(qrt.named, func(qp QuarantinedParts) bool { return len(qp.Parts) == 0 })
}

// without returns a group without a part. Groups are shared and not changed in place.
func without(group []PartID, part PartID) []PartID {
	if !slices.Contains(group, part) {
		return group
	}
	return slices.DeleteFunc(slices.Clone(group), func(other PartID) bool { return other == part })
}

// Adopt puts a group into quarantine that was named by another gateway, or by this
// one before a restart if isOwn is set, until a time. It leaves out the parts that
// have been served here since or shortly before, and returns them: the others don't
// know of it. It reports whether a group was added.
func (qrt *Quarantine) Adopt(parts []PartID, until time.Time, isOwn bool) (served []PartID, ok bool) {
	qrt.mu.Lock()
	defer qrt.mu.Unlock()
	now := qrt.now()
	if until = earliest(until, now.Add(QuarantineTime)); !until.After(now) {
		return nil, false
	}
	namedAt := until.Add(-QuarantineTime)
	var group []PartID
	for _, part := range parts {
		if rec := qrt.parts[part]; qrt.isServed(part, now) || rec != nil && rec.lastServed.After(namedAt) {
			served = append(served, part)
		} else {
			group = append(group, part)
		}
	}
	return served, qrt.name(QuarantinedParts{Parts: group, Until: until, isOwn: isOwn}) != nil
}

func earliest(ta, tb time.Time) time.Time {
	if tb.Before(ta) {
		return tb
	}
	return ta
}

// Find returns the group that a prompt contains, and the time until the end of its
// quarantine, which is 0 if there is none.
func (qrt *Quarantine) Find(parts []PartID) ([]PartID, time.Duration) {
	qrt.mu.Lock()
	defer qrt.mu.Unlock()
	return qrt.find(parts, qrt.now())
}

func (qrt *Quarantine) find(parts []PartID, now time.Time) ([]PartID, time.Duration) {
	qrt.expire(now)
	for _, qp := range qrt.named {
		if containsAll(parts, qp.Parts) {
			return qp.Parts, qp.Until.Sub(now)
		}
	}
	return nil, 0
}

// Admit is Find for a new request. Now and then the gateway that has named a group lets
// one pass, as a test whether the group is still deadly.
func (qrt *Quarantine) Admit(parts []PartID) (group []PartID, left time.Duration, isTest bool) {
	qrt.mu.Lock()
	defer qrt.mu.Unlock()
	now := qrt.now()
	group, left = qrt.find(parts, now)
	if group == nil {
		return nil, 0, false
	}
	for ix := range qrt.named {
		qp := &qrt.named[ix]
		if !containsAll(parts, qp.Parts) {
			continue
		}
		if !qp.isOwn || now.Before(qp.testAt) {
			return group, left, false
		}
		qp.testPause *= 2
		qp.testAt = now.Add(qp.testPause)
	}
	return nil, 0, true
}

// Own returns the groups that this gateway has named, at most maxAnnounced of them.
func (qrt *Quarantine) Own() []QuarantinedParts {
	qrt.mu.Lock()
	defer qrt.mu.Unlock()
	qrt.expire(qrt.now())
	own := slices.DeleteFunc(slices.Clone(qrt.named), func(qp QuarantinedParts) bool { return !qp.isOwn })
	return own[max(len(own)-maxAnnounced, 0):]
}

// maxAnnounced bounds the length of an announcement.
const maxAnnounced = 16

// All returns all groups in quarantine.
func (qrt *Quarantine) All() []QuarantinedParts {
	qrt.mu.Lock()
	defer qrt.mu.Unlock()
	qrt.expire(qrt.now())
	return slices.Clone(qrt.named)
}

// expire removes the groups whose quarantine has ended.
func (qrt *Quarantine) expire(now time.Time) {
	qrt.named = slices.DeleteFunc(qrt.named, func(qp QuarantinedParts) bool { return !qp.Until.After(now) })
}

// record returns the record of a part, and makes room for it if it is new.
func (qrt *Quarantine) record(part PartID, now time.Time) *partRecord {
	rec := qrt.parts[part]
	if rec == nil {
		if len(qrt.parts) >= maxRecords {
			qrt.makeRoom(now)
		}
		rec = new(partRecord)
		qrt.parts[part] = rec
	}
	return rec
}

// makeRoom forgets the parts that are not suspected and were not served lately, or
// all if there are none: callers may send any number of parts.
func (qrt *Quarantine) makeRoom(now time.Time) {
	for part, rec := range qrt.parts {
		if rec.crashes == 0 && !rec.isKnown && !qrt.isServed(part, now) {
			delete(qrt.parts, part)
		}
	}
	if len(qrt.parts) >= maxRecords {
		clear(qrt.parts)
	}
}

// containsAll reports whether a prompt has all parts of a group.
func containsAll(parts, group []PartID) bool {
	return !slices.ContainsFunc(group, func(part PartID) bool { return !slices.Contains(parts, part) })
}
