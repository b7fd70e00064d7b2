package bwlease

import (
	"errors"
	"fmt"

	"bilberrywick/core/bwmodel"
)

// Errors of Guard.Admit.
var (
	// ErrOldFence is returned for an order under a fence that has been replaced.
	ErrOldFence = errors.New("order carries an old fence")
	// ErrNotRead is returned until the lease's row has been read, since a process
	// that has restarted doesn't know which fences it saw before.
	ErrNotRead = errors.New("lease row has not been read since the start")
)

// Guard keeps the highest fence seen for each control duty and refuses orders
// under lower ones, for upstreams that ignore fences.
type Guard struct {
	duties map[string]bwmodel.Fence
}

// NewGuard returns a guard that has read no lease yet.
func NewGuard() *Guard { return &Guard{duties: make(map[string]bwmodel.Fence)} }

// Learn records the fence in a duty's lease row, 0 when there is no row.
func (gd *Guard) Learn(duty string, fence bwmodel.Fence) {
	gd.duties[duty] = max(gd.duties[duty], fence)
}

// Known reports whether the duty's lease row has been read since the start.
func (gd *Guard) Known(duty string) bool {
	_, ok := gd.duties[duty]
	return ok
}

// Admit records the fence of an order, or returns ErrNotRead or ErrOldFence.
func (gd *Guard) Admit(duty string, fence bwmodel.Fence) error {
	highest, ok := gd.duties[duty]
	if !ok {
		return fmt.Errorf("duty %q: %w", duty, ErrNotRead)
	}
	if fence < highest {
		return fmt.Errorf("duty %q: fence %d is below %d: %w", duty, fence, highest, ErrOldFence)
	}
	gd.duties[duty] = fence
	return nil
}
