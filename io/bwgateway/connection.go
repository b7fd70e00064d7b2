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
)

// Errors of an exchange with an upstream.
var (
	// ErrNotSent says that no connection could be made, so nothing has run.
	ErrNotSent = errors.New("request was not sent")
	// ErrIncompleteResponse says that the upstream may have run the request and did not
	// answer it whole.
	ErrIncompleteResponse = errors.New("upstream did not answer")
	// ErrMismatchedResponse says that the bytes received belong to no request of this connection.
	ErrMismatchedResponse = errors.New("upstream answered another request")
)

const (
	// dialTime bounds a new connection; a round trip takes a few milliseconds,
	// and a lost opening packet is repeated only after a second.
	dialTime = 250 * time.Millisecond
	// readBuffer holds about ten events.
	readBuffer = 2048
)

// exchange is one request on a connection of its own. A kept connection could
// carry a late answer to an earlier request, and may be dropped in silence.
type exchange struct {
	conn net.Conn
	rdr  *bufio.Reader
	rsp  *http.Response
	// by bounds each read; check, which may be nil, is asked in each pause of
	// checkStep whether to go on waiting.
	by    time.Time
	check func() error
	// unwatch ends the watch for a caller that leaves.
	unwatch func() bool
}

// outgoing is a caller's request as an upstream gets it.
type outgoing struct {
	method string
	// target is the path and query as the caller sent them.
	target string
	host   string
	header http.Header
	body   []byte
}

// open connects and begins to send a request. Its error is ErrNotSent.
// The connection closes with the context, so that the upstream stops its work.
func open(ctx context.Context, dial DialFunc, addr netip.AddrPort, out *outgoing) (*exchange, error) {
	dctx, cancel := context.WithTimeout(ctx, dialTime)
	defer cancel()
	conn, err := dial(dctx, addr)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	exc := &exchange{conn: conn}
	exc.rdr = bufio.NewReaderSize(exc, readBuffer)
	exc.unwatch = context.AfterFunc(ctx, exc.abort)
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
	snd := &sender{conn: conn, req: req}
	go snd.run()
	return exc, nil
}

// sender writes a request while its response is read already: an upstream may
// answer before it has read a long body, and reads no more of it then. The
// connection is used for nothing else, so its loss shows in the response.
type sender struct {
	conn net.Conn
	req  *http.Request
}

// writeBuffer holds a prompt of today's size with its head.
const writeBuffer = 16 << 10

func (snd *sender) run() {
	wrt := bufio.NewWriterSize(snd.conn, writeBuffer)
	if err := snd.req.Write(wrt); err != nil {
		// The response fails too, and says so.
		return
	}
	_ = wrt.Flush()
}

// DialFunc opens a connection to an upstream.
type DialFunc func(ctx context.Context, addr netip.AddrPort) (net.Conn, error)

// Read waits for bytes of the upstream as long as the check and the deadline allow.
func (exc *exchange) Read(buf []byte) (int, error) {
	for {
		now := time.Now()
		by := exc.by
		if exc.check != nil {
			by = earliest(by, now.Add(checkStep))
		}
		if err := exc.conn.SetReadDeadline(by); err != nil {
			return 0, err
		}
		size, err := exc.conn.Read(buf)
		if size > 0 || !isTimeout(err) || exc.check == nil || !time.Now().Before(exc.by) {
			return size, err
		}
		if err := exc.check(); err != nil {
			return 0, err
		}
	}
}

// checkStep is short against the pauses that streams are allowed.
const checkStep = 50 * time.Millisecond

// head reads the head of the final response by a time.
func (exc *exchange) head(by time.Time, method string) error {
	exc.by = by
	for {
		rsp, err := http.ReadResponse(exc.rdr, &http.Request{Method: method})
		if err != nil {
			return fmt.Errorf("%w: %w", ErrIncompleteResponse, err)
		}
		exc.rsp = rsp
		switch code := rsp.StatusCode; {
		case code >= leastStatus && code <= mostStatus:
			return nil
		case code < http.StatusContinue || code > mostStatus:
			return fmt.Errorf("%w: status %d", ErrIncompleteResponse, code)
		}
		// A response below 200 announces the final one.
	}
}

// Statuses of final responses; others can't be passed on to a caller.
const (
	leastStatus = 200
	mostStatus  = 599
)

// abort ends the work at the upstream at once.
func (exc *exchange) abort() { _ = exc.conn.Close() }

func (exc *exchange) close() {
	exc.unwatch()
	_ = exc.conn.Close()
}

// isTimeout reports whether the upstream was silent, as opposed to gone.
func isTimeout(err error) bool {
	nerr, ok := errors.AsType[net.Error](err)
	return ok && nerr.Timeout()
}
