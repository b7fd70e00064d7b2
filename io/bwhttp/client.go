package bwhttp

import (
	"bytes"
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"time"

	"bilberrywick/io/bwtransport"
)

// Client sends typed JSON requests to one server.
type Client struct {
	cfg  ClientConfig
	http *http.Client
}

// ClientConfig configures a Client.
type ClientConfig struct {
	Address netip.AddrPort
	// TLS secures connections when set.
	TLS *tls.Config
	// Key is the bearer key sent with each request, if set.
	Key string
	// Timeout limits one call; 0 means 10 s.
	Timeout time.Duration
	// MaxBytes limits the size of a response; 0 means 64 MiB, enough for the complete
	// state at target scale.
	MaxBytes int64
}

// StatusError is the error for a response with a status of 400 or above.
type StatusError struct {
	Status      int
	ContentType string
	Body        []byte
}

// Error returns the status and the body.
func (err *StatusError) Error() string {
	return fmt.Sprintf("status %d: %s", err.Status, bytes.TrimSpace(err.Body))
}

// NewClient returns a client without opening connections.
func NewClient(cfg ClientConfig) *Client {
	setDefault(&cfg.Timeout, 10*time.Second)
	setDefault(&cfg.MaxBytes, 64<<20)
	trp := &http.Transport{TLSClientConfig: cfg.TLS, ForceAttemptHTTP2: true}
	return &Client{cfg: cfg, http: &http.Client{Transport: bwtransport.New(bwtransport.Config{Base: trp}), Timeout: cfg.Timeout}}
}

// Close closes the idle connections.
func (cl *Client) Close() { cl.http.CloseIdleConnections() }

// Get requests a resource. It returns a *StatusError for a status of 400 or above,
// or an error of the connection or the decoding.
func Get[Rsp any](ctx context.Context, cl *Client, path string, query url.Values) (*Rsp, error) {
	return roundTrip[Rsp](ctx, cl, http.MethodGet, path, query, nil)
}

// Post sends a request. It returns a *StatusError for a status of 400 or above, or
// an error of the connection, the encoding or the decoding.
func Post[Rsp any](ctx context.Context, cl *Client, path string, query url.Values, req any) (*Rsp, error) {
	body, err := EncodeJSON(req)
	if err != nil {
		return nil, err
	}
	return roundTrip[Rsp](ctx, cl, http.MethodPost, path, query, body)
}

func roundTrip[Rsp any](ctx context.Context, cl *Client, method, path string, query url.Values, body []byte) (*Rsp, error) {
	data, err := cl.do(ctx, method, path, query, body)
	if err != nil {
		return nil, err
	}
	return DecodeJSON[Rsp](data)
}

func (cl *Client) do(ctx context.Context, method, path string, query url.Values, body []byte) ([]byte, error) {
	rq, err := http.NewRequestWithContext(ctx, method, cl.url(path, query), bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("make request: %w", err)
	}
	if cl.cfg.Key != "" {
		SetBearer(rq, cl.cfg.Key)
	}
	if len(body) > 0 {
		rq.Header.Set("Content-Type", JSONContentType)
	}
	rsp, err := cl.http.Do(rq)
	if err != nil {
		return nil, fmt.Errorf("call %v: %w", cl.cfg.Address, err)
	}
	defer func() { _ = rsp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(rsp.Body, cl.cfg.MaxBytes+1))
	if err != nil {
		return nil, fmt.Errorf("read response: %w", err)
	}
	if int64(len(data)) > cl.cfg.MaxBytes {
		return nil, fmt.Errorf("response has more than %d bytes", cl.cfg.MaxBytes)
	}
	if rsp.StatusCode >= http.StatusBadRequest {
		return nil, &StatusError{Status: rsp.StatusCode, ContentType: rsp.Header.Get("Content-Type"), Body: data}
	}
	return data, nil
}

func (cl *Client) url(path string, query url.Values) string {
	loc := url.URL{Scheme: "http", Host: cl.cfg.Address.String(), Path: path, RawQuery: query.Encode()}
	if cl.cfg.TLS != nil {
		loc.Scheme = "https"
	}
	return loc.String()
}
