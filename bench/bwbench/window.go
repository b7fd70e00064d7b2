package bwbench

import (
	"context"
	"slices"
	"time"
)

// span is the time from when a request was due to its answer.
type span struct {
	begin time.Time
	end   time.Time
}

const (
	// promptRefusedBeside counts prompt requests that were refused while
	// deferrable work started.
	promptRefusedBeside = "PromptRefusedBesideDeferrable"
	windowTokens        = "Window.EngineTokens"
)

func (ses *Session) promptRefused(spn span) {
	ses.mu.Lock()
	defer ses.mu.Unlock()
	ses.refusals = append(ses.refusals, spn)
}

func (ses *Session) deferrableStarted(at time.Time) {
	ses.mu.Lock()
	defer ses.mu.Unlock()
	ses.starts = append(ses.starts, at)
}

// refusedBeside counts the refused prompt requests during whose wait deferrable
// work started on any engine.
func (ses *Session) refusedBeside() int64 {
	ses.mu.Lock()
	defer ses.mu.Unlock()
	return CountSpansWithEvent(ses.starts, ses.refusalSpans())
}

func (ses *Session) refusalSpans() [][2]time.Time {
	spans := make([][2]time.Time, 0, len(ses.refusals))
	for _, spn := range ses.refusals {
		spans = append(spans, [2]time.Time{spn.begin, spn.end})
	}
	return spans
}

// CountSpansWithEvent counts the spans, from a beginning to an end, that contain at
// least one of the moments.
func CountSpansWithEvent(moments []time.Time, spans [][2]time.Time) int64 {
	slices.SortFunc(moments, time.Time.Compare)
	var count int64
	for _, spn := range spans {
		next, _ := slices.BinarySearchFunc(moments, spn[0], time.Time.Compare)
		if next < len(moments) && !moments[next].After(spn[1]) {
			count++
		}
	}
	return count
}

// windowSampler counts the tokens that all engines produce within the window.
type windowSampler struct {
	ses   *Session
	ended chan struct{}
}

func (smp *windowSampler) run(ctx context.Context) {
	defer close(smp.ended)
	win := smp.ses.variant.Window
	if win.End <= win.Begin || smp.ses.WaitUntil(ctx, win.Begin) != nil {
		return
	}
	before := smp.tokens()
	if smp.ses.WaitUntil(ctx, win.End) != nil {
		return
	}
	smp.ses.Recorder.AddCount(windowTokens, smp.tokens()-before)
}

func (smp *windowSampler) tokens() int64 {
	var sum int64
	for _, eng := range smp.ses.Fleet.Engines {
		sum += int64(eng.Fake.Counts().TokensGenerated)
	}
	return sum
}
