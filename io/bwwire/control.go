package bwwire

import (
	"time"

	"bilberrywick/core/bwmodel"
)

// StatusRequest subscribes to an agent's status.
type StatusRequest struct {
	From        bwmodel.MemberID
	StateNumber bwmodel.TicketNumber
	// WithoutCache leaves cache events out of the reports.
	WithoutCache bool
}

// OrderRequest tells an engine to load or unload a model or to change role.
type OrderRequest struct {
	// Duty names the leased control duty under which the order is given.
	Duty  string
	Fence bwmodel.Fence
	// Incarnation is the agent's as the sender knew it before it checked its lease.
	Incarnation bwmodel.Incarnation
	Load        string
	Unload      string
	Role        string
}

// OrderResponse answers an OrderRequest that was carried out.
type OrderResponse struct{ Fence bwmodel.Fence }

// ExchangeMessage is both the request and the response of an exchange between peers.
type ExchangeMessage struct {
	From bwmodel.Member
	Head bwmodel.TicketNumber
	// Ready says that the sender knows the state in effect, so that its head counts
	// for a process that starts without the store.
	Ready   bool
	Members []MemberSummary
}

// MemberSummary is what one process knows of another.
type MemberSummary struct {
	Member bwmodel.Member
	// Age is the time since the member itself was heard.
	Age time.Duration
	// StateNumber is the ticket number that the member was known to have in force.
	StateNumber bwmodel.TicketNumber
}

// TicketsRequest asks for what follows a number.
type TicketsRequest struct{ After bwmodel.TicketNumber }

// TicketsResponse carries either the tickets after the number, in order, or,
// when the peer no longer has them all, one whole state.
type TicketsResponse struct {
	Head    bwmodel.TicketNumber
	Tickets []AcceptedDocument
	State   *StateDocument
}
