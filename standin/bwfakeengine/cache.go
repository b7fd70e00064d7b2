package bwfakeengine

import (
	"container/list"
	"time"

	"bilberrywick/core/bwmodel"
)

// BlockTokens is the number of tokens in a block of the prefix cache.
const BlockTokens = 16

// maxCacheEvents bounds the events kept for readers.
const maxCacheEvents = 4096

// prefixCache keeps the most recently used prefix blocks, up to a limit.
type prefixCache struct {
	limit  int
	blocks map[uint64]*list.Element
	recent *list.List
	events []cacheEvent
	last   uint64
}

type cacheEvent struct {
	Event bwmodel.CacheEvent
	At    time.Time
}

func newPrefixCache(limit int) *prefixCache {
	return &prefixCache{limit: limit, blocks: make(map[uint64]*list.Element), recent: list.New()}
}

// use stores the blocks of a prompt and returns how many of its tokens were there already.
func (pfc *prefixCache) use(ids []bwmodel.TokenID, now time.Time) int {
	cached := 0
	sum := uint64(hashStart)
	leading := true
	for len(ids) >= BlockTokens {
		sum = hashTokens(sum, ids[:BlockTokens])
		ids = ids[BlockTokens:]
		leading = pfc.touch(sum, now) && leading
		if leading {
			cached += BlockTokens
		}
	}
	return cached
}

// touch stores one block and reports whether it was there already.
func (pfc *prefixCache) touch(block uint64, now time.Time) bool {
	if el, ok := pfc.blocks[block]; ok {
		pfc.recent.MoveToFront(el)
		return true
	}
	if pfc.limit == 0 {
		return false
	}
	if len(pfc.blocks) >= pfc.limit {
		oldest := pfc.recent.Remove(pfc.recent.Back()).(uint64)
		delete(pfc.blocks, oldest)
		pfc.note(oldest, true, now)
	}
	pfc.blocks[block] = pfc.recent.PushFront(block)
	pfc.note(block, false, now)
	return false
}

func (pfc *prefixCache) note(block uint64, evicted bool, now time.Time) {
	pfc.last++
	evt := bwmodel.CacheEvent{Sequence: pfc.last, Block: block, Evicted: evicted}
	pfc.events = append(pfc.events, cacheEvent{Event: evt, At: now})
	if len(pfc.events) > maxCacheEvents {
		pfc.events = pfc.events[1:]
	}
}

// published returns the events after a number that are at least delay old,
// without every gap-th one; 0 means no gaps.
func (pfc *prefixCache) published(after uint64, gap int, before time.Time) []bwmodel.CacheEvent {
	var evts []bwmodel.CacheEvent
	for _, evt := range pfc.events {
		if evt.Event.Sequence <= after || evt.At.After(before) {
			continue
		}
		if gap > 0 && evt.Event.Sequence%uint64(gap) == 0 {
			continue
		}
		evts = append(evts, evt.Event)
	}
	return evts
}
