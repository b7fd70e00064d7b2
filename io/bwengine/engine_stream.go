package bwengine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"

	"bilberrywick/core/bwmodel"
)

// Generation is a running stream of an engine's output. It belongs to one goroutine.
type Generation struct {
	body   io.ReadCloser
	scn    *bufio.Scanner
	cancel context.CancelFunc
	begun  bool
	ended  bool
}

var errCutOff = errors.New("stream ended before the generation did")

// Next returns the next message; io.EOF follows the last one, and an *Error
// tells that the stream broke.
func (gen *Generation) Next() (Chunk, error) {
	if gen.ended {
		return Chunk{}, io.EOF
	}
	for gen.scn.Scan() {
		data, ok := bytes.CutPrefix(gen.scn.Bytes(), []byte("data:"))
		if !ok {
			continue
		}
		data = bytes.TrimSpace(data)
		if bytes.Equal(data, []byte("[DONE]")) {
			break
		}
		out, err := gen.decode(data)
		if err != nil {
			return Chunk{}, &Error{Kind: Failed, Err: err}
		}
		return out, nil
	}
	err := gen.scn.Err()
	if err == nil {
		err = errCutOff
	}
	return Chunk{}, &Error{Kind: Failed, Err: err}
}

// Close ends the generation on the engine.
func (gen *Generation) Close() {
	gen.cancel()
	_ = gen.body.Close()
}

func (gen *Generation) decode(data []byte) (Chunk, error) {
	var msg chunkMessage
	if err := json.Unmarshal(data, &msg); err != nil {
		return Chunk{}, fmt.Errorf("chunk: %w", err)
	}
	if len(msg.Choices) != 1 {
		return Chunk{}, fmt.Errorf("chunk has %d choices, want 1", len(msg.Choices))
	}
	chc := msg.Choices[0]
	logs := chc.Logprobs.Content
	if len(logs) != len(chc.TokenIDs) {
		return Chunk{}, fmt.Errorf("chunk has bytes for %d of %d tokens", len(logs), len(chc.TokenIDs))
	}
	var out Chunk
	for ix, id := range chc.TokenIDs {
		out.Tokens = append(out.Tokens, bwmodel.Token{ID: id, Bytes: logs[ix].bytes()})
	}
	if !gen.begun {
		out.PromptTokens = chc.PromptTokenIDs
		out.CachedTokens = msg.Usage.Details.CachedTokens
		gen.begun = true
	}
	out.Finish = bwmodel.FinishReason(chc.FinishReason)
	gen.ended = out.Finish != ""
	return out, nil
}

// completionBody returns the path and the body of a call; a prompt in tokens
// is always a plain completion, since a chat's template is part of the tokens.
func completionBody(cmp Completion) (string, completionRequest) {
	body := completionRequest{
		Model:          cmp.Model,
		MaxTokens:      cmp.MaxTokens,
		Temperature:    cmp.Temperature,
		Seed:           cmp.Seed,
		Stop:           cmp.Stop,
		Priority:       cmp.Priority,
		Stream:         true,
		ReturnTokenIDs: true,
		StreamOptions:  streamOptions{IncludeUsage: true},
	}
	if len(cmp.PromptTokens) > 0 {
		body.Prompt = cmp.PromptTokens
		body.Logprobs = 1
		return "/v1/completions", body
	}
	if len(cmp.Messages) > 0 {
		for _, msg := range cmp.Messages {
			body.Messages = append(body.Messages, chatMessage(msg))
		}
		body.Logprobs = true
		return "/v1/chat/completions", body
	}
	body.Prompt = cmp.Prompt
	body.Logprobs = 1
	return "/v1/completions", body
}

type completionRequest struct {
	Model          string        `json:"model"`
	Prompt         any           `json:"prompt,omitempty"`
	Messages       []chatMessage `json:"messages,omitempty"`
	MaxTokens      int           `json:"max_tokens"`
	Temperature    float64       `json:"temperature"`
	Seed           int64         `json:"seed"`
	Stop           []string      `json:"stop,omitempty"`
	Priority       int           `json:"priority"`
	Stream         bool          `json:"stream"`
	StreamOptions  streamOptions `json:"stream_options"`
	ReturnTokenIDs bool          `json:"return_token_ids"`
	// Logprobs is a number in plain completions and a flag in chats.
	Logprobs any `json:"logprobs"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type chunkMessage struct {
	Choices []struct {
		TokenIDs       []bwmodel.TokenID `json:"token_ids"`
		PromptTokenIDs []bwmodel.TokenID `json:"prompt_token_ids"`
		FinishReason   string            `json:"finish_reason"`
		Logprobs       struct {
			Content []tokenLogprob `json:"content"`
		} `json:"logprobs"`
	} `json:"choices"`
	Usage struct {
		Details struct {
			CachedTokens int `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	} `json:"usage"`
}

type tokenLogprob struct {
	Token string   `json:"token"`
	Bytes byteList `json:"bytes"`
}

// byteList is a list of numbers from 0 to 255; nil stands for null.
type byteList []byte

var errByteList = errors.New("bytes of a token are no list of numbers from 0 to 255")

// UnmarshalJSON reads the numbers without a slice of integers for each token.
func (bl *byteList) UnmarshalJSON(data []byte) error {
	if string(data) == "null" {
		return nil
	}
	inner, open := bytes.CutPrefix(data, []byte{'['})
	inner, closed := bytes.CutSuffix(inner, []byte{']'})
	if !open || !closed {
		return errByteList
	}
	list := make(byteList, 0, bytes.Count(inner, []byte{','})+1)
	for more := len(bytes.TrimSpace(inner)) > 0; more; {
		var num []byte
		num, inner, more = bytes.Cut(inner, []byte{','})
		val, err := strconv.ParseUint(string(bytes.TrimSpace(num)), 10, 8)
		if err != nil {
			return errByteList
		}
		list = append(list, byte(val))
	}
	*bl = list
	return nil
}

// bytes returns the token's bytes; an engine that gives none has a token of whole characters.
func (lgp tokenLogprob) bytes() []byte {
	if lgp.Bytes == nil {
		return []byte(lgp.Token)
	}
	return lgp.Bytes
}

type loadMessage struct {
	AgeMillis    int64    `json:"age_ms"`
	Running      int      `json:"running"`
	Waiting      int      `json:"waiting"`
	Slots        int      `json:"slots"`
	TokenRate    float64  `json:"token_rate"`
	Models       []string `json:"models"`
	QueuedTokens int      `json:"queued_tokens"`
}

type cacheMessage struct {
	Events []cacheEventMessage `json:"events"`
}

type cacheEventMessage struct {
	Sequence uint64 `json:"sequence"`
	Block    uint64 `json:"block"`
	Evicted  bool   `json:"evicted"`
}

type orderMessage struct {
	Fence  bwmodel.Fence `json:"fence"`
	Load   string        `json:"load,omitempty"`
	Unload string        `json:"unload,omitempty"`
	Role   string        `json:"role,omitempty"`
}
