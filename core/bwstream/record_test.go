package bwstream_test

import (
	"errors"
	"net/netip"
	"testing"
	"time"

	"bilberrywick/core/bwmodel"
	"bilberrywick/core/bwstream"
)

var (
	holder  = netip.MustParseAddrPort("10.0.0.1:1")
	agent   = netip.MustParseAddrPort("10.0.0.2:1")
	request = bwmodel.RequestID{7}
)

// Guards against a takeover from a holder after the record's router has moved the
// record to another one.
func TestReleasedRecordRefusesTakeover(t *testing.T) {
	store := bwstream.NewRecordStore(bwstream.RecordStoreConfig{Now: time.Now})
	rec := bwmodel.GenerationRecord{Request: bwmodel.RequestID{7}, Spec: bwmodel.GenerationSpec{Team: "alpha"}}
	store.Append(bwstream.Append{Request: rec.Request, Epoch: 1, Record: &rec})
	if err := store.Release(rec.Request, "alpha", 2); err != nil {
		t.Fatal(err)
	}
	if _, err := store.TakeOver(rec.Request, "alpha", 3); !errors.Is(err, bwstream.ErrUnknownRecord) {
		t.Errorf("got %v, want ErrUnknownRecord", err)
	}
	if ack := store.Append(bwstream.Append{Request: rec.Request, Epoch: 3, Record: &rec}); ack.Refused {
		t.Error("the record is refused when it returns under a higher epoch")
	}
}

// Guards against tokens that are accepted from another attempt, after a gap, twice,
// or with other content than before.
func TestReceiverAcceptTokens(t *testing.T) {
	toks := splitTokens("abcdef", nil)
	other := []bwmodel.Token{{ID: 99, Bytes: []byte("x")}}
	tests := []struct {
		name  string
		att   bwmodel.Attempt
		pos   bwmodel.Position
		toks  []bwmodel.Token
		fresh int
		err   error
	}{
		{"next", 2, 3, toks[3:], 3, nil},
		{"overlap", 2, 1, toks[1:5], 2, nil},
		{"only accepted tokens", 2, 0, toks[:3], 0, nil},
		{"stale attempt", 1, 3, toks[3:], 0, bwstream.ErrStaleAttempt},
		{"later attempt that has not begun", 3, 3, toks[3:], 0, bwstream.ErrStaleAttempt},
		{"gap", 2, 4, toks[4:], 0, bwstream.ErrGap},
		{"different overlap", 2, 2, other, 0, bwstream.ErrMismatch},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			rcv := bwstream.NewReceiver(toks[:3])
			if err := rcv.BeginAttempt(2); err != nil {
				t.Fatal(err)
			}
			fresh, err := rcv.AcceptTokens(tt.att, tt.pos, tt.toks)
			if len(fresh) != tt.fresh || !errors.Is(err, tt.err) {
				t.Errorf("got %d tokens and %v, want %d and %v", len(fresh), err, tt.fresh, tt.err)
			}
		})
	}
}

// Guards against a token that is deliverable before the holder acknowledges it, and
// against a former owner that continues after a takeover.
func TestRecordDeliversOnlyAckedTokens(t *testing.T) {
	store := bwstream.NewRecordStore(bwstream.RecordStoreConfig{Now: time.Now})
	toks := splitTokens("abcdef", nil)
	rec := bwstream.NewRecord(bwmodel.GenerationRecord{Request: request, Epoch: 1, Spec: bwmodel.GenerationSpec{Team: "alpha"}})
	rec.SetHolder(holder, 1)
	attempt := rec.BeginAttempt(agent)
	send := func() error {
		app, ok := rec.NextAppend()
		if !ok {
			t.Fatal("nothing to append")
		}
		return rec.ApplyAck(store.Append(app))
	}
	if err := send(); err != nil {
		t.Fatal(err)
	}
	if _, err := rec.AcceptTokens(attempt, 0, toks[:2]); err != nil {
		t.Fatal(err)
	}
	if got := rec.DeliverablePosition(); got != 0 {
		t.Errorf("position %d is deliverable before the acknowledgement, want 0", got)
	}
	if err := send(); err != nil || rec.DeliverablePosition() != 2 {
		t.Errorf("got position %d deliverable and %v after the acknowledgement, want 2", rec.DeliverablePosition(), err)
	}
	if _, err := store.TakeOver(request, "beta", 2); !errors.Is(err, bwstream.ErrOtherTeam) {
		t.Errorf("other team got %v, want ErrOtherTeam", err)
	}
	if _, err := store.TakeOver(request, "alpha", 1); !errors.Is(err, bwstream.ErrStaleEpoch) {
		t.Errorf("same epoch got %v, want ErrStaleEpoch", err)
	}
	taken, err := store.TakeOver(request, "alpha", 2)
	if err != nil || len(taken.Issued) != 2 {
		t.Fatalf("takeover returned %d tokens and %v, want 2", len(taken.Issued), err)
	}
	if _, err := rec.AcceptTokens(attempt, 2, toks[2:4]); err != nil {
		t.Fatal(err)
	}
	if err := send(); !errors.Is(err, bwstream.ErrFenced) || rec.DeliverablePosition() != 2 {
		t.Errorf("former owner got %v and position %d deliverable, want ErrFenced and 2", err, rec.DeliverablePosition())
	}
}

// Guards against an owner that delivers tokens without a copy after its holder was
// lost.
func TestRecordWithoutHolderDeliversNothing(t *testing.T) {
	rec := bwstream.NewRecord(bwmodel.GenerationRecord{Request: request, Epoch: 1})
	attempt := rec.BeginAttempt(agent)
	if _, err := rec.AcceptTokens(attempt, 0, splitTokens("ab", nil)); err != nil {
		t.Fatal(err)
	}
	rec.AwaitHolder(2)
	if rec.DeliverablePosition() != 0 || !rec.AwaitsAck() {
		t.Errorf("position %d is deliverable between two holders, want 0", rec.DeliverablePosition())
	}
	rec.SetHolder(netip.AddrPort{}, 3)
	if rec.DeliverablePosition() != 2 || rec.AwaitsAck() {
		t.Errorf("position %d is deliverable without other routers, want 2", rec.DeliverablePosition())
	}
}

// Guards against a store that exceeds its memory limit or keeps expired records.
func TestRecordStoreBounds(t *testing.T) {
	now := time.Unix(0, 0)
	store := bwstream.NewRecordStore(bwstream.RecordStoreConfig{
		Now: func() time.Time { return now }, MaxBytes: 2000, IdleTTL: time.Hour, FinishedTTL: time.Minute,
	})
	add := func(id byte, why bwmodel.FinishReason) bwstream.Ack {
		rec := &bwmodel.GenerationRecord{Finish: why}
		return store.Append(bwstream.Append{Request: bwmodel.RequestID{id}, Epoch: 1, Record: rec})
	}
	for id := range byte(3) {
		add(id, bwmodel.FinishStop)
	}
	if ack := add(3, ""); ack.Refused || store.Len() != 3 || store.Bytes() > 2000 {
		t.Errorf("refused %v with %d records of %d bytes, want the oldest finished record replaced", ack.Refused, store.Len(), store.Bytes())
	}
	add(4, "")
	add(5, "")
	if ack := add(6, ""); !ack.Refused {
		t.Error("a record was accepted although the store is full of unfinished ones")
	}
	now = now.Add(time.Hour)
	if got := store.Expire(); got != 3 || store.Bytes() != 0 {
		t.Errorf("%d records expired and %d bytes remain, want 3 and 0", got, store.Bytes())
	}
}

// Guards against a stall that is detected too late, or in a steady stream.
func TestStallDetectorTimeout(t *testing.T) {
	start := time.Unix(0, 0)
	cfg := bwstream.StallDetectorConfig{Floor: 100 * time.Millisecond, FirstTokenTimeout: 5 * time.Second, Factor: 4}
	det := bwstream.NewStallDetector(cfg, start)
	if got := det.Deadline().Sub(start); got != cfg.FirstTokenTimeout {
		t.Errorf("timeout before the first token is %v, want %v", got, cfg.FirstTokenTimeout)
	}
	now := start.Add(time.Second)
	for range 50 {
		det.Observe(now, 1)
		now = now.Add(50 * time.Millisecond)
	}
	if got := det.Timeout(); got < 200*time.Millisecond || got > 250*time.Millisecond {
		t.Errorf("timeout at 50 ms a token is %v, want four gaps", got)
	}
}

// Guards against an engine whose streams all count as stalled when it slows down,
// and against a stall that is detected too late to resume within a second.
func TestStallDetectorAllowsTenfoldSlowdown(t *testing.T) {
	for _, gap := range []time.Duration{5 * time.Millisecond, 20 * time.Millisecond, 46 * time.Millisecond, 60 * time.Millisecond} {
		now := time.Unix(0, 0)
		det := bwstream.NewStallDetector(bwstream.StallDetectorConfig{}, now)
		for range 20 {
			now = now.Add(gap)
			det.Observe(now, 1)
		}
		if got := det.Timeout(); got <= 10*gap || got > 750*time.Millisecond {
			t.Errorf("timeout at %v a token is %v, want more than ten gaps and at most 750 ms", gap, got)
		}
		for step := range 20 {
			now = now.Add(10 * gap)
			if !now.Before(det.Deadline()) {
				t.Fatalf("token %d after the slowdown from %v arrives %v after the deadline", step, gap, now.Sub(det.Deadline()))
			}
			det.Observe(now, 1)
		}
	}
}

// Guards against a timeout before the second token that ignores the gaps measured
// in the service's other streams.
func TestServiceLatency(t *testing.T) {
	var lat bwstream.ServiceLatency
	for range 20 {
		lat.ObserveFirstToken(40 * time.Millisecond)
		lat.ObserveGap(20 * time.Millisecond)
	}
	start := time.Unix(0, 0)
	det := bwstream.NewStallDetector(lat.Apply(bwstream.StallDetectorConfig{}), start)
	if got := det.Timeout(); got < 500*time.Millisecond || got > 900*time.Millisecond {
		t.Errorf("timeout before the first token is %v, want 500 to 900 ms", got)
	}
	det.Observe(start, 1)
	if got := det.Timeout(); got <= 200*time.Millisecond || got > 400*time.Millisecond {
		t.Errorf("timeout before the second token is %v, want a little more than ten gaps", got)
	}
}

// Guards against a router that counts all its streams as stalled after it was
// paused itself.
func TestStallDetectorExtendsAfterPause(t *testing.T) {
	now := time.Unix(0, 0)
	det := bwstream.NewStallDetector(bwstream.StallDetectorConfig{Floor: 100 * time.Millisecond}, now)
	for range 10 {
		now = now.Add(time.Millisecond)
		det.Observe(now, 1)
	}
	now = now.Add(time.Minute)
	det.ExtendAfterPause(now)
	if got := det.Deadline().Sub(now); got != 100*time.Millisecond {
		t.Errorf("deadline is %v after the pause, want Floor", got)
	}
}
