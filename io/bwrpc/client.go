package bwrpc

import (
	"context"
	"crypto/tls"
	"net"
	"net/netip"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcpool"
	"storj.io/drpc/drpcwire"
)

// Client calls methods of other processes. It pools connections, since drpc runs
// one call at a time on each connection.
type Client struct {
	codec *Codec
	cfg   ClientConfig
	pool  *drpcpool.Pool[netip.AddrPort, drpcpool.Conn]
}

// ClientConfig configures a Client.
type ClientConfig struct {
	// TLS secures connections when set.
	TLS *tls.Config
	// DialTimeout limits the time to connect, including the TLS handshake; 0 means 1 s.
	DialTimeout time.Duration
	// IdleTimeout closes connections without a call for this time; 0 means 1 min.
	IdleTimeout time.Duration
	// Dial opens connections; nil means TCP. Tests replace it to inject connection failures.
	Dial func(ctx context.Context, addr netip.AddrPort) (net.Conn, error)
	// Observe is called after each unary call and each failed opening of a stream;
	// it may be nil.
	Observe func(method string, took time.Duration, err error)
	// OnSend is called with the size in bytes of each message sent; it may be nil.
	OnSend func(method string, size int)
}

const (
	defaultDialTimeout = time.Second
	defaultIdleTimeout = time.Minute
	// maxIdleConns limits the idle connections to one address; a router at peak has
	// about 300 calls in progress to all addresses together.
	maxIdleConns = 64
	// maxMessageBytes limits one message; the largest ones are complete states and
	// generation records.
	maxMessageBytes = 16 << 20
)

// NewClient returns a client without opening connections, or an error from NewCodec.
func NewClient(cfg ClientConfig) (*Client, error) {
	cod, err := NewCodec()
	if err != nil {
		return nil, err
	}
	if cfg.DialTimeout == 0 {
		cfg.DialTimeout = defaultDialTimeout
	}
	if cfg.IdleTimeout == 0 {
		cfg.IdleTimeout = defaultIdleTimeout
	}
	if cfg.Dial == nil {
		cfg.Dial = dialTCP
	}
	opts := drpcpool.Options{Expiration: cfg.IdleTimeout, KeyCapacity: maxIdleConns}
	cl := &Client{
		codec: cod,
		cfg:   cfg,
		pool:  drpcpool.New[netip.AddrPort, drpcpool.Conn](opts),
	}
	return cl, nil
}

// Close closes the idle connections.
func (cl *Client) Close() error { return cl.pool.Close() }

// Call sends a request to addr and returns its response, or an *Error.
func Call[Req, Rsp any](ctx context.Context, cl *Client, addr netip.AddrPort, method string, req *Req) (*Rsp, error) {
	rsp := new(Rsp)
	conn := cl.pool.Get(ctx, addr, cl.dial)
	start := time.Now()
	err := conn.Invoke(ctx, method, cl.encoding(method), req, rsp)
	cl.observe(method, time.Since(start), err)
	if err != nil {
		return nil, newError(method, err)
	}
	return rsp, nil
}

// OpenStream starts a streaming call that sends Out and receives In messages, or
// returns an *Error. The stream ends when the context is done.
func OpenStream[In, Out any](ctx context.Context, cl *Client, addr netip.AddrPort, method string) (*Stream[In, Out], error) {
	conn := cl.pool.Get(ctx, addr, cl.dial)
	start, enc := time.Now(), cl.encoding(method)
	stm, err := conn.NewStream(ctx, method, enc)
	if err != nil {
		cl.observe(method, time.Since(start), err)
		return nil, newError(method, err)
	}
	return &Stream[In, Out]{stm: stm, enc: enc, method: method}, nil
}

func (cl *Client) encoding(method string) drpc.Encoding {
	return metered(cl.codec, method, cl.cfg.OnSend)
}

func (cl *Client) observe(method string, took time.Duration, err error) {
	if cl.cfg.Observe != nil {
		cl.cfg.Observe(method, took, err)
	}
}

func (cl *Client) dial(ctx context.Context, addr netip.AddrPort) (drpcpool.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, cl.cfg.DialTimeout)
	defer cancel()
	conn, err := cl.cfg.Dial(ctx, addr)
	if err != nil {
		return nil, Errorf(Unreachable, "dial %v: %w", addr, err)
	}
	if cl.cfg.TLS != nil {
		sec := tls.Client(conn, cl.cfg.TLS)
		if err := sec.HandshakeContext(ctx); err != nil {
			_ = conn.Close()
			return nil, Errorf(Unreachable, "TLS handshake with %v: %w", addr, err)
		}
		conn = sec
	}
	return drpcconn.NewWithOptions(conn, drpcconn.Options{Manager: managerOptions()}), nil
}

func dialTCP(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	var dlr net.Dialer
	return dlr.DialContext(ctx, "tcp", addr.String())
}

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{
		Reader:     drpcwire.ReaderOptions{MaximumBufferSize: maxMessageBytes},
		SoftCancel: true,
	}
}

// Stream is one end of a streaming call.
type Stream[In, Out any] struct {
	stm    drpc.Stream
	enc    drpc.Encoding
	method string
}

// Send sends a message, or returns an *Error.
func (sm *Stream[In, Out]) Send(msg *Out) error {
	return newError(sm.method, sm.stm.MsgSend(msg, sm.enc))
}

// Recv returns the next message. When the other side has closed its sending
// direction, it returns an *Error that wraps io.EOF.
func (sm *Stream[In, Out]) Recv() (*In, error) {
	msg := new(In)
	if err := sm.stm.MsgRecv(msg, sm.enc); err != nil {
		return nil, newError(sm.method, err)
	}
	return msg, nil
}

// CloseSend closes the sending direction, or returns an *Error.
func (sm *Stream[In, Out]) CloseSend() error { return newError(sm.method, sm.stm.CloseSend()) }

// Close closes both directions of the stream, or returns an *Error.
func (sm *Stream[In, Out]) Close() error { return newError(sm.method, sm.stm.Close()) }

// Context returns the stream's context, which is done when the stream ends.
func (sm *Stream[In, Out]) Context() context.Context { return sm.stm.Context() }
