package bwgateway

import (
	"net/netip"

	"bilberrywick/core/bwforward"
	"bilberrywick/core/bwmodel"
	"bilberrywick/core/bwrollout"
)

// RolloutReport is the report of a gateway to those that decide about a rollout. Its field
// names are part of the datagram encoding.
type RolloutReport struct {
	Service bwmodel.ServiceID
	bwrollout.Report
}

// RollbackNote says that a gateway which decides has found a version to be bad. Its field
// names are part of the datagram encoding.
type RollbackNote struct {
	Service  bwmodel.ServiceID
	To       bwmodel.VersionID
	Revision bwrollout.Revision
	// Route is the one on which the version is bad, Gateway the sender.
	Route   string
	Gateway bwmodel.MemberID
}

// SendRolloutReport sends a report to some gateways.
func (prs *Peers) SendRolloutReport(rep RolloutReport, holders []bwforward.PermitHolder) {
	addrs := make([]netip.AddrPort, 0, len(holders))
	for _, hld := range holders {
		addrs = append(addrs, hld.Address)
	}
	if data, ok := prs.encode(packet{RolloutReport: &rep}); ok && len(addrs) > 0 {
		prs.send(data, addrs)
	}
}

// SendRollbackNote sends a note to all other gateways.
func (prs *Peers) SendRollbackNote(nt RollbackNote) {
	prs.sendTo(prs.fleet.Load().All(), packet{RollbackNote: &nt})
}

// receiveRollout passes on the messages about rollouts.
func (prs *Peers) receiveRollout(pkt packet) {
	if pkt.RolloutReport != nil && prs.cfg.OnRolloutReport != nil {
		prs.cfg.OnRolloutReport(*pkt.RolloutReport)
	}
	if pkt.RollbackNote != nil && prs.cfg.OnRollbackNote != nil {
		prs.cfg.OnRollbackNote(*pkt.RollbackNote)
	}
}
