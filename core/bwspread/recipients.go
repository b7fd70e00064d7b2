package bwspread

import (
	"math/rand/v2"
	"net/netip"

	"bilberrywick/core/bwmodel"
)

// Gateway is one of the other gateways of a fleet.
type Gateway struct {
	Zone    bwmodel.ZoneID
	Address netip.AddrPort
}

// Fleet is the other gateways, by zone. It is immutable.
type Fleet struct {
	own    []netip.AddrPort
	others [][]netip.AddrPort
	count  int
}

// Recipients are the gateways that a datagram is sent to.
type Recipients struct {
	// Direct gateways only read the datagram. Relays send it to the other gateways
	// of their zone as well.
	Direct, Relays []netip.AddrPort
}

// minRelayedZone is the number of gateways from which a zone gets a datagram
// through a relay. In smaller zones the relay's loss would cost more than the
// traffic between zones that it saves.
const minRelayedZone = 4

// NewFleet returns the fleet of a gateway in a zone.
func NewFleet(zone bwmodel.ZoneID, gateways []Gateway) *Fleet {
	flt := &Fleet{count: len(gateways)}
	index := make(map[bwmodel.ZoneID]int)
	for _, gw := range gateways {
		if gw.Zone == zone {
			flt.own = append(flt.own, gw.Address)
			continue
		}
		ix, ok := index[gw.Zone]
		if !ok {
			ix = len(flt.others)
			index[gw.Zone] = ix
			flt.others = append(flt.others, nil)
		}
		flt.others[ix] = append(flt.others[ix], gw.Address)
	}
	return flt
}

// Count returns the number of other gateways.
func (flt *Fleet) Count() int { return flt.count }

// Neighbors returns the other gateways of the zone, to which a relay sends.
func (flt *Fleet) Neighbors() []netip.AddrPort { return flt.own }

// All returns the recipients of a datagram that every gateway should get.
func (flt *Fleet) All() Recipients {
	rcp := Recipients{Direct: flt.own}
	for _, zone := range flt.others {
		rcp.add(zone)
	}
	return rcp
}

// Some returns the recipients of a datagram that only a part of a large fleet
// needs: at most limit gateways, of which half may be of the own zone; the others
// are of zones chosen at random. The load pattern it answers is notes
// about each request: with all gateways as recipients they would grow with the
// square of the fleet.
func (flt *Fleet) Some(limit int) Recipients {
	rcp := Recipients{Direct: pick(flt.own, limit/2)}
	reached := len(rcp.Direct)
	for _, ix := range rand.Perm(len(flt.others)) {
		zone := flt.others[ix]
		if reached+len(zone) > limit {
			continue
		}
		rcp.add(zone)
		reached += len(zone)
	}
	return rcp
}

// Lenders returns the gateways from which a part of a retry budget is borrowed, in
// groups of growing size that are asked one after the other. The load pattern it
// answers is the loss of a zone's upstreams, which interrupts the streams of all
// gateways of that zone: they come last.
func (flt *Fleet) Lenders() [][]netip.AddrPort {
	var remote []netip.AddrPort
	for _, zone := range flt.others {
		remote = append(remote, zone...)
	}
	order := append(pick(remote, len(remote)), pick(flt.own, len(flt.own))...)
	var groups [][]netip.AddrPort
	for _, size := range lenderGroups {
		size = min(size, len(order))
		if size > 0 {
			groups = append(groups, order[:size])
		}
		order = order[size:]
	}
	return groups
}

// lenderGroups has the sizes of the groups of lenders. Most loans need the first
// one only, and together they reach half of a hundred gateways.
var lenderGroups = []int{8, 16, 32}

// add adds the gateways of another zone, as a relay or directly.
func (rcp *Recipients) add(zone []netip.AddrPort) {
	if len(zone) >= minRelayedZone {
		rcp.Relays = append(rcp.Relays, zone[rand.IntN(len(zone))])
		return
	}
	// The slice of the own zone is shared and must not be appended to in place.
	rcp.Direct = append(rcp.Direct[:len(rcp.Direct):len(rcp.Direct)], zone...)
}

// pick returns up to a number of addresses, chosen at random, in random order.
func pick(addrs []netip.AddrPort, most int) []netip.AddrPort {
	picked := make([]netip.AddrPort, 0, min(len(addrs), most))
	for _, ix := range rand.Perm(len(addrs))[:cap(picked)] {
		picked = append(picked, addrs[ix])
	}
	return picked
}
