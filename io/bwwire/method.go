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

// Codes of refused calls. A refused call has executed nothing, except for one
// refused with UpstreamFailed.
const (
	// Leaving means that the member is shutting down or draining.
	Leaving bwrpc.Code = iota + 100
	// Overloaded means that the upstream has no free slot.
	Overloaded
	// Stale means that a higher epoch, fence or attempt has replaced the request's.
	Stale
	// Expired means that the dispatch arrived after its expiry.
	Expired
	// OtherIncarnation means that the agent has restarted since the dispatch was prepared.
	OtherIncarnation
	// Duplicate means that an action with the key has been started before.
	Duplicate
	// NotFound means that the request or key does not exist.
	NotFound
	// Forbidden means that the record belongs to another team.
	Forbidden
	// UpstreamFailed means that the upstream refused the request, closed its
	// connection or returned an invalid response.
	UpstreamFailed
	// Invalid means that the request was malformed and must not be retried.
	Invalid
	// UpstreamUnreachable means that the agent could not connect to its upstream, so nothing was sent.
	UpstreamUnreachable
)

// CodeName returns the name of a code of this package or of bwrpc.
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
