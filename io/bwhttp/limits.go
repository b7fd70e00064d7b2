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

	"bilberrywick/io/bwlisten"
)

// Limits configures the sizes, counts and timeouts that a server enforces, so that
// slow or malformed requests don't block other callers.
type Limits struct {
	// HeaderBytes limits the size of a request's header; 0 means 32 KiB.
	HeaderBytes int
	// BodyBytes limits the size of a request's body; 0 means 4 MiB.
	BodyBytes int64
	// BodyMemoryBytes limits the total size of the bodies of all requests in progress;
	// 0 means 256 MiB.
	BodyMemoryBytes int64
	// Streams limits the number of requests in progress; 0 means 4096.
	Streams int
	// Connections limits the number of open connections; further connections are
	// closed at once. 0 means 8192.
	Connections int
	// HeaderTimeout limits the time to read a request's header; 0 means 5 s.
	HeaderTimeout time.Duration
	// BodyTimeout limits the time to read a request's body; 0 means 30 s.
	BodyTimeout time.Duration
	// IdleTimeout closes connections without a request for this time; 0 means 2 min.
	IdleTimeout time.Duration
	// WriteTimeout limits each write of a response, so that a caller that doesn't read
	// can't block it; 0 means 10 s.
	WriteTimeout time.Duration
}

func (lim *Limits) setDefaults() {
	setDefault(&lim.HeaderBytes, 32<<10)
	setDefault(&lim.BodyBytes, 4<<20)
	setDefault(&lim.BodyMemoryBytes, 256<<20)
	setDefault(&lim.Streams, 4096)
	setDefault(&lim.Connections, 8192)
	setDefault(&lim.HeaderTimeout, 5*time.Second)
	setDefault(&lim.BodyTimeout, 30*time.Second)
	setDefault(&lim.IdleTimeout, 2*time.Minute)
	setDefault(&lim.WriteTimeout, 10*time.Second)
}

func setDefault[T comparable](val *T, def T) {
	var zero T
	if *val == zero {
		*val = def
	}
}

// ErrTooManyStreams is returned for a request above Limits.Streams. The request
// was not run.
var ErrTooManyStreams = errors.New("too many requests in progress")

// ErrBodyMemory is returned for a request whose body would exceed
// Limits.BodyMemoryBytes. The request was not run.
var ErrBodyMemory = errors.New("the requests in progress take too much memory")

// limitedHandler reads each body into memory within its limits, limits the number
// of requests in progress, and sets a deadline for each write.
//
// http.Server's ReadTimeout and WriteTimeout are not used: both count from the
// start of the request and would end a generation that streams for minutes.
type limitedHandler struct {
	next   http.Handler
	limits Limits
	// slots holds one element for each request in progress.
	slots chan struct{}
	// bodyMemory is the total size in bytes of the bodies of the requests in progress.
	bodyMemory   atomic.Int64
	errorHandler func(http.ResponseWriter, *http.Request, error)
}

// ServeHTTP runs the next handler within the limits.
func (lh *limitedHandler) ServeHTTP(rw http.ResponseWriter, rq *http.Request) {
	ctl := http.NewResponseController(rw)
	dw := &deadlineWriter{ResponseWriter: rw, ctl: ctl, timeout: lh.limits.WriteTimeout}
	dw.extendDeadline()
	defer dw.extendDeadline()
	size, err := lh.readBody(dw, rq)
	defer lh.bodyMemory.Add(-size)
	if err != nil {
		lh.errorHandler(dw, rq, err)
		return
	}
	// The slot is acquired after the body has arrived, so that slow senders don't
	// occupy slots.
	select {
	case lh.slots <- struct{}{}:
		defer lh.releaseSlot()
	default:
		lh.errorHandler(dw, rq, &RequestError{Status: http.StatusServiceUnavailable, Err: ErrTooManyStreams})
		return
	}
	lh.next.ServeHTTP(dw, rq)
}

func (lh *limitedHandler) releaseSlot() { <-lh.slots }

// readBody reads the request's body into memory and replaces it by the copy. It
// returns the number of bytes added to bodyMemory, even with an error.
func (lh *limitedHandler) readBody(dw *deadlineWriter, rq *http.Request) (int64, error) {
	if rq.Body == nil || rq.Body == http.NoBody {
		return 0, nil
	}
	if rq.ContentLength > lh.limits.BodyBytes {
		return 0, bodyError(&http.MaxBytesError{Limit: lh.limits.BodyBytes})
	}
	if err := dw.ctl.SetReadDeadline(time.Now().Add(lh.limits.BodyTimeout)); err != nil {
		return 0, fmt.Errorf("set read deadline: %w", err)
	}
	bwlisten.BeginBody(rq.Context())
	defer bwlisten.EndBody(rq.Context())
	br := &bodyReader{src: http.MaxBytesReader(dw, rq.Body, lh.limits.BodyBytes), handler: lh}
	body, err := io.ReadAll(br)
	if err != nil {
		return br.size, bodyError(err)
	}
	rq.Body = io.NopCloser(bytes.NewReader(body))
	if err := dw.ctl.SetReadDeadline(time.Time{}); err != nil {
		return br.size, fmt.Errorf("clear read deadline: %w", err)
	}
	return br.size, nil
}

// bodyReader adds the bytes that it reads to the handler's bodyMemory. It doesn't
// reserve the declared Content-Length, so that a slow sender occupies little memory.
type bodyReader struct {
	src     io.Reader
	handler *limitedHandler
	size    int64
}

// Read reads from the source. It returns a *RequestError when bodyMemory exceeds
// its limit.
func (br *bodyReader) Read(buf []byte) (int, error) {
	size, err := br.src.Read(buf)
	br.size += int64(size)
	if br.handler.bodyMemory.Add(int64(size)) > br.handler.limits.BodyMemoryBytes {
		return size, &RequestError{Status: http.StatusServiceUnavailable, Err: ErrBodyMemory}
	}
	return size, err
}

func bodyError(err error) error {
	var reqErr *RequestError
	if errors.As(err, &reqErr) {
		return err
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return &RequestError{
			Status: http.StatusRequestEntityTooLarge,
			Err:    fmt.Errorf("the body has more than %d bytes", tooLarge.Limit),
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

// deadlineWriter sets a new write deadline before each write.
type deadlineWriter struct {
	http.ResponseWriter
	ctl     *http.ResponseController
	timeout time.Duration
}

// Write writes a part of the response within the write timeout.
func (dw *deadlineWriter) Write(data []byte) (int, error) {
	dw.extendDeadline()
	return dw.ResponseWriter.Write(data)
}

// WriteHeader sends the status. It extends the deadline first, since the deadline
// of an earlier request on the connection may have passed.
func (dw *deadlineWriter) WriteHeader(status int) {
	dw.extendDeadline()
	dw.ResponseWriter.WriteHeader(status)
}

// Unwrap returns the wrapped writer, as http.ResponseController requires.
func (dw *deadlineWriter) Unwrap() http.ResponseWriter { return dw.ResponseWriter }

func (dw *deadlineWriter) extendDeadline() {
	// Only a test's recorder doesn't support deadlines, and it never blocks.
	_ = dw.ctl.SetWriteDeadline(time.Now().Add(dw.timeout))
}
