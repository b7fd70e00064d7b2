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
	"bilberrywick/io/bwtransport"
)

// EngineClient is an HTTP client of one model engine with a completions API.
type EngineClient struct{ cfg EngineClientConfig }

// EngineClientConfig configures an EngineClient.
type EngineClientConfig struct {
	Address netip.AddrPort
	// Client sends the HTTP requests; nil means a client with its own connections.
	Client *http.Client
	// Dial replaces TCP when Client is nil, for tests; nil means TCP.
	Dial func(ctx context.Context, addr netip.AddrPort) (net.Conn, error)
	// ReportTimeout limits the time to read a load report or cache events; 0 means 1 s.
	ReportTimeout time.Duration
	// OrderTimeout limits the time of an order, such as loading a model; 0 means 5 min.
	OrderTimeout time.Duration
}

// Completion holds the parameters of a generation.
type Completion struct {
	Model string
	// Prompt is used when PromptTokens and Messages are empty.
	Prompt   string
	Messages []bwmodel.ChatMessage
	// PromptTokens are the prompt's tokens followed by those of earlier attempts.
	PromptTokens []bwmodel.TokenID
	MaxTokens    int
	Temperature  float64
	Seed         int64
	Stop         []string
	// Priority is the engine's scheduling priority; lower values run first.
	Priority int
}

// Chunk is one event of a generation's stream.
type Chunk struct {
	Tokens []bwmodel.Token
	// PromptTokens is set in the first event.
	PromptTokens []bwmodel.TokenID
	// CachedTokens is the number of prompt tokens found in the prefix cache; it is
	// set in the first event.
	CachedTokens int
	// Finish is set in the last event.
	Finish bwmodel.FinishReason
}

// Order is an instruction to load or unload a model or to change the engine's role.
type Order struct {
	Fence  bwmodel.Fence
	Load   string
	Unload string
	Role   string
}

// ErrorKind classifies errors by whether the request can have been run.
type ErrorKind int

// Kinds of errors.
const (
	// Unreachable means that no connection was made, so nothing was run.
	Unreachable ErrorKind = iota + 1
	// Failed means that the engine or the connection failed after the request may have
	// arrived, or that the response is invalid.
	Failed
	// Refused means that the engine did not run the request: its response has a
	// status other than 200, or the request could not be created.
	Refused
)

// Error is a failed request to an engine.
type Error struct {
	Kind ErrorKind
	// Status is the HTTP status of a Refused error if the engine responded, else 0.
	Status int
	Err    error
}

// Error returns the text of the cause.
func (err *Error) Error() string { return "engine: " + err.Err.Error() }

// Unwrap returns the cause.
func (err *Error) Unwrap() error { return err.Err }

const (
	defaultReportTimeout = time.Second
	defaultOrderTimeout  = 5 * time.Minute
	// maxEventBytes limits one server-sent event; the first contains the prompt's tokens.
	maxEventBytes = 8 << 20
	maxBodyBytes  = 16 << 20
	// maxErrorBytes limits the part of a response's body that is copied into an error.
	maxErrorBytes      = 1 << 10
	maxIdleEngineConns = 64
)

// NewEngineClient returns a client that has no open connections yet.
func NewEngineClient(cfg EngineClientConfig) *EngineClient {
	if cfg.Client == nil {
		tsp := &http.Transport{MaxIdleConnsPerHost: maxIdleEngineConns, DisableCompression: true}
		if cfg.Dial != nil {
			tsp.DialContext = cfg.dial
		}
		cfg.Client = &http.Client{Transport: bwtransport.New(bwtransport.Config{Base: tsp})}
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

// Generate starts a generation, or returns an *Error. The generation ends on Close
// or with the context.
func (eng *EngineClient) Generate(ctx context.Context, cmp Completion) (*Generation, error) {
	path, body := newCompletionRequest(cmp)
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

// ReadLoad requests the engine's load report. Errors are of type *Error.
func (eng *EngineClient) ReadLoad(ctx context.Context) (bwmodel.LoadReport, error) {
	var msg loadMessage
	if err := eng.getJSON(ctx, "/load", &msg); err != nil {
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

// ReadCacheEvents requests the cache events after a sequence number. Errors are of type
// *Error.
func (eng *EngineClient) ReadCacheEvents(ctx context.Context, after uint64) ([]bwmodel.CacheEvent, error) {
	var msg cacheMessage
	if err := eng.getJSON(ctx, "/cache_events?after="+strconv.FormatUint(after, 10), &msg); err != nil {
		return nil, err
	}
	evts := make([]bwmodel.CacheEvent, 0, len(msg.Events))
	for _, evt := range msg.Events {
		evts = append(evts, bwmodel.CacheEvent(evt))
	}
	return evts, nil
}

// SendOrder sends an order and waits until the engine has executed it. Errors are of type
// *Error.
func (eng *EngineClient) SendOrder(ctx context.Context, ord Order) error {
	ctx, cancel := context.WithTimeout(ctx, eng.cfg.OrderTimeout)
	defer cancel()
	rsp, err := eng.send(ctx, http.MethodPost, "/orders", orderMessage(ord))
	if err != nil {
		return err
	}
	defer func() { _ = rsp.Body.Close() }()
	if _, err := io.Copy(io.Discard, io.LimitReader(rsp.Body, maxBodyBytes)); err != nil {
		return &Error{Kind: Failed, Err: fmt.Errorf("order: %w", err)}
	}
	return nil
}

func (eng *EngineClient) getJSON(ctx context.Context, path string, msg any) error {
	ctx, cancel := context.WithTimeout(ctx, eng.cfg.ReportTimeout)
	defer cancel()
	rsp, err := eng.send(ctx, http.MethodGet, path, nil)
	if err != nil {
		return err
	}
	defer func() { _ = rsp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(rsp.Body, maxBodyBytes))
	if err == nil {
		err = json.Unmarshal(body, msg)
	}
	if err != nil {
		return &Error{Kind: Failed, Err: fmt.Errorf("%s: %w", path, err)}
	}
	return nil
}

// send sends a request and returns a response with status 200, or an *Error.
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
		return nil, &Error{Kind: sendErrorKind(err), Err: err}
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

// sendErrorKind returns Unreachable when the dial failed, so that nothing was run,
// and Failed for all other errors.
func sendErrorKind(err error) ErrorKind {
	if opErr, ok := errors.AsType[*net.OpError](err); ok && opErr.Op == "dial" {
		return Unreachable
	}
	return Failed
}
