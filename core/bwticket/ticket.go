package bwticket

import (
	"slices"
	"time"

	"bilberrywick/core/bwmodel"
)

// MaxObjects is the number of objects that one ticket may set and remove. The
// table commits at most 100 rows at a time, and two are the head and the ticket.
const MaxObjects = 98

// Ticket is a change of the configuration, with the whole new state of each
// object that it touches.
type Ticket struct {
	Number    bwmodel.TicketNumber
	Comment   string
	Services  []bwmodel.Service
	Teams     []bwmodel.Team
	Upstreams []bwmodel.Upstream
	Remove    Removal
}

// Removal names the objects that a ticket removes.
type Removal struct {
	Services  []bwmodel.ServiceID
	Teams     []bwmodel.TeamID
	Upstreams []bwmodel.UpstreamID
}

// Digest identifies the content of a ticket.
type Digest [32]byte

// AcceptedTicket is a ticket that is part of the history.
type AcceptedTicket struct {
	Ticket Ticket
	// Previous is the number of the ticket before it, so that a process notices
	// when it has missed one; numbers may leave gaps.
	Previous bwmodel.TicketNumber
	Digest   Digest
	// At is the wall clock of the process that accepted the ticket; it is shown
	// and measured but decides nothing.
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
