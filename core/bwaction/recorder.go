package bwaction

import (
	"context"
	"errors"
	"sync/atomic"
	"time"
)

// Recorder repeats the writes of results that failed, so that a result outlives
// the agent's ledger once the table is back. One goroutine owns the results.
type Recorder struct {
	cfg   RecorderConfig
	queue chan unrecorded
	// waiting counts the results in the queue and with the goroutine.
	waiting atomic.Int64
}

// RecorderConfig configures a Recorder.
type RecorderConfig struct {
	// Swap is that of CoordinatorConfig.
	Swap func(context.Context, RowVersion, Row) error
	Now  func() time.Time
	// After returns a channel that fires once; nil means time.After.
	After func(time.Duration) <-chan time.Time
	// Interval is the time between two tries; 0 means 1 s.
	Interval time.Duration
	// Retention is how long a result is tried; 0 means 15 min, as long as the
	// agent's ledger keeps it.
	Retention time.Duration
	// MaxResults bounds the results kept; 0 means 1024.
	MaxResults int
	// MaxBytes bounds their responses; 0 means 32 MiB.
	MaxBytes int
	// Timeout bounds one write; 0 means 2 s.
	Timeout time.Duration
}

const (
	defaultRecordInterval  = time.Second
	defaultMaxResults      = 1024
	defaultMaxResultsBytes = 32 << 20
)

// unrecorded is a result whose write has failed.
type unrecorded struct {
	expect RowVersion
	row    Row
	since  time.Time
}

// NewRecorder returns a recorder that does nothing before Start.
func NewRecorder(cfg RecorderConfig) *Recorder {
	if cfg.After == nil {
		cfg.After = time.After
	}
	if cfg.Interval == 0 {
		cfg.Interval = defaultRecordInterval
	}
	if cfg.Retention == 0 {
		cfg.Retention = defaultRetention
	}
	if cfg.MaxResults == 0 {
		cfg.MaxResults = defaultMaxResults
	}
	if cfg.MaxBytes == 0 {
		cfg.MaxBytes = defaultMaxResultsBytes
	}
	if cfg.Timeout == 0 {
		cfg.Timeout = defaultTableTimeout
	}
	return &Recorder{cfg: cfg, queue: make(chan unrecorded, cfg.MaxResults)}
}

// Start runs the recorder until the context ends.
func (rcd *Recorder) Start(ctx context.Context) { go rcd.loop(ctx) }

// Add takes a result to write later. It never blocks; a result beyond the bounds
// stays with the agent only.
func (rcd *Recorder) Add(exp RowVersion, row Row) {
	rcd.waiting.Add(1)
	select {
	case rcd.queue <- unrecorded{expect: exp, row: row, since: rcd.cfg.Now()}:
	default:
		rcd.waiting.Add(-1)
	}
}

// Pending returns the number of results that are not yet written.
func (rcd *Recorder) Pending() int { return int(rcd.waiting.Load()) }

func (rcd *Recorder) loop(ctx context.Context) {
	var kept []unrecorded
	for {
		var timer <-chan time.Time
		if len(kept) > 0 {
			timer = rcd.cfg.After(rcd.cfg.Interval)
		}
		select {
		case one := <-rcd.queue:
			kept = append(kept, one)
			for len(rcd.queue) > 0 {
				kept = append(kept, <-rcd.queue)
			}
		case <-timer:
			kept = rcd.write(ctx, kept)
		case <-ctx.Done():
			return
		}
		kept = rcd.bound(kept)
	}
}

// write tries each result once and returns those to try again. After the first
// failure the rest waits, since the table is still away.
func (rcd *Recorder) write(ctx context.Context, kept []unrecorded) []unrecorded {
	for ix, one := range kept {
		if rcd.cfg.Now().Sub(one.since) >= rcd.cfg.Retention {
			rcd.waiting.Add(-1)
			continue
		}
		call, cancel := context.WithTimeout(ctx, rcd.cfg.Timeout)
		err := rcd.cfg.Swap(call, one.expect, one.row)
		cancel()
		if repeatable(err) {
			return kept[ix:]
		}
		rcd.waiting.Add(-1)
	}
	return nil
}

// bound drops the oldest results above the bounds.
func (rcd *Recorder) bound(kept []unrecorded) []unrecorded {
	size := 0
	for _, one := range kept {
		size += len(one.row.Response.Body)
	}
	for len(kept) > rcd.cfg.MaxResults || size > rcd.cfg.MaxBytes {
		size -= len(kept[0].row.Response.Body)
		kept = kept[1:]
		rcd.waiting.Add(-1)
	}
	return kept
}

// repeatable reports whether a write may succeed later. After a conflict the row
// has another outcome, or this one from an earlier try.
func repeatable(err error) bool {
	return err != nil && !errors.Is(err, ErrConflict) && !errors.Is(err, ErrRejected)
}
