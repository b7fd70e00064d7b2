package bwsoak

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/url"
	"slices"
	"strings"
	"time"
	"unicode/utf8"

	"bilberrywick/bench/bwcaller"
	"bilberrywick/cmd/bwdev"
	"bilberrywick/core/bwmodel"
	"bilberrywick/core/bwretry"
	"bilberrywick/standin/bwfakeapp"
	"bilberrywick/standin/bwfakeengine"
)

const (
	modelName   = "pisar-model"
	serviceName = "objednavky-pult"
	minTokens   = 8
	maxTokens   = 70
	// requestTime bounds one generation, reconnects included.
	requestTime = 60 * time.Second
	lookupTime  = 15 * time.Second
)

// generationWorker streams generations one after the other.
type generationWorker struct {
	ses *session
	rng *rand.Rand
}

func (gw *generationWorker) loop(ctx context.Context) {
	defer gw.ses.workers.Done()
	for !gw.ses.stopped(ctx) {
		number := gw.ses.generations.Add(1)
		gw.generate(ctx, number)
	}
}

func (gw *generationWorker) generate(ctx context.Context, number int64) {
	ctx, cancel := context.WithTimeout(ctx, requestTime)
	defer cancel()
	tokens := minTokens + gw.rng.IntN(maxTokens-minTokens)
	// Each prompt is unique, so that an answer to another request is noticed.
	prompt := fmt.Sprintf("Žiadosť %d: text na lyžičku pre Ľubicu, ለስልክ ቁጥር %d። ", number, gw.rng.Uint32())
	tokens = wholeRunes(prompt, tokens)
	ans, err := gw.ses.caller.Generate(ctx, bwcaller.GenerationRequest{Model: modelName, Prompt: prompt, MaxTokens: tokens})
	gw.check(fmt.Sprintf("generation %d", number), prompt, tokens, ans, err)
	if ans.Reconnects > 0 {
		gw.ses.rep.AddCount("GenerationsReconnected", 1)
	}
	if err != nil {
		// A caller that was refused waits before the next request.
		bwretry.Pause(ctx, time.Duration(gw.rng.IntN(200))*time.Millisecond)
	}
}

// check compares what the caller saw, whole or not, with the model's output.
func (gw *generationWorker) check(name, prompt string, tokens int, ans bwcaller.Completion, err error) {
	rep := gw.ses.rep
	var text strings.Builder
	var ids []bwmodel.TokenID
	for _, tok := range bwfakeengine.Continuation(bwfakeengine.Tokenize(prompt), tokens) {
		text.Write(tok.Bytes)
		ids = append(ids, tok.ID)
	}
	if !strings.HasPrefix(text.String(), ans.Text) {
		rep.RecordViolation("Prefix", name, "text differs from the model's after %d reconnects: got %q, want a prefix of %q", ans.Reconnects, ans.Text, text.String())
	}
	if len(ans.TokenIDs) > len(ids) || !slices.Equal(ids[:len(ans.TokenIDs)], ans.TokenIDs) {
		rep.RecordViolation("Prefix", name, "tokens differ from the model's after %d reconnects: got %v, want a prefix of %v", ans.Reconnects, ans.TokenIDs, ids)
	}
	if err == nil {
		rep.AddCount("GenerationsDone", 1)
		if wrong := bwdev.CheckGeneration(prompt, tokens, ans); wrong != nil {
			rep.RecordViolation("Answer", name, "after %d reconnects: %v", ans.Reconnects, wrong)
		}
		return
	}
	if ans.Tokens == 0 {
		rep.AddCount("GenerationsWithoutToken", 1)
		return
	}
	rep.AddCount("GenerationsUnfinished", 1)
	rep.AddCount("Unfinished: "+reason(err), 1)
}

// wholeRunes raises a limit until the model's output ends with a whole character:
// JSON can't carry the bytes of a character that the limit cuts, and the check is
// byte for byte.
func wholeRunes(prompt string, tokens int) int {
	const longest = 32
	var text []byte
	for ix, tok := range bwfakeengine.Continuation(bwfakeengine.Tokenize(prompt), tokens+longest) {
		text = append(text, tok.Bytes...)
		if ix+1 >= tokens && utf8.Valid(text) {
			return ix + 1
		}
	}
	return tokens
}

// reason shortens an error to what it has in common with others.
func reason(err error) string {
	refused := new(bwcaller.ProblemError)
	switch {
	case errors.As(err, &refused):
		return fmt.Sprintf("status %d %s", refused.Status, refused.Detail[:min(len(refused.Detail), 60)])
	case errors.Is(err, context.DeadlineExceeded):
		return "deadline"
	}
	broken := new(url.Error)
	if errors.As(err, &broken) {
		err = broken.Err
	}
	dial := new(net.OpError)
	if errors.As(err, &dial) {
		return dial.Op + " failed"
	}
	txt := err.Error()
	if at := strings.LastIndex(txt, "Detail\":\""); at >= 0 {
		txt = txt[at:]
	}
	return txt[:min(len(txt), 80)]
}

// lookupWorker sends idempotent calls.
type lookupWorker struct {
	ses *session
	rng *rand.Rand
}

func (lw *lookupWorker) loop(ctx context.Context) {
	defer lw.ses.workers.Done()
	for !lw.ses.stopped(ctx) {
		lw.look(ctx)
		bwretry.Pause(ctx, time.Duration(lw.rng.IntN(300))*time.Millisecond)
	}
}

func (lw *lookupWorker) look(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, lookupTime)
	defer cancel()
	path := fmt.Sprintf("status/%d", lw.rng.Uint64())
	rep, err := lw.ses.caller.Lookup(ctx, serviceName, path)
	if err != nil {
		lw.ses.rep.AddCount("LookupsFailed", 1)
		return
	}
	var ans bwfakeapp.Response
	if err := json.Unmarshal(rep.Body, &ans); err != nil || ans.Path != "/"+path {
		lw.ses.rep.RecordViolation("Lookup", path, "answered with %q", rep.Body)
	}
	lw.ses.rep.AddCount("LookupsDone", 1)
}
