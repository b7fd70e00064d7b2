package bwfleet

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"bilberrywick/core/bwmember"
	"bilberrywick/core/bwmodel"
	"bilberrywick/io/bwwire"
)

const (
	// maxChanges limits the changed members in one message; a rack has about 64 VMs.
	maxChanges = 64
	// agentFanout is the number of routers to which an agent pushes. It is small,
	// since routers push to agents.
	agentFanout = 2
	// callerTTL is how long a router pushes to an agent after the agent's last
	// call. Each agent calls once a second, so that a router pushes to 9 of the
	// 167 agents of a zone.
	callerTTL = 3 * time.Second
	// differenceDelay is how long digests must differ before the routers are
	// fetched, since a change takes less time to propagate. syncInterval
	// separates two fetches.
	differenceDelay = time.Second
	syncInterval    = 5 * time.Second
	// monitorInterval separates calls to a monitored router. With the two
	// timeouts, an unresponsive router is detected within 2.3 s, which leaves
	// 0.7 s of the 3 s limit to disseminate it.
	monitorInterval      = time.Second
	firstMonitorTimeout  = 700 * time.Millisecond
	secondMonitorTimeout = 500 * time.Millisecond
	// suspectInterval separates two reports of the same router as suspect.
	// Otherwise, a partition in which only some monitors reach a router would
	// flood the region with reports.
	suspectInterval = 10 * time.Second
)

// recordMessage records a peer's message in an exchange, disseminates changed
// members, and fetches the tickets or routers that this process lacks. The
// parameter addr is the address that was called, or invalid when the peer called.
func (fl *Fleet) recordMessage(ctx context.Context, msg *bwwire.ExchangeMessage, addr netip.AddrPort) error {
	from := msg.From.Record()
	if !addr.IsValid() {
		addr = from.Member.Address
	}
	changed, needsSync := false, false
	err := fl.update(ctx, func(ctl *controlState) {
		changed = ctl.recordMessage(from, msg)
		needsSync = ctl.needsSync(from.Member, msg)
	})
	if err != nil {
		return err
	}
	if changed {
		wake(fl.memberPush)
	}
	fl.addHint(ticketHint{number: msg.Head, from: addr, source: FromExchange})
	if needsSync {
		fl.startTask(ctx, memberSync{fl: fl, addr: addr}.fetch)
	}
	return nil
}

// recordMessage records a peer's message and reports whether it changed members.
func (ctl *controlState) recordMessage(from bwmember.Record, msg *bwwire.ExchangeMessage) bool {
	ctl.recordContact()
	ctl.lastPeerContact = ctl.now()
	changed := ctl.dir.Merge([]bwmember.Record{from})
	if from.Member.Role == bwmodel.RouterRole {
		changed = ctl.dir.RecordContact(from.Member, 0) || changed
		ctl.dir.RecordStateNumber(from.Member.ID, from.Member.Incarnation, msg.Head)
	} else {
		ctl.agentContacts[from.Member.Address] = ctl.now()
	}
	return ctl.dir.Merge(bwwire.MemberRecords(msg.Changes)) || changed
}

// recentCallers returns the agents that called within callerTTL and removes the others.
func (ctl *controlState) recentCallers() []netip.AddrPort {
	var addrs []netip.AddrPort
	for addr, at := range ctl.agentContacts {
		if ctl.now().Sub(at) > callerTTL {
			delete(ctl.agentContacts, addr)
			continue
		}
		addrs = append(addrs, addr)
	}
	return addrs
}

// needsSync compares a peer's digests with those of this process and reports
// whether to fetch the peer's routers: at once when no routers were fetched
// before, and otherwise when digests have differed for differenceDelay.
func (ctl *controlState) needsSync(from bwmodel.Member, msg *bwwire.ExchangeMessage) bool {
	self := ctl.dir.Self()
	now := ctl.now()
	if ctl.members.version != ctl.dir.Version() {
		ctl.members = newMembersView(ctl.dir, now)
	}
	same := from.Region != self.Region || msg.Region == ctl.members.regionDigest
	if from.Role == bwmodel.RouterRole && self.Role == bwmodel.RouterRole {
		same = same && msg.World == ctl.members.worldDigest
	}
	switch {
	case from.Role != bwmodel.RouterRole:
		return false
	case same:
		ctl.differingSince = time.Time{}
		return false
	case ctl.lastSync.IsZero():
		ctl.lastSync = now
		return true
	case ctl.differingSince.IsZero():
		ctl.differingSince = now
		return false
	case now.Sub(ctl.differingSince) < differenceDelay || now.Sub(ctl.lastSync) < syncInterval:
		return false
	}
	ctl.lastSync, ctl.differingSince = now, time.Time{}
	return true
}

// syncRegion returns the region whose routers the process keeps, or an empty
// name for all regions.
func (ctl *controlState) syncRegion() bwmodel.RegionID {
	if self := ctl.dir.Self(); self.Role == bwmodel.AgentRole {
		return self.Region
	}
	return ""
}

// HandleMembers returns the routers of the zones whose digests differ from the peer's.
func (fl *Fleet) HandleMembers(ctx context.Context, req *bwwire.MembersRequest) (*bwwire.MembersResponse, error) {
	rsp := &bwwire.MembersResponse{}
	err := fl.update(ctx, func(ctl *controlState) {
		rsp.Members = bwwire.NewMemberRecords(ctl.dir.DifferingRecords(req.Region, req.Zones))
	})
	if err != nil {
		return nil, fmt.Errorf("members: %w", err)
	}
	return rsp, nil
}

// memberSync fetches the differing routers from a peer.
type memberSync struct {
	fl   *Fleet
	addr netip.AddrPort
}

func (mss memberSync) fetch(ctx context.Context) {
	fl := mss.fl
	req := &bwwire.MembersRequest{}
	err := fl.update(ctx, func(ctl *controlState) {
		req.Region = ctl.syncRegion()
		req.Zones = ctl.dir.ZoneDigests(req.Region)
	})
	if err != nil {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, fl.cfg.CallTimeout)
	defer cancel()
	rsp, err := fl.cfg.Peers.Members(callCtx, mss.addr, req)
	if err != nil {
		fl.cfg.Log.Debug("read of members failed", "Peer", mss.addr, "Error", err)
		// The next peer with differing digests is called without a delay.
		_ = fl.update(ctx, func(ctl *controlState) { ctl.lastSync = time.Time{} })
		return
	}
	changed := false
	if fl.update(ctx, func(ctl *controlState) { changed = ctl.dir.Merge(bwwire.MemberRecords(rsp.Members)) }) == nil && changed {
		wake(fl.memberPush)
	}
}

// loopMonitor calls the monitored routers, and reports an unresponsive one to the peers.
func (fl *Fleet) loopMonitor(ctx context.Context) {
	if fl.cfg.Self.Role != bwmodel.RouterRole {
		return
	}
	tick := time.NewTicker(monitorInterval)
	defer tick.Stop()
	for {
		snap := fl.Snapshot()
		for _, mem := range bwmember.MonitoredRouters(snap.Self, snap.Members) {
			fl.startTask(ctx, monitorTask{fl: fl, member: mem}.check)
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// monitorTask checks one monitored router.
type monitorTask struct {
	fl     *Fleet
	member bwmodel.Member
}

func (mon monitorTask) check(ctx context.Context) {
	fl := mon.fl
	start := fl.cfg.Now()
	if mon.responds(ctx, firstMonitorTimeout) || mon.responds(ctx, secondMonitorTimeout) || ctx.Err() != nil {
		return
	}
	changed := false
	err := fl.update(ctx, func(ctl *controlState) {
		// Without a message from any peer since the start of the check, this process
		// may itself be disconnected.
		if ctl.lastPeerContact.Before(start) || ctl.now().Sub(ctl.suspectedAt[mon.member.ID]) < suspectInterval {
			return
		}
		ctl.suspectedAt[mon.member.ID] = ctl.now()
		changed = ctl.dir.MarkSuspect(mon.member.ID)
	})
	if err == nil && changed {
		fl.cfg.Log.Info("router does not respond", "Member", mon.member.ID, "Zone", mon.member.Zone)
		wake(fl.memberPush)
	}
}

func (mon monitorTask) responds(ctx context.Context, timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	_, err := mon.fl.exchange(ctx, mon.member.ID, mon.member.Address)
	return err == nil
}
