package bwobserve_test

import (
	"bytes"
	"context"
	"log/slog"
	"strings"
	"testing"
	"time"

	"bilberrywick/io/bwobserve"
)

// blockedWriter blocks all writes until open is closed.
type blockedWriter struct {
	open chan struct{}
	bytes.Buffer
}

func (bwr *blockedWriter) Write(buf []byte) (int, error) {
	<-bwr.open
	return bwr.Buffer.Write(buf)
}

// Guards against a log that blocks requests while its output is blocked, that
// drops warnings rather than routine lines, or that does not report dropped lines.
func TestNonBlockingLogNeverWaits(t *testing.T) {
	out := &blockedWriter{open: make(chan struct{})}
	nbw := bwobserve.NewNonBlockingWriter(out)
	ctx, cancel := context.WithCancel(t.Context())
	nbw.Start(ctx)
	log := slog.New(nbw.Handler(slog.NewJSONHandler(nbw, nil)))
	written := make(chan struct{})
	lnw := &lineWriter{log: log, written: written}
	go lnw.run()
	select {
	case <-written:
	case <-time.After(10 * time.Second):
		t.Fatal("logging blocks while the output is blocked")
	}
	log.Warn("failure")
	if nbw.Dropped() == 0 {
		t.Error("no line was dropped although the output is blocked")
	}
	close(out.open)
	cancel()
	<-nbw.Done()
	for _, want := range []string{"failure", "log lines left out"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("the log does not contain %q", want)
		}
	}
}

// lineWriter logs more routine lines than the buffer can contain.
type lineWriter struct {
	log     *slog.Logger
	written chan struct{}
}

func (lnw *lineWriter) run() {
	for range 5000 {
		lnw.log.Info("routine")
	}
	close(lnw.written)
}
