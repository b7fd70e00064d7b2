package bwroute

import (
	"hash/maphash"
	"sync/atomic"
)

// PrefixIndex maps the beginning of a prompt's text to block hashes of engines.
// Routers see text while engines publish hashes of token blocks, so the index is
// filled with the blocks of prompts that have been answered. It is only a hint: an
// entry may be overwritten, or contain a block too many. It is safe for concurrent
// use.
type PrefixIndex struct {
	seed  maphash.Seed
	table []atomic.Pointer[prefixEntry]
}

// PrefixIndexConfig configures a PrefixIndex.
type PrefixIndexConfig struct {
	// Entries is the number of text prefixes stored; 0 means 8192.
	Entries int
}

// prefixEntry holds the blocks of the prompts that begin with the same text.
type prefixEntry struct {
	key uint64
	// blocks are the leading blocks that all such prompts recorded so far share.
	blocks []uint64
	// size is the estimated number of blocks that belong to the text.
	size int
}

const (
	defaultPrefixEntries = 1 << 13
	// chunkBytes is about two blocks of 16 tokens of 4 bytes.
	chunkBytes = 128
	// maxChunks limits the part of a prompt that is hashed to 64 KiB.
	maxChunks = 512
)

// NewPrefixIndex returns an empty index.
func NewPrefixIndex(cfg PrefixIndexConfig) *PrefixIndex {
	return &PrefixIndex{
		seed:  maphash.MakeSeed(),
		table: make([]atomic.Pointer[prefixEntry], orDefault(cfg.Entries, defaultPrefixEntries)),
	}
}

// Lookup returns the blocks of the longest indexed beginning of a prompt, the
// shortest prefix first; the caller must not change them. The parts are the name of
// the model and the texts of the prompt.
func (pi *PrefixIndex) Lookup(parts ...string) []uint64 {
	var blocks []uint64
	pi.eachPrefix(parts, func(key uint64, _, _ int) {
		if ent := pi.entry(key).Load(); ent != nil && ent.key == key {
			blocks = ent.blocks[:ent.size:ent.size]
		}
	})
	return blocks
}

// Record adds the blocks that a prompt had on an engine to the index, for each
// prefix of the prompt. It keeps a reference to blocks.
func (pi *PrefixIndex) Record(blocks []uint64, parts ...string) {
	pi.eachPrefix(parts, func(key uint64, length, total int) {
		cell := pi.entry(key)
		ent := cell.Load()
		if ent == nil || ent.key != key {
			// After one prompt, the number of blocks of a prefix can only be
			// estimated from its fraction of the prompt's bytes.
			cell.Store(&prefixEntry{key: key, blocks: blocks, size: len(blocks) * length / total})
			return
		}
		common := commonLength(ent.blocks, blocks)
		if common < len(ent.blocks) || common < len(blocks) {
			cell.Store(&prefixEntry{key: key, blocks: ent.blocks[:common], size: common})
		}
	})
}

func commonLength(first, second []uint64) int {
	size := 0
	for size < min(len(first), len(second)) && first[size] == second[size] {
		size++
	}
	return size
}

// eachPrefix calls visit for each prefix of whole chunks, with its key, its length
// and the length of all parts in bytes, and last for the whole prompt unless it is
// too long.
func (pi *PrefixIndex) eachPrefix(parts []string, visit func(key uint64, length, total int)) {
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
		// A separator distinguishes different divisions of the same text.
		_ = sum.WriteByte(0)
	}
	if length < maxChunks*chunkBytes {
		visit(sum.Sum64(), total, total)
	}
}

func (pi *PrefixIndex) entry(key uint64) *atomic.Pointer[prefixEntry] {
	return &pi.table[key%uint64(len(pi.table))]
}
