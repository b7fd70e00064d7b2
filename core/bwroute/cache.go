package bwroute

import (
	"sync/atomic"

	"bilberrywick/core/bwmodel"
)

// cacheView is a router's approximate copy of an engine's prefix cache. The control
// goroutine writes it, traffic goroutines read it. It is only a hint: it may lose
// blocks, and a wrong entry causes a prefill but never a wrong response.
type cacheView struct {
	blocks assocTable
	// sequence is the number of the last event applied.
	sequence uint64
	// trust, between 0 and 1, is the weight of the cached blocks in the cost.
	trust atomicFloat
}

const (
	// gapTrustFactor is the factor by which a gap in the events reduces the trust.
	gapTrustFactor = 0.5
	// trustRecovery is the fraction of the lost trust that each event in sequence
	// restores.
	trustRecovery = 1.0 / 256
)

func newCacheView(size int) *cacheView {
	cv := &cacheView{blocks: newAssocTable(size)}
	cv.trust.store(1)
	return cv
}

// reset empties the view, for an engine that has restarted.
func (cv *cacheView) reset() {
	cv.blocks.clear()
	cv.sequence = 0
	cv.trust.store(1)
}

// apply applies events. It ignores an event that is not newer than the last one,
// because such a late or repeated event could undo a newer one; the gap that it
// left has already reduced the trust. Sequence 1 after a higher number means that
// the engine has restarted the numbering.
func (cv *cacheView) apply(events []bwmodel.CacheEvent, index uint16, holders *holderIndex) {
	for _, ev := range events {
		if ev.Sequence == 1 && cv.sequence > 1 {
			cv.reset()
		}
		if ev.Sequence <= cv.sequence {
			continue
		}
		trust := cv.trust.load()
		if cv.sequence > 0 && ev.Sequence != cv.sequence+1 {
			trust *= gapTrustFactor
		} else {
			trust += (1 - trust) * trustRecovery
		}
		cv.trust.store(trust)
		cv.sequence = ev.Sequence
		key := blockKey(ev.Block)
		if ev.Evicted {
			cv.blocks.remove(key)
			continue
		}
		cv.blocks.add(key)
		holders.add(key, index)
	}
}

// cached returns the length of the longest cached prefix, in blocks. Engines evict
// a prefix from its end, so a binary search finds the last cached block.
func (cv *cacheView) cached(prefix []uint64) int {
	low, high := 0, len(prefix)
	for low < high {
		mid := (low + high + 1) / 2
		if cv.blocks.contains(blockKey(prefix[mid-1])) {
			low = mid
		} else {
			high = mid - 1
		}
	}
	return low
}

// zeroBlock replaces the block hash 0, since 0 marks an empty entry.
const zeroBlock = 0x9e3779b97f4a7c15

func blockKey(block uint64) uint64 {
	if block == 0 {
		return zeroBlock
	}
	return block
}

// associativity is the number of entries in a bucket of an assocTable.
const associativity = 8

// assocTable is a set of non-zero values of fixed size, built like a
// set-associative cache: a value is stored in one bucket, and a new value replaces
// another when the bucket is full. One goroutine writes, others read without locks.
type assocTable struct {
	table        []atomic.Uint64
	mask         uint64
	replacements uint64
}

func newAssocTable(size int) assocTable {
	buckets := uint64(1)
	for buckets*associativity < uint64(size) {
		buckets *= 2
	}
	return assocTable{table: make([]atomic.Uint64, buckets*associativity), mask: buckets - 1}
}

func (at *assocTable) bucket(key uint64) []atomic.Uint64 {
	start := (splitMix64(key) & at.mask) * associativity
	return at.table[start : start+associativity]
}

func (at *assocTable) contains(key uint64) bool {
	bucket := at.bucket(key)
	for idx := range bucket {
		if bucket[idx].Load() == key {
			return true
		}
	}
	return false
}

func (at *assocTable) add(key uint64) { at.insert(at.bucket(key), key) }

// insert stores a value in a bucket, in an empty entry if there is one.
func (at *assocTable) insert(bucket []atomic.Uint64, val uint64) {
	free := -1
	for idx := range bucket {
		switch bucket[idx].Load() {
		case val:
			return
		case 0:
			free = idx
		}
	}
	if free < 0 {
		at.replacements++
		free = int(at.replacements % associativity)
	}
	bucket[free].Store(val)
}

func (at *assocTable) remove(key uint64) {
	bucket := at.bucket(key)
	for idx := range bucket {
		if bucket[idx].Load() == key {
			bucket[idx].Store(0)
		}
	}
}

func (at *assocTable) clear() {
	for idx := range at.table {
		at.table[idx].Store(0)
	}
}

// holderIndex finds upstreams that may hold a block. An entry combines 48 bits of
// the block with the upstream's index. The caller checks a result against the
// upstream's cacheView.
type holderIndex struct{ entries assocTable }

const (
	indexBits = 16
	indexMask = 1<<indexBits - 1
	// holderFactor is the size of a holderIndex relative to one cacheView.
	holderFactor = 16
)

func newHolderIndex(size int) *holderIndex {
	return &holderIndex{entries: newAssocTable(holderFactor * size)}
}

func (hi *holderIndex) add(key uint64, index uint16) {
	hi.entries.insert(hi.entries.bucket(key), key&^indexMask|uint64(index))
}

// holders calls yield with the indexes of the upstreams that may hold a block, until
// yield returns false.
func (hi *holderIndex) holders(key uint64, yield func(index uint16) bool) {
	bucket := hi.entries.bucket(key)
	for idx := range bucket {
		val := bucket[idx].Load()
		if val != 0 && val&^indexMask == key&^indexMask && !yield(uint16(val&indexMask)) {
			return
		}
	}
}

// indexAllocator assigns each upstream a small number and reuses released ones.
type indexAllocator struct {
	free []uint16
	next uint16
}

// allocate returns an unused index; the first is 1.
func (ia *indexAllocator) allocate() uint16 {
	if last := len(ia.free) - 1; last >= 0 {
		index := ia.free[last]
		ia.free = ia.free[:last]
		return index
	}
	ia.next++
	return ia.next
}

func (ia *indexAllocator) release(index uint16) { ia.free = append(ia.free, index) }

// splitMix64 hashes a value with the output function of the SplitMix64 generator.
func splitMix64(val uint64) uint64 {
	val += 0x9e3779b97f4a7c15
	val = (val ^ val>>30) * 0xbf58476d1ce4e5b9
	val = (val ^ val>>27) * 0x94d049bb133111eb
	return val ^ val>>31
}
