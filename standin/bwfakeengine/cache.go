package bwfakeengine

import (
	"container/list"
	"time"

	"bilberrywick/core/bwmodel"
)

// BlockTokens is the number of tokens in a block of the prefix cache.
const BlockTokens = 16

// maxCacheEvents limits the events that the cache keeps for readers.
const maxCacheEvents = 4096

// prefixCache is an LRU cache of prompt prefix blocks.
type prefixCache struct {
	maxBlocks    int
	blocks       map[uint64]*list.Element
	lru          *list.List
	events       []cacheEvent
	lastSequence uint64
}

type cacheEvent struct {
	Event bwmodel.CacheEvent
	At    time.Time
}

func newPrefixCache(maxBlocks int) *prefixCache {
	return &prefixCache{maxBlocks: maxBlocks, blocks: make(map[uint64]*list.Element), lru: list.New()}
}

// insertPrompt inserts the complete blocks of a prompt and returns the number of
// tokens in the leading blocks that were already cached.
func (pfc *prefixCache) insertPrompt(ids []bwmodel.TokenID, now time.Time) int {
	cached := 0
	hash := uint64(hashStart)
	leading := true
	for len(ids) >= BlockTokens {
		hash = hashTokens(hash, ids[:BlockTokens])
		ids = ids[BlockTokens:]
		leading = pfc.insertBlock(hash, now) && leading
		if leading {
			cached += BlockTokens
		}
	}
	return cached
}

// insertBlock inserts one block and reports whether it was already cached.
func (pfc *prefixCache) insertBlock(block uint64, now time.Time) bool {
	if el, ok := pfc.blocks[block]; ok {
		pfc.lru.MoveToFront(el)
		return true
	}
	if pfc.maxBlocks == 0 {
		return false
	}
	if len(pfc.blocks) >= pfc.maxBlocks {
		oldest := pfc.lru.Remove(pfc.lru.Back()).(uint64)
		delete(pfc.blocks, oldest)
		pfc.recordEvent(oldest, true, now)
	}
	pfc.blocks[block] = pfc.lru.PushFront(block)
	pfc.recordEvent(block, false, now)
	return false
}

func (pfc *prefixCache) recordEvent(block uint64, evicted bool, now time.Time) {
	pfc.lastSequence++
	evt := bwmodel.CacheEvent{Sequence: pfc.lastSequence, Block: block, Evicted: evicted}
	pfc.events = append(pfc.events, cacheEvent{Event: evt, At: now})
	if len(pfc.events) > maxCacheEvents {
		pfc.events = pfc.events[1:]
	}
}

// publishedEvents returns the events with a sequence number above after that
// happened no later than before. It leaves out every gap-th event; 0 leaves out none.
func (pfc *prefixCache) publishedEvents(after uint64, gap int, before time.Time) []bwmodel.CacheEvent {
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
