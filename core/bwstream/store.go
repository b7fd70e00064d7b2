package bwstream

import (
	"errors"
	"net/netip"
	"time"

	"bilberrywick/core/bwmodel"
)

// Errors of RecordStore.TakeOver and RecordStore.Release.
var (
	// ErrUnknownRecord is returned when the store has no record of the request, or
	// when the record was released.
	ErrUnknownRecord = errors.New("no record of the request")
	// ErrOtherTeam is returned when the record belongs to another team.
	ErrOtherTeam = errors.New("record belongs to another team")
	// ErrStaleEpoch is returned when the record has this epoch or a higher one.
	ErrStaleEpoch = errors.New("epoch has been replaced")
)

// RecordStore keeps the records that a router holds for others. Only one goroutine
// may use it.
type RecordStore struct {
	cfg     RecordStoreConfig
	records map[bwmodel.RequestID]*heldRecord
	bytes   int
}

// RecordStoreConfig configures a RecordStore; zero values mean the defaults.
type RecordStoreConfig struct {
	Now func() time.Time
	// MaxBytes limits the memory of all records; 0 means 64 MiB.
	MaxBytes int
	// IdleTTL is how long a record without appends is kept; 0 means 10 min.
	IdleTTL time.Duration
	// FinishedTTL is how long a finished record is kept, for a caller that lost
	// its connection at the end; 0 means 1 min.
	FinishedTTL time.Duration
}

const (
	defaultMaxBytes    = 64 << 20
	defaultIdleTTL     = 10 * time.Minute
	defaultFinishedTTL = time.Minute
	// tokenOverhead is the size of a token without its text, in bytes.
	tokenOverhead = 32
	// recordOverhead is the size of a record without its variable parts, in bytes.
	recordOverhead = 512
)

// Append extends, starts or drops one record at its holder.
type Append struct {
	Request bwmodel.RequestID
	Epoch   bwmodel.Epoch
	// Record is set when the store has no record yet; it replaces one of a lower epoch.
	Record *bwmodel.GenerationRecord
	// Position is the position of the first token.
	Position     bwmodel.Position
	Tokens       []bwmodel.Token
	PromptTokens []bwmodel.TokenID
	Attempt      bwmodel.Attempt
	Agent        netip.AddrPort
	Finish       bwmodel.FinishReason
	// Drop is set when the record is no longer needed.
	Drop bool
}

// Ack is a holder's acknowledgement of an Append.
type Ack struct {
	Request bwmodel.RequestID
	Epoch   bwmodel.Epoch
	// Position is the number of tokens in the record after the append.
	Position bwmodel.Position
	// Refused is set when the record has a higher epoch or other tokens, when there
	// is no record of the epoch to extend, or when there is no room for a new one.
	Refused bool
}

type heldRecord struct {
	rec      bwmodel.GenerationRecord
	epoch    bwmodel.Epoch
	lastUsed time.Time
	bytes    int
	// released is set when the record's router has moved it to another holder.
	released bool
}

// NewRecordStore returns an empty store.
func NewRecordStore(cfg RecordStoreConfig) *RecordStore {
	if cfg.MaxBytes == 0 {
		cfg.MaxBytes = defaultMaxBytes
	}
	if cfg.IdleTTL == 0 {
		cfg.IdleTTL = defaultIdleTTL
	}
	if cfg.FinishedTTL == 0 {
		cfg.FinishedTTL = defaultFinishedTTL
	}
	return &RecordStore{cfg: cfg, records: make(map[bwmodel.RequestID]*heldRecord)}
}

// Append applies one append and returns its acknowledgement.
func (rs *RecordStore) Append(app Append) Ack {
	ack := Ack{Request: app.Request, Epoch: app.Epoch}
	hld := rs.records[app.Request]
	if hld != nil && app.Epoch < hld.epoch {
		ack.Refused = true
		return ack
	}
	if app.Drop {
		rs.remove(hld)
		return ack
	}
	if app.Record != nil && (hld == nil || app.Epoch > hld.epoch) {
		hld = rs.replaceRecord(hld, app)
	}
	if hld == nil || app.Epoch != hld.epoch {
		ack.Refused = true
		return ack
	}
	if app.Record != nil {
		app.Position = 0
		app.Tokens = app.Record.Issued
	}
	fresh, err := trimOverlap(hld.rec.Issued, app.Position, app.Tokens)
	if err != nil {
		// After a gap the position shows the sender which tokens are missing.
		ack.Refused = errors.Is(err, ErrMismatch)
		ack.Position = bwmodel.Position(len(hld.rec.Issued))
		return ack
	}
	rs.applyAppend(hld, app, fresh)
	ack.Position = bwmodel.Position(len(hld.rec.Issued))
	return ack
}

// TakeOver gives a record a higher epoch, so that appends under lower ones are
// refused, and returns it, or returns ErrUnknownRecord, ErrOtherTeam or ErrStaleEpoch.
func (rs *RecordStore) TakeOver(req bwmodel.RequestID, team bwmodel.TeamID, ep bwmodel.Epoch) (bwmodel.GenerationRecord, error) {
	hld := rs.records[req]
	if hld == nil {
		return bwmodel.GenerationRecord{}, ErrUnknownRecord
	}
	if hld.rec.Spec.Team != team {
		return bwmodel.GenerationRecord{}, ErrOtherTeam
	}
	if ep <= hld.epoch {
		return bwmodel.GenerationRecord{}, ErrStaleEpoch
	}
	if hld.released {
		return bwmodel.GenerationRecord{}, ErrUnknownRecord
	}
	hld.epoch = ep
	hld.rec.Epoch = ep
	hld.lastUsed = rs.cfg.Now()
	rec := hld.rec
	rec.Issued = rec.Issued[:len(rec.Issued):len(rec.Issued)]
	return rec, nil
}

// Release seals a record that its own router moves to another holder, so that no
// router can take it over from this store; its errors are those of TakeOver.
func (rs *RecordStore) Release(req bwmodel.RequestID, team bwmodel.TeamID, ep bwmodel.Epoch) error {
	if _, err := rs.TakeOver(req, team, ep); err != nil {
		return err
	}
	rs.records[req].released = true
	return nil
}

// Find returns a record without changing it, and whether there is one.
func (rs *RecordStore) Find(req bwmodel.RequestID) (bwmodel.GenerationRecord, bool) {
	hld := rs.records[req]
	if hld == nil {
		return bwmodel.GenerationRecord{}, false
	}
	rec := hld.rec
	rec.Issued = rec.Issued[:len(rec.Issued):len(rec.Issued)]
	return rec, true
}

// Expire removes the records whose TTL has passed and returns their number.
func (rs *RecordStore) Expire() int {
	now := rs.cfg.Now()
	removed := 0
	for _, hld := range rs.records {
		ttl := rs.cfg.IdleTTL
		if hld.rec.Finish != "" {
			ttl = rs.cfg.FinishedTTL
		}
		if now.Sub(hld.lastUsed) >= ttl {
			rs.remove(hld)
			removed++
		}
	}
	return removed
}

// Len returns the number of records.
func (rs *RecordStore) Len() int { return len(rs.records) }

// Bytes returns the approximate memory of the records in bytes.
func (rs *RecordStore) Bytes() int { return rs.bytes }

// replaceRecord stores a complete record, in place of one with a lower epoch if hld
// is set; it returns nil when there is no room.
func (rs *RecordStore) replaceRecord(hld *heldRecord, app Append) *heldRecord {
	size := recordSize(app.Record)
	freedBytes := 0
	if hld != nil {
		freedBytes = hld.bytes
	}
	if !rs.evictFinished(size-freedBytes, app.Request) {
		return nil
	}
	rs.remove(hld)
	fresh := &heldRecord{rec: *app.Record, epoch: app.Epoch, lastUsed: rs.cfg.Now(), bytes: size}
	fresh.rec.Request = app.Request
	fresh.rec.Epoch = app.Epoch
	fresh.rec.Issued = fresh.rec.Issued[:len(fresh.rec.Issued):len(fresh.rec.Issued)]
	rs.records[app.Request] = fresh
	rs.bytes += size
	return fresh
}

func (rs *RecordStore) applyAppend(hld *heldRecord, app Append, fresh []bwmodel.Token) {
	size := tokensSize(fresh)
	hld.rec.Issued = append(hld.rec.Issued, fresh...)
	if len(app.PromptTokens) > 0 && len(hld.rec.PromptTokens) == 0 {
		hld.rec.PromptTokens = app.PromptTokens
		size += promptTokensSize(app.PromptTokens)
	}
	if app.Attempt > hld.rec.Attempt {
		hld.rec.Attempt = app.Attempt
	}
	if app.Agent.IsValid() {
		hld.rec.Agent = app.Agent
	}
	if app.Finish != "" {
		hld.rec.Finish = app.Finish
	}
	hld.bytes += size
	rs.bytes += size
	hld.lastUsed = rs.cfg.Now()
}

// evictFinished removes finished records other than keep, the least recently used
// first, until size bytes fit; it reports whether they do.
func (rs *RecordStore) evictFinished(size int, keep bwmodel.RequestID) bool {
	for rs.bytes+size > rs.cfg.MaxBytes {
		var oldest *heldRecord
		for _, hld := range rs.records {
			if hld.rec.Finish == "" || hld.rec.Request == keep {
				continue
			}
			if oldest == nil || hld.lastUsed.Before(oldest.lastUsed) {
				oldest = hld
			}
		}
		if oldest == nil {
			return false
		}
		rs.remove(oldest)
	}
	return true
}

func (rs *RecordStore) remove(hld *heldRecord) {
	if hld == nil {
		return
	}
	delete(rs.records, hld.rec.Request)
	rs.bytes -= hld.bytes
}

func recordSize(rec *bwmodel.GenerationRecord) int {
	size := recordOverhead + len(rec.Spec.Prompt) + promptTokensSize(rec.PromptTokens)
	for _, msg := range rec.Spec.Messages {
		size += len(msg.Role) + len(msg.Content)
	}
	return size + tokensSize(rec.Issued)
}

func tokensSize(toks []bwmodel.Token) int {
	size := len(toks) * tokenOverhead
	for _, tok := range toks {
		size += len(tok.Bytes)
	}
	return size
}

func promptTokensSize(ids []bwmodel.TokenID) int {
	const idBytes = 4
	return idBytes * len(ids)
}
