package bwforward

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// suspect is a part of prompts that have crashed engines.
type suspect struct {
	part PartID
	// serial orders the suspects by the time at which they were added.
	serial uint64
	// crashes counts the crashes since the last response, those at about the same time
	// once. lastCrash is the last one.
	crashes   int
	lastCrash time.Time
	// group has the parts that all prompts had which crashed with this one; nil if there
	// was none.
	group *crashGroup
	// isKnown is set when the part has been in quarantine, of which one more crash makes
	// it a member again.
	isKnown bool
	// lastPrompt is the number of the last crashed prompt that had the part.
	lastPrompt uint64
	// isCleared is set once a prompt with the part has had a response, isEvicted once it
	// was dropped to bound the memory.
	isCleared, isEvicted bool
}

// groupSize returns the number of parts of the suspect's group; 0 if it has none.
func (sus *suspect) groupSize() int {
	if sus.group == nil {
		return 0
	}
	return sus.group.size()
}

// crashGroup has the suspects that several crashed prompts had in common, in the order of
// their serials. Suspects that were in the same crashed prompts share one, and it is not
// changed.
type crashGroup struct{ members []*suspect }

// parts returns the parts of the group that no response has cleared.
func (grp *crashGroup) parts() []PartID {
	parts := make([]PartID, 0, len(grp.members))
	for _, mbr := range grp.members {
		if !mbr.isCleared {
			parts = append(parts, mbr.part)
		}
	}
	return parts
}

// size returns the number of parts.
func (grp *crashGroup) size() int {
	count := 0
	for _, mbr := range grp.members {
		if !mbr.isCleared {
			count++
		}
	}
	return count
}

func (grp *crashGroup) has(sus *suspect) bool {
	_, ok := slices.BinarySearchFunc(grp.members, sus.serial, func(mbr *suspect, serial uint64) int { return cmp.Compare(mbr.serial, serial) })
	return ok
}

// suspects holds the suspected parts up to maxSingle and maxRepeated of them. Callers may
// send any number of parts, of which each is suspected until its prompt is served. Those
// that have crashed once are dropped before the others, and the oldest ones first.
type suspects struct {
	single, repeated *simplelru.LRU[PartID, *suspect]
	added, prompts   uint64
	onDrop           func(QuarantineDrop)
}

const (
	// maxSingle and maxRepeated bound the memory for suspects to about 15 MiB. A prompt of
	// 16 KiB has up to 4,000 parts, and an engine that crashes takes tens of prompts with it.
	maxSingle   = 32768
	maxRepeated = 16384
)

func newSuspects(onDrop func(QuarantineDrop)) *suspects {
	return &suspects{single: newPartLRU[*suspect](maxSingle), repeated: newPartLRU[*suspect](maxRepeated), onDrop: onDrop}
}

// newPartLRU returns an empty LRU list.
func newPartLRU[Value any](size int) *simplelru.LRU[PartID, Value] {
	// It returns an error only for sizes below 1.
	lru, _ := simplelru.NewLRU[PartID, Value](size, nil)
	return lru
}

// get returns a suspect, or nil.
func (sps *suspects) get(part PartID) *suspect {
	if sus, ok := sps.repeated.Peek(part); ok {
		return sus
	}
	sus, _ := sps.single.Peek(part)
	return sus
}

// put returns the suspect of a part, which it adds if there is none.
func (sps *suspects) put(part PartID) *suspect {
	if sus := sps.get(part); sus != nil {
		return sus
	}
	sps.added++
	// The part may be a piece of a long header, which it would keep in memory.
	sus := &suspect{part: PartID(strings.Clone(string(part))), serial: sps.added}
	sps.store(sps.single, maxSingle, sus)
	return sus
}

// touch moves a suspect to the end of its list after a change.
func (sps *suspects) touch(sus *suspect) {
	if sus.isEvicted {
		return
	}
	if sus.crashes < 2 && !sus.isKnown && !sps.repeated.Contains(sus.part) {
		sps.single.Get(sus.part)
		return
	}
	sps.single.Remove(sus.part)
	sps.store(sps.repeated, maxRepeated, sus)
}

func (sps *suspects) store(lru *simplelru.LRU[PartID, *suspect], limit int, sus *suspect) {
	if lru.Len() >= limit && !lru.Contains(sus.part) {
		_, oldest, _ := lru.RemoveOldest()
		oldest.isEvicted = true
		sps.onDrop(DroppedSuspect)
	}
	lru.Add(sus.part, sus)
}

// clear removes a suspect whose part was served.
func (sps *suspects) clear(sus *suspect) {
	sus.isCleared = true
	sps.single.Remove(sus.part)
	sps.repeated.Remove(sus.part)
}

// addCrash counts a crash with a prompt of which these parts are suspected, and returns
// their suspects in the same order.
func (sps *suspects) addCrash(parts []PartID, now time.Time) []*suspect {
	sps.prompts++
	all := make([]*suspect, 0, len(parts))
	for _, part := range parts {
		sus := sps.put(part)
		if sus.lastPrompt != sps.prompts {
			sus.lastPrompt = sps.prompts
			all = append(all, sus)
		}
	}
	whole := &crashGroup{members: slices.SortedFunc(slices.Values(all), func(sa, sb *suspect) int { return cmp.Compare(sa.serial, sb.serial) })}
	common := make(map[*crashGroup]*crashGroup)
	for _, sus := range all {
		if now.Sub(sus.lastCrash) > QuarantineTime {
			sus.crashes, sus.group = 0, nil
		}
		sus.group = sps.intersect(sus.group, whole, common)
		if sus.crashes == 0 || now.Sub(sus.lastCrash) >= crashSpacing {
			sus.crashes++
			sus.lastCrash = now
		}
		sps.touch(sus)
	}
	return all
}

// intersect returns the members of a group that are in the last crashed prompt, which all
// suspects of that prompt with the same group get from common.
func (sps *suspects) intersect(grp, whole *crashGroup, common map[*crashGroup]*crashGroup) *crashGroup {
	if grp == nil {
		return whole
	}
	next := common[grp]
	if next == nil {
		next = &crashGroup{members: slices.DeleteFunc(slices.Clone(grp.members), func(mbr *suspect) bool { return mbr.isCleared || !sps.isInLast(mbr) })}
		common[grp] = next
	}
	return next
}

// isInLast reports whether the last crashed prompt has the part of a suspect, which may
// have been dropped and added again since.
func (sps *suspects) isInLast(sus *suspect) bool {
	if sus.isEvicted {
		if sus = sps.get(sus.part); sus == nil {
			return false
		}
	}
	return sus.lastPrompt == sps.prompts
}

// groupEvidence is what speaks for a group.
type groupEvidence struct {
	// crashes is the largest number of crashes of a suspect with the group, size the number
	// of its parts.
	crashes, size int
}

// evidence returns the groups of all suspects.
func (sps *suspects) evidence() map[*crashGroup]groupEvidence {
	groups := make(map[*crashGroup]groupEvidence)
	for _, lru := range []*simplelru.LRU[PartID, *suspect]{sps.single, sps.repeated} {
		for _, sus := range lru.Values() {
			if sus.group == nil {
				continue
			}
			evd, ok := groups[sus.group]
			if !ok {
				evd.size = sus.group.size()
			}
			evd.crashes = max(evd.crashes, sus.crashes)
			groups[sus.group] = evd
		}
	}
	return groups
}
