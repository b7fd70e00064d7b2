package bwaction

import (
	"context"
	"errors"
	"time"
)

// Batcher groups the writes of one router into transactions; one goroutine owns
// the writes that wait, and each transaction runs in another.
type Batcher struct {
	cfg    BatcherConfig
	queue  chan *pending
	ready  chan []*pending
	closed chan struct{}
}

// BatcherConfig configures a Batcher.
type BatcherConfig struct {
	// Commit writes all rows in one transaction or none. The first error is about
	// the whole transaction (nil, ErrUnavailable, ErrUnsure or ErrRejected); for
	// ErrConflict the slice tells which writes did not meet their condition.
	Commit func(context.Context, []Write) (conflicts []bool, err error)
	// Delay is how long a write waits for others; 0 means 5 ms.
	Delay time.Duration
	// MaxWrites bounds one transaction; 0 means 100, the limit of the table.
	MaxWrites int
	// MaxBytes bounds the responses in one transaction; 0 means 2 MiB, half of the
	// table's limit.
	MaxBytes int
	// Parallel bounds the transactions in progress; 0 means 4.
	Parallel int
	// Timeout bounds one transaction; 0 means 2 s.
	Timeout time.Duration
	// After returns a channel that fires once; nil means time.After.
	After func(time.Duration) <-chan time.Time
}

// Write is one row of a transaction.
type Write struct {
	Row Row
	// Expected is the condition of a swap; nil means that the key has no row.
	Expected *RowVersion
}

const (
	defaultDelay         = 5 * time.Millisecond
	defaultMaxWrites     = 100
	defaultMaxBatchBytes = 2 << 20
	defaultParallel      = 4
	batcherBacklog       = 1024
)

type pending struct {
	write  Write
	result chan error
}

// NewBatcher returns a batcher that does nothing before Start.
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
		cfg:    cfg,
		queue:  make(chan *pending, batcherBacklog),
		ready:  make(chan []*pending),
		closed: make(chan struct{}),
	}
}

// Start runs the batcher until the context ends.
func (bat *Batcher) Start(ctx context.Context) {
	for range bat.cfg.Parallel {
		go bat.loop(ctx)
	}
	go bat.run(ctx)
}

// Insert writes a row if its key has none, together with other writes; its
// errors are those of CoordinatorConfig.Insert.
func (bat *Batcher) Insert(ctx context.Context, row Row) error {
	return bat.do(ctx, Write{Row: row})
}

// Swap replaces a row that is as expected, together with other writes.
func (bat *Batcher) Swap(ctx context.Context, exp RowVersion, row Row) error {
	return bat.do(ctx, Write{Row: row, Expected: &exp})
}

func (bat *Batcher) do(ctx context.Context, wrt Write) error {
	pen := &pending{write: wrt, result: make(chan error, 1)}
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

// run collects writes until the delay is over or a transaction is full.
func (bat *Batcher) run(ctx context.Context) {
	defer close(bat.closed)
	var waiting []*pending
	var timer <-chan time.Time
	for {
		var out chan []*pending
		var batch, rest []*pending
		if len(waiting) >= bat.cfg.MaxWrites || (timer == nil && len(waiting) > 0) {
			batch, rest = bat.split(waiting)
			out = bat.ready
		}
		select {
		case pen := <-bat.queue:
			if len(waiting) == 0 {
				timer = bat.cfg.After(bat.cfg.Delay)
			}
			waiting = append(waiting, pen)
		case <-timer:
			timer = nil
		case out <- batch:
			waiting = rest
		case <-ctx.Done():
			return
		}
	}
}

// split takes the next transaction from the waiting writes; a key appears in it
// only once, as the table demands.
func (bat *Batcher) split(waiting []*pending) (batch, rest []*pending) {
	seen := make(map[Key]bool, len(waiting))
	size := 0
	for _, pen := range waiting {
		row := &pen.write.Row
		grown := size + len(row.Response.Body)
		full := len(batch) >= bat.cfg.MaxWrites || (len(batch) > 0 && grown > bat.cfg.MaxBytes)
		if full || seen[row.Key] {
			rest = append(rest, pen)
			continue
		}
		seen[row.Key] = true
		size = grown
		batch = append(batch, pen)
	}
	return batch, rest
}

func (bat *Batcher) loop(ctx context.Context) {
	for {
		select {
		case batch := <-bat.ready:
			bat.commit(ctx, batch)
		case <-ctx.Done():
			return
		}
	}
}

// commit writes a batch; writes whose condition fails are told so, and the
// others are tried again without them. A batch that the table rejects is halved
// until the write at fault is alone.
func (bat *Batcher) commit(ctx context.Context, batch []*pending) {
	for len(batch) > 0 {
		conflicts, err := bat.attempt(ctx, batch)
		if errors.Is(err, ErrRejected) && len(batch) > 1 {
			half := len(batch) / 2
			bat.commit(ctx, batch[:half])
			batch = batch[half:]
			continue
		}
		if !errors.Is(err, ErrConflict) {
			finish(batch, err)
			return
		}
		var kept []*pending
		for ix, pen := range batch {
			if ix < len(conflicts) && conflicts[ix] {
				pen.result <- err
				continue
			}
			kept = append(kept, pen)
		}
		if len(kept) == len(batch) {
			finish(batch, ErrUnavailable)
			return
		}
		batch = kept
	}
}

func (bat *Batcher) attempt(ctx context.Context, batch []*pending) ([]bool, error) {
	ctx, cancel := context.WithTimeout(ctx, bat.cfg.Timeout)
	defer cancel()
	writes := make([]Write, 0, len(batch))
	for _, pen := range batch {
		writes = append(writes, pen.write)
	}
	return bat.cfg.Commit(ctx, writes)
}

func finish(batch []*pending, err error) {
	for _, pen := range batch {
		pen.result <- err
	}
}
