package bwlease

import (
	"errors"
	"fmt"

	"bilberrywick/core/bwmodel"
)

// Errors of Guard.Admit.
var (
	// ErrStaleFence is returned for an order under a fence that has been replaced.
	ErrStaleFence = errors.New("order carries an old fence")
	// ErrLeaseNotRead is returned until the lease's row has been read, since a process
	// that has restarted doesn't know which fences it saw before.
	ErrLeaseNotRead = errors.New("lease row has not been read since the start")
)

// FenceGuard keeps the highest fence seen for each control duty and refuses orders
// under lower ones, for upstreams that ignore fences.
type FenceGuard struct {
	duties map[string]bwmodel.Fence
}

// NewFenceGuard returns a guard that has read no lease yet.
func NewFenceGuard() *FenceGuard { return &FenceGuard{duties: make(map[string]bwmodel.Fence)} }

// RecordFence records the fence in a duty's lease row, 0 when there is no row.
func (gd *FenceGuard) RecordFence(duty string, fence bwmodel.Fence) {
	gd.duties[duty] = max(gd.duties[duty], fence)
}

// HasFence reports whether the duty's lease row has been read since the start.
func (gd *FenceGuard) HasFence(duty string) bool {
	_, ok := gd.duties[duty]
	return ok
}

// Admit records the fence of an order, or returns ErrNotRead or ErrOldFence.
func (gd *FenceGuard) Admit(duty string, fence bwmodel.Fence) error {
	highest, ok := gd.duties[duty]
	if !ok {
		return fmt.Errorf("duty %q: %w", duty, ErrLeaseNotRead)
	}
	if fence < highest {
		return fmt.Errorf("duty %q: fence %d is below %d: %w", duty, fence, highest, ErrStaleFence)
	}
	gd.duties[duty] = fence
	return nil
}
