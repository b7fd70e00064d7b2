package bwroute

import (
	"sync/atomic"

	"bilberrywick/core/bwmodel"
)

// cacheView is what a router believes an engine's prefix cache to hold. The
// control goroutine changes it, traffic goroutines read it. It is only a hint:
// it may forget blocks, and a wrong entry costs a prefill, never an answer.
type cacheView struct {
	blocks ways
	// sequence is the last event taken in.
	sequence uint64
	// trust, between 0 and 1, weighs the view in the cost.
	trust number
}

const (
	// gapTrust is the part of the trust that a gap in the events leaves.
	gapTrust = 0.5
	// trustRegain is the part of the missing trust that an event in sequence restores.
	trustRegain = 1.0 / 256
)

func newCacheView(size int) *cacheView {
	cv := &cacheView{blocks: newWays(size)}
	cv.trust.store(1)
	return cv
}

// reset forgets everything, for an engine that has started anew.
func (cv *cacheView) reset() {
	cv.blocks.clear()
	cv.sequence = 0
	cv.trust.store(1)
}

// apply takes in events. One that is not newer than the last is late or repeated
// and is dropped, because it could undo a newer one; a gap before it has been
// counted already. Sequence 1 after a higher one means a new numbering.
func (cv *cacheView) apply(evs []bwmodel.CacheEvent, slot uint16, holders *holderIndex) {
	for _, ev := range evs {
		if ev.Sequence == 1 && cv.sequence > 1 {
			cv.reset()
		}
		if ev.Sequence <= cv.sequence {
			continue
		}
		trust := cv.trust.load()
		if cv.sequence > 0 && ev.Sequence != cv.sequence+1 {
			trust *= gapTrust
		} else {
			trust += (1 - trust) * trustRegain
		}
		cv.trust.store(trust)
		cv.sequence = ev.Sequence
		key := blockKey(ev.Block)
		if ev.Evicted {
			cv.blocks.remove(key)
			continue
		}
		cv.blocks.add(key)
		holders.add(key, slot)
	}
}

// cached returns the length of the longest prefix held, in blocks. Engines
// evict a prefix from its end, so the deepest block that is held is sought from
// the end by halves.
func (cv *cacheView) cached(prefix []uint64) int {
	low, high := 0, len(prefix)
	for low < high {
		mid := (low + high + 1) / 2
		if cv.blocks.has(blockKey(prefix[mid-1])) {
			low = mid
		} else {
			high = mid - 1
		}
	}
	return low
}

// zeroBlock stands for the hash 0, which means an empty place.
const zeroBlock = 0x9e3779b97f4a7c15

func blockKey(block uint64) uint64 {
	if block == 0 {
		return zeroBlock
	}
	return block
}

// wayCount is the number of places that a value may take.
const wayCount = 8

// ways is a set of non-zero values in a fixed table: a value has a few places,
// and a new value overwrites one of them when all are taken. One goroutine
// writes, others read without locks.
type ways struct {
	table []atomic.Uint64
	mask  uint64
	turn  uint64
}

func newWays(size int) ways {
	rows := uint64(1)
	for rows*wayCount < uint64(size) {
		rows *= 2
	}
	return ways{table: make([]atomic.Uint64, rows*wayCount), mask: rows - 1}
}

func (ws *ways) row(key uint64) []atomic.Uint64 {
	start := (mix(key) & ws.mask) * wayCount
	return ws.table[start : start+wayCount]
}

func (ws *ways) has(key uint64) bool {
	row := ws.row(key)
	for idx := range row {
		if row[idx].Load() == key {
			return true
		}
	}
	return false
}

func (ws *ways) add(key uint64) { ws.put(ws.row(key), key) }

// put stores a value in a row, in an empty place if there is one.
func (ws *ways) put(row []atomic.Uint64, val uint64) {
	place := -1
	for idx := range row {
		switch row[idx].Load() {
		case val:
			return
		case 0:
			place = idx
		}
	}
	if place < 0 {
		ws.turn++
		place = int(ws.turn % wayCount)
	}
	row[place].Store(val)
}

func (ws *ways) remove(key uint64) {
	row := ws.row(key)
	for idx := range row {
		if row[idx].Load() == key {
			row[idx].Store(0)
		}
	}
}

func (ws *ways) clear() {
	for idx := range ws.table {
		ws.table[idx].Store(0)
	}
}

// holderIndex finds upstreams that may hold a block. An entry joins 48 bits of
// the block with the upstream's slot; the upstream's own view has the last word.
type holderIndex struct{ ways ways }

const (
	slotBits = 16
	slotMask = 1<<slotBits - 1
	// holderFactor is the size of the index relative to one upstream's view.
	holderFactor = 16
)

func newHolderIndex(size int) *holderIndex {
	return &holderIndex{ways: newWays(holderFactor * size)}
}

func (hi *holderIndex) add(key uint64, slot uint16) {
	hi.ways.put(hi.ways.row(key), key&^slotMask|uint64(slot))
}

// holders calls yield with the slots that may hold a block.
func (hi *holderIndex) holders(key uint64, yield func(slot uint16) bool) {
	row := hi.ways.row(key)
	for idx := range row {
		val := row[idx].Load()
		if val != 0 && val&^slotMask == key&^slotMask && !yield(uint16(val&slotMask)) {
			return
		}
	}
}

// slotTable gives each upstream a small number, and gives freed ones out again.
type slotTable struct {
	free []uint16
	next uint16
}

// take returns a slot from 1 on.
func (sl *slotTable) take() uint16 {
	if last := len(sl.free) - 1; last >= 0 {
		slot := sl.free[last]
		sl.free = sl.free[:last]
		return slot
	}
	sl.next++
	return sl.next
}

func (sl *slotTable) release(slot uint16) { sl.free = append(sl.free, slot) }

// mix spreads the bits of a value (the finalizer of SplitMix64).
func mix(val uint64) uint64 {
	val += 0x9e3779b97f4a7c15
	val = (val ^ val>>30) * 0xbf58476d1ce4e5b9
	val = (val ^ val>>27) * 0x94d049bb133111eb
	return val ^ val>>31
}
