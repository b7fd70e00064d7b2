package bwfleet

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"bilberrywick/core/bwcontrol"
	"bilberrywick/core/bwmember"
	"bilberrywick/core/bwmodel"
	"bilberrywick/core/bwticket"
	"bilberrywick/io/bwrpc"
	"bilberrywick/io/bwwire"
)

// Fleet keeps a process current with the change tickets and the members.
type Fleet struct {
	cfg   Config
	own   *bwcontrol.Owner[control, Snapshot]
	hints chan hint
	heard chan evidence
	// pushes wakes loopPush for a ticket, and news for a change of members.
	pushes chan struct{}
	news   chan struct{}
	// revision is the last one that subscribers were told of.
	revision    atomic.Uint64
	subscribers []chan struct{}
	running     sync.WaitGroup
}

// Config configures a Fleet.
type Config struct {
	Self bwmodel.Member
	// Seeds are peers to ask when nothing else is known; the own address is ignored.
	Seeds []netip.AddrPort
	Store Store
	Peers Peers
	// Now reads a monotonic clock; nil means time.Now.
	Now func() time.Time
	Log *slog.Logger
	// OnTicketApplied is told of each ticket that comes into effect here: from where it
	// was learned and how long after its acceptance by the wall clocks; may be nil.
	OnTicketApplied func(src TicketSource, took time.Duration)
	// RandomSeed seeds the choice of peers.
	RandomSeed uint64
	// PollInterval separates reads of the store's head by a watcher; 0 means 500 ms.
	PollInterval time.Duration
	// ExchangeInterval separates exchanges with a random peer; 0 means 1 s.
	ExchangeInterval time.Duration
	// ListInterval separates reads of the platform's VM list; 0 means 5 s.
	ListInterval time.Duration
	// CallTimeout bounds one call to a peer or the store; 0 means 1 s.
	CallTimeout time.Duration
	// Fanout is the number of peers that a new number is pushed to; 0 means 6.
	Fanout int
}

// Snapshot is an immutable view of the fleet.
type Snapshot struct {
	Self  bwmodel.Member
	State *bwticket.State
	// Members are all known members but the process itself, by name.
	Members []bwmember.Entry
	// Ready says that the state is known and that the store or a peer was heard
	// from within 3 s.
	Ready bool
	// StateLoaded says that the state was read from the store or from enough seeds.
	StateLoaded bool
	// LastContact is when the store or a peer was last heard from; zero means never.
	LastContact time.Time
	// StoreUnavailableSince is since when the store has not answered this process; zero while
	// it answers, or while other processes read it for this one.
	StoreUnavailableSince time.Time
	// Revision rises whenever the state, the readiness or a member's status changes.
	Revision uint64
	// recent are the last tickets up to the state, to pass on to peers.
	recent []bwticket.AcceptedTicket
	// peers is when a peer was last heard from.
	peers time.Time
	seen  membersView
}

const (
	defaultPollInterval     = 500 * time.Millisecond
	defaultExchangeInterval = time.Second
	defaultListInterval     = 5 * time.Second
	defaultCallTimeout      = time.Second
	defaultFanout           = 6
	hintBacklog             = 16
	heardBacklog            = 1024
)

// New returns a fleet that knows nothing yet, or an error that names a missing field.
func New(cfg Config) (*Fleet, error) {
	if cfg.Self.ID == "" || !cfg.Self.Address.IsValid() || cfg.Self.Role == 0 {
		return nil, errors.New("field Self needs ID, Address and Role")
	}
	if cfg.Peers.Exchange == nil || cfg.Peers.Tickets == nil || cfg.Peers.Members == nil {
		return nil, errors.New("field Peers needs Exchange, Tickets and Members")
	}
	cfg.setDefaults()
	fl := &Fleet{
		cfg:    cfg,
		hints:  make(chan hint, hintBacklog),
		heard:  make(chan evidence, heardBacklog),
		pushes: make(chan struct{}, 1),
		news:   make(chan struct{}, 1),
	}
	ctl := newControl(cfg)
	fl.own = bwcontrol.New(bwcontrol.Config[control, Snapshot]{State: ctl, View: (*control).view})
	return fl, nil
}

// Register serves the methods by which peers keep each other current.
func (fl *Fleet) Register(srv *bwrpc.Server) {
	bwrpc.HandleUnary(srv, bwwire.PeerExchange, fl.HandleExchange)
	bwrpc.HandleUnary(srv, bwwire.PeerTickets, fl.HandleTickets)
	bwrpc.HandleUnary(srv, bwwire.PeerMembers, fl.HandleMembers)
}

// Subscribe returns a channel that gets a value after each change of the
// snapshot's revision; several changes may share one value. It must be called
// before Start.
func (fl *Fleet) Subscribe() <-chan struct{} {
	ch := make(chan struct{}, 1)
	fl.subscribers = append(fl.subscribers, ch)
	return ch
}

// Start runs the fleet until the context ends.
func (fl *Fleet) Start(ctx context.Context) {
	fl.own.Start(ctx)
	loops := []func(context.Context){fl.loopStart, fl.loopPoll, fl.loopExchange, fl.loopList, fl.loopPull, fl.loopPush, fl.loopOversee}
	fl.running.Add(len(loops))
	for _, loop := range loops {
		tsk := task{loop: loop, done: fl.running.Done}
		go tsk.run(ctx)
	}
}

// Wait returns when all goroutines have ended after the end of Start's context.
func (fl *Fleet) Wait() {
	<-fl.own.Done()
	fl.running.Wait()
}

// Snapshot returns the current view; it never blocks.
func (fl *Fleet) Snapshot() *Snapshot { return fl.own.Snapshot() }

// RecordTicketNumber records that a peer has a ticket number, as seen in its messages. It is
// cheap and never blocks, so that traffic goroutines may call it on each message.
func (fl *Fleet) RecordTicketNumber(num bwmodel.TicketNumber, from netip.AddrPort) {
	fl.hint(hint{number: num, from: from, source: FromTraffic})
}

func (fl *Fleet) hint(hnt hint) {
	if hnt.number <= fl.Snapshot().State.Number() {
		return
	}
	select {
	case fl.hints <- hnt:
	default:
		// A later message or the next exchange carries the number again.
	}
}

// RecordContact records direct evidence of a member and of its ticket number, such as
// its status message. It never blocks; the view shows it within the poll interval.
func (fl *Fleet) RecordContact(mem bwmodel.Member, num bwmodel.TicketNumber) {
	select {
	case fl.heard <- evidence{member: mem, number: num}:
	default:
	}
}

// AnnounceLeaving marks the process as leaving and tells some peers at once.
func (fl *Fleet) AnnounceLeaving(ctx context.Context) error {
	if err := fl.update(ctx, func(ctl *control) { ctl.dir.Leave() }); err != nil {
		return err
	}
	wake(fl.news)
	return nil
}

// SubmitTicket submits a ticket and returns its answer once it is part of the history.
// It returns bwticket.Faults with every fault, a *bwticket.ConflictError,
// bwticket.ErrUnavailable or bwticket.ErrOutcomeUnknown otherwise.
func (fl *Fleet) SubmitTicket(ctx context.Context, doc bwwire.TicketDocument) (bwticket.SubmitResult, error) {
	if fl.cfg.Store.Registry == nil {
		return bwticket.SubmitResult{}, fmt.Errorf("no store is configured: %w", bwticket.ErrUnavailable)
	}
	tk, faults := doc.Ticket()
	if faults != nil {
		return bwticket.SubmitResult{}, doc.Check(fl.Snapshot().State)
	}
	ans, err := fl.cfg.Store.Registry(fl.baseState).Submit(ctx, tk)
	if err != nil {
		return bwticket.SubmitResult{}, err
	}
	// The ticket is accepted whatever happens now; a watcher repairs a failure.
	if err := fl.pullStore(ctx); err != nil {
		fl.cfg.Log.Warn("read of accepted ticket failed", "Number", ans.Number, "Error", err)
	}
	return ans, nil
}

func (fl *Fleet) baseState() *bwticket.State { return fl.Snapshot().State }

// update changes the control state and tells the subscribers.
func (fl *Fleet) update(ctx context.Context, change func(*control)) error {
	if err := fl.own.Do(ctx, change); err != nil {
		return err
	}
	rev := fl.Snapshot().Revision
	if fl.revision.Swap(rev) == rev {
		return nil
	}
	for _, ch := range fl.subscribers {
		select {
		case ch <- struct{}{}:
		default:
		}
	}
	return nil
}

func (cfg *Config) setDefaults() {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.Log == nil {
		cfg.Log = slog.New(slog.DiscardHandler)
	}
	if cfg.PollInterval == 0 {
		cfg.PollInterval = defaultPollInterval
	}
	if cfg.ExchangeInterval == 0 {
		cfg.ExchangeInterval = defaultExchangeInterval
	}
	if cfg.ListInterval == 0 {
		cfg.ListInterval = defaultListInterval
	}
	if cfg.CallTimeout == 0 {
		cfg.CallTimeout = defaultCallTimeout
	}
	if cfg.Fanout == 0 {
		cfg.Fanout = defaultFanout
	}
	var seeds []netip.AddrPort
	for _, addr := range cfg.Seeds {
		if addr != cfg.Self.Address {
			seeds = append(seeds, addr)
		}
	}
	cfg.Seeds = seeds
}

// CheckReady returns why the process is not current, and nil when it is.
func (sn *Snapshot) CheckReady(now time.Time) error {
	switch {
	case sn.Ready:
		return nil
	case !sn.StateLoaded:
		return errNotStarted
	}
	age := now.Sub(sn.LastContact).Truncate(time.Second)
	return fmt.Errorf("neither the store nor a peer was heard from for %v, at most %v are allowed", age, contactTime)
}

var errNotStarted = errors.New("the state was not read yet: the store does not answer, and fewer than half of the seed peers know the state")

// evidence is what a member's own message said.
type evidence struct {
	member bwmodel.Member
	number bwmodel.TicketNumber
}

// hint says that a peer has a ticket number.
type hint struct {
	number bwmodel.TicketNumber
	from   netip.AddrPort
	source TicketSource
}

// TicketSource says from where a process learned of a ticket.
type TicketSource string

// Sources of tickets.
const (
	// FromStore says that the process read the store.
	FromStore TicketSource = "Store"
	// FromExchange says that a peer told in an exchange or a push, which use the same message.
	FromExchange TicketSource = "Exchange"
	// FromTraffic says that a message of a request or a status carried the number.
	FromTraffic TicketSource = "Traffic"
)

// task runs one loop of the fleet.
type task struct {
	loop func(context.Context)
	done func()
}

func (tsk task) run(ctx context.Context) {
	defer tsk.done()
	tsk.loop(ctx)
}
