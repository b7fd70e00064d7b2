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

// chooseHolder chooses a holder for the record under an epoch. When all known routers
// have failed as holders, they are tried again after a delay. Only when no other
// router is known does the generation continue without a copy.
func (ses *session) chooseHolder(ctx context.Context, ep bwmodel.Epoch) error {
	if addr := ses.initialHolder; addr.IsValid() {
		ses.initialHolder = netip.AddrPort{}
		return ses.openCopy(ctx, addr, ep)
	}
	self := []netip.AddrPort{ses.gns.cfg.Address}
	addr, ok := ses.gns.cfg.ChooseHolder(ses.rec.Request(), append(self, ses.failedHolders...))
	if ok {
		return ses.openCopy(ctx, addr, ep)
	}
	ses.closeCopy(ctx)
	if _, ok := ses.gns.cfg.ChooseHolder(ses.rec.Request(), self); ok {
		ses.rec.AwaitHolder(ep)
		ses.failedHolders = nil
		ses.holderRetryAt = ses.gns.cfg.Now().Add(holderRetryDelay)
		return nil
	}
	ses.rec.SetHolder(netip.AddrPort{}, ep)
	ses.holderLostAt = time.Time{}
	ses.gns.cfg.Log.Warn("generation continues without a record holder", "Request", ses.rec.Request(), "Epoch", uint64(ep))
	return nil
}

// holderRetryDelay keeps a router that reaches no other from retrying without a pause.
const holderRetryDelay = 200 * time.Millisecond

// closeCopy closes the current copy of the record, if any, and clears its deadlines.
func (ses *session) closeCopy(ctx context.Context) {
	if ses.recordCopy != nil {
		_ = ses.recordCopy.Close(ctx)
		ses.recordCopy = nil
	}
	ses.holderChosen = true
	ses.ackPendingSince = time.Time{}
	ses.holderRetryAt = time.Time{}
}

// openCopy starts a copy of the record at a holder. It returns an error when this
// router is stopping: without its records it must not deliver output that no other
// router has.
func (ses *session) openCopy(ctx context.Context, addr netip.AddrPort, ep bwmodel.Epoch) error {
	ses.closeCopy(ctx)
	cpy, err := ses.gns.cfg.Records.OpenCopy(ctx, addr, ses.rec.Request())
	if err != nil {
		return fmt.Errorf("open copy at holder: %w", err)
	}
	ses.recordCopy = cpy
	ses.rec.SetHolder(addr, ep)
	return nil
}

// sendAppend sends the holder the part of the record that it does not have.
func (ses *session) sendAppend(ctx context.Context) error {
	app, ok := ses.rec.NextAppend()
	if !ok {
		return nil
	}
	ses.recordAgent()
	err := ses.append(ctx, app)
	if err == nil && ses.ackPendingSince.IsZero() {
		ses.ackPendingSince = ses.gns.cfg.Now()
	}
	// The holder accepted no append in time. Treat the acknowledgement as overdue, so
	// that the next check replaces the holder.
	if errors.Is(err, context.DeadlineExceeded) {
		ses.ackPendingSince = ses.gns.cfg.Now().Add(-ses.gns.cfg.HolderAckTimeout)
		return nil
	}
	if err != nil && !errors.Is(err, ErrHolderLost) {
		return err
	}
	return nil
}

// append sets a deadline only when the queue is full, since a timer for each
// token costs more than the append.
func (ses *session) append(ctx context.Context, app bwstream.Append) error {
	if ses.recordCopy.TryAppend(app) {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, ses.gns.cfg.HolderAckTimeout)
	defer cancel()
	return ses.recordCopy.Append(ctx, app)
}

// handleAck applies the holder's acknowledgement to the record.
func (ses *session) handleAck(ctx context.Context, ack bwstream.Ack) error {
	before := ses.rec.DeliverablePosition()
	err := ses.rec.ApplyAck(ack)
	if errors.Is(err, bwstream.ErrFenced) {
		return ses.handleRefusedAppend(ctx)
	}
	if err != nil {
		return err
	}
	if !ses.ackPendingSince.IsZero() {
		ses.gns.cfg.Metrics.HolderAckDuration.Update(ses.gns.cfg.Now().Sub(ses.ackPendingSince).Seconds())
	}
	if !ses.rec.AwaitsAck() {
		ses.recordAck()
		ses.ackPendingSince = time.Time{}
		ses.holderLostAt = time.Time{}
	} else if ses.rec.DeliverablePosition() > before {
		ses.ackPendingSince = ses.gns.cfg.Now()
	}
	return nil
}

// handleRefusedAppend replaces a holder that refused an append. The holder may have
// lost the record or have no room for it; replaceHolder checks that no other router took
// it over.
func (ses *session) handleRefusedAppend(ctx context.Context) error {
	return ses.replaceHolder(ctx, "refused")
}

// replaceHolder moves the copy to another router under a higher epoch, unless
// another router has taken the record over.
func (ses *session) replaceHolder(ctx context.Context, cause string) error {
	if err := ses.gns.cfg.Records.stopped(); err != nil {
		return err
	}
	ses.gns.cfg.Metrics.HolderChanges.With(cause).Inc()
	if ses.holderLostAt.IsZero() {
		ses.holderLostAt = ses.gns.cfg.Now()
	}
	old := ses.rec.Holder()
	if ses.unreleasedHolder.IsValid() {
		old = ses.unreleasedHolder
	}
	nextEpoch := ses.rec.Epoch() + 1
	if err := ses.confirmNotTakenOver(ctx, old); err != nil {
		return ses.awaitRelease(ctx, old, err)
	}
	ses.unreleasedHolder = netip.AddrPort{}
	ses.failedHolders = append(ses.failedHolders, old)
	if err := ses.chooseHolder(ctx, nextEpoch+1); err != nil {
		return err
	}
	ses.refreshHandle = true
	ses.gns.cfg.Log.Warn("holder replaced", "Request", ses.rec.Request(), "Cause", cause, "Old", old,
		"New", ses.rec.Holder(), "Epoch", uint64(ses.rec.Epoch()))
	return nil
}

// awaitRelease handles an error of confirmNotTakenOver. While the release of the
// record is unconfirmed, it delivers no new output and retries after holderRetryDelay.
func (ses *session) awaitRelease(ctx context.Context, holder netip.AddrPort, err error) error {
	if !errors.Is(err, errReleaseUnconfirmed) {
		return err
	}
	if ses.unreleasedHolder != holder {
		ses.gns.cfg.Log.Warn("release of the record at its holder not confirmed, delivery suspended", "Request", ses.rec.Request(), "Holder", holder,
			"Epoch", uint64(ses.rec.Epoch()), "Acked", ses.lastAck, "Error", err)
	}
	ses.unreleasedHolder = holder
	ses.closeCopy(ctx)
	ses.rec.AwaitHolder(ses.rec.Epoch())
	ses.holderRetryAt = ses.gns.cfg.Now().Add(holderRetryDelay)
	return nil
}
