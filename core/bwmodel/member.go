package bwmodel

import (
	"fmt"
	"net/netip"
)

// Member is one process of the system.
type Member struct {
	ID          MemberID
	Incarnation Incarnation
	Role        Role
	Region      RegionID
	Zone        ZoneID
	// Address is where the member listens for the system's other processes.
	Address netip.AddrPort
	Leaving bool
}

// Role says what a member does.
type Role int

// Roles of a member.
const (
	RouterRole Role = iota + 1
	AgentRole
	// GatewayRole is that of processes that pass callers' requests on as they are.
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
