package bwfleet

import (
	"context"
	"net/netip"
	"time"

	"bilberrywick/core/bwmodel"
)

const (
	// hedgeDelay is how long one pull may take before another peer is called as
	// well, since a peer may become unreachable after it has sent its number.
	hedgeDelay = 100 * time.Millisecond
	maxPulls   = 4
)

// puller fetches tickets from peers that have a higher ticket number.
type puller struct {
	fl *Fleet
	// pending holds peers with a higher number that were not called yet, and
	// inFlight those of unfinished calls.
	pending   []ticketHint
	inFlight  map[netip.AddrPort]bool
	finished  chan netip.AddrPort
	lastStart time.Time
}

// loopPull fetches from one peer at a time, and from another one as well when
// the last call takes longer than hedgeDelay.
func (fl *Fleet) loopPull(ctx context.Context) {
	pul := &puller{fl: fl, inFlight: make(map[netip.AddrPort]bool), finished: make(chan netip.AddrPort, maxPulls)}
	tmr := time.NewTimer(hedgeDelay)
	defer tmr.Stop()
	for {
		select {
		case hnt := <-fl.hints:
			pul.add(hnt)
		case addr := <-pul.finished:
			delete(pul.inFlight, addr)
		case <-tmr.C:
		case <-ctx.Done():
			return
		}
		if pul.startNext(ctx) {
			tmr.Reset(hedgeDelay)
		}
	}
}

// add records a peer's number; it keeps the highest one of each peer.
func (pul *puller) add(hnt ticketHint) {
	for ix := range pul.pending {
		if pul.pending[ix].from == hnt.from {
			pul.pending[ix].number = max(pul.pending[ix].number, hnt.number)
			return
		}
	}
	if len(pul.pending) == hintBacklog {
		pul.pending = pul.pending[1:]
	}
	pul.pending = append(pul.pending, hnt)
}

// startNext calls a pending peer when no call is in flight or the last one has
// taken longer than hedgeDelay, and reports whether it did.
func (pul *puller) startNext(ctx context.Context) bool {
	now := pul.fl.cfg.Now()
	if len(pul.inFlight) >= maxPulls || len(pul.inFlight) > 0 && now.Sub(pul.lastStart) < hedgeDelay {
		return false
	}
	for len(pul.pending) > 0 {
		hnt := pul.pending[0]
		pul.pending = pul.pending[1:]
		if hnt.number <= pul.stateNumber() || pul.inFlight[hnt.from] {
			continue
		}
		pul.inFlight[hnt.from], pul.lastStart = true, now
		pul.fl.startTask(ctx, pullTask{puller: pul, hint: hnt}.fetch)
		return true
	}
	return false
}

func (pul *puller) stateNumber() bwmodel.TicketNumber { return pul.fl.Snapshot().State.Number() }

// pullTask fetches the tickets from one peer.
type pullTask struct {
	puller *puller
	hint   ticketHint
}

func (plt pullTask) fetch(ctx context.Context) {
	fl := plt.puller.fl
	if err := fl.pullFromPeer(ctx, plt.hint.from, plt.hint.source); err != nil {
		fl.cfg.Log.Debug("pull failed", "Peer", plt.hint.from, "Error", err)
	}
	plt.puller.finished <- plt.hint.from
}
