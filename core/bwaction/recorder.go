package bwaction

import (
	"context"
	"errors"
	"sync/atomic"
	"time"
)

// Recorder retries failed writes of results, so that a result is in the table
// before the agent's ledger evicts it. One goroutine owns the results.
type Recorder struct {
	cfg   RecorderConfig
	queue chan unwrittenResult
	// pending counts the results in the queue and those that the goroutine holds.
	pending atomic.Int64
}

// RecorderConfig configures a Recorder.
type RecorderConfig struct {
	// Swap is CoordinatorConfig.Swap.
	Swap func(context.Context, RowVersion, Row) error
	Now  func() time.Time
	// After returns a channel that fires once; nil means time.After.
	After func(time.Duration) <-chan time.Time
	// Interval is the time between retries; 0 means 1 s.
	Interval time.Duration
	// Retention is how long a result is retried; 0 means 15 min, the default
	// retention of the agent's ledger.
	Retention time.Duration
	// MaxResults limits the number of pending results; 0 means 1024.
	MaxResults int
	// MaxBytes limits the bytes of their response bodies; 0 means 32 MiB.
	MaxBytes int
	// Timeout limits one write; 0 means 2 s.
	Timeout time.Duration
}

const (
	defaultRecordInterval  = time.Second
	defaultMaxResults      = 1024
	defaultMaxResultsBytes = 32 << 20
)

// unwrittenResult is a result whose write has failed.
type unwrittenResult struct {
	expected RowVersion
	row      Row
	queuedAt time.Time
}

// NewRecorder returns a recorder that writes nothing until Start is called.
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
	return &Recorder{cfg: cfg, queue: make(chan unwrittenResult, cfg.MaxResults)}
}

// Start starts the recorder's goroutine, which runs until the context ends.
func (rcd *Recorder) Start(ctx context.Context) { go rcd.loop(ctx) }

// Add queues a result for a later write. It never blocks; a result above the
// limits is dropped, and only the agent keeps it.
func (rcd *Recorder) Add(exp RowVersion, row Row) {
	rcd.pending.Add(1)
	select {
	case rcd.queue <- unwrittenResult{expected: exp, row: row, queuedAt: rcd.cfg.Now()}:
	default:
		rcd.pending.Add(-1)
	}
}

// Pending returns the number of results that are not written yet.
func (rcd *Recorder) Pending() int { return int(rcd.pending.Load()) }

func (rcd *Recorder) loop(ctx context.Context) {
	var results []unwrittenResult
	for {
		var timer <-chan time.Time
		if len(results) > 0 {
			timer = rcd.cfg.After(rcd.cfg.Interval)
		}
		select {
		case res := <-rcd.queue:
			results = append(results, res)
			for len(rcd.queue) > 0 {
				results = append(results, <-rcd.queue)
			}
		case <-timer:
			results = rcd.write(ctx, results)
		case <-ctx.Done():
			return
		}
		results = rcd.enforceLimits(results)
	}
}

// write tries to write each result and returns those to retry. It stops at the
// first retryable failure, because the table is then still unavailable.
func (rcd *Recorder) write(ctx context.Context, results []unwrittenResult) []unwrittenResult {
	for ix, res := range results {
		if rcd.cfg.Now().Sub(res.queuedAt) >= rcd.cfg.Retention {
			rcd.pending.Add(-1)
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, rcd.cfg.Timeout)
		err := rcd.cfg.Swap(callCtx, res.expected, res.row)
		cancel()
		if retryable(err) {
			return results[ix:]
		}
		rcd.pending.Add(-1)
	}
	return nil
}

// enforceLimits drops the oldest results above MaxResults and MaxBytes.
func (rcd *Recorder) enforceLimits(results []unwrittenResult) []unwrittenResult {
	size := 0
	for _, res := range results {
		size += len(res.row.Response.Body)
	}
	for len(results) > rcd.cfg.MaxResults || size > rcd.cfg.MaxBytes {
		size -= len(results[0].row.Response.Body)
		results = results[1:]
		rcd.pending.Add(-1)
	}
	return results
}

// retryable reports whether a failed write may succeed later. After a conflict it
// can't: the row has another outcome, or this one from an earlier attempt.
func retryable(err error) bool {
	return err != nil && !errors.Is(err, ErrConflict) && !errors.Is(err, ErrRejected)
}
