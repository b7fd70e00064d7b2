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
	"bilberrywick/io/bwtransport"
)

// ServiceClient is an HTTP client of one plain service. It never retries a request.
type ServiceClient struct {
	cfg ServiceClientConfig
	// callClient sends idempotent calls and reuses connections.
	callClient *http.Client
	// actionClient opens a connection for each request, because net/http retries a
	// request with an Idempotency-Key itself when a reused connection is closed.
	actionClient *http.Client
}

// ServiceClientConfig configures a ServiceClient.
type ServiceClientConfig struct {
	Address netip.AddrPort
	// DialTimeout limits the time to open a connection; 0 means 1 s.
	DialTimeout time.Duration
	// MaxResponseBytes limits the size of a response body; 0 means 1 MiB.
	MaxResponseBytes int64
	// Dial replaces TCP in tests; nil means TCP.
	Dial func(ctx context.Context, addr netip.AddrPort) (net.Conn, error)
}

const (
	defaultServiceDialTimeout = time.Second
	defaultMaxResponseBytes   = 1 << 20
	// maxIdleServiceConns limits the idle connections to the service.
	maxIdleServiceConns  = 64
	idempotencyKeyHeader = "Idempotency-Key"
)

// Errors of requests to a plain service.
var (
	// ErrNotSent means that nothing was sent, because no connection could be opened
	// or the request is invalid.
	ErrNotSent = errors.New("request was not sent to the service")
	// ErrNoResponse means that the request may have been run, but its complete response
	// was not received.
	ErrNoResponse = errors.New("no whole answer from the service")
)

// NewServiceClient returns a client that has no open connections yet.
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
	svc.callClient = svc.newHTTPClient(false)
	svc.actionClient = svc.newHTTPClient(true)
	return svc
}

// Call sends an idempotent call. Errors wrap ErrNotSent or ErrNoResponse.
func (svc *ServiceClient) Call(ctx context.Context, req bwmodel.HTTPRequest) (bwmodel.HTTPResponse, error) {
	return svc.do(ctx, svc.callClient, req, "")
}

// RunAction sends an action once, with its idempotency key. Errors wrap ErrNotSent if
// the action was certainly not run, and ErrNoResponse otherwise.
func (svc *ServiceClient) RunAction(ctx context.Context, key string, req bwmodel.HTTPRequest) (bwmodel.HTTPResponse, error) {
	return svc.do(ctx, svc.actionClient, req, key)
}

// Close closes the idle connections.
func (svc *ServiceClient) Close() { svc.callClient.CloseIdleConnections() }

func (svc *ServiceClient) newHTTPClient(disableKeepAlives bool) *http.Client {
	return &http.Client{
		Transport: bwtransport.New(bwtransport.Config{Base: &http.Transport{
			DialContext:         svc.dial,
			DisableKeepAlives:   disableKeepAlives,
			DisableCompression:  true,
			MaxIdleConnsPerHost: maxIdleServiceConns,
			IdleConnTimeout:     time.Minute,
		}}),
		// Following a redirect would send an action twice.
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
		if isDialError(err) {
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
	// The path comes from the caller and must not be able to change the host.
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
		hrq.Header.Set(idempotencyKeyHeader, key)
	}
	return hrq, nil
}

func dialService(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	var dlr net.Dialer
	return dlr.DialContext(ctx, "tcp", addr.String())
}

// isDialError reports whether the request failed before a connection was open.
func isDialError(err error) bool {
	dial := new(dialError)
	return errors.As(err, &dial)
}

// dialError marks a failure to open a connection.
type dialError struct{ err error }

// Error returns the dialer's error text.
func (err *dialError) Error() string { return "connect: " + err.err.Error() }

// Unwrap returns the dialer's error.
func (err *dialError) Unwrap() error { return err.err }
