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
	modelServiceName = "pisar-model"
	appServiceName   = "objednavky-pult"
	minTokens        = 8
	maxTokens        = 70
	// requestTimeout limits one generation including its reconnects.
	requestTimeout = 60 * time.Second
	lookupTimeout  = 15 * time.Second
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
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	tokens := minTokens + gw.rng.IntN(maxTokens-minTokens)
	// Each prompt is unique, so that the check detects output of another request.
	prompt := fmt.Sprintf("Žiadosť %d: text na lyžičku pre Ľubicu, ለስልክ ቁጥር %d። ", number, gw.rng.Uint32())
	tokens = extendToFullRune(prompt, tokens)
	cpl, err := gw.ses.caller.Generate(ctx, bwcaller.GenerationRequest{Model: modelServiceName, Prompt: prompt, MaxTokens: tokens})
	gw.check(fmt.Sprintf("generation %d", number), prompt, tokens, cpl, err)
	if cpl.Reconnects > 0 {
		gw.ses.recorder.AddCount("GenerationsReconnected", 1)
	}
	if err != nil {
		// A caller waits after an error before it sends the next request.
		bwretry.Pause(ctx, time.Duration(gw.rng.IntN(200))*time.Millisecond)
	}
}

// check compares the received output, complete or not, with the model's output.
func (gw *generationWorker) check(name, prompt string, tokens int, cpl bwcaller.Completion, err error) {
	rec := gw.ses.recorder
	var text strings.Builder
	var ids []bwmodel.TokenID
	for _, tok := range bwfakeengine.Continuation(bwfakeengine.Tokenize(prompt), tokens) {
		text.Write(tok.Bytes)
		ids = append(ids, tok.ID)
	}
	if !strings.HasPrefix(text.String(), cpl.Text) {
		rec.RecordViolation("Prefix", name, "text differs from the model's after %d reconnects: got %q, want a prefix of %q", cpl.Reconnects, cpl.Text, text.String())
	}
	if len(cpl.TokenIDs) > len(ids) || !slices.Equal(ids[:len(cpl.TokenIDs)], cpl.TokenIDs) {
		rec.RecordViolation("Prefix", name, "tokens differ from the model's after %d reconnects: got %v, want a prefix of %v", cpl.Reconnects, cpl.TokenIDs, ids)
	}
	if err == nil {
		rec.AddCount("GenerationsDone", 1)
		if mismatch := bwdev.CheckGeneration(prompt, tokens, cpl); mismatch != nil {
			rec.RecordViolation("Answer", name, "after %d reconnects: %v", cpl.Reconnects, mismatch)
		}
		return
	}
	if cpl.Tokens == 0 {
		rec.AddCount("GenerationsWithoutToken", 1)
		return
	}
	rec.AddCount("GenerationsUnfinished", 1)
	rec.AddCount("Unfinished: "+errorGroup(err), 1)
}

// extendToFullRune raises a token limit until the model's output ends with a
// complete UTF-8 character. JSON can't represent a truncated character, and the
// check compares bytes.
func extendToFullRune(prompt string, tokens int) int {
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

// errorGroup shortens an error to the text that similar errors have in common.
func errorGroup(err error) string {
	problem := new(bwcaller.ProblemError)
	switch {
	case errors.As(err, &problem):
		return fmt.Sprintf("status %d %s", problem.Status, problem.Detail[:min(len(problem.Detail), 60)])
	case errors.Is(err, context.DeadlineExceeded):
		return "deadline"
	}
	urlErr := new(url.Error)
	if errors.As(err, &urlErr) {
		err = urlErr.Err
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
		lw.sendLookup(ctx)
		bwretry.Pause(ctx, time.Duration(lw.rng.IntN(300))*time.Millisecond)
	}
}

func (lw *lookupWorker) sendLookup(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	path := fmt.Sprintf("status/%d", lw.rng.Uint64())
	rsp, err := lw.ses.caller.Lookup(ctx, appServiceName, path)
	if err != nil {
		lw.ses.recorder.AddCount("LookupsFailed", 1)
		return
	}
	var parsed bwfakeapp.Response
	if err := json.Unmarshal(rsp.Body, &parsed); err != nil || parsed.Path != "/"+path {
		lw.ses.recorder.RecordViolation("Lookup", path, "answered with %q", rsp.Body)
	}
	lw.ses.recorder.AddCount("LookupsDone", 1)
}
