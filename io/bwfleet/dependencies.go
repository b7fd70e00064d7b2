package bwfleet

import (
	"context"
	"net/netip"

	"bilberrywick/core/bwmodel"
	"bilberrywick/core/bwticket"
	"bilberrywick/io/bwrpc"
	"bilberrywick/io/bwstore"
	"bilberrywick/io/bwwire"
)

// Store holds the functions that a fleet calls on the platform. Nil functions are not used.
type Store struct {
	// Head returns the number of the last accepted ticket.
	Head func(ctx context.Context) (bwmodel.TicketNumber, error)
	// TicketsAfter returns the tickets above a number, in the order of their numbers.
	TicketsAfter func(ctx context.Context, num bwmodel.TicketNumber) ([]bwticket.AcceptedTicket, error)
	// ReadState returns the state at the head. It applies the tickets after base,
	// or reads the stored objects when base is nil.
	ReadState func(ctx context.Context, base *bwticket.State) (*bwticket.State, error)
	// Registry returns the registry that decides on new tickets.
	Registry func(base func() *bwticket.State) *bwticket.Registry
	// ListMembers returns the members in the platform's VM list.
	ListMembers func(ctx context.Context) ([]bwmodel.Member, error)
}

// NewStore returns a Store that calls the platform's clients.
func NewStore(cl *bwstore.Client) Store {
	var str Store
	if cl.Table != nil {
		tks := bwstore.NewTicketStore(cl.Table)
		str.Head, str.TicketsAfter, str.ReadState, str.Registry = tks.Head, tks.TicketsAfter, tks.ReadState, tks.Registry
	}
	if cl.List != nil {
		str.ListMembers = cl.List.Members
	}
	return str
}

// Peers holds the functions that call the fleets of other processes.
type Peers struct {
	Exchange func(ctx context.Context, addr netip.AddrPort, msg *bwwire.ExchangeMessage) (*bwwire.ExchangeMessage, error)
	Tickets  func(ctx context.Context, addr netip.AddrPort, req *bwwire.TicketsRequest) (*bwwire.TicketsResponse, error)
	Members  func(ctx context.Context, addr netip.AddrPort, req *bwwire.MembersRequest) (*bwwire.MembersResponse, error)
}

// NewPeers returns a Peers that calls over an RPC client.
func NewPeers(cl *bwrpc.Client) Peers {
	rpe := &rpcPeers{client: cl}
	return Peers{Exchange: rpe.exchange, Tickets: rpe.tickets, Members: rpe.members}
}

type rpcPeers struct{ client *bwrpc.Client }

func (rpe *rpcPeers) exchange(ctx context.Context, addr netip.AddrPort, msg *bwwire.ExchangeMessage) (*bwwire.ExchangeMessage, error) {
	return bwrpc.Call[bwwire.ExchangeMessage, bwwire.ExchangeMessage](ctx, rpe.client, addr, bwwire.PeerExchange, msg)
}

func (rpe *rpcPeers) tickets(ctx context.Context, addr netip.AddrPort, req *bwwire.TicketsRequest) (*bwwire.TicketsResponse, error) {
	return bwrpc.Call[bwwire.TicketsRequest, bwwire.TicketsResponse](ctx, rpe.client, addr, bwwire.PeerTickets, req)
}

func (rpe *rpcPeers) members(ctx context.Context, addr netip.AddrPort, req *bwwire.MembersRequest) (*bwwire.MembersResponse, error) {
	return bwrpc.Call[bwwire.MembersRequest, bwwire.MembersResponse](ctx, rpe.client, addr, bwwire.PeerMembers, req)
}
