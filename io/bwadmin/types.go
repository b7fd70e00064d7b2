package bwadmin

import (
	"net/netip"
	"time"

	"bilberrywick/core/bwmodel"
	"bilberrywick/io/bwwire"
)

// Results of a ticket.
const (
	// ResultAccepted says that the ticket is in force from now on.
	ResultAccepted = "Accepted"
	// ResultRepeated says that the same ticket was accepted before.
	ResultRepeated = "Repeated"
	// ResultValid says that a dry run found no fault; nothing was changed.
	ResultValid = "Valid"
)

// TicketRequest is a change ticket to apply or to check.
type TicketRequest struct {
	Ticket bwwire.TicketDocument
	// DryRun checks the ticket against the state in force and changes nothing.
	DryRun bool
}

// TicketResult is the answer to an applied or checked ticket.
type TicketResult struct {
	Number bwmodel.TicketNumber
	// Result is Accepted, Repeated or Valid.
	Result string
	// Head is the highest accepted number.
	Head bwmodel.TicketNumber
	// Changes names each object that the ticket sets or removes.
	Changes []ObjectChange
}

// ObjectChange is what a ticket does to one object.
type ObjectChange struct {
	// Kind is Service, Team or Upstream.
	Kind string
	Name string
	// Change is Added, Changed, Unchanged or Removed.
	Change string
}

// TicketListRequest asks for the tickets after a number.
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

// MemberList holds the members that this process knows.
type MemberList struct {
	// Self is the process that answers.
	Self bwmodel.MemberID
	Head bwmodel.TicketNumber
	// StoreLost is since when the platform's table has not answered this process;
	// absent while it answers, or while other processes read it.
	StoreLost time.Time `json:",omitzero"`
	Members   []MemberStatus
}

// MemberStatus is what this process knows of one member.
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
	// Age is the time since the member itself was heard.
	Age bwwire.DurationText
	// StateNumber is the ticket number in force at the member.
	StateNumber bwmodel.TicketNumber
	// Leases lists the control duties whose lease the member holds; it is known of
	// the process that answers only.
	Leases []string `json:",omitempty"`
}

// UpstreamList holds the upstreams that this process follows.
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

// UpstreamStatus is what this process knows of one upstream.
type UpstreamStatus struct {
	Name    bwmodel.UpstreamID
	Service bwmodel.ServiceID
	Region  bwmodel.RegionID
	Zone    bwmodel.ZoneID
	Agent   netip.AddrPort
	// Health is Healthy, Slow, Failing, Unreachable, Draining, Leaving, Down or NotFollowed.
	Health string
	// Reason says in a few words why the health is not Healthy.
	Reason string `json:",omitempty"`
	// Running and Waiting are the requests at the upstream by its last report.
	Running int
	Waiting int
	Slots   int
	// Limit is this process's adaptive limit.
	Limit int
	// InFlight is the number of this process's own requests.
	InFlight int
	// Latency is the smoothed time to the first token or response.
	Latency bwwire.DurationText
	// SlowFactor is Latency over the median of the upstream's peers.
	SlowFactor float64
	// ReportAge is the age of the last load report.
	ReportAge bwwire.DurationText
	Models    []string `json:",omitempty"`
}

// DrainList holds what is being drained.
type DrainList struct{ Drains []DrainStatus }

// Kinds and causes of drains.
const (
	UpstreamDrain = "Upstream"
	MemberDrain   = "Member"

	CauseTicket   = "Ticket"
	CauseSignal   = "Signal"
	CauseOperator = "Operator"
	// CauseMember says that another member or the platform's list said so.
	CauseMember = "Member"
)

// DrainStatus is an upstream or a process that takes no new work.
type DrainStatus struct {
	// Kind is Upstream or Member.
	Kind string
	Name string
	// Cause is Ticket, Signal, Operator or Member.
	Cause string
	Since time.Time `json:",omitzero"`
	// Remaining is the number of requests that are still served, as far as the
	// process that answers knows.
	Remaining int
}

// DrainRequest asks the process that answers to end its work and exit.
type DrainRequest struct {
	// Member must be the identifier of the process that answers, so that a
	// command sent to the wrong address drains nothing.
	Member bwmodel.MemberID `required:"true"`
}

// GenerationRequest names a generation.
type GenerationRequest struct{ Request bwmodel.RequestID }

// States of a generation.
const (
	RunningGeneration  = "Running"
	ResumingGeneration = "Resuming"
	// HeldGeneration says that another router serves it and that its record is held here.
	HeldGeneration     = "Held"
	FinishedGeneration = "Finished"
)

// GenerationStatus is what this process knows of one generation.
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
	// Resumes lists the causes of earlier losses, in order.
	Resumes []string `json:",omitempty"`
}

// ActionRequest names an action.
type ActionRequest struct {
	Team bwmodel.TeamID
	Key  string
}

// ActionStatus is what the table says of one action.
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
	// Status is the HTTP status of the upstream's answer when the outcome is Done.
	Status int `json:",omitempty"`
	// Detail says what is known when the outcome is Unknown.
	Detail string `json:",omitempty"`
}

// VersionResponse describes the program of the process that answers.
type VersionResponse struct {
	Version string
	Go      string
}
