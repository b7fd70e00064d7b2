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

// blockedWriter takes nothing until it is opened.
type blockedWriter struct {
	open chan struct{}
	bytes.Buffer
}

func (bwr *blockedWriter) Write(buf []byte) (int, error) {
	<-bwr.open
	return bwr.Buffer.Write(buf)
}

// Guards against a log that makes requests wait for a blocked output, that
// keeps routine lines in place of warnings, or hides that lines are missing.
func TestBoundedLogNeverWaits(t *testing.T) {
	out := &blockedWriter{open: make(chan struct{})}
	bnd := bwobserve.NewNonBlockingWriter(out)
	ctx, cancel := context.WithCancel(t.Context())
	bnd.Start(ctx)
	log := slog.New(bnd.Handler(slog.NewJSONHandler(bnd, nil)))
	written := make(chan struct{})
	flood := &flooder{log: log, written: written}
	go flood.run()
	select {
	case <-written:
	case <-time.After(10 * time.Second):
		t.Fatal("the log waits for its output")
	}
	log.Warn("failure")
	if bnd.Dropped() == 0 {
		t.Error("no line was left out although the output is blocked")
	}
	close(out.open)
	cancel()
	<-bnd.Done()
	for _, want := range []string{"failure", "log lines left out"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("%q is missing", want)
		}
	}
}

type flooder struct {
	log     *slog.Logger
	written chan struct{}
}

func (fld *flooder) run() {
	for range 5000 {
		fld.log.Info("routine")
	}
	close(fld.written)
}
