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
// is down, and ends once the state is known.
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
	call, cancel := context.WithTimeout(ctx, fl.cfg.CallTimeout)
	defer cancel()
	st, err := fl.cfg.Store.ReadState(call, nil)
	if err != nil {
		return err
	}
	return fl.update(ctx, func(ctl *control) {
		ctl.touch()
		ctl.replace(st)
		ctl.started = true
	})
}

// startFromSeeds asks all seeds, and takes the highest number when at least
// half of them know the state.
func (fl *Fleet) startFromSeeds(ctx context.Context) bool {
	answers := make(chan hint, len(fl.cfg.Seeds))
	for _, addr := range fl.cfg.Seeds {
		fl.running.Add(1)
		tsk := task{done: fl.running.Done, loop: asking{fl: fl, addr: addr, answers: answers}.ask}
		go tsk.run(ctx)
	}
	var best hint
	ready := 0
	for range fl.cfg.Seeds {
		ans := <-answers
		if !ans.from.IsValid() {
			continue
		}
		ready++
		if ready == 1 || ans.number > best.number {
			best = ans
		}
	}
	if ready == 0 || ready*2 < len(fl.cfg.Seeds) {
		return false
	}
	if err := fl.pullPeer(ctx, best.from, FromExchange); err != nil {
		fl.cfg.Log.Debug("start from seed failed", "Peer", best.from, "Error", err)
		return false
	}
	if fl.Snapshot().State.Number() < best.number {
		return false
	}
	return fl.update(ctx, func(ctl *control) { ctl.started = true }) == nil
}

// asking is a question to one seed at the start.
type asking struct {
	fl      *Fleet
	addr    netip.AddrPort
	answers chan<- hint
}

// ask answers with a zero hint when the seed doesn't know the state.
func (ask asking) ask(ctx context.Context) {
	rsp, err := ask.fl.exchange(ctx, "", ask.addr)
	if err != nil || !rsp.Ready {
		ask.answers <- hint{}
		return
	}
	ask.answers <- hint{number: rsp.Head, from: ask.addr}
}

// loopPoll reads the store's head while the process is a watcher of its zone,
// and records the members heard since the last round.
func (fl *Fleet) loopPoll(ctx context.Context) {
	tick := time.NewTicker(fl.cfg.PollInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		if err := fl.update(ctx, fl.drainHeard); err != nil {
			return
		}
		if err := fl.poll(ctx); err != nil {
			fl.cfg.Log.Debug("read of the store failed", "Error", err)
		}
	}
}

// poll reads the head when the process is a watcher or hears from no peer.
func (fl *Fleet) poll(ctx context.Context) error {
	snap := fl.Snapshot()
	alone := fl.cfg.Now().Sub(snap.peers) > contactTime
	if fl.cfg.Store.Head == nil || !alone && !bwmember.PollsStore(snap.Self, snap.Members) {
		return nil
	}
	call, cancel := context.WithTimeout(ctx, fl.cfg.CallTimeout)
	defer cancel()
	head, err := fl.cfg.Store.Head(call)
	if err := errors.Join(err, fl.recordRead(ctx, err)); err != nil {
		return err
	}
	if head <= snap.State.Number() {
		return nil
	}
	err = fl.pullStore(ctx)
	if !errors.Is(err, bwticket.ErrGap) {
		return err
	}
	st, err := fl.cfg.Store.ReadState(call, nil)
	if err != nil {
		return err
	}
	return fl.advance(ctx, FromStore, nil, st)
}

// recordRead logs the beginning and the end of an outage of the store.
func (fl *Fleet) recordRead(ctx context.Context, failure error) error {
	var changed bool
	var outage time.Duration
	err := fl.update(ctx, func(ctl *control) { changed, outage = ctl.readStore(failure == nil) })
	switch {
	case err != nil || !changed:
	case failure != nil:
		fl.cfg.Log.Warn("the store does not answer", "Error", failure)
	default:
		fl.cfg.Log.Info("the store answers again", "Outage", outage)
	}
	return err
}

func (fl *Fleet) drainHeard(ctl *control) {
	for {
		select {
		case evd := <-fl.heard:
			ctl.touch()
			ctl.dir.RecordContact(evd.member, 0)
			ctl.dir.RecordStateNumber(evd.member.ID, evd.member.Incarnation, evd.number)
		default:
			return
		}
	}
}

// loopExchange exchanges with one random router at a time, and with another at
// once when it does not answer.
func (fl *Fleet) loopExchange(ctx context.Context) {
	rng := newRandom(fl.cfg, 0)
	// Processes that start together spread their exchanges over the interval.
	tmr := time.NewTimer(time.Duration(rng.Int64N(int64(fl.cfg.ExchangeInterval))))
	defer tmr.Stop()
	tick := time.NewTicker(fl.cfg.ExchangeInterval)
	defer tick.Stop()
	for {
		for range exchangeAttempts {
			if ctx.Err() != nil || fl.exchangeAny(ctx, rng) {
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
	// exchangeAttempts keeps a process in contact when some of its peers are dead.
	exchangeAttempts = 3
	// seedShare is the part of a router's exchanges that go to a seed in a small
	// fleet, so that two halves that have forgotten each other meet again. In a
	// large one it falls with the size, so that seeds get the same number a second.
	seedShare = 0.1
	seedFleet = 20
)

// exchangeAny exchanges with a random peer and reports whether one answered or none is known.
func (fl *Fleet) exchangeAny(ctx context.Context, rng *rand.Rand) bool {
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
	share := seedShare * min(1, seedFleet/float64(len(snap.Members)+1))
	if snap.Self.Role == bwmodel.AgentRole {
		share = 0
	}
	if len(fl.cfg.Seeds) > 0 && (!ok || rng.Float64() < share) {
		return bwmodel.Member{Address: fl.cfg.Seeds[rng.IntN(len(fl.cfg.Seeds))]}, true
	}
	return mem, ok
}

// loopList reads the platform's list.
func (fl *Fleet) loopList(ctx context.Context) {
	if fl.cfg.Store.ListMembers == nil {
		return
	}
	tick := time.NewTicker(fl.cfg.ListInterval)
	defer tick.Stop()
	for {
		snap := fl.Snapshot()
		alone := fl.cfg.Now().Sub(snap.peers) > contactTime
		// The list of 4,000 VMs is too large for each process to read it; the
		// watchers pass on what is news in it.
		if alone || bwmember.PollsStore(snap.Self, snap.Members) {
			fl.readList(ctx)
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

func (fl *Fleet) readList(ctx context.Context) {
	call, cancel := context.WithTimeout(ctx, fl.cfg.CallTimeout)
	defer cancel()
	members, err := fl.cfg.Store.ListMembers(call)
	if err != nil {
		fl.cfg.Log.Debug("read of the VM list failed", "Error", err)
		return
	}
	news := false
	if err := fl.update(ctx, func(ctl *control) { news = ctl.dir.ApplyPlatformList(members) }); err != nil {
		fl.cfg.Log.Debug("VM list not recorded", "Error", err)
		return
	}
	if news {
		wake(fl.news)
	}
}

// newsInterval separates pushes of changed members when many change, as in the
// loss of a zone; a ticket never waits.
const newsInterval = 250 * time.Millisecond

// loopPush tells peers of each higher number and of changed members. It doesn't
// wait for their answers, so that an unreachable peer doesn't delay the next push.
func (fl *Fleet) loopPush(ctx context.Context) {
	tmr := time.NewTimer(newsInterval)
	defer tmr.Stop()
	var news <-chan struct{} = fl.news
	for {
		select {
		case <-fl.pushes:
			fl.push(ctx, true)
		case <-tmr.C:
			news = fl.news
		case <-news:
			fl.push(ctx, false)
			news = nil
			tmr.Reset(newsInterval)
		case <-ctx.Done():
			return
		}
	}
}

// newRandom mixes the member's name into the seed, so that members with the
// same settings choose different peers.
func newRandom(cfg Config, stream uint64) *rand.Rand {
	return rand.New(rand.NewPCG(cfg.RandomSeed^nameSeed(cfg.Self.ID), stream))
}

func nameSeed(id bwmodel.MemberID) uint64 {
	const offset, prime = 14695981039346656037, 1099511628211
	sum := uint64(offset)
	for _, chr := range []byte(id) {
		sum = (sum ^ uint64(chr)) * prime
	}
	return sum
}
