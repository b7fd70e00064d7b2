package bwdev

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"bilberrywick/bench/bwcaller"
	"bilberrywick/core/bwmodel"
	"bilberrywick/standin/bwfakeengine"
)

// Demo plays the whole path on a fleet and reports what happened.
type Demo struct {
	flt *Fleet
	cal *bwcaller.Caller
	out io.Writer
}

// demoPrompt mixes the alphabets of both deployments, whose characters span tokens.
const demoPrompt = "Navrhni text gravírovania na lyžičku: k meninám Ľubice. ለስልክ ቁጥር ሰላም። "

const (
	demoTokens = 120
	demoRate   = 10 * time.Millisecond
	// resumeGoal is the longest allowed gap in the output after an engine's death.
	resumeGoal = 3 * time.Second
)

// RunDemo starts a fleet, plays the four steps of the path, writes what happened
// to out, and returns an error when anything was wrong.
func RunDemo(ctx context.Context, out, logs io.Writer) error {
	flt, err := Start(ctx, Config{
		Routers:   2,
		Engines:   3,
		Apps:      2,
		Engine:    bwfakeengine.Config{TokenTime: demoRate, FirstTokenTime: 20 * time.Millisecond, Slots: 8, CacheBlocks: 256},
		LogOutput: logs,
	})
	if err != nil {
		return err
	}
	defer flt.Close()
	dem := &Demo{
		flt: flt,
		out: out,
		cal: bwcaller.New(bwcaller.Config{Routers: flt.CallerAddresses, Key: flt.cfg.Teams[0].Key, ReconnectTimeout: 5 * time.Second}),
	}
	defer dem.cal.Close()
	dem.say("1. ticket 1 is in force on %d routers: services %s and %s, %d teams, %d upstreams",
		len(flt.Routers), flt.cfg.ModelService, flt.cfg.PlainService, len(flt.cfg.Teams), len(flt.Engines)+len(flt.Apps))
	return errors.Join(dem.stream(ctx), dem.resume(ctx), dem.action(ctx))
}

// stream checks that an undisturbed generation arrives byte for byte.
func (dem *Demo) stream(ctx context.Context) error {
	ans, err := dem.generate(ctx, nil)
	if err != nil {
		return fmt.Errorf("step 2: %w", err)
	}
	dem.say("2. %d tokens streamed byte for byte, first token after %v, longest gap %v: %.60s…",
		ans.Tokens, ans.FirstToken.Round(time.Millisecond), ans.LongestGap.Round(time.Millisecond), ans.Text)
	return nil
}

// resume kills the engine in the middle of a generation.
func (dem *Demo) resume(ctx context.Context) error {
	var killed *Engine
	total := 0
	ans, err := dem.generate(ctx, func(tokens int, _ time.Time) {
		total += tokens
		if total >= demoTokens/2 && killed == nil {
			killed = dem.killBusy(ctx)
		}
	})
	if err != nil {
		return fmt.Errorf("step 3: %w", err)
	}
	if killed == nil {
		return errors.New("step 3: no engine was running the generation")
	}
	if ans.LongestGap > resumeGoal {
		return fmt.Errorf("step 3: output resumed after %v, want at most %v", ans.LongestGap, resumeGoal)
	}
	dem.say("3. engine %s died halfway; all %d tokens arrived once and in order, output resumed after %v",
		killed.Name, ans.Tokens, ans.LongestGap.Round(time.Millisecond))
	return nil
}

// action sends one action three times under one key.
func (dem *Demo) action(ctx context.Context) error {
	const key = "order-1"
	body := []byte(`{"Item":"spoon","Text":"Ľubica"}`)
	var first []byte
	for attempt := range 3 {
		rep, err := dem.cal.RunAction(ctx, string(dem.flt.cfg.PlainService), "orders", key, body)
		if err != nil {
			return fmt.Errorf("step 4: attempt %d: %w", attempt+1, err)
		}
		if attempt == 0 {
			first = rep.Body
		} else if !bytes.Equal(rep.Body, first) {
			return fmt.Errorf("step 4: attempt %d got %s, the first got %s", attempt+1, rep.Body, first)
		}
	}
	count := 0
	for _, app := range dem.flt.Apps {
		// The upstream sees the key with its team, since teams may use the same keys.
		count += app.Fake.Snapshot().ExecutionCount(string(dem.flt.cfg.Teams[0].Name) + "/" + key)
	}
	if count != 1 {
		return fmt.Errorf("step 4: the action ran %d times, want once", count)
	}
	dem.say("4. the action was sent three times and ran once; each answer was %s", bytes.TrimSpace(first))
	return nil
}

// generate streams the demo's prompt and checks each byte of the answer.
func (dem *Demo) generate(ctx context.Context, received func(int, time.Time)) (bwcaller.Completion, error) {
	ans, err := dem.cal.Generate(ctx, bwcaller.GenerationRequest{
		Model:     string(dem.flt.cfg.ModelService),
		Prompt:    demoPrompt,
		MaxTokens: demoTokens,
		OnTokens:  received,
	})
	if err != nil {
		return ans, err
	}
	return ans, CheckGeneration(demoPrompt, demoTokens, ans)
}

// CheckGeneration compares a streamed answer with what the stand-in engine's model
// says to a prompt, and returns an error when a byte or a token differs. U+FFFD
// stands for a character that the last token leaves unfinished.
func CheckGeneration(prompt string, tokens int, ans bwcaller.Completion) error {
	var want []byte
	for _, tok := range bwfakeengine.Continuation(bwfakeengine.Tokenize(prompt), tokens) {
		want = append(want, tok.Bytes...)
	}
	switch {
	case ans.Tokens != tokens:
		return fmt.Errorf("received %d tokens, want %d", ans.Tokens, tokens)
	case ans.FinishReason != bwmodel.FinishLength:
		return fmt.Errorf("finished for %q, want %q", ans.FinishReason, bwmodel.FinishLength)
	case ans.Text != string(bytes.ToValidUTF8(want, []byte("\ufffd"))):
		return fmt.Errorf("text differs from the model's: got %q, want %q", ans.Text, want)
	}
	return nil
}

// killBusy ends an engine that is running a generation.
func (dem *Demo) killBusy(ctx context.Context) *Engine {
	for _, eng := range dem.flt.Engines {
		if running, _ := eng.Fake.SequenceCounts(); running > 0 {
			if err := eng.Fake.Kill(ctx); err == nil {
				return eng
			}
		}
	}
	return nil
}

func (dem *Demo) say(format string, args ...any) {
	// The demo's own errors matter more than a closed terminal.
	_, _ = fmt.Fprintf(dem.out, format+"\n", args...)
}
