package bwrouter

import (
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"bilberrywick/core/bwmodel"
	"bilberrywick/io/bwhttp"
)

// classHeader overrides the service's class of work.
const classHeader = "Bilberrywick-Class"

const (
	maxCompletionBytes = 8 << 20
	defaultMaxTokens   = 16
	// maxMaxTokens limits the memory of one record.
	maxMaxTokens = 1 << 17
)

// completionRequest is a caller's request, with the field names of the completions protocol.
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

// stopList is a list of stop sequences; in JSON a single text is also accepted.
type stopList []string

// UnmarshalJSON decodes one text or a list of texts.
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

func readCompletion(wrt http.ResponseWriter, req *http.Request, chat bool) (*completionRequest, *bwhttp.Problem) {
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
	return nil, &bwhttp.Problem{Status: status, Title: "Malformed request", Detail: err.Error(), Outcome: bwhttp.OutcomeNotRun}
}

func (cmp *completionRequest) check(chat bool) error {
	if cmp.MaxTokens == 0 {
		cmp.MaxTokens = defaultMaxTokens
	}
	switch {
	case cmp.Model == "":
		return errors.New("model is missing")
	case chat && len(cmp.Messages) == 0:
		return errors.New("messages are missing")
	case !chat && cmp.Prompt == "":
		return errors.New("prompt is missing")
	case chat == (cmp.Prompt != ""):
		return errors.New("prompt and messages belong to different calls")
	case cmp.MaxTokens < 0 || cmp.MaxTokens > maxMaxTokens:
		return errors.New("max_tokens is out of range")
	case cmp.Choices > 1:
		return errors.New("n above 1 is not supported")
	case cmp.Echo:
		return errors.New("echo is not supported")
	case len(cmp.Logprobs) > 0 && string(cmp.Logprobs) != "null" && string(cmp.Logprobs) != "false":
		return errors.New("logprobs are not supported")
	}
	return nil
}

func (cmp *completionRequest) spec(team bwmodel.Team, svc bwmodel.Service, class string, now time.Time) (bwmodel.GenerationSpec, *bwhttp.Problem) {
	spec := bwmodel.GenerationSpec{
		Team:        team.Name,
		Service:     svc.Name,
		Class:       svc.Class,
		Model:       cmp.Model,
		Prompt:      cmp.Prompt,
		MaxTokens:   cmp.MaxTokens,
		Temperature: cmp.Temperature,
		Seed:        cmp.Seed,
		Stop:        cmp.Stop,
		Created:     now,
	}
	for _, msg := range cmp.Messages {
		spec.Messages = append(spec.Messages, bwmodel.ChatMessage(msg))
	}
	if class == "" {
		return spec, nil
	}
	var err error
	if spec.Class, err = bwmodel.ParseWorkClass(class); err != nil {
		prb := bwhttp.Problem{Status: http.StatusBadRequest, Title: "Malformed request", Detail: err.Error(), Outcome: bwhttp.OutcomeNotRun}
		return spec, &prb
	}
	return spec, nil
}
