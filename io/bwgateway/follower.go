package bwgateway

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"time"
)

// Follower keeps a process current with one table of a store. The followers of
// a table in several gateways share what they read: one that has just heard what
// another one has read asks later itself, so that the calls of a fleet don't
// grow with it. Its goroutine owns it.
type Follower struct {
	cfg FollowerConfig
	// heard are the readings of others, which must not wait for this one's calls.
	heard chan TableUpdate
	// version is the one up to which the table is known; 0 means not at all.
	version uint64
	// offset is the store's steady clock when this process's one was at begun.
	offset time.Duration
	begun  time.Time
}

// FollowerConfig configures a Follower.
type FollowerConfig struct {
	Table string
	// PollInterval is the longest time between a reading and the next call, Wait how long
	// a call waits for changes when the table is not shared; 0 means changesWait.
	PollInterval, LongPollTimeout time.Duration
	// ReadTable returns the whole table.
	ReadTable func(ctx context.Context) (ReadResult, error)
	// ReadChanges returns the changes after a version, for which it waits if there
	// are none; ErrHistoryLost says that some are missing.
	ReadChanges func(ctx context.Context, after uint64, wait time.Duration) (ReadResult, error)
	// Apply takes rows in; with whole set they are all of the table.
	Apply func(ctx context.Context, rdg ReadResult, whole bool) error
	// OnReadFailure is told that the table can't be read; it may be nil.
	OnReadFailure func(ctx context.Context, cause error) error
	// SendUpdate passes a reading to the other gateways.
	SendUpdate func(TableUpdate)
	// SharesReads reports whether enough gateways follow the table.
	SharesReads func() bool
	Log         *slog.Logger
}

// Row is one row of a table.
type Row struct {
	Key   string
	Value []byte
	// Deleted is set in changes only.
	Deleted bool
}

// ReadResult is what a call has returned.
type ReadResult struct {
	Rows []Row
	// Version is where changes go on.
	Version uint64
	// Now is the store's steady clock.
	Now time.Duration
}

// TableUpdate is a reading of the changes of a table that another gateway has made.
type TableUpdate struct {
	Table string
	// After is the version that the changes follow.
	After uint64
	ReadResult
}

// ErrHistoryLost says that changes are missing, so that a table has to be read anew.
var ErrHistoryLost = errors.New("store has dropped the history")

const (
	// changesWait is how long one call waits for changes when the table is not
	// shared. A connection that has gone silent is noticed after this time and that
	// of a read, which must be less than the 3 s after which the platform expects a
	// process to be current again.
	changesWait = 1700 * time.Millisecond
	// leastPause and mostPause bound the pause after a failed call; all processes
	// share the store's rate, and each call has a price.
	leastPause = 100 * time.Millisecond
	mostPause  = 800 * time.Millisecond
	// restShare is the least part of Pause that passes between a reading and the
	// next call; gateways draw their times from the rest, so that one is the first.
	restShare = 0.7
	// freshTime is the age up to which news put off the next call. It is above the
	// way of a datagram between zones, and short against Pause.
	freshTime = 250 * time.Millisecond
	// heardNews is above what comes in while one call takes as long as it may.
	heardNews = 64
)

func newFollower(cfg FollowerConfig) *Follower {
	if cfg.LongPollTimeout == 0 {
		cfg.LongPollTimeout = changesWait
	}
	if cfg.OnReadFailure == nil {
		cfg.OnReadFailure = func(context.Context, error) error { return nil }
	}
	return &Follower{cfg: cfg, heard: make(chan TableUpdate, heardNews), begun: time.Now()}
}

// Start follows the table until the context ends.
func (fol *Follower) Start(ctx context.Context) { go fol.loop(ctx) }

// hear passes the news of another gateway on without waiting; what finds no
// place is as good as lost on the way.
func (fol *Follower) hear(nws TableUpdate) {
	select {
	case fol.heard <- nws:
	default:
	}
}

func (fol *Follower) loop(ctx context.Context) {
	pause := leastPause
	wait := time.Duration(0)
	for ctx.Err() == nil {
		err := fol.ask(ctx, wait)
		switch {
		case err == nil:
			pause, wait = leastPause, fol.cfg.LongPollTimeout
			fol.rest(ctx, fol.nextPause())
		case ctx.Err() != nil:
			return
		case errors.Is(err, ErrHistoryLost):
			fol.cfg.Log.Warn("history of a table lost", "Table", fol.cfg.Table, "Version", fol.version)
			fol.version = 0
		default:
			// A call that does not wait shows sooner that the store is back.
			wait = 0
			fol.cfg.Log.Warn("store call failed", "Table", fol.cfg.Table, "Version", fol.version, "Error", err, "Pause", pause)
			if err := fol.cfg.OnReadFailure(ctx, err); err != nil {
				return
			}
			fol.rest(ctx, pause/2+rand.N(pause/2))
			pause = min(2*pause, mostPause)
		}
	}
}

// ask reads the table, or its next changes, and tells the other gateways.
func (fol *Follower) ask(ctx context.Context, wait time.Duration) error {
	if fol.version == 0 {
		rdg, err := fol.cfg.ReadTable(ctx)
		if err != nil {
			return err
		}
		return fol.take(ctx, rdg, true)
	}
	if fol.cfg.SharesReads() {
		wait = 0
	}
	rdg, err := fol.cfg.ReadChanges(ctx, fol.version, wait)
	if err != nil {
		return err
	}
	after := fol.version
	if err := fol.take(ctx, rdg, false); err != nil {
		return err
	}
	fol.cfg.SendUpdate(TableUpdate{Table: fol.cfg.Table, After: after, ReadResult: rdg})
	return nil
}

func (fol *Follower) take(ctx context.Context, rdg ReadResult, whole bool) error {
	if rdg.Now > 0 {
		fol.offset = rdg.Now - time.Since(fol.begun)
	}
	fol.version = max(rdg.Version, fol.version)
	return fol.cfg.Apply(ctx, rdg, whole)
}

// nextPause returns how long after a reading this process asks itself.
func (fol *Follower) nextPause() time.Duration {
	if !fol.cfg.SharesReads() {
		return fol.cfg.PollInterval
	}
	least := scale(fol.cfg.PollInterval, restShare)
	return least + rand.N(fol.cfg.PollInterval-least)
}

// rest waits for a time that the news of others prolong.
func (fol *Follower) rest(ctx context.Context, pause time.Duration) {
	tmr := time.NewTimer(pause)
	defer tmr.Stop()
	for {
		select {
		case nws := <-fol.heard:
			if next, ok := fol.learn(ctx, nws); ok {
				tmr.Reset(next)
			}
		case <-tmr.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// learn takes in what another gateway has read, and reports how long this one
// may wait then. News that don't follow on what is known change nothing.
func (fol *Follower) learn(ctx context.Context, nws TableUpdate) (time.Duration, bool) {
	if fol.version == 0 || nws.After > fol.version || nws.Version < fol.version {
		return 0, false
	}
	fol.version = nws.Version
	if err := fol.cfg.Apply(ctx, nws.ReadResult, false); err != nil {
		return 0, false
	}
	if fol.offset+time.Since(fol.begun)-nws.Now > freshTime {
		return 0, false
	}
	return fol.nextPause(), true
}
