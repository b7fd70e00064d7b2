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
	// maxChanges bounds the changed members in one message; a rack has about 64 VMs.
	maxChanges = 64
	// agentFanout is the number of routers to which an agent pushes, since routers
	// push to agents.
	agentFanout = 2
	// callerTime is how long an agent that called counts as one to push to. An
	// agent calls each second, so that a router pushes to 9 of a zone's 167.
	callerTime = 3 * time.Second
	// differTime is how long digests must differ before the routers are fetched,
	// since a change needs less to spread, and syncTime separates two fetches.
	differTime = time.Second
	syncTime   = 5 * time.Second
	// overseeInterval separates calls to an overseen router. With the two timeouts
	// a silent router is found within 2.3 s, which leaves 0.7 s to spread it.
	overseeInterval = time.Second
	firstTimeout    = 700 * time.Millisecond
	secondTimeout   = 500 * time.Millisecond
	// suspectTime separates two reports of one router, so that a partition in
	// which a router answers some overseers only doesn't flood the region.
	suspectTime = 10 * time.Second
)

// hear records what a peer said in an exchange, passes news on, and fetches the
// tickets or routers that the peer is ahead in. Addr is where the peer was
// called, and invalid when it called.
func (fl *Fleet) hear(ctx context.Context, msg *bwwire.ExchangeMessage, addr netip.AddrPort) error {
	from := msg.From.Record()
	if !addr.IsValid() {
		addr = from.Member.Address
	}
	news, sync := false, false
	err := fl.update(ctx, func(ctl *control) {
		news = ctl.hear(from, msg)
		sync = ctl.differ(from.Member, msg)
	})
	if err != nil {
		return err
	}
	if news {
		wake(fl.news)
	}
	fl.hint(hint{number: msg.Head, from: addr, source: FromExchange})
	if sync {
		fl.start(ctx, syncing{fl: fl, addr: addr}.fetch)
	}
	return nil
}

// hear records a peer's message and reports whether it holds news to pass on.
func (ctl *control) hear(from bwmember.Record, msg *bwwire.ExchangeMessage) bool {
	ctl.touch()
	ctl.peers = ctl.now()
	news := ctl.dir.Merge([]bwmember.Record{from})
	if from.Member.Role == bwmodel.RouterRole {
		news = ctl.dir.RecordContact(from.Member, 0) || news
		ctl.dir.RecordStateNumber(from.Member.ID, from.Member.Incarnation, msg.Head)
	} else {
		ctl.agents[from.Member.Address] = ctl.now()
	}
	return ctl.dir.Merge(bwwire.MemberRecords(msg.Changes)) || news
}

// callers returns the agents that called within the caller time.
func (ctl *control) callers() []netip.AddrPort {
	var addrs []netip.AddrPort
	for addr, at := range ctl.agents {
		if ctl.now().Sub(at) > callerTime {
			delete(ctl.agents, addr)
			continue
		}
		addrs = append(addrs, addr)
	}
	return addrs
}

// differ compares a peer's digests with the own ones and reports whether to
// fetch the peer's routers: at once when they were never fetched, and otherwise
// when digests have differed for a while.
func (ctl *control) differ(from bwmodel.Member, msg *bwwire.ExchangeMessage) bool {
	self := ctl.dir.Self()
	now := ctl.now()
	if ctl.seen.version != ctl.dir.Version() {
		ctl.seen = newMembersView(ctl.dir, now)
	}
	same := from.Region != self.Region || msg.Region == ctl.seen.region
	if from.Role == bwmodel.RouterRole && self.Role == bwmodel.RouterRole {
		same = same && msg.World == ctl.seen.world
	}
	switch {
	case from.Role != bwmodel.RouterRole:
		return false
	case same:
		ctl.differed = time.Time{}
		return false
	case ctl.synced.IsZero():
		ctl.synced = now
		return true
	case ctl.differed.IsZero():
		ctl.differed = now
		return false
	case now.Sub(ctl.differed) < differTime || now.Sub(ctl.synced) < syncTime:
		return false
	}
	ctl.synced, ctl.differed = now, time.Time{}
	return true
}

// scope is the region whose routers a process knows, empty for all.
func (ctl *control) scope() bwmodel.RegionID {
	if self := ctl.dir.Self(); self.Role == bwmodel.AgentRole {
		return self.Region
	}
	return ""
}

// HandleMembers answers a peer that knows other routers.
func (fl *Fleet) HandleMembers(ctx context.Context, req *bwwire.MembersRequest) (*bwwire.MembersResponse, error) {
	rsp := &bwwire.MembersResponse{}
	err := fl.update(ctx, func(ctl *control) {
		rsp.Members = bwwire.NewMemberRecords(ctl.dir.DifferingRecords(req.Region, req.Zones))
	})
	if err != nil {
		return nil, fmt.Errorf("members: %w", err)
	}
	return rsp, nil
}

// syncing fetches the routers that a peer knows.
type syncing struct {
	fl   *Fleet
	addr netip.AddrPort
}

func (syn syncing) fetch(ctx context.Context) {
	fl := syn.fl
	req := &bwwire.MembersRequest{}
	err := fl.update(ctx, func(ctl *control) {
		req.Region = ctl.scope()
		req.Zones = ctl.dir.ZoneDigests(req.Region)
	})
	if err != nil {
		return
	}
	call, cancel := context.WithTimeout(ctx, fl.cfg.CallTimeout)
	defer cancel()
	rsp, err := fl.cfg.Peers.Members(call, syn.addr, req)
	if err != nil {
		fl.cfg.Log.Debug("read of members failed", "Peer", syn.addr, "Error", err)
		// The next peer is asked at once.
		_ = fl.update(ctx, func(ctl *control) { ctl.synced = time.Time{} })
		return
	}
	news := false
	if fl.update(ctx, func(ctl *control) { news = ctl.dir.Merge(bwwire.MemberRecords(rsp.Members)) }) == nil && news {
		wake(fl.news)
	}
}

// loopOversee calls the overseen routers, and tells the others of one that is silent.
func (fl *Fleet) loopOversee(ctx context.Context) {
	if fl.cfg.Self.Role != bwmodel.RouterRole {
		return
	}
	tick := time.NewTicker(overseeInterval)
	defer tick.Stop()
	for {
		snap := fl.Snapshot()
		for _, mem := range bwmember.MonitoredRouters(snap.Self, snap.Members) {
			fl.start(ctx, overseeing{fl: fl, member: mem}.call)
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// overseeing is the call to one overseen router.
type overseeing struct {
	fl     *Fleet
	member bwmodel.Member
}

func (ovs overseeing) call(ctx context.Context) {
	fl := ovs.fl
	began := fl.cfg.Now()
	if ovs.answers(ctx, firstTimeout) || ovs.answers(ctx, secondTimeout) || ctx.Err() != nil {
		return
	}
	news := false
	err := fl.update(ctx, func(ctl *control) {
		// A process that heard nobody in the meantime may itself be cut off.
		if ctl.peers.Before(began) || ctl.now().Sub(ctl.suspected[ovs.member.ID]) < suspectTime {
			return
		}
		ctl.suspected[ovs.member.ID] = ctl.now()
		news = ctl.dir.MarkSuspect(ovs.member.ID)
	})
	if err == nil && news {
		fl.cfg.Log.Info("router is silent", "Member", ovs.member.ID, "Zone", ovs.member.Zone)
		wake(fl.news)
	}
}

func (ovs overseeing) answers(ctx context.Context, timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	_, err := ovs.fl.exchange(ctx, ovs.member.ID, ovs.member.Address)
	return err == nil
}
