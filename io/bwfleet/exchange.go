package bwfleet

import (
	"context"
	"fmt"
	"net/netip"
	"slices"

	"bilberrywick/core/bwmember"
	"bilberrywick/core/bwmodel"
	"bilberrywick/core/bwticket"
	"bilberrywick/io/bwwire"
)

// maxSummaries bounds the members in one exchange, to keep its size bounded in
// a large fleet.
const maxSummaries = 64

// HandleExchange answers a peer's exchange.
func (fl *Fleet) HandleExchange(ctx context.Context, msg *bwwire.ExchangeMessage) (*bwwire.ExchangeMessage, error) {
	if err := fl.update(ctx, func(ctl *control) { ctl.hear(msg) }); err != nil {
		return nil, fmt.Errorf("exchange: %w", err)
	}
	fl.hint(hint{number: msg.Head, from: msg.From.Address, source: FromExchange})
	return fl.message(), nil
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

// message is what the process says in an exchange: itself, its number, and the
// members heard most recently.
func (fl *Fleet) message() *bwwire.ExchangeMessage {
	snap := fl.Snapshot()
	msg := &bwwire.ExchangeMessage{From: snap.Self, Head: snap.State.Number(), Ready: snap.Ready}
	heard := slices.DeleteFunc(slices.Clone(snap.Members), func(ent bwmember.Entry) bool { return ent.Heard.IsZero() })
	slices.SortStableFunc(heard, func(aa, bb bwmember.Entry) int { return bb.Heard.Compare(aa.Heard) })
	now := fl.cfg.Now()
	for _, ent := range heard[:min(len(heard), maxSummaries)] {
		msg.Members = append(msg.Members, bwwire.MemberSummary{Member: ent.Member, Age: now.Sub(ent.Heard), StateNumber: ent.StateNumber})
	}
	return msg
}

// exchange tells a peer what this process knows and records the answer.
func (fl *Fleet) exchange(ctx context.Context, addr netip.AddrPort) (*bwwire.ExchangeMessage, error) {
	ctx, cancel := context.WithTimeout(ctx, fl.cfg.CallTimeout)
	defer cancel()
	rsp, err := fl.cfg.Peers.Exchange(ctx, addr, fl.message())
	if err != nil {
		return nil, fmt.Errorf("exchange with %v: %w", addr, err)
	}
	if err := fl.update(ctx, func(ctl *control) { ctl.hear(rsp) }); err != nil {
		return nil, err
	}
	fl.hint(hint{number: rsp.Head, from: addr, source: FromExchange})
	return rsp, nil
}

// wakePush has the own number and state pushed; a push that waits already covers it.
func (fl *Fleet) wakePush() {
	select {
	case fl.pushes <- struct{}{}:
	default:
	}
}

// push tells some peers of the own number; they fetch the tickets.
func (fl *Fleet) push(ctx context.Context) {
	snap := fl.Snapshot()
	targets := bwmember.PushTargets(snap.Self, snap.Members, fl.cfg.Fanout, newRandom(fl.cfg, snap.Revision))
	for _, mem := range targets {
		fl.running.Add(1)
		tsk := task{done: fl.running.Done, loop: pushing{fl: fl, addr: mem.Address}.send}
		go tsk.run(ctx)
	}
}

// pushing is one message of a push.
type pushing struct {
	fl   *Fleet
	addr netip.AddrPort
}

func (psh pushing) send(ctx context.Context) {
	if _, err := psh.fl.exchange(ctx, psh.addr); err != nil {
		psh.fl.cfg.Log.Debug("push failed", "Peer", psh.addr, "Error", err)
	}
}

// pullPeer fetches what follows the own state from a peer.
func (fl *Fleet) pullPeer(ctx context.Context, addr netip.AddrPort, src Source) error {
	call, cancel := context.WithTimeout(ctx, fl.cfg.CallTimeout)
	defer cancel()
	req := &bwwire.TicketsRequest{After: fl.Snapshot().State.Number()}
	rsp, err := fl.cfg.Peers.Tickets(call, addr, req)
	if err != nil {
		return fmt.Errorf("tickets of %v: %w", addr, err)
	}
	accs := make([]bwticket.Accepted, 0, len(rsp.Tickets))
	for _, doc := range rsp.Tickets {
		acc, err := doc.Accepted()
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
	accs, err := fl.cfg.Store.After(call, fl.Snapshot().State.Number())
	if err != nil {
		return err
	}
	return fl.advance(ctx, FromStore, accs, nil)
}

// advance applies tickets or a whole state, and passes a higher number on.
func (fl *Fleet) advance(ctx context.Context, src Source, accs []bwticket.Accepted, st *bwticket.State) error {
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
		fl.wakePush()
	}
	if gap {
		return fmt.Errorf("tickets after %d: %w", before, bwticket.ErrGap)
	}
	return nil
}

// measure tells how long the tickets that came into effect took to get here.
func (fl *Fleet) measure(src Source, accs []bwticket.Accepted, before, now bwmodel.TicketNumber) {
	if fl.cfg.InEffect == nil {
		return
	}
	for _, acc := range accs {
		if num := acc.Ticket.Number; num > before && num <= now && !acc.At.IsZero() {
			// The clocks of two VMs may differ by more than the time between them.
			fl.cfg.InEffect(src, max(0, fl.cfg.Now().Sub(acc.At)))
		}
	}
}
