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

// HandleExchange serves an exchange that a peer started.
func (fl *Fleet) HandleExchange(ctx context.Context, msg *bwwire.ExchangeMessage) (*bwwire.ExchangeMessage, error) {
	if err := fl.recordMessage(ctx, msg, netip.AddrPort{}); err != nil {
		return nil, fmt.Errorf("exchange: %w", err)
	}
	return fl.newMessage(msg.From.Member.ID), nil
}

// HandleTickets returns the tickets after a number, or the complete state when
// the kept tickets don't reach back to it.
func (fl *Fleet) HandleTickets(_ context.Context, req *bwwire.TicketsRequest) (*bwwire.TicketsResponse, error) {
	snap := fl.Snapshot()
	rsp := &bwwire.TicketsResponse{Head: snap.State.Number()}
	accs, ok := snap.ticketsAfter(req.After)
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

// newMessage returns the message of this process in an exchange: its own
// record, its ticket number, digests of the routers in its directory, and their
// recent changes.
func (fl *Fleet) newMessage(to bwmodel.MemberID) *bwwire.ExchangeMessage {
	snap := fl.Snapshot()
	msg := &bwwire.ExchangeMessage{
		From:    bwwire.NewMemberRecord(snap.members.self),
		Head:    snap.State.Number(),
		Ready:   snap.Ready,
		Region:  snap.members.regionDigest,
		World:   snap.members.worldDigest,
		Changes: bwwire.NewMemberRecords(snap.members.changes),
	}
	for _, rec := range snap.members.nonLive {
		if rec.Member.ID == to {
			msg.Changes = append(msg.Changes, bwwire.NewMemberRecord(rec))
		}
	}
	return msg
}

// exchange sends this process's message to a peer and records the response. The
// peer's name may be empty when only its address is known.
func (fl *Fleet) exchange(ctx context.Context, to bwmodel.MemberID, addr netip.AddrPort) (*bwwire.ExchangeMessage, error) {
	callCtx, cancel := context.WithTimeout(ctx, fl.cfg.CallTimeout)
	defer cancel()
	rsp, err := fl.cfg.Peers.Exchange(callCtx, addr, fl.newMessage(to))
	if err != nil {
		// update fails only when the process is stopping.
		_ = fl.update(ctx, func(ctl *controlState) { ctl.dir.RecordCallFailure(to) })
		return nil, fmt.Errorf("exchange with %v: %w", addr, err)
	}
	return rsp, fl.recordMessage(ctx, rsp, addr)
}

// wake sends to a channel with a buffer of one, and does nothing when a value
// is already waiting, since one value covers all changes before its receipt.
func wake(ch chan<- struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// push exchanges with some peers, so that they receive the ticket number and
// the changed members; they then fetch the tickets. With includeAgents, it also
// pushes to the agents that called recently.
func (fl *Fleet) push(ctx context.Context, includeAgents bool) {
	snap := fl.Snapshot()
	fanout := fl.cfg.Fanout
	if snap.Self.Role == bwmodel.AgentRole {
		fanout = min(fanout, agentFanout)
	}
	for _, mem := range bwmember.PushTargets(snap.Self, snap.Members, fanout, newRandom(fl.cfg, snap.Revision)) {
		fl.startTask(ctx, pushTask{fl: fl, to: mem.ID, addr: mem.Address}.send)
	}
	if !includeAgents {
		return
	}
	var agents []netip.AddrPort
	if err := fl.update(ctx, func(ctl *controlState) { agents = ctl.recentCallers() }); err != nil {
		return
	}
	for _, addr := range agents {
		fl.startTask(ctx, pushTask{fl: fl, addr: addr}.send)
	}
}

// startTask runs fn in a goroutine that Wait waits for.
func (fl *Fleet) startTask(ctx context.Context, fn func(context.Context)) {
	fl.running.Add(1)
	tsk := task{done: fl.running.Done, fn: fn}
	go tsk.run(ctx)
}

// pushTask sends one message of a push.
type pushTask struct {
	fl   *Fleet
	to   bwmodel.MemberID
	addr netip.AddrPort
}

func (psh pushTask) send(ctx context.Context) {
	if _, err := psh.fl.exchange(ctx, psh.to, psh.addr); err != nil {
		psh.fl.cfg.Log.Debug("push failed", "Peer", psh.addr, "Error", err)
	}
}

// pullFromPeer fetches the tickets after the current state from a peer and applies them.
func (fl *Fleet) pullFromPeer(ctx context.Context, addr netip.AddrPort, src TicketSource) error {
	callCtx, cancel := context.WithTimeout(ctx, fl.cfg.CallTimeout)
	defer cancel()
	req := &bwwire.TicketsRequest{After: fl.Snapshot().State.Number()}
	rsp, err := fl.cfg.Peers.Tickets(callCtx, addr, req)
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

// pullFromStore fetches the tickets after the current state from the store and applies them.
func (fl *Fleet) pullFromStore(ctx context.Context) error {
	callCtx, cancel := context.WithTimeout(ctx, fl.cfg.CallTimeout)
	defer cancel()
	accs, err := fl.cfg.Store.TicketsAfter(callCtx, fl.Snapshot().State.Number())
	if err != nil {
		return err
	}
	return fl.advance(ctx, FromStore, accs, nil)
}

// advance applies tickets or a complete state, and starts a push when the number
// has risen. It returns bwticket.ErrGap when a ticket is missing.
func (fl *Fleet) advance(ctx context.Context, src TicketSource, accs []bwticket.AcceptedTicket, st *bwticket.State) error {
	before := fl.Snapshot().State.Number()
	gap := false
	err := fl.update(ctx, func(ctl *controlState) {
		ctl.recordContact()
		if st != nil {
			ctl.replaceState(st)
		}
		gap = ctl.applyTickets(accs)
	})
	if err != nil {
		return err
	}
	if now := fl.Snapshot().State.Number(); now > before {
		fl.cfg.Log.Info("state in effect", "Number", now, "Before", before, "Source", src)
		fl.reportApplied(src, accs, before, now)
		wake(fl.ticketPush)
	}
	if gap {
		return fmt.Errorf("tickets after %d: %w", before, bwticket.ErrGap)
	}
	return nil
}

// reportApplied reports the time from the acceptance of each applied ticket
// until it took effect here.
func (fl *Fleet) reportApplied(src TicketSource, accs []bwticket.AcceptedTicket, before, now bwmodel.TicketNumber) {
	if fl.cfg.OnTicketApplied == nil {
		return
	}
	for _, acc := range accs {
		if num := acc.Ticket.Number; num > before && num <= now && !acc.At.IsZero() {
			// The difference of two VMs' clocks may exceed the propagation time.
			fl.cfg.OnTicketApplied(src, max(0, fl.cfg.Now().Sub(acc.At)))
		}
	}
}
