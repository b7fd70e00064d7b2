package bwfleet_test

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"time"

	"bilberrywick/core/bwmodel"
	"bilberrywick/core/bwticket"
	"bilberrywick/io/bwfleet"
	"bilberrywick/io/bwwire"
)

var errDisconnected = errors.New("not connected")

// network connects fleets and one store in memory, under a synctest clock.
type network struct {
	mu           sync.Mutex
	fleets       map[netip.AddrPort]*bwfleet.Fleet
	disconnected map[netip.AddrPort]bool
	// unresponsive processes accept calls and do not respond.
	unresponsive map[netip.AddrPort]bool
	storeDown    bool
	// readDelay delays the responses with tickets and states.
	readDelay  time.Duration
	storeCalls int
	state      *bwticket.State
	history    []bwticket.AcceptedTicket
}

const callDelay = 2 * time.Millisecond

func newNetwork() *network {
	return &network{
		fleets:       make(map[netip.AddrPort]*bwfleet.Fleet),
		disconnected: make(map[netip.AddrPort]bool),
		unresponsive: make(map[netip.AddrPort]bool),
		state:        bwticket.NewState(bwticket.StateConfig{}),
	}
}

func address(ix int) netip.AddrPort {
	return netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(1000+ix))
}

// start runs a fleet with an address and zone that follow from its index.
func (net *network) start(ctx context.Context, t *testing.T, ix int, seeds ...int) *bwfleet.Fleet {
	t.Helper()
	end := endpoint{net: net, self: address(ix)}
	cfg := bwfleet.Config{
		Self: bwmodel.Member{
			ID:          bwmodel.MemberID(fmt.Sprint("m", ix)),
			Incarnation: bwmodel.Incarnation(time.Now().UnixNano()),
			Role:        bwmodel.RouterRole,
			Zone:        bwmodel.ZoneID(fmt.Sprint("z", ix%3)),
			Address:     end.self,
		},
		Store: bwfleet.Store{Head: end.head, TicketsAfter: end.after, ReadState: end.read},
		Peers: bwfleet.Peers{Exchange: end.exchange, Tickets: end.tickets, Members: end.members},
	}
	for _, seed := range seeds {
		cfg.Seeds = append(cfg.Seeds, address(seed))
	}
	fl, err := bwfleet.New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	fl.Start(ctx)
	net.mu.Lock()
	defer net.mu.Unlock()
	net.fleets[end.self] = fl
	return fl
}

// accept adds a ticket to the store.
func (net *network) accept(num bwmodel.TicketNumber) {
	net.mu.Lock()
	defer net.mu.Unlock()
	acc := bwticket.AcceptedTicket{Previous: net.state.Number(), Ticket: bwticket.Ticket{
		Number: num,
		Services: []bwmodel.Service{{
			Name: "permit-office", Kind: bwmodel.PlainService, Class: bwmodel.PromptClass, QueueLimit: int(num), Deadline: time.Second,
		}},
	}}
	net.history = append(net.history, acc)
	net.state, _ = net.state.Apply(acc)
}

// resetStoreCalls returns the number of calls to the store since its last use.
func (net *network) resetStoreCalls() int {
	net.mu.Lock()
	defer net.mu.Unlock()
	calls := net.storeCalls
	net.storeCalls = 0
	return calls
}

func (net *network) setStoreDown(storeDown bool) {
	net.mu.Lock()
	defer net.mu.Unlock()
	net.storeDown = storeDown
}

// setDisconnected disconnects a process from the store and all peers, or
// connects it again.
func (net *network) setDisconnected(ix int, disconnected bool) {
	net.mu.Lock()
	defer net.mu.Unlock()
	net.disconnected[address(ix)] = disconnected
}

func (net *network) setUnresponsive(ix int, unresponsive bool) {
	net.mu.Lock()
	defer net.mu.Unlock()
	net.unresponsive[address(ix)] = unresponsive
}

func (net *network) setReadDelay(delay time.Duration) {
	net.mu.Lock()
	defer net.mu.Unlock()
	net.readDelay = delay
}

func (net *network) waitReadDelay() {
	net.mu.Lock()
	delay := net.readDelay
	net.mu.Unlock()
	time.Sleep(delay)
}

// endpoint is the access of one process to the network.
type endpoint struct {
	net  *network
	self netip.AddrPort
}

func (end endpoint) callStore(ctx context.Context) error {
	end.net.mu.Lock()
	defer end.net.mu.Unlock()
	end.net.storeCalls++
	if end.net.storeDown || end.net.disconnected[end.self] {
		return bwticket.ErrUnavailable
	}
	return ctx.Err()
}

func (end endpoint) head(ctx context.Context) (bwmodel.TicketNumber, error) {
	err := end.callStore(ctx)
	end.net.mu.Lock()
	defer end.net.mu.Unlock()
	return end.net.state.Number(), err
}

func (end endpoint) after(ctx context.Context, num bwmodel.TicketNumber) ([]bwticket.AcceptedTicket, error) {
	err := end.callStore(ctx)
	end.net.mu.Lock()
	defer end.net.mu.Unlock()
	var accs []bwticket.AcceptedTicket
	for _, acc := range end.net.history {
		if acc.Ticket.Number > num {
			accs = append(accs, acc)
		}
	}
	return accs, err
}

func (end endpoint) read(ctx context.Context, _ *bwticket.State) (*bwticket.State, error) {
	defer end.net.waitReadDelay()
	err := end.callStore(ctx)
	end.net.mu.Lock()
	defer end.net.mu.Unlock()
	return end.net.state, err
}

func (end endpoint) peer(ctx context.Context, addr netip.AddrPort) (*bwfleet.Fleet, error) {
	time.Sleep(callDelay)
	end.net.mu.Lock()
	defer end.net.mu.Unlock()
	if end.net.unresponsive[addr] {
		end.net.mu.Unlock()
		<-ctx.Done()
		end.net.mu.Lock()
		return nil, ctx.Err()
	}
	fl, ok := end.net.fleets[addr]
	if !ok || end.net.disconnected[addr] || end.net.disconnected[end.self] {
		return nil, errDisconnected
	}
	return fl, nil
}

func (end endpoint) exchange(ctx context.Context, addr netip.AddrPort, msg *bwwire.ExchangeMessage) (*bwwire.ExchangeMessage, error) {
	fl, err := end.peer(ctx, addr)
	if err != nil {
		return nil, err
	}
	return fl.HandleExchange(ctx, msg)
}

func (end endpoint) tickets(ctx context.Context, addr netip.AddrPort, req *bwwire.TicketsRequest) (*bwwire.TicketsResponse, error) {
	fl, err := end.peer(ctx, addr)
	if err != nil {
		return nil, err
	}
	defer end.net.waitReadDelay()
	return fl.HandleTickets(ctx, req)
}

func (end endpoint) members(ctx context.Context, addr netip.AddrPort, req *bwwire.MembersRequest) (*bwwire.MembersResponse, error) {
	fl, err := end.peer(ctx, addr)
	if err != nil {
		return nil, err
	}
	return fl.HandleMembers(ctx, req)
}
