package bwrouter

import (
	"context"
	"errors"
	"net/netip"
	"time"

	"bilberrywick/core/bwmodel"
	"bilberrywick/core/bwstream"
	"bilberrywick/io/bwrpc"
	"bilberrywick/io/bwwire"
)

// ErrHolderLost means that the stream to a holder has ended.
var ErrHolderLost = errors.New("holder's stream has ended")

// RecordCopy is a copy of one request's record at a holder. Only the goroutine that
// owns the request calls its methods, except deliverAck.
type RecordCopy struct {
	lnk  *holderLink
	req  bwmodel.RequestID
	acks chan bwstream.Ack
}

// Append queues an append, or returns ErrHolderLost or the context's error.
func (cp *RecordCopy) Append(ctx context.Context, app bwstream.Append) error {
	return cp.lnk.enqueue(ctx, linkMessage{cp: cp, app: app})
}

// TryAppend queues an append if the queue has room, and reports whether it did.
func (cp *RecordCopy) TryAppend(app bwstream.Append) bool {
	select {
	case cp.lnk.queue <- linkMessage{cp: cp, app: app}:
		return true
	default:
		return false
	}
}

// Acks returns a channel with the latest acknowledgement; unread earlier ones are
// merged into it.
func (cp *RecordCopy) Acks() <-chan bwstream.Ack { return cp.acks }

// Done returns a channel that is closed when the stream to the holder has ended.
func (cp *RecordCopy) Done() <-chan struct{} { return cp.lnk.ctx.Done() }

// Close ends the delivery of acknowledgements.
func (cp *RecordCopy) Close(ctx context.Context) error {
	return cp.lnk.enqueue(ctx, linkMessage{cp: cp, closed: true})
}

// deliverAck replaces an unread acknowledgement. Only the link's goroutine calls it,
// so the channel has room after the receive.
func (cp *RecordCopy) deliverAck(ack bwstream.Ack) {
	select {
	case old := <-cp.acks:
		if old.Epoch == ack.Epoch {
			ack.Position = max(ack.Position, old.Position)
			ack.Refused = ack.Refused || old.Refused
		}
	default:
	}
	cp.acks <- ack
}

// holderLink is the stream to one holder. Only its goroutine uses the map of copies.
type holderLink struct {
	rcs    *Records
	holder netip.AddrPort
	ctx    context.Context
	cancel context.CancelFunc
	queue  chan linkMessage
	acks   chan *bwwire.AckBatch
	copies map[bwmodel.RequestID]*RecordCopy
}

type linkMessage struct {
	cp     *RecordCopy
	app    bwstream.Append
	closed bool
}

const (
	// linkQueueLength is about one append for each open generation of a router at peak.
	linkQueueLength = 512
	// maxBatchAppends limits the appends in one message.
	maxBatchAppends = 256
	// linkIdleTimeout is how long a stream without requests stays open.
	linkIdleTimeout = time.Minute
)

func newHolderLink(ctx context.Context, rcs *Records, holder netip.AddrPort) *holderLink {
	lnk := &holderLink{
		rcs:    rcs,
		holder: holder,
		queue:  make(chan linkMessage, linkQueueLength),
		acks:   make(chan *bwwire.AckBatch, 1),
		copies: make(map[bwmodel.RequestID]*RecordCopy),
	}
	lnk.ctx, lnk.cancel = context.WithCancel(ctx)
	return lnk
}

func (lnk *holderLink) enqueue(ctx context.Context, msg linkMessage) error {
	select {
	case lnk.queue <- msg:
		return nil
	case <-lnk.ctx.Done():
		return ErrHolderLost
	case <-ctx.Done():
		return ctx.Err()
	}
}

// run sends batches and delivers acknowledgements until the stream fails or is idle.
func (lnk *holderLink) run() {
	defer lnk.unregister()
	defer lnk.cancel()
	stm, err := bwrpc.OpenStream[bwwire.AckBatch, bwwire.AppendBatch](lnk.ctx, lnk.rcs.cfg.Client, lnk.holder, bwwire.PeerAppend)
	if err != nil {
		lnk.rcs.cfg.Log.Warn("opening the stream to a record holder failed", "Holder", lnk.holder, "Error", err)
		return
	}
	defer func() { _ = stm.Close() }()
	go lnk.loop(stm)
	idle := time.NewTimer(linkIdleTimeout)
	defer idle.Stop()
	for {
		select {
		case msg := <-lnk.queue:
			bat := lnk.batch(msg)
			if len(bat.Appends) == 0 {
				continue
			}
			if err := stm.Send(bat); err != nil {
				return
			}
			idle.Reset(linkIdleTimeout)
		case bat := <-lnk.acks:
			lnk.deliverAcks(bat)
		case <-idle.C:
			if len(lnk.copies) == 0 {
				return
			}
			idle.Reset(linkIdleTimeout)
		case <-lnk.ctx.Done():
			return
		}
	}
}

// loop reads acknowledgements until the stream ends.
func (lnk *holderLink) loop(stm *bwrpc.Stream[bwwire.AckBatch, bwwire.AppendBatch]) {
	defer lnk.cancel()
	for {
		bat, err := stm.Recv()
		if err != nil {
			return
		}
		select {
		case lnk.acks <- bat:
		case <-lnk.ctx.Done():
			return
		}
	}
}

// batch collects a message and those that are already queued.
func (lnk *holderLink) batch(msg linkMessage) *bwwire.AppendBatch {
	bat := new(bwwire.AppendBatch)
	for {
		if msg.closed {
			if lnk.copies[msg.cp.req] == msg.cp {
				delete(lnk.copies, msg.cp.req)
			}
		} else {
			lnk.copies[msg.cp.req] = msg.cp
			bat.Appends = append(bat.Appends, bwwire.RecordAppend(msg.app))
		}
		if len(bat.Appends) == maxBatchAppends {
			return bat
		}
		select {
		case msg = <-lnk.queue:
		default:
			return bat
		}
	}
}

func (lnk *holderLink) deliverAcks(bat *bwwire.AckBatch) {
	for _, ack := range bat.Acks {
		if cp := lnk.copies[ack.Request]; cp != nil {
			cp.deliverAck(bwstream.Ack(ack))
		}
	}
}

func (lnk *holderLink) unregister() {
	_ = lnk.rcs.control.Post(lnk.rcs.ctx, func(rst *recordsState) {
		if rst.links[lnk.holder] == lnk {
			delete(rst.links, lnk.holder)
		}
	})
}
