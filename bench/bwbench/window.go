package bwbench

import (
	"context"
	"slices"
	"time"
)

// timeSpan is the time from a request's arrival to its response.
type timeSpan struct {
	begin time.Time
	end   time.Time
}

const (
	// promptRefusedMeasure counts prompt requests that waited and were refused
	// while deferrable work started.
	promptRefusedMeasure = "PromptRefusedBesideDeferrable"
	windowTokensMeasure  = "Window.EngineTokens"
)

func (ses *Session) addPromptRefusal(spn timeSpan) {
	ses.mu.Lock()
	defer ses.mu.Unlock()
	ses.refusals = append(ses.refusals, spn)
}

func (ses *Session) addDeferrableStart(at time.Time) {
	ses.mu.Lock()
	defer ses.mu.Unlock()
	ses.deferrableStarts = append(ses.deferrableStarts, at)
}

// promptRefusedCount counts the refused prompt requests during whose wait an
// engine started deferrable work.
func (ses *Session) promptRefusedCount() int64 {
	ses.mu.Lock()
	defer ses.mu.Unlock()
	return CountSpansWithEvent(ses.deferrableStarts, ses.refusalSpans())
}

func (ses *Session) refusalSpans() [][2]time.Time {
	spans := make([][2]time.Time, 0, len(ses.refusals))
	for _, spn := range ses.refusals {
		spans = append(spans, [2]time.Time{spn.begin, spn.end})
	}
	return spans
}

// CountSpansWithEvent counts the spans, each a start and an end inclusive, that
// contain at least one of the events. It sorts events in place.
func CountSpansWithEvent(events []time.Time, spans [][2]time.Time) int64 {
	slices.SortFunc(events, time.Time.Compare)
	var count int64
	for _, spn := range spans {
		next, _ := slices.BinarySearchFunc(events, spn[0], time.Time.Compare)
		if next < len(events) && !events[next].After(spn[1]) {
			count++
		}
	}
	return count
}

// windowSampler counts the tokens that all engines generate within the window.
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
	smp.ses.Recorder.AddCount(windowTokensMeasure, smp.tokens()-before)
}

func (smp *windowSampler) tokens() int64 {
	var sum int64
	for _, eng := range smp.ses.Fleet.Engines {
		sum += int64(eng.Fake.Counts().TokensGenerated)
	}
	return sum
}
