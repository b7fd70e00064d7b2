package bwgateway

import (
	"context"
	"time"

	"bilberrywick/core/bwforward"
	"bilberrywick/core/bwretry"
)

// successorSearch identifies the upstream that now uses the address of a
// failed one, so that engines that restart while the list can't be read are
// used.
type successorSearch struct {
	gw  *Gateway
	old *bwforward.Node
}

const (
	// identifyTimeout bounds one request; the response needs no slot of the engine.
	identifyTimeout = 500 * time.Millisecond
	// identifyInterval is the pause between requests and identifyAttempts their
	// number. A crashed engine restarts within a second or two or not at all.
	identifyInterval = 700 * time.Millisecond
	identifyAttempts = 5
)

// searchSuccessor starts a search for the successor of a failed upstream if
// the list can't be read and no search is running.
func (gw *Gateway) searchSuccessor(nd *bwforward.Node) {
	if gw.cfg.ListUnavailable == nil || !gw.cfg.ListUnavailable() || gw.cfg.Identify == nil || gw.cfg.OnSuccessor == nil || !nd.BeginSuccessorSearch() {
		return
	}
	ssr := &successorSearch{gw: gw, old: nd}
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

// identify sends one request, and reports whether an upstream responded.
func (ssr *successorSearch) identify() bool {
	cfg := ssr.gw.cfg
	tbl := cfg.Table()
	if tbl == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), identifyTimeout)
	defer cancel()
	idy, err := cfg.Identify(ctx, ssr.old.Address, tbl.Service(ssr.old.Service).Health)
	if err != nil {
		cfg.Log.Warn("upstream identification failed", "Old", ssr.old.ID, "Address", ssr.old.Address, "Error", err)
		return false
	}
	if idy.ID != ssr.old.ID {
		cfg.OnSuccessor(ctx, ssr.old.Upstream, idy)
		cfg.SendNote(bwforward.PeerNote{Kind: bwforward.SuccessorNote, Upstream: ssr.old.ID, Successor: idy.ID, Slots: idy.Slots})
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
	nsc := &notedSuccessor{gw: gw, old: old.Upstream, now: Identity{ID: nt.Successor, Slots: nt.Slots}}
	go nsc.run()
}

// notedSuccessor is a successor that another gateway has identified.
type notedSuccessor struct {
	gw  *Gateway
	old bwforward.Upstream
	now Identity
}

func (nsc *notedSuccessor) run() {
	ctx, cancel := context.WithTimeout(context.Background(), identifyTimeout)
	defer cancel()
	nsc.gw.cfg.OnSuccessor(ctx, nsc.old, nsc.now)
}
