package bwobserve

import (
	"context"
	"io"
	"log/slog"
	"sync/atomic"
)

// NonBlockingWriter writes a log without making the writer of a line wait. When the
// output is slower than the lines come, routine lines are left out before
// warnings, and the next line that is written says how many.
type NonBlockingWriter struct {
	out     io.Writer
	lines   chan []byte
	left    *atomic.Int64
	dropped *atomic.Int64
	done    chan struct{}
}

// boundedLines is the number of lines that wait for a slow output; with 300
// bytes each they take 300 KB.
const boundedLines = 1024

// NewNonBlockingWriter returns a log output that Start makes ready.
func NewNonBlockingWriter(out io.Writer) *NonBlockingWriter {
	return &NonBlockingWriter{
		out:     out,
		lines:   make(chan []byte, boundedLines),
		left:    new(atomic.Int64),
		dropped: new(atomic.Int64),
		done:    make(chan struct{}),
	}
}

// Start writes lines until the context ends, and then those that wait.
func (bnd *NonBlockingWriter) Start(ctx context.Context) { go bnd.loop(ctx) }

// Done is closed when the last line is written.
func (bnd *NonBlockingWriter) Done() <-chan struct{} { return bnd.done }

// Dropped returns the number of lines left out since the start.
func (bnd *NonBlockingWriter) Dropped() int64 { return bnd.dropped.Load() }

// Write takes one line without waiting.
func (bnd *NonBlockingWriter) Write(line []byte) (int, error) {
	select {
	case bnd.lines <- append([]byte(nil), line...):
	default:
		bnd.drop()
	}
	return len(line), nil
}

func (bnd *NonBlockingWriter) drop() {
	bnd.left.Add(1)
	bnd.dropped.Add(1)
}

func (bnd *NonBlockingWriter) loop(ctx context.Context) {
	defer close(bnd.done)
	for {
		select {
		case line := <-bnd.lines:
			bnd.write(line)
		case <-ctx.Done():
			bnd.drain()
			return
		}
	}
}

func (bnd *NonBlockingWriter) drain() {
	for {
		select {
		case line := <-bnd.lines:
			bnd.write(line)
		default:
			return
		}
	}
}

// write has nowhere to report an error of the log's own output to.
func (bnd *NonBlockingWriter) write(line []byte) {
	_, _ = bnd.out.Write(line)
	if count := bnd.left.Swap(0); count > 0 {
		log := slog.New(slog.NewJSONHandler(bnd.out, &slog.HandlerOptions{ReplaceAttr: renameField}))
		log.Warn("log lines left out", "Count", count, "Total", bnd.dropped.Load())
	}
}

// Handler returns a handler that leaves out routine lines once half of the
// waiting lines' room is taken.
func (bnd *NonBlockingWriter) Handler(next slog.Handler) slog.Handler {
	return &boundedHandler{Handler: next, bnd: bnd}
}

type boundedHandler struct {
	slog.Handler
	bnd *NonBlockingWriter
}

// Handle writes a record unless it is routine and the output is slow.
func (bhd *boundedHandler) Handle(ctx context.Context, rec slog.Record) error {
	if rec.Level < slog.LevelWarn && len(bhd.bnd.lines) > boundedLines/2 {
		bhd.bnd.drop()
		return nil
	}
	return bhd.Handler.Handle(ctx, rec)
}

// WithAttrs returns a handler whose lines carry the attributes.
func (bhd *boundedHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &boundedHandler{Handler: bhd.Handler.WithAttrs(attrs), bnd: bhd.bnd}
}

// WithGroup returns a handler whose later attributes are in a group.
func (bhd *boundedHandler) WithGroup(name string) slog.Handler {
	return &boundedHandler{Handler: bhd.Handler.WithGroup(name), bnd: bhd.bnd}
}
