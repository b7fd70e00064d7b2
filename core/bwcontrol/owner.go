package bwcontrol

import (
	"context"
	"errors"
	"sync/atomic"
)

// ErrStopped is returned when the owner's goroutine has ended.
var ErrStopped = errors.New("control goroutine has stopped")

// Owner runs the only goroutine that changes a control state S, and publishes
// an immutable view V of it after each change.
type Owner[S, V any] struct {
	state   *S
	view    func(*S) *V
	publish func(previous, current *V)
	posted  chan posting[S]
	current atomic.Pointer[V]
	done    chan struct{}
}

// Config holds what an Owner starts from.
type Config[S, V any] struct {
	// State is changed by the owner's goroutine only, once it runs.
	State *S
	// View derives an immutable view; it must not share memory that changes later.
	View func(*S) *V
	// OnPublish is called after a view has replaced the previous one; it may be nil.
	OnPublish func(previous, current *V)
	// Backlog is the number of posted changes that may wait; 0 means 256.
	Backlog int
}

const defaultBacklog = 256

// New returns an owner whose first view is published already.
func New[S, V any](cfg Config[S, V]) *Owner[S, V] {
	if cfg.Backlog == 0 {
		cfg.Backlog = defaultBacklog
	}
	own := &Owner[S, V]{
		state:   cfg.State,
		view:    cfg.View,
		publish: cfg.OnPublish,
		posted:  make(chan posting[S], cfg.Backlog),
		done:    make(chan struct{}),
	}
	own.current.Store(cfg.View(cfg.State))
	return own
}

// Start runs the owner's goroutine until the context ends.
func (own *Owner[S, V]) Start(ctx context.Context) { go own.run(ctx) }

// Snapshot returns the current view; it never blocks.
func (own *Owner[S, V]) Snapshot() *V { return own.current.Load() }

// Post queues a change and returns without waiting for it, or returns
// ErrStopped or the context's error when it can't be queued.
func (own *Owner[S, V]) Post(ctx context.Context, change func(*S)) error {
	return own.enqueue(ctx, posting[S]{change: change})
}

// Do queues a change and waits until it is applied and its view published, or
// returns ErrStopped or the context's error; the change is not applied then, so
// that the caller alone has what the change would have written.
func (own *Owner[S, V]) Do(ctx context.Context, change func(*S)) error {
	post := posting[S]{change: change, applied: make(chan struct{}), taken: new(atomic.Bool)}
	if err := own.enqueue(ctx, post); err != nil {
		return err
	}
	var err error
	select {
	case <-post.applied:
		return nil
	case <-own.done:
		err = ErrStopped
	case <-ctx.Done():
		err = ctx.Err()
	}
	if post.taken.CompareAndSwap(false, true) {
		return err
	}
	// The owner has begun with it, and ends what it has begun.
	<-post.applied
	return nil
}

// Done is closed when the owner's goroutine has ended.
func (own *Owner[S, V]) Done() <-chan struct{} { return own.done }

func (own *Owner[S, V]) enqueue(ctx context.Context, post posting[S]) error {
	select {
	case own.posted <- post:
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
		case post := <-own.posted:
			applied = own.apply(post, applied[:0])
			own.swap()
			for _, ch := range applied {
				close(ch)
			}
		case <-ctx.Done():
			return
		}
	}
}

func (own *Owner[S, V]) swap() {
	next := own.view(own.state)
	prev := own.current.Swap(next)
	if own.publish != nil {
		own.publish(prev, next)
	}
}

// apply runs one change and those that wait already, so that a burst costs one
// view, and returns the channels to close once the view is published.
func (own *Owner[S, V]) apply(post posting[S], applied []chan struct{}) []chan struct{} {
	for {
		if post.taken == nil || post.taken.CompareAndSwap(false, true) {
			post.change(own.state)
			if post.applied != nil {
				applied = append(applied, post.applied)
			}
		}
		select {
		case post = <-own.posted:
		default:
			return applied
		}
	}
}

type posting[S any] struct {
	change  func(*S)
	applied chan struct{}
	// taken is set by the owner that applies the change or by the caller that
	// withdraws it, whichever is first; nil for a change that nobody waits for.
	taken *atomic.Bool
}
