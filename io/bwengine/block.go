package bwengine

import "bilberrywick/core/bwmodel"

// BlockTokens is the number of tokens in a block of an engine's prefix cache.
const BlockTokens = 16

// The parameters of 64-bit FNV-1a, which is applied to token IDs instead of bytes.
const (
	fnvOffsetBasis = 14695981039346656037
	fnvPrime       = 1099511628211
)

// BlockHashes returns the hashes of the full blocks of a prompt, as engines report
// them in cache events. Each hash covers all tokens up to the block's end.
func BlockHashes(ids []bwmodel.TokenID) []uint64 {
	blocks := make([]uint64, 0, len(ids)/BlockTokens)
	hash := uint64(fnvOffsetBasis)
	for ix, id := range ids {
		hash = (hash ^ uint64(id)) * fnvPrime
		if (ix+1)%BlockTokens == 0 {
			blocks = append(blocks, hash)
		}
	}
	return blocks
}
