package bwagent

import (
	"context"
	"log/slog"
	"net/netip"
	"time"

	"bilberrywick/core/bwcontrol"
	"bilberrywick/core/bwmodel"
	"bilberrywick/io/bwengine"
	"bilberrywick/io/bwrpc"
	"bilberrywick/io/bwwire"
)

// Generations runs the generations of one model engine for routers. It records each
// token before sending it, and continues a generation for a grace period without a
// router.
type Generations struct {
	cfg     GenerationsConfig
	ctx     context.Context
	control *bwcontrol.Owner[generationTable, GenerationsView]
}

// GenerationsConfig configures Generations.
type GenerationsConfig struct {
	// Generate starts a generation on the engine.
	Generate func(context.Context, bwengine.Completion) (*bwengine.Generation, error)
	// Address is the agent's address for routers; it is sent in generation records.
	Address netip.AddrPort
	// Leaving reports whether new generations are refused; nil means never.
	Leaving func() bool
	// StateNumber returns the number of the last ticket in effect; nil means 0.
	StateNumber func() bwmodel.TicketNumber
	// OnStateNumber is called with the ticket numbers that routers send; may be nil.
	OnStateNumber func(bwmodel.TicketNumber)
	// Slots limits the generations that the engine runs concurrently. More are
	// refused, so that they wait in a router, which can prioritize them or choose
	// another engine. 0 means no limit.
	Slots int
	// GracePeriod is how long a generation is kept without a router; 0 means 10 s.
	GracePeriod time.Duration
	Now         func() time.Time
	Log         *slog.Logger
}

// GenerationsView holds the published counts of a Generations.
type GenerationsView struct {
	// Running is the number of generations that have not ended.
	Running int
	// Attached is the number of generations that a router reads.
	Attached int
	// Retained is the number of generations kept for routers, including ended ones.
	Retained int
}

const (
	// defaultGracePeriod is long enough for a caller to detect a router's failure,
	// reconnect and be attached through another router.
	defaultGracePeriod = 10 * time.Second
	// fenceRetention is how long the epoch of an ended request is kept after the grace
	// period, so that a delayed message of a stale router can't start it again.
	fenceRetention = time.Minute
	// expiryChecksPerGracePeriod is the number of expiry checks in a grace period.
	expiryChecksPerGracePeriod = 10
)

// NewGenerations returns a Generations that has not started.
func NewGenerations(cfg GenerationsConfig) *Generations {
	if cfg.Leaving == nil {
		cfg.Leaving = func() bool { return false }
	}
	if cfg.StateNumber == nil {
		cfg.StateNumber = func() bwmodel.TicketNumber { return 0 }
	}
	if cfg.OnStateNumber == nil {
		cfg.OnStateNumber = func(bwmodel.TicketNumber) {}
	}
	if cfg.GracePeriod == 0 {
		cfg.GracePeriod = defaultGracePeriod
	}
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.Log == nil {
		cfg.Log = slog.New(slog.DiscardHandler)
	}
	return &Generations{
		cfg: cfg,
		control: bwcontrol.New(bwcontrol.Config[generationTable, GenerationsView]{
			State: &generationTable{entries: make(map[bwmodel.RequestID]*generationEntry)},
			View:  (*generationTable).view,
		}),
	}
}

// Start starts the control goroutine and the expiry of generations. The end of the
// context ends both and all generations.
func (gns *Generations) Start(ctx context.Context) {
	gns.ctx = ctx
	gns.control.Start(ctx)
	go gns.loop(ctx)
}

// Register adds the methods that routers call; it must be called before the
// server accepts connections.
func (gns *Generations) Register(srv *bwrpc.Server) {
	bwrpc.HandleStream(srv, bwwire.AgentGenerate, gns.generate)
	bwrpc.HandleStream(srv, bwwire.AgentAttach, gns.attach)
	bwrpc.HandleUnary(srv, bwwire.AgentCancel, gns.cancel)
	bwrpc.HandleUnary(srv, bwwire.AgentSeal, gns.seal)
}

// MigrateAll ends all running generations. Their routers' streams end with the code
// Leaving, so that the routers resume the generations on other engines.
func (gns *Generations) MigrateAll(ctx context.Context) error {
	return gns.control.Do(ctx, func(tbl *generationTable) { tbl.migrateAll(gns.cfg.Now()) })
}

// Snapshot returns the published counts; it never blocks.
func (gns *Generations) Snapshot() GenerationsView { return *gns.control.Snapshot() }

func (gns *Generations) loop(ctx context.Context) {
	tick := time.NewTicker(gns.cfg.GracePeriod / expiryChecksPerGracePeriod)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			if err := gns.control.Do(ctx, gns.expire); err != nil {
				return
			}
		case <-ctx.Done():
			return
		}
	}
}

func (gns *Generations) expire(tbl *generationTable) {
	for _, req := range tbl.expire(gns.cfg.Now(), gns.cfg.GracePeriod) {
		gns.cfg.Log.Info("generation without a router has expired", "Request", req)
	}
}

type (
	generateStream = bwrpc.Stream[bwwire.GenerateRequest, bwwire.GenerateEvent]
	attachStream   = bwrpc.Stream[bwwire.AttachRequest, bwwire.GenerateEvent]
)

func (gns *Generations) generate(ctx context.Context, stm *generateStream) error {
	req, err := stm.Recv()
	if err != nil {
		return err
	}
	gns.cfg.OnStateNumber(req.StateNumber)
	if gns.cfg.Leaving() {
		return bwrpc.Errorf(bwwire.Leaving, "agent is leaving")
	}
	if len(req.Issued) > 0 && len(req.PromptTokens) == 0 {
		return bwrpc.Errorf(bwwire.Invalid, "issued tokens without the prompt's tokens")
	}
	run := newGenerationRun(gns.ctx, gns.cfg, req)
	sub := newSubscription(ctx)
	defer sub.end()
	var refusal error
	err = gns.control.Do(ctx, func(tbl *generationTable) { refusal = tbl.start(run, sub, gns.cfg.Slots) })
	if err = firstError(err, refusal); err != nil {
		run.cancel()
		return err
	}
	defer gns.detach(sub, req.Request)
	go run.run()
	snd := &progressSender{cfg: gns.cfg, run: run, sub: sub, pos: run.startPosition, send: stm.Send}
	return snd.serve()
}

func (gns *Generations) attach(ctx context.Context, stm *attachStream) error {
	req, err := stm.Recv()
	if err != nil {
		return err
	}
	sub := newSubscription(ctx)
	defer sub.end()
	var run *generationRun
	var refusal error
	err = gns.control.Do(ctx, func(tbl *generationTable) { run, refusal = tbl.attach(req, sub) })
	if err = firstError(err, refusal); err != nil {
		return err
	}
	defer gns.detach(sub, req.Request)
	gns.cfg.Log.Info("router attached to generation", "Request", req.Request, "Epoch", uint64(req.Epoch))
	snd := &progressSender{cfg: gns.cfg, run: run, sub: sub, pos: req.From, epoch: req.Epoch, recordPending: true, send: stm.Send}
	return snd.serve()
}

func (gns *Generations) cancel(ctx context.Context, req *bwwire.CancelRequest) (*bwwire.CancelResponse, error) {
	canceled := false
	err := gns.control.Do(ctx, func(tbl *generationTable) { canceled = tbl.cancel(req, gns.cfg.Now()) })
	if err != nil {
		return nil, err
	}
	return &bwwire.CancelResponse{Canceled: canceled}, nil
}

func (gns *Generations) seal(ctx context.Context, req *bwwire.SealRequest) (*bwwire.SealResponse, error) {
	var refusal error
	err := gns.control.Do(ctx, func(tbl *generationTable) { refusal = tbl.seal(req) })
	if err = firstError(err, refusal); err != nil {
		return nil, err
	}
	return &bwwire.SealResponse{}, nil
}

// detach records that a router has stopped reading, which starts the grace period.
func (gns *Generations) detach(sub *subscription, req bwmodel.RequestID) {
	now := gns.cfg.Now()
	_ = gns.control.Post(gns.ctx, func(tbl *generationTable) { tbl.detach(sub, req, now) })
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}
