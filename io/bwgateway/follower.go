package bwgateway

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"time"
)

// Follower applies the changes of one table of a store. The followers of a table
// in several gateways share what they read: a follower that receives an update
// from another gateway postpones its own next call, so that the number of calls
// does not grow with the number of gateways. Only the goroutine of Start changes
// it; enqueue may be called by any goroutine.
type Follower struct {
	cfg FollowerConfig
	// updates buffers the updates of other gateways while this one's call is
	// pending.
	updates chan TableUpdate
	// version is the table version that has been applied; 0 means none.
	version uint64
	// clockOffset is the reading of the store's monotonic clock at startedAt.
	clockOffset time.Duration
	startedAt   time.Time
}

// FollowerConfig configures a Follower.
type FollowerConfig struct {
	Table string
	// PollInterval is the longest time between a read and the next call.
	// LongPollTimeout is how long a call waits for changes when reads are not
	// shared; 0 means defaultLongPoll.
	PollInterval, LongPollTimeout time.Duration
	// ReadTable returns the whole table.
	ReadTable func(ctx context.Context) (ReadResult, error)
	// ReadChanges returns the changes after a version, and waits for them if there
	// are none. It returns ErrHistoryLost if the store no longer has all of them.
	ReadChanges func(ctx context.Context, after uint64, wait time.Duration) (ReadResult, error)
	// Apply applies the rows that were read; if full is set they are the whole
	// table.
	Apply func(ctx context.Context, res ReadResult, full bool) error
	// OnReadFailure is called when the table can't be read; an error ends the
	// follower. It may be nil.
	OnReadFailure func(ctx context.Context, cause error) error
	// SendUpdate sends the changes that were read to the other gateways.
	SendUpdate func(TableUpdate)
	// SharesReads reports whether there are enough gateways to share reads.
	SharesReads func() bool
	Log         *slog.Logger
}

// Row is one row of a table or one change of it.
type Row struct {
	Key   string
	Value []byte
	// Deleted is set only in changes.
	Deleted bool
}

// ReadResult is the result of a read. Its field names are part of the datagram
// encoding.
type ReadResult struct {
	Rows []Row
	// Version is the version after which to read the next changes.
	Version uint64
	// Now is the store's monotonic clock at the time of the read.
	Now time.Duration
}

// TableUpdate holds changes of a table that another gateway has read. Its field
// names are part of the datagram encoding.
type TableUpdate struct {
	Table string
	// After is the version after which the changes were read.
	After uint64
	ReadResult
}

// ErrHistoryLost means that the store no longer has some changes, so that the
// whole table must be read.
var ErrHistoryLost = errors.New("store no longer has the requested changes")

const (
	// defaultLongPoll is how long a call waits for changes when reads are not
	// shared. A dead connection is detected after this time plus the timeout of a
	// read. Together they must be below 3 s, after which the platform expects a
	// process to be up to date again.
	defaultLongPoll = 1700 * time.Millisecond
	// minBackoff and maxBackoff bound the pause after a failed call. All processes
	// share the store's rate limit, and each call has a cost.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 800 * time.Millisecond
	// minIntervalShare is the smallest part of PollInterval between a read and the
	// next call. Each gateway adds a random part of the rest, so that one of them
	// calls first.
	minIntervalShare = 0.7
	// maxUpdateAge is the age up to which an update postpones the next call. It is
	// above the latency of a datagram between zones, and short against PollInterval.
	maxUpdateAge = 250 * time.Millisecond
	// updateQueueSize exceeds the number of updates that arrive during the
	// longest call.
	updateQueueSize = 64
)

func newFollower(cfg FollowerConfig) *Follower {
	if cfg.LongPollTimeout == 0 {
		cfg.LongPollTimeout = defaultLongPoll
	}
	if cfg.OnReadFailure == nil {
		cfg.OnReadFailure = func(context.Context, error) error { return nil }
	}
	return &Follower{cfg: cfg, updates: make(chan TableUpdate, updateQueueSize), startedAt: time.Now()}
}

// Start follows the table until the context ends.
func (fol *Follower) Start(ctx context.Context) { go fol.loop(ctx) }

// enqueue queues an update of another gateway without blocking. An update that
// does not fit is dropped, which has the same effect as a lost datagram.
func (fol *Follower) enqueue(upd TableUpdate) {
	select {
	case fol.updates <- upd:
	default:
	}
}

func (fol *Follower) loop(ctx context.Context) {
	pause := minBackoff
	wait := time.Duration(0)
	for ctx.Err() == nil {
		err := fol.poll(ctx, wait)
		switch {
		case err == nil:
			pause, wait = minBackoff, fol.cfg.LongPollTimeout
			fol.sleep(ctx, fol.nextInterval())
		case ctx.Err() != nil:
			return
		case errors.Is(err, ErrHistoryLost):
			fol.cfg.Log.Warn("store no longer has the changes; reading the whole table", "Table", fol.cfg.Table, "Version", fol.version)
			fol.version = 0
		default:
			// A call without a wait detects sooner that the store has recovered.
			wait = 0
			fol.cfg.Log.Warn("store call failed", "Table", fol.cfg.Table, "Version", fol.version, "Error", err, "Pause", pause)
			if err := fol.cfg.OnReadFailure(ctx, err); err != nil {
				return
			}
			fol.sleep(ctx, pause/2+rand.N(pause/2))
			pause = min(2*pause, maxBackoff)
		}
	}
}

// poll reads the whole table if no version has been applied, and otherwise the
// changes, which it sends to the other gateways.
func (fol *Follower) poll(ctx context.Context, wait time.Duration) error {
	if fol.version == 0 {
		res, err := fol.cfg.ReadTable(ctx)
		if err != nil {
			return err
		}
		return fol.apply(ctx, res, true)
	}
	if fol.cfg.SharesReads() {
		wait = 0
	}
	res, err := fol.cfg.ReadChanges(ctx, fol.version, wait)
	if err != nil {
		return err
	}
	after := fol.version
	if err := fol.apply(ctx, res, false); err != nil {
		return err
	}
	fol.cfg.SendUpdate(TableUpdate{Table: fol.cfg.Table, After: after, ReadResult: res})
	return nil
}

func (fol *Follower) apply(ctx context.Context, res ReadResult, full bool) error {
	if res.Now > 0 {
		fol.clockOffset = res.Now - time.Since(fol.startedAt)
	}
	fol.version = max(res.Version, fol.version)
	return fol.cfg.Apply(ctx, res, full)
}

// nextInterval returns the time from a read to this gateway's next call.
func (fol *Follower) nextInterval() time.Duration {
	if !fol.cfg.SharesReads() {
		return fol.cfg.PollInterval
	}
	shortest := scale(fol.cfg.PollInterval, minIntervalShare)
	return shortest + rand.N(fol.cfg.PollInterval-shortest)
}

// sleep waits for a pause and applies the updates of other gateways meanwhile.
// An update may restart the pause.
func (fol *Follower) sleep(ctx context.Context, pause time.Duration) {
	tmr := time.NewTimer(pause)
	defer tmr.Stop()
	for {
		select {
		case upd := <-fol.updates:
			if next, ok := fol.applyUpdate(ctx, upd); ok {
				tmr.Reset(next)
			}
		case <-tmr.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// applyUpdate applies an update of another gateway. It returns the time until
// this gateway's next call, and true if the update is recent enough to
// postpone that call. An update that leaves a gap after the applied version,
// or is older than it, is ignored.
func (fol *Follower) applyUpdate(ctx context.Context, upd TableUpdate) (time.Duration, bool) {
	if fol.version == 0 || upd.After > fol.version || upd.Version < fol.version {
		return 0, false
	}
	fol.version = upd.Version
	if err := fol.cfg.Apply(ctx, upd.ReadResult, false); err != nil {
		return 0, false
	}
	if fol.clockOffset+time.Since(fol.startedAt)-upd.Now > maxUpdateAge {
		return 0, false
	}
	return fol.nextInterval(), true
}
