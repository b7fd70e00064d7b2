package bwfakeengine

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"bilberrywick/core/bwmodel"
)

const (
	maxBodyBytes     = 32 << 20
	maxOutputTokens  = 1 << 17
	defaultMaxTokens = 16
)

func (eng *Engine) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", eng.serveCompletion)
	mux.HandleFunc("POST /v1/chat/completions", eng.serveCompletion)
	mux.HandleFunc("GET /load", eng.serveLoad)
	mux.HandleFunc("GET /cache_events", eng.serveCacheEvents)
	mux.HandleFunc("POST /orders", eng.serveOrder)
	return mux
}

func (eng *Engine) serveCompletion(wrt http.ResponseWriter, req *http.Request) {
	var body completionRequest
	dec := json.NewDecoder(http.MaxBytesReader(wrt, req.Body, maxBodyBytes))
	if err := dec.Decode(&body); err != nil {
		writeError(wrt, http.StatusBadRequest, err)
		return
	}
	ids, err := promptTokens(&body)
	if err != nil {
		writeError(wrt, http.StatusBadRequest, err)
		return
	}
	models := eng.Models()
	if len(models) > 0 && !slices.Contains(models, body.Model) {
		writeError(wrt, http.StatusNotFound, fmt.Errorf("model %q is not loaded", body.Model))
		return
	}
	limit := body.MaxTokens
	if limit == 0 {
		limit = defaultMaxTokens
	}
	if limit < 0 || limit > maxOutputTokens {
		writeError(wrt, http.StatusBadRequest, fmt.Errorf("max_tokens %d is out of range", limit))
		return
	}
	seq := newSequence(ids, limit, body.Priority)
	if err := eng.submit(req.Context(), seq); err != nil {
		writeError(wrt, http.StatusServiceUnavailable, err)
		return
	}
	rwr := &responseWriter{
		eng: eng, body: &body, seq: seq, prompt: ids, chat: body.Messages != nil, created: eng.cfg.Now(),
		id: "cmpl-" + strconv.FormatUint(hashTokens(hashStart, ids), 16),
	}
	rwr.writeResponse(wrt, req)
}

// responseWriter writes the response for one sequence.
type responseWriter struct {
	eng             *Engine
	body            *completionRequest
	seq             *sequence
	prompt          []bwmodel.TokenID
	chat            bool
	created         time.Time
	id              string
	tokenCount      int
	pendingText     []byte
	pendingLogprobs []tokenLogprob
	pendingIDs      []bwmodel.TokenID
}

func (rwr *responseWriter) writeResponse(wrt http.ResponseWriter, req *http.Request) {
	if rwr.body.Stream {
		wrt.Header().Set("Content-Type", "text/event-stream")
		wrt.WriteHeader(http.StatusOK)
		_ = http.NewResponseController(wrt).Flush()
	}
	for {
		select {
		case id, ok := <-rwr.seq.output:
			if !ok {
				rwr.finish(wrt)
				return
			}
			rwr.addToken(id)
			if rwr.body.Stream && !rwr.writeChunk(wrt, nil) {
				rwr.eng.cancel(req.Context(), rwr.seq)
				return
			}
		case <-req.Context().Done():
			rwr.eng.cancel(req.Context(), rwr.seq)
			return
		}
	}
}

func (rwr *responseWriter) addToken(id bwmodel.TokenID) {
	rwr.tokenCount++
	buf := Decode(id)
	rwr.pendingText = append(rwr.pendingText, buf...)
	rwr.pendingIDs = append(rwr.pendingIDs, id)
	nums := make([]int, len(buf))
	for ix, val := range buf {
		nums[ix] = int(val)
	}
	rwr.pendingLogprobs = append(rwr.pendingLogprobs, tokenLogprob{Token: string(buf), Bytes: nums})
}

func (rwr *responseWriter) finish(wrt http.ResponseWriter) {
	reason := string(rwr.seq.finishReason)
	if rwr.body.Stream {
		if rwr.writeChunk(wrt, &reason) {
			_, _ = fmt.Fprint(wrt, "data: [DONE]\n\n")
		}
		return
	}
	rsp := rwr.response(&reason)
	rsp.Usage = rwr.usage()
	writeJSON(wrt, http.StatusOK, rsp)
}

// writeChunk sends the tokens added since the last chunk and reports success.
func (rwr *responseWriter) writeChunk(wrt http.ResponseWriter, reason *string) bool {
	rsp := rwr.response(reason)
	if reason != nil || rwr.tokenCount == 1 {
		rsp.Usage = rwr.usage()
	}
	buf, err := json.Marshal(rsp)
	if err != nil {
		return false
	}
	if _, err := fmt.Fprintf(wrt, "data: %s\n\n", buf); err != nil {
		return false
	}
	return http.NewResponseController(wrt).Flush() == nil
}

func (rwr *responseWriter) response(reason *string) *completionResponse {
	chc := choice{FinishReason: reason}
	txt := rwr.nextText(reason != nil)
	if !rwr.chat {
		chc.Text = txt
	} else if rwr.body.Stream {
		chc.Delta = &chatMessage{Role: "assistant", Content: txt}
	} else {
		chc.Message = &chatMessage{Role: "assistant", Content: txt}
	}
	if rwr.body.ReturnTokenIDs {
		chc.TokenIDs = rwr.pendingIDs
		if rwr.tokenCount == len(rwr.pendingIDs) {
			chc.PromptTokenIDs = rwr.prompt
		}
	}
	if wanted := string(rwr.body.Logprobs); wanted != "" && wanted != "null" && wanted != "false" {
		chc.Logprobs = &logprobs{Content: rwr.pendingLogprobs}
	}
	rwr.pendingIDs, rwr.pendingLogprobs = nil, nil
	object := "text_completion"
	if rwr.chat {
		object = "chat.completion"
		if rwr.body.Stream {
			object = "chat.completion.chunk"
		}
	}
	return &completionResponse{
		ID:      rwr.id,
		Object:  object,
		Created: rwr.created.Unix(),
		Model:   rwr.body.Model,
		Choices: []choice{chc},
	}
}

// nextText returns the complete characters of the pending text. In the last chunk
// it returns all pending text, with U+FFFD for an incomplete character.
func (rwr *responseWriter) nextText(last bool) string {
	size := len(rwr.pendingText)
	for back := 1; !last && back < utf8.UTFMax && back <= len(rwr.pendingText); back++ {
		if start := len(rwr.pendingText) - back; utf8.RuneStart(rwr.pendingText[start]) {
			if !utf8.FullRune(rwr.pendingText[start:]) {
				size = start
			}
			break
		}
	}
	txt := string(rwr.pendingText[:size])
	rwr.pendingText = rwr.pendingText[size:]
	return strings.ToValidUTF8(txt, "\ufffd")
}

func (rwr *responseWriter) usage() *usage {
	return &usage{
		PromptTokens:     len(rwr.prompt),
		CompletionTokens: rwr.tokenCount,
		TotalTokens:      len(rwr.prompt) + rwr.tokenCount,
		Details:          promptDetails{CachedTokens: rwr.seq.cachedTokens},
	}
}

func (eng *Engine) serveLoad(wrt http.ResponseWriter, req *http.Request) {
	if eng.awaitThaw(req.Context()) != nil {
		return
	}
	var load bwmodel.LoadReport
	err := eng.control.Do(req.Context(), func(sch *scheduler) { load = sch.laggedLoad(eng.cfg.Now()) })
	if err != nil {
		writeError(wrt, http.StatusServiceUnavailable, err)
		return
	}
	writeJSON(wrt, http.StatusOK, loadMessage{
		AgeMillis:    load.Age.Milliseconds(),
		Running:      load.Running,
		Waiting:      load.Waiting,
		Slots:        load.Slots,
		TokenRate:    load.TokenRate,
		Models:       load.Models,
		QueuedTokens: load.QueuedTokens,
	})
}

func (eng *Engine) serveCacheEvents(wrt http.ResponseWriter, req *http.Request) {
	if eng.awaitThaw(req.Context()) != nil {
		return
	}
	after, err := strconv.ParseUint(req.FormValue("after"), 10, 64)
	if err != nil {
		writeError(wrt, http.StatusBadRequest, err)
		return
	}
	msg := cacheMessage{Events: []cacheEventMessage{}}
	err = eng.control.Do(req.Context(), func(sch *scheduler) {
		before := eng.cfg.Now().Add(-eng.cfg.CacheEventDelay)
		for _, evt := range sch.cache.publishedEvents(after, eng.cfg.CacheEventGap, before) {
			msg.Events = append(msg.Events, cacheEventMessage(evt))
		}
	})
	if err != nil {
		writeError(wrt, http.StatusServiceUnavailable, err)
		return
	}
	writeJSON(wrt, http.StatusOK, msg)
}

func (eng *Engine) serveOrder(wrt http.ResponseWriter, req *http.Request) {
	var ord orderMessage
	if err := json.NewDecoder(http.MaxBytesReader(wrt, req.Body, maxBodyBytes)).Decode(&ord); err != nil {
		writeError(wrt, http.StatusBadRequest, err)
		return
	}
	if ord.Load != "" && eng.cfg.ModelLoadTime > 0 {
		select {
		case <-time.After(eng.cfg.ModelLoadTime):
		case <-req.Context().Done():
			return
		}
	}
	accepted := false
	err := eng.control.Do(req.Context(), func(sch *scheduler) { accepted = sch.applyOrder(ord) })
	if err != nil {
		writeError(wrt, http.StatusServiceUnavailable, err)
		return
	}
	if !accepted {
		writeError(wrt, http.StatusConflict, errors.New("fencing number is old"))
		return
	}
	writeJSON(wrt, http.StatusOK, orderResponse{Fence: ord.Fence})
}

// promptTokens returns the tokens of a prompt, which is a text, an array of tokens
// or the messages of a chat.
func promptTokens(body *completionRequest) ([]bwmodel.TokenID, error) {
	if body.Messages != nil {
		var bld strings.Builder
		for _, msg := range body.Messages {
			bld.WriteString(msg.Role + ": " + msg.Content + "\n")
		}
		return Tokenize(bld.String()), nil
	}
	var txt string
	if json.Unmarshal(body.Prompt, &txt) == nil {
		return Tokenize(txt), nil
	}
	var ids []bwmodel.TokenID
	if err := json.Unmarshal(body.Prompt, &ids); err != nil {
		return nil, errors.New("prompt is neither a text nor an array of tokens")
	}
	return ids, nil
}

func writeJSON(wrt http.ResponseWriter, status int, msg any) {
	wrt.Header().Set("Content-Type", "application/json")
	wrt.WriteHeader(status)
	_ = json.NewEncoder(wrt).Encode(msg)
}

func writeError(wrt http.ResponseWriter, status int, err error) {
	writeJSON(wrt, status, errorMessage{Error: errorDetail{Message: err.Error()}})
}
