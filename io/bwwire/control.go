package bwwire

import "bilberrywick/core/bwmodel"

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

// TicketsRequest asks for what follows a number.
type TicketsRequest struct{ After bwmodel.TicketNumber }

// TicketsResponse carries either the tickets after the number, in order, or,
// when the peer no longer has them all, one whole state.
type TicketsResponse struct {
	Head    bwmodel.TicketNumber
	Tickets []AcceptedDocument
	State   *StateDocument
}
