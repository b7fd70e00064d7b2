package bwgateway

import (
	"context"
	"time"

	"bilberrywick/core/bwforward"
	"bilberrywick/core/bwretry"
)

// successor asks what has taken the address of an upstream, so that engines
// which start again while the list can't be read are used.
type successor struct {
	gw  *Gateway
	old *bwforward.Node
}

const (
	// identifyTime bounds one question; the answer needs no slot.
	identifyTime = 500 * time.Millisecond
	// identifyPause is left between questions, and identifyTries bounds them: a
	// crashed engine is back after a second or two, or it stays away.
	identifyPause = 700 * time.Millisecond
	identifyTries = 5
)

// search looks for the successor of an upstream that has failed, while the list
// can't tell of it.
func (gw *Gateway) search(nd *bwforward.Node) {
	if gw.cfg.ListUnavailable == nil || !gw.cfg.ListUnavailable() || gw.cfg.Identify == nil || gw.cfg.OnSuccessor == nil || !nd.BeginSuccessorSearch() {
		return
	}
	suc := &successor{gw: gw, old: nd}
	go suc.run()
}

func (suc *successor) run() {
	defer suc.old.EndSuccessorSearch()
	for range identifyTries {
		if suc.identify() || !suc.gw.cfg.ListUnavailable() {
			return
		}
		bwretry.Pause(context.Background(), identifyPause)
	}
}

// identify asks once, and reports whether anything has answered.
func (suc *successor) identify() bool {
	cfg := suc.gw.cfg
	tbl := cfg.Table()
	if tbl == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), identifyTime)
	defer cancel()
	idy, err := cfg.Identify(ctx, suc.old.Address, tbl.Service(suc.old.Service).Health)
	if err != nil {
		cfg.Log.Warn("upstream at a known address not identified", "Old", suc.old.ID, "Address", suc.old.Address, "Error", err)
		return false
	}
	if idy.ID != suc.old.ID {
		cfg.OnSuccessor(ctx, suc.old.Upstream, idy)
	}
	return true
}
