package bwobserve

import (
	"context"
	"io"
	"log/slog"
	"sync/atomic"
)

// NonBlockingWriter is a log output that never blocks. It buffers lines and
// writes them to the output in its own goroutine. When the buffer fills up, it
// drops lines below warning level first, and later logs the number of dropped
// lines.
type NonBlockingWriter struct {
	out        io.Writer
	lines      chan []byte
	unreported *atomic.Int64
	dropped    *atomic.Int64
	done       chan struct{}
}

// maxBufferedLines limits the buffered lines; at about 300 bytes each, they use
// 300 KB.
const maxBufferedLines = 1024

// NewNonBlockingWriter returns a writer to out; Start must be called to write the
// buffered lines.
func NewNonBlockingWriter(out io.Writer) *NonBlockingWriter {
	return &NonBlockingWriter{
		out:        out,
		lines:      make(chan []byte, maxBufferedLines),
		unreported: new(atomic.Int64),
		dropped:    new(atomic.Int64),
		done:       make(chan struct{}),
	}
}

// Start writes buffered lines until the context ends, and then writes the remaining ones.
func (nbw *NonBlockingWriter) Start(ctx context.Context) { go nbw.loop(ctx) }

// Done returns a channel that is closed after the last line is written.
func (nbw *NonBlockingWriter) Done() <-chan struct{} { return nbw.done }

// Dropped returns the number of lines dropped since the start.
func (nbw *NonBlockingWriter) Dropped() int64 { return nbw.dropped.Load() }

// Write buffers one line, or drops it when the buffer is full; it never fails.
func (nbw *NonBlockingWriter) Write(line []byte) (int, error) {
	select {
	case nbw.lines <- append([]byte(nil), line...):
	default:
		nbw.countDropped()
	}
	return len(line), nil
}

func (nbw *NonBlockingWriter) countDropped() {
	nbw.unreported.Add(1)
	nbw.dropped.Add(1)
}

func (nbw *NonBlockingWriter) loop(ctx context.Context) {
	defer close(nbw.done)
	for {
		select {
		case line := <-nbw.lines:
			nbw.write(line)
		case <-ctx.Done():
			nbw.flush()
			return
		}
	}
}

func (nbw *NonBlockingWriter) flush() {
	for {
		select {
		case line := <-nbw.lines:
			nbw.write(line)
		default:
			return
		}
	}
}

// write writes a line and, after dropped lines, their number. It ignores errors,
// since there is no other log to report them to.
func (nbw *NonBlockingWriter) write(line []byte) {
	_, _ = nbw.out.Write(line)
	if count := nbw.unreported.Swap(0); count > 0 {
		log := slog.New(slog.NewJSONHandler(nbw.out, &slog.HandlerOptions{ReplaceAttr: formatAttr}))
		log.Warn("log lines left out", "Count", count, "Total", nbw.dropped.Load())
	}
}

// Handler returns a handler that passes records to next, but drops records below
// warning level while more than half of the buffer is in use.
func (nbw *NonBlockingWriter) Handler(next slog.Handler) slog.Handler {
	return &nonBlockingHandler{Handler: next, writer: nbw}
}

type nonBlockingHandler struct {
	slog.Handler
	writer *NonBlockingWriter
}

// Handle passes on a record, or drops it when it is below warning level and more
// than half of the buffer is in use.
func (nbh *nonBlockingHandler) Handle(ctx context.Context, rec slog.Record) error {
	if rec.Level < slog.LevelWarn && len(nbh.writer.lines) > maxBufferedLines/2 {
		nbh.writer.countDropped()
		return nil
	}
	return nbh.Handler.Handle(ctx, rec)
}

// WithAttrs returns a handler that adds the attributes to each record.
func (nbh *nonBlockingHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &nonBlockingHandler{Handler: nbh.Handler.WithAttrs(attrs), writer: nbh.writer}
}

// WithGroup returns a handler that puts later attributes into a group.
func (nbh *nonBlockingHandler) WithGroup(name string) slog.Handler {
	return &nonBlockingHandler{Handler: nbh.Handler.WithGroup(name), writer: nbh.writer}
}
