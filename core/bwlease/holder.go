package bwlease

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"bilberrywick/core/bwmodel"
)

// Errors of a Holder and of its function fields.
var (
	// ErrNotHeld is returned by Check when the lease is not certainly held.
	ErrNotHeld = errors.New("lease is not held")
	// ErrRowChanged says that the row was not as expected, so that nothing was written.
	ErrRowChanged = errors.New("lease row has changed")
	// ErrOutcomeUnknown says that a write may or may not have taken effect.
	ErrOutcomeUnknown = errors.New("outcome of the lease's write is unknown")
	// ErrUnavailable says that the store can't be reached and that nothing was written.
	ErrUnavailable = errors.New("lease store is unavailable")
)

// Row is a lease in the table.
type Row struct {
	Holder      bwmodel.MemberID
	Incarnation bwmodel.Incarnation
	// Fence rises by one with each new holder.
	Fence bwmodel.Fence
	// Version rises by one with each write.
	Version uint64
	// Released says that the holder gave the lease up, so that nobody needs to wait.
	Released bool
}

// Holder acquires and renews one lease. One goroutine calls Step and Release;
// any goroutine may call Check.
type Holder struct {
	cfg     HolderConfig
	grant   atomic.Pointer[grant]
	watched watch
	// pending is the write whose outcome is unknown, nil when there is none.
	pending *write
}

// HolderConfig configures a Holder.
type HolderConfig struct {
	Self        bwmodel.MemberID
	Incarnation bwmodel.Incarnation
	// TTL is the time after its last renewal at which another process may take
	// the lease; all processes use the same.
	TTL time.Duration
	// Now reads a monotonic clock.
	Now func() time.Time
	// Read returns the row, or a zero row when there is none.
	Read func(ctx context.Context) (Row, error)
	// Swap replaces the row whose version is next.Version-1 (no row for 0), or
	// returns ErrMoved, ErrUnsure or ErrAway.
	Swap func(ctx context.Context, next Row) error
}

const (
	// validPart of the TTL is what a holder relies on; the rest covers clocks
	// that run at different rates.
	validPart = 0.9
	// renewPart of the TTL is the time between renewals, so that two may fail.
	renewPart = 0.3
)

// NewHolder returns a holder that does not have the lease yet.
func NewHolder(cfg HolderConfig) (*Holder, error) {
	if cfg.Self == "" || cfg.TTL <= 0 || cfg.Now == nil || cfg.Read == nil || cfg.Swap == nil {
		return nil, errors.New("lease holder needs Self, a positive TTL, Now, Read and Swap")
	}
	return &Holder{cfg: cfg}, nil
}

// RenewInterval is the time to wait between calls of Step.
func (hd *Holder) RenewInterval() time.Duration {
	return time.Duration(renewPart * float64(hd.cfg.TTL))
}

// CurrentFence returns the fence under which an order may be sent now, or ErrNotHeld.
// It is called before each order, since the process may have been paused.
func (hd *Holder) CurrentFence() (bwmodel.Fence, error) {
	gr := hd.grant.Load()
	if gr == nil || !hd.cfg.Now().Before(gr.until) {
		return 0, ErrNotHeld
	}
	return gr.row.Fence, nil
}

// AcquireOrRenew reads the row and renews, takes or watches the lease. An error leaves
// the current validity as it is; the lease is usable as long as Check says so.
func (hd *Holder) AcquireOrRenew(ctx context.Context) error {
	row, err := hd.cfg.Read(ctx)
	if err != nil {
		return fmt.Errorf("read lease: %w", err)
	}
	seen := hd.cfg.Now()
	if hd.pending != nil && hd.pending.next == row {
		hd.accept(*hd.pending)
	}
	hd.pending = nil
	if gr := hd.grant.Load(); gr != nil {
		if gr.row == row {
			return hd.renew(ctx, row)
		}
		hd.grant.Store(nil)
	}
	hd.watched.observe(row, seen)
	if !row.Released && row.Version != 0 && !hd.watched.unchangedFor(hd.cfg.TTL, seen) {
		return nil
	}
	return hd.take(ctx, row)
}

// Release gives the lease up so that another process can take it at once.
func (hd *Holder) Release(ctx context.Context) error {
	gr := hd.grant.Load()
	if gr == nil {
		return nil
	}
	// Orders end before the row says so.
	hd.grant.Store(nil)
	next := gr.row
	next.Version++
	next.Released = true
	if err := hd.cfg.Swap(ctx, next); err != nil {
		return fmt.Errorf("release lease: %w", err)
	}
	return nil
}

func (hd *Holder) renew(ctx context.Context, row Row) error {
	next := row
	next.Version++
	return hd.swap(ctx, next)
}

func (hd *Holder) take(ctx context.Context, row Row) error {
	next := Row{
		Holder:      hd.cfg.Self,
		Incarnation: hd.cfg.Incarnation,
		Fence:       row.Fence + 1,
		Version:     row.Version + 1,
	}
	return hd.swap(ctx, next)
}

func (hd *Holder) swap(ctx context.Context, next Row) error {
	// Validity counts from before the write is sent: others count from a read
	// that can only come after it.
	wr := write{next: next, sent: hd.cfg.Now()}
	err := hd.cfg.Swap(ctx, next)
	switch {
	case err == nil:
		hd.accept(wr)
		return nil
	case errors.Is(err, ErrRowChanged):
		hd.grant.Store(nil)
		return nil
	case errors.Is(err, ErrOutcomeUnknown):
		hd.pending = &wr
	}
	return fmt.Errorf("write lease: %w", err)
}

func (hd *Holder) accept(wr write) {
	valid := time.Duration(validPart * float64(hd.cfg.TTL))
	hd.grant.Store(&grant{row: wr.next, until: wr.sent.Add(valid)})
}

// grant is a row that this process wrote and the time until which it is relied on.
type grant struct {
	row   Row
	until time.Time
}

type write struct {
	next Row
	sent time.Time
}

// watch is the last row read and the time at which it was first seen.
type watch struct {
	row   Row
	since time.Time
}

func (wt *watch) observe(row Row, now time.Time) {
	if wt.since.IsZero() || row != wt.row {
		*wt = watch{row: row, since: now}
	}
}

func (wt *watch) unchangedFor(ttl time.Duration, now time.Time) bool {
	return now.Sub(wt.since) >= ttl
}
