package bwfleet

import (
	"context"
	"fmt"
	"net/netip"

	"bilberrywick/core/bwmember"
	"bilberrywick/core/bwmodel"
	"bilberrywick/core/bwticket"
	"bilberrywick/io/bwwire"
)

// HandleExchange answers a peer's exchange.
func (fl *Fleet) HandleExchange(ctx context.Context, msg *bwwire.ExchangeMessage) (*bwwire.ExchangeMessage, error) {
	if err := fl.hear(ctx, msg, netip.AddrPort{}); err != nil {
		return nil, fmt.Errorf("exchange: %w", err)
	}
	return fl.message(msg.From.Member.ID), nil
}

// HandleTickets answers a peer that is behind.
func (fl *Fleet) HandleTickets(_ context.Context, req *bwwire.TicketsRequest) (*bwwire.TicketsResponse, error) {
	snap := fl.Snapshot()
	rsp := &bwwire.TicketsResponse{Head: snap.State.Number()}
	accs, ok := snap.after(req.After)
	if !ok {
		doc := bwwire.NewStateDocument(snap.State)
		rsp.State = &doc
		return rsp, nil
	}
	for _, acc := range accs {
		rsp.Tickets = append(rsp.Tickets, bwwire.NewAcceptedDocument(acc))
	}
	return rsp, nil
}

// message is what the process says in an exchange: itself, its number, digests
// of the routers that it knows, and the changes among them.
func (fl *Fleet) message(to bwmodel.MemberID) *bwwire.ExchangeMessage {
	snap := fl.Snapshot()
	msg := &bwwire.ExchangeMessage{
		From:    bwwire.NewMemberRecord(snap.seen.record),
		Head:    snap.State.Number(),
		Ready:   snap.Ready,
		Region:  snap.seen.region,
		World:   snap.seen.world,
		Changes: bwwire.NewMemberRecords(snap.seen.changes),
	}
	for _, rec := range snap.seen.flagged {
		if rec.Member.ID == to {
			msg.Changes = append(msg.Changes, bwwire.NewMemberRecord(rec))
		}
	}
	return msg
}

// exchange tells a peer what this process knows and records the answer. The
// peer's name may be empty when only its address is known.
func (fl *Fleet) exchange(ctx context.Context, to bwmodel.MemberID, addr netip.AddrPort) (*bwwire.ExchangeMessage, error) {
	call, cancel := context.WithTimeout(ctx, fl.cfg.CallTimeout)
	defer cancel()
	rsp, err := fl.cfg.Peers.Exchange(call, addr, fl.message(to))
	if err != nil {
		// A failed change means that the process is stopping.
		_ = fl.update(ctx, func(ctl *control) { ctl.dir.RecordCallFailure(to) })
		return nil, fmt.Errorf("exchange with %v: %w", addr, err)
	}
	return rsp, fl.hear(ctx, rsp, addr)
}

// wake sends to a channel of one place; a value that waits already covers it.
func wake(ch chan<- struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// push tells some peers of the own number and of changed members; they fetch
// the tickets. A ticket goes to the agents that called lately, too.
func (fl *Fleet) push(ctx context.Context, ticket bool) {
	snap := fl.Snapshot()
	fanout := fl.cfg.Fanout
	if snap.Self.Role == bwmodel.AgentRole {
		fanout = min(fanout, agentFanout)
	}
	for _, mem := range bwmember.PushTargets(snap.Self, snap.Members, fanout, newRandom(fl.cfg, snap.Revision)) {
		fl.start(ctx, pushing{fl: fl, to: mem.ID, addr: mem.Address}.send)
	}
	if !ticket {
		return
	}
	var agents []netip.AddrPort
	if err := fl.update(ctx, func(ctl *control) { agents = ctl.callers() }); err != nil {
		return
	}
	for _, addr := range agents {
		fl.start(ctx, pushing{fl: fl, addr: addr}.send)
	}
}

// start runs a task that Wait waits for.
func (fl *Fleet) start(ctx context.Context, loop func(context.Context)) {
	fl.running.Add(1)
	tsk := task{done: fl.running.Done, loop: loop}
	go tsk.run(ctx)
}

// pushing is one message of a push.
type pushing struct {
	fl   *Fleet
	to   bwmodel.MemberID
	addr netip.AddrPort
}

func (psh pushing) send(ctx context.Context) {
	if _, err := psh.fl.exchange(ctx, psh.to, psh.addr); err != nil {
		psh.fl.cfg.Log.Debug("push failed", "Peer", psh.addr, "Error", err)
	}
}

// pullPeer fetches what follows the own state from a peer.
func (fl *Fleet) pullPeer(ctx context.Context, addr netip.AddrPort, src TicketSource) error {
	call, cancel := context.WithTimeout(ctx, fl.cfg.CallTimeout)
	defer cancel()
	req := &bwwire.TicketsRequest{After: fl.Snapshot().State.Number()}
	rsp, err := fl.cfg.Peers.Tickets(call, addr, req)
	if err != nil {
		return fmt.Errorf("tickets of %v: %w", addr, err)
	}
	accs := make([]bwticket.AcceptedTicket, 0, len(rsp.Tickets))
	for _, doc := range rsp.Tickets {
		acc, err := doc.AcceptedTicket()
		if err != nil {
			return fmt.Errorf("tickets of %v: %w", addr, err)
		}
		accs = append(accs, acc)
	}
	var st *bwticket.State
	if rsp.State != nil {
		if st, err = rsp.State.State(); err != nil {
			return fmt.Errorf("state of %v: %w", addr, err)
		}
	}
	return fl.advance(ctx, src, accs, st)
}

// pullStore fetches what follows the own state from the store.
func (fl *Fleet) pullStore(ctx context.Context) error {
	call, cancel := context.WithTimeout(ctx, fl.cfg.CallTimeout)
	defer cancel()
	accs, err := fl.cfg.Store.TicketsAfter(call, fl.Snapshot().State.Number())
	if err != nil {
		return err
	}
	return fl.advance(ctx, FromStore, accs, nil)
}

// advance applies tickets or a whole state, and passes a higher number on.
func (fl *Fleet) advance(ctx context.Context, src TicketSource, accs []bwticket.AcceptedTicket, st *bwticket.State) error {
	before := fl.Snapshot().State.Number()
	gap := false
	err := fl.update(ctx, func(ctl *control) {
		ctl.touch()
		if st != nil {
			ctl.replace(st)
		}
		gap = ctl.follow(accs)
	})
	if err != nil {
		return err
	}
	if now := fl.Snapshot().State.Number(); now > before {
		fl.cfg.Log.Info("state in effect", "Number", now, "Before", before, "Source", src)
		fl.measure(src, accs, before, now)
		wake(fl.pushes)
	}
	if gap {
		return fmt.Errorf("tickets after %d: %w", before, bwticket.ErrGap)
	}
	return nil
}

// measure tells how long the tickets that came into effect took to get here.
func (fl *Fleet) measure(src TicketSource, accs []bwticket.AcceptedTicket, before, now bwmodel.TicketNumber) {
	if fl.cfg.OnTicketApplied == nil {
		return
	}
	for _, acc := range accs {
		if num := acc.Ticket.Number; num > before && num <= now && !acc.At.IsZero() {
			// The clocks of two VMs may differ by more than the time between them.
			fl.cfg.OnTicketApplied(src, max(0, fl.cfg.Now().Sub(acc.At)))
		}
	}
}
