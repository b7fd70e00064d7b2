package bwaction

import (
	"context"
	"time"

	"bilberrywick/core/bwmodel"
)

// Coordinator runs actions for a router: it reserves them in the table,
// dispatches them to agents and resolves unknown outcomes by polling the agents.
type Coordinator struct{ cfg CoordinatorConfig }

// CoordinatorConfig configures a Coordinator.
type CoordinatorConfig struct {
	// Read is a strongly consistent read: it returns the row with all writes that
	// completed before the call, and whether the row exists.
	Read func(context.Context, Key) (Row, bool, error)
	// Insert writes a row whose key must not exist. Like Swap, it returns nil,
	// ErrConflict, ErrUnavailable or ErrOutcomeUnknown.
	Insert func(context.Context, Row) error
	// Swap replaces a row that still has the expected version.
	Swap func(context.Context, RowVersion, Row) error
	// RetryLater queues a failed write of a result for a retry, as Recorder.Add does.
	// If it is nil, only the agent keeps the result.
	RetryLater func(RowVersion, Row)
	// Choose returns an upstream that is not in the excluded list, or an error when
	// none accepts work.
	Choose func(context.Context, Request, []bwmodel.UpstreamID) (Target, error)
	// Dispatch sends a dispatch to an upstream's agent. It returns SettleDone with
	// the response, SettleBroken, a *RefusedError, or any other error when the
	// agent may have received the dispatch.
	Dispatch func(context.Context, bwmodel.UpstreamID, Dispatch) (SettleResult, error)
	// Settle requests the outcome of a dispatch from an agent; it returns the same
	// errors as Dispatch.
	Settle func(context.Context, bwmodel.UpstreamID, SettleRequest) (SettleResult, error)
	Now    func() time.Time
	// After returns a channel that fires once; nil means time.After.
	After func(time.Duration) <-chan time.Time
	// NewAttempt returns a unique id.
	NewAttempt func() bwmodel.RequestID
	// Lifetime is the time from the choice of an upstream to the expiry of the
	// dispatch; 0 means 10 s.
	Lifetime time.Duration
	// MaxReservations limits the reservations that one request makes; 0 means 3.
	MaxReservations int
	// PollInterval is the time between two Settle calls; 0 means 100 ms.
	PollInterval time.Duration
	// SettleTimeout limits how long Settle calls to an agent that may have a
	// dispatch may keep failing; 0 means 5 s.
	SettleTimeout time.Duration
	// CallTimeout limits one Settle call, so that a call to an agent that stopped
	// without closing its connection is retried or given up; 0 means 2 s.
	CallTimeout time.Duration
	// TableTimeout limits one table operation; 0 means 2 s.
	TableTimeout time.Duration
	// RunTimeout limits a request once its upstream is chosen, also after the
	// caller has disconnected; 0 means 2 min.
	RunTimeout time.Duration
}

// Defaults of CoordinatorConfig.
const (
	defaultLifetime        = 10 * time.Second
	defaultMaxReservations = 3
	defaultPollInterval    = 100 * time.Millisecond
	defaultSettleTimeout   = 5 * time.Second
	defaultCallTimeout     = 2 * time.Second
	defaultTableTimeout    = 2 * time.Second
	defaultRunTimeout      = 2 * time.Minute
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
		cfg.MaxReservations = defaultMaxReservations
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

// Run runs an action at most once under its key. Its error is nil, a
// *NotRunError or an *UnknownOutcomeError. Run continues after the caller's
// context has ended, so that the outcome of an action in flight is recorded.
func (co *Coordinator) Run(ctx context.Context, req Request) (Result, error) {
	rn := &actionRun{co: co, req: req, digest: DigestOf(req.Service, req.HTTP)}
	tgt, err := co.cfg.Choose(ctx, req, nil)
	if err != nil {
		return rn.refuse(ctx, &NotRunError{Reason: NoUpstream, Err: err})
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), co.cfg.RunTimeout)
	defer cancel()
	row := rn.newReservation(tgt, 1)
	if err := co.insert(ctx, row); err != nil {
		return rn.resolveInsert(ctx, row, err)
	}
	return rn.dispatch(ctx, row)
}

// Refuse returns the outcome of a request that was refused before Run. It
// returns the given error only when no earlier request has used the key.
func (co *Coordinator) Refuse(ctx context.Context, req Request, cause *NotRunError) (Result, error) {
	rn := &actionRun{co: co, req: req, digest: DigestOf(req.Service, req.HTTP)}
	return rn.refuse(ctx, cause)
}

// Query returns the current outcome of a key, with the same results as Run. It
// never prevents an action from starting.
func (co *Coordinator) Query(ctx context.Context, key Key) (Result, error) {
	row, found, err := co.read(ctx, key)
	if err != nil {
		return Result{}, &UnknownOutcomeError{Reason: TableUnavailable, RequestNotRun: true, Err: err}
	}
	if !found {
		return Result{}, &NotRunError{Reason: NeverStarted}
	}
	rn := &actionRun{co: co, req: Request{Key: key}, digest: row.Digest}
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

// waitPollInterval waits one poll interval. It returns false if ctx ends first.
func (co *Coordinator) waitPollInterval(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-co.cfg.After(co.cfg.PollInterval):
		return true
	}
}

// settleDispatch requests the outcome of the dispatch that the row permits from
// the row's agent.
func (co *Coordinator) settleDispatch(ctx context.Context, row Row, peek bool) (SettleResult, error) {
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

// recordResult writes the final state of an action. A failed write is queued for
// a retry; until then the agent's ledger still holds the result.
func (co *Coordinator) recordResult(ctx context.Context, row Row, state RowState, rsp bwmodel.HTTPResponse) {
	exp := row.Version()
	row.State = state
	row.Response = rsp
	row.Updated = co.cfg.Now()
	if err := co.swap(ctx, exp, row); retryable(err) && co.cfg.RetryLater != nil {
		co.cfg.RetryLater(exp, row)
	}
}
