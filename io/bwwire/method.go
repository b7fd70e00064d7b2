package bwwire

import "bilberrywick/io/bwrpc"

// Methods that an agent serves.
const (
	AgentGenerate = "Agent.Generate"
	AgentAttach   = "Agent.Attach"
	AgentCancel   = "Agent.Cancel"
	AgentSeal     = "Agent.Seal"
	AgentCall     = "Agent.Call"
	AgentDispatch = "Agent.Dispatch"
	AgentSettle   = "Agent.Settle"
	AgentStatus   = "Agent.Status"
	AgentOrder    = "Agent.Order"
)

// Methods that a router serves to other routers; an agent serves PeerExchange
// and PeerTickets too.
const (
	PeerAppend   = "Peer.Append"
	PeerTakeOver = "Peer.TakeOver"
	PeerExchange = "Peer.Exchange"
	PeerTickets  = "Peer.Tickets"
	PeerMembers  = "Peer.Members"
	PeerDemand   = "Peer.Demand"
)

// Codes of refused calls; a refused call has run nothing.
const (
	// Leaving says that the member is shutting down or draining.
	Leaving bwrpc.Code = iota + 100
	// Overloaded says that the upstream has no free slot.
	Overloaded
	// Stale says that the epoch, fence or attempt has been replaced by a higher one.
	Stale
	// Expired says that the dispatch arrived after its expiry.
	Expired
	// OtherIncarnation says that the agent has restarted since the dispatch was prepared.
	OtherIncarnation
	// Duplicate says that the key has been started before.
	Duplicate
	// NotFound says that the request or key is not known.
	NotFound
	// Forbidden says that the record belongs to another team.
	Forbidden
	// UpstreamFailed says that the upstream closed, refused or broke the request.
	UpstreamFailed
	// Invalid says that the request was malformed and must not be repeated.
	Invalid
	// UpstreamUnreachable says that the agent could make no connection to its upstream.
	UpstreamUnreachable
)

// CodeName returns the name of a code of a failed call.
func CodeName(cod bwrpc.Code) string {
	if name, ok := codeNames[cod]; ok {
		return name
	}
	return cod.String()
}

var codeNames = map[bwrpc.Code]string{
	Leaving:             "Leaving",
	Overloaded:          "Overloaded",
	Stale:               "Stale",
	Expired:             "Expired",
	OtherIncarnation:    "OtherIncarnation",
	Duplicate:           "Duplicate",
	NotFound:            "NotFound",
	Forbidden:           "Forbidden",
	UpstreamFailed:      "UpstreamFailed",
	Invalid:             "Invalid",
	UpstreamUnreachable: "Unsent",
}
