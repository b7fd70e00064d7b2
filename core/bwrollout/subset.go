package bwrollout

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"bilberrywick/core/bwmodel"
)

// Subset returns the new upstreams that get the sampled requests of a rollout, by
// rendezvous hashing, so that all gateways choose the same ones. It changes little when
// an upstream comes or goes.
func Subset(ord Order, ready []bwmodel.UpstreamID, size int) []bwmodel.UpstreamID {
	type ranked struct {
		id  bwmodel.UpstreamID
		sum uint64
	}
	ranks := make([]ranked, 0, len(ready))
	for _, id := range ready {
		ranks = append(ranks, ranked{id, hash(string(ord.Service), string(ord.To), string(id))})
	}
	slices.SortFunc(ranks, func(ra, rb ranked) int {
		return cmp.Or(cmp.Compare(rb.sum, ra.sum), cmp.Compare(ra.id, rb.id))
	})
	ids := make([]bwmodel.UpstreamID, 0, min(size, len(ranks)))
	for _, rnk := range ranks[:min(max(size, 0), len(ranks))] {
		ids = append(ids, rnk.id)
	}
	return ids
}

// hash returns a hash of strings that differs if their borders do.
func hash(parts ...string) uint64 {
	dig := xxhash.New()
	for _, part := range parts {
		// Digest's methods never return an error.
		_, _ = dig.WriteString(part)
		_, _ = dig.Write([]byte{0})
	}
	// The last step of SplitMix64 spreads a change of any bit over all bits.
	val := dig.Sum64()
	val = (val ^ val>>30) * 0xbf58476d1ce4e5b9
	val = (val ^ val>>27) * 0x94d049bb133111eb
	return val ^ val>>31
}

// fraction returns a hash as a number in [0, 1).
func fraction(sum uint64) float64 { return float64(sum>>11) / (1 << 53) }
