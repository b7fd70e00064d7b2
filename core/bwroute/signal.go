package bwroute

import "sync/atomic"

// signal wakes all waiters at once. A broadcast without waiters allocates nothing.
type signal struct {
	current    atomic.Pointer[chan struct{}]
	hasWaiters atomic.Bool
}

func (sig *signal) reset() {
	ch := make(chan struct{})
	sig.current.Store(&ch)
}

func (sig *signal) wait() <-chan struct{} {
	ch := *sig.current.Load()
	sig.hasWaiters.Store(true)
	return ch
}

// broadcast closes the channel of the current waiters. A waiter that sets hasWaiters
// between the two steps has either the old channel, which is closed, or the new one,
// for which hasWaiters stays set or costs one extra broadcast.
func (sig *signal) broadcast() {
	if !sig.hasWaiters.Swap(false) {
		return
	}
	ch := make(chan struct{})
	close(*sig.current.Swap(&ch))
}
