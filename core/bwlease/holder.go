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
	// ErrNotHeld is returned by CurrentFence when the lease is not certainly held.
	ErrNotHeld = errors.New("lease is not held")
	// ErrRowChanged is returned when the row doesn't have the expected version;
	// nothing was written.
	ErrRowChanged = errors.New("lease row has changed")
	// ErrOutcomeUnknown is returned when a write may or may not have taken effect.
	ErrOutcomeUnknown = errors.New("outcome of the lease's write is unknown")
	// ErrUnavailable is returned when the store can't be reached; nothing was written.
	ErrUnavailable = errors.New("lease store is unavailable")
)

// Row is the stored row of a lease.
type Row struct {
	Holder      bwmodel.MemberID
	Incarnation bwmodel.Incarnation
	// Fence increases by one with each new holder.
	Fence bwmodel.Fence
	// Version increases by one with each write.
	Version uint64
	// Released is set when the holder has given up the lease; another process may
	// then acquire it without waiting for the TTL.
	Released bool
}

// Holder acquires and renews one lease. One goroutine calls AcquireOrRenew and
// Release; any goroutine may call CurrentFence.
type Holder struct {
	cfg      HolderConfig
	grant    atomic.Pointer[grant]
	observed observedRow
	// pending is the write whose outcome is unknown, nil when there is none.
	pending *write
}

// HolderConfig configures a Holder.
type HolderConfig struct {
	Self        bwmodel.MemberID
	Incarnation bwmodel.Incarnation
	// TTL is the time after the last renewal at which another process may acquire
	// the lease; it must be the same in all processes.
	TTL time.Duration
	// Now reads a monotonic clock.
	Now func() time.Time
	// Read returns the row, or a zero row when there is none.
	Read func(ctx context.Context) (Row, error)
	// Swap replaces the row whose version is next.Version-1 (no row for 0), or
	// returns ErrRowChanged, ErrOutcomeUnknown or ErrUnavailable.
	Swap func(ctx context.Context, next Row) error
}

const (
	// validFraction is the part of the TTL for which a holder counts the lease as
	// held; the rest covers clocks that run at different rates.
	validFraction = 0.9
	// renewAt is the part of the TTL after which a holder renews the lease, so that
	// two renewals in a row may fail.
	renewAt = 0.3
)

// NewHolder returns a holder without the lease, or an error when a required
// field of the configuration is missing.
func NewHolder(cfg HolderConfig) (*Holder, error) {
	if cfg.Self == "" || cfg.TTL <= 0 || cfg.Now == nil || cfg.Read == nil || cfg.Swap == nil {
		return nil, errors.New("lease holder needs Self, a positive TTL, Now, Read and Swap")
	}
	return &Holder{cfg: cfg}, nil
}

// RenewInterval returns the time to wait between calls of AcquireOrRenew.
func (hd *Holder) RenewInterval() time.Duration { return time.Duration(renewAt * float64(hd.cfg.TTL)) }

// CurrentFence returns the fence under which an order may be sent now, or ErrNotHeld.
// It must be called before each order, since the process may have been paused.
func (hd *Holder) CurrentFence() (bwmodel.Fence, error) {
	gr := hd.grant.Load()
	if gr == nil || !hd.cfg.Now().Before(gr.validUntil) {
		return 0, ErrNotHeld
	}
	return gr.row.Fence, nil
}

// AcquireOrRenew reads the row, then renews the lease, or acquires it when it is
// free, released or expired. An error doesn't end a current grant: CurrentFence
// returns the fence until the grant expires.
func (hd *Holder) AcquireOrRenew(ctx context.Context) error {
	row, err := hd.cfg.Read(ctx)
	if err != nil {
		return fmt.Errorf("read lease: %w", err)
	}
	readAt := hd.cfg.Now()
	if hd.pending != nil && hd.pending.next == row {
		hd.setGrant(*hd.pending)
	}
	hd.pending = nil
	if gr := hd.grant.Load(); gr != nil {
		if gr.row == row {
			return hd.renew(ctx, row)
		}
		hd.grant.Store(nil)
	}
	hd.observed.update(row, readAt)
	if !row.Released && row.Version != 0 && !hd.observed.unchangedFor(hd.cfg.TTL, readAt) {
		return nil
	}
	return hd.acquire(ctx, row)
}

// Release gives up the lease, so that another process can acquire it without
// waiting for the TTL.
func (hd *Holder) Release(ctx context.Context) error {
	gr := hd.grant.Load()
	if gr == nil {
		return nil
	}
	// CurrentFence must fail before another process can read the released row.
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
	return hd.writeRow(ctx, next)
}

func (hd *Holder) acquire(ctx context.Context, row Row) error {
	next := Row{
		Holder:      hd.cfg.Self,
		Incarnation: hd.cfg.Incarnation,
		Fence:       row.Fence + 1,
		Version:     row.Version + 1,
	}
	return hd.writeRow(ctx, next)
}

func (hd *Holder) writeRow(ctx context.Context, next Row) error {
	// The grant's time starts before the write is sent. Other processes start the
	// TTL when they first read the new row, which is later.
	wr := write{next: next, sentAt: hd.cfg.Now()}
	err := hd.cfg.Swap(ctx, next)
	switch {
	case err == nil:
		hd.setGrant(wr)
		return nil
	case errors.Is(err, ErrRowChanged):
		hd.grant.Store(nil)
		return nil
	case errors.Is(err, ErrOutcomeUnknown):
		hd.pending = &wr
	}
	return fmt.Errorf("write lease: %w", err)
}

func (hd *Holder) setGrant(wr write) {
	valid := time.Duration(validFraction * float64(hd.cfg.TTL))
	hd.grant.Store(&grant{row: wr.next, validUntil: wr.sentAt.Add(valid)})
}

// grant is a row that this process wrote and the time until which it counts as held.
type grant struct {
	row        Row
	validUntil time.Time
}

type write struct {
	next   Row
	sentAt time.Time
}

// observedRow is the last row read and the time at which it was first seen.
type observedRow struct {
	row       Row
	firstSeen time.Time
}

func (obs *observedRow) update(row Row, now time.Time) {
	if obs.firstSeen.IsZero() || row != obs.row {
		*obs = observedRow{row: row, firstSeen: now}
	}
}

func (obs *observedRow) unchangedFor(ttl time.Duration, now time.Time) bool {
	return now.Sub(obs.firstSeen) >= ttl
}
