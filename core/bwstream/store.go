package bwstream

import (
	"errors"
	"net/netip"
	"time"

	"bilberrywick/core/bwmodel"
)

// Reasons why a store refuses a takeover.
var (
	// ErrUnknownRecord says that the store has no record of the request.
	ErrUnknownRecord = errors.New("no record of the request")
	// ErrOtherTeam says that the record belongs to another team.
	ErrOtherTeam = errors.New("record belongs to another team")
	// ErrStaleEpoch says that the record has been sealed under this epoch or a higher one.
	ErrStaleEpoch = errors.New("epoch has been replaced")
)

// RecordStore keeps the records that a router holds for others. It is a plain value
// owned by one goroutine.
type RecordStore struct {
	cfg     RecordStoreConfig
	records map[bwmodel.RequestID]*heldRecord
	bytes   int
}

// RecordStoreConfig configures a Store; zero values mean the defaults.
type RecordStoreConfig struct {
	Now func() time.Time
	// MaxBytes bounds the memory of all records; 0 means 64 MiB.
	MaxBytes int
	// IdleTTL is how long a record without appends is kept; 0 means 10 min.
	IdleTTL time.Duration
	// FinishedTTL is how long a finished record is kept for a caller that lost
	// its connection at the end; 0 means 1 min.
	FinishedTTL time.Duration
}

const (
	defaultMaxBytes = 64 << 20
	defaultIdle     = 10 * time.Minute
	defaultFinished = time.Minute
	// tokenOverhead is the size of a Token without its bytes.
	tokenOverhead = 32
	// recordOverhead is the size of a record without its variable parts.
	recordOverhead = 512
)

// Append extends, starts or drops one record.
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
	// Drop says that the record is no longer needed.
	Drop bool
}

// Ack tells how far a record reaches after an append.
type Ack struct {
	Request  bwmodel.RequestID
	Epoch    bwmodel.Epoch
	Position bwmodel.Position
	// Refused says that the record is sealed under a higher epoch, or that
	// there is none to extend and no room for a new one.
	Refused bool
}

type heldRecord struct {
	rec     bwmodel.GenerationRecord
	epoch   bwmodel.Epoch
	touched time.Time
	bytes   int
	// released says that the record's router keeps it at another holder.
	released bool
}

// NewRecordStore returns an empty store.
func NewRecordStore(cfg RecordStoreConfig) *RecordStore {
	if cfg.MaxBytes == 0 {
		cfg.MaxBytes = defaultMaxBytes
	}
	if cfg.IdleTTL == 0 {
		cfg.IdleTTL = defaultIdle
	}
	if cfg.FinishedTTL == 0 {
		cfg.FinishedTTL = defaultFinished
	}
	return &RecordStore{cfg: cfg, records: make(map[bwmodel.RequestID]*heldRecord)}
}

// Append applies one append and returns its acknowledgement.
func (str *RecordStore) Append(app Append) Ack {
	ack := Ack{Request: app.Request, Epoch: app.Epoch}
	hld := str.records[app.Request]
	if hld != nil && app.Epoch < hld.epoch {
		ack.Refused = true
		return ack
	}
	if app.Drop {
		str.remove(hld)
		return ack
	}
	if app.Record != nil && (hld == nil || app.Epoch > hld.epoch) {
		hld = str.replace(hld, app)
	}
	if hld == nil || app.Epoch != hld.epoch {
		ack.Refused = true
		return ack
	}
	if app.Record != nil {
		app.Position = 0
		app.Tokens = app.Record.Issued
	}
	fresh, err := extend(hld.rec.Issued, app.Position, app.Tokens)
	if err != nil {
		// A gap is filled by the sender, which sees from the position what is missing.
		ack.Refused = errors.Is(err, ErrMismatch)
		ack.Position = bwmodel.Position(len(hld.rec.Issued))
		return ack
	}
	str.extend(hld, app, fresh)
	ack.Position = bwmodel.Position(len(hld.rec.Issued))
	return ack
}

// TakeOver seals a record against epochs below the given one and returns it,
// or returns ErrUnknownRecord, ErrOtherTeam or ErrStaleEpoch.
func (str *RecordStore) TakeOver(req bwmodel.RequestID, team bwmodel.TeamID, ep bwmodel.Epoch) (bwmodel.GenerationRecord, error) {
	hld := str.records[req]
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
	hld.touched = str.cfg.Now()
	rec := hld.rec
	rec.Issued = rec.Issued[:len(rec.Issued):len(rec.Issued)]
	return rec, nil
}

// Release seals a record whose own router moves it to another holder, so that
// no router takes it over here; its errors are those of TakeOver.
func (str *RecordStore) Release(req bwmodel.RequestID, team bwmodel.TeamID, ep bwmodel.Epoch) error {
	if _, err := str.TakeOver(req, team, ep); err != nil {
		return err
	}
	str.records[req].released = true
	return nil
}

// Find returns a record without changing it, and whether there is one.
func (str *RecordStore) Find(req bwmodel.RequestID) (bwmodel.GenerationRecord, bool) {
	hld := str.records[req]
	if hld == nil {
		return bwmodel.GenerationRecord{}, false
	}
	rec := hld.rec
	rec.Issued = rec.Issued[:len(rec.Issued):len(rec.Issued)]
	return rec, true
}

// Expire removes the records whose time has passed and returns their number.
func (str *RecordStore) Expire() int {
	now := str.cfg.Now()
	removed := 0
	for _, hld := range str.records {
		keep := str.cfg.IdleTTL
		if hld.rec.Finish != "" {
			keep = str.cfg.FinishedTTL
		}
		if now.Sub(hld.touched) >= keep {
			str.remove(hld)
			removed++
		}
	}
	return removed
}

// Len returns the number of records.
func (str *RecordStore) Len() int { return len(str.records) }

// Bytes returns the approximate memory of the records.
func (str *RecordStore) Bytes() int { return str.bytes }

// replace puts a whole record in place of one with a lower epoch; it returns
// nil when there is no room.
func (str *RecordStore) replace(hld *heldRecord, app Append) *heldRecord {
	size := recordSize(app.Record)
	freed := 0
	if hld != nil {
		freed = hld.bytes
	}
	if !str.makeRoom(size-freed, app.Request) {
		return nil
	}
	str.remove(hld)
	fresh := &heldRecord{rec: *app.Record, epoch: app.Epoch, touched: str.cfg.Now(), bytes: size}
	fresh.rec.Request = app.Request
	fresh.rec.Epoch = app.Epoch
	fresh.rec.Issued = fresh.rec.Issued[:len(fresh.rec.Issued):len(fresh.rec.Issued)]
	str.records[app.Request] = fresh
	str.bytes += size
	return fresh
}

func (str *RecordStore) extend(hld *heldRecord, app Append, fresh []bwmodel.Token) {
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
	str.bytes += size
	hld.touched = str.cfg.Now()
}

// makeRoom removes finished records, the oldest first, until size bytes fit.
func (str *RecordStore) makeRoom(size int, keep bwmodel.RequestID) bool {
	for str.bytes+size > str.cfg.MaxBytes {
		var oldest *heldRecord
		for _, hld := range str.records {
			if hld.rec.Finish == "" || hld.rec.Request == keep {
				continue
			}
			if oldest == nil || hld.touched.Before(oldest.touched) {
				oldest = hld
			}
		}
		if oldest == nil {
			return false
		}
		str.remove(oldest)
	}
	return true
}

func (str *RecordStore) remove(hld *heldRecord) {
	if hld == nil {
		return
	}
	delete(str.records, hld.rec.Request)
	str.bytes -= hld.bytes
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
