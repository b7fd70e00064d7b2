package bwgateway

import (
	"context"
	"errors"
	"time"

	"bilberrywick/core/bwforward"
	"bilberrywick/core/bwmodel"
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
	// identifyInterval is the pause between attempts.
	identifyInterval = 200 * time.Millisecond
)

// ErrNoModelEngine means that an upstream is not a model engine.
var ErrNoModelEngine = errors.New("upstream is not a model engine")

// searchSuccessor starts a search for the successor of a failed model engine if the list
// can't be read and no search is running. Plain upstreams are not searched for, since
// their health path takes a slot.
func (gw *Gateway) searchSuccessor(nd *bwforward.Node) {
	if gw.cfg.ListUnavailable == nil || !gw.cfg.ListUnavailable() || gw.cfg.IdentifyModelEngine == nil || gw.cfg.OnSuccessor == nil {
		return
	}
	tbl := gw.cfg.Table()
	if tbl == nil || tbl.Service(nd.Service).Model == nil || !gw.mayBeSameService(nd) || !nd.BeginSuccessorSearch() {
		return
	}
	ssr := &successorSearch{gw: gw, old: nd, health: tbl.Service(nd.Service).Health}
	go ssr.run()
}

// logReplaced logs that another upstream has the address of a listed one. SinceAlive is
// the time since the listed one was last known to be alive, or 0 if it is not known.
func (gw *Gateway) logReplaced(nd *bwforward.Node, responder bwmodel.UpstreamID) {
	since := time.Duration(0)
	if aliveAt := nd.AliveAt(); aliveAt > 0 {
		since = gw.cfg.Uptime() - aliveAt
	}
	gw.cfg.Log.Info("another upstream has the address of a listed one", "Listed", nd.ID, "Responder", responder, "Address", nd.Address,
		"SinceAlive", since, "SameService", gw.mayBeSameService(nd), "Away", gw.cfg.ListUnavailable != nil && gw.cfg.ListUnavailable())
}

// mayBeSameService reports whether an upstream that responds at the address of another one
// now would be known to be of its service.
func (gw *Gateway) mayBeSameService(nd *bwforward.Node) bool {
	return bwforward.IsSameService(nd.AliveAt(), gw.cfg.Uptime(), gw.cfg.ReuseTime)
}

func (ssr *successorSearch) run() {
	defer ssr.old.EndSuccessorSearch()
	for ssr.gw.mayBeSameService(ssr.old) && !ssr.identify() && ssr.gw.cfg.ListUnavailable() {
		bwretry.Pause(context.Background(), identifyInterval)
	}
}

// identify sends the requests of one attempt, and reports whether an upstream responded.
func (ssr *successorSearch) identify() bool {
	cfg := ssr.gw.cfg
	ctx, cancel := context.WithTimeout(context.Background(), identifyTimeout)
	defer cancel()
	sentAt := cfg.Uptime()
	idy, err := cfg.IdentifyModelEngine(ctx, ssr.old.Address, ssr.health)
	if err != nil {
		cfg.Log.Warn("upstream identification failed", "Old", ssr.old.ID, "Address", ssr.old.Address, "Error", err)
		return errors.Is(err, ErrNoModelEngine)
	}
	if idy.ID == ssr.old.ID {
		ssr.old.RecordAlive(sentAt)
		return true
	}
	suc := bwforward.Successor{ID: idy.ID, Slots: idy.Slots, IsModelEngine: true, SameService: bwforward.IsSameService(ssr.old.AliveAt(), cfg.Uptime(), cfg.ReuseTime)}
	cfg.OnSuccessor(ctx, ssr.old.Upstream, suc)
	if suc.SameService {
		cfg.SendNote(bwforward.PeerNote{Kind: bwforward.SuccessorNote, Upstream: ssr.old.ID, Successor: idy.ID, Slots: idy.Slots, IsModelEngine: true, SameService: true})
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
	nsc := &notedSuccessor{gw: gw, old: old.Upstream, now: bwforward.Successor{ID: nt.Successor, Slots: nt.Slots, IsModelEngine: nt.IsModelEngine, SameService: nt.SameService}}
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
