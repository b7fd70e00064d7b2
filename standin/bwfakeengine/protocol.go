package bwfakeengine

import (
	"encoding/json"

	"bilberrywick/core/bwmodel"
)

// completionRequest is the request body of the completions and the chat
// completions endpoint.
type completionRequest struct {
	Model          string          `json:"model"`
	Prompt         json.RawMessage `json:"prompt"`
	Messages       []chatMessage   `json:"messages"`
	MaxTokens      int             `json:"max_tokens"`
	Stream         bool            `json:"stream"`
	Seed           int64           `json:"seed"`
	Stop           []string        `json:"stop"`
	Priority       int             `json:"priority"`
	ReturnTokenIDs bool            `json:"return_token_ids"`
	Logprobs       json.RawMessage `json:"logprobs"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type completionResponse struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

type choice struct {
	Index          int               `json:"index"`
	Text           string            `json:"text"`
	Delta          *chatMessage      `json:"delta,omitempty"`
	Message        *chatMessage      `json:"message,omitempty"`
	Logprobs       *logprobs         `json:"logprobs"`
	TokenIDs       []bwmodel.TokenID `json:"token_ids,omitempty"`
	PromptTokenIDs []bwmodel.TokenID `json:"prompt_token_ids,omitempty"`
	FinishReason   *string           `json:"finish_reason"`
}

type logprobs struct {
	Content []tokenLogprob `json:"content"`
}

type tokenLogprob struct {
	Token   string  `json:"token"`
	Logprob float64 `json:"logprob"`
	Bytes   []int   `json:"bytes"`
}

type usage struct {
	PromptTokens     int           `json:"prompt_tokens"`
	CompletionTokens int           `json:"completion_tokens"`
	TotalTokens      int           `json:"total_tokens"`
	Details          promptDetails `json:"prompt_tokens_details"`
}

type promptDetails struct {
	CachedTokens int `json:"cached_tokens"`
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
	Load   string        `json:"load"`
	Unload string        `json:"unload"`
	Role   string        `json:"role"`
	Fence  bwmodel.Fence `json:"fence"`
}

type orderResponse struct {
	Fence bwmodel.Fence `json:"fence"`
}

type errorMessage struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string `json:"message"`
}
