package bwduty

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/netip"
	"time"

	"bilberrywick/core/bwlease"
	"bilberrywick/core/bwmodel"
	"bilberrywick/io/bwwire"
)

// Duty is one control duty. The process that holds its lease sends the orders.
// That process is also a router, so that no VM is reserved for duties.
type Duty struct {
	cfg    Config
	holder *bwlease.Holder
	done   chan struct{}
}

// Config configures a Duty.
type Config struct {
	// Name identifies the duty in the lease table and in orders.
	Name        string
	Self        bwmodel.MemberID
	Incarnation bwmodel.Incarnation
	// TTL is the time after its last renewal when a lease expires; 0 means 10 s.
	TTL time.Duration
	// Now reads a monotonic clock; nil means time.Now.
	Now func() time.Time
	// Read and Swap access the lease row, as the methods of bwstore.LeaseStore do.
	Read func(context.Context) (bwlease.Row, error)
	Swap func(context.Context, bwlease.Row) error
	// IsCandidate reports whether the process should acquire the lease when it is
	// free; nil means always. It limits the reads of the table in a large fleet.
	IsCandidate func() bool
	// SendOrder calls Agent.Order.
	SendOrder func(context.Context, netip.AddrPort, *bwwire.OrderRequest) (*bwwire.OrderResponse, error)
	// OnLeaseChange is called when the lease is acquired or lost; it may be nil.
	OnLeaseChange func(duty string, held bool)
	Log           *slog.Logger
}

// Order is an order to one engine.
type Order struct {
	Agent netip.AddrPort
	// Incarnation is that of the agent, taken from its reports.
	Incarnation bwmodel.Incarnation
	Load        string
	Unload      string
	Role        string
}

const (
	defaultTTL = 10 * time.Second
	// releaseTimeout limits the release of the lease at the end, so that an
	// unavailable store doesn't delay the process's exit.
	releaseTimeout = time.Second
)

// New returns a duty that does not hold its lease, or an error that names the
// required fields when one is missing.
func New(cfg Config) (*Duty, error) {
	if cfg.Name == "" || cfg.SendOrder == nil {
		return nil, errors.New("duty needs Name and SendOrder")
	}
	if cfg.TTL == 0 {
		cfg.TTL = defaultTTL
	}
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.IsCandidate == nil {
		cfg.IsCandidate = always
	}
	if cfg.Log == nil {
		cfg.Log = slog.New(slog.DiscardHandler)
	}
	hld, err := bwlease.NewHolder(bwlease.HolderConfig{
		Self: cfg.Self, Incarnation: cfg.Incarnation, TTL: cfg.TTL, Now: cfg.Now, Read: cfg.Read, Swap: cfg.Swap,
	})
	if err != nil {
		return nil, fmt.Errorf("duty %q: %w", cfg.Name, err)
	}
	return &Duty{cfg: cfg, holder: hld, done: make(chan struct{})}, nil
}

// Name returns the duty's name.
func (dty *Duty) Name() string { return dty.cfg.Name }

// Start acquires and renews the lease until the context ends, and then releases it.
func (dty *Duty) Start(ctx context.Context) { go dty.loop(ctx) }

// Wait returns when the goroutine has ended after the end of Start's context.
func (dty *Duty) Wait() { <-dty.done }

// CurrentFence returns the fence for orders while the lease is held, and
// bwlease.ErrNotHeld otherwise.
func (dty *Duty) CurrentFence() (bwmodel.Fence, error) { return dty.holder.CurrentFence() }

// SendOrder sends an order if the lease is held at this moment. It returns
// bwlease.ErrNotHeld if not, or the error of the call.
func (dty *Duty) SendOrder(ctx context.Context, ord Order) error {
	req := &bwwire.OrderRequest{
		Duty: dty.cfg.Name, Incarnation: ord.Incarnation, Load: ord.Load, Unload: ord.Unload, Role: ord.Role,
	}
	// The check is the last step before sending, since the process may have been
	// paused earlier. A pause after the check is covered by the agent's fence
	// guard, which rejects orders with a stale fence.
	fence, err := dty.holder.CurrentFence()
	if err != nil {
		return fmt.Errorf("duty %q: %w", dty.cfg.Name, err)
	}
	req.Fence = fence
	if _, err := dty.cfg.SendOrder(ctx, ord.Agent, req); err != nil {
		return fmt.Errorf("duty %q, fence %d: %w", dty.cfg.Name, fence, err)
	}
	return nil
}

func (dty *Duty) loop(ctx context.Context) {
	defer close(dty.done)
	tick := time.NewTicker(dty.holder.RenewInterval())
	defer tick.Stop()
	var lastFence bwmodel.Fence
	for {
		dty.AcquireOrRenew(ctx)
		fence, _ := dty.holder.CurrentFence()
		if fence != lastFence {
			dty.cfg.Log.Info("lease", "Duty", dty.cfg.Name, "Fence", fence, "Before", lastFence)
			if dty.cfg.OnLeaseChange != nil {
				dty.cfg.OnLeaseChange(dty.cfg.Name, fence != 0)
			}
			lastFence = fence
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			dty.release(context.WithoutCancel(ctx))
			return
		}
	}
}

// AcquireOrRenew renews a held lease. If the lease is not held and the process
// is a candidate, it reads the lease row and acquires the lease once it is free.
// The goroutine of Start calls it at intervals.
func (dty *Duty) AcquireOrRenew(ctx context.Context) {
	if _, err := dty.holder.CurrentFence(); err != nil && !dty.cfg.IsCandidate() {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, dty.holder.RenewInterval())
	defer cancel()
	if err := dty.holder.AcquireOrRenew(callCtx); err != nil {
		dty.cfg.Log.Debug("lease not renewed", "Duty", dty.cfg.Name, "Error", err)
	}
}

func (dty *Duty) release(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	if err := dty.holder.Release(callCtx); err != nil {
		dty.cfg.Log.Debug("lease not released", "Duty", dty.cfg.Name, "Error", err)
	}
}

func always() bool { return true }
