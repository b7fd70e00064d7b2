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
)

// Server serves one listener within its bounds.
type Server struct {
	http    *http.Server
	bounded *boundedHandler
	lis     net.Listener
	done    chan struct{}
	err     error
}

// ServerConfig configures a Server.
type ServerConfig struct {
	// Address is where the server listens; port 0 picks a free port.
	Address netip.AddrPort
	Handler http.Handler
	// TLS secures the listener when set.
	TLS    *tls.Config
	Limits Limits
	// Listen replaces TCP, for tests that break connections; nil means TCP.
	Listen func(ctx context.Context, addr netip.AddrPort) (net.Listener, error)
	// ErrorHandler answers requests that break a bound; nil answers with the status and plain text.
	ErrorHandler func(http.ResponseWriter, *http.Request, error)
	// Log receives the faults of connections; nil discards them.
	Log *slog.Logger
}

// Listen opens the listener; no request is served before Start.
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
	lis = &boundedListener{Listener: lis, limit: int64(cfg.Limits.Connections)}
	bounded := &boundedHandler{
		next:   cfg.Handler,
		bounds: cfg.Limits,
		slots:  make(chan struct{}, cfg.Limits.Streams),
		fail:   cfg.ErrorHandler,
	}
	srv := &Server{
		http: &http.Server{
			Handler:           bounded,
			TLSConfig:         cfg.TLS,
			MaxHeaderBytes:    cfg.Limits.HeaderBytes,
			ReadHeaderTimeout: cfg.Limits.HeaderTimeout,
			IdleTimeout:       cfg.Limits.IdleTimeout,
			ErrorLog:          slog.NewLogLogger(cfg.Log.Handler(), slog.LevelDebug),
		},
		bounded: bounded,
		lis:     lis,
		done:    make(chan struct{}),
	}
	return srv, nil
}

// Address returns where the server listens, with the port it was given.
func (srv *Server) Address() netip.AddrPort {
	addr := srv.lis.Addr().(*net.TCPAddr).AddrPort()
	return netip.AddrPortFrom(addr.Addr().Unmap(), addr.Port())
}

// InProgress returns the number of requests being served.
func (srv *Server) InProgress() int { return len(srv.bounded.slots) }

// Start serves requests until Shutdown or Close.
func (srv *Server) Start() { go srv.run() }

// Done is closed when the server accepts no more connections.
func (srv *Server) Done() <-chan struct{} { return srv.done }

// Err returns why the server ended by itself, and nil after Shutdown or
// Close; it is valid once Done is closed.
func (srv *Server) Err() error { return srv.err }

// Shutdown stops accepting and waits for the requests in progress; when the
// context ends first it cuts them off and returns the context's error.
func (srv *Server) Shutdown(ctx context.Context) error {
	if err := srv.http.Shutdown(ctx); err != nil {
		_ = srv.http.Close()
		return fmt.Errorf("shut down %v: %w", srv.Address(), err)
	}
	return nil
}

// Close stops the server and cuts off its requests.
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

// WriteErrorText answers with an error's status and text; errors other than
// *RequestError are answered with 500.
func WriteErrorText(rw http.ResponseWriter, _ *http.Request, err error) {
	status := http.StatusInternalServerError
	var req *RequestError
	if errors.As(err, &req) {
		status = req.Status
	}
	http.Error(rw, err.Error(), status)
}
