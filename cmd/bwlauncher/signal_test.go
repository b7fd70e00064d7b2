package bwlauncher_test

import (
	"context"
	"os"
	"syscall"
	"testing"

	"bilberrywick/cmd/bwlauncher"
)

// Guards against a process that a second signal doesn't end while it drains, and
// against one that exits at the first signal.
func TestSecondSignalExits(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	incoming, exits := make(chan os.Signal), make(chan int, 1)
	handler := &bwlauncher.SignalHandler{Incoming: incoming, Exit: func(code int) { exits <- code }, Cancel: cancel}
	handler.Start()
	incoming <- syscall.SIGTERM
	<-ctx.Done()
	select {
	case code := <-exits:
		t.Errorf("the first signal exits with code %d", code)
	default:
	}
	incoming <- syscall.SIGTERM
	if code := <-exits; code != 130 {
		t.Errorf("exit code %d, want 130", code)
	}
}
