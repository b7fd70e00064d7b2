package bwprocess

import "context"

// follower takes each change of the fleet's view into force.
type follower struct {
	changes <-chan struct{}
	apply   func(context.Context)
}

// ApplyChanges calls apply now and after each of the changes that Start returned,
// from one goroutine, until the context ends.
func (prc *Process) ApplyChanges(ctx context.Context, changes <-chan struct{}, apply func(context.Context)) {
	flw := &follower{changes: changes, apply: apply}
	go flw.loop(ctx)
}

func (flw *follower) loop(ctx context.Context) {
	for {
		flw.apply(ctx)
		select {
		case <-flw.changes:
		case <-ctx.Done():
			return
		}
	}
}
