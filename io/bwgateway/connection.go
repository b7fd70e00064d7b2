package bwgateway

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"time"

	"bilberrywick/io/bwtransport"
)

// Errors of an exchange with an upstream.
var (
	// ErrNotSent means that no connection was established, so the request did not
	// run.
	ErrNotSent = errors.New("request was not sent")
	// ErrIncompleteResponse means that the upstream may have run the request, but
	// did not return a complete and successful response.
	ErrIncompleteResponse = errors.New("no usable response from upstream")
	// ErrUnverifiedResponse means that nothing shows that the response is the
	// upstream's to the request, which may have run.
	ErrUnverifiedResponse = errors.New("response is not known to be the upstream's")
)

const (
	// dialTimeout bounds the time to connect. A round trip takes a few milliseconds,
	// and a lost SYN is retransmitted only after a second.
	dialTimeout = 250 * time.Millisecond
	// readBufferSize holds about ten events.
	readBufferSize = 2048
)

// exchange is one request and its response on a connection of its own. A reused
// connection could deliver a late response to an earlier request, and may have
// been dropped without notice.
type exchange struct {
	conn net.Conn
	rdr  *bufio.Reader
	rsp  *http.Response
	// deadline bounds each read. onIdle may be nil; otherwise it is called in each
	// idleCheckInterval, and its error ends the read. Bytes alone don't prevent that
	// call: an upstream may send some now and then and make no progress.
	deadline time.Time
	onIdle   func() error
	// lastCheck is when onIdle was last called.
	lastCheck time.Time
	head      responseHead
	sender    *sender
	// unregisterAbort removes the call of abort that runs when the context ends.
	unregisterAbort func() bool
}

// outgoingRequest is a caller's request in the form that is sent to an upstream.
type outgoingRequest struct {
	method string
	// target is the unmodified request target of the caller: path and query.
	target string
	host   string
	header http.Header
	body   []byte
}

// openExchange connects and starts to send a request. Its error is ErrNotSent.
// When the context ends the connection is closed, so that the upstream stops
// working on the request.
func openExchange(ctx context.Context, dial DialFunc, addr netip.AddrPort, out *outgoingRequest, heads *bodyMemory) (*exchange, error) {
	dctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := dial(dctx, addr)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	exc := &exchange{conn: conn, head: responseHead{memory: heads}}
	exc.rdr = bufio.NewReaderSize(exc, readBufferSize)
	exc.unregisterAbort = context.AfterFunc(ctx, exc.abort)
	req := &http.Request{
		Method:        out.method,
		URL:           &url.URL{Scheme: "http", Host: addr.String(), Opaque: out.target},
		Host:          out.host,
		Header:        out.header,
		ContentLength: int64(len(out.body)),
	}
	if len(out.body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(out.body))
	}
	exc.sender = &sender{conn: conn, req: req, done: make(chan struct{})}
	go exc.sender.run()
	return exc, nil
}

// sender writes a request while its response is already being read: an upstream
// may respond before it has read a long body, and then stop reading.
type sender struct {
	conn net.Conn
	req  *http.Request
	// done is closed when the request has been written or writing it has failed with err.
	done chan struct{}
	err  error
}

// writeBufferSize fits a prompt of the usual size with its header.
const writeBufferSize = 16 << 10

func (snd *sender) run() {
	defer close(snd.done)
	wrt := bufio.NewWriterSize(snd.conn, writeBufferSize)
	if snd.err = snd.req.Write(wrt); snd.err == nil {
		snd.err = wrt.Flush()
	}
}

// end ends a write in progress, and returns nil if the request was written to its end.
func (snd *sender) end() error {
	if err := snd.conn.SetWriteDeadline(time.Now()); err != nil {
		return err
	}
	<-snd.done
	return snd.err
}

// DialFunc opens a connection to an upstream.
type DialFunc func(ctx context.Context, addr netip.AddrPort) (net.Conn, error)

// Read reads from the connection until the deadline or an error of onIdle.
func (exc *exchange) Read(buf []byte) (int, error) {
	if exc.head.err != nil {
		return 0, exc.head.err
	}
	for {
		now := time.Now()
		if exc.onIdle != nil && now.Sub(exc.lastCheck) >= idleCheckInterval {
			exc.lastCheck = now
			if err := exc.onIdle(); err != nil {
				return 0, err
			}
		}
		deadline := exc.deadline
		if exc.onIdle != nil {
			deadline = earliest(deadline, exc.lastCheck.Add(idleCheckInterval))
		}
		if err := exc.conn.SetReadDeadline(deadline); err != nil {
			return 0, err
		}
		size, err := exc.conn.Read(buf)
		if size > 0 || !isTimeout(err) || exc.onIdle == nil || !time.Now().Before(exc.deadline) {
			if err := exc.head.count(buf[:size]); err != nil {
				return 0, err
			}
			return size, err
		}
	}
}

// idleCheckInterval is much shorter than the gap allowed between events.
const idleCheckInterval = 50 * time.Millisecond

// readHeader reads the header of the final response before a deadline. Its errors
// are ErrIncompleteResponse.
func (exc *exchange) readHeader(deadline time.Time, method string) error {
	exc.deadline, exc.lastCheck = deadline, time.Now()
	exc.head.begin()
	defer exc.head.end()
	for {
		rsp, err := http.ReadResponse(exc.rdr, &http.Request{Method: method})
		if err != nil {
			return fmt.Errorf("%w: %w", ErrIncompleteResponse, err)
		}
		exc.rsp = rsp
		if err := bwtransport.CheckFieldNames(rsp.Header); err != nil {
			return fmt.Errorf("%w: %w", ErrIncompleteResponse, err)
		}
		if rsp.StatusCode < http.StatusContinue || rsp.StatusCode >= http.StatusOK {
			if err := bwtransport.CheckStatus(rsp.StatusCode); err != nil {
				return fmt.Errorf("%w: %w", ErrIncompleteResponse, err)
			}
			return nil
		}
		// Informational responses (1xx) precede the final one.
		exc.head.next()
	}
}

// abort closes the connection, which cancels the request at the upstream.
func (exc *exchange) abort() { _ = exc.conn.Close() }

func (exc *exchange) close() {
	exc.unregisterAbort()
	_ = exc.conn.Close()
	exc.head.release()
}

// isTimeout reports whether a read timed out, as opposed to a closed connection.
func isTimeout(err error) bool {
	nerr, ok := errors.AsType[net.Error](err)
	return ok && nerr.Timeout()
}
