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

// Caller sends requests to routers in turn, as the platform's load balancer would.
type Caller struct {
	cfg  Config
	web  *http.Client
	turn atomic.Uint64
}

// Config configures a Caller.
type Config struct {
	// Routers are the routers' addresses for callers.
	Routers func() []netip.AddrPort
	// Key is the team's key.
	Key string
	// ReconnectTimeout is how long a caller tries to get the rest of an answer after its
	// connection broke; 0 means not at all.
	ReconnectTimeout time.Duration
	// StallTimeout breaks the connection of a generation that sends no event for so
	// long; 0 means never.
	StallTimeout time.Duration
	// DisableKeepAlives opens a connection for each request: on kept connections net/http
	// repeats a request by itself, which a check of outcomes can't account for.
	DisableKeepAlives bool
	// Dial replaces TCP, for tests that break connections; nil means TCP.
	Dial func(ctx context.Context, addr netip.AddrPort) (net.Conn, error)
	Now  func() time.Time
}

// reconnectPause lies between two tries to reconnect.
const reconnectPause = 20 * time.Millisecond

// maxConns bounds the idle connections to one router.
const maxConns = 1024

// New returns a caller without connections.
func New(cfg Config) *Caller {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	transport := &http.Transport{
		MaxIdleConns:        maxConns,
		MaxIdleConnsPerHost: maxConns,
		DisableCompression:  true,
		DisableKeepAlives:   cfg.DisableKeepAlives,
	}
	if cfg.Dial != nil {
		transport.DialContext = cfg.dial
	}
	return &Caller{cfg: cfg, web: &http.Client{Transport: transport}}
}

// dial connects to a router, whose address is always an IP address and a port.
func (cfg Config) dial(ctx context.Context, _, txt string) (net.Conn, error) {
	addr, err := netip.ParseAddrPort(txt)
	if err != nil {
		return nil, err
	}
	return cfg.Dial(ctx, addr)
}

// Close closes the idle connections.
func (cal *Caller) Close() { cal.web.CloseIdleConnections() }

// ProblemError is an answer that says what became of the request.
type ProblemError struct {
	Status  int
	Outcome bwhttp.Outcome
	// RequestOutcome is NotRun when only an earlier request may have run the action.
	RequestOutcome bwhttp.Outcome
	Detail         string
	RetryAfter     time.Duration
}

// Error returns the status, the outcome and the detail.
func (err *ProblemError) Error() string {
	return fmt.Sprintf("status %d, outcome %s: %s", err.Status, err.Outcome, err.Detail)
}

// Response is the whole answer of an action or a lookup.
type Response struct {
	Status int
	Body   []byte
	// Replayed says that an earlier request with the same key ran the action.
	Replayed bool
}

// RunAction runs an action under a key, or returns a *RefusedError or the
// connection's error, after which the outcome must be asked for.
func (cal *Caller) RunAction(ctx context.Context, service, path, key string, body []byte) (Response, error) {
	req, err := cal.request(ctx, http.MethodPost, "/v1/services/"+service+"/actions/"+path, body)
	if err != nil {
		return Response{}, err
	}
	req.Header.Set("Idempotency-Key", key)
	return cal.reply(req)
}

// QueryAction asks for the outcome of an action.
func (cal *Caller) QueryAction(ctx context.Context, key string) (Response, error) {
	req, err := cal.request(ctx, http.MethodGet, "/v1/actions/"+key, nil)
	if err != nil {
		return Response{}, err
	}
	return cal.reply(req)
}

// Lookup runs an idempotent call.
func (cal *Caller) Lookup(ctx context.Context, service, path string) (Response, error) {
	req, err := cal.request(ctx, http.MethodGet, "/v1/services/"+service+"/calls/"+path, nil)
	if err != nil {
		return Response{}, err
	}
	return cal.reply(req)
}

func (cal *Caller) reply(req *http.Request) (Response, error) {
	rsp, err := cal.web.Do(req)
	if err != nil {
		return Response{}, err
	}
	defer func() { _ = rsp.Body.Close() }()
	if rsp.Header.Get("Content-Type") == bwhttp.ProblemContentType {
		return Response{}, readProblem(rsp)
	}
	body, err := io.ReadAll(rsp.Body)
	if err != nil {
		return Response{}, fmt.Errorf("read answer: %w", err)
	}
	return Response{Status: rsp.StatusCode, Body: body, Replayed: rsp.Header.Get("Repeat") != ""}, nil
}

// request builds a request to the next router.
func (cal *Caller) request(ctx context.Context, method, path string, body []byte) (*http.Request, error) {
	routers := cal.cfg.Routers()
	if len(routers) == 0 {
		return nil, errNoRouter
	}
	addr := routers[cal.turn.Add(1)%uint64(len(routers))]
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr.String()+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	bwhttp.SetBearer(req, cal.cfg.Key)
	return req, nil
}

var errNoRouter = errors.New("no router is known")

// readProblem returns the problem that a response carries as a *RefusedError.
func readProblem(rsp *http.Response) error {
	refused := &ProblemError{Status: rsp.StatusCode}
	var prb bwhttp.Problem
	if err := json.NewDecoder(rsp.Body).Decode(&prb); err != nil {
		return fmt.Errorf("status %d without a problem: %w", rsp.StatusCode, err)
	}
	refused.Outcome, refused.RequestOutcome, refused.Detail = prb.Outcome, prb.RequestOutcome, prb.Detail
	if secs, err := strconv.Atoi(rsp.Header.Get("Retry-After")); err == nil {
		refused.RetryAfter = time.Duration(secs) * time.Second
	}
	return refused
}
