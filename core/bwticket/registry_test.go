package bwticket_test

import (
	"context"
	"errors"
	"testing"

	"bilberrywick/core/bwmodel"
	"bilberrywick/core/bwticket"
)

// Guards against a lost response to a write that makes Submit report a refusal or
// accept the ticket twice.
func TestSubmitResolvesUnknownOutcomes(t *testing.T) {
	tests := []struct {
		name   string
		faults []storeFault
	}{
		{"no fault", nil},
		{"response lost after the write took effect", []storeFault{responseLost}},
		{"request lost", []storeFault{requestLost}},
		{"request lost twice, then response lost", []storeFault{requestLost, requestLost, responseLost}},
		{"write delayed past its retry", []storeFault{writeDelayed}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			mem := newMemoryStore(tt.faults...)
			first, err := mem.registry().Submit(t.Context(), ticket(3, 1))
			if err != nil || first.Number != 3 {
				t.Fatalf("got %+v, %v, want ticket 3 accepted", first, err)
			}
			if applied := mem.applyDelayed(); applied != 0 {
				t.Errorf("%d delayed writes took effect after the ticket was accepted", applied)
			}
			again, err := mem.registry().Submit(t.Context(), ticket(3, 1))
			want := first
			want.Repeated = true
			if err != nil || again != want || first.Repeated {
				t.Errorf("second submission of %+v: got %+v, %v, want the same result with Repeated set", first, again, err)
			}
		})
	}
}

// Guards against two tickets with the same number, and against a ticket that is
// inserted below the head.
func TestSubmitRefusesTakenAndOldNumbers(t *testing.T) {
	mem := newMemoryStore()
	reg := mem.registry()
	for _, num := range []bwmodel.TicketNumber{3, 8} {
		if _, err := reg.Submit(t.Context(), ticket(num, 1)); err != nil {
			t.Fatal(err)
		}
	}
	tests := []struct {
		name  string
		num   bwmodel.TicketNumber
		taken bool
	}{
		{"other content", 3, true},
		{"other content at the head", 8, true},
		{"between two tickets", 5, false},
		{"below all tickets", 1, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := reg.Submit(t.Context(), ticket(tt.num, 2))
			var conflict *bwticket.ConflictError
			if !errors.As(err, &conflict) {
				t.Fatalf("got %v, want a conflict", err)
			}
			if conflict.NumberTaken != tt.taken || conflict.Current.Number() != 8 || len(conflict.Current.Services()) != 1 {
				t.Errorf("got %+v, want taken=%v with the state of ticket 8", conflict, tt.taken)
			}
		})
	}
}

// Guards against an unavailable store that is reported as an unknown outcome, and
// against an unknown outcome that is reported as "nothing was written".
func TestSubmitSeparatesUnavailableFromUnknown(t *testing.T) {
	mem := newMemoryStore(unavailable)
	if _, err := mem.registry().Submit(t.Context(), ticket(1, 1)); !errors.Is(err, bwticket.ErrUnavailable) || errors.Is(err, bwticket.ErrOutcomeUnknown) {
		t.Errorf("got %v, want ErrUnavailable only", err)
	}
	mem = newMemoryStore(writeDelayed)
	reg := mem.registry()
	reg.Pause = func(context.Context) error {
		mem.mu.Lock()
		defer mem.mu.Unlock()
		mem.down = true
		return nil
	}
	if _, err := reg.Submit(t.Context(), ticket(1, 1)); !errors.Is(err, bwticket.ErrOutcomeUnknown) || errors.Is(err, bwticket.ErrUnavailable) {
		t.Errorf("store unavailable after a delayed write: got %v, want ErrOutcomeUnknown only", err)
	}
	if applied := mem.applyDelayed(); applied != 1 {
		t.Errorf("%d delayed writes took effect, want 1", applied)
	}
}
