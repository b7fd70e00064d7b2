package bwforward

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
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
	cfg QuarantineConfig

	mu       sync.Mutex
	suspects *suspects
	// served has the times of the last responses to prompts with a part.
	served *simplelru.LRU[PartID, time.Time]
	// named has the groups of parts in quarantine; the last one was added last.
	named []QuarantinedParts
}

// QuarantineConfig configures a Quarantine.
type QuarantineConfig struct {
	// Now returns the current time; nil means time.Now.
	Now func() time.Time
	// OnDrop is called for each thing that is dropped to bound the memory or the size of
	// an announcement; it must not block or use the Quarantine. It may be nil.
	OnDrop func(QuarantineDrop)
}

// QuarantineDrop is what a Quarantine drops at one of its limits. It is used as a label of
// metrics and in logs.
type QuarantineDrop string

// Things that are dropped.
const (
	// DroppedSuspect is a part whose prompts have crashed engines: its crashes are no
	// longer counted.
	DroppedSuspect QuarantineDrop = "suspect"
	// DroppedGroup is a group of parts whose quarantine ends early.
	DroppedGroup QuarantineDrop = "group"
	// DroppedAnnouncement is a group of parts that is not announced in the store.
	DroppedAnnouncement QuarantineDrop = "announcement"
)

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
	// maxServed bounds the memory for served parts to about 3 MiB. A part that is not
	// among them is suspected until it is served again.
	maxServed = 16384
	// maxNamed and maxNamedBytes bound the memory for groups. The oldest group yields.
	maxNamed      = 64
	maxNamedBytes = 1 << 20
	// partOverhead is the memory of a part in a group beside its ID, in bytes.
	partOverhead = 16
)

// NewQuarantine returns an empty Quarantine.
func NewQuarantine(cfg QuarantineConfig) *Quarantine {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.OnDrop == nil {
		cfg.OnDrop = func(QuarantineDrop) {}
	}
	return &Quarantine{cfg: cfg, suspects: newSuspects(cfg.OnDrop), served: newPartLRU[time.Time](maxServed)}
}

// RecordCrash records that an engine crashed as it began with a prompt, which
// another gateway saw unless isOwn is set. It returns the parts that it suspects, and the
// group that this crash put into quarantine or nil.
func (qrt *Quarantine) RecordCrash(parts []PartID, isOwn bool) (suspected []PartID, named *QuarantinedParts) {
	qrt.mu.Lock()
	defer qrt.mu.Unlock()
	now := qrt.cfg.Now()
	suspected = slices.DeleteFunc(slices.Clone(parts), func(part PartID) bool { return qrt.isServed(part, now) })
	all := qrt.suspects.addCrash(suspected, now)
	var evidence map[*crashGroup]groupEvidence
	tried := make(map[*crashGroup]bool)
	for _, sus := range all {
		if sus.crashes < crashesToName && !sus.isKnown || tried[sus.group] {
			continue
		}
		if evidence == nil {
			evidence = qrt.suspects.evidence()
		}
		if qrt.hasNarrowerGroup(sus, evidence) {
			continue
		}
		tried[sus.group] = true
		group := sus.group.parts()
		if qp := qrt.name(QuarantinedParts{Parts: group, Until: now.Add(QuarantineTime), isOwn: isOwn}); qp != nil {
			named = qp
			qrt.explainCrashes(group)
			// The counts of crashes have changed.
			evidence = nil
		}
	}
	return suspected, named
}

// hasNarrowerGroup reports whether the crashes of a part are explained as well by a group
// with it that fewer prompts have and that is not in quarantine yet. Prompts that wait at
// an engine crash with it, so that parts which many prompts share are suspected with the
// deadly one.
func (qrt *Quarantine) hasNarrowerGroup(sus *suspect, evidence map[*crashGroup]groupEvidence) bool {
	size := sus.groupSize()
	for grp, evd := range evidence {
		if evd.crashes >= sus.crashes-1 && evd.size > size && grp.has(sus) && !qrt.isNamed(grp) {
			return true
		}
	}
	return false
}

// isNamed reports whether a group is in quarantine, so that its prompts crash no more
// engines.
func (qrt *Quarantine) isNamed(grp *crashGroup) bool {
	parts := grp.parts()
	set := newPartSet(parts)
	return slices.ContainsFunc(qrt.named, func(qp QuarantinedParts) bool { return len(qp.Parts) == len(parts) && set.hasAll(qp.Parts) })
}

// explainCrashes lowers the count of crashes of those parts of a named group that have
// crashed in other prompts too: the group explains most of them.
func (qrt *Quarantine) explainCrashes(group []PartID) {
	for _, part := range group {
		if sus := qrt.suspects.get(part); sus != nil && sus.groupSize() < len(group) {
			sus.crashes, sus.isKnown = min(sus.crashes, explainedCrashes), false
		}
	}
}

// isServed reports whether a prompt with the part has had a response lately.
func (qrt *Quarantine) isServed(part PartID, now time.Time) bool {
	at, ok := qrt.served.Peek(part)
	return ok && now.Sub(at) < servedTime
}

// name adds a group and returns it, or returns nil if it is in quarantine already.
// A smaller group replaces those that contain it.
func (qrt *Quarantine) name(qp QuarantinedParts) *QuarantinedParts {
	if len(qp.Parts) == 0 {
		return nil
	}
	set := newPartSet(qp.Parts)
	for _, old := range qrt.named {
		if set.hasAll(old.Parts) {
			return nil
		}
	}
	qrt.named = slices.DeleteFunc(qrt.named, func(old QuarantinedParts) bool { return newPartSet(old.Parts).hasAll(qp.Parts) })
	qp.testPause = firstTestPause
	qp.testAt = qrt.cfg.Now().Add(qp.testPause)
	qrt.named = append(qrt.named, qp)
	qrt.dropOldest()
	for _, part := range qp.Parts {
		sus := qrt.suspects.put(part)
		sus.isKnown = true
		qrt.suspects.touch(sus)
	}
	return &qp
}

// dropOldest drops the oldest groups that exceed the limits, but for the last one.
func (qrt *Quarantine) dropOldest() {
	size, first := 0, len(qrt.named)
	for first > 0 && len(qrt.named)-first < maxNamed {
		size += partsBytes(qrt.named[first-1].Parts, partOverhead)
		if size > maxNamedBytes && first < len(qrt.named) {
			break
		}
		first--
	}
	for range first {
		qrt.cfg.OnDrop(DroppedGroup)
	}
	qrt.named = slices.Delete(qrt.named, 0, first)
}

// partsBytes returns the size of IDs with an overhead for each, in bytes.
func partsBytes(parts []PartID, overhead int) int {
	size := 0
	for _, part := range parts {
		size += len(part) + overhead
	}
	return size
}

// RecordServed records that a prompt has had a response. If one of its parts was in
// quarantine, or would have been with the next crash, it returns all those that were
// suspected, which the others must be told then.
func (qrt *Quarantine) RecordServed(parts []PartID) []PartID {
	qrt.mu.Lock()
	defer qrt.mu.Unlock()
	now := qrt.cfg.Now()
	wasNear := false
	var cleared []PartID
	for _, part := range parts {
		if sus := qrt.suspects.get(part); sus != nil {
			wasNear = wasNear || sus.crashes >= crashesToName-1 || sus.isKnown
			cleared = append(cleared, sus.part)
			qrt.suspects.clear(sus)
			part = sus.part
		} else if !qrt.served.Contains(part) {
			part = PartID(strings.Clone(string(part)))
		}
		qrt.served.Add(part, now)
	}
	qrt.clearNamed(cleared)
	if !wasNear {
		return nil
	}
	return cleared
}

// clearNamed removes served parts from all groups.
func (qrt *Quarantine) clearNamed(cleared []PartID) {
	if len(cleared) == 0 || len(qrt.named) == 0 {
		return
	}
	set := newPartSet(cleared)
	for ix := range qrt.named {
		// Groups that were returned share their parts.
		if parts := qrt.named[ix].Parts; slices.ContainsFunc(parts, set.has) {
			qrt.named[ix].Parts = slices.DeleteFunc(slices.Clone(parts), set.has)
		}
	}
	qrt.named = slices.DeleteFunc(qrt.named, func(qp QuarantinedParts) bool { return len(qp.Parts) == 0 })
}

// Adopt puts a group into quarantine that was named by another gateway, or by this
// one before a restart if isOwn is set, until a time. It leaves out the parts that
// have been served here since or shortly before, and returns them: the others don't
// know of it. It reports whether a group was added.
func (qrt *Quarantine) Adopt(parts []PartID, until time.Time, isOwn bool) (served []PartID, ok bool) {
	qrt.mu.Lock()
	defer qrt.mu.Unlock()
	now := qrt.cfg.Now()
	if until = earliest(until, now.Add(QuarantineTime)); !until.After(now) {
		return nil, false
	}
	namedAt := until.Add(-QuarantineTime)
	var group []PartID
	for _, part := range parts {
		if at, known := qrt.served.Peek(part); known && (now.Sub(at) < servedTime || at.After(namedAt)) {
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

// IsEmpty reports whether no parts are in quarantine, so that prompts need not be
// compared with them.
func (qrt *Quarantine) IsEmpty() bool {
	qrt.mu.Lock()
	defer qrt.mu.Unlock()
	qrt.expire(qrt.cfg.Now())
	return len(qrt.named) == 0
}

// Find returns the group that a prompt contains, and the time until the end of its
// quarantine, which is 0 if there is none.
func (qrt *Quarantine) Find(parts []PartID) ([]PartID, time.Duration) {
	qrt.mu.Lock()
	defer qrt.mu.Unlock()
	return qrt.find(newPartSet(parts), qrt.cfg.Now())
}

func (qrt *Quarantine) find(prompt *partSet, now time.Time) ([]PartID, time.Duration) {
	qrt.expire(now)
	for _, qp := range qrt.named {
		if prompt.hasAll(qp.Parts) {
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
	now, prompt := qrt.cfg.Now(), newPartSet(parts)
	group, left = qrt.find(prompt, now)
	if group == nil {
		return nil, 0, false
	}
	for ix := range qrt.named {
		qp := &qrt.named[ix]
		if !prompt.hasAll(qp.Parts) {
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

// Own returns the newest groups that this gateway has named which fit into an
// announcement.
func (qrt *Quarantine) Own() []QuarantinedParts {
	qrt.mu.Lock()
	defer qrt.mu.Unlock()
	qrt.expire(qrt.cfg.Now())
	var own []QuarantinedParts
	size := 0
	for _, qp := range slices.Backward(qrt.named) {
		if !qp.isOwn {
			continue
		}
		need := partsBytes(qp.Parts, announcedOverhead)
		if len(own) >= maxAnnounced || size+need > maxAnnouncedBytes {
			qrt.cfg.OnDrop(DroppedAnnouncement)
			continue
		}
		size += need
		own = append(own, qp)
	}
	slices.Reverse(own)
	return own
}

const (
	// maxAnnounced and maxAnnouncedBytes bound an announcement, whose row may have 64 KiB.
	// Groups that don't fit reach the others by notes.
	maxAnnounced      = 16
	maxAnnouncedBytes = 32 << 10
	// announcedOverhead is the size of a part in an announcement beside its ID, in bytes:
	// two quotes and a comma.
	announcedOverhead = 3
)

// All returns all groups in quarantine.
func (qrt *Quarantine) All() []QuarantinedParts {
	qrt.mu.Lock()
	defer qrt.mu.Unlock()
	qrt.expire(qrt.cfg.Now())
	return slices.Clone(qrt.named)
}

// expire removes the groups whose quarantine has ended.
func (qrt *Quarantine) expire(now time.Time) {
	qrt.named = slices.DeleteFunc(qrt.named, func(qp QuarantinedParts) bool { return !qp.Until.After(now) })
}
