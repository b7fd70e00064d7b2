package bwforward

import "slices"

// PartID identifies a part of a prompt. Prompts that begin with the same parts share
// their KV cache.
type PartID string

// partSet looks up parts of a prompt or of a group. It is not safe for concurrent use.
type partSet struct {
	list []PartID
	// index is built after maxScans lookups in a long list.
	index map[PartID]struct{}
	scans int
}

const (
	// maxScannedParts is the length up to which scanning a list costs less than an index,
	// and maxScans the number of lookups in a longer list.
	maxScannedParts = 16
	maxScans        = 16
)

func newPartSet(parts []PartID) *partSet { return &partSet{list: parts} }

func (pst *partSet) has(part PartID) bool {
	if len(pst.list) <= maxScannedParts || pst.scans < maxScans {
		pst.scans++
		return slices.Contains(pst.list, part)
	}
	if pst.index == nil {
		pst.index = make(map[PartID]struct{}, len(pst.list))
		for _, other := range pst.list {
			pst.index[other] = struct{}{}
		}
	}
	_, ok := pst.index[part]
	return ok
}

// hasAll reports whether the set has all parts of a group.
func (pst *partSet) hasAll(group []PartID) bool {
	return !slices.ContainsFunc(group, func(part PartID) bool { return !pst.has(part) })
}
