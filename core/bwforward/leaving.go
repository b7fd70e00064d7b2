package bwforward

import (
	"time"

	"bilberrywick/core/bwmodel"
)

// upstreamRun is one run of an upstream.
type upstreamRun struct {
	id        bwmodel.UpstreamID
	startTime time.Time
}

// leftTime is how long a removed upstream is remembered that has said that it leaves. It
// is above the time for which one serves after that.
const leftTime = 2 * time.Minute

// MarkLeaving records that the upstream has said that it leaves, so that it gets no new
// work until it starts again. It reports whether that was not known.
func (nd *Node) MarkLeaving() bool { return !nd.saysLeaving.Swap(true) && !nd.Leaving }

// isLeaving reports whether the upstream takes no new work, by its entry or by itself.
func (nd *Node) isLeaving() bool { return nd.Leaving || nd.saysLeaving.Load() }

// rememberLeft keeps the removed upstreams that have said that they leave.
func (pl *Pool) rememberLeft(old, vw *poolView) {
	now := pl.cfg.Now()
	for run, at := range pl.left {
		if now.Sub(at) > leftTime {
			delete(pl.left, run)
		}
	}
	for id, nd := range old.nodes {
		if vw.nodes[id] == nil && nd.saysLeaving.Load() {
			pl.left[upstreamRun{id, nd.StartTime}] = now
		}
	}
}

// NewLeavingNote returns the note that an upstream has said that it leaves.
func NewLeavingNote(up Upstream) PeerNote {
	return PeerNote{Kind: LeavingNote, Upstream: up.ID, Start: sinceEpoch(up.StartTime)}
}

func sinceEpoch(at time.Time) time.Duration { return at.Sub(time.Unix(0, 0)) }
