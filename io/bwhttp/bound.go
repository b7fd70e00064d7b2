package bwhttp

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"sync/atomic"
	"time"
)

// Limits keep slow or malformed callers from holding up others.
type Limits struct {
	// HeaderBytes bounds a request's head; 0 means 32 KiB.
	HeaderBytes int
	// BodyBytes bounds a request's body; 0 means 4 MiB.
	BodyBytes int64
	// BodyMemoryBytes bounds the bodies of all requests in progress; 0 means 256 MiB.
	BodyMemoryBytes int64
	// Streams bounds the requests in progress; 0 means 4096.
	Streams int
	// Connections bounds the open connections; one more is closed at once. 0 means 8192.
	Connections int
	// HeaderTimeout bounds the reading of a request's head; 0 means 5 s.
	HeaderTimeout time.Duration
	// BodyTimeout bounds the reading of a request's body; 0 means 30 s.
	BodyTimeout time.Duration
	// IdleTimeout closes a connection that carries no request; 0 means 2 min.
	IdleTimeout time.Duration
	// WriteTimeout bounds each write to a caller that does not read; 0 means 10 s.
	WriteTimeout time.Duration
}

func (bd *Limits) setDefaults() {
	setDefault(&bd.HeaderBytes, 32<<10)
	setDefault(&bd.BodyBytes, 4<<20)
	setDefault(&bd.BodyMemoryBytes, 256<<20)
	setDefault(&bd.Streams, 4096)
	setDefault(&bd.Connections, 8192)
	setDefault(&bd.HeaderTimeout, 5*time.Second)
	setDefault(&bd.BodyTimeout, 30*time.Second)
	setDefault(&bd.IdleTimeout, 2*time.Minute)
	setDefault(&bd.WriteTimeout, 10*time.Second)
}

func setDefault[T comparable](val *T, def T) {
	var zero T
	if *val == zero {
		*val = def
	}
}

// ErrTooManyStreams says that the listener serves as many requests as it may;
// the request was not run.
var ErrTooManyStreams = errors.New("too many requests in progress")

// ErrBodyMemory says that the bodies of the requests in progress take as much
// memory as they may; the request was not run.
var ErrBodyMemory = errors.New("the requests in progress take too much memory")

// boundedHandler reads whole bodies within their bounds, limits the requests
// in progress, and bounds each write.
//
// http.Server's ReadTimeout and WriteTimeout are not used: both count from the
// request's start, and would end a generation that streams for minutes.
type boundedHandler struct {
	next   http.Handler
	bounds Limits
	// slots holds one element for each request in progress.
	slots chan struct{}
	// held is the memory of the bodies of the requests in progress.
	held atomic.Int64
	fail func(http.ResponseWriter, *http.Request, error)
}

// ServeHTTP runs the next handler within the bounds.
func (bh *boundedHandler) ServeHTTP(rw http.ResponseWriter, rq *http.Request) {
	ctl := http.NewResponseController(rw)
	bw := &boundedWriter{ResponseWriter: rw, ctl: ctl, timeout: bh.bounds.WriteTimeout}
	bw.extend()
	defer bw.extend()
	size, err := bh.readBody(bw, rq)
	defer bh.held.Add(-size)
	if err != nil {
		bh.fail(bw, rq, err)
		return
	}
	// A slot is taken after the body has arrived, so that slow senders hold none.
	select {
	case bh.slots <- struct{}{}:
		defer bh.release()
	default:
		bh.fail(bw, rq, &RequestError{Status: http.StatusServiceUnavailable, Err: ErrTooManyStreams})
		return
	}
	bh.next.ServeHTTP(bw, rq)
}

func (bh *boundedHandler) release() { <-bh.slots }

// readBody replaces the request's body by one in memory, and returns the memory
// that it holds, also with an error.
func (bh *boundedHandler) readBody(bw *boundedWriter, rq *http.Request) (int64, error) {
	if rq.Body == nil || rq.Body == http.NoBody {
		return 0, nil
	}
	if rq.ContentLength > bh.bounds.BodyBytes {
		return 0, bodyError(&http.MaxBytesError{Limit: bh.bounds.BodyBytes})
	}
	if err := bw.ctl.SetReadDeadline(time.Now().Add(bh.bounds.BodyTimeout)); err != nil {
		return 0, fmt.Errorf("set read deadline: %w", err)
	}
	hdr := &holdingReader{src: http.MaxBytesReader(bw, rq.Body, bh.bounds.BodyBytes), bh: bh}
	body, err := io.ReadAll(hdr)
	if err != nil {
		return hdr.held, bodyError(err)
	}
	rq.Body = io.NopCloser(bytes.NewReader(body))
	if err := bw.ctl.SetReadDeadline(time.Time{}); err != nil {
		return hdr.held, fmt.Errorf("clear read deadline: %w", err)
	}
	return hdr.held, nil
}

// holdingReader counts what it reads as held memory. It counts what has arrived
// and not what was announced, so that a slow sender holds little.
type holdingReader struct {
	src  io.Reader
	bh   *boundedHandler
	held int64
}

// Read reads a part, or returns a *RequestError when there is no room for it.
func (hdr *holdingReader) Read(buf []byte) (int, error) {
	size, err := hdr.src.Read(buf)
	hdr.held += int64(size)
	if hdr.bh.held.Add(int64(size)) > hdr.bh.bounds.BodyMemoryBytes {
		return size, &RequestError{Status: http.StatusServiceUnavailable, Err: ErrBodyMemory}
	}
	return size, err
}

func bodyError(err error) error {
	var req *RequestError
	if errors.As(err, &req) {
		return err
	}
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return &RequestError{
			Status: http.StatusRequestEntityTooLarge,
			Err:    fmt.Errorf("the body has more than %d bytes", large.Limit),
		}
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return &RequestError{
			Status: http.StatusRequestTimeout,
			Err:    errors.New("the body did not arrive in time"),
		}
	}
	return &RequestError{Status: http.StatusBadRequest, Err: fmt.Errorf("read body: %w", err)}
}

// boundedWriter sets a new deadline before each write.
type boundedWriter struct {
	http.ResponseWriter
	ctl     *http.ResponseController
	timeout time.Duration
}

// Write writes a part of the response within the write timeout.
func (bw *boundedWriter) Write(data []byte) (int, error) {
	bw.extend()
	return bw.ResponseWriter.Write(data)
}

// WriteHeader sends the status; a deadline left by an earlier request on the
// connection may have passed.
func (bw *boundedWriter) WriteHeader(status int) {
	bw.extend()
	bw.ResponseWriter.WriteHeader(status)
}

// Unwrap lets http.ResponseController reach the connection.
func (bw *boundedWriter) Unwrap() http.ResponseWriter { return bw.ResponseWriter }

func (bw *boundedWriter) extend() {
	// A writer without deadlines is a test's recorder, which can't block.
	_ = bw.ctl.SetWriteDeadline(time.Now().Add(bw.timeout))
}
