package bwaction_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"bilberrywick/core/bwaction"
	"bilberrywick/core/bwmodel"
)

// manualClock is a clock that a test advances.
type manualClock struct{ now time.Time }

func (clk *manualClock) time() time.Time { return clk.now }

var testKey = bwaction.Key{Team: "t1", Name: "k1"}

const testIncarnation bwmodel.Incarnation = 3

func newLedger(cfg bwaction.LedgerConfig) (*bwaction.Ledger, *manualClock) {
	clk := &manualClock{now: time.Unix(1000, 0)}
	cfg.Incarnation, cfg.Now = testIncarnation, clk.time
	return bwaction.NewLedger(cfg), clk
}

func dispatchAt(fence bwmodel.Fence, expiry time.Duration) bwaction.Dispatch {
	return bwaction.Dispatch{Key: testKey, Fence: fence, Incarnation: testIncarnation, Expiry: expiry}
}

func settleAt(fence bwmodel.Fence, expiry time.Duration) bwaction.SettleRequest {
	return bwaction.SettleRequest{Key: testKey, Fence: fence, Incarnation: testIncarnation, Expiry: expiry}
}

func refusalOf(err error) bwaction.Refusal {
	ref := new(bwaction.RefusedError)
	if errors.As(err, &ref) {
		return ref.Refusal
	}
	return ""
}

// Guards against a dispatch that starts although an earlier dispatch, a seal or
// the agent's state forbids it.
func TestLedgerRefuses(t *testing.T) {
	tests := []struct {
		name   string
		before func(*bwaction.Ledger)
		dis    bwaction.Dispatch
		want   bwaction.Refusal
	}{
		{"no reason to refuse", func(*bwaction.Ledger) {}, dispatchAt(1, 5*time.Second), ""},
		{"expired", func(*bwaction.Ledger) {}, dispatchAt(1, time.Second), bwaction.RefusedExpired},
		{"expiry beyond the horizon", func(*bwaction.Ledger) {}, dispatchAt(1, time.Hour), bwaction.RefusedInvalid},
		{"no fence", func(*bwaction.Ledger) {}, dispatchAt(0, 5*time.Second), bwaction.RefusedInvalid},
		{"another incarnation", func(*bwaction.Ledger) {}, bwaction.Dispatch{Key: testKey, Fence: 1, Incarnation: 2, Expiry: 5 * time.Second}, bwaction.RefusedIncarnation},
		{"running", func(led *bwaction.Ledger) { _ = led.Begin(dispatchAt(1, 5*time.Second)) }, dispatchAt(2, 5*time.Second), bwaction.RefusedDuplicate},
		{"done", finishAction, dispatchAt(2, 5*time.Second), bwaction.RefusedDuplicate},
		{"broken", func(led *bwaction.Ledger) {
			_ = led.Begin(dispatchAt(1, 5*time.Second))
			led.MarkBroken(testKey)
		}, dispatchAt(2, 5*time.Second), bwaction.RefusedDuplicate},
		{"sealed at its fence", func(led *bwaction.Ledger) { _, _ = led.Settle(settleAt(2, 5*time.Second)) }, dispatchAt(2, 5*time.Second), bwaction.RefusedStale},
		{"sealed below its fence", func(led *bwaction.Ledger) { _, _ = led.Settle(settleAt(1, 5*time.Second)) }, dispatchAt(2, 5*time.Second), ""},
		{"peeked at", func(led *bwaction.Ledger) {
			_, _ = led.Settle(bwaction.SettleRequest{Key: testKey, Fence: 1, Incarnation: testIncarnation, Expiry: 5 * time.Second, Peek: true})
		}, dispatchAt(1, 5*time.Second), ""},
		{"not sent at the same fence", abortAction, dispatchAt(1, 5*time.Second), bwaction.RefusedStale},
		{"not sent at a lower fence", abortAction, dispatchAt(2, 5*time.Second), ""},
		{"leaving", func(led *bwaction.Ledger) { led.SetLeaving(true) }, dispatchAt(1, 5*time.Second), bwaction.RefusedLeaving},
		{"no longer leaving", func(led *bwaction.Ledger) {
			led.SetLeaving(true)
			led.SetLeaving(false)
		}, dispatchAt(1, 5*time.Second), ""},
		{"leaving, key done", func(led *bwaction.Ledger) {
			finishAction(led)
			led.SetLeaving(true)
		}, dispatchAt(2, 5*time.Second), bwaction.RefusedDuplicate},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			led, clk := newLedger(bwaction.LedgerConfig{})
			clk.now = clk.now.Add(time.Second)
			tt.before(led)
			if got := refusalOf(led.Begin(tt.dis)); got != tt.want {
				t.Errorf("refusal %q, want %q", got, tt.want)
			}
		})
	}
}

func finishAction(led *bwaction.Ledger) {
	_ = led.Begin(dispatchAt(1, 5*time.Second))
	led.Finish(testKey, bwmodel.HTTPResponse{Status: 200, Body: []byte("paid")})
}

func abortAction(led *bwaction.Ledger) {
	_ = led.Begin(dispatchAt(1, 5*time.Second))
	led.Abort(testKey)
}

// Guards against a started key that is evicted and then reported as never
// started, which would let a retry run the action again.
func TestLedgerEvictsEntries(t *testing.T) {
	tests := []struct {
		name   string
		after  time.Duration
		expiry time.Duration
		want   bwmodel.SettleState
	}{
		{"within the retention", 9 * time.Second, 5 * time.Second, bwmodel.SettleDone},
		{"after the retention", 11 * time.Second, 5 * time.Second, bwmodel.SettleEvicted},
		{"another key's dispatch that expired earlier", 11 * time.Second, 4 * time.Second, bwmodel.SettleEvicted},
		{"a dispatch that expired later", 11 * time.Second, 6 * time.Second, bwmodel.SettleSealed},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			led, clk := newLedger(bwaction.LedgerConfig{Retention: 10 * time.Second})
			finishAction(led)
			clk.now = clk.now.Add(tt.after)
			// A new key makes the ledger evict entries.
			_ = led.Begin(bwaction.Dispatch{Key: bwaction.Key{Name: "k2"}, Fence: 1, Incarnation: testIncarnation, Expiry: 30 * time.Second})
			stl, err := led.Settle(settleAt(1, tt.expiry))
			if err != nil || stl.State != tt.want {
				t.Errorf("state %v (%v), want %v", stl.State, err, tt.want)
			}
		})
	}
}

// Guards against a full ledger that evicts a key whose dispatch may still
// arrive, and against a ledger that grows without limit.
func TestLedgerIsBounded(t *testing.T) {
	led, clk := newLedger(bwaction.LedgerConfig{MaxEntries: 4, MaxBytes: 10, Retention: time.Hour})
	begin := func(name string) bwaction.Refusal {
		key := bwaction.Key{Name: name}
		dis := bwaction.Dispatch{Key: key, Fence: 1, Incarnation: testIncarnation, Expiry: led.Clock() + 5*time.Second}
		err := led.Begin(dis)
		led.Finish(key, bwmodel.HTTPResponse{Body: []byte("seven b")})
		return refusalOf(err)
	}
	for ix := range 4 {
		if got := begin(fmt.Sprint(ix)); got != "" {
			t.Fatalf("key %d refused: %s", ix, got)
		}
	}
	if got := begin("4"); got != bwaction.RefusedOverloaded {
		t.Errorf("fifth key: refusal %q, want %q", got, bwaction.RefusedOverloaded)
	}
	stl, err := led.Settle(bwaction.SettleRequest{Key: bwaction.Key{Name: "0"}, Fence: 1, Incarnation: testIncarnation, Expiry: 5 * time.Second})
	if err != nil || stl.State != bwmodel.SettleEvicted || len(stl.Response.Body) != 0 {
		t.Errorf("key whose response exceeds MaxBytes: %+v, %v; want SettleEvicted without a body", stl, err)
	}
	for ix := range 100 {
		clk.now = clk.now.Add(6 * time.Second)
		if got := begin(fmt.Sprint("later", ix)); got != "" {
			t.Fatalf("key refused after the others expired: %s", got)
		}
	}
	if led.Len() > 4 {
		t.Errorf("%d keys kept, want at most 4", led.Len())
	}
}

// Guards against a seal that is evicted while the dispatch it stops may still
// arrive.
func TestSealOutlivesItsDispatch(t *testing.T) {
	led, clk := newLedger(bwaction.LedgerConfig{MaxEntries: 1})
	if _, err := led.Settle(settleAt(1, 5*time.Second)); err != nil {
		t.Fatal(err)
	}
	clk.now = clk.now.Add(5*time.Second - 1)
	other := bwaction.SettleRequest{Key: bwaction.Key{Name: "k2"}, Fence: 1, Incarnation: testIncarnation, Expiry: 9 * time.Second}
	if _, err := led.Settle(other); refusalOf(err) != bwaction.RefusedOverloaded {
		t.Errorf("second seal in a full ledger: got %v, want refusal RefusedOverloaded", err)
	}
	if got := refusalOf(led.Begin(dispatchAt(1, 5*time.Second))); got != bwaction.RefusedStale {
		t.Errorf("sealed dispatch: refusal %q, want %q", got, bwaction.RefusedStale)
	}
	clk.now = clk.now.Add(1)
	if got := refusalOf(led.Begin(dispatchAt(1, 5*time.Second))); got != bwaction.RefusedExpired {
		t.Errorf("sealed dispatch after its expiry: refusal %q, want %q", got, bwaction.RefusedExpired)
	}
	if _, err := led.Settle(other); err != nil {
		t.Errorf("second seal after the first expired: %v", err)
	}
}
