package bwfleet

import (
	"context"
	"net/netip"
	"time"

	"bilberrywick/core/bwmodel"
)

const (
	// hedgeTime is how long one pull may take before another peer is asked too,
	// since a peer may have become unreachable after it told its number.
	hedgeTime = 100 * time.Millisecond
	maxPulls  = 4
)

// puller fetches the tickets behind the numbers that are heard of.
type puller struct {
	fl *Fleet
	// waiting are peers with a higher number that were not asked yet, and asked
	// those that are being asked.
	waiting []hint
	asked   map[netip.AddrPort]bool
	ended   chan netip.AddrPort
	began   time.Time
}

// loopPull asks one peer at a time, and another when the first is slow.
func (fl *Fleet) loopPull(ctx context.Context) {
	pul := &puller{fl: fl, asked: make(map[netip.AddrPort]bool), ended: make(chan netip.AddrPort, maxPulls)}
	tmr := time.NewTimer(hedgeTime)
	defer tmr.Stop()
	for {
		select {
		case hnt := <-fl.hints:
			pul.add(hnt)
		case addr := <-pul.ended:
			delete(pul.asked, addr)
		case <-tmr.C:
		case <-ctx.Done():
			return
		}
		if pul.next(ctx) {
			tmr.Reset(hedgeTime)
		}
	}
}

// add keeps the highest number of each peer.
func (pul *puller) add(hnt hint) {
	for ix := range pul.waiting {
		if pul.waiting[ix].from == hnt.from {
			pul.waiting[ix].number = max(pul.waiting[ix].number, hnt.number)
			return
		}
	}
	if len(pul.waiting) == hintBacklog {
		pul.waiting = pul.waiting[1:]
	}
	pul.waiting = append(pul.waiting, hnt)
}

// next asks a waiting peer when none is being asked or the last one is slow, and
// reports whether it did.
func (pul *puller) next(ctx context.Context) bool {
	now := pul.fl.cfg.Now()
	if len(pul.asked) >= maxPulls || len(pul.asked) > 0 && now.Sub(pul.began) < hedgeTime {
		return false
	}
	for len(pul.waiting) > 0 {
		hnt := pul.waiting[0]
		pul.waiting = pul.waiting[1:]
		if hnt.number <= pul.number() || pul.asked[hnt.from] {
			continue
		}
		pul.asked[hnt.from], pul.began = true, now
		pul.fl.start(ctx, pulling{puller: pul, hint: hnt}.fetch)
		return true
	}
	return false
}

func (pul *puller) number() bwmodel.TicketNumber { return pul.fl.Snapshot().State.Number() }

// pulling is the question to one peer.
type pulling struct {
	puller *puller
	hint   hint
}

func (png pulling) fetch(ctx context.Context) {
	fl := png.puller.fl
	if err := fl.pullPeer(ctx, png.hint.from, png.hint.source); err != nil {
		fl.cfg.Log.Debug("pull failed", "Peer", png.hint.from, "Error", err)
	}
	png.puller.ended <- png.hint.from
}
