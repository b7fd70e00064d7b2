package bwhttp

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/netip"

	"bilberrywick/io/bwlisten"
)

// Server serves HTTP on one listener within its limits.
type Server struct {
	http    *http.Server
	handler *limitedHandler
	lis     *bwlisten.Listener
	done    chan struct{}
	err     error
}

// ServerConfig configures a Server.
type ServerConfig struct {
	// Address is the address to listen on; port 0 selects a free port.
	Address netip.AddrPort
	Handler http.Handler
	// TLS secures the listener when set.
	TLS    *tls.Config
	Limits Limits
	// Listen opens the listener; nil means TCP. Tests replace it to inject connection
	// failures.
	Listen func(ctx context.Context, addr netip.AddrPort) (net.Listener, error)
	// OnClose is called with each connection that is closed or refused to stay within
	// the limits; it may be nil.
	OnClose func(reason bwlisten.Reason, remote netip.AddrPort)
	// ErrorHandler writes the response for requests above a limit; nil means WriteErrorText.
	ErrorHandler func(http.ResponseWriter, *http.Request, error)
	// Log receives the errors of connections; nil discards them.
	Log *slog.Logger
}

// Listen returns a server with an open listener. It serves no request before Start.
func Listen(cfg ServerConfig) (*Server, error) {
	cfg.Limits.setDefaults()
	if cfg.ErrorHandler == nil {
		cfg.ErrorHandler = WriteErrorText
	}
	if cfg.Log == nil {
		cfg.Log = slog.New(slog.DiscardHandler)
	}
	if cfg.Listen == nil {
		cfg.Listen = ListenTCP
	}
	lis, err := cfg.Listen(context.Background(), cfg.Address)
	if err != nil {
		return nil, fmt.Errorf("listen on %v: %w", cfg.Address, err)
	}
	limited := newListener(lis, cfg)
	handler := &limitedHandler{
		next:         cfg.Handler,
		limits:       cfg.Limits,
		slots:        make(chan struct{}, cfg.Limits.Streams),
		errorHandler: cfg.ErrorHandler,
	}
	srv := &Server{
		http: &http.Server{
			Handler:           handler,
			TLSConfig:         cfg.TLS,
			MaxHeaderBytes:    cfg.Limits.HeaderBytes,
			ReadHeaderTimeout: cfg.Limits.HeaderTimeout,
			IdleTimeout:       cfg.Limits.IdleTimeout,
			ConnState:         limited.ConnState,
			ConnContext:       limited.ConnContext,
			ErrorLog:          slog.NewLogLogger(cfg.Log.Handler(), slog.LevelDebug),
		},
		handler: handler,
		lis:     limited,
		done:    make(chan struct{}),
	}
	return srv, nil
}

// Address returns the address that the server listens on, with the actual port.
func (srv *Server) Address() netip.AddrPort {
	addr := srv.lis.Addr().(*net.TCPAddr).AddrPort()
	return netip.AddrPortFrom(addr.Addr().Unmap(), addr.Port())
}

// InProgress returns the number of requests in progress.
func (srv *Server) InProgress() int { return len(srv.handler.slots) }

// Start starts to serve requests, until Shutdown or Close.
func (srv *Server) Start() { go srv.run() }

// Done returns a channel that is closed when the server accepts no more connections.
func (srv *Server) Done() <-chan struct{} { return srv.done }

// Err returns the error that ended the server, or nil after Shutdown or Close. It
// is valid once Done is closed.
func (srv *Server) Err() error { return srv.err }

// Shutdown stops accepting connections and waits for the requests in progress. If
// the context is done first, it aborts them and returns the context's error.
func (srv *Server) Shutdown(ctx context.Context) error {
	if err := srv.http.Shutdown(ctx); err != nil {
		_ = srv.http.Close()
		return fmt.Errorf("shut down %v: %w", srv.Address(), err)
	}
	return nil
}

// Close stops the server and aborts the requests in progress.
func (srv *Server) Close() error { return srv.http.Close() }

func (srv *Server) run() {
	defer close(srv.done)
	var err error
	if srv.http.TLSConfig != nil {
		err = srv.http.ServeTLS(srv.lis, "", "")
	} else {
		err = srv.http.Serve(srv.lis)
	}
	if !errors.Is(err, http.ErrServerClosed) {
		srv.err = fmt.Errorf("serve %v: %w", srv.Address(), err)
	}
}

// ListenTCP opens a TCP listener.
func ListenTCP(ctx context.Context, addr netip.AddrPort) (net.Listener, error) {
	var cfg net.ListenConfig
	return cfg.Listen(ctx, "tcp", addr.String())
}

// WriteErrorText writes a response with an error's status and text. Errors other than
// *RequestError get status 500.
func WriteErrorText(rw http.ResponseWriter, _ *http.Request, err error) {
	status := http.StatusInternalServerError
	var reqErr *RequestError
	if errors.As(err, &reqErr) {
		status = reqErr.Status
	}
	http.Error(rw, err.Error(), status)
}
