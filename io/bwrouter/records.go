package bwrouter

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net/netip"
	"time"

	"bilberrywick/core/bwcontrol"
	"bilberrywick/core/bwmodel"
	"bilberrywick/core/bwstream"
	"bilberrywick/io/bwrpc"
	"bilberrywick/io/bwwire"
)

// Records holds generation records for other routers, and sends this router's own
// records to their holders on one stream per holder.
type Records struct {
	cfg     RecordsConfig
	ctx     context.Context
	control *bwcontrol.Owner[recordsState, RecordsView]
}

// RecordsConfig configures a Records.
type RecordsConfig struct {
	Client *bwrpc.Client
	// Store configures the store of records held for other routers; its clock is Now.
	Store bwstream.RecordStoreConfig
	Now   func() time.Time
	Log   *slog.Logger
}

// RecordsView is the published state of a Records.
type RecordsView struct {
	// Held is the number of records held for other routers, and HeldBytes their memory in bytes.
	Held      int
	HeldBytes int
	// Links is the number of holders with an open stream.
	Links int
}

// ErrRecordsStopped means that this router is stopping and no longer keeps records.
var ErrRecordsStopped = errors.New("records have stopped")

type recordsState struct {
	store *bwstream.RecordStore
	links map[netip.AddrPort]*holderLink
}

// storeExpiryInterval is short compared with the time that finished records are kept.
const storeExpiryInterval = 5 * time.Second

// NewRecords returns a Records; Start must be called before it is used.
func NewRecords(cfg RecordsConfig) *Records {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.Log == nil {
		cfg.Log = slog.New(slog.DiscardHandler)
	}
	cfg.Store.Now = cfg.Now
	return &Records{
		cfg: cfg,
		control: bwcontrol.New(bwcontrol.Config[recordsState, RecordsView]{
			State: &recordsState{
				store: bwstream.NewRecordStore(cfg.Store),
				links: make(map[netip.AddrPort]*holderLink),
			},
			View: (*recordsState).view,
		}),
	}
}

// Start runs the control goroutine and expires records until the context ends.
func (rcs *Records) Start(ctx context.Context) {
	rcs.ctx = ctx
	rcs.control.Start(ctx)
	go rcs.loop(ctx)
}

// Register adds the methods that other routers call. It must be called before the
// server starts.
func (rcs *Records) Register(srv *bwrpc.Server) {
	bwrpc.HandleStream(srv, bwwire.PeerAppend, rcs.append)
	bwrpc.HandleUnary(srv, bwwire.PeerTakeOver, rcs.takeOver)
}

// View returns the published state; it never blocks.
func (rcs *Records) View() RecordsView { return *rcs.control.Snapshot() }

// Find returns a record held for another router and whether it exists.
func (rcs *Records) Find(ctx context.Context, req bwmodel.RequestID) (rec bwmodel.GenerationRecord, found bool, err error) {
	err = rcs.control.Do(ctx, func(rst *recordsState) { rec, found = rst.store.Find(req) })
	return rec, found, err
}

// OpenCopy opens a copy of one request's record at a holder. The first append must be
// the complete record.
func (rcs *Records) OpenCopy(ctx context.Context, holder netip.AddrPort, req bwmodel.RequestID) (*RecordCopy, error) {
	var lnk *holderLink
	err := rcs.control.Do(ctx, func(rst *recordsState) {
		lnk = rst.links[holder]
		if lnk == nil || lnk.ctx.Err() != nil {
			lnk = newHolderLink(rcs.ctx, rcs, holder)
			rst.links[holder] = lnk
			go lnk.run()
		}
	})
	if err != nil {
		return nil, err
	}
	return &RecordCopy{lnk: lnk, req: req, acks: make(chan bwstream.Ack, 1)}, nil
}

// stopped returns ErrRecordsStopped once the context of Start has ended.
func (rcs *Records) stopped() error {
	if rcs.ctx.Err() != nil {
		return ErrRecordsStopped
	}
	return nil
}

func (rst *recordsState) view() *RecordsView {
	return &RecordsView{Held: rst.store.Len(), HeldBytes: rst.store.Bytes(), Links: len(rst.links)}
}

func (rcs *Records) loop(ctx context.Context) {
	tick := time.NewTicker(storeExpiryInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			if err := rcs.control.Do(ctx, func(rst *recordsState) { rst.store.Expire() }); err != nil {
				return
			}
		case <-ctx.Done():
			return
		}
	}
}

type appendStream = bwrpc.Stream[bwwire.AppendBatch, bwwire.AckBatch]

// append handles the appends of one other router.
func (rcs *Records) append(ctx context.Context, stm *appendStream) error {
	for {
		bat, err := stm.Recv()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		acks := &bwwire.AckBatch{Acks: make([]bwwire.RecordAck, 0, len(bat.Appends))}
		err = rcs.control.Do(ctx, func(rst *recordsState) {
			for _, app := range bat.Appends {
				acks.Acks = append(acks.Acks, bwwire.RecordAck(rst.store.Append(bwstream.Append(app))))
			}
		})
		if err != nil {
			return err
		}
		if err := stm.Send(acks); err != nil {
			return err
		}
	}
}

// takeOver seals a record for another router, or for a caller that reconnects here.
func (rcs *Records) takeOver(ctx context.Context, req *bwwire.TakeOverRequest) (*bwwire.TakeOverResponse, error) {
	var rsp bwwire.TakeOverResponse
	var refusal error
	err := rcs.control.Do(ctx, func(rst *recordsState) {
		if req.Release {
			refusal = rst.store.Release(req.Request, req.Team, req.Epoch)
			return
		}
		rsp.Record, refusal = rst.store.TakeOver(req.Request, req.Team, req.Epoch)
	})
	if err != nil {
		return nil, err
	}
	switch {
	case errors.Is(refusal, bwstream.ErrUnknownRecord):
		return nil, bwrpc.Errorf(bwwire.NotFound, "%w", refusal)
	case errors.Is(refusal, bwstream.ErrOtherTeam):
		return nil, bwrpc.Errorf(bwwire.Forbidden, "%w", refusal)
	case errors.Is(refusal, bwstream.ErrStaleEpoch):
		return nil, bwrpc.Errorf(bwwire.Stale, "%w", refusal)
	}
	rcs.cfg.Log.Info("generation record taken over", "Request", req.Request, "Epoch", uint64(req.Epoch), "Released", req.Release)
	return &rsp, nil
}
