package bwticket

import (
	"slices"
	"time"

	"bilberrywick/core/bwmodel"
)

// MaxObjects is the number of objects that one ticket may set and remove. A
// transaction of the table writes at most 100 rows, two of which are the head and
// the ticket.
const MaxObjects = 98

// Ticket is a change of the configuration, with the complete new value of each
// object that it sets.
type Ticket struct {
	Number    bwmodel.TicketNumber
	Comment   string
	Services  []bwmodel.Service
	Teams     []bwmodel.Team
	Upstreams []bwmodel.Upstream
	Remove    Removal
}

// Removal lists the objects that a ticket removes.
type Removal struct {
	Services  []bwmodel.ServiceID
	Teams     []bwmodel.TeamID
	Upstreams []bwmodel.UpstreamID
}

// Digest is the hash of a ticket's content.
type Digest [32]byte

// AcceptedTicket is a ticket that is part of the history.
type AcceptedTicket struct {
	Ticket Ticket
	// Previous is the number of the ticket before it, so that a process detects a
	// missing ticket; numbers need not be consecutive.
	Previous bwmodel.TicketNumber
	Digest   Digest
	// At is when the ticket was accepted, by the wall clock of the process that
	// accepted it; it is used for display and metrics only.
	At time.Time
}

// ObjectCount returns the number of objects that the ticket sets and removes.
func (tk Ticket) ObjectCount() int {
	set := len(tk.Services) + len(tk.Teams) + len(tk.Upstreams)
	return set + len(tk.Remove.Services) + len(tk.Remove.Teams) + len(tk.Remove.Upstreams)
}

// Clone returns a copy that shares no memory with the ticket.
func (tk Ticket) Clone() Ticket {
	out := tk
	out.Services = slices.Clone(tk.Services)
	for ix := range out.Services {
		out.Services[ix].Actions = slices.Clone(out.Services[ix].Actions)
		out.Services[ix].Models = slices.Clone(out.Services[ix].Models)
	}
	out.Teams = slices.Clone(tk.Teams)
	for ix := range out.Teams {
		out.Teams[ix].Keys = slices.Clone(out.Teams[ix].Keys)
		out.Teams[ix].Services = slices.Clone(out.Teams[ix].Services)
	}
	out.Upstreams = slices.Clone(tk.Upstreams)
	out.Remove.Services = slices.Clone(tk.Remove.Services)
	out.Remove.Teams = slices.Clone(tk.Remove.Teams)
	out.Remove.Upstreams = slices.Clone(tk.Remove.Upstreams)
	return out
}
