package bwadmin

import (
	"net/netip"
	"time"

	"bilberrywick/core/bwmodel"
	"bilberrywick/io/bwwire"
)

// Results of a ticket.
const (
	// ResultAccepted means that the ticket is in effect from now on.
	ResultAccepted = "Accepted"
	// ResultRepeated means that the same ticket was accepted before.
	ResultRepeated = "Repeated"
	// ResultValid means that a dry run found no fault; nothing was changed.
	ResultValid = "Valid"
)

// TicketRequest is a change ticket to apply or to check.
type TicketRequest struct {
	Ticket bwwire.TicketDocument
	// DryRun checks the ticket against the state in effect and changes nothing.
	DryRun bool
}

// TicketResult is the response to an applied or checked ticket.
type TicketResult struct {
	Number bwmodel.TicketNumber
	// Result is Accepted, Repeated or Valid.
	Result string
	// Head is the highest accepted number.
	Head bwmodel.TicketNumber
	// Changes lists each object that the ticket sets or removes.
	Changes []ObjectChange
}

// ObjectChange is the change of one object by a ticket.
type ObjectChange struct {
	// Kind is Service, Team or Upstream.
	Kind string
	Name string
	// Change is Added, Changed, Unchanged or Removed.
	Change string
}

// TicketListRequest requests up to Limit tickets after a number.
type TicketListRequest struct {
	After bwmodel.TicketNumber
	Limit int
}

// TicketList holds tickets in the order of their numbers.
type TicketList struct {
	Head    bwmodel.TicketNumber
	Tickets []TicketSummary
}

// TicketSummary describes one accepted ticket.
type TicketSummary struct {
	Number   bwmodel.TicketNumber
	Comment  string    `json:",omitempty"`
	Accepted time.Time `json:",omitzero"`
	Objects  int
}

// TicketNumberRequest names a ticket.
type TicketNumberRequest struct{ Number bwmodel.TicketNumber }

// MemberList holds the members in this process's directory.
type MemberList struct {
	// Self is the process that sends the list.
	Self bwmodel.MemberID
	Head bwmodel.TicketNumber
	// StoreLost is the time of this process's first failed read of the platform's
	// table. It is absent while reads succeed, and while only other processes
	// read the table.
	StoreLost time.Time `json:",omitzero"`
	Members   []MemberStatus
}

// MemberStatus is the status of one member in this process's directory.
type MemberStatus struct {
	ID          bwmodel.MemberID
	Incarnation bwmodel.Incarnation
	// Role is Router or Agent.
	Role    string
	Region  bwmodel.RegionID
	Zone    bwmodel.ZoneID
	Address netip.AddrPort
	// State is Live, Suspect or Leaving.
	State string
	// Age is the time since the last message from the member itself.
	Age bwwire.DurationText
	// StateNumber is the ticket number in effect at the member.
	StateNumber bwmodel.TicketNumber
	// Leases lists the control duties whose lease the member holds. It is set
	// only for the process that sends the list.
	Leases []string `json:",omitempty"`
}

// UpstreamList holds the upstreams whose status this process follows.
type UpstreamList struct{ Upstreams []UpstreamStatus }

// Health of an upstream.
const (
	HealthyUpstream     = "Healthy"
	SlowUpstream        = "Slow"
	FailingUpstream     = "Failing"
	UnreachableUpstream = "Unreachable"
	DrainingUpstream    = "Draining"
	LeavingUpstream     = "Leaving"
	DownUpstream        = "Down"
	NotFollowedUpstream = "NotFollowed"
)

// UpstreamStatus is the status of one upstream, as recorded by this process.
type UpstreamStatus struct {
	Name    bwmodel.UpstreamID
	Service bwmodel.ServiceID
	Region  bwmodel.RegionID
	Zone    bwmodel.ZoneID
	Agent   netip.AddrPort
	// Health is Healthy, Slow, Failing, Unreachable, Draining, Leaving, Down or NotFollowed.
	Health string
	// Reason is a short text on why the health is not Healthy.
	Reason string `json:",omitempty"`
	// Running and Waiting are the numbers of requests at the upstream in its last report.
	Running int
	Waiting int
	Slots   int
	// Limit is the adaptive limit for requests in flight from this process.
	Limit int
	// InFlight is the number of requests in flight from this process.
	InFlight int
	// Latency is the smoothed time to the first token or response.
	Latency bwwire.DurationText
	// SlowFactor is Latency divided by the median of the upstream's peers.
	SlowFactor float64
	// ReportAge is the age of the last load report.
	ReportAge bwwire.DurationText
	Models    []string `json:",omitempty"`
}

// DrainList holds the upstreams and members that are being drained.
type DrainList struct{ Drains []DrainStatus }

// Kinds and causes of drains.
const (
	UpstreamDrain = "Upstream"
	MemberDrain   = "Member"

	CauseTicket   = "Ticket"
	CauseSignal   = "Signal"
	CauseOperator = "Operator"
	// CauseMember means that the drain was reported by another member or by the
	// platform's VM list.
	CauseMember = "Member"
)

// DrainStatus is an upstream or a member that accepts no new work.
type DrainStatus struct {
	// Kind is Upstream or Member.
	Kind string
	Name string
	// Cause is Ticket, Signal, Operator or Member.
	Cause string
	Since time.Time `json:",omitzero"`
	// Remaining is the number of this process's requests that are still in progress;
	// for an upstream, only those at the upstream. It is 0 for another member.
	Remaining int
}

// DrainRequest requests that the receiving process finishes its work and exits.
type DrainRequest struct {
	// Member must be the identifier of the receiving process, so that a command
	// sent to the wrong address drains nothing.
	Member bwmodel.MemberID `required:"true"`
}

// GenerationRequest names a generation.
type GenerationRequest struct{ Request bwmodel.RequestID }

// States of a generation.
const (
	RunningGeneration  = "Running"
	ResumingGeneration = "Resuming"
	// HeldGeneration means that another router serves the generation and that
	// this process holds its record.
	HeldGeneration     = "Held"
	FinishedGeneration = "Finished"
)

// GenerationStatus is the status of one generation in this process.
type GenerationStatus struct {
	Request bwmodel.RequestID
	Team    bwmodel.TeamID
	Service bwmodel.ServiceID
	Class   string
	// State is Running, Resuming, Held or Finished.
	State    string
	Epoch    bwmodel.Epoch
	Attempt  bwmodel.Attempt
	Position bwmodel.Position
	Upstream bwmodel.UpstreamID `json:",omitempty"`
	Agent    netip.AddrPort     `json:",omitzero"`
	Holder   netip.AddrPort     `json:",omitzero"`
	Created  time.Time          `json:",omitzero"`
	Finish   string             `json:",omitempty"`
	// Resumes lists the causes of the resumes so far, in order.
	Resumes []string `json:",omitempty"`
}

// ActionRequest names an action.
type ActionRequest struct {
	Team bwmodel.TeamID
	Key  string
}

// ActionStatus is the row of one action in the table.
type ActionStatus struct {
	Team    bwmodel.TeamID
	Key     string
	Service bwmodel.ServiceID
	// Outcome is Done, NotRun or Unknown.
	Outcome  string
	Attempt  bwmodel.RequestID
	Fence    bwmodel.Fence
	Upstream bwmodel.UpstreamID
	Created  time.Time `json:",omitzero"`
	// Status is the HTTP status of the upstream's response when the outcome is Done.
	Status int `json:",omitempty"`
	// Detail describes what is known when the outcome is Unknown.
	Detail string `json:",omitempty"`
}

// VersionResponse holds the version of the process's program and of Go.
type VersionResponse struct {
	Version string
	Go      string
}
