package bwcaller

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync/atomic"
	"time"

	"bilberrywick/io/bwhttp"
)

// Caller sends requests to the routers in round-robin order, as the platform's
// load balancer does. It is safe for concurrent use.
type Caller struct {
	cfg      Config
	client   *http.Client
	sequence atomic.Uint64
}

// Config configures a Caller.
type Config struct {
	// Routers returns the routers' addresses for callers.
	Routers func() []netip.AddrPort
	// Key is the team's key, which is sent as a bearer token.
	Key string
	// ReconnectTimeout limits the attempts to resume a stream whose connection
	// broke; 0 disables reconnecting.
	ReconnectTimeout time.Duration
	// StallTimeout is the longest time without an event before the connection of a
	// generation is closed; 0 means no limit.
	StallTimeout time.Duration
	// DisableKeepAlives opens a new connection for each request. On reused
	// connections net/http may retry a request by itself, which a check of
	// outcomes can't account for.
	DisableKeepAlives bool
	// Dial opens connections, for tests that break them; nil means TCP.
	Dial func(ctx context.Context, addr netip.AddrPort) (net.Conn, error)
	// Now reads the clock; nil means time.Now.
	Now func() time.Time
}

// reconnectDelay is the delay between two attempts to reconnect.
const reconnectDelay = 20 * time.Millisecond

// maxIdleConns limits the idle connections, in total and to each router.
const maxIdleConns = 1024

// New returns a Caller; it opens no connection.
func New(cfg Config) *Caller {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	transport := &http.Transport{
		MaxIdleConns:        maxIdleConns,
		MaxIdleConnsPerHost: maxIdleConns,
		DisableCompression:  true,
		DisableKeepAlives:   cfg.DisableKeepAlives,
	}
	if cfg.Dial != nil {
		transport.DialContext = cfg.dial
	}
	return &Caller{cfg: cfg, client: &http.Client{Transport: transport}}
}

// dial adapts Dial to http.Transport. Routers' addresses are always an IP address
// and a port.
func (cfg Config) dial(ctx context.Context, _, txt string) (net.Conn, error) {
	addr, err := netip.ParseAddrPort(txt)
	if err != nil {
		return nil, err
	}
	return cfg.Dial(ctx, addr)
}

// Close closes the idle connections.
func (cal *Caller) Close() { cal.client.CloseIdleConnections() }

// ProblemError is a problem response (application/problem+json), which states the
// outcome of the request.
type ProblemError struct {
	Status  int
	Outcome bwhttp.Outcome
	// RequestOutcome is NotRun if this request did not run the action, although an
	// earlier one with the same key may have.
	RequestOutcome bwhttp.Outcome
	Detail         string
	RetryAfter     time.Duration
}

// Error returns the status, the outcome and the detail.
func (err *ProblemError) Error() string {
	return fmt.Sprintf("status %d, outcome %s: %s", err.Status, err.Outcome, err.Detail)
}

// Response is the complete response to an action or a lookup.
type Response struct {
	Status int
	Body   []byte
	// Replayed is set when the response is replayed from an earlier request with
	// the same key.
	Replayed bool
}

// RunAction runs an action with an idempotency key. It returns a *ProblemError,
// or the connection's error, after which the outcome is unknown and QueryAction
// reads it.
func (cal *Caller) RunAction(ctx context.Context, service, path, key string, body []byte) (Response, error) {
	req, err := cal.newRequest(ctx, http.MethodPost, "/v1/services/"+service+"/actions/"+path, body)
	if err != nil {
		return Response{}, err
	}
	req.Header.Set("Idempotency-Key", key)
	return cal.do(req)
}

// QueryAction returns the outcome of the action with an idempotency key. Errors are
// those of RunAction.
func (cal *Caller) QueryAction(ctx context.Context, key string) (Response, error) {
	req, err := cal.newRequest(ctx, http.MethodGet, "/v1/actions/"+key, nil)
	if err != nil {
		return Response{}, err
	}
	return cal.do(req)
}

// Lookup runs an idempotent call. Errors are those of RunAction.
func (cal *Caller) Lookup(ctx context.Context, service, path string) (Response, error) {
	req, err := cal.newRequest(ctx, http.MethodGet, "/v1/services/"+service+"/calls/"+path, nil)
	if err != nil {
		return Response{}, err
	}
	return cal.do(req)
}

func (cal *Caller) do(req *http.Request) (Response, error) {
	rsp, err := cal.client.Do(req)
	if err != nil {
		return Response{}, err
	}
	defer func() { _ = rsp.Body.Close() }()
	if rsp.Header.Get("Content-Type") == bwhttp.ProblemContentType {
		return Response{}, decodeProblem(rsp)
	}
	body, err := io.ReadAll(rsp.Body)
	if err != nil {
		return Response{}, fmt.Errorf("read answer: %w", err)
	}
	return Response{Status: rsp.StatusCode, Body: body, Replayed: rsp.Header.Get("Repeat") != ""}, nil
}

// newRequest returns a request to the next router in turn.
func (cal *Caller) newRequest(ctx context.Context, method, path string, body []byte) (*http.Request, error) {
	routers := cal.cfg.Routers()
	if len(routers) == 0 {
		return nil, errNoRouters
	}
	addr := routers[cal.sequence.Add(1)%uint64(len(routers))]
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr.String()+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	bwhttp.SetBearer(req, cal.cfg.Key)
	return req, nil
}

var errNoRouters = errors.New("no router is known")

// decodeProblem decodes a problem response as a *ProblemError. It returns another
// error if the body is not a problem document.
func decodeProblem(rsp *http.Response) error {
	problem := &ProblemError{Status: rsp.StatusCode}
	var prb bwhttp.Problem
	if err := json.NewDecoder(rsp.Body).Decode(&prb); err != nil {
		return fmt.Errorf("status %d without a problem: %w", rsp.StatusCode, err)
	}
	problem.Outcome, problem.RequestOutcome, problem.Detail = prb.Outcome, prb.RequestOutcome, prb.Detail
	if secs, err := strconv.Atoi(rsp.Header.Get("Retry-After")); err == nil {
		problem.RetryAfter = time.Duration(secs) * time.Second
	}
	return problem
}
