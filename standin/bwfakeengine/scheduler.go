package bwfakeengine

import (
	"net/http"
	"net/netip"
	"slices"
	"time"

	"bilberrywick/core/bwmodel"
)

// scheduler is the control state of an engine: the running batch, the queue, the
// prefix cache and the faults.
type scheduler struct {
	cfg         Config
	cache       *prefixCache
	running     []*sequence
	waiting     []*sequence
	models      []string
	role        string
	fence       bwmodel.Fence
	frozen      bool
	slowdown    float64
	counts      Counts
	loadSamples []loadSample
	// server is the server that Kill closes; nil after Kill.
	server *http.Server
	addr   netip.AddrPort
}

// sequence is one generation in the engine.
type sequence struct {
	// ids contains the tokens of the prompt and the output, and hash their hash.
	ids             []bwmodel.TokenID
	hash            uint64
	lastToken       bwmodel.TokenID
	remainingTokens int
	priority        int
	prefillEnd      time.Time
	cachedTokens    int
	// prefillStarted is closed when the prefill starts, after cachedTokens is set.
	prefillStarted chan struct{}
	// output has capacity for the whole output, so that the scheduler never blocks.
	output       chan bwmodel.TokenID
	finishReason bwmodel.FinishReason
}

type loadSample struct {
	At   time.Time
	Load bwmodel.LoadReport
}

func (sch *scheduler) enqueue(seq *sequence) {
	sch.waiting = append(sch.waiting, seq)
	slices.SortStableFunc(sch.waiting, func(sa, sb *sequence) int { return sa.priority - sb.priority })
}

func (sch *scheduler) remove(seq *sequence) {
	same := func(other *sequence) bool { return other == seq }
	sch.running = slices.DeleteFunc(sch.running, same)
	sch.waiting = slices.DeleteFunc(sch.waiting, same)
}

// clear discards all sequences and the prefix cache, as the end of the engine's
// process does.
func (sch *scheduler) clear() {
	sch.server = nil
	sch.running = nil
	sch.waiting = nil
	sch.cache = newPrefixCache(sch.cfg.CacheBlocks)
	sch.frozen = false
}

// step fills free slots from the queue and generates one token for each running
// sequence whose prefill has ended.
func (sch *scheduler) step(now time.Time) {
	sch.recordLoad(now)
	if sch.frozen {
		return
	}
	for len(sch.running) < sch.cfg.Slots && len(sch.waiting) > 0 {
		seq := sch.waiting[0]
		sch.waiting = sch.waiting[1:]
		sch.prefill(seq, now)
		sch.running = append(sch.running, seq)
	}
	kept := sch.running[:0]
	for _, seq := range sch.running {
		if seq.prefillEnd.After(now) || !sch.emitToken(seq, now) {
			kept = append(kept, seq)
		}
	}
	clear(sch.running[len(kept):])
	sch.running = kept
}

func (sch *scheduler) prefill(seq *sequence, now time.Time) {
	seq.cachedTokens = sch.cache.insertPrompt(seq.ids, now)
	computed := len(seq.ids) - seq.cachedTokens
	sch.counts.PromptTokensCached += uint64(seq.cachedTokens)
	sch.counts.PromptTokensComputed += uint64(computed)
	wait := sch.cfg.FirstTokenTime + time.Duration(computed)*sch.cfg.PromptTokenTime
	seq.prefillEnd = now.Add(time.Duration(float64(wait) * sch.slowdown))
	close(seq.prefillStarted)
}

// emitToken generates one token and reports whether the sequence has ended.
func (sch *scheduler) emitToken(seq *sequence, now time.Time) bool {
	switch {
	case sch.cfg.StopEvery > 0 && (seq.hash>>20)%uint64(sch.cfg.StopEvery) == 0:
		seq.finishReason = bwmodel.FinishStop
	case seq.remainingTokens == 0:
		seq.finishReason = bwmodel.FinishLength
	default:
		seq.lastToken = nextToken(seq.hash, seq.lastToken)
		seq.hash = hashTokens(seq.hash, []bwmodel.TokenID{seq.lastToken})
		seq.ids = append(seq.ids, seq.lastToken)
		seq.remainingTokens--
		sch.counts.TokensGenerated++
		if sch.counts.TokensGenerated == sch.cfg.FreezeAfter {
			sch.frozen = true
		}
		if len(seq.ids)%BlockTokens == 0 {
			sch.cache.insertBlock(seq.hash, now)
		}
		seq.output <- seq.lastToken
		if seq.remainingTokens > 0 || sch.cfg.StopEvery > 0 {
			return false
		}
		seq.finishReason = bwmodel.FinishLength
	}
	close(seq.output)
	return true
}

// recordLoad records the current load and removes the samples before the newest
// one that is at least as old as the lag.
func (sch *scheduler) recordLoad(now time.Time) {
	sch.loadSamples = append(sch.loadSamples, loadSample{At: now, Load: sch.currentLoad()})
	limit := now.Add(-sch.cfg.LoadReportLag)
	for len(sch.loadSamples) > 1 && !sch.loadSamples[1].At.After(limit) {
		sch.loadSamples = sch.loadSamples[1:]
	}
}

func (sch *scheduler) currentLoad() bwmodel.LoadReport {
	queued := 0
	for _, seq := range sch.waiting {
		queued += seq.remainingTokens
	}
	rate := 0.0
	if sch.cfg.TokenTime > 0 {
		rate = float64(time.Second) / float64(sch.cfg.TokenTime) / sch.slowdown
	}
	return bwmodel.LoadReport{
		Running:      len(sch.running),
		Waiting:      len(sch.waiting),
		Slots:        sch.cfg.Slots,
		TokenRate:    rate,
		Models:       slices.Clone(sch.models),
		QueuedTokens: queued,
	}
}

// laggedLoad returns the oldest recorded load, which is about as old as the lag.
func (sch *scheduler) laggedLoad(now time.Time) bwmodel.LoadReport {
	sch.recordLoad(now)
	sam := sch.loadSamples[0]
	sam.Load.Age = now.Sub(sam.At)
	return sam.Load
}

// applyOrder applies an order and reports whether its fencing token was accepted.
func (sch *scheduler) applyOrder(ord orderMessage) bool {
	if sch.cfg.CheckFence && ord.Fence < sch.fence {
		sch.counts.OrdersRejected++
		return false
	}
	sch.fence = max(sch.fence, ord.Fence)
	sch.counts.OrdersAccepted++
	if ord.Unload != "" {
		sch.models = slices.DeleteFunc(sch.models, func(name string) bool { return name == ord.Unload })
	}
	if ord.Load != "" && !slices.Contains(sch.models, ord.Load) {
		sch.models = append(sch.models, ord.Load)
	}
	if ord.Role != "" {
		sch.role = ord.Role
	}
	return true
}
