package bwengine

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"bilberrywick/core/bwmodel"
)

// ServiceClient is a client of one plain service; it never repeats a request.
type ServiceClient struct {
	cfg ServiceClientConfig
	// calls keeps connections open for idempotent calls.
	calls *http.Client
	// actions opens a connection for each request: net/http repeats a request with
	// an Idempotency-Key by itself when a kept connection turns out to be closed.
	actions *http.Client
}

// ServiceClientConfig configures a Service.
type ServiceClientConfig struct {
	Address netip.AddrPort
	// DialTimeout bounds the making of a connection; 0 means 1 s.
	DialTimeout time.Duration
	// MaxResponseBytes bounds a response's body; 0 means 1 MiB.
	MaxResponseBytes int64
	// Dial replaces TCP, for tests; nil means TCP.
	Dial func(ctx context.Context, addr netip.AddrPort) (net.Conn, error)
}

const (
	defaultServiceDialTimeout = time.Second
	defaultMaxResponseBytes   = 1 << 20
	// maxIdleServiceConns bounds the connections kept to the one upstream.
	maxIdleServiceConns = 64
	idempotencyHeader   = "Idempotency-Key"
)

// Errors of a plain service.
var (
	// ErrNotSent says that no connection could be made, so nothing was sent.
	ErrNotSent = errors.New("request was not sent to the service")
	// ErrNoResponse says that the request may have been run and its whole answer was
	// not received.
	ErrNoResponse = errors.New("no whole answer from the service")
)

// NewServiceClient returns a client without connections.
func NewServiceClient(cfg ServiceClientConfig) *ServiceClient {
	if cfg.DialTimeout == 0 {
		cfg.DialTimeout = defaultServiceDialTimeout
	}
	if cfg.MaxResponseBytes == 0 {
		cfg.MaxResponseBytes = defaultMaxResponseBytes
	}
	if cfg.Dial == nil {
		cfg.Dial = dialService
	}
	svc := &ServiceClient{cfg: cfg}
	svc.calls = svc.client(false)
	svc.actions = svc.client(true)
	return svc
}

// Call runs an idempotent call, or returns ErrNotSent or ErrNoAnswer.
func (svc *ServiceClient) Call(ctx context.Context, req bwmodel.HTTPRequest) (bwmodel.HTTPResponse, error) {
	return svc.do(ctx, svc.calls, req, "")
}

// RunAction runs an action once and passes its key on to the service, or returns
// ErrNotSent when it certainly has not been run, or ErrNoAnswer.
func (svc *ServiceClient) RunAction(ctx context.Context, key string, req bwmodel.HTTPRequest) (bwmodel.HTTPResponse, error) {
	return svc.do(ctx, svc.actions, req, key)
}

// Close closes the kept connections.
func (svc *ServiceClient) Close() { svc.calls.CloseIdleConnections() }

func (svc *ServiceClient) client(once bool) *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         svc.dial,
			DisableKeepAlives:   once,
			DisableCompression:  true,
			MaxIdleConnsPerHost: maxIdleServiceConns,
			IdleConnTimeout:     time.Minute,
		},
		// Following a redirect would send an action a second time.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

func (svc *ServiceClient) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, svc.cfg.DialTimeout)
	defer cancel()
	conn, err := svc.cfg.Dial(ctx, svc.cfg.Address)
	if err != nil {
		return nil, &dialError{err: err}
	}
	return conn, nil
}

func (svc *ServiceClient) do(ctx context.Context, cl *http.Client, req bwmodel.HTTPRequest, key string) (bwmodel.HTTPResponse, error) {
	hrq, err := svc.request(ctx, req, key)
	if err != nil {
		return bwmodel.HTTPResponse{}, errors.Join(ErrNotSent, err)
	}
	hrs, err := cl.Do(hrq)
	if err != nil {
		if dialFailed(err) {
			return bwmodel.HTTPResponse{}, fmt.Errorf("%w: %w", ErrNotSent, err)
		}
		return bwmodel.HTTPResponse{}, fmt.Errorf("%w: %w", ErrNoResponse, err)
	}
	defer func() { _ = hrs.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(hrs.Body, svc.cfg.MaxResponseBytes+1))
	if err != nil {
		return bwmodel.HTTPResponse{}, fmt.Errorf("%w: body: %w", ErrNoResponse, err)
	}
	if int64(len(body)) > svc.cfg.MaxResponseBytes {
		return bwmodel.HTTPResponse{}, fmt.Errorf("%w: body exceeds %d bytes", ErrNoResponse, svc.cfg.MaxResponseBytes)
	}
	rsp := bwmodel.HTTPResponse{
		Status:      hrs.StatusCode,
		ContentType: hrs.Header.Get("Content-Type"),
		Body:        body,
	}
	return rsp, nil
}

func (svc *ServiceClient) request(ctx context.Context, req bwmodel.HTTPRequest, key string) (*http.Request, error) {
	// The path is the caller's; it must not be able to name another host.
	if !strings.HasPrefix(req.Path, "/") {
		return nil, fmt.Errorf("path %q does not start with a slash", req.Path)
	}
	url := "http://" + svc.cfg.Address.String() + req.Path
	hrq, err := http.NewRequestWithContext(ctx, req.Method, url, bytes.NewReader(req.Body))
	if err != nil {
		return nil, err
	}
	if req.ContentType != "" {
		hrq.Header.Set("Content-Type", req.ContentType)
	}
	if key != "" {
		hrq.Header.Set(idempotencyHeader, key)
	}
	return hrq, nil
}

func dialService(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	var dlr net.Dialer
	return dlr.DialContext(ctx, "tcp", addr.String())
}

// dialFailed reports whether the request failed before a connection was made.
func dialFailed(err error) bool {
	dial := new(dialError)
	return errors.As(err, &dial)
}

// dialError marks a failure to make a connection.
type dialError struct{ err error }

// Error returns the dialler's reason.
func (err *dialError) Error() string { return "connect: " + err.err.Error() }

// Unwrap returns the dialler's error.
func (err *dialError) Unwrap() error { return err.err }
