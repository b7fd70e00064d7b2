package bwretry

import (
	"context"
	"time"
)

// Pause waits for dur. It returns false if the context ends first.
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
