package bwgateway

import (
	"context"
	"time"

	"bilberrywick/core/bwforward"
)

// successor asks what has taken the address of an upstream, so that engines
// which start again while the list can't be read are used.
type successor struct {
	gw  *Gateway
	old bwforward.Upstream
}

// identifyTime bounds the question; the answer needs no slot.
const identifyTime = 500 * time.Millisecond

func (suc *successor) run() {
	cfg := suc.gw.cfg
	tbl := cfg.Table()
	if cfg.Identify == nil || cfg.Successor == nil || tbl == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), identifyTime)
	defer cancel()
	idy, err := cfg.Identify(ctx, suc.old.Address, tbl.Service(suc.old.Service).Health)
	if err != nil {
		cfg.Log.Warn("upstream at a known address not identified", "Old", suc.old.ID, "Address", suc.old.Address, "Error", err)
		return
	}
	cfg.Successor(ctx, suc.old, idy)
}
