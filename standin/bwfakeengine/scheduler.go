package bwfakeengine

import (
	"net/http"
	"net/netip"
	"slices"
	"time"

	"bilberrywick/core/bwmodel"
)

// scheduler is the control state of an engine: the batch that runs, the queue,
// the prefix cache and the faults.
type scheduler struct {
	cfg     Config
	cache   *prefixCache
	running []*sequence
	waiting []*sequence
	models  []string
	role    string
	fence   bwmodel.Fence
	frozen  bool
	slow    float64
	counts  Counts
	reports []loadSample
	// server is what Die closes; nil while the engine is dead.
	server *http.Server
	addr   netip.AddrPort
}

// sequence is one generation in the engine.
type sequence struct {
	ids       []bwmodel.TokenID
	sum       uint64
	last      bwmodel.TokenID
	remaining int
	priority  int
	ready     time.Time
	cached    int
	// started is closed when the prompt is being computed; cached is set before.
	started chan struct{}
	// out has room for the whole output, so that the scheduler never waits.
	out    chan bwmodel.TokenID
	finish bwmodel.FinishReason
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

// clear drops all work, as the death of the engine does.
func (sch *scheduler) clear() {
	sch.server = nil
	sch.running = nil
	sch.waiting = nil
	sch.cache = newPrefixCache(sch.cfg.CacheBlocks)
	sch.frozen = false
}

// step gives each running sequence one token.
func (sch *scheduler) step(now time.Time) {
	sch.sample(now)
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
		if seq.ready.After(now) || !sch.emit(seq, now) {
			kept = append(kept, seq)
		}
	}
	clear(sch.running[len(kept):])
	sch.running = kept
}

func (sch *scheduler) prefill(seq *sequence, now time.Time) {
	seq.cached = sch.cache.use(seq.ids, now)
	computed := len(seq.ids) - seq.cached
	sch.counts.PromptTokensCached += uint64(seq.cached)
	sch.counts.PromptTokensComputed += uint64(computed)
	wait := sch.cfg.FirstTokenTime + time.Duration(computed)*sch.cfg.PromptTokenTime
	seq.ready = now.Add(time.Duration(float64(wait) * sch.slow))
	close(seq.started)
}

// emit writes one token and reports whether the sequence has ended.
func (sch *scheduler) emit(seq *sequence, now time.Time) bool {
	switch {
	case sch.cfg.StopEvery > 0 && (seq.sum>>20)%uint64(sch.cfg.StopEvery) == 0:
		seq.finish = bwmodel.FinishStop
	case seq.remaining == 0:
		seq.finish = bwmodel.FinishLength
	default:
		seq.last = nextToken(seq.sum, seq.last)
		seq.sum = hashTokens(seq.sum, []bwmodel.TokenID{seq.last})
		seq.ids = append(seq.ids, seq.last)
		seq.remaining--
		sch.counts.TokensGenerated++
		if sch.counts.TokensGenerated == sch.cfg.FreezeAfter {
			sch.frozen = true
		}
		if len(seq.ids)%BlockTokens == 0 {
			sch.cache.touch(seq.sum, now)
		}
		seq.out <- seq.last
		if seq.remaining > 0 || sch.cfg.StopEvery > 0 {
			return false
		}
		seq.finish = bwmodel.FinishLength
	}
	close(seq.out)
	return true
}

// sample keeps the load reports that are not older than the lag.
func (sch *scheduler) sample(now time.Time) {
	sch.reports = append(sch.reports, loadSample{At: now, Load: sch.load()})
	limit := now.Add(-sch.cfg.LoadReportLag)
	for len(sch.reports) > 1 && !sch.reports[1].At.After(limit) {
		sch.reports = sch.reports[1:]
	}
}

func (sch *scheduler) load() bwmodel.LoadReport {
	queued := 0
	for _, seq := range sch.waiting {
		queued += seq.remaining
	}
	rate := 0.0
	if sch.cfg.TokenTime > 0 {
		rate = float64(time.Second) / float64(sch.cfg.TokenTime) / sch.slow
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

// report returns the oldest kept load report, which lags as configured.
func (sch *scheduler) report(now time.Time) bwmodel.LoadReport {
	sch.sample(now)
	sam := sch.reports[0]
	sam.Load.Age = now.Sub(sam.At)
	return sam.Load
}

// order carries out an order and reports whether its fencing number was accepted.
func (sch *scheduler) order(ord orderMessage) bool {
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
