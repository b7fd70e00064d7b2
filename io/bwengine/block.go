package bwengine

import "bilberrywick/core/bwmodel"

// BlockTokens is the number of tokens in a block of an engine's prefix cache.
const BlockTokens = 16

// FNV-1a with 64 bits, over token numbers in place of bytes.
const (
	blockHashStart = 14695981039346656037
	blockHashPrime = 1099511628211
)

// BlockHashes returns the hashes that engines publish in their cache events for
// the whole blocks of a prompt; each covers all tokens up to the block's end.
func BlockHashes(ids []bwmodel.TokenID) []uint64 {
	blocks := make([]uint64, 0, len(ids)/BlockTokens)
	sum := uint64(blockHashStart)
	for ix, id := range ids {
		sum = (sum ^ uint64(id)) * blockHashPrime
		if (ix+1)%BlockTokens == 0 {
			blocks = append(blocks, sum)
		}
	}
	return blocks
}
