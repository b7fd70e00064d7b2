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

var errCut = errors.New("connection is cut")

// network joins fleets and one store in memory, under a synctest clock.
type network struct {
	mu     sync.Mutex
	fleets map[netip.AddrPort]*bwfleet.Fleet
	cut    map[netip.AddrPort]bool
	// silent processes take calls and do not answer them.
	silent map[netip.AddrPort]bool
	down   bool
	// late delays tickets and states after they were read.
	late    time.Duration
	reads   int
	state   *bwticket.State
	history []bwticket.AcceptedTicket
}

const hop = 2 * time.Millisecond

func newNetwork() *network {
	return &network{
		fleets: make(map[netip.AddrPort]*bwfleet.Fleet),
		cut:    make(map[netip.AddrPort]bool),
		silent: make(map[netip.AddrPort]bool),
		state:  bwticket.NewState(bwticket.StateConfig{}),
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

// takeReads returns the reads of the store since the last call.
func (net *network) takeReads() int {
	net.mu.Lock()
	defer net.mu.Unlock()
	reads := net.reads
	net.reads = 0
	return reads
}

func (net *network) setDown(down bool) {
	net.mu.Lock()
	defer net.mu.Unlock()
	net.down = down
}

// setCut cuts a process off from the store and all peers.
func (net *network) setCut(ix int, cut bool) {
	net.mu.Lock()
	defer net.mu.Unlock()
	net.cut[address(ix)] = cut
}

func (net *network) setSilent(ix int, silent bool) {
	net.mu.Lock()
	defer net.mu.Unlock()
	net.silent[address(ix)] = silent
}

func (net *network) setLate(late time.Duration) {
	net.mu.Lock()
	defer net.mu.Unlock()
	net.late = late
}

func (net *network) delay() {
	net.mu.Lock()
	late := net.late
	net.mu.Unlock()
	time.Sleep(late)
}

// endpoint is what one process sees of the network.
type endpoint struct {
	net  *network
	self netip.AddrPort
}

func (end endpoint) store(ctx context.Context) error {
	end.net.mu.Lock()
	defer end.net.mu.Unlock()
	end.net.reads++
	if end.net.down || end.net.cut[end.self] {
		return bwticket.ErrUnavailable
	}
	return ctx.Err()
}

func (end endpoint) head(ctx context.Context) (bwmodel.TicketNumber, error) {
	err := end.store(ctx)
	end.net.mu.Lock()
	defer end.net.mu.Unlock()
	return end.net.state.Number(), err
}

func (end endpoint) after(ctx context.Context, num bwmodel.TicketNumber) ([]bwticket.AcceptedTicket, error) {
	err := end.store(ctx)
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
	defer end.net.delay()
	err := end.store(ctx)
	end.net.mu.Lock()
	defer end.net.mu.Unlock()
	return end.net.state, err
}

func (end endpoint) peer(ctx context.Context, addr netip.AddrPort) (*bwfleet.Fleet, error) {
	time.Sleep(hop)
	end.net.mu.Lock()
	defer end.net.mu.Unlock()
	if end.net.silent[addr] {
		end.net.mu.Unlock()
		<-ctx.Done()
		end.net.mu.Lock()
		return nil, ctx.Err()
	}
	fl, ok := end.net.fleets[addr]
	if !ok || end.net.cut[addr] || end.net.cut[end.self] {
		return nil, errCut
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
	defer end.net.delay()
	return fl.HandleTickets(ctx, req)
}

func (end endpoint) members(ctx context.Context, addr netip.AddrPort, req *bwwire.MembersRequest) (*bwwire.MembersResponse, error) {
	fl, err := end.peer(ctx, addr)
	if err != nil {
		return nil, err
	}
	return fl.HandleMembers(ctx, req)
}
