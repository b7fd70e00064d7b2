package bwrpc

import (
	"context"
	"crypto/tls"
	"fmt"
	"log/slog"
	"net"
	"sync/atomic"

	"storj.io/drpc"
	"storj.io/drpc/drpcserver"
)

// Server dispatches calls to typed handlers by method.
type Server struct {
	codec    *Codec
	tls      *tls.Config
	log      *slog.Logger
	onSend   func(method string, size int)
	handlers map[string]func(drpc.Stream) error
	// openCalls is the number of unary calls in progress.
	openCalls atomic.Int64
}

// ServerConfig configures a Server.
type ServerConfig struct {
	// TLS secures connections when set.
	TLS *tls.Config
	Log *slog.Logger
	// OnSend is called with the size in bytes of each message sent; it may be nil.
	OnSend func(method string, size int)
}

// NewServer returns a server without handlers, or an error from NewCodec.
func NewServer(cfg ServerConfig) (*Server, error) {
	cod, err := NewCodec()
	if err != nil {
		return nil, err
	}
	if cfg.Log == nil {
		cfg.Log = slog.New(slog.DiscardHandler)
	}
	srv := &Server{
		codec:    cod,
		tls:      cfg.TLS,
		log:      cfg.Log,
		onSend:   cfg.OnSend,
		handlers: make(map[string]func(drpc.Stream) error),
	}
	return srv, nil
}

// HandleUnary registers the handler of a method with one request and one
// response. It must be called before Serve.
func HandleUnary[Req, Rsp any](srv *Server, method string, fn func(context.Context, *Req) (*Rsp, error)) {
	enc := metered(srv.codec, method, srv.onSend)
	srv.handlers[method] = func(stm drpc.Stream) error {
		srv.openCalls.Add(1)
		defer srv.openCalls.Add(-1)
		req := new(Req)
		if err := stm.MsgRecv(req, enc); err != nil {
			return err
		}
		rsp, err := fn(stm.Context(), req)
		if err != nil {
			return err
		}
		return stm.MsgSend(rsp, enc)
	}
}

// HandleStream registers the handler of a streaming method, which receives In and
// sends Out messages until it returns. It must be called before Serve.
func HandleStream[In, Out any](srv *Server, method string, fn func(context.Context, *Stream[In, Out]) error) {
	enc := metered(srv.codec, method, srv.onSend)
	srv.handlers[method] = func(stm drpc.Stream) error {
		return fn(stm.Context(), &Stream[In, Out]{stm: stm, enc: enc, method: method})
	}
}

// OpenCalls returns the number of unary calls in progress.
func (srv *Server) OpenCalls() int { return int(srv.openCalls.Load()) }

// HandleRPC implements drpc.Handler: it runs the handler of the method.
func (srv *Server) HandleRPC(stm drpc.Stream, method string) error {
	handler, ok := srv.handlers[method]
	if !ok {
		return Errorf(UnknownMethod, "method %q is not served here", method)
	}
	return handler(stm)
}

// Serve accepts connections until the context is done or the listener fails.
func (srv *Server) Serve(ctx context.Context, lis net.Listener) error {
	if srv.tls != nil {
		lis = tls.NewListener(lis, srv.tls)
	}
	opts := drpcserver.Options{
		Manager: managerOptions(),
		Log:     func(err error) { srv.log.Debug("RPC connection ended", "Error", err) },
	}
	if err := drpcserver.NewWithOptions(srv, opts).Serve(ctx, lis); err != nil {
		return fmt.Errorf("serve RPC on %v: %w", lis.Addr(), err)
	}
	return nil
}
