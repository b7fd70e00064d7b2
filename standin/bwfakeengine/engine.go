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

// Engine is a model engine that serves the completions protocol on loopback.
type Engine struct {
	cfg     Config
	control *bwcontrol.Owner[scheduler, view]
	wake    chan struct{}
	handler http.Handler
}

// Config configures an Engine.
type Config struct {
	// Address is where the engine listens; port 0 picks a free one.
	Address netip.AddrPort
	// Models are loaded from the start; empty means that every name is served.
	Models []string
	// Slots is the number of sequences in the batch; 0 means 8.
	Slots int
	// FirstTokenTime is the time to the first token, apart from the prompt's own.
	FirstTokenTime time.Duration
	// PromptTokenTime is the time to compute one prompt token that is not cached.
	PromptTokenTime time.Duration
	// TokenTime is the time between the tokens of a sequence; 0 means 1 ms.
	TokenTime time.Duration
	// CacheBlocks limits the prefix cache; 0 means no cache.
	CacheBlocks int
	// CacheEventDelay is how late cache events are published.
	CacheEventDelay time.Duration
	// CacheEventGap loses every n-th cache event; 0 loses none.
	CacheEventGap int
	// LoadReportLag is how old a load report is.
	LoadReportLag time.Duration
	// ModelLoadTime is how long loading a model takes.
	ModelLoadTime time.Duration
	// CheckFence refuses orders with an old fencing number.
	CheckFence bool
	// StopEvery ends a generation after a token with this probability, as one in n; 0 means never.
	StopEvery int
	// FreezeAfter freezes the engine once it has generated so many tokens; 0 means never.
	FreezeAfter uint64
	// Now is the clock; nil means time.Now.
	Now func() time.Time
}

// Counts are totals since the engine was made.
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
	counts  Counts
	busy    bool
	frozen  bool
	slow    float64
	models  []string
	running int
	waiting int
	addr    netip.AddrPort
}

const (
	defaultSlots     = 8
	defaultTokenTime = time.Millisecond
)

// New returns an engine that does not listen yet.
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
			cfg:    cfg,
			cache:  newPrefixCache(cfg.CacheBlocks),
			models: append([]string(nil), cfg.Models...),
			slow:   1,
		},
		View: publish,
	})
	eng.handler = eng.routes()
	return eng, nil
}

// Start listens and serves until the context ends.
func (eng *Engine) Start(ctx context.Context) error {
	eng.control.Start(ctx)
	if err := eng.listen(ctx, eng.cfg.Address); err != nil {
		return err
	}
	go eng.loop(ctx)
	return nil
}

// Address returns where the engine listens, or listened before it died.
func (eng *Engine) Address() netip.AddrPort { return eng.control.Snapshot().addr }

// Kill closes the listener and all connections, and drops all work.
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

// Restart listens again on the same address after Die, with an empty cache.
func (eng *Engine) Restart(ctx context.Context) error { return eng.listen(ctx, eng.Address()) }

// Freeze keeps connections open but sends nothing until Thaw.
func (eng *Engine) Freeze(ctx context.Context) error {
	return eng.control.Do(ctx, func(sch *scheduler) { sch.frozen = true })
}

// Thaw ends Freeze.
func (eng *Engine) Thaw(ctx context.Context) error {
	defer eng.awaken()
	return eng.control.Do(ctx, func(sch *scheduler) { sch.frozen = false })
}

// SetSlowdown multiplies the time of each token by a factor; 1 is the normal speed.
func (eng *Engine) SetSlowdown(ctx context.Context, factor float64) error {
	return eng.control.Do(ctx, func(sch *scheduler) { sch.slow = factor })
}

// Counts returns the totals.
func (eng *Engine) Counts() Counts { return eng.control.Snapshot().counts }

// SequenceCounts returns the number of sequences in the batch and in the queue.
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
	svc := &service{srv: &http.Server{Handler: eng.handler, ReadHeaderTimeout: time.Minute}, lis: lis}
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

// loop steps the batch while there is work, and sleeps otherwise. An arrival
// does not hasten the next step of a batch that runs, and a late timer does not
// delay those after it.
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
		period := time.Duration(float64(eng.cfg.TokenTime) * vw.slow)
		due = nextStep(due, now, period)
		timer.Reset(due.Sub(now))
	}
}

// nextStep returns when the step after one that was due and begun is due; a step
// that began more than a period late starts a new sequence.
func nextStep(due, began time.Time, period time.Duration) time.Time {
	if next := due.Add(period); next.After(began) {
		return next
	}
	return began.Add(period)
}

func (eng *Engine) step(sch *scheduler) { sch.step(eng.cfg.Now()) }

func (eng *Engine) awaken() {
	select {
	case eng.wake <- struct{}{}:
	default:
	}
}

func publish(sch *scheduler) *view {
	return &view{
		counts:  sch.counts,
		busy:    len(sch.running)+len(sch.waiting) > 0,
		frozen:  sch.frozen,
		slow:    sch.slow,
		models:  append([]string(nil), sch.models...),
		running: len(sch.running),
		waiting: len(sch.waiting),
		addr:    sch.addr,
	}
}

type service struct {
	srv *http.Server
	lis net.Listener
}

func (svc *service) run() { _ = svc.srv.Serve(svc.lis) }

func (svc *service) stop() { _ = svc.srv.Close() }

// submit queues a sequence and wakes the scheduler.
func (eng *Engine) submit(ctx context.Context, seq *sequence) error {
	defer eng.awaken()
	return eng.control.Do(ctx, func(sch *scheduler) {
		sch.counts.Requests++
		sch.enqueue(seq)
	})
}

// cancel removes a sequence whose caller has gone.
func (eng *Engine) cancel(ctx context.Context, seq *sequence) {
	_ = eng.control.Post(context.WithoutCancel(ctx), func(sch *scheduler) {
		sch.counts.Canceled++
		sch.remove(seq)
	})
}

// frozenWait waits while the engine is frozen, so that reports are silent too.
func (eng *Engine) frozenWait(ctx context.Context) error {
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

// newSequence prepares a generation of at most limit tokens.
func newSequence(ids []bwmodel.TokenID, limit, priority int) *sequence {
	seq := &sequence{
		ids:       append([]bwmodel.TokenID(nil), ids...),
		sum:       hashTokens(hashStart, ids),
		remaining: limit,
		priority:  priority,
		started:   make(chan struct{}),
		out:       make(chan bwmodel.TokenID, limit+1),
	}
	if len(ids) > 0 {
		seq.last = ids[len(ids)-1]
	}
	return seq
}
