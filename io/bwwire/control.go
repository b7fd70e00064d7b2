package bwwire

import "bilberrywick/core/bwmodel"

// StatusRequest subscribes to an agent's status events.
type StatusRequest struct {
	From        bwmodel.MemberID
	StateNumber bwmodel.TicketNumber
	// WithoutCache omits cache events from the status events.
	WithoutCache bool
}

// OrderRequest instructs an engine to load or unload a model or to change its role.
type OrderRequest struct {
	// Duty is the control duty whose lease holder sends the order.
	Duty  string
	Fence bwmodel.Fence
	// Incarnation is the agent's incarnation, as read before the sender checked its lease.
	Incarnation bwmodel.Incarnation
	Load        string
	Unload      string
	Role        string
}

// OrderResponse confirms that an OrderRequest was carried out.
type OrderResponse struct{ Fence bwmodel.Fence }

// TicketsRequest requests the tickets after a number.
type TicketsRequest struct{ After bwmodel.TicketNumber }

// TicketsResponse carries the tickets after the requested number, in order. If
// the peer no longer has all of them, it carries the complete state instead.
type TicketsResponse struct {
	Head    bwmodel.TicketNumber
	Tickets []AcceptedDocument
	State   *StateDocument
}
