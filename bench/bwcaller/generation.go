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
	// Class is the class of work; 0 means the service's own.
	Class bwmodel.WorkClass
	// OnTokens is told of each event with the tokens that it carries; may be nil.
	OnTokens func(tokens int, at time.Time)
}

// Completion is what the caller received.
type Completion struct {
	Text   string
	Tokens int
	// TokenIDs are the tokens in the order of arrival.
	TokenIDs     []bwmodel.TokenID
	FinishReason bwmodel.FinishReason
	// FirstToken is the time from the start of the call to the first token.
	FirstToken time.Duration
	// LongestGap is the longest time between two events with tokens.
	LongestGap time.Duration
	Elapsed    time.Duration
	// Reconnects counts the times that the connection broke and another router
	// gave the rest.
	Reconnects int
}

// completion holds the fields that the caller sends and reads, in the names of
// the completions protocol.
type completion struct {
	Model          string `json:"model"`
	Prompt         string `json:"prompt"`
	MaxTokens      int    `json:"max_tokens"`
	Stream         bool   `json:"stream"`
	ReturnTokenIDs bool   `json:"return_token_ids"`
}

type chunk struct {
	Choices []struct {
		Text         string                `json:"text"`
		TokenIDs     []bwmodel.TokenID     `json:"token_ids"`
		FinishReason *bwmodel.FinishReason `json:"finish_reason"`
	} `json:"choices"`
}

var (
	errNoEnd     = errors.New("stream ended without a finish reason")
	errNoHandle  = errors.New("stream broke before the first event")
	errHandOver  = errors.New("router stops and asks to reconnect")
	errLateError = errors.New("generation failed after it began")
)

// Generate streams a completion; when its connection breaks it asks the other
// routers for the rest. It returns what was received with any error.
func (cal *Caller) Generate(ctx context.Context, gen GenerationRequest) (Completion, error) {
	body, err := json.Marshal(completion{
		Model:          gen.Model,
		Prompt:         gen.Prompt,
		MaxTokens:      gen.MaxTokens,
		Stream:         true,
		ReturnTokenIDs: true,
	})
	if err != nil {
		return Completion{}, err
	}
	rcv := &reception{gen: gen, now: cal.cfg.Now, began: cal.cfg.Now()}
	rcv.last = rcv.began
	req, err := cal.request(ctx, http.MethodPost, "/v1/completions", body)
	if err != nil {
		return Completion{}, err
	}
	req.Header.Set("Content-Type", bwhttp.JSONContentType)
	if gen.Class != 0 {
		req.Header.Set("Bilberrywick-Class", gen.Class.String())
	}
	err = cal.receive(req, rcv)
	if err != nil && cal.cfg.ReconnectTimeout > 0 && !final(err) {
		err = cal.reconnect(ctx, rcv, err)
	}
	rcv.answer.Elapsed = cal.cfg.Now().Sub(rcv.began)
	rcv.answer.Text = rcv.text.String()
	return rcv.answer, err
}

// final reports whether an error is the system's own answer rather than a
// broken connection.
func final(err error) bool {
	var refused *ProblemError
	return errors.As(err, &refused) || errors.Is(err, errLateError)
}

// reconnect asks for the rest until the time to do so is over.
func (cal *Caller) reconnect(ctx context.Context, rcv *reception, cause error) error {
	if rcv.id == "" {
		return errors.Join(errNoHandle, cause)
	}
	ctx, cancel := context.WithTimeout(ctx, cal.cfg.ReconnectTimeout)
	defer cancel()
	for {
		req, err := cal.request(ctx, http.MethodGet, "/v1/generations/"+rcv.id+"?return_token_ids=true", nil)
		if err != nil {
			return err
		}
		req.Header.Set("Last-Event-ID", rcv.id)
		rcv.answer.Reconnects++
		err = cal.receive(req, rcv)
		if err == nil || errors.Is(err, errLateError) {
			return err
		}
		tmr := time.NewTimer(reconnectPause)
		select {
		case <-tmr.C:
		case <-ctx.Done():
			tmr.Stop()
			return fmt.Errorf("reconnect: %w", errors.Join(err, cause))
		}
	}
}

// reception is what has arrived of one answer.
type reception struct {
	gen    GenerationRequest
	now    func() time.Time
	began  time.Time
	last   time.Time
	id     string
	text   strings.Builder
	answer Completion
	// heard is told of each event; may be nil.
	heard func()
}

// receive reads one response to its end.
func (cal *Caller) receive(req *http.Request, rcv *reception) error {
	ctx, cancel := context.WithCancel(req.Context())
	defer cancel()
	req = req.WithContext(ctx)
	if cal.cfg.StallTimeout > 0 {
		silence := time.AfterFunc(cal.cfg.StallTimeout, cancel)
		defer silence.Stop()
		rcv.heard = func() { silence.Reset(cal.cfg.StallTimeout) }
	}
	rsp, err := cal.web.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = rsp.Body.Close() }()
	if rsp.StatusCode != http.StatusOK {
		return readProblem(rsp)
	}
	events := bwhttp.NewEventReader(bwhttp.EventReaderConfig{Source: rsp.Body})
	for {
		event, err := events.Next()
		if errors.Is(err, io.EOF) && rcv.answer.FinishReason != "" {
			return nil
		}
		if errors.Is(err, io.EOF) {
			return errNoEnd
		}
		if err != nil {
			return err
		}
		if rcv.heard != nil {
			rcv.heard()
		}
		if err := rcv.take(event); err != nil {
			return err
		}
	}
}

func (rcv *reception) take(event *bwhttp.Event) error {
	if event.Name == "error" {
		return fmt.Errorf("%w: %s", errLateError, event.Data)
	}
	if event.Name == "reconnect" {
		rcv.id = event.ID
		return errHandOver
	}
	if string(event.Data) == "[DONE]" {
		return nil
	}
	var chk chunk
	if err := json.Unmarshal(event.Data, &chk); err != nil {
		return fmt.Errorf("event: %w", err)
	}
	if event.ID != "" {
		rcv.id = event.ID
	}
	for _, choice := range chk.Choices {
		rcv.text.WriteString(choice.Text)
		rcv.answer.TokenIDs = append(rcv.answer.TokenIDs, choice.TokenIDs...)
		rcv.count(len(choice.TokenIDs))
		if choice.FinishReason != nil {
			rcv.answer.FinishReason = *choice.FinishReason
		}
	}
	return nil
}

func (rcv *reception) count(tokens int) {
	if tokens == 0 {
		return
	}
	now := rcv.now()
	if rcv.answer.Tokens == 0 {
		rcv.answer.FirstToken = now.Sub(rcv.began)
	} else {
		rcv.answer.LongestGap = max(rcv.answer.LongestGap, now.Sub(rcv.last))
	}
	rcv.last = now
	rcv.answer.Tokens += tokens
	if rcv.gen.OnTokens != nil {
		rcv.gen.OnTokens(tokens, now)
	}
}
