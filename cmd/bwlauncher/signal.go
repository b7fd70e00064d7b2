package bwlauncher

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// Signals ends a context at the first signal and the program at the second.
type Signals struct {
	// Incoming receives the signals.
	Incoming <-chan os.Signal
	// Exit ends the program at once.
	Exit func(code int)
	// End ends the context of the program's work.
	End context.CancelFunc
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
	sgs := &Signals{Incoming: incoming, Exit: os.Exit, End: end}
	sgs.Start()
	return ctx, end
}

// Start waits for both signals without blocking.
func (sgs *Signals) Start() { go sgs.run() }

func (sgs *Signals) run() {
	<-sgs.Incoming
	sgs.End()
	<-sgs.Incoming
	sgs.Exit(forcedExit)
}
