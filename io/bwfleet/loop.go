package bwfleet

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/netip"
	"time"

	"bilberrywick/core/bwmember"
	"bilberrywick/core/bwmodel"
	"bilberrywick/core/bwticket"
)

// loopStart reads the state from the store, or from the seeds while the store
// is unavailable, and ends once the state is loaded.
func (fl *Fleet) loopStart(ctx context.Context) {
	tick := time.NewTicker(fl.cfg.PollInterval)
	defer tick.Stop()
	for {
		err := fl.startFromStore(ctx)
		if err == nil {
			return
		}
		if fl.startFromSeeds(ctx) {
			fl.cfg.Log.Warn("started without the store", "Number", fl.Snapshot().State.Number(), "Error", err)
			return
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

func (fl *Fleet) startFromStore(ctx context.Context) error {
	if fl.cfg.Store.ReadState == nil {
		return errors.New("no store is configured")
	}
	callCtx, cancel := context.WithTimeout(ctx, fl.cfg.CallTimeout)
	defer cancel()
	st, err := fl.cfg.Store.ReadState(callCtx, nil)
	if err != nil {
		return err
	}
	return fl.update(ctx, func(ctl *controlState) {
		ctl.recordContact()
		ctl.replaceState(st)
		ctl.stateLoaded = true
	})
}

// startFromSeeds queries all seeds and fetches the state with the highest
// number, provided that at least half of the seeds are ready.
func (fl *Fleet) startFromSeeds(ctx context.Context) bool {
	responses := make(chan ticketHint, len(fl.cfg.Seeds))
	for _, addr := range fl.cfg.Seeds {
		fl.running.Add(1)
		tsk := task{done: fl.running.Done, fn: seedQuery{fl: fl, addr: addr, responses: responses}.send}
		go tsk.run(ctx)
	}
	var best ticketHint
	readySeeds := 0
	for range fl.cfg.Seeds {
		rsp := <-responses
		if !rsp.from.IsValid() {
			continue
		}
		readySeeds++
		if readySeeds == 1 || rsp.number > best.number {
			best = rsp
		}
	}
	if readySeeds == 0 || readySeeds*2 < len(fl.cfg.Seeds) {
		return false
	}
	if err := fl.pullFromPeer(ctx, best.from, FromExchange); err != nil {
		fl.cfg.Log.Debug("start from seed failed", "Peer", best.from, "Error", err)
		return false
	}
	if fl.Snapshot().State.Number() < best.number {
		return false
	}
	return fl.update(ctx, func(ctl *controlState) { ctl.stateLoaded = true }) == nil
}

// seedQuery requests the ticket number of one seed.
type seedQuery struct {
	fl        *Fleet
	addr      netip.AddrPort
	responses chan<- ticketHint
}

// send puts the seed's number into responses, or a zero hint when the seed is
// not ready.
func (qry seedQuery) send(ctx context.Context) {
	rsp, err := qry.fl.exchange(ctx, "", qry.addr)
	if err != nil || !rsp.Ready {
		qry.responses <- ticketHint{}
		return
	}
	qry.responses <- ticketHint{number: rsp.Head, from: qry.addr}
}

// loopPoll records the contacts since the last round, and reads the store's
// head while the process is a store poller of its zone.
func (fl *Fleet) loopPoll(ctx context.Context) {
	tick := time.NewTicker(fl.cfg.PollInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		if err := fl.update(ctx, fl.recordContacts); err != nil {
			return
		}
		if err := fl.poll(ctx); err != nil {
			fl.cfg.Log.Debug("read of the store failed", "Error", err)
		}
	}
}

// poll reads the head when the process is a store poller or has no recent
// contact with a peer, and fetches the tickets up to it.
func (fl *Fleet) poll(ctx context.Context) error {
	snap := fl.Snapshot()
	isolated := fl.cfg.Now().Sub(snap.lastPeerContact) > contactTimeout
	if fl.cfg.Store.Head == nil || !isolated && !bwmember.PollsStore(snap.Self, snap.Members) {
		return nil
	}
	callCtx, cancel := context.WithTimeout(ctx, fl.cfg.CallTimeout)
	defer cancel()
	head, err := fl.cfg.Store.Head(callCtx)
	if err := errors.Join(err, fl.recordStoreRead(ctx, err)); err != nil {
		return err
	}
	if head <= snap.State.Number() {
		return nil
	}
	err = fl.pullFromStore(ctx)
	if !errors.Is(err, bwticket.ErrGap) {
		return err
	}
	st, err := fl.cfg.Store.ReadState(callCtx, nil)
	if err != nil {
		return err
	}
	return fl.advance(ctx, FromStore, nil, st)
}

// recordStoreRead records whether a read of the store succeeded, and logs the
// start and the end of an outage.
func (fl *Fleet) recordStoreRead(ctx context.Context, failure error) error {
	var changed bool
	var outage time.Duration
	err := fl.update(ctx, func(ctl *controlState) { changed, outage = ctl.recordStoreRead(failure == nil) })
	switch {
	case err != nil || !changed:
	case failure != nil:
		fl.cfg.Log.Warn("store unavailable", "Error", failure)
	default:
		fl.cfg.Log.Info("store available again", "Outage", outage)
	}
	return err
}

func (fl *Fleet) recordContacts(ctl *controlState) {
	for {
		select {
		case con := <-fl.contacts:
			ctl.recordContact()
			ctl.dir.RecordContact(con.member, 0)
			ctl.dir.RecordStateNumber(con.member.ID, con.member.Incarnation, con.number)
		default:
			return
		}
	}
}

// loopExchange exchanges with one random router in each interval. If the call
// fails, it tries another router at once.
func (fl *Fleet) loopExchange(ctx context.Context) {
	rng := newRandom(fl.cfg, 0)
	// Processes that start together spread their exchanges over the interval.
	tmr := time.NewTimer(time.Duration(rng.Int64N(int64(fl.cfg.ExchangeInterval))))
	defer tmr.Stop()
	tick := time.NewTicker(fl.cfg.ExchangeInterval)
	defer tick.Stop()
	for {
		for range exchangeAttempts {
			if ctx.Err() != nil || fl.exchangeWithRandomPeer(ctx, rng) {
				break
			}
		}
		select {
		case <-tick.C:
		case <-tmr.C:
			tick.Reset(fl.cfg.ExchangeInterval)
		case <-ctx.Done():
			return
		}
	}
}

const (
	// exchangeAttempts keeps a process in contact while some of its peers are down.
	exchangeAttempts = 3
	// seedShare is the fraction of a router's exchanges that go to a seed in a
	// fleet of at most smallFleetSize members, so that two halves of a partition
	// that have removed each other's members connect again when it ends. In a
	// larger fleet it decreases with the size, so that the seeds' load stays the
	// same.
	seedShare      = 0.1
	smallFleetSize = 20
)

// exchangeWithRandomPeer exchanges with a random peer and reports whether the
// peer responded or none is known.
func (fl *Fleet) exchangeWithRandomPeer(ctx context.Context, rng *rand.Rand) bool {
	mem, ok := fl.pickPeer(rng)
	if !ok {
		return true
	}
	if _, err := fl.exchange(ctx, mem.ID, mem.Address); err != nil {
		fl.cfg.Log.Debug("exchange failed", "Peer", mem.Address, "Error", err)
		return false
	}
	return true
}

func (fl *Fleet) pickPeer(rng *rand.Rand) (bwmodel.Member, bool) {
	snap := fl.Snapshot()
	mem, ok := bwmember.ExchangePeer(snap.Self, snap.Members, rng)
	share := seedShare * min(1, smallFleetSize/float64(len(snap.Members)+1))
	if snap.Self.Role == bwmodel.AgentRole {
		share = 0
	}
	if len(fl.cfg.Seeds) > 0 && (!ok || rng.Float64() < share) {
		return bwmodel.Member{Address: fl.cfg.Seeds[rng.IntN(len(fl.cfg.Seeds))]}, true
	}
	return mem, ok
}

// loopList reads the platform's VM list at intervals.
func (fl *Fleet) loopList(ctx context.Context) {
	if fl.cfg.Store.ListMembers == nil {
		return
	}
	tick := time.NewTicker(fl.cfg.ListInterval)
	defer tick.Stop()
	for {
		snap := fl.Snapshot()
		isolated := fl.cfg.Now().Sub(snap.lastPeerContact) > contactTimeout
		// The list of 4,000 VMs is too large for each process to read it, so the
		// store pollers read it and disseminate the changes.
		if isolated || bwmember.PollsStore(snap.Self, snap.Members) {
			fl.readPlatformList(ctx)
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

func (fl *Fleet) readPlatformList(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, fl.cfg.CallTimeout)
	defer cancel()
	members, err := fl.cfg.Store.ListMembers(callCtx)
	if err != nil {
		fl.cfg.Log.Debug("read of the VM list failed", "Error", err)
		return
	}
	changed := false
	if err := fl.update(ctx, func(ctl *controlState) { changed = ctl.dir.ApplyPlatformList(members) }); err != nil {
		fl.cfg.Log.Debug("VM list not applied", "Error", err)
		return
	}
	if changed {
		wake(fl.memberPush)
	}
}

// memberPushInterval separates pushes of changed members when many change, as
// when a zone fails. Pushes of tickets are not delayed.
const memberPushInterval = 250 * time.Millisecond

// loopPush pushes each higher ticket number and changed members to peers. It
// doesn't wait for their responses, so that an unreachable peer doesn't delay
// the next push.
func (fl *Fleet) loopPush(ctx context.Context) {
	tmr := time.NewTimer(memberPushInterval)
	defer tmr.Stop()
	// memberPush is nil for memberPushInterval after a push of changed members.
	var memberPush <-chan struct{} = fl.memberPush
	for {
		select {
		case <-fl.ticketPush:
			fl.push(ctx, true)
		case <-tmr.C:
			memberPush = fl.memberPush
		case <-memberPush:
			fl.push(ctx, false)
			memberPush = nil
			tmr.Reset(memberPushInterval)
		case <-ctx.Done():
			return
		}
	}
}

// newRandom returns a random generator whose seed includes the member's name,
// so that members with the same settings choose different peers.
func newRandom(cfg Config, stream uint64) *rand.Rand {
	return rand.New(rand.NewPCG(cfg.RandomSeed^nameHash(cfg.Self.ID), stream))
}

func nameHash(id bwmodel.MemberID) uint64 {
	const offset, prime = 14695981039346656037, 1099511628211
	sum := uint64(offset)
	for _, chr := range []byte(id) {
		sum = (sum ^ uint64(chr)) * prime
	}
	return sum
}
