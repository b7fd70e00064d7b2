package bwrouter

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"time"

	"bilberrywick/core/bwmodel"
	"bilberrywick/core/bwstream"
)

// hold picks a holder for the record under an epoch. Only when no other router
// is known the generation goes on without a copy; when all that are known have
// failed it, they are tried again after a pause.
func (ses *session) hold(ctx context.Context, ep bwmodel.Epoch) error {
	if addr := ses.holder; addr.IsValid() {
		ses.holder = netip.AddrPort{}
		return ses.holdAt(ctx, addr, ep)
	}
	self := []netip.AddrPort{ses.gns.cfg.Address}
	addr, ok := ses.gns.cfg.ChooseHolder(ses.rec.Request(), append(self, ses.bad...))
	if ok {
		return ses.holdAt(ctx, addr, ep)
	}
	ses.unhold(ctx)
	if _, ok := ses.gns.cfg.ChooseHolder(ses.rec.Request(), self); ok {
		ses.rec.AwaitHolder(ep)
		ses.bad = nil
		ses.holdRetry = ses.gns.cfg.Now().Add(holdPause)
		return nil
	}
	ses.rec.SetHolder(netip.AddrPort{}, ep)
	ses.holdLost = time.Time{}
	ses.gns.cfg.Log.Warn("generation without a holder", "Request", ses.rec.Request(), "Epoch", uint64(ep))
	return nil
}

// holdPause keeps a router that reaches no other from trying them in a loop.
const holdPause = 200 * time.Millisecond

// unhold drops the copy that was in use.
func (ses *session) unhold(ctx context.Context) {
	if ses.cpy != nil {
		_ = ses.cpy.Close(ctx)
		ses.cpy = nil
	}
	ses.held = true
	ses.askedAt = time.Time{}
	ses.holdRetry = time.Time{}
}

// holdAt returns an error when this router is stopping: without its records it
// must not deliver anything that no other router has.
func (ses *session) holdAt(ctx context.Context, addr netip.AddrPort, ep bwmodel.Epoch) error {
	ses.unhold(ctx)
	cpy, err := ses.gns.cfg.Records.OpenCopy(ctx, addr, ses.rec.Request())
	if err != nil {
		return fmt.Errorf("open copy at holder: %w", err)
	}
	ses.cpy = cpy
	ses.rec.SetHolder(addr, ep)
	return nil
}

// note sends the holder what it does not have.
func (ses *session) note(ctx context.Context) error {
	app, ok := ses.rec.NextAppend()
	if !ok {
		return nil
	}
	ses.noteAgent()
	err := ses.append(ctx, app)
	if err == nil && ses.askedAt.IsZero() {
		ses.askedAt = ses.gns.cfg.Now()
	}
	// A holder that takes no append owes an acknowledgement, so its loss or the
	// deadline for it follows.
	if errors.Is(err, context.DeadlineExceeded) {
		ses.askedAt = ses.gns.cfg.Now().Add(-ses.gns.cfg.HolderAckTimeout)
		return nil
	}
	if err != nil && !errors.Is(err, ErrHolderLost) {
		return err
	}
	return nil
}

// append waits for room only when there is none, since a timer for each token
// costs more than the append.
func (ses *session) append(ctx context.Context, app bwstream.Append) error {
	if ses.cpy.TryAppend(app) {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, ses.gns.cfg.HolderAckTimeout)
	defer cancel()
	return ses.cpy.Append(ctx, app)
}

// acknowledge takes the holder's answer.
func (ses *session) acknowledge(ctx context.Context, ack bwstream.Ack) error {
	before := ses.rec.DeliverablePosition()
	err := ses.rec.ApplyAck(ack)
	if errors.Is(err, bwstream.ErrFenced) {
		return ses.refused(ctx)
	}
	if err != nil {
		return err
	}
	if !ses.askedAt.IsZero() {
		ses.gns.cfg.Metrics.HolderAck.Update(ses.gns.cfg.Now().Sub(ses.askedAt).Seconds())
	}
	if !ses.rec.AwaitsAck() {
		ses.noteAck()
		ses.askedAt = time.Time{}
		ses.holdLost = time.Time{}
	} else if ses.rec.DeliverablePosition() > before {
		ses.askedAt = ses.gns.cfg.Now()
	}
	return nil
}

// refused tells a record that was taken over from one that the holder lost
// or has no room for.
func (ses *session) refused(ctx context.Context) error {
	return ses.replaceHolder(ctx, "refused")
}

// replaceHolder moves the copy to another router under the next epoch, unless
// the old holder says that the record was taken over.
func (ses *session) replaceHolder(ctx context.Context, cause string) error {
	if err := ses.gns.cfg.Records.stopped(); err != nil {
		return err
	}
	ses.gns.cfg.Metrics.HolderChanges.With(cause).Inc()
	if ses.holdLost.IsZero() {
		ses.holdLost = ses.gns.cfg.Now()
	}
	old := ses.rec.Holder()
	if ses.unsure.IsValid() {
		old = ses.unsure
	}
	next := ses.rec.Epoch() + 1
	if err := ses.prove(ctx, old); err != nil {
		return ses.unproven(ctx, old, err)
	}
	ses.unsure = netip.AddrPort{}
	ses.bad = append(ses.bad, old)
	if err := ses.hold(ctx, next+1); err != nil {
		return err
	}
	ses.refresh = true
	ses.gns.cfg.Log.Warn("holder replaced", "Request", ses.rec.Request(), "Cause", cause, "Old", old,
		"New", ses.rec.Holder(), "Epoch", uint64(ses.rec.Epoch()))
	return nil
}

// unproven keeps a lost holder under question; until a proof is found the
// caller gets nothing new.
func (ses *session) unproven(ctx context.Context, holder netip.AddrPort, err error) error {
	if !errors.Is(err, errUnproven) {
		return err
	}
	if ses.unsure != holder {
		ses.gns.cfg.Log.Warn("holder kept under question", "Request", ses.rec.Request(), "Holder", holder,
			"Epoch", uint64(ses.rec.Epoch()), "Acked", ses.acked, "Error", err)
	}
	ses.unsure = holder
	ses.unhold(ctx)
	ses.rec.AwaitHolder(ses.rec.Epoch())
	ses.holdRetry = ses.gns.cfg.Now().Add(holdPause)
	return nil
}
