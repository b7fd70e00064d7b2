package bwfakeengine_test

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"

	"bilberrywick/core/bwmodel"
	"bilberrywick/standin/bwfakeengine"
)

// completion is the part of a response without streaming that the tests read.
type completion struct {
	Object  string `json:"object"`
	Choices []struct {
		Text    string            `json:"text"`
		Message map[string]string `json:"message"`
		IDs     []bwmodel.TokenID `json:"token_ids"`
		Finish  string            `json:"finish_reason"`
	} `json:"choices"`
	Usage map[string]int `json:"usage"`
}

// complete sends a request without streaming and returns the response.
func (cl *cluster) complete(rt *routerNode, path string, body map[string]any) completion {
	cl.t.Helper()
	buf, err := json.Marshal(body)
	must(cl.t, err)
	req, err := http.NewRequestWithContext(cl.t.Context(), http.MethodPost, rt.web.URL+path, bytes.NewReader(buf))
	must(cl.t, err)
	req.Header.Set("Team", "alpha")
	rsp, err := http.DefaultClient.Do(req)
	must(cl.t, err)
	defer func() { _ = rsp.Body.Close() }()
	txt, err := io.ReadAll(rsp.Body)
	must(cl.t, err)
	var cmp completion
	if err := json.Unmarshal(txt, &cmp); err != nil || rsp.StatusCode != http.StatusOK || len(cmp.Choices) != 1 {
		cl.t.Fatalf("status %d, %v: %s", rsp.StatusCode, err, txt)
	}
	return cmp
}

func expectedText(prompt string, tokens int) string {
	want := ""
	for _, tok := range bwfakeengine.Continuation(bwfakeengine.Tokenize(prompt), tokens) {
		want += string(tok.Bytes)
	}
	return strings.ToValidUTF8(want, "\ufffd")
}

// engineKiller kills the first engine that has generated a number of tokens.
type engineKiller struct {
	cl     *cluster
	tokens uint64
}

func (kil *engineKiller) run() {
	for kil.cl.t.Context().Err() == nil {
		for _, nd := range kil.cl.nodes {
			if nd.engine.Counts().TokensGenerated >= kil.tokens {
				_ = nd.engine.Kill(kil.cl.t.Context())
				return
			}
		}
	}
}

// Guards against completions and chats without streaming that lose text when their
// engine fails.
func TestCompletionsWithoutStreaming(t *testing.T) {
	const tokens = 80
	tests := []struct {
		name, path, object, prompt string
		body                       map[string]any
	}{
		{
			"completion", "/v1/completions", "text_completion", "celá odpoveď",
			map[string]any{"prompt": "celá odpoveď"},
		},
		{
			"chat", "/v1/chat/completions", "chat.completion", "system: Píš verše.\nuser: የልደት ካርድ\n",
			map[string]any{"messages": []map[string]string{
				{"role": "system", "content": "Píš verše."}, {"role": "user", "content": "የልደት ካርድ"},
			}},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			// The freeze keeps the first engine from finishing before it is killed. The
			// second engine generates fewer tokens than that.
			engine := fastEngine
			engine.FreezeAfter = 50
			cl := newCluster(t, 2, 2, engine)
			kil := &engineKiller{cl: cl, tokens: engine.FreezeAfter}
			go kil.run()
			tt.body["model"], tt.body["max_tokens"], tt.body["return_token_ids"] = testModel, tokens, true
			cmp := cl.complete(cl.routers[0], tt.path, tt.body)
			cho := cmp.Choices[0]
			got := cho.Text + cho.Message["content"]
			if want := expectedText(tt.prompt, tokens); got != want {
				t.Errorf("text\n%q\nwant\n%q", got, want)
			}
			if cmp.Object != tt.object || cho.Finish != "length" || len(cho.IDs) != tokens || cmp.Usage["completion_tokens"] != tokens {
				t.Errorf("object %q, finish %q, %d ids and usage %v", cmp.Object, cho.Finish, len(cho.IDs), cmp.Usage)
			}
			if got := cl.resumes.Load(); got != 1 {
				t.Errorf("%d resumes, want 1", got)
			}
		})
	}
}

// Guards against a chat stream that differs from the complete response after its
// router fails.
func TestChatStream(t *testing.T) {
	const tokens = 80
	cl := newCluster(t, 2, 2, fastEngine)
	buf, err := json.Marshal(map[string]any{
		"model": testModel, "max_tokens": tokens, "stream": true, "return_token_ids": true,
		"messages": []map[string]string{{"role": "user", "content": "krstný list"}},
	})
	must(t, err)
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, cl.routers[0].web.URL+"/v1/chat/completions", bytes.NewReader(buf))
	must(t, err)
	cal := &caller{t: t}
	cal.open(req, "alpha")
	cal.read(20)
	cl.routers[0].kill()
	cal.read(allTokens)
	cal.reconnect(cl.routers[1])
	cal.read(allTokens)
	cal.checkResponse("user: krstný list\n", tokens)
}

// Guards against a stop sequence that is missed or delivered in part because the
// engine fails in the middle of it.
func TestStopSequenceSpansResume(t *testing.T) {
	const prompt, tokens, begin, length = "až po podpis", 120, 30, 16
	toks := bwfakeengine.Continuation(bwfakeengine.Tokenize(prompt), tokens)
	stop := ""
	for _, tok := range toks[begin : begin+length] {
		stop += string(tok.Bytes)
	}
	// Removes incomplete characters at both ends of the stop sequence.
	stop = strings.ToValidUTF8(stop, "")
	text := expectedText(prompt, tokens)
	want, _, found := strings.Cut(text, stop)
	if !found {
		t.Fatalf("%q does not occur in %q", stop, text)
	}
	// The freeze keeps the engine from completing the stop sequence before it is killed.
	engine := fastEngine
	engine.FreezeAfter = begin + length/2
	cl := newCluster(t, 2, 2, engine)
	kil := &engineKiller{cl: cl, tokens: engine.FreezeAfter}
	go kil.run()
	cmp := cl.complete(cl.routers[0], "/v1/completions", map[string]any{
		"model": testModel, "prompt": prompt, "max_tokens": tokens, "stop": []string{"nikdy", stop},
	})
	if cho := cmp.Choices[0]; cho.Text != want || cho.Finish != "stop" {
		t.Errorf("got %q and finish %q, want %q and stop", cho.Text, cho.Finish, want)
	}
	if got := cl.resumes.Load(); got != 1 {
		t.Errorf("%d resumes, want 1", got)
	}
	cl.awaitSequences(0)
}
