package bwroute

import (
	"hash/maphash"
	"sync/atomic"
)

// PrefixIndex finds the block hashes that a prompt's beginning has on engines.
// Routers see text while engines publish hashes of token blocks, so it learns
// from the blocks of prompts that have been answered. It is only a hint: an
// entry may be forgotten, or name a block too many. Any goroutine may use it.
type PrefixIndex struct {
	seed  maphash.Seed
	table []atomic.Pointer[prefixEntry]
}

// PrefixIndexConfig configures a PrefixIndex.
type PrefixIndexConfig struct {
	// Entries is the number of text prefixes remembered; 0 means 8192.
	Entries int
}

// prefixEntry holds the blocks of the prompts that begin with one text.
type prefixEntry struct {
	key uint64
	// blocks are those that all such prompts had in common so far.
	blocks []uint64
	// size is how many of them belong to the text.
	size int
}

const (
	defaultPrefixEntries = 1 << 13
	// chunkBytes is about two blocks of 16 tokens of 4 bytes.
	chunkBytes = 128
	// maxChunks bounds the part of a prompt that is hashed, to 64 KiB.
	maxChunks = 512
)

// NewPrefixIndex returns an empty index.
func NewPrefixIndex(cfg PrefixIndexConfig) *PrefixIndex {
	return &PrefixIndex{
		seed:  maphash.MakeSeed(),
		table: make([]atomic.Pointer[prefixEntry], orDefault(cfg.Entries, defaultPrefixEntries)),
	}
}

// Lookup returns the blocks of the longest known beginning of a prompt, the
// shortest prefix first; the caller must not change them. The parts are the
// model and the prompt's texts.
func (pi *PrefixIndex) Lookup(parts ...string) []uint64 {
	var blocks []uint64
	pi.walk(parts, func(key uint64, _, _ int) {
		if ent := pi.at(key).Load(); ent != nil && ent.key == key {
			blocks = ent.blocks[:ent.size:ent.size]
		}
	})
	return blocks
}

// Record takes in the blocks that a prompt had on an engine.
func (pi *PrefixIndex) Record(blocks []uint64, parts ...string) {
	pi.walk(parts, func(key uint64, length, total int) {
		place := pi.at(key)
		ent := place.Load()
		if ent == nil || ent.key != key {
			// Of one prompt's blocks, a text has about its part of the bytes.
			place.Store(&prefixEntry{key: key, blocks: blocks, size: len(blocks) * length / total})
			return
		}
		common := commonLength(ent.blocks, blocks)
		if common < len(ent.blocks) || common < len(blocks) {
			place.Store(&prefixEntry{key: key, blocks: ent.blocks[:common], size: common})
		}
	})
}

func commonLength(left, right []uint64) int {
	size := 0
	for size < min(len(left), len(right)) && left[size] == right[size] {
		size++
	}
	return size
}

// walk calls visit with the key of each prefix of whole chunks, its length and
// the length of all parts, and at last with those of the whole prompt.
func (pi *PrefixIndex) walk(parts []string, visit func(key uint64, length, total int)) {
	total := 0
	for _, part := range parts {
		total += len(part) + 1
	}
	var sum maphash.Hash
	sum.SetSeed(pi.seed)
	length, next := 0, chunkBytes
	for _, part := range parts {
		for len(part) > 0 && length < maxChunks*chunkBytes {
			size := min(len(part), next-length)
			_, _ = sum.WriteString(part[:size])
			part = part[size:]
			length += size
			if length == next && length < total {
				visit(sum.Sum64(), length, total)
				next += chunkBytes
			}
		}
		// A separator keeps the ends of parts apart.
		_ = sum.WriteByte(0)
	}
	if length < maxChunks*chunkBytes {
		visit(sum.Sum64(), total, total)
	}
}

func (pi *PrefixIndex) at(key uint64) *atomic.Pointer[prefixEntry] {
	return &pi.table[key%uint64(len(pi.table))]
}
