package bwmodel

import (
	"fmt"
	"net/netip"
)

// Member is a process of the system.
type Member struct {
	ID          MemberID
	Incarnation Incarnation
	Role        Role
	Region      RegionID
	Zone        ZoneID
	// Address is where the member listens for other members.
	Address netip.AddrPort
	Leaving bool
}

// Role is the function of a member.
type Role int

// Roles of a member.
const (
	RouterRole Role = iota + 1
	AgentRole
	// GatewayRole is the role of processes that forward callers' requests without
	// modifying them.
	GatewayRole
)

// String returns the role's name.
func (rl Role) String() string {
	switch rl {
	case RouterRole:
		return "Router"
	case AgentRole:
		return "Agent"
	case GatewayRole:
		return "Gateway"
	}
	return fmt.Sprintf("Role(%d)", int(rl))
}
