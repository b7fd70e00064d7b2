package bwaction

import (
	"container/list"
	"time"

	"bilberrywick/core/bwmodel"
)

// Ledger records the actions that an agent has started or sealed. A seal stops
// every dispatch of a key up to a fence from starting. A Ledger is not safe for
// concurrent use; one control goroutine owns it.
type Ledger struct {
	cfg     LedgerConfig
	start   time.Time
	entries map[Key]*entry
	// finished holds the entries that are done or broken, in the order in which they
	// ended.
	finished *list.List
	// sealed holds the entries that never started, in the order in which they were
	// sealed.
	sealed        *list.List
	responseBytes int
	// maxEvictedExpiry is the highest expiry of the evicted entries that had
	// started. An absent key whose dispatch expires later can't have started.
	maxEvictedExpiry time.Duration
	leaving          bool
}

// LedgerConfig configures a Ledger.
type LedgerConfig struct {
	Incarnation bwmodel.Incarnation
	Now         func() time.Time
	// Start is the zero point of the clock that expiries refer to; the zero time
	// means now. It must equal that of the clock that the agent reports to routers.
	Start time.Time
	// Horizon limits how far in the future an expiry may be; 0 means 1 min.
	Horizon time.Duration
	// Retention is how long results are kept; 0 means 15 min.
	Retention time.Duration
	// MaxEntries limits the number of keys; 0 means 100,000.
	MaxEntries int
	// MaxBytes limits the bytes of stored response bodies; 0 means 64 MiB.
	MaxBytes int
}

const (
	defaultHorizon    = time.Minute
	defaultRetention  = 15 * time.Minute
	defaultMaxEntries = 100_000
	defaultMaxBytes   = 64 << 20
)

type entry struct {
	key         Key
	state       bwmodel.SettleState
	fence       bwmodel.Fence
	expiry      time.Duration
	endedAt     time.Duration
	response    bwmodel.HTTPResponse
	listElement *list.Element
}

// NewLedger returns an empty ledger whose clock starts at LedgerConfig.Start.
func NewLedger(cfg LedgerConfig) *Ledger {
	if cfg.Horizon == 0 {
		cfg.Horizon = defaultHorizon
	}
	if cfg.Retention == 0 {
		cfg.Retention = defaultRetention
	}
	if cfg.MaxEntries == 0 {
		cfg.MaxEntries = defaultMaxEntries
	}
	if cfg.MaxBytes == 0 {
		cfg.MaxBytes = defaultMaxBytes
	}
	if cfg.Start.IsZero() {
		cfg.Start = cfg.Now()
	}
	return &Ledger{
		cfg:              cfg,
		start:            cfg.Start,
		entries:          make(map[Key]*entry),
		finished:         list.New(),
		sealed:           list.New(),
		maxEvictedExpiry: -1,
	}
}

// Clock returns the time since LedgerConfig.Start.
func (led *Ledger) Clock() time.Duration { return led.cfg.Now().Sub(led.start) }

// Len returns the number of keys kept.
func (led *Ledger) Len() int { return len(led.entries) }

// Running returns the number of started actions without an outcome.
func (led *Ledger) Running() int {
	return len(led.entries) - led.finished.Len() - led.sealed.Len()
}

// SetLeaving makes the ledger refuse all new actions, or accept them again after
// a cancelled drain.
func (led *Ledger) SetLeaving(leaving bool) { led.leaving = leaving }

// Begin records that the action is about to be sent to the upstream, or returns
// a *RefusedError. It must be called before anything is sent.
func (led *Ledger) Begin(dis Dispatch) error {
	now := led.Clock()
	switch {
	case dis.Incarnation != led.cfg.Incarnation:
		return &RefusedError{Refusal: RefusedIncarnation}
	case now >= dis.Expiry:
		return &RefusedError{Refusal: RefusedExpired}
	case dis.Expiry > now+led.cfg.Horizon || dis.Fence == 0:
		return &RefusedError{Refusal: RefusedInvalid}
	}
	ent, known := led.entries[dis.Key]
	switch {
	case known && ent.state != bwmodel.SettleSealed:
		return &RefusedError{Refusal: RefusedDuplicate}
	case known && dis.Fence <= ent.fence:
		return &RefusedError{Refusal: RefusedStale}
	case led.leaving:
		return &RefusedError{Refusal: RefusedLeaving}
	}
	if !known {
		if !led.evict(now) {
			return &RefusedError{Refusal: RefusedOverloaded}
		}
		ent = &entry{key: dis.Key}
		led.entries[dis.Key] = ent
	}
	led.unlink(ent)
	ent.state = bwmodel.SettleRunning
	ent.fence = dis.Fence
	ent.expiry = max(ent.expiry, dis.Expiry)
	return nil
}

// Finish records that the action is done and stores the complete response.
func (led *Ledger) Finish(key Key, rsp bwmodel.HTTPResponse) {
	if ent := led.end(key, bwmodel.SettleDone); ent != nil {
		ent.response = rsp
		led.responseBytes += len(rsp.Body)
		led.evict(ent.endedAt)
	}
}

// MarkBroken records that the upstream failed and may have run the action.
func (led *Ledger) MarkBroken(key Key) { led.end(key, bwmodel.SettleBroken) }

// Abort records that nothing was sent to the upstream, so that a dispatch with a
// higher fence may start the action.
func (led *Ledger) Abort(key Key) {
	ent := led.entries[key]
	if ent == nil || ent.state != bwmodel.SettleRunning {
		return
	}
	ent.state = bwmodel.SettleSealed
	ent.listElement = led.sealed.PushBack(ent)
}

// Settle returns the state of a dispatch. Without Peek it also seals a dispatch
// that has not started. It returns a *RefusedError when the ledger can't
// determine the state.
func (led *Ledger) Settle(stl SettleRequest) (SettleResult, error) {
	now := led.Clock()
	switch {
	case stl.Incarnation != led.cfg.Incarnation:
		return SettleResult{}, &RefusedError{Refusal: RefusedIncarnation}
	case stl.Expiry > now+led.cfg.Horizon:
		return SettleResult{}, &RefusedError{Refusal: RefusedInvalid}
	}
	ent := led.entries[stl.Key]
	if ent == nil {
		return led.settleAbsent(stl, now)
	}
	if ent.state != bwmodel.SettleSealed {
		return SettleResult{State: ent.state, Response: ent.response}, nil
	}
	if stl.Fence <= ent.fence {
		return SettleResult{State: bwmodel.SettleSealed}, nil
	}
	if stl.Peek {
		return notStarted(stl, now), nil
	}
	ent.fence = stl.Fence
	ent.expiry = max(ent.expiry, stl.Expiry)
	return SettleResult{State: bwmodel.SettleSealed}, nil
}

func (led *Ledger) settleAbsent(stl SettleRequest, now time.Duration) (SettleResult, error) {
	if stl.Expiry <= led.maxEvictedExpiry {
		return SettleResult{State: bwmodel.SettleEvicted}, nil
	}
	// An expired dispatch can't start, so it needs no seal.
	if stl.Peek || now >= stl.Expiry {
		return notStarted(stl, now), nil
	}
	if !led.evict(now) {
		return SettleResult{}, &RefusedError{Refusal: RefusedOverloaded}
	}
	ent := &entry{key: stl.Key, state: bwmodel.SettleSealed, fence: stl.Fence, expiry: stl.Expiry}
	led.entries[stl.Key] = ent
	ent.listElement = led.sealed.PushBack(ent)
	return SettleResult{State: bwmodel.SettleSealed}, nil
}

func notStarted(stl SettleRequest, now time.Duration) SettleResult {
	if now >= stl.Expiry {
		return SettleResult{State: bwmodel.SettleSealed}
	}
	return SettleResult{State: bwmodel.SettleWaiting}
}

func (led *Ledger) end(key Key, state bwmodel.SettleState) *entry {
	ent := led.entries[key]
	if ent == nil || ent.state != bwmodel.SettleRunning {
		return nil
	}
	ent.state = state
	ent.endedAt = led.Clock()
	ent.listElement = led.finished.PushBack(ent)
	return ent
}

// evict removes entries that are no longer needed and reports whether another
// entry fits.
func (led *Ledger) evict(now time.Duration) bool {
	for led.evictSealed(now) || led.evictFinished(now) {
		continue
	}
	led.evictResponses()
	return len(led.entries) < led.cfg.MaxEntries
}

// evictSealed removes the oldest seal once the dispatches it stops have expired.
func (led *Ledger) evictSealed(now time.Duration) bool {
	elm := led.sealed.Front()
	if elm == nil {
		return false
	}
	ent := elm.Value.(*entry)
	if now < ent.expiry {
		return false
	}
	led.remove(ent)
	return true
}

// evictFinished removes the oldest result after its retention, or earlier when
// the ledger is full, but never before a delayed dispatch of a lower fence has
// expired.
func (led *Ledger) evictFinished(now time.Duration) bool {
	elm := led.finished.Front()
	if elm == nil {
		return false
	}
	ent := elm.Value.(*entry)
	full := len(led.entries) >= led.cfg.MaxEntries || led.responseBytes > led.cfg.MaxBytes
	if now < ent.expiry || (!full && now-ent.endedAt < led.cfg.Retention) {
		return false
	}
	led.maxEvictedExpiry = max(led.maxEvictedExpiry, ent.expiry)
	led.remove(ent)
	return true
}

// evictResponses drops the oldest responses while they exceed MaxBytes, and
// keeps their keys.
func (led *Ledger) evictResponses() {
	for elm := led.finished.Front(); elm != nil && led.responseBytes > led.cfg.MaxBytes; elm = elm.Next() {
		ent := elm.Value.(*entry)
		if ent.state != bwmodel.SettleDone {
			continue
		}
		led.responseBytes -= len(ent.response.Body)
		ent.response = bwmodel.HTTPResponse{}
		ent.state = bwmodel.SettleEvicted
	}
}

func (led *Ledger) remove(ent *entry) {
	led.unlink(ent)
	led.responseBytes -= len(ent.response.Body)
	delete(led.entries, ent.key)
}

func (led *Ledger) unlink(ent *entry) {
	if ent.listElement == nil {
		return
	}
	if ent.state == bwmodel.SettleSealed {
		led.sealed.Remove(ent.listElement)
	} else {
		led.finished.Remove(ent.listElement)
	}
	ent.listElement = nil
}
