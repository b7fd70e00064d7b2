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

// Store is what a fleet needs of the platform. Functions that are nil are not used.
type Store struct {
	// Head returns the number of the last accepted ticket.
	Head func(ctx context.Context) (bwmodel.TicketNumber, error)
	// TicketsAfter returns the tickets above a number, in order.
	TicketsAfter func(ctx context.Context, num bwmodel.TicketNumber) ([]bwticket.AcceptedTicket, error)
	// ReadState returns the state at the head, from the objects when base is nil.
	ReadState func(ctx context.Context, base *bwticket.State) (*bwticket.State, error)
	// Registry returns the acceptance decision.
	Registry func(base func() *bwticket.State) *bwticket.Registry
	// ListMembers returns what the platform lists.
	ListMembers func(ctx context.Context) ([]bwmodel.Member, error)
}

// NewStore returns the functions over the platform's clients.
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

// Peers calls the methods that other processes' fleets serve.
type Peers struct {
	Exchange func(ctx context.Context, addr netip.AddrPort, msg *bwwire.ExchangeMessage) (*bwwire.ExchangeMessage, error)
	Tickets  func(ctx context.Context, addr netip.AddrPort, req *bwwire.TicketsRequest) (*bwwire.TicketsResponse, error)
	Members  func(ctx context.Context, addr netip.AddrPort, req *bwwire.MembersRequest) (*bwwire.MembersResponse, error)
}

// NewPeers returns the functions over an rpc client.
func NewPeers(cl *bwrpc.Client) Peers {
	cal := &caller{client: cl}
	return Peers{Exchange: cal.exchange, Tickets: cal.tickets, Members: cal.members}
}

type caller struct{ client *bwrpc.Client }

func (cal *caller) exchange(ctx context.Context, addr netip.AddrPort, msg *bwwire.ExchangeMessage) (*bwwire.ExchangeMessage, error) {
	return bwrpc.Call[bwwire.ExchangeMessage, bwwire.ExchangeMessage](ctx, cal.client, addr, bwwire.PeerExchange, msg)
}

func (cal *caller) tickets(ctx context.Context, addr netip.AddrPort, req *bwwire.TicketsRequest) (*bwwire.TicketsResponse, error) {
	return bwrpc.Call[bwwire.TicketsRequest, bwwire.TicketsResponse](ctx, cal.client, addr, bwwire.PeerTickets, req)
}

func (cal *caller) members(ctx context.Context, addr netip.AddrPort, req *bwwire.MembersRequest) (*bwwire.MembersResponse, error) {
	return bwrpc.Call[bwwire.MembersRequest, bwwire.MembersResponse](ctx, cal.client, addr, bwwire.PeerMembers, req)
}
