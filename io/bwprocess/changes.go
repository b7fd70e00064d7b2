package bwprocess

import "context"

// changeApplier calls apply after each change of the fleet's state.
type changeApplier struct {
	changes <-chan struct{}
	apply   func(context.Context)
}

// ApplyChanges starts a goroutine that calls apply immediately and after each
// change until the context ends; changes is the channel that Start returned.
func (prc *Process) ApplyChanges(ctx context.Context, changes <-chan struct{}, apply func(context.Context)) {
	apl := &changeApplier{changes: changes, apply: apply}
	go apl.loop(ctx)
}

func (apl *changeApplier) loop(ctx context.Context) {
	for {
		apl.apply(ctx)
		select {
		case <-apl.changes:
		case <-ctx.Done():
			return
		}
	}
}
