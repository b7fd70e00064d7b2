package bwlauncher

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// SignalHandler cancels a context at the first signal and ends the program at the second.
type SignalHandler struct {
	// Incoming delivers the signals.
	Incoming <-chan os.Signal
	// Exit ends the program immediately.
	Exit func(code int)
	// Cancel cancels the context of the program's work.
	Cancel context.CancelFunc
}

// forcedExitCode is the exit code after a second signal: the shell's convention for
// a program ended by SIGINT.
const forcedExitCode = 128 + int(syscall.SIGINT)

// WithSignals returns a context that the first SIGINT or SIGTERM cancels; a second
// signal ends the program immediately with exit code 130.
func WithSignals(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	incoming := make(chan os.Signal, 2)
	signal.Notify(incoming, os.Interrupt, syscall.SIGTERM)
	hnd := &SignalHandler{Incoming: incoming, Exit: os.Exit, Cancel: cancel}
	hnd.Start()
	return ctx, cancel
}

// Start handles signals in a new goroutine.
func (hnd *SignalHandler) Start() { go hnd.run() }

func (hnd *SignalHandler) run() {
	<-hnd.Incoming
	hnd.Cancel()
	<-hnd.Incoming
	hnd.Exit(forcedExitCode)
}
