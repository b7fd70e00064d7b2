package bwcontrol

import (
	"context"
	"errors"
	"sync/atomic"
)

// ErrStopped is returned when the owner's goroutine has ended.
var ErrStopped = errors.New("control goroutine has stopped")

// Owner runs the only goroutine that changes a control state S. It publishes an
// immutable view V of the state after changes.
type Owner[S, V any] struct {
	state     *S
	view      func(*S) *V
	onPublish func(previous, current *V)
	queue     chan pendingChange[S]
	current   atomic.Pointer[V]
	done      chan struct{}
}

// Config configures an Owner.
type Config[S, V any] struct {
	// State is the initial state. After Start only the owner's goroutine may use it.
	State *S
	// View derives an immutable view, which must not share memory that changes later.
	View func(*S) *V
	// OnPublish is called by the owner's goroutine after each publication; it may
	// be nil.
	OnPublish func(previous, current *V)
	// Backlog is the number of changes that may be queued; 0 means 256.
	Backlog int
}

const defaultBacklog = 256

// New returns an owner that has published the view of the initial state.
func New[S, V any](cfg Config[S, V]) *Owner[S, V] {
	if cfg.Backlog == 0 {
		cfg.Backlog = defaultBacklog
	}
	own := &Owner[S, V]{
		state:     cfg.State,
		view:      cfg.View,
		onPublish: cfg.OnPublish,
		queue:     make(chan pendingChange[S], cfg.Backlog),
		done:      make(chan struct{}),
	}
	own.current.Store(cfg.View(cfg.State))
	return own
}

// Start runs the owner's goroutine until the context ends.
func (own *Owner[S, V]) Start(ctx context.Context) { go own.run(ctx) }

// Snapshot returns the current view; it never blocks.
func (own *Owner[S, V]) Snapshot() *V { return own.current.Load() }

// Post queues a change and returns without waiting until it is applied. It
// returns ErrStopped or the context's error if the change can't be queued.
func (own *Owner[S, V]) Post(ctx context.Context, change func(*S)) error {
	return own.enqueue(ctx, pendingChange[S]{change: change})
}

// Do queues a change and waits until it is applied and its view is published. It
// returns ErrStopped or the context's error if the change is not applied and
// never will be, so that the caller may safely use what the change writes to.
func (own *Owner[S, V]) Do(ctx context.Context, change func(*S)) error {
	chg := pendingChange[S]{change: change, applied: make(chan struct{}), claimed: new(atomic.Bool)}
	if err := own.enqueue(ctx, chg); err != nil {
		return err
	}
	var err error
	select {
	case <-chg.applied:
		return nil
	case <-own.done:
		err = ErrStopped
	case <-ctx.Done():
		err = ctx.Err()
	}
	if chg.claimed.CompareAndSwap(false, true) {
		return err
	}
	// The owner has started the change and always completes it.
	<-chg.applied
	return nil
}

// Done returns a channel that is closed when the owner's goroutine has ended.
func (own *Owner[S, V]) Done() <-chan struct{} { return own.done }

func (own *Owner[S, V]) enqueue(ctx context.Context, chg pendingChange[S]) error {
	select {
	case own.queue <- chg:
		return nil
	case <-own.done:
		return ErrStopped
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (own *Owner[S, V]) run(ctx context.Context) {
	defer close(own.done)
	var applied []chan struct{}
	for {
		select {
		case chg := <-own.queue:
			applied = own.applyQueued(chg, applied[:0])
			own.publishView()
			for _, ch := range applied {
				close(ch)
			}
		case <-ctx.Done():
			return
		}
	}
}

func (own *Owner[S, V]) publishView() {
	next := own.view(own.state)
	prev := own.current.Swap(next)
	if own.onPublish != nil {
		own.onPublish(prev, next)
	}
}

// applyQueued applies a change and all queued ones, so that a burst of changes needs
// one view only. It returns the channels to close once the view is published.
func (own *Owner[S, V]) applyQueued(chg pendingChange[S], applied []chan struct{}) []chan struct{} {
	for {
		if chg.claimed == nil || chg.claimed.CompareAndSwap(false, true) {
			chg.change(own.state)
			if chg.applied != nil {
				applied = append(applied, chg.applied)
			}
		}
		select {
		case chg = <-own.queue:
		default:
			return applied
		}
	}
}

// pendingChange is a queued change.
type pendingChange[S any] struct {
	change func(*S)
	// applied is closed once the view with the change is published; nil for changes
	// from Post.
	applied chan struct{}
	// claimed is set by the owner before it applies the change, or by the caller
	// that withdraws it, whichever is first. It is nil for changes from Post.
	claimed *atomic.Bool
}
