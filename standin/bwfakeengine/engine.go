package bwfakeengine

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"time"

	"bilberrywick/core/bwcontrol"
	"bilberrywick/core/bwmodel"
)

// Engine is a model engine that serves the completions protocol.
type Engine struct {
	cfg     Config
	control *bwcontrol.Owner[scheduler, view]
	wake    chan struct{}
	handler http.Handler
}

// Config configures an Engine.
type Config struct {
	// Address is the listen address. Port 0 selects a free port, and the zero
	// value a free port on 127.0.0.1.
	Address netip.AddrPort
	// Models are the initially loaded models. If empty, the engine accepts any model.
	Models []string
	// Slots is the maximum number of sequences in the batch; 0 means 8.
	Slots int
	// FirstTokenTime is the time to the first token, without the prefill time.
	FirstTokenTime time.Duration
	// PromptTokenTime is the prefill time of one prompt token that is not cached.
	PromptTokenTime time.Duration
	// TokenTime is the time between the tokens of a sequence; 0 means 1 ms.
	TokenTime time.Duration
	// CacheBlocks limits the prefix cache, in blocks; 0 disables it.
	CacheBlocks int
	// CacheEventDelay is the time until a cache event is published.
	CacheEventDelay time.Duration
	// CacheEventGap is n if every n-th cache event is not published; 0 publishes all.
	CacheEventGap int
	// LoadReportLag is the age of the load that the engine reports.
	LoadReportLag time.Duration
	// ModelLoadTime is the time to load a model.
	ModelLoadTime time.Duration
	// CheckFence rejects orders with a stale fencing token.
	CheckFence bool
	// StopEvery is n if a generation ends after each token with probability 1/n;
	// 0 means that it ends only at its token limit.
	StopEvery int
	// FreezeAfter is the total of generated tokens at which the engine freezes;
	// 0 means never.
	FreezeAfter uint64
	// Now is the clock; nil means time.Now.
	Now func() time.Time
}

// Counts contains totals since New.
type Counts struct {
	PromptTokensComputed uint64
	PromptTokensCached   uint64
	TokensGenerated      uint64
	Requests             uint64
	Canceled             uint64
	OrdersAccepted       uint64
	OrdersRejected       uint64
}

type view struct {
	counts   Counts
	busy     bool
	frozen   bool
	slowdown float64
	models   []string
	running  int
	waiting  int
	addr     netip.AddrPort
}

const (
	defaultSlots     = 8
	defaultTokenTime = time.Millisecond
)

// New returns an engine; Start opens its listener. It returns an error if Slots
// or TokenTime is negative.
func New(cfg Config) (*Engine, error) {
	if cfg.Slots == 0 {
		cfg.Slots = defaultSlots
	}
	if cfg.TokenTime == 0 {
		cfg.TokenTime = defaultTokenTime
	}
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.Slots < 0 || cfg.TokenTime < 0 {
		return nil, errors.New("fake engine: slots and token time must be positive")
	}
	eng := &Engine{cfg: cfg, wake: make(chan struct{}, 1)}
	eng.control = bwcontrol.New(bwcontrol.Config[scheduler, view]{
		State: &scheduler{
			cfg:      cfg,
			cache:    newPrefixCache(cfg.CacheBlocks),
			models:   append([]string(nil), cfg.Models...),
			slowdown: 1,
		},
		View: newView,
	})
	eng.handler = eng.routes()
	return eng, nil
}

// Start listens and serves until ctx is done. It returns an error if the address
// can't be used.
func (eng *Engine) Start(ctx context.Context) error {
	eng.control.Start(ctx)
	if err := eng.listen(ctx, eng.cfg.Address); err != nil {
		return err
	}
	go eng.loop(ctx)
	return nil
}

// Address returns the listen address, also after Kill.
func (eng *Engine) Address() netip.AddrPort { return eng.control.Snapshot().addr }

// Kill closes the listener and all connections, discards all sequences and clears
// the prefix cache.
func (eng *Engine) Kill(ctx context.Context) error {
	var srv *http.Server
	err := eng.control.Do(ctx, func(sch *scheduler) {
		srv = sch.server
		sch.clear()
	})
	if err != nil || srv == nil {
		return err
	}
	if err := srv.Close(); err != nil {
		return fmt.Errorf("fake engine: close: %w", err)
	}
	return nil
}

// Restart listens again on the same address after Kill.
func (eng *Engine) Restart(ctx context.Context) error { return eng.listen(ctx, eng.Address()) }

// Freeze stops all output until Thaw; connections stay open.
func (eng *Engine) Freeze(ctx context.Context) error {
	return eng.control.Do(ctx, func(sch *scheduler) { sch.frozen = true })
}

// Thaw ends Freeze.
func (eng *Engine) Thaw(ctx context.Context) error {
	defer eng.wakeLoop()
	return eng.control.Do(ctx, func(sch *scheduler) { sch.frozen = false })
}

// SetSlowdown sets a factor that multiplies the prefill time and the time between
// tokens; 1 is the normal speed.
func (eng *Engine) SetSlowdown(ctx context.Context, factor float64) error {
	return eng.control.Do(ctx, func(sch *scheduler) { sch.slowdown = factor })
}

// Counts returns the totals.
func (eng *Engine) Counts() Counts { return eng.control.Snapshot().counts }

// SequenceCounts returns the numbers of sequences in the batch and in the queue.
func (eng *Engine) SequenceCounts() (running, waiting int) {
	vw := eng.control.Snapshot()
	return vw.running, vw.waiting
}

// Models returns the names of the loaded models.
func (eng *Engine) Models() []string { return eng.control.Snapshot().models }

func (eng *Engine) listen(ctx context.Context, addr netip.AddrPort) error {
	if !addr.IsValid() {
		addr = netip.MustParseAddrPort("127.0.0.1:0")
	}
	var cfg net.ListenConfig
	lis, err := cfg.Listen(ctx, "tcp", addr.String())
	if err != nil {
		return fmt.Errorf("fake engine: %w", err)
	}
	svc := &httpService{srv: &http.Server{Handler: eng.handler, ReadHeaderTimeout: time.Minute}, lis: lis}
	err = eng.control.Do(ctx, func(sch *scheduler) {
		sch.server = svc.srv
		sch.addr = lis.Addr().(*net.TCPAddr).AddrPort()
	})
	if err != nil {
		_ = lis.Close()
		return err
	}
	go svc.run()
	context.AfterFunc(ctx, svc.stop)
	return nil
}

// loop runs one batch step per token time while there are sequences, and waits
// otherwise. A new sequence doesn't make the next step of a running batch start
// earlier, and a late timer doesn't delay the steps after it.
func (eng *Engine) loop(ctx context.Context) {
	timer := time.NewTimer(eng.cfg.TokenTime)
	defer timer.Stop()
	var due time.Time
	for {
		select {
		case <-timer.C:
		case <-eng.wake:
		case <-ctx.Done():
			return
		}
		now := eng.cfg.Now()
		if now.Before(due) {
			timer.Reset(due.Sub(now))
			continue
		}
		if err := eng.control.Do(ctx, eng.step); err != nil {
			return
		}
		vw := eng.control.Snapshot()
		if !vw.busy || vw.frozen {
			due = time.Time{}
			continue
		}
		period := time.Duration(float64(eng.cfg.TokenTime) * vw.slowdown)
		due = nextStep(due, now, period)
		timer.Reset(due.Sub(now))
	}
}

// nextStep returns the due time of the step that follows a step with the given
// due time and start time. After a step that started a period or more late, due
// times are counted from its start.
func nextStep(due, started time.Time, period time.Duration) time.Time {
	if next := due.Add(period); next.After(started) {
		return next
	}
	return started.Add(period)
}

func (eng *Engine) step(sch *scheduler) { sch.step(eng.cfg.Now()) }

func (eng *Engine) wakeLoop() {
	select {
	case eng.wake <- struct{}{}:
	default:
	}
}

func newView(sch *scheduler) *view {
	return &view{
		counts:   sch.counts,
		busy:     len(sch.running)+len(sch.waiting) > 0,
		frozen:   sch.frozen,
		slowdown: sch.slowdown,
		models:   append([]string(nil), sch.models...),
		running:  len(sch.running),
		waiting:  len(sch.waiting),
		addr:     sch.addr,
	}
}

type httpService struct {
	srv *http.Server
	lis net.Listener
}

func (svc *httpService) run() { _ = svc.srv.Serve(svc.lis) }

func (svc *httpService) stop() { _ = svc.srv.Close() }

// submit queues a sequence and wakes the scheduler.
func (eng *Engine) submit(ctx context.Context, seq *sequence) error {
	defer eng.wakeLoop()
	return eng.control.Do(ctx, func(sch *scheduler) {
		sch.counts.Requests++
		sch.enqueue(seq)
	})
}

// cancel removes a sequence whose caller has disconnected.
func (eng *Engine) cancel(ctx context.Context, seq *sequence) {
	_ = eng.control.Post(context.WithoutCancel(ctx), func(sch *scheduler) {
		sch.counts.Canceled++
		sch.remove(seq)
	})
}

// awaitThaw waits while the engine is frozen, so that it sends no reports either.
// It returns the context's error.
func (eng *Engine) awaitThaw(ctx context.Context) error {
	const poll = 20 * time.Millisecond
	for eng.control.Snapshot().frozen {
		select {
		case <-time.After(poll):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// newSequence returns a sequence that generates at most limit tokens.
func newSequence(ids []bwmodel.TokenID, limit, priority int) *sequence {
	seq := &sequence{
		ids:             append([]bwmodel.TokenID(nil), ids...),
		hash:            hashTokens(hashStart, ids),
		remainingTokens: limit,
		priority:        priority,
		prefillStarted:  make(chan struct{}),
		output:          make(chan bwmodel.TokenID, limit+1),
	}
	if len(ids) > 0 {
		seq.lastToken = ids[len(ids)-1]
	}
	return seq
}
