package bwforward

import (
	"math"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"bilberrywick/core/bwmodel"
)

// PermitHolder is a gateway that grants permits of the windows that begin in a span of
// time on the store's clock. The span follows from its announcement alone, so that all
// gateways which have read that agree on it, whenever they compute it.
type PermitHolder struct {
	Member  bwmodel.MemberID
	Address netip.AddrPort
	// From is the start of the first window, Until the end of the span.
	From, Until time.Duration
}

const (
	// permitHolderAge is the time after a gateway's first announcement from which on it
	// grants permits. All others have read the announcement by then.
	permitHolderAge = 10 * time.Second
	// leavingHolderTime is the time for which a gateway that stops is asked for permits, in
	// which the others read that it stops. If it has ended by then, its windows get none.
	leavingHolderTime = 5 * time.Second
)

// NewPermitHolder returns the holder with the span of an announcement.
func NewPermitHolder(ann Announcement) PermitHolder {
	hld := PermitHolder{Member: ann.Member, Address: ann.Address, From: ann.AnnouncedSince + permitHolderAge, Until: ann.Seen + maxAnnouncementAge}
	if ann.Leaving {
		hld.Until = min(hld.Until, ann.LeavingSince+leavingHolderTime)
	}
	return hld
}

// UnannouncedHolder returns a gateway that the others don't know. It grants permits only
// if no gateway is known.
func UnannouncedHolder(member bwmodel.MemberID) PermitHolder {
	return PermitHolder{Member: member, From: math.MaxInt64, Until: math.MaxInt64}
}

// PermitHolders returns this gateway and those of the others that may hold windows from a
// time on.
func (rst *GatewayRoster) PermitHolders(self PermitHolder, now time.Duration) []PermitHolder {
	holders := make([]PermitHolder, 0, len(rst.others)+1)
	holders = append(holders, self)
	for _, ann := range rst.others {
		if hld := NewPermitHolder(ann); ann.Address.IsValid() && hld.Until > now-permitClockSkew {
			holders = append(holders, hld)
		}
	}
	return holders
}

// Holder returns the gateway that grants the window's permits, by rendezvous hashing over
// those whose span contains the window's start. If there is none, it is one of those that
// have announced themselves only recently. It returns the zero value if there is none
// either.
func (pwn PermitWindow) Holder(holders []PermitHolder) PermitHolder {
	var best PermitHolder
	var highest uint64
	window, isKnown := xxhash.Sum64String(string(pwn.Upstream))^mix(uint64(pwn.Start)), false
	for _, hld := range holders {
		known := pwn.Start >= hld.From
		if pwn.Start >= hld.Until || isKnown && !known {
			continue
		}
		sum := mix(window ^ xxhash.Sum64String(string(hld.Member)))
		if best.Member == "" || known && !isKnown || sum > highest {
			best, highest, isKnown = hld, sum, known
		}
	}
	return best
}
