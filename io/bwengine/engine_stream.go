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

// Generation is the response stream of a running generation. It is not safe for
// concurrent use.
type Generation struct {
	body           io.ReadCloser
	scn            *bufio.Scanner
	cancel         context.CancelFunc
	promptReceived bool
	finished       bool
}

var errTruncated = errors.New("stream ended before the generation did")

// Next returns the next chunk. It returns io.EOF after the last chunk, and an *Error
// when the stream fails or ends early.
func (gen *Generation) Next() (Chunk, error) {
	if gen.finished {
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
		chunk, err := gen.decode(data)
		if err != nil {
			return Chunk{}, &Error{Kind: Failed, Err: err}
		}
		return chunk, nil
	}
	err := gen.scn.Err()
	if err == nil {
		err = errTruncated
	}
	return Chunk{}, &Error{Kind: Failed, Err: err}
}

// Close cancels the generation on the engine.
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
	logprobs := chc.Logprobs.Content
	if len(logprobs) != len(chc.TokenIDs) {
		return Chunk{}, fmt.Errorf("chunk has bytes for %d of %d tokens", len(logprobs), len(chc.TokenIDs))
	}
	var chunk Chunk
	for ix, id := range chc.TokenIDs {
		chunk.Tokens = append(chunk.Tokens, bwmodel.Token{ID: id, Bytes: logprobs[ix].bytes()})
	}
	if !gen.promptReceived {
		chunk.PromptTokens = chc.PromptTokenIDs
		chunk.CachedTokens = msg.Usage.Details.CachedTokens
		gen.promptReceived = true
	}
	chunk.Finish = bwmodel.FinishReason(chc.FinishReason)
	gen.finished = chunk.Finish != ""
	return chunk, nil
}

// newCompletionRequest returns the path and the body of a request. A prompt given as
// tokens is always sent as a plain completion, because the tokens already include
// the chat template.
func newCompletionRequest(cmp Completion) (string, completionRequest) {
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
	// Logprobs is a number in plain completions and a bool in chat completions.
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

// byteList is a JSON array of numbers from 0 to 255; nil represents null.
type byteList []byte

var errByteList = errors.New("bytes of a token are no list of numbers from 0 to 255")

// UnmarshalJSON parses the numbers without allocating a slice of integers per token.
func (bl *byteList) UnmarshalJSON(data []byte) error {
	if string(data) == "null" {
		return nil
	}
	inner, hasOpen := bytes.CutPrefix(data, []byte{'['})
	inner, hasClose := bytes.CutSuffix(inner, []byte{']'})
	if !hasOpen || !hasClose {
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

// bytes returns the token's bytes, or its text if the engine sends none. The text then
// consists of complete characters.
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
