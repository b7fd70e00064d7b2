package bwlease

import (
	"errors"
	"fmt"

	"bilberrywick/core/bwmodel"
)

// Errors of FenceGuard.Admit.
var (
	// ErrStaleFence is returned for an order whose fence is below the recorded one.
	ErrStaleFence = errors.New("order carries an old fence")
	// ErrLeaseNotRead is returned until the lease's row has been read, since a restart
	// loses the fences recorded before it.
	ErrLeaseNotRead = errors.New("lease row has not been read since the start")
)

// FenceGuard records the highest fence of each control duty and rejects orders with
// a lower one. It protects upstreams that don't check fences themselves.
type FenceGuard struct {
	fences map[string]bwmodel.Fence
}

// NewFenceGuard returns a guard without recorded fences.
func NewFenceGuard() *FenceGuard { return &FenceGuard{fences: make(map[string]bwmodel.Fence)} }

// RecordFence records the fence in a duty's lease row, 0 when there is no row. A
// fence below the recorded one is ignored.
func (gd *FenceGuard) RecordFence(duty string, fence bwmodel.Fence) {
	gd.fences[duty] = max(gd.fences[duty], fence)
}

// HasFence reports whether a fence has been recorded for the duty.
func (gd *FenceGuard) HasFence(duty string) bool {
	_, ok := gd.fences[duty]
	return ok
}

// Admit records the fence of an order, or returns ErrLeaseNotRead or ErrStaleFence
// when the order must be rejected.
func (gd *FenceGuard) Admit(duty string, fence bwmodel.Fence) error {
	highest, ok := gd.fences[duty]
	if !ok {
		return fmt.Errorf("duty %q: %w", duty, ErrLeaseNotRead)
	}
	if fence < highest {
		return fmt.Errorf("duty %q: fence %d is below %d: %w", duty, fence, highest, ErrStaleFence)
	}
	gd.fences[duty] = fence
	return nil
}
