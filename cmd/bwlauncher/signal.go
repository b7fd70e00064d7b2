package bwlauncher

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// SignalHandler ends a context at the first signal and the program at the second.
type SignalHandler struct {
	// Incoming receives the signals.
	Incoming <-chan os.Signal
	// Exit ends the program at once.
	Exit func(code int)
	// Cancel ends the context of the program's work.
	Cancel context.CancelFunc
}

// forcedExit is the exit code after a second signal, that of a program that
// SIGINT has ended.
const forcedExit = 128 + int(syscall.SIGINT)

// WithSignals returns a context that the first SIGINT or SIGTERM ends; a second
// one ends the program at once with exit code 130.
func WithSignals(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, end := context.WithCancel(ctx)
	incoming := make(chan os.Signal, 2)
	signal.Notify(incoming, os.Interrupt, syscall.SIGTERM)
	sgs := &SignalHandler{Incoming: incoming, Exit: os.Exit, Cancel: end}
	sgs.Start()
	return ctx, end
}

// Start waits for both signals without blocking.
func (sgs *SignalHandler) Start() { go sgs.run() }

func (sgs *SignalHandler) run() {
	<-sgs.Incoming
	sgs.Cancel()
	<-sgs.Incoming
	sgs.Exit(forcedExit)
}
