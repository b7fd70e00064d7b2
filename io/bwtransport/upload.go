package bwtransport

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"
)

// upload follows the writing of one request. net/http may write it more than once.
type upload struct {
	mu  sync.Mutex
	cur *uploadAttempt
}

// uploadAttempt is the writing of a request on one connection.
type uploadAttempt struct {
	// conn is nil if the connection is secured: TLS tells a connection that broke off from
	// one that was closed.
	conn *conn
	// begun is the number of bytes that the connection had written before.
	begun int64
	// done is closed when the request has been written or writing it has failed with err.
	done    chan struct{}
	endOnce sync.Once
	err     error
}

// uploadEndTimeout bounds the wait for the goroutine that has written a request, which
// only needs to be scheduled.
const uploadEndTimeout = 5 * time.Second

var (
	errNotWritten   = errors.New("request was not written")
	errStillWriting = errors.New("request is still being written")
)

func newUpload() *upload { return &upload{cur: &uploadAttempt{done: make(chan struct{})}} }

// begin implements httptrace.ClientTrace.GotConn.
func (upl *upload) begin(info httptrace.GotConnInfo) {
	upl.mu.Lock()
	defer upl.mu.Unlock()
	upl.cur = &uploadAttempt{done: make(chan struct{})}
	if cn, ok := info.Conn.(*conn); ok {
		upl.cur.conn = cn
		upl.cur.begun, _ = cn.written()
	}
}

// end implements httptrace.ClientTrace.WroteRequest. The last bytes may still be in a
// buffer.
func (upl *upload) end(info httptrace.WroteRequestInfo) {
	upl.mu.Lock()
	defer upl.mu.Unlock()
	upl.cur.endOnce.Do(func() {
		upl.cur.err = info.Err
		close(upl.cur.done)
	})
}

func (upl *upload) current() *uploadAttempt {
	upl.mu.Lock()
	defer upl.mu.Unlock()
	return upl.cur
}

// wait returns nil if the request was written to its end, and ErrIncomplete otherwise.
// http.Transport closes the connection at the end of a body without framing, so that a
// write in progress fails.
func (upl *upload) wait(ctx context.Context) error {
	att := upl.current()
	timer := time.NewTimer(uploadEndTimeout)
	defer timer.Stop()
	select {
	case <-att.done:
	case <-ctx.Done():
		return fmt.Errorf("%w: %w", ErrIncomplete, ctx.Err())
	case <-timer.C:
		return fmt.Errorf("%w: %w", ErrIncomplete, errStillWriting)
	}
	if err := att.writeError(); err != nil {
		return fmt.Errorf("%w: %w", ErrIncomplete, err)
	}
	return nil
}

func (att *uploadAttempt) writeError() error {
	if att.err != nil || att.conn == nil {
		return att.err
	}
	written, err := att.conn.written()
	if err != nil {
		return err
	}
	if written == att.begun {
		return errNotWritten
	}
	return nil
}

// plainBody is the body of a request without methods but Read and Close. net/http looks for
// more of a body when it has written all of it. An io.WriterTo that was closed by then, such
// as the AWS SDK's, returns io.EOF for it, which looks like a failed write.
type plainBody struct{ io.ReadCloser }

// withPlainBody replaces the body of a request, and of those that repeat it, by a
// plainBody.
func withPlainBody(req *http.Request) *http.Request {
	if req.Body == nil || req.Body == http.NoBody {
		return req
	}
	req.Body = plainBody{req.Body}
	if getBody := req.GetBody; getBody != nil {
		req.GetBody = func() (io.ReadCloser, error) {
			copied, err := getBody()
			if err != nil {
				return nil, err
			}
			return plainBody{copied}, nil
		}
	}
	return req
}

// conn is a connection that records how much was written to it, and the error of a failed
// write.
type conn struct {
	net.Conn
	// mu is held during a write.
	mu       sync.Mutex
	count    int64
	writeErr error
}

// Write writes to the connection.
func (cn *conn) Write(buf []byte) (int, error) {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	size, err := cn.Conn.Write(buf)
	cn.count += int64(size)
	if err != nil {
		cn.writeErr = err
	}
	return size, err
}

// written returns the number of bytes written, and the error of a write. It waits for a
// write in progress.
func (cn *conn) written() (int64, error) {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	return cn.count, cn.writeErr
}

// newDial returns a function that opens connections as a transport does, and records
// what is written to them.
func newDial(base *http.Transport) func(context.Context, string, string) (net.Conn, error) {
	dial := base.DialContext
	if dial == nil {
		dial = new(net.Dialer).DialContext
		// http.Transport turns HTTP/2 off if it has a dial function.
		base.ForceAttemptHTTP2 = base.ForceAttemptHTTP2 || base.TLSClientConfig == nil
	}
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		nc, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: nc}, nil
	}
}
