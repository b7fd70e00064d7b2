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

// Duty is one control duty. The process that holds its lease gives the orders;
// it works as a router besides, so that no VM is set aside.
type Duty struct {
	cfg    Config
	holder *bwlease.Holder
	ended  chan struct{}
}

// Config configures a Duty.
type Config struct {
	// Name identifies the duty in the lease table and in orders.
	Name        string
	Self        bwmodel.MemberID
	Incarnation bwmodel.Incarnation
	// TTL is how long after its last renewal a lease may be taken; 0 means 10 s.
	TTL time.Duration
	// Now reads a monotonic clock; nil means time.Now.
	Now func() time.Time
	// Read and Swap access the lease row, as the methods of bwstore.LeaseStore do.
	Read func(context.Context) (bwlease.Row, error)
	Swap func(context.Context, bwlease.Row) error
	// IsCandidate reports whether the process should take the lease when it is
	// free; nil means always. It bounds the reads of the table in a large fleet.
	IsCandidate func() bool
	// SendOrder calls Agent.Order.
	SendOrder func(context.Context, netip.AddrPort, *bwwire.OrderRequest) (*bwwire.OrderResponse, error)
	// OnLeaseChange is told when the lease is acquired or lost; may be nil.
	OnLeaseChange func(duty string, held bool)
	Log           *slog.Logger
}

// Order is an order to one engine.
type Order struct {
	Agent netip.AddrPort
	// Incarnation is the agent's, learned from its reports.
	Incarnation bwmodel.Incarnation
	Load        string
	Unload      string
	Role        string
}

const (
	defaultTTL = 10 * time.Second
	// releaseTimeout bounds giving up the lease at the end, so that a store that
	// is away doesn't delay the process's exit.
	releaseTimeout = time.Second
)

// New returns a duty that does not hold its lease, or an error that names a missing field.
func New(cfg Config) (*Duty, error) {
	if cfg.Name == "" || cfg.SendOrder == nil {
		return nil, errors.New("duty needs Name and Order")
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
	return &Duty{cfg: cfg, holder: hld, ended: make(chan struct{})}, nil
}

// Name returns the duty's name.
func (dty *Duty) Name() string { return dty.cfg.Name }

// Start takes and renews the lease until the context ends, and then gives it up.
func (dty *Duty) Start(ctx context.Context) { go dty.loop(ctx) }

// Wait returns when the goroutine has ended after the end of Start's context.
func (dty *Duty) Wait() { <-dty.ended }

// CurrentFence returns the fence under which orders may be given now, or bwlease.ErrNotHeld.
func (dty *Duty) CurrentFence() (bwmodel.Fence, error) { return dty.holder.CurrentFence() }

// SendOrder sends an order when the lease is held at this moment, and returns
// bwlease.ErrNotHeld or the error of the call otherwise.
func (dty *Duty) SendOrder(ctx context.Context, ord Order) error {
	req := &bwwire.OrderRequest{
		Duty: dty.cfg.Name, Incarnation: ord.Incarnation, Load: ord.Load, Unload: ord.Unload, Role: ord.Role,
	}
	// The check is the last step before sending, since the process may have
	// been paused before it; the agent's guard covers a pause after it.
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
	defer close(dty.ended)
	tick := time.NewTicker(dty.holder.RenewInterval())
	defer tick.Stop()
	var held bwmodel.Fence
	for {
		dty.AcquireOrRenew(ctx)
		fence, _ := dty.holder.CurrentFence()
		if fence != held {
			dty.cfg.Log.Info("lease", "Duty", dty.cfg.Name, "Fence", fence, "Before", held)
			if dty.cfg.OnLeaseChange != nil {
				dty.cfg.OnLeaseChange(dty.cfg.Name, fence != 0)
			}
			held = fence
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			dty.release(context.WithoutCancel(ctx))
			return
		}
	}
}

// AcquireOrRenew renews the lease, or watches it while the process is a candidate. The
// goroutine of Start calls it at intervals.
func (dty *Duty) AcquireOrRenew(ctx context.Context) {
	if _, err := dty.holder.CurrentFence(); err != nil && !dty.cfg.IsCandidate() {
		return
	}
	call, cancel := context.WithTimeout(ctx, dty.holder.RenewInterval())
	defer cancel()
	if err := dty.holder.AcquireOrRenew(call); err != nil {
		dty.cfg.Log.Debug("lease not renewed", "Duty", dty.cfg.Name, "Error", err)
	}
}

func (dty *Duty) release(ctx context.Context) {
	call, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	if err := dty.holder.Release(call); err != nil {
		dty.cfg.Log.Debug("lease not released", "Duty", dty.cfg.Name, "Error", err)
	}
}

func always() bool { return true }
