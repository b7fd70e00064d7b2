package bwengine

import (
	"bufio"
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
	"strings"
	"time"

	"bilberrywick/core/bwmodel"
)

// EngineClient is a client of one model engine that speaks the completions protocol.
type EngineClient struct{ cfg EngineClientConfig }

// EngineClientConfig configures an Engine.
type EngineClientConfig struct {
	Address netip.AddrPort
	// Client makes the HTTP calls; nil means one with its own connections.
	Client *http.Client
	// Dial replaces TCP when Client is nil, for tests; nil means TCP.
	Dial func(ctx context.Context, addr netip.AddrPort) (net.Conn, error)
	// ReportTimeout bounds reading a load report or cache events; 0 means 1 s.
	ReportTimeout time.Duration
	// OrderTimeout bounds an order, such as loading a model; 0 means 5 min.
	OrderTimeout time.Duration
}

// Completion asks an engine to generate.
type Completion struct {
	Model string
	// Prompt is used when PromptTokens and Messages are empty.
	Prompt   string
	Messages []bwmodel.ChatMessage
	// PromptTokens are the prompt's tokens followed by those issued before.
	PromptTokens []bwmodel.TokenID
	MaxTokens    int
	Temperature  float64
	Seed         int64
	Stop         []string
	// Priority orders work; a lower value runs first.
	Priority int
}

// Chunk is one message of a generation.
type Chunk struct {
	Tokens []bwmodel.Token
	// PromptTokens is set in the first message.
	PromptTokens []bwmodel.TokenID
	// CachedTokens is set in the first message.
	CachedTokens int
	// Finish is set in the last message.
	Finish bwmodel.FinishReason
}

// Order tells an engine to load or unload a model or to change role.
type Order struct {
	Fence  bwmodel.Fence
	Load   string
	Unload string
	Role   string
}

// ErrorKind says how far a failed call went.
type ErrorKind int

// Kinds of failure.
const (
	// Unreachable says that the engine took no connection, so that nothing has run.
	Unreachable ErrorKind = iota + 1
	// Failed says that the engine failed after the request may have arrived.
	Failed
	// Refused says that the engine answered that it did not run the request.
	Refused
)

// Error is a failed call of an engine.
type Error struct {
	Kind ErrorKind
	// Status is the HTTP status of a refusal.
	Status int
	Err    error
}

// Error returns the reason.
func (err *Error) Error() string { return "engine: " + err.Err.Error() }

// Unwrap returns the reason.
func (err *Error) Unwrap() error { return err.Err }

const (
	defaultReportTimeout = time.Second
	defaultOrderTimeout  = 5 * time.Minute
	// maxEventBytes bounds one server-sent event; the first carries the prompt's tokens.
	maxEventBytes = 8 << 20
	maxBodyBytes  = 16 << 20
	// maxErrorBytes bounds the part of an error's body that is reported.
	maxErrorBytes = 1 << 10
	idleConns     = 64
)

// NewEngineClient returns a client without connections.
func NewEngineClient(cfg EngineClientConfig) *EngineClient {
	if cfg.Client == nil {
		tsp := &http.Transport{MaxIdleConnsPerHost: idleConns, DisableCompression: true}
		if cfg.Dial != nil {
			tsp.DialContext = cfg.dial
		}
		cfg.Client = &http.Client{Transport: tsp}
	}
	if cfg.ReportTimeout == 0 {
		cfg.ReportTimeout = defaultReportTimeout
	}
	if cfg.OrderTimeout == 0 {
		cfg.OrderTimeout = defaultOrderTimeout
	}
	return &EngineClient{cfg: cfg}
}

func (cfg EngineClientConfig) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	return cfg.Dial(ctx, cfg.Address)
}

// Generate starts a generation, or returns an *Error; it ends when the context
// does or on Close.
func (eng *EngineClient) Generate(ctx context.Context, cmp Completion) (*Generation, error) {
	path, body := completionBody(cmp)
	ctx, cancel := context.WithCancel(ctx)
	rsp, err := eng.send(ctx, http.MethodPost, path, body)
	if err != nil {
		cancel()
		return nil, err
	}
	scn := bufio.NewScanner(rsp.Body)
	scn.Buffer(nil, maxEventBytes)
	return &Generation{body: rsp.Body, scn: scn, cancel: cancel}, nil
}

// ReadLoad reads the engine's load report, or returns an *Error.
func (eng *EngineClient) ReadLoad(ctx context.Context) (bwmodel.LoadReport, error) {
	var msg loadMessage
	if err := eng.read(ctx, "/load", &msg); err != nil {
		return bwmodel.LoadReport{}, err
	}
	return bwmodel.LoadReport{
		Age:          time.Duration(msg.AgeMillis) * time.Millisecond,
		Running:      msg.Running,
		Waiting:      msg.Waiting,
		Slots:        msg.Slots,
		TokenRate:    msg.TokenRate,
		Models:       msg.Models,
		QueuedTokens: msg.QueuedTokens,
	}, nil
}

// ReadCacheEvents reads the cache events after a number, or returns an *Error.
func (eng *EngineClient) ReadCacheEvents(ctx context.Context, after uint64) ([]bwmodel.CacheEvent, error) {
	var msg cacheMessage
	if err := eng.read(ctx, "/cache_events?after="+strconv.FormatUint(after, 10), &msg); err != nil {
		return nil, err
	}
	evts := make([]bwmodel.CacheEvent, 0, len(msg.Events))
	for _, evt := range msg.Events {
		evts = append(evts, bwmodel.CacheEvent(evt))
	}
	return evts, nil
}

// SendOrder gives the engine an order and waits until it is carried out, or returns an *Error.
func (eng *EngineClient) SendOrder(ctx context.Context, ord Order) error {
	ctx, cancel := context.WithTimeout(ctx, eng.cfg.OrderTimeout)
	defer cancel()
	rsp, err := eng.send(ctx, http.MethodPost, "/orders", orderMessage(ord))
	if err != nil {
		return err
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(rsp.Body, maxBodyBytes))
	return rsp.Body.Close()
}

func (eng *EngineClient) read(ctx context.Context, path string, msg any) error {
	ctx, cancel := context.WithTimeout(ctx, eng.cfg.ReportTimeout)
	defer cancel()
	rsp, err := eng.send(ctx, http.MethodGet, path, nil)
	if err != nil {
		return err
	}
	defer func() { _ = rsp.Body.Close() }()
	if err := json.NewDecoder(io.LimitReader(rsp.Body, maxBodyBytes)).Decode(msg); err != nil {
		return &Error{Kind: Failed, Err: fmt.Errorf("%s: %w", path, err)}
	}
	return nil
}

// send returns a response with status 200, or an *Error.
func (eng *EngineClient) send(ctx context.Context, method, path string, body any) (*http.Response, error) {
	var rdr io.Reader
	if body != nil {
		buf, err := json.Marshal(body)
		if err != nil {
			return nil, &Error{Kind: Refused, Err: fmt.Errorf("encode request: %w", err)}
		}
		rdr = bytes.NewReader(buf)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+eng.cfg.Address.String()+path, rdr)
	if err != nil {
		return nil, &Error{Kind: Refused, Err: err}
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	rsp, err := eng.cfg.Client.Do(req)
	if err != nil {
		return nil, &Error{Kind: sendFailure(err), Err: err}
	}
	if rsp.StatusCode != http.StatusOK {
		txt, _ := io.ReadAll(io.LimitReader(rsp.Body, maxErrorBytes))
		_ = rsp.Body.Close()
		return nil, &Error{
			Kind:   Refused,
			Status: rsp.StatusCode,
			Err:    fmt.Errorf("%s: status %d: %s", path, rsp.StatusCode, strings.TrimSpace(string(txt))),
		}
	}
	return rsp, nil
}

// sendFailure tells a failed dial, after which nothing has run, from a connection that broke.
func sendFailure(err error) ErrorKind {
	if opErr, ok := errors.AsType[*net.OpError](err); ok && opErr.Op == "dial" {
		return Unreachable
	}
	return Failed
}
