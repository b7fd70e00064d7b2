package bwaction

import (
	"context"
	"time"

	"bilberrywick/core/bwmodel"
)

// Coordinator runs actions for a router: it reserves them in the table,
// dispatches them to agents and settles what is left unclear.
type Coordinator struct{ cfg CoordinatorConfig }

// CoordinatorConfig configures a Coordinator.
type CoordinatorConfig struct {
	// Read returns a row with all writes confirmed before the call, and whether it exists.
	Read func(context.Context, Key) (Row, bool, error)
	// Insert writes a row if its key has none; it returns nil, ErrConflict,
	// ErrUnavailable or ErrUnsure, as Swap does.
	Insert func(context.Context, Row) error
	// Swap replaces a row that is as expected.
	Swap func(context.Context, RowVersion, Row) error
	// RetryLater takes the write of a result that has failed, as Recorder.Add does; nil
	// leaves the result with the agent only.
	RetryLater func(RowVersion, Row)
	// Choose returns an upstream that is not excluded, or an error when none takes work.
	Choose func(context.Context, Request, []bwmodel.UpstreamID) (Target, error)
	// Dispatch returns SettleDone with the response or SettleBroken, a
	// *RefusedError, or any other error when the agent may have the dispatch.
	Dispatch func(context.Context, bwmodel.UpstreamID, Dispatch) (SettleResult, error)
	// Settle asks an agent; its errors are those of Dispatch.
	Settle func(context.Context, bwmodel.UpstreamID, SettleRequest) (SettleResult, error)
	Now    func() time.Time
	// After returns a channel that fires once; nil means time.After.
	After func(time.Duration) <-chan time.Time
	// NewAttempt returns an id that has never been used.
	NewAttempt func() bwmodel.RequestID
	// Lifetime is the time from choosing an upstream to the dispatch's expiry; 0 means 10 s.
	Lifetime time.Duration
	// MaxReservations bounds the reservations that one request makes; 0 means 3.
	MaxReservations int
	// PollInterval is the time between questions to an agent; 0 means 100 ms.
	PollInterval time.Duration
	// SettleTimeout bounds the wait for an agent that may have a dispatch and does
	// not answer; 0 means 5 s.
	SettleTimeout time.Duration
	// CallTimeout bounds one question to an agent, so that one that has vanished
	// silently is asked again or given up; 0 means 2 s.
	CallTimeout time.Duration
	// TableTimeout bounds one operation of the table; 0 means 2 s.
	TableTimeout time.Duration
	// RunTimeout bounds a request once its action may have been sent, whether the
	// caller waits or not; 0 means 2 min.
	RunTimeout time.Duration
}

// Defaults of CoordinatorConfig.
const (
	defaultLifetime      = 10 * time.Second
	defaultMaxMoves      = 3
	defaultPollInterval  = 100 * time.Millisecond
	defaultSettleTimeout = 5 * time.Second
	defaultCallTimeout   = 2 * time.Second
	defaultTableTimeout  = 2 * time.Second
	defaultRunTimeout    = 2 * time.Minute
)

// Request is a caller's action.
type Request struct {
	ID      bwmodel.RequestID
	Key     Key
	Service bwmodel.ServiceID
	HTTP    bwmodel.HTTPRequest
}

// NewCoordinator returns a coordinator.
func NewCoordinator(cfg CoordinatorConfig) *Coordinator {
	if cfg.After == nil {
		cfg.After = time.After
	}
	if cfg.Lifetime == 0 {
		cfg.Lifetime = defaultLifetime
	}
	if cfg.MaxReservations == 0 {
		cfg.MaxReservations = defaultMaxMoves
	}
	if cfg.PollInterval == 0 {
		cfg.PollInterval = defaultPollInterval
	}
	if cfg.SettleTimeout == 0 {
		cfg.SettleTimeout = defaultSettleTimeout
	}
	if cfg.CallTimeout == 0 {
		cfg.CallTimeout = defaultCallTimeout
	}
	if cfg.TableTimeout == 0 {
		cfg.TableTimeout = defaultTableTimeout
	}
	if cfg.RunTimeout == 0 {
		cfg.RunTimeout = defaultRunTimeout
	}
	return &Coordinator{cfg: cfg}
}

// Run runs an action at most once under its key, and returns Done, a
// *NotRunError or an *UnknownError. It goes on after the caller's context has
// ended, so that an action in flight is recorded.
func (co *Coordinator) Run(ctx context.Context, req Request) (Result, error) {
	rn := &run{co: co, req: req, digest: DigestOf(req.Service, req.HTTP)}
	tgt, err := co.cfg.Choose(ctx, req, nil)
	if err != nil {
		return rn.refused(ctx, &NotRunError{Reason: NoUpstream, Err: err})
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), co.cfg.RunTimeout)
	defer cancel()
	row := rn.row(tgt, 1)
	if err := co.insert(ctx, row); err != nil {
		return rn.resolve(ctx, row, err)
	}
	return rn.drive(ctx, row)
}

// Reject returns the outcome of a request that was turned away before Run: the
// given refusal only when no earlier request has used the key.
func (co *Coordinator) Reject(ctx context.Context, req Request, cause *NotRunError) (Result, error) {
	rn := &run{co: co, req: req, digest: DigestOf(req.Service, req.HTTP)}
	return rn.refused(ctx, cause)
}

// Query returns the outcome of a key so far, in the same forms as Run; it
// changes nothing that is still to come.
func (co *Coordinator) Query(ctx context.Context, key Key) (Result, error) {
	row, found, err := co.read(ctx, key)
	if err != nil {
		return Result{}, &UnknownOutcomeError{Reason: TableUnavailable, RequestNotRun: true, Err: err}
	}
	if !found {
		return Result{}, &NotRunError{Reason: NeverStarted}
	}
	rn := &run{co: co, req: Request{Key: key}, digest: row.Digest}
	return rn.observe(ctx, row)
}

func (co *Coordinator) read(ctx context.Context, key Key) (Row, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, co.cfg.TableTimeout)
	defer cancel()
	return co.cfg.Read(ctx, key)
}

func (co *Coordinator) insert(ctx context.Context, row Row) error {
	ctx, cancel := context.WithTimeout(ctx, co.cfg.TableTimeout)
	defer cancel()
	return co.cfg.Insert(ctx, row)
}

func (co *Coordinator) swap(ctx context.Context, exp RowVersion, row Row) error {
	ctx, cancel := context.WithTimeout(ctx, co.cfg.TableTimeout)
	defer cancel()
	return co.cfg.Swap(ctx, exp, row)
}

// pause waits one poll interval and reports whether the context still runs.
func (co *Coordinator) pause(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-co.cfg.After(co.cfg.PollInterval):
		return true
	}
}

// settleRow asks the row's agent what became of the dispatch that the row permits.
func (co *Coordinator) settleRow(ctx context.Context, row Row, peek bool) (SettleResult, error) {
	ctx, cancel := context.WithTimeout(ctx, co.cfg.CallTimeout)
	defer cancel()
	return co.cfg.Settle(ctx, row.Upstream, SettleRequest{
		Key:         row.Key,
		Fence:       row.Fence,
		Incarnation: row.Incarnation,
		Expiry:      row.Expiry,
		Peek:        peek,
	})
}

// record writes the end of an action; a write that fails is repeated later, and
// until then the agent still knows the result.
func (co *Coordinator) record(ctx context.Context, row Row, state RowState, rsp bwmodel.HTTPResponse) {
	exp := row.Version()
	row.State = state
	row.Response = rsp
	row.Updated = co.cfg.Now()
	if err := co.swap(ctx, exp, row); repeatable(err) && co.cfg.RetryLater != nil {
		co.cfg.RetryLater(exp, row)
	}
}
