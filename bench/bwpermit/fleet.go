package bwpermit

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"bilberrywick/core/bwforward"
	"bilberrywick/core/bwmodel"
)

// fleet is a number of gateways that take permits for one upstream. Each gateway reads the
// announcements of the others some time after they were made, and has a clock that
// differs.
type fleet struct {
	rng     *rand.Rand
	members map[bwmodel.MemberID]*gateway
	order   []bwmodel.MemberID
	// announced has the last announcement of each gateway, also of those that have ended.
	announced map[bwmodel.MemberID]bwforward.Announcement
	// reads and ends have what happens at a time: a gateway reads an announcement, or ends.
	reads map[time.Duration][]read
	ends  map[time.Duration][]bwmodel.MemberID
}

// read is an announcement that a gateway reads.
type read struct {
	reader *gateway
	ann    bwforward.Announcement
}

type gateway struct {
	ledger bwforward.PermitLedger
	roster bwforward.GatewayRoster
	own    bwforward.Announcement
	// holders is nil if the roster has changed since it was computed.
	holders []bwforward.PermitHolder
	skew    time.Duration
	// blockedUntil is when the gateway asks for a permit again.
	blockedUntil time.Duration
	frozen       bool
}

const (
	// maxReadDelay is the time in which all gateways read an announcement.
	maxReadDelay = 3 * time.Second
	// maxSkew is the largest difference of a gateway's clock.
	maxSkew = 100 * time.Millisecond
	// stopTime is the time from the announcement that a gateway stops to its end,
	// restartTime from there to its start.
	stopTime    = 2600 * time.Millisecond
	restartTime = 500 * time.Millisecond
	// fleetStart is the reading of the store's clock at the start of a play, and fleetAge
	// the time for which the first gateways have run then.
	fleetStart = time.Hour
	fleetAge   = time.Minute
	tick       = time.Millisecond
)

func newFleet(size int, seed uint64) *fleet {
	flt := &fleet{
		rng: rand.New(rand.NewPCG(seed, uint64(size))), members: make(map[bwmodel.MemberID]*gateway), announced: make(map[bwmodel.MemberID]bwforward.Announcement),
		reads: make(map[time.Duration][]read), ends: make(map[time.Duration][]bwmodel.MemberID),
	}
	for ix := range size {
		flt.start(bwmodel.MemberID(fmt.Sprintf("gw-%d", ix)), fleetStart-fleetAge)
	}
	for _, gtw := range flt.members {
		flt.readAll(gtw, fleetStart)
	}
	return flt
}

// start starts a gateway, which reads the announcements that the store has.
func (flt *fleet) start(id bwmodel.MemberID, now time.Duration) {
	gtw := &gateway{skew: time.Duration(flt.rng.Int64N(int64(2*maxSkew))) - maxSkew}
	gtw.own = bwforward.Announcement{Member: id, Address: netip.AddrPortFrom(netip.IPv4Unspecified(), 1), Seen: now, AnnouncedSince: now}
	if flt.members[id] == nil {
		flt.order = append(flt.order, id)
	}
	flt.members[id] = gtw
	flt.readAll(gtw, now)
	flt.announce(gtw, now)
}

// readAll makes a gateway read all announcements of the others.
func (flt *fleet) readAll(gtw *gateway, now time.Duration) {
	var others []bwforward.Announcement
	for id, ann := range flt.announced {
		if id != gtw.own.Member {
			others = append(others, ann)
		}
	}
	gtw.roster.Apply(others, now, true)
	gtw.holders = nil
}

// announce makes a gateway's announcement known to the store, and to each of the others
// some time later.
func (flt *fleet) announce(gtw *gateway, now time.Duration) {
	flt.announced[gtw.own.Member] = gtw.own
	if now < fleetStart {
		return
	}
	for _, id := range flt.order {
		if reader := flt.members[id]; reader != gtw {
			at := now + time.Duration(flt.rng.Int64N(int64(maxReadDelay/tick)))*tick
			flt.reads[at] = append(flt.reads[at], read{reader, gtw.own})
		}
	}
}

// stop makes a gateway announce that it stops.
func (flt *fleet) stop(id bwmodel.MemberID, now time.Duration) {
	gtw := flt.members[id]
	gtw.own.Leaving, gtw.own.LeavingSince, gtw.own.Seen = true, now, now
	gtw.holders = nil
	flt.announce(gtw, now)
	flt.ends[now+stopTime] = append(flt.ends[now+stopTime], id)
}

// replace replaces a tenth of the gateways, freezes one and restarts another one.
func (flt *fleet) replace(generation int, now time.Duration) {
	size := len(flt.order)
	if size == 1 {
		return
	}
	count := max(size/10, 1)
	for ix := range count {
		flt.stop(flt.order[ix], now)
		flt.start(bwmodel.MemberID(fmt.Sprintf("new-%d-%d", generation, ix)), now)
	}
	flt.order = flt.order[count:]
	flt.members[flt.order[0]].frozen = size > 2
	flt.start(flt.order[1], now)
}

// advance does what is due at a time: announcements are read, and gateways end.
func (flt *fleet) advance(now time.Duration) {
	for _, rd := range flt.reads[now] {
		rd.reader.roster.Apply([]bwforward.Announcement{rd.ann}, now, false)
		rd.reader.holders = nil
	}
	for _, id := range flt.ends[now] {
		flt.members[id].frozen = true
	}
}

func (gtw *gateway) holderOf(pwn bwforward.PermitWindow, now time.Duration) bwmodel.MemberID {
	if gtw.holders == nil {
		gtw.holders = gtw.roster.PermitHolders(bwforward.NewPermitHolder(gtw.own), now)
	}
	return pwn.Holder(gtw.holders).Member
}

// pick returns a gateway at random that is not frozen and has not ended, or nil.
func (flt *fleet) pick() *gateway {
	first := flt.rng.IntN(len(flt.order))
	for ix := range flt.order {
		if gtw := flt.members[flt.order[(first+ix)%len(flt.order)]]; !gtw.frozen {
			return gtw
		}
	}
	return nil
}

// take reports whether a gateway chosen at random gets a permit.
func (flt *fleet) take(up bwmodel.UpstreamID, limit float64, now time.Duration) bool {
	gtw := flt.pick()
	if gtw == nil || now < gtw.blockedUntil {
		return false
	}
	clock := now + gtw.skew
	pwn := bwforward.NewPermitWindow(up, limit, clock)
	id := gtw.holderOf(pwn, now)
	holder := flt.members[id]
	if holder == nil || holder.frozen {
		gtw.blockedUntil = now + pwn.Left(clock)
		return false
	}
	ans := bwforward.PermitAnswer{Blocked: pwn.Left(clock)}
	if holder.holderOf(pwn, now) == id {
		ans = holder.ledger.Take(pwn, now+holder.skew)
	}
	gtw.blockedUntil = now + ans.Blocked
	return ans.Granted
}
