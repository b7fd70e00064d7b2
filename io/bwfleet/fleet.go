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

// Fleet keeps the change tickets and the members up to date in a process.
type Fleet struct {
	cfg      Config
	control  *bwcontrol.Owner[controlState, Snapshot]
	hints    chan ticketHint
	contacts chan contact
	// ticketPush wakes loopPush for a new ticket number, and memberPush for
	// changed members.
	ticketPush chan struct{}
	memberPush chan struct{}
	// notifiedRevision is the last revision that subscribers were notified of.
	notifiedRevision atomic.Uint64
	subscribers      []chan struct{}
	running          sync.WaitGroup
}

// Config configures a Fleet.
type Config struct {
	Self bwmodel.Member
	// Seeds are the peers to call at a start without the store, while no other
	// peers are known, and in a few of the exchanges; the process's own address is
	// ignored.
	Seeds []netip.AddrPort
	Store Store
	Peers Peers
	// Now reads a monotonic clock; nil means time.Now.
	Now func() time.Time
	Log *slog.Logger
	// OnTicketApplied is called for each applied ticket with its source and the
	// time since its acceptance by the wall clocks; it may be nil.
	OnTicketApplied func(src TicketSource, took time.Duration)
	// RandomSeed seeds the choice of peers.
	RandomSeed uint64
	// PollInterval separates reads of the store's head by a store poller; 0 means 500 ms.
	PollInterval time.Duration
	// ExchangeInterval separates exchanges with a random peer; 0 means 1 s.
	ExchangeInterval time.Duration
	// ListInterval separates reads of the platform's VM list; 0 means 5 s.
	ListInterval time.Duration
	// CallTimeout limits one call to a peer or the store; 0 means 1 s.
	CallTimeout time.Duration
	// Fanout is the number of peers that each push is sent to; 0 means 6.
	Fanout int
}

// Snapshot is an immutable view of the tickets and members.
type Snapshot struct {
	Self  bwmodel.Member
	State *bwticket.State
	// Members are all known members except the process itself, sorted by name.
	Members []bwmember.Entry
	// Ready is set when the state is loaded and the last contact with the store,
	// a peer or a member is at most 3 s old.
	Ready bool
	// StateLoaded is set once the state was read from the store or from enough seeds.
	StateLoaded bool
	// LastContact is the time of the last message from the store, a peer or a
	// member; zero means never.
	LastContact time.Time
	// StoreUnavailableSince is the time of the first failed read of the store by
	// this process. It is zero while reads succeed, and while only other
	// processes read the store.
	StoreUnavailableSince time.Time
	// Revision rises whenever the state, the readiness or a member's status changes.
	Revision uint64
	// recentTickets are the last tickets applied to State, kept for peers.
	recentTickets []bwticket.AcceptedTicket
	// lastPeerContact is the time of the last message from a peer.
	lastPeerContact time.Time
	members         membersView
}

const (
	defaultPollInterval     = 500 * time.Millisecond
	defaultExchangeInterval = time.Second
	defaultListInterval     = 5 * time.Second
	defaultCallTimeout      = time.Second
	defaultFanout           = 6
	hintBacklog             = 16
	contactBacklog          = 1024
)

// New returns a fleet without a state or members, or an error that names the
// required fields when one is missing.
func New(cfg Config) (*Fleet, error) {
	if cfg.Self.ID == "" || !cfg.Self.Address.IsValid() || cfg.Self.Role == 0 {
		return nil, errors.New("field Self needs ID, Address and Role")
	}
	if cfg.Peers.Exchange == nil || cfg.Peers.Tickets == nil || cfg.Peers.Members == nil {
		return nil, errors.New("field Peers needs Exchange, Tickets and Members")
	}
	cfg.setDefaults()
	fl := &Fleet{
		cfg:        cfg,
		hints:      make(chan ticketHint, hintBacklog),
		contacts:   make(chan contact, contactBacklog),
		ticketPush: make(chan struct{}, 1),
		memberPush: make(chan struct{}, 1),
	}
	ctl := newControlState(cfg)
	fl.control = bwcontrol.New(bwcontrol.Config[controlState, Snapshot]{State: ctl, View: (*controlState).snapshot})
	return fl, nil
}

// Register serves the RPC methods by which peers exchange tickets and members.
func (fl *Fleet) Register(srv *bwrpc.Server) {
	bwrpc.HandleUnary(srv, bwwire.PeerExchange, fl.HandleExchange)
	bwrpc.HandleUnary(srv, bwwire.PeerTickets, fl.HandleTickets)
	bwrpc.HandleUnary(srv, bwwire.PeerMembers, fl.HandleMembers)
}

// Subscribe returns a channel that receives a value after each change of the
// snapshot's revision; several changes may share one value. Call it before Start.
func (fl *Fleet) Subscribe() <-chan struct{} {
	ch := make(chan struct{}, 1)
	fl.subscribers = append(fl.subscribers, ch)
	return ch
}

// Start runs the fleet until the context ends.
func (fl *Fleet) Start(ctx context.Context) {
	fl.control.Start(ctx)
	loops := []func(context.Context){fl.loopStart, fl.loopPoll, fl.loopExchange, fl.loopList, fl.loopPull, fl.loopPush, fl.loopMonitor}
	fl.running.Add(len(loops))
	for _, loop := range loops {
		tsk := task{fn: loop, done: fl.running.Done}
		go tsk.run(ctx)
	}
}

// Wait returns when all goroutines have ended after the end of Start's context.
func (fl *Fleet) Wait() {
	<-fl.control.Done()
	fl.running.Wait()
}

// Snapshot returns the current snapshot; it never blocks.
func (fl *Fleet) Snapshot() *Snapshot { return fl.control.Snapshot() }

// RecordTicketNumber records the ticket number that a peer's message carried, so
// that the missing tickets are fetched. It is cheap and never blocks, so that
// traffic goroutines may call it for each message.
func (fl *Fleet) RecordTicketNumber(num bwmodel.TicketNumber, from netip.AddrPort) {
	fl.addHint(ticketHint{number: num, from: from, source: FromTraffic})
}

func (fl *Fleet) addHint(hnt ticketHint) {
	if hnt.number <= fl.Snapshot().State.Number() {
		return
	}
	select {
	case fl.hints <- hnt:
	default:
		// A later message or the next exchange carries the number again.
	}
}

// RecordContact records a message that came directly from a member, such as its
// status, and the member's ticket number. It never blocks; snapshots show the
// contact within the poll interval.
func (fl *Fleet) RecordContact(mem bwmodel.Member, num bwmodel.TicketNumber) {
	select {
	case fl.contacts <- contact{member: mem, number: num}:
	default:
	}
}

// AnnounceLeaving marks the process as leaving and pushes this to some peers at once.
func (fl *Fleet) AnnounceLeaving(ctx context.Context) error {
	if err := fl.update(ctx, func(ctl *controlState) { ctl.dir.Leave() }); err != nil {
		return err
	}
	wake(fl.memberPush)
	return nil
}

// SubmitTicket submits a ticket and returns the result once the ticket is part
// of the history. Its errors are bwticket.Faults with every fault,
// *bwticket.ConflictError, bwticket.ErrUnavailable and bwticket.ErrOutcomeUnknown.
func (fl *Fleet) SubmitTicket(ctx context.Context, doc bwwire.TicketDocument) (bwticket.SubmitResult, error) {
	if fl.cfg.Store.Registry == nil {
		return bwticket.SubmitResult{}, fmt.Errorf("no store is configured: %w", bwticket.ErrUnavailable)
	}
	tk, faults := doc.Ticket()
	if faults != nil {
		return bwticket.SubmitResult{}, doc.Check(fl.Snapshot().State)
	}
	res, err := fl.cfg.Store.Registry(fl.currentState).Submit(ctx, tk)
	if err != nil {
		return bwticket.SubmitResult{}, err
	}
	// The ticket is already accepted. If this read fails, the store pollers
	// fetch the ticket later.
	if err := fl.pullFromStore(ctx); err != nil {
		fl.cfg.Log.Warn("read of accepted ticket failed", "Number", res.Number, "Error", err)
	}
	return res, nil
}

func (fl *Fleet) currentState() *bwticket.State { return fl.Snapshot().State }

// update changes the control state and notifies the subscribers of a new revision.
func (fl *Fleet) update(ctx context.Context, change func(*controlState)) error {
	if err := fl.control.Do(ctx, change); err != nil {
		return err
	}
	rev := fl.Snapshot().Revision
	if fl.notifiedRevision.Swap(rev) == rev {
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

// CheckReady returns an error with the reason why the process is not ready, and nil
// when it is.
func (sn *Snapshot) CheckReady(now time.Time) error {
	switch {
	case sn.Ready:
		return nil
	case !sn.StateLoaded:
		return errStateNotLoaded
	}
	age := now.Sub(sn.LastContact).Truncate(time.Second)
	return fmt.Errorf("neither the store nor a peer was heard from for %v, at most %v are allowed", age, contactTimeout)
}

var errStateNotLoaded = errors.New("the state was not read yet: the store does not answer, and fewer than half of the seed peers know the state")

// contact is a member and its ticket number, as received from the member itself.
type contact struct {
	member bwmodel.Member
	number bwmodel.TicketNumber
}

// ticketHint is a peer's ticket number and the source of that information.
type ticketHint struct {
	number bwmodel.TicketNumber
	from   netip.AddrPort
	source TicketSource
}

// TicketSource is how a process received a ticket or its number.
type TicketSource string

// Sources of tickets.
const (
	// FromStore is a read of the store.
	FromStore TicketSource = "Store"
	// FromExchange is an exchange with a peer or a push, which use the same message.
	FromExchange TicketSource = "Exchange"
	// FromTraffic is a request or status message that carried the number.
	FromTraffic TicketSource = "Traffic"
)

// task runs a function of the fleet in its own goroutine.
type task struct {
	fn   func(context.Context)
	done func()
}

func (tsk task) run(ctx context.Context) {
	defer tsk.done()
	tsk.fn(ctx)
}
