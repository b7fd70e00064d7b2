package bwroute

import "sync/atomic"

// signal wakes all waiters at once; a broadcast without waiters allocates nothing.
type signal struct {
	current atomic.Pointer[chan struct{}]
	waited  atomic.Bool
}

func (sig *signal) reset() {
	ch := make(chan struct{})
	sig.current.Store(&ch)
}

func (sig *signal) wait() <-chan struct{} {
	ch := *sig.current.Load()
	sig.waited.Store(true)
	return ch
}

// broadcast closes the channel that waiters hold. A waiter that marks the signal
// between the two steps holds either the old channel, which is closed, or the
// new one, whose mark stays or costs one extra broadcast.
func (sig *signal) broadcast() {
	if !sig.waited.Swap(false) {
		return
	}
	ch := make(chan struct{})
	close(*sig.current.Swap(&ch))
}
