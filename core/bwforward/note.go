package bwforward

import (
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"bilberrywick/core/bwmodel"
)

// PeerNote is what one gateway tells the others. Notes are hints: one that is lost,
// late or wrong makes a choice worse, and breaks no promise.
type PeerNote struct {
	Kind     PeerNoteKind
	Upstream bwmodel.UpstreamID
	// Session and Prompt are those of the work that was placed.
	Session string
	Prompt  int
}

// PeerNoteKind says what a note is about.
type PeerNoteKind int

// Kinds of notes.
const (
	// PlacementNote says that an upstream has got work.
	PlacementNote PeerNoteKind = iota + 1
	// FailureNote says that an upstream could not be reached or broke off.
	FailureNote
)

// ApplyNote takes in another gateway's note.
func (pl *Pool) ApplyNote(nt PeerNote) {
	nd := pl.view.Load().nodes[nt.Upstream]
	if nd == nil {
		return
	}
	now := pl.cfg.Now()
	switch nt.Kind {
	case PlacementNote:
		nd.others.add(readTime(min(max(nt.Prompt, 0), maxNotedPrompt)), now)
		nd.others.begin(now)
		pl.sessions.put(nt.Session, nt.Upstream)
	case FailureNote:
		// What this gateway has heard from the upstream since counts more.
		if now.UnixNano()-nd.answered.Load() > int64(heardTime) {
			nd.RecordFailure(now)
		}
	}
}

// maxNotedPrompt is above the longest prompt of today's engines in tokens. A
// note says what any sender on the network writes, and no more may come of it.
const maxNotedPrompt = 1 << 17

// heardTime is how long an answer of an upstream outweighs another gateway's
// word that it failed.
const heardTime = 200 * time.Millisecond

// backlog is the work that other gateways have placed at an engine. It ends by
// itself, at the engine's usual rate.
type backlog struct {
	// until is when the prompts are read, streams when each stream has ended.
	until   atomic.Int64
	streams [countedStreams]atomic.Int64
}

const (
	// countedStreams is above the streams that an engine of today's deployments
	// has at a time.
	countedStreams = 16
	// maxBacklog is more than any engine is chosen with while another one is left.
	maxBacklog = 20 * time.Second
	// streamTime is how long a stream of today's deployments takes.
	streamTime = 6 * time.Second
)

// begin counts a stream in the place of one that has ended; a full engine has
// no place left, and needs none.
func (blg *backlog) begin(now time.Time) {
	for ix := range blg.streams {
		old := blg.streams[ix].Load()
		if old <= now.UnixNano() && blg.streams[ix].CompareAndSwap(old, now.Add(streamTime).UnixNano()) {
			return
		}
	}
}

func (blg *backlog) running(now time.Time) int {
	count := 0
	for ix := range blg.streams {
		if blg.streams[ix].Load() > now.UnixNano() {
			count++
		}
	}
	return count
}

func (blg *backlog) add(dur time.Duration, now time.Time) {
	for {
		old := blg.until.Load()
		next := min(max(old, now.UnixNano())+int64(dur), now.Add(maxBacklog).UnixNano())
		if blg.until.CompareAndSwap(old, next) {
			return
		}
	}
}

func (blg *backlog) left(now time.Time) time.Duration {
	return time.Duration(max(blg.until.Load()-now.UnixNano(), 0))
}

// sessionIndex remembers where sessions ran last. Sessions that share a place
// replace each other.
type sessionIndex struct {
	places [sessionPlaces]atomic.Pointer[sessionPlace]
}

// sessionPlaces holds the streams of a minute on the grown deployments four times.
const sessionPlaces = 4096

type sessionPlace struct {
	session  string
	upstream bwmodel.UpstreamID
}

func (six *sessionIndex) place(session string) *atomic.Pointer[sessionPlace] {
	return &six.places[xxhash.Sum64String(session)%sessionPlaces]
}

func (six *sessionIndex) put(session string, upstream bwmodel.UpstreamID) {
	if session != "" {
		six.place(session).Store(&sessionPlace{session: session, upstream: upstream})
	}
}

func (six *sessionIndex) get(session string) (bwmodel.UpstreamID, bool) {
	plc := six.place(session).Load()
	if session == "" || plc == nil || plc.session != session {
		return "", false
	}
	return plc.upstream, true
}
