package bwgateway

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"time"

	"bilberrywick/core/bwspread"
)

// Follower applies the changes of one table of a store. The followers of a table
// in several gateways share what they read: a follower that receives an update
// from another gateway postpones its own next call, so that the number of calls
// does not grow with the number of gateways. While the table can't be read they
// share the attempts in the same way. Only the goroutine of Start changes it;
// Receive and ReceiveProbe may be called by any goroutine.
type Follower struct {
	cfg FollowerConfig
	// updates buffers the updates of other gateways while this one's call is
	// pending, probes the fact that one of them tries to read.
	updates chan TableUpdate
	probes  chan struct{}
	// version is the table version that has been applied; 0 means none.
	version uint64
	// era is the store's era of version. Versions of other eras say nothing.
	era uint64
	// tableBytes is the length of the whole table when it was last read. readWhole
	// makes the next read one of the whole table.
	tableBytes int64
	readWhole  bool
	// early has updates that follow a version which has not been applied yet, since
	// datagrams overtake each other.
	early []TableUpdate
	// currentAt is the time of the last read or update that was applied.
	currentAt time.Time
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
	// IsIdle reports whether the table need not be read more often than each IdleInterval;
	// nil means never. Wake ends a pause that began while it was idle.
	IsIdle       func() bool
	IdleInterval time.Duration
	Wake         <-chan struct{}
	// ExpectsChanges reports whether the table is about to change, so that the longest
	// time between a read and the next call is ChangesInterval, or a longer one if reads
	// are shared; nil means never.
	ExpectsChanges  func() bool
	ChangesInterval time.Duration
	// ReadTable returns the whole table.
	ReadTable func(ctx context.Context) (ReadResult, error)
	// ReadChanges returns the changes after a version, and waits for them if there
	// are none. It returns ErrHistoryLost if the store no longer has all of them, and
	// ErrHistoryTooLong if they take more than maxBytes.
	ReadChanges func(ctx context.Context, after uint64, wait time.Duration, maxBytes int64) (ReadResult, error)
	// Apply applies the rows that were read; if full is set they are the whole
	// table.
	Apply func(ctx context.Context, res ReadResult, full bool) error
	// OnReadFailure is called when the table can't be read; an error ends the
	// follower. It may be nil.
	OnReadFailure func(ctx context.Context, cause error) error
	// SendUpdate sends the changes that were read to the other gateways, and
	// SendProbe that this gateway tries to read after a failure.
	SendUpdate func(TableUpdate)
	SendProbe  func()
	// Readers returns the number of gateways that share reads, or 1 if they don't.
	Readers func() int
	Log     *slog.Logger
}

// Row is one row of a table or one change of it.
type Row struct {
	Key   string
	Value []byte
	// Deleted is set only in changes.
	Deleted bool
	// Version is the version of the row; 0 if its reader does not need it.
	Version uint64 `cbor:",omitempty"`
}

// ReadResult is the result of a read. Its field names are part of the datagram
// encoding.
type ReadResult struct {
	Rows []Row
	// Version is the version after which to read the next changes.
	Version uint64
	// Era counts the times that the store was restored from an older copy. Versions of
	// different eras can't be compared.
	Era uint64
	// Now is the store's monotonic clock at the time of the read.
	Now time.Duration
	// Bytes is the length of the response, which is not sent to other gateways.
	Bytes int64 `cbor:"-"`
}

// TableUpdate holds changes of a table that another gateway has read. Its field
// names are part of the datagram encoding.
type TableUpdate struct {
	Table string
	// After is the version after which the changes were read.
	After uint64
	// Whole means that the rows are the whole table.
	Whole bool `cbor:",omitempty"`
	ReadResult
}

// ErrHistoryLost means that the store no longer has some changes, so that the
// whole table must be read.
var ErrHistoryLost = errors.New("store no longer has the requested changes")

// ErrHistoryTooLong means that the changes are longer than the table, so that the
// whole table is read instead.
var ErrHistoryTooLong = errors.New("changes are longer than the table")

// errEraChanged means that the store was restored from an older copy, so that changes
// after a version say nothing and the whole table is read instead.
var errEraChanged = errors.New("store was restored")

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
	// maxProbePause is the longest time between two attempts of one gateway while
	// others try as well. It matters only if the updates of those that succeed are
	// lost, which come at least every PollInterval.
	maxProbePause = 5 * maxBackoff
	// maxUpdateAge is the age up to which an update postpones the next call. It is
	// above the latency of a datagram between zones, and short against PollInterval.
	maxUpdateAge = 250 * time.Millisecond
	// updateQueueSize exceeds the number of updates that arrive during the
	// longest call.
	updateQueueSize = 64
	// extraHistoryBytes is how much longer than the table the changes may be that a
	// gateway reads. The changes include every version of a row, so those of a long
	// outage may take many times the table's length, and grow while they are read.
	extraHistoryBytes = 64 << 10
	// maxEraPause is the longest time until a gateway that is told by another one that
	// the store was restored reads the whole table. It spreads the reads of a fleet.
	maxEraPause = 500 * time.Millisecond
	// sharedChangesShare times PollInterval is the shortest interval of shared reads. In a
	// shorter one several gateways begin to read before they have the first one's update.
	sharedChangesShare = 0.4
	// maxEarlyUpdates exceeds the number of updates in the time for which one may be
	// overtaken.
	maxEarlyUpdates = 8
)

// NewFollower returns a follower; Start starts it.
func NewFollower(cfg FollowerConfig) *Follower {
	if cfg.LongPollTimeout == 0 {
		cfg.LongPollTimeout = defaultLongPoll
	}
	if cfg.OnReadFailure == nil {
		cfg.OnReadFailure = func(context.Context, error) error { return nil }
	}
	return &Follower{cfg: cfg, updates: make(chan TableUpdate, updateQueueSize), probes: make(chan struct{}, 1), currentAt: time.Now(), startedAt: time.Now()}
}

// Start follows the table until the context ends.
func (fol *Follower) Start(ctx context.Context) { go fol.loop(ctx) }

// Receive queues an update of another gateway without blocking. An update that
// does not fit is dropped, which has the same effect as a lost datagram.
func (fol *Follower) Receive(upd TableUpdate) {
	select {
	case fol.updates <- upd:
	default:
	}
}

// ReceiveProbe records without blocking that another gateway tries to read the
// table.
func (fol *Follower) ReceiveProbe() {
	select {
	case fol.probes <- struct{}{}:
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
			fol.sleep(ctx, fol.nextInterval(), nil)
		case ctx.Err() != nil:
			return
		case errors.Is(err, ErrHistoryLost), errors.Is(err, ErrHistoryTooLong), errors.Is(err, errEraChanged):
			fol.cfg.Log.Info("reading the whole table", "Table", fol.cfg.Table, "Version", fol.version, "Age", time.Since(fol.currentAt), "Cause", err)
			fol.readWhole = true
		default:
			// A call without a wait detects sooner that the store has recovered.
			wait = 0
			fol.cfg.Log.Warn("store call failed", "Table", fol.cfg.Table, "Version", fol.version, "Age", time.Since(fol.currentAt), "Error", err, "Pause", pause)
			if err := fol.cfg.OnReadFailure(ctx, err); err != nil {
				return
			}
			fol.sleepAfterFailure(ctx, pause)
			pause = min(2*pause, maxBackoff)
		}
	}
}

// sleepAfterFailure waits until it is this gateway's turn to try again: after a
// pause that the attempts of other gateways restart, if they share reads. An
// update that can't be applied shows that the store can be read again.
func (fol *Follower) sleepAfterFailure(ctx context.Context, pause time.Duration) {
	readers := fol.cfg.Readers()
	if readers <= 1 {
		fol.sleep(ctx, pause/2+rand.N(pause/2), nil)
		return
	}
	probe := bwspread.Timer{Longest: maxBackoff}
	latest := time.Now().Add(maxProbePause)
	failure := &failedRead{
		onProbe: func() time.Duration { return min(probe.Next(readers), max(time.Until(latest), 0)) },
		onGap:   func() time.Duration { return rand.N(minBackoff) },
	}
	if fol.sleep(ctx, probe.Next(readers), failure) {
		fol.cfg.SendProbe()
	}
}

// failedRead returns the pauses that begin during the one after a failed read.
type failedRead struct {
	// onProbe is called when another gateway tries to read, onGap when an update
	// arrives that can't be applied since changes before it are missing.
	onProbe, onGap func() time.Duration
}

// poll reads the whole table if no version has been applied or its changes can't
// be read, and otherwise the changes. It sends the changes, and the whole table of a
// restored store, to the other gateways.
func (fol *Follower) poll(ctx context.Context, wait time.Duration) error {
	if fol.version == 0 || fol.readWhole {
		res, err := fol.cfg.ReadTable(ctx)
		if err != nil {
			return err
		}
		fol.tableBytes, fol.readWhole = res.Bytes, false
		isRestored := fol.version > 0 && res.Era != fol.era
		if err := fol.apply(ctx, res, true); err != nil {
			return err
		}
		if isRestored {
			fol.cfg.SendUpdate(TableUpdate{Table: fol.cfg.Table, Whole: true, ReadResult: res})
		}
		return nil
	}
	if fol.cfg.Readers() > 1 {
		wait = 0
	}
	res, err := fol.cfg.ReadChanges(ctx, fol.version, wait, fol.tableBytes+extraHistoryBytes)
	if err != nil {
		return err
	}
	if res.Era != fol.era {
		return fmt.Errorf("%w: era %d", errEraChanged, res.Era)
	}
	res.Rows = newestRows(res.Rows)
	after := fol.version
	if err := fol.apply(ctx, res, false); err != nil {
		return err
	}
	fol.cfg.SendUpdate(TableUpdate{Table: fol.cfg.Table, After: after, ReadResult: res})
	return nil
}

// newestRows keeps the last change of each row. Those before it have no effect any
// more, and with them an update may be too long for the other gateways.
func newestRows(rows []Row) []Row {
	last := make(map[string]int, len(rows))
	for ix, rw := range rows {
		last[rw.Key] = ix
	}
	newest := make([]Row, 0, len(last))
	for ix, rw := range rows {
		if last[rw.Key] == ix {
			newest = append(newest, rw)
		}
	}
	return newest
}

func (fol *Follower) apply(ctx context.Context, res ReadResult, full bool) error {
	if res.Now > 0 {
		fol.clockOffset = res.Now - time.Since(fol.startedAt)
	}
	if res.Era != fol.era {
		fol.cfg.Log.Info("era of the store changed", "Table", fol.cfg.Table, "Era", res.Era, "Before", fol.era, "TableVersion", res.Version, "VersionBefore", fol.version, "Whole", full)
		fol.era, fol.version, fol.early = res.Era, 0, nil
	}
	fol.version, fol.currentAt = max(res.Version, fol.version), time.Now()
	return fol.cfg.Apply(ctx, res, full)
}

// nextInterval returns the time from a read to this gateway's next call.
func (fol *Follower) nextInterval() time.Duration {
	interval := fol.cfg.PollInterval
	if fol.cfg.IsIdle != nil && fol.cfg.IsIdle() {
		interval = fol.cfg.IdleInterval
	}
	readers, expectsChanges := fol.cfg.Readers(), fol.cfg.ExpectsChanges != nil && fol.cfg.ExpectsChanges()
	if readers <= 1 {
		if expectsChanges {
			interval = fol.cfg.ChangesInterval
		}
		return interval
	}
	if expectsChanges {
		interval = max(fol.cfg.ChangesInterval, scale(interval, sharedChangesShare))
	}
	return bwspread.Timer{Longest: interval}.Next(readers)
}

// sleep waits for a pause and applies the updates of other gateways meanwhile,
// which may restart the pause. After a failed read the pause restarts as failure
// says; else it is nil. sleep returns true when such a pause has ended.
func (fol *Follower) sleep(ctx context.Context, pause time.Duration, failure *failedRead) bool {
	tmr := time.NewTimer(pause)
	defer tmr.Stop()
	for {
		select {
		case upd := <-fol.updates:
			next, ok := fol.applyUpdate(ctx, upd)
			switch {
			case ok:
				tmr.Reset(next)
				failure = nil
			case failure != nil && upd.After > fol.version:
				tmr.Reset(failure.onGap())
				failure = nil
			}
		case <-fol.probes:
			if failure != nil {
				tmr.Reset(failure.onProbe())
			}
		case <-fol.cfg.Wake:
			if failure == nil {
				tmr.Reset(fol.nextInterval())
			}
		case <-tmr.C:
			return failure != nil
		case <-ctx.Done():
			return false
		}
	}
}

// applyUpdate applies an update of another gateway, and those that followed it
// and came before. It returns the time until this gateway's next call, and true
// if the update sets that time: since it is recent enough to postpone the call, or
// shows that the store was restored. An update that is older than the applied version
// is ignored.
func (fol *Follower) applyUpdate(ctx context.Context, upd TableUpdate) (time.Duration, bool) {
	if fol.version > 0 && upd.Era > fol.era {
		return fol.enterEra(ctx, upd)
	}
	if fol.version == 0 || upd.Era < fol.era || upd.Version < fol.version {
		fol.cfg.Log.Info("update not applied", "Table", fol.cfg.Table, "TableVersion", fol.version, "Era", fol.era, "UpdateAfter", upd.After, "UpdateVersion", upd.Version, "UpdateEra", upd.Era)
		return 0, false
	}
	if upd.After > fol.version {
		fol.early = append(fol.early[max(len(fol.early)-maxEarlyUpdates+1, 0):], upd)
		return 0, false
	}
	for next := &upd; next != nil; next = fol.nextEarly() {
		upd = *next
		fol.version, fol.currentAt = upd.Version, time.Now()
		if err := fol.cfg.Apply(ctx, upd.ReadResult, false); err != nil {
			return 0, false
		}
	}
	if fol.clockOffset+time.Since(fol.startedAt)-upd.Now > maxUpdateAge {
		return 0, false
	}
	return fol.nextInterval(), true
}

// enterEra applies the whole table of a restored store that another gateway has read.
// Other updates of a later era only show that this gateway has to read the table.
func (fol *Follower) enterEra(ctx context.Context, upd TableUpdate) (time.Duration, bool) {
	if upd.Whole {
		fol.readWhole = false
		return fol.nextInterval(), fol.apply(ctx, upd.ReadResult, true) == nil
	}
	isNew := !fol.readWhole
	fol.readWhole = true
	return rand.N(maxEraPause), isNew
}

// nextEarly removes and returns an early update that can be applied now, or nil.
func (fol *Follower) nextEarly() *TableUpdate {
	for ix, upd := range fol.early {
		if upd.After <= fol.version && upd.Version > fol.version {
			fol.early = slices.Delete(fol.early, ix, ix+1)
			return &upd
		}
	}
	return nil
}
