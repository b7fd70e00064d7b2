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

// Client calls methods of other processes over pooled connections, since drpc
// runs one call at a time on each connection.
type Client struct {
	codec *Codec
	cfg   ClientConfig
	pool  *drpcpool.Pool[netip.AddrPort, drpcpool.Conn]
}

// ClientConfig configures a Client.
type ClientConfig struct {
	// TLS secures connections when set.
	TLS *tls.Config
	// DialTimeout bounds the making of a connection; 0 means 1 s.
	DialTimeout time.Duration
	// IdleTimeout closes connections that carry no call; 0 means 1 min.
	IdleTimeout time.Duration
	// Dial replaces TCP, for tests that cut connections; nil means TCP.
	Dial func(ctx context.Context, addr netip.AddrPort) (net.Conn, error)
	// Observe is told of each unary call and of each failed opening of a stream;
	// may be nil.
	Observe func(method string, took time.Duration, err error)
	// ObserveSent is told of the size of each message that is sent; may be nil.
	ObserveSent func(method string, size int)
}

const (
	defaultDialTimeout = time.Second
	defaultIdleTimeout = time.Minute
	// maxIdleConns bounds the idle connections to one address; a router at peak
	// has about 300 calls open over all addresses.
	maxIdleConns = 64
	// maxMessageBytes bounds one message, such as a whole state or a generation record.
	maxMessageBytes = 16 << 20
)

// NewClient returns a client without connections, or an error from the codec.
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

// Call sends one request and returns its response, or an *Error.
func Call[Req, Rsp any](ctx context.Context, cl *Client, addr netip.AddrPort, method string, req *Req) (*Rsp, error) {
	rsp := new(Rsp)
	conn := cl.pool.Get(ctx, addr, cl.dial)
	began := time.Now()
	err := conn.Invoke(ctx, method, cl.metered(method), req, rsp)
	cl.observe(method, time.Since(began), err)
	if err != nil {
		return nil, wrap(method, err)
	}
	return rsp, nil
}

// OpenStream starts a streaming call that writes Out and reads In, or returns an
// *Error; the stream ends when the context does.
func OpenStream[In, Out any](ctx context.Context, cl *Client, addr netip.AddrPort, method string) (*Stream[In, Out], error) {
	conn := cl.pool.Get(ctx, addr, cl.dial)
	began, enc := time.Now(), cl.metered(method)
	stm, err := conn.NewStream(ctx, method, enc)
	if err != nil {
		cl.observe(method, time.Since(began), err)
		return nil, wrap(method, err)
	}
	return &Stream[In, Out]{stm: stm, enc: enc, method: method}, nil
}

func (cl *Client) metered(method string) drpc.Encoding {
	return meter(cl.codec, method, cl.cfg.ObserveSent)
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

// Stream is one side of a streaming call.
type Stream[In, Out any] struct {
	stm    drpc.Stream
	enc    drpc.Encoding
	method string
}

// Send writes a message, or returns an *Error.
func (sm *Stream[In, Out]) Send(msg *Out) error {
	return wrap(sm.method, sm.stm.MsgSend(msg, sm.enc))
}

// Recv reads the next message; it returns io.EOF within an *Error when the
// other side has closed its sending direction.
func (sm *Stream[In, Out]) Recv() (*In, error) {
	msg := new(In)
	if err := sm.stm.MsgRecv(msg, sm.enc); err != nil {
		return nil, wrap(sm.method, err)
	}
	return msg, nil
}

// CloseSend tells the other side that no more messages follow.
func (sm *Stream[In, Out]) CloseSend() error { return wrap(sm.method, sm.stm.CloseSend()) }

// Close ends the stream in both directions.
func (sm *Stream[In, Out]) Close() error { return wrap(sm.method, sm.stm.Close()) }

// Context ends when the stream does.
func (sm *Stream[In, Out]) Context() context.Context { return sm.stm.Context() }
