package bwaction

import (
	"container/list"
	"time"

	"bilberrywick/core/bwmodel"
)

// Ledger is an agent's memory of the actions it has started or sealed. It is a
// plain value for one control goroutine.
type Ledger struct {
	cfg     LedgerConfig
	start   time.Time
	entries map[Key]*entry
	// finished orders entries that are done or broken by the time they ended.
	finished *list.List
	// sealed orders entries that never started by the time they were sealed.
	sealed *list.List
	bytes  int
	// forgotten is the highest expiry of a started entry that has been dropped;
	// an absent key whose dispatch expires later has certainly not started.
	forgotten time.Duration
	leaving   bool
}

// LedgerConfig configures a Ledger.
type LedgerConfig struct {
	Incarnation bwmodel.Incarnation
	Now         func() time.Time
	// Start is where the clock begins that expiries refer to; the zero time means
	// now. It must be the start of the clock that the agent reports to routers.
	Start time.Time
	// Horizon bounds how far ahead an expiry may be; 0 means 1 min.
	Horizon time.Duration
	// Retention is the time for which results are kept; 0 means 15 min.
	Retention time.Duration
	// MaxEntries bounds the keys kept; 0 means 100,000.
	MaxEntries int
	// MaxBytes bounds the stored responses; 0 means 64 MiB.
	MaxBytes int
}

const (
	defaultHorizon    = time.Minute
	defaultRetention  = 15 * time.Minute
	defaultMaxEntries = 100_000
	defaultMaxBytes   = 64 << 20
)

type entry struct {
	key      Key
	state    bwmodel.SettleState
	fence    bwmodel.Fence
	expiry   time.Duration
	ended    time.Duration
	response bwmodel.HTTPResponse
	place    *list.Element
}

// NewLedger returns an empty ledger whose clock starts now.
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
		cfg:       cfg,
		start:     cfg.Start,
		entries:   make(map[Key]*entry),
		finished:  list.New(),
		sealed:    list.New(),
		forgotten: -1,
	}
}

// Clock returns the time since the ledger was made.
func (led *Ledger) Clock() time.Duration { return led.cfg.Now().Sub(led.start) }

// Len returns the number of keys kept.
func (led *Ledger) Len() int { return len(led.entries) }

// Running returns the number of actions that the upstream has not answered.
func (led *Ledger) Running() int {
	return len(led.entries) - led.finished.Len() - led.sealed.Len()
}

// SetLeaving makes the ledger refuse all new work, or take it again when a drain
// has been undone.
func (led *Ledger) SetLeaving(leaving bool) { led.leaving = leaving }

// Begin records that the action is about to be sent to the upstream, or
// returns a *RefusedError; it must be called before anything is sent.
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
		if !led.makeRoom(now) {
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

// Finish stores the upstream's whole response.
func (led *Ledger) Finish(key Key, rsp bwmodel.HTTPResponse) {
	if ent := led.end(key, bwmodel.SettleDone); ent != nil {
		ent.response = rsp
		led.bytes += len(rsp.Body)
		led.makeRoom(ent.ended)
	}
}

// MarkBroken records that the upstream failed after it may have run the action.
func (led *Ledger) MarkBroken(key Key) { led.end(key, bwmodel.SettleBroken) }

// Abort records that nothing was sent to the upstream, so that a higher fence
// may start the key.
func (led *Ledger) Abort(key Key) {
	ent := led.entries[key]
	if ent == nil || ent.state != bwmodel.SettleRunning {
		return
	}
	ent.state = bwmodel.SettleSealed
	ent.place = led.sealed.PushBack(ent)
}

// Settle tells what became of a dispatch, and seals one that has not started
// unless it only peeks; it returns a *RefusedError when the ledger can't tell.
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
		return unstarted(stl, now), nil
	}
	ent.fence = stl.Fence
	ent.expiry = max(ent.expiry, stl.Expiry)
	return SettleResult{State: bwmodel.SettleSealed}, nil
}

func (led *Ledger) settleAbsent(stl SettleRequest, now time.Duration) (SettleResult, error) {
	if stl.Expiry <= led.forgotten {
		return SettleResult{State: bwmodel.SettleEvicted}, nil
	}
	// A dispatch that has expired can't start, so it needs no seal.
	if stl.Peek || now >= stl.Expiry {
		return unstarted(stl, now), nil
	}
	if !led.makeRoom(now) {
		return SettleResult{}, &RefusedError{Refusal: RefusedOverloaded}
	}
	ent := &entry{key: stl.Key, state: bwmodel.SettleSealed, fence: stl.Fence, expiry: stl.Expiry}
	led.entries[stl.Key] = ent
	ent.place = led.sealed.PushBack(ent)
	return SettleResult{State: bwmodel.SettleSealed}, nil
}

func unstarted(stl SettleRequest, now time.Duration) SettleResult {
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
	ent.ended = led.Clock()
	ent.place = led.finished.PushBack(ent)
	return ent
}

// makeRoom drops entries that are no longer needed and reports whether another fits.
func (led *Ledger) makeRoom(now time.Duration) bool {
	for led.dropSealed(now) || led.dropFinished(now) {
		continue
	}
	led.shedResponses()
	return len(led.entries) < led.cfg.MaxEntries
}

// dropSealed drops the oldest seal once no dispatch that it stops can start.
func (led *Ledger) dropSealed(now time.Duration) bool {
	elm := led.sealed.Front()
	if elm == nil {
		return false
	}
	ent := elm.Value.(*entry)
	if now < ent.expiry {
		return false
	}
	led.drop(ent)
	return true
}

// dropFinished drops the oldest result after its retention, or earlier when the
// ledger is full, but never while a delayed dispatch of a lower fence could arrive.
func (led *Ledger) dropFinished(now time.Duration) bool {
	elm := led.finished.Front()
	if elm == nil {
		return false
	}
	ent := elm.Value.(*entry)
	full := len(led.entries) >= led.cfg.MaxEntries || led.bytes > led.cfg.MaxBytes
	if now < ent.expiry || (!full && now-ent.ended < led.cfg.Retention) {
		return false
	}
	led.forgotten = max(led.forgotten, ent.expiry)
	led.drop(ent)
	return true
}

// shedResponses drops the oldest responses above the memory bound and keeps
// their keys.
func (led *Ledger) shedResponses() {
	for elm := led.finished.Front(); elm != nil && led.bytes > led.cfg.MaxBytes; elm = elm.Next() {
		ent := elm.Value.(*entry)
		if ent.state != bwmodel.SettleDone {
			continue
		}
		led.bytes -= len(ent.response.Body)
		ent.response = bwmodel.HTTPResponse{}
		ent.state = bwmodel.SettleEvicted
	}
}

func (led *Ledger) drop(ent *entry) {
	led.unlink(ent)
	led.bytes -= len(ent.response.Body)
	delete(led.entries, ent.key)
}

func (led *Ledger) unlink(ent *entry) {
	if ent.place == nil {
		return
	}
	if ent.state == bwmodel.SettleSealed {
		led.sealed.Remove(ent.place)
	} else {
		led.finished.Remove(ent.place)
	}
	ent.place = nil
}
