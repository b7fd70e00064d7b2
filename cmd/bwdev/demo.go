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

// Demo runs the demonstration on a fleet: a ticket, a generation, the failure of an
// engine, and an action. It prints one line for each step.
type Demo struct {
	flt *Fleet
	cal *bwcaller.Caller
	out io.Writer
}

// demoPrompt mixes Slovak and Amharic, the scripts of the two deployments; their
// characters can span several tokens.
const demoPrompt = "Navrhni text gravírovania na lyžičku: k meninám Ľubice. ለስልክ ቁጥር ሰላም። "

const (
	demoTokens    = 120
	demoTokenTime = 10 * time.Millisecond
	// maxResumeGap is the longest allowed gap in the output after an engine fails.
	maxResumeGap = 3 * time.Second
)

// RunDemo starts a fleet, runs the four steps of the demonstration, writes their
// results to out, and returns the errors of the steps that failed.
func RunDemo(ctx context.Context, out, logs io.Writer) error {
	flt, err := Start(ctx, Config{
		Routers:   2,
		Engines:   3,
		Apps:      2,
		Engine:    bwfakeengine.Config{TokenTime: demoTokenTime, FirstTokenTime: 20 * time.Millisecond, Slots: 8, CacheBlocks: 256},
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
	dem.printf("1. ticket 1 is in force on %d routers: services %s and %s, %d teams, %d upstreams",
		len(flt.Routers), flt.cfg.ModelService, flt.cfg.PlainService, len(flt.cfg.Teams), len(flt.Engines)+len(flt.Apps))
	return errors.Join(dem.checkStream(ctx), dem.checkResume(ctx), dem.checkAction(ctx))
}

// checkStream checks that a generation without a fault arrives byte for byte.
func (dem *Demo) checkStream(ctx context.Context) error {
	cpl, err := dem.generate(ctx, nil)
	if err != nil {
		return fmt.Errorf("step 2: %w", err)
	}
	dem.printf("2. %d tokens streamed byte for byte, first token after %v, longest gap %v: %.60s…",
		cpl.Tokens, cpl.FirstToken.Round(time.Millisecond), cpl.LongestGap.Round(time.Millisecond), cpl.Text)
	return nil
}

// checkResume kills the engine in the middle of a generation and checks that the
// output resumes within maxResumeGap.
func (dem *Demo) checkResume(ctx context.Context) error {
	var killed *Engine
	total := 0
	cpl, err := dem.generate(ctx, func(tokens int, _ time.Time) {
		total += tokens
		if total >= demoTokens/2 && killed == nil {
			killed = dem.killBusyEngine(ctx)
		}
	})
	if err != nil {
		return fmt.Errorf("step 3: %w", err)
	}
	if killed == nil {
		return errors.New("step 3: no engine was running the generation")
	}
	if cpl.LongestGap > maxResumeGap {
		return fmt.Errorf("step 3: output resumed after %v, want at most %v", cpl.LongestGap, maxResumeGap)
	}
	dem.printf("3. engine %s died halfway; all %d tokens arrived once and in order, output resumed after %v",
		killed.Name, cpl.Tokens, cpl.LongestGap.Round(time.Millisecond))
	return nil
}

// checkAction sends an action three times with one key and checks that it ran once.
func (dem *Demo) checkAction(ctx context.Context) error {
	const key = "order-1"
	body := []byte(`{"Item":"spoon","Text":"Ľubica"}`)
	var first []byte
	for attempt := range 3 {
		rsp, err := dem.cal.RunAction(ctx, string(dem.flt.cfg.PlainService), "orders", key, body)
		if err != nil {
			return fmt.Errorf("step 4: attempt %d: %w", attempt+1, err)
		}
		if attempt == 0 {
			first = rsp.Body
		} else if !bytes.Equal(rsp.Body, first) {
			return fmt.Errorf("step 4: response to attempt %d is %s, to the first %s", attempt+1, rsp.Body, first)
		}
	}
	count := 0
	for _, app := range dem.flt.Apps {
		// Upstreams receive the key prefixed with the team, since teams may use the same keys.
		count += app.Fake.Snapshot().ExecutionCount(string(dem.flt.cfg.Teams[0].Name) + "/" + key)
	}
	if count != 1 {
		return fmt.Errorf("step 4: action ran %d times, want once", count)
	}
	dem.printf("4. the action was sent three times and ran once; each answer was %s", bytes.TrimSpace(first))
	return nil
}

// generate streams a generation for the demo's prompt and checks each byte.
func (dem *Demo) generate(ctx context.Context, onTokens func(int, time.Time)) (bwcaller.Completion, error) {
	cpl, err := dem.cal.Generate(ctx, bwcaller.GenerationRequest{
		Model:     string(dem.flt.cfg.ModelService),
		Prompt:    demoPrompt,
		MaxTokens: demoTokens,
		OnTokens:  onTokens,
	})
	if err != nil {
		return cpl, err
	}
	return cpl, CheckGeneration(demoPrompt, demoTokens, cpl)
}

// CheckGeneration compares a received generation with the tokens that the stand-in
// engine generates for a prompt, and returns an error when it differs. U+FFFD
// replaces a character that the last token leaves incomplete.
func CheckGeneration(prompt string, tokens int, cpl bwcaller.Completion) error {
	var want []byte
	for _, tok := range bwfakeengine.Continuation(bwfakeengine.Tokenize(prompt), tokens) {
		want = append(want, tok.Bytes...)
	}
	switch {
	case cpl.Tokens != tokens:
		return fmt.Errorf("received %d tokens, want %d", cpl.Tokens, tokens)
	case cpl.FinishReason != bwmodel.FinishLength:
		return fmt.Errorf("finished for %q, want %q", cpl.FinishReason, bwmodel.FinishLength)
	case cpl.Text != string(bytes.ToValidUTF8(want, []byte("\ufffd"))):
		return fmt.Errorf("text differs from the model's: got %q, want %q", cpl.Text, want)
	}
	return nil
}

// killBusyEngine kills an engine that is running a generation, and returns it or nil.
func (dem *Demo) killBusyEngine(ctx context.Context) *Engine {
	for _, eng := range dem.flt.Engines {
		if running, _ := eng.Fake.SequenceCounts(); running > 0 {
			if err := eng.Fake.Kill(ctx); err == nil {
				return eng
			}
		}
	}
	return nil
}

func (dem *Demo) printf(format string, args ...any) {
	// A write error, such as of a closed terminal, must not hide the result of the demo.
	_, _ = fmt.Fprintf(dem.out, format+"\n", args...)
}
