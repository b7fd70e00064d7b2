package bwforward

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"bilberrywick/core/bwmodel"
)

// PeerNote is a message between gateways about an upstream. Notes are hints: a
// lost, late or wrong one makes the choice of an upstream worse, but violates no
// guarantee.
type PeerNote struct {
	Kind     PeerNoteKind
	Upstream bwmodel.UpstreamID
	// Session and Prompt, in tokens, describe the placed work of a PlacementNote.
	Session string
	Prompt  int
	// Memory is the KV cache memory, in tokens, of the work of a PlacementNote or EndNote;
	// 0 means unknown.
	Memory int `cbor:",omitempty"`
	// Team is that of the stream of a PlacementNote or EndNote, or empty.
	Team bwmodel.TeamID `cbor:",omitempty"`
	// CopyTarget is the upstream that receives a copy of the work's KV cache, or empty.
	CopyTarget bwmodel.UpstreamID `cbor:",omitempty"`
	// Successor is the upstream of a SuccessorNote, and Slots the number of its slots.
	// IsModelEngine and SameService are those of Successor; gateways of earlier versions
	// don't send the latter.
	Successor     bwmodel.UpstreamID `cbor:",omitempty"`
	Slots         int                `cbor:",omitempty"`
	IsModelEngine bool               `cbor:",omitempty"`
	SameService   bool               `cbor:",omitempty"`
	// Slowdown is the factor of a SlowNote or SpeedNote.
	Slowdown float64 `cbor:",omitempty"`
	// Parts are the parts of prompts of a CrashNote, ServedNote or QuarantineNote.
	Parts []PartID `cbor:",omitempty"`
	// Limit is the requests a second of a LimitNote.
	Limit float64 `cbor:",omitempty"`
	// Start is the start of the upstream of a LeavingNote, since 1970: an upstream may
	// start again under its ID before a delayed note arrives.
	Start time.Duration `cbor:",omitempty"`
	// Left is the time until the end of the quarantine of a QuarantineNote.
	Left time.Duration `cbor:",omitempty"`
}

// PeerNoteKind is the event that a note reports.
type PeerNoteKind int

// Kinds of notes.
const (
	// PlacementNote reports that the sender has placed work at an upstream.
	PlacementNote PeerNoteKind = iota + 1
	// FailureNote reports that an upstream did not respond or sent an incomplete
	// response.
	FailureNote
	// ReplacedNote reports that another upstream has the address of an upstream.
	ReplacedNote
	// SuccessorNote reports which upstream now has the address of another one. It
	// matters while the list of upstreams can't be read.
	SuccessorNote
	// EndNote reports that a stream of a PlacementNote has ended.
	EndNote
	// SlowNote reports that an upstream took much longer than expected.
	SlowNote
	// CrashNote reports that an engine crashed as it began with a prompt.
	CrashNote
	// ServedNote reports that prompts with suspected parts have had a response.
	ServedNote
	// QuarantineNote reports that prompts with all of the parts crash engines.
	QuarantineNote
	// QuarantineRequest asks for a QuarantineNote for each group. The sender has just
	// started, and the store may not have them all.
	QuarantineRequest
	// LimitNote reports the limit that an upstream has named, LimitEndNote that it names
	// none any more.
	LimitNote
	LimitEndNote
	// LeavingNote reports that an upstream has said that it leaves.
	LeavingNote
	// SpeedNote reports the lasting speed of an engine, and that it is not slow.
	SpeedNote
)

// ConcernsQuarantine reports whether such a note is about parts of prompts.
func (knd PeerNoteKind) ConcernsQuarantine() bool {
	switch knd {
	case CrashNote, ServedNote, QuarantineNote, QuarantineRequest:
		return true
	default:
		return false
	}
}

// ReachesAll reports whether all gateways must get such a note, not only a part of
// a large fleet: a prompt that crashes engines, or a request to an upstream that takes
// few or none, may come to any of them.
func (knd PeerNoteKind) ReachesAll() bool {
	switch knd {
	case CrashNote, ServedNote, QuarantineNote, LimitNote, LimitEndNote, LeavingNote:
		return true
	default:
		return false
	}
}

// ApplyNote applies another gateway's note; it ignores unknown upstreams.
func (pl *Pool) ApplyNote(nt PeerNote) {
	nd := pl.view.Load().nodes[nt.Upstream]
	if nd == nil {
		return
	}
	now := pl.cfg.Now()
	memory := min(max(nt.Memory, 0), maxNoteMemory)
	switch nt.Kind {
	case PlacementNote:
		prefill := pl.PrefillTime(nd.Service, min(max(nt.Prompt, 0), maxNotePromptTokens))
		nd.peerWork.addPrefill(scaled(prefill, nd.engineSpeed().factor(now)), now)
		nd.peerWork.recordPlacement(prefill, now)
		if nt.Prompt > 0 {
			nd.recordPlaced(now)
			pl.recordPeerPlacement(nd, now)
		}
		pl.teams.add(nt.Team, now)
		nd.peerWork.streams.add(now, now.Add(maxStreamTime), memory)
		pl.sessions.put(nt.Session, nt.Upstream)
		if target := pl.view.Load().nodes[nt.CopyTarget]; target != nil {
			target.peerWork.copies.add(now, now.Add(maxStreamTime), memory)
		}
	case FailureNote:
		// A recent response to this gateway takes precedence over the note.
		if nanos(now)-nd.lastResponse.Load() > int64(ignoreFailureNoteTime) {
			nd.RecordFailure(now)
		}
	case ReplacedNote:
		nd.MarkReplaced(now)
	case EndNote:
		nd.peerWork.streams.remove(now, memory)
		pl.teams.remove(nt.Team, now)
		nd.recordProof(now)
		if target := pl.view.Load().nodes[nt.CopyTarget]; target != nil {
			target.peerWork.copies.remove(now, memory)
		}
	case SlowNote:
		nd.applySlowNote(nt.Slowdown, now)
	case SpeedNote:
		nd.applySpeedNote(nt.Slowdown, now)
	case LimitNote:
		// NaN compares as false.
		if nt.Limit >= 0 {
			nd.ObserveLimit(&nt.Limit, now, now)
		}
	case LimitEndNote:
		nd.limit.Store(nil)
	case LeavingNote:
		if nt.Start == sinceEpoch(nd.StartTime) {
			nd.MarkLeaving()
		}
	}
}

// maxNotePromptTokens is above the longest prompt of the current engines. A note
// may have any value that a sender on the network writes; this limits its effect.
const maxNotePromptTokens = 1 << 17

// maxNoteMemory does the same for the memory of a stream.
const maxNoteMemory = 2 * maxNotePromptTokens

// ignoreFailureNoteTime is the time after a response of an upstream during which
// failure notes about it are ignored.
const ignoreFailureNoteTime = 200 * time.Millisecond

// peerWork estimates the work that other gateways have placed at an engine. No
// note reports its end; it is assumed to finish at the engine's usual rate.
type peerWork struct {
	// prefillEnd is the expected end of the prefill of all prompts, as returned by
	// nanos.
	prefillEnd atomic.Int64
	// streams are those that the engine runs, copies the KV cache copies that it
	// holds for streams of other engines.
	streams, copies expiring

	mu sync.Mutex
	// recent has the last placements, and placements their number.
	recent     [recentPlacements]placed
	placements int
}

// placed is the prefill of a prompt, and when its note arrived.
type placed struct {
	at      time.Time
	prefill time.Duration
}

// recentPlacements is above the number of prompts that an engine gets within the time of
// one.
const recentPlacements = 16

func (pwk *peerWork) recordPlacement(prefill time.Duration, now time.Time) {
	pwk.mu.Lock()
	defer pwk.mu.Unlock()
	pwk.recent[pwk.placements%recentPlacements] = placed{at: now, prefill: prefill}
	pwk.placements++
}

// placedBetween returns the prefill of the prompts whose notes arrived between two times.
func (pwk *peerWork) placedBetween(from, to time.Time) time.Duration {
	pwk.mu.Lock()
	defer pwk.mu.Unlock()
	sum := time.Duration(0)
	for _, plc := range pwk.recent {
		if !plc.at.Before(from) && !plc.at.After(to) {
			sum += plc.prefill
		}
	}
	return sum
}

const (
	// maxPeerPrefill is a cost at which an engine is chosen only if no other one is
	// available.
	maxPeerPrefill = 20 * time.Second
	// expectedStreamTime is the usual duration of a stream on the current deployments.
	expectedStreamTime = 6 * time.Second
	// maxStreamTime is the time after which a stream whose end was not reported is no
	// longer counted.
	maxStreamTime = 15 * time.Second
)

// expiring counts things that end at expected times, by intervals of time. The
// zero value is empty.
type expiring struct {
	mu sync.Mutex
	// ends has the number of things that end in an interval, at the interval's number
	// modulo the length; last is the number of the last interval that was emptied.
	ends  [expiryIntervals]uint16
	last  int64
	count int
	// tokens is the sum of the known sizes, and sized the number of the things that have
	// one. As notes get lost, a thing that ends at its expected time has the mean size.
	tokens, sized int
}

const (
	expiryInterval  = 500 * time.Millisecond
	expiryIntervals = 64
)

// add counts a thing that ends at a time, or at the last interval if that is
// later. A size of 0 tokens is unknown.
func (xpr *expiring) add(now, end time.Time, tokens int) {
	xpr.mu.Lock()
	defer xpr.mu.Unlock()
	xpr.advance(now)
	at := min(max(nanos(end)/int64(expiryInterval), xpr.last+1), xpr.last+expiryIntervals-1)
	if xpr.ends[at%expiryIntervals] < math.MaxUint16 {
		xpr.ends[at%expiryIntervals]++
		xpr.count++
		if tokens > 0 {
			xpr.tokens += tokens
			xpr.sized++
		}
	}
}

// remove uncounts the thing that would end first.
func (xpr *expiring) remove(now time.Time, tokens int) {
	xpr.mu.Lock()
	defer xpr.mu.Unlock()
	xpr.advance(now)
	if xpr.count == 0 {
		return
	}
	at := xpr.last + 1
	for xpr.ends[at%expiryIntervals] == 0 {
		at++
	}
	xpr.ends[at%expiryIntervals]--
	xpr.count--
	if tokens > 0 && xpr.sized > 0 {
		xpr.tokens -= min(tokens, xpr.tokens)
		xpr.sized--
	}
	xpr.trimSizes()
}

// trimSizes removes sizes at their mean while there are more of them than things.
func (xpr *expiring) trimSizes() {
	if xpr.sized > xpr.count {
		xpr.tokens = xpr.tokens / xpr.sized * xpr.count
		xpr.sized = xpr.count
	}
}

// memory returns the sum of the sizes of the things that have not ended. Those without
// a size have the given one.
func (xpr *expiring) memory(now time.Time, size int) int {
	xpr.mu.Lock()
	defer xpr.mu.Unlock()
	xpr.advance(now)
	return xpr.tokens + (xpr.count-xpr.sized)*size
}

// extend lets all things end at the last interval, unless they are removed before.
func (xpr *expiring) extend(now time.Time) {
	xpr.mu.Lock()
	defer xpr.mu.Unlock()
	xpr.advance(now)
	clear(xpr.ends[:])
	xpr.ends[(xpr.last+expiryIntervals-1)%expiryIntervals] = uint16(min(xpr.count, math.MaxUint16))
}

// running returns the number of things that have not ended.
func (xpr *expiring) running(now time.Time) int {
	xpr.mu.Lock()
	defer xpr.mu.Unlock()
	xpr.advance(now)
	return xpr.count
}

// advance empties the intervals that have passed.
func (xpr *expiring) advance(now time.Time) {
	current := nanos(now) / int64(expiryInterval)
	for range min(max(current-xpr.last, 0), expiryIntervals) {
		xpr.last++
		xpr.count -= int(xpr.ends[xpr.last%expiryIntervals])
		xpr.ends[xpr.last%expiryIntervals] = 0
	}
	xpr.last = max(xpr.last, current)
	xpr.trimSizes()
}

// addPrefill adds the prefill time of one more prompt to prefillEnd, up to
// maxPeerPrefill from now.
func (pwk *peerWork) addPrefill(dur time.Duration, now time.Time) {
	for {
		old := pwk.prefillEnd.Load()
		next := min(max(old, nanos(now))+int64(dur), nanos(now.Add(maxPeerPrefill)))
		if pwk.prefillEnd.CompareAndSwap(old, next) {
			return
		}
	}
}

// remainingPrefill returns the time until prefillEnd, or 0 if it has passed.
func (pwk *peerWork) remainingPrefill(now time.Time) time.Duration {
	return time.Duration(max(pwk.prefillEnd.Load()-nanos(now), 0))
}

// sessionIndex maps sessions to the upstreams that ran them last. It is a
// fixed-size hash table: sessions with the same slot replace each other.
type sessionIndex struct {
	slots [sessionSlots]atomic.Pointer[sessionEntry]
}

// sessionSlots is four times the number of streams per minute on enlarged versions
// of the current deployments.
const sessionSlots = 4096

type sessionEntry struct {
	session  string
	upstream bwmodel.UpstreamID
}

func (six *sessionIndex) slot(session string) *atomic.Pointer[sessionEntry] {
	return &six.slots[xxhash.Sum64String(session)%sessionSlots]
}

func (six *sessionIndex) put(session string, upstream bwmodel.UpstreamID) {
	if session != "" {
		six.slot(session).Store(&sessionEntry{session: session, upstream: upstream})
	}
}

func (six *sessionIndex) get(session string) (bwmodel.UpstreamID, bool) {
	ent := six.slot(session).Load()
	if session == "" || ent == nil || ent.session != session {
		return "", false
	}
	return ent.upstream, true
}
