package bwcaller

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"bilberrywick/core/bwmodel"
	"bilberrywick/io/bwhttp"
)

// GenerationRequest is a request for a streamed completion.
type GenerationRequest struct {
	Model     string
	Prompt    string
	MaxTokens int
	// Class is the work class; 0 means the service's default.
	Class bwmodel.WorkClass
	// OnTokens is called for each event with tokens, with their number and the time
	// of arrival; it may be nil.
	OnTokens func(tokens int, at time.Time)
}

// Completion is the output that the caller received and its timing.
type Completion struct {
	Text   string
	Tokens int
	// TokenIDs are the tokens in the order of arrival.
	TokenIDs     []bwmodel.TokenID
	FinishReason bwmodel.FinishReason
	// FirstToken is the time from the start of Generate to the first token.
	FirstToken time.Duration
	// LongestGap is the longest time between two events with tokens.
	LongestGap time.Duration
	Elapsed    time.Duration
	// Reconnects counts the attempts to resume the stream after its connection
	// broke.
	Reconnects int
}

// completionRequest is the request body of the completions protocol.
type completionRequest struct {
	Model          string `json:"model"`
	Prompt         string `json:"prompt"`
	MaxTokens      int    `json:"max_tokens"`
	Stream         bool   `json:"stream"`
	ReturnTokenIDs bool   `json:"return_token_ids"`
}

// completionChunk is the data of one event of the completions protocol.
type completionChunk struct {
	Choices []struct {
		Text         string                `json:"text"`
		TokenIDs     []bwmodel.TokenID     `json:"token_ids"`
		FinishReason *bwmodel.FinishReason `json:"finish_reason"`
	} `json:"choices"`
}

var (
	errNoFinishReason     = errors.New("stream ended without a finish reason")
	errNoHandle           = errors.New("stream broke before the first event")
	errReconnectRequested = errors.New("router stops and asks to reconnect")
	errGenerationFailed   = errors.New("generation failed after it began")
)

// Generate streams a completion. If the connection breaks, it resumes the stream
// at the next router until ReconnectTimeout. It returns the received output along
// with any error.
func (cal *Caller) Generate(ctx context.Context, gen GenerationRequest) (Completion, error) {
	body, err := json.Marshal(completionRequest{
		Model:          gen.Model,
		Prompt:         gen.Prompt,
		MaxTokens:      gen.MaxTokens,
		Stream:         true,
		ReturnTokenIDs: true,
	})
	if err != nil {
		return Completion{}, err
	}
	rcv := &streamReceiver{gen: gen, now: cal.cfg.Now, start: cal.cfg.Now()}
	rcv.lastTokens = rcv.start
	req, err := cal.newRequest(ctx, http.MethodPost, "/v1/completions", body)
	if err != nil {
		return Completion{}, err
	}
	req.Header.Set("Content-Type", bwhttp.JSONContentType)
	if gen.Class != 0 {
		req.Header.Set("Bilberrywick-Class", gen.Class.String())
	}
	err = cal.receive(req, rcv)
	if err != nil && cal.cfg.ReconnectTimeout > 0 && !isFinal(err) {
		err = cal.reconnect(ctx, rcv, err)
	}
	rcv.completion.Elapsed = cal.cfg.Now().Sub(rcv.start)
	rcv.completion.Text = rcv.text.String()
	return rcv.completion, err
}

// isFinal reports whether an error is a response of the router, as opposed to a
// broken connection.
func isFinal(err error) bool {
	var problem *ProblemError
	return errors.As(err, &problem) || errors.Is(err, errGenerationFailed)
}

// reconnect requests the rest of the stream from the routers in turn until it
// ends or the reconnect timeout expires.
func (cal *Caller) reconnect(ctx context.Context, rcv *streamReceiver, cause error) error {
	if rcv.lastEventID == "" {
		return errors.Join(errNoHandle, cause)
	}
	ctx, cancel := context.WithTimeout(ctx, cal.cfg.ReconnectTimeout)
	defer cancel()
	for {
		req, err := cal.newRequest(ctx, http.MethodGet, "/v1/generations/"+rcv.lastEventID+"?return_token_ids=true", nil)
		if err != nil {
			return err
		}
		req.Header.Set("Last-Event-ID", rcv.lastEventID)
		rcv.completion.Reconnects++
		err = cal.receive(req, rcv)
		if err == nil || errors.Is(err, errGenerationFailed) {
			return err
		}
		tmr := time.NewTimer(reconnectDelay)
		select {
		case <-tmr.C:
		case <-ctx.Done():
			tmr.Stop()
			return fmt.Errorf("reconnect: %w", errors.Join(err, cause))
		}
	}
}

// streamReceiver assembles one completion from the events of its responses.
type streamReceiver struct {
	gen         GenerationRequest
	now         func() time.Time
	start       time.Time
	lastTokens  time.Time
	lastEventID string
	text        strings.Builder
	completion  Completion
	// onEvent is called for each event; it may be nil.
	onEvent func()
}

// receive sends a request and reads its event stream to the end.
func (cal *Caller) receive(req *http.Request, rcv *streamReceiver) error {
	ctx, cancel := context.WithCancel(req.Context())
	defer cancel()
	req = req.WithContext(ctx)
	if cal.cfg.StallTimeout > 0 {
		stall := time.AfterFunc(cal.cfg.StallTimeout, cancel)
		defer stall.Stop()
		rcv.onEvent = func() { stall.Reset(cal.cfg.StallTimeout) }
	}
	rsp, err := cal.client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = rsp.Body.Close() }()
	if rsp.StatusCode != http.StatusOK {
		return decodeProblem(rsp)
	}
	events := bwhttp.NewEventReader(bwhttp.EventReaderConfig{Source: rsp.Body})
	for {
		event, err := events.Next()
		if errors.Is(err, io.EOF) && rcv.completion.FinishReason != "" {
			return nil
		}
		if errors.Is(err, io.EOF) {
			return errNoFinishReason
		}
		if err != nil {
			return err
		}
		if rcv.onEvent != nil {
			rcv.onEvent()
		}
		if err := rcv.handleEvent(event); err != nil {
			return err
		}
	}
}

func (rcv *streamReceiver) handleEvent(event *bwhttp.Event) error {
	if event.Name == "error" {
		return fmt.Errorf("%w: %s", errGenerationFailed, event.Data)
	}
	if event.Name == "reconnect" {
		rcv.lastEventID = event.ID
		return errReconnectRequested
	}
	if string(event.Data) == "[DONE]" {
		return nil
	}
	var chk completionChunk
	if err := json.Unmarshal(event.Data, &chk); err != nil {
		return fmt.Errorf("event: %w", err)
	}
	if event.ID != "" {
		rcv.lastEventID = event.ID
	}
	for _, choice := range chk.Choices {
		rcv.text.WriteString(choice.Text)
		rcv.completion.TokenIDs = append(rcv.completion.TokenIDs, choice.TokenIDs...)
		rcv.countTokens(len(choice.TokenIDs))
		if choice.FinishReason != nil {
			rcv.completion.FinishReason = *choice.FinishReason
		}
	}
	return nil
}

func (rcv *streamReceiver) countTokens(tokens int) {
	if tokens == 0 {
		return
	}
	now := rcv.now()
	if rcv.completion.Tokens == 0 {
		rcv.completion.FirstToken = now.Sub(rcv.start)
	} else {
		rcv.completion.LongestGap = max(rcv.completion.LongestGap, now.Sub(rcv.lastTokens))
	}
	rcv.lastTokens = now
	rcv.completion.Tokens += tokens
	if rcv.gen.OnTokens != nil {
		rcv.gen.OnTokens(tokens, now)
	}
}
