package bwrouter

import (
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"strconv"
	"time"

	"bilberrywick/core/bwmodel"
)

// classHeader states the class of work when it differs from the service's own.
const classHeader = "Bilberrywick-Class"

const (
	maxCompletionBytes = 8 << 20
	defaultMaxTokens   = 16
	// maxMaxTokens bounds the memory of one record.
	maxMaxTokens = 1 << 17
)

// completionRequest is a caller's request, in the names of the completions protocol.
type completionRequest struct {
	Model          string          `json:"model"`
	Prompt         string          `json:"prompt"`
	Messages       []chatMessage   `json:"messages"`
	MaxTokens      int             `json:"max_tokens"`
	Temperature    float64         `json:"temperature"`
	Seed           int64           `json:"seed"`
	Stop           stopList        `json:"stop"`
	Stream         bool            `json:"stream"`
	ReturnTokenIDs bool            `json:"return_token_ids"`
	Choices        int             `json:"n"`
	Echo           bool            `json:"echo"`
	Logprobs       json.RawMessage `json:"logprobs"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// stopList is one text or a list of texts.
type stopList []string

// UnmarshalJSON reads one text or a list of texts.
func (stl *stopList) UnmarshalJSON(buf []byte) error {
	var one string
	if json.Unmarshal(buf, &one) == nil {
		if one != "" {
			*stl = stopList{one}
		}
		return nil
	}
	return json.Unmarshal(buf, (*[]string)(stl))
}

type completionResponse struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Created int64              `json:"created"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   *completionUsage   `json:"usage,omitempty"`
}

type completionChoice struct {
	Index        int                   `json:"index"`
	Text         *string               `json:"text,omitempty"`
	Delta        *chatMessage          `json:"delta,omitempty"`
	Message      *chatMessage          `json:"message,omitempty"`
	TokenIDs     []bwmodel.TokenID     `json:"token_ids,omitempty"`
	FinishReason *bwmodel.FinishReason `json:"finish_reason"`
}

type completionUsage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// outcome tells a caller what became of its request.
type outcome string

const (
	outcomeNotRun  outcome = "NotRun"
	outcomeUnknown outcome = "Unknown"
)

// problem is an error in the form of RFC 9457.
type problem struct {
	Type       string        `json:"type"`
	Title      string        `json:"title"`
	Status     int           `json:"status"`
	Detail     string        `json:"detail,omitempty"`
	Outcome    outcome       `json:"Outcome"`
	RetryAfter time.Duration `json:"-"`
}

func writeProblem(wrt http.ResponseWriter, prb problem) {
	prb.Type = "about:blank"
	wrt.Header().Set("Content-Type", "application/problem+json")
	if prb.RetryAfter > 0 {
		wrt.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(prb.RetryAfter.Seconds()))))
	}
	wrt.WriteHeader(prb.Status)
	_ = json.NewEncoder(wrt).Encode(prb)
}

func readCompletion(wrt http.ResponseWriter, req *http.Request, chat bool) (*completionRequest, *problem) {
	body := new(completionRequest)
	err := json.NewDecoder(http.MaxBytesReader(wrt, req.Body, maxCompletionBytes)).Decode(body)
	if err == nil {
		err = body.check(chat)
	}
	if err == nil {
		return body, nil
	}
	status := http.StatusBadRequest
	if _, ok := errors.AsType[*http.MaxBytesError](err); ok {
		status = http.StatusRequestEntityTooLarge
	}
	return nil, &problem{Status: status, Title: "Malformed request", Detail: err.Error(), Outcome: outcomeNotRun}
}

func (body *completionRequest) check(chat bool) error {
	if body.MaxTokens == 0 {
		body.MaxTokens = defaultMaxTokens
	}
	switch {
	case body.Model == "":
		return errors.New("model is missing")
	case chat && len(body.Messages) == 0:
		return errors.New("messages are missing")
	case !chat && body.Prompt == "":
		return errors.New("prompt is missing")
	case chat == (body.Prompt != ""):
		return errors.New("prompt and messages belong to different calls")
	case body.MaxTokens < 0 || body.MaxTokens > maxMaxTokens:
		return errors.New("max_tokens is out of range")
	case body.Choices > 1:
		return errors.New("n above 1 is not supported")
	case body.Echo:
		return errors.New("echo is not supported")
	case len(body.Logprobs) > 0 && string(body.Logprobs) != "null" && string(body.Logprobs) != "false":
		return errors.New("logprobs are not supported")
	}
	return nil
}

func (body *completionRequest) spec(team bwmodel.Team, svc bwmodel.Service, class string, now time.Time) (bwmodel.GenerationSpec, *problem) {
	spec := bwmodel.GenerationSpec{
		Team:        team.Name,
		Service:     svc.Name,
		Class:       svc.Class,
		Model:       body.Model,
		Prompt:      body.Prompt,
		MaxTokens:   body.MaxTokens,
		Temperature: body.Temperature,
		Seed:        body.Seed,
		Stop:        body.Stop,
		Created:     now,
	}
	for _, msg := range body.Messages {
		spec.Messages = append(spec.Messages, bwmodel.ChatMessage(msg))
	}
	if class == "" {
		return spec, nil
	}
	var err error
	if spec.Class, err = bwmodel.ParseWorkClass(class); err != nil {
		prb := problem{Status: http.StatusBadRequest, Title: "Malformed request", Detail: err.Error(), Outcome: outcomeNotRun}
		return spec, &prb
	}
	return spec, nil
}
