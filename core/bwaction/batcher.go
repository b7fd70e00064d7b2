package bwaction

import (
	"context"
	"errors"
	"time"
)

// Batcher groups the row writes of one router into transactions. One goroutine
// owns the queued writes, and others run the transactions.
type Batcher struct {
	cfg     BatcherConfig
	queue   chan *pendingWrite
	batches chan []*pendingWrite
	closed  chan struct{}
}

// BatcherConfig configures a Batcher.
type BatcherConfig struct {
	// Commit writes all rows in one transaction or none. The error applies to the
	// whole transaction: nil, ErrUnavailable, ErrOutcomeUnknown, ErrRejected or
	// ErrConflict. With ErrConflict, conflicts marks the writes whose condition did
	// not hold.
	Commit func(context.Context, []Write) (conflicts []bool, err error)
	// Delay is how long the first write of a batch waits for others; 0 means 5 ms.
	Delay time.Duration
	// MaxWrites limits the writes per transaction; 0 means 100, the table's limit.
	MaxWrites int
	// MaxBytes limits the response bytes in one transaction; 0 means 2 MiB, half of
	// the table's limit.
	MaxBytes int
	// Parallel limits the transactions in progress; 0 means 4.
	Parallel int
	// Timeout limits the duration of one transaction; 0 means 2 s.
	Timeout time.Duration
	// After returns a channel that fires once; nil means time.After.
	After func(time.Duration) <-chan time.Time
}

// Write is the insert or swap of one row in a transaction.
type Write struct {
	Row Row
	// Expected is the version that a swap replaces; nil inserts a row whose key
	// must not exist.
	Expected *RowVersion
}

const (
	defaultDelay         = 5 * time.Millisecond
	defaultMaxWrites     = 100
	defaultMaxBatchBytes = 2 << 20
	defaultParallel      = 4
	batcherQueueLength   = 1024
)

type pendingWrite struct {
	write  Write
	result chan error
}

// NewBatcher returns a batcher; its writes wait until Start is called.
func NewBatcher(cfg BatcherConfig) *Batcher {
	if cfg.Delay == 0 {
		cfg.Delay = defaultDelay
	}
	if cfg.MaxWrites == 0 {
		cfg.MaxWrites = defaultMaxWrites
	}
	if cfg.MaxBytes == 0 {
		cfg.MaxBytes = defaultMaxBatchBytes
	}
	if cfg.Parallel == 0 {
		cfg.Parallel = defaultParallel
	}
	if cfg.Timeout == 0 {
		cfg.Timeout = defaultTableTimeout
	}
	if cfg.After == nil {
		cfg.After = time.After
	}
	return &Batcher{
		cfg:     cfg,
		queue:   make(chan *pendingWrite, batcherQueueLength),
		batches: make(chan []*pendingWrite),
		closed:  make(chan struct{}),
	}
}

// Start starts the batcher's goroutines, which run until the context ends.
func (bat *Batcher) Start(ctx context.Context) {
	for range bat.cfg.Parallel {
		go bat.loop(ctx)
	}
	go bat.run(ctx)
}

// Insert writes a row whose key must not exist, in a transaction with other
// writes. It returns the errors of CoordinatorConfig.Insert, or ErrRejected.
func (bat *Batcher) Insert(ctx context.Context, row Row) error {
	return bat.submit(ctx, Write{Row: row})
}

// Swap replaces a row that still has the expected version, in a transaction
// with other writes. It returns the same errors as Insert.
func (bat *Batcher) Swap(ctx context.Context, exp RowVersion, row Row) error {
	return bat.submit(ctx, Write{Row: row, Expected: &exp})
}

func (bat *Batcher) submit(ctx context.Context, wrt Write) error {
	pen := &pendingWrite{write: wrt, result: make(chan error, 1)}
	select {
	case bat.queue <- pen:
	case <-ctx.Done():
		return errors.Join(ErrUnavailable, ctx.Err())
	case <-bat.closed:
		return ErrUnavailable
	}
	select {
	case err := <-pen.result:
		return err
	case <-ctx.Done():
		return errors.Join(ErrOutcomeUnknown, ctx.Err())
	case <-bat.closed:
		return ErrOutcomeUnknown
	}
}

// run collects writes, and sends a batch to the goroutines in loop when the delay
// has elapsed or MaxWrites are queued.
func (bat *Batcher) run(ctx context.Context) {
	defer close(bat.closed)
	var waiting []*pendingWrite
	var timer <-chan time.Time
	for {
		var send chan []*pendingWrite
		var batch, rest []*pendingWrite
		if len(waiting) >= bat.cfg.MaxWrites || (timer == nil && len(waiting) > 0) {
			batch, rest = bat.takeBatch(waiting)
			send = bat.batches
		}
		select {
		case pen := <-bat.queue:
			if len(waiting) == 0 {
				timer = bat.cfg.After(bat.cfg.Delay)
			}
			waiting = append(waiting, pen)
		case <-timer:
			timer = nil
		case send <- batch:
			waiting = rest
		case <-ctx.Done():
			return
		}
	}
}

// takeBatch splits the waiting writes into the next batch and the rest. A batch
// holds each key at most once, because the table rejects a repeated key.
func (bat *Batcher) takeBatch(waiting []*pendingWrite) (batch, rest []*pendingWrite) {
	seen := make(map[Key]bool, len(waiting))
	size := 0
	for _, pen := range waiting {
		row := &pen.write.Row
		newSize := size + len(row.Response.Body)
		full := len(batch) >= bat.cfg.MaxWrites || (len(batch) > 0 && newSize > bat.cfg.MaxBytes)
		if full || seen[row.Key] {
			rest = append(rest, pen)
			continue
		}
		seen[row.Key] = true
		size = newSize
		batch = append(batch, pen)
	}
	return batch, rest
}

func (bat *Batcher) loop(ctx context.Context) {
	for {
		select {
		case batch := <-bat.batches:
			bat.commit(ctx, batch)
		case <-ctx.Done():
			return
		}
	}
}

// commit writes a batch. Writes whose condition fails return the conflict, and the
// others are retried without them. A rejected batch is halved until it holds the
// rejected write only.
func (bat *Batcher) commit(ctx context.Context, batch []*pendingWrite) {
	for len(batch) > 0 {
		conflicts, err := bat.commitOnce(ctx, batch)
		if errors.Is(err, ErrRejected) && len(batch) > 1 {
			half := len(batch) / 2
			bat.commit(ctx, batch[:half])
			batch = batch[half:]
			continue
		}
		if !errors.Is(err, ErrConflict) {
			sendResult(batch, err)
			return
		}
		var remaining []*pendingWrite
		for ix, pen := range batch {
			if ix < len(conflicts) && conflicts[ix] {
				pen.result <- err
				continue
			}
			remaining = append(remaining, pen)
		}
		if len(remaining) == len(batch) {
			sendResult(batch, ErrUnavailable)
			return
		}
		batch = remaining
	}
}

func (bat *Batcher) commitOnce(ctx context.Context, batch []*pendingWrite) ([]bool, error) {
	ctx, cancel := context.WithTimeout(ctx, bat.cfg.Timeout)
	defer cancel()
	writes := make([]Write, 0, len(batch))
	for _, pen := range batch {
		writes = append(writes, pen.write)
	}
	return bat.cfg.Commit(ctx, writes)
}

func sendResult(batch []*pendingWrite, err error) {
	for _, pen := range batch {
		pen.result <- err
	}
}
