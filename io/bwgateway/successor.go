package bwgateway

import (
	"context"
	"errors"
	"time"

	"bilberrywick/core/bwforward"
	"bilberrywick/core/bwretry"
)

// successorSearch identifies the model engine that now uses the address of a failed one,
// so that engines that restart while the list can't be read are used.
type successorSearch struct {
	gw  *Gateway
	old *bwforward.Node
	// health is the health path of the service.
	health string
}

const (
	// identifyTimeout bounds the requests of one attempt, whose responses need no slot of
	// the engine.
	identifyTimeout = 500 * time.Millisecond
	// identifyInterval is the pause between attempts and identifyAttempts their
	// number. A crashed engine restarts within a second or two or not at all.
	identifyInterval = 700 * time.Millisecond
	identifyAttempts = 5
)

// ErrNoModelEngine means that an upstream is not a model engine.
var ErrNoModelEngine = errors.New("upstream is not a model engine")

// searchSuccessor starts a search for the successor of a failed model engine if the list
// can't be read and no search is running. Other upstreams don't say what they are.
func (gw *Gateway) searchSuccessor(nd *bwforward.Node) {
	if gw.cfg.ListUnavailable == nil || !gw.cfg.ListUnavailable() || gw.cfg.IdentifyModelEngine == nil || gw.cfg.OnSuccessor == nil {
		return
	}
	tbl := gw.cfg.Table()
	if tbl == nil || tbl.Service(nd.Service).Model == nil || !nd.BeginSuccessorSearch() {
		return
	}
	ssr := &successorSearch{gw: gw, old: nd, health: tbl.Service(nd.Service).Health}
	go ssr.run()
}

func (ssr *successorSearch) run() {
	defer ssr.old.EndSuccessorSearch()
	for range identifyAttempts {
		if ssr.identify() || !ssr.gw.cfg.ListUnavailable() {
			return
		}
		bwretry.Pause(context.Background(), identifyInterval)
	}
}

// identify sends the requests of one attempt, and reports whether an upstream responded.
func (ssr *successorSearch) identify() bool {
	cfg := ssr.gw.cfg
	ctx, cancel := context.WithTimeout(context.Background(), identifyTimeout)
	defer cancel()
	idy, err := cfg.IdentifyModelEngine(ctx, ssr.old.Address, ssr.health)
	if err != nil {
		cfg.Log.Warn("upstream identification failed", "Old", ssr.old.ID, "Address", ssr.old.Address, "Error", err)
		return errors.Is(err, ErrNoModelEngine)
	}
	if idy.ID != ssr.old.ID {
		cfg.OnSuccessor(ctx, ssr.old.Upstream, bwforward.Successor{ID: idy.ID, Slots: idy.Slots, IsModelEngine: true})
		cfg.SendNote(bwforward.PeerNote{Kind: bwforward.SuccessorNote, Upstream: ssr.old.ID, Successor: idy.ID, Slots: idy.Slots, IsModelEngine: true})
	}
	return true
}

// HandleNote applies a note of another gateway. While the list can't be read a
// successor that another gateway has identified is used here as well: the note
// that its predecessor was replaced keeps this gateway from finding it itself.
func (gw *Gateway) HandleNote(nt bwforward.PeerNote) {
	if nt.Kind.ConcernsQuarantine() {
		gw.applyQuarantineNote(nt)
		return
	}
	old := gw.cfg.Pool.Node(nt.Upstream)
	if old != nil && (nt.Kind == bwforward.LimitNote || nt.Kind == bwforward.LimitEndNote) {
		gw.applyLimitNote(old, nt)
		return
	}
	gw.cfg.Pool.ApplyNote(nt)
	if nt.Kind != bwforward.SuccessorNote || old == nil || gw.cfg.OnSuccessor == nil || gw.cfg.ListUnavailable == nil || !gw.cfg.ListUnavailable() {
		return
	}
	nsc := &notedSuccessor{gw: gw, old: old.Upstream, now: bwforward.Successor{ID: nt.Successor, Slots: nt.Slots, IsModelEngine: nt.IsModelEngine}}
	go nsc.run()
}

// notedSuccessor is a successor that another gateway has identified.
type notedSuccessor struct {
	gw  *Gateway
	old bwforward.Upstream
	now bwforward.Successor
}

func (nsc *notedSuccessor) run() {
	ctx, cancel := context.WithTimeout(context.Background(), identifyTimeout)
	defer cancel()
	nsc.gw.cfg.OnSuccessor(ctx, nsc.old, nsc.now)
}
