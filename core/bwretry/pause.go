package bwretry

import (
	"context"
	"time"
)

// Pause waits between two attempts, and reports false when the context ended first.
func Pause(ctx context.Context, dur time.Duration) bool {
	tmr := time.NewTimer(dur)
	defer tmr.Stop()
	select {
	case <-tmr.C:
		return true
	case <-ctx.Done():
		return false
	}
}
