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
	ans := &answer{
		eng: eng, body: &body, seq: seq, prompt: ids, chat: body.Messages != nil, created: eng.cfg.Now(),
		id: "cmpl-" + strconv.FormatUint(hashTokens(hashStart, ids), 16),
	}
	ans.serve(wrt, req)
}

// answer writes the output of one sequence.
type answer struct {
	eng     *Engine
	body    *completionRequest
	seq     *sequence
	prompt  []bwmodel.TokenID
	chat    bool
	created time.Time
	id      string
	count   int
	text    []byte
	logs    []tokenLogprob
	ids     []bwmodel.TokenID
}

func (ans *answer) serve(wrt http.ResponseWriter, req *http.Request) {
	if ans.body.Stream {
		wrt.Header().Set("Content-Type", "text/event-stream")
		wrt.WriteHeader(http.StatusOK)
		_ = http.NewResponseController(wrt).Flush()
	}
	for {
		select {
		case id, ok := <-ans.seq.out:
			if !ok {
				ans.finish(wrt)
				return
			}
			ans.add(id)
			if ans.body.Stream && !ans.writeChunk(wrt, nil) {
				ans.eng.cancel(req.Context(), ans.seq)
				return
			}
		case <-req.Context().Done():
			ans.eng.cancel(req.Context(), ans.seq)
			return
		}
	}
}

func (ans *answer) add(id bwmodel.TokenID) {
	ans.count++
	buf := Decode(id)
	ans.text = append(ans.text, buf...)
	ans.ids = append(ans.ids, id)
	nums := make([]int, len(buf))
	for ix, val := range buf {
		nums[ix] = int(val)
	}
	ans.logs = append(ans.logs, tokenLogprob{Token: string(buf), Bytes: nums})
}

func (ans *answer) finish(wrt http.ResponseWriter) {
	why := string(ans.seq.finish)
	if ans.body.Stream {
		if ans.writeChunk(wrt, &why) {
			_, _ = fmt.Fprint(wrt, "data: [DONE]\n\n")
		}
		return
	}
	rsp := ans.response(&why)
	rsp.Usage = ans.usage()
	writeJSON(wrt, http.StatusOK, rsp)
}

// writeChunk sends what was added since the last chunk and reports success.
func (ans *answer) writeChunk(wrt http.ResponseWriter, why *string) bool {
	rsp := ans.response(why)
	if why != nil || ans.count == 1 {
		rsp.Usage = ans.usage()
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

func (ans *answer) response(why *string) *completionResponse {
	chc := choice{FinishReason: why}
	txt := ans.takeText(why != nil)
	if !ans.chat {
		chc.Text = txt
	} else if ans.body.Stream {
		chc.Delta = &chatMessage{Role: "assistant", Content: txt}
	} else {
		chc.Message = &chatMessage{Role: "assistant", Content: txt}
	}
	if ans.body.ReturnTokenIDs {
		chc.TokenIDs = ans.ids
		if ans.count == len(ans.ids) {
			chc.PromptTokenIDs = ans.prompt
		}
	}
	if wanted := string(ans.body.Logprobs); wanted != "" && wanted != "null" && wanted != "false" {
		chc.Logprobs = &logprobs{Content: ans.logs}
	}
	ans.ids, ans.logs = nil, nil
	object := "text_completion"
	if ans.chat {
		object = "chat.completion"
		if ans.body.Stream {
			object = "chat.completion.chunk"
		}
	}
	return &completionResponse{
		ID:      ans.id,
		Object:  object,
		Created: ans.created.Unix(),
		Model:   ans.body.Model,
		Choices: []choice{chc},
	}
}

// takeText returns the whole characters, and at the end whatever remains, with
// U+FFFD for an unfinished one.
func (ans *answer) takeText(last bool) string {
	size := len(ans.text)
	for back := 1; !last && back < utf8.UTFMax && back <= len(ans.text); back++ {
		if start := len(ans.text) - back; utf8.RuneStart(ans.text[start]) {
			if !utf8.FullRune(ans.text[start:]) {
				size = start
			}
			break
		}
	}
	txt := string(ans.text[:size])
	ans.text = ans.text[size:]
	return strings.ToValidUTF8(txt, "\ufffd")
}

func (ans *answer) usage() *usage {
	return &usage{
		PromptTokens:     len(ans.prompt),
		CompletionTokens: ans.count,
		TotalTokens:      len(ans.prompt) + ans.count,
		Details:          promptDetails{CachedTokens: ans.seq.cached},
	}
}

func (eng *Engine) serveLoad(wrt http.ResponseWriter, req *http.Request) {
	if eng.frozenWait(req.Context()) != nil {
		return
	}
	var load bwmodel.LoadReport
	err := eng.control.Do(req.Context(), func(sch *scheduler) { load = sch.report(eng.cfg.Now()) })
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
	if eng.frozenWait(req.Context()) != nil {
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
		for _, evt := range sch.cache.published(after, eng.cfg.CacheEventGap, before) {
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
	err := eng.control.Do(req.Context(), func(sch *scheduler) { accepted = sch.order(ord) })
	if err != nil {
		writeError(wrt, http.StatusServiceUnavailable, err)
		return
	}
	if !accepted {
		writeError(wrt, http.StatusConflict, errors.New("fencing number is old"))
		return
	}
	writeJSON(wrt, http.StatusOK, orderAnswer{Fence: ord.Fence})
}

// promptTokens reads a prompt given as text, as tokens or as the turns of a chat.
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
