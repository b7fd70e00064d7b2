package bwticket_test

import (
	"context"
	"errors"
	"testing"

	"bilberrywick/core/bwmodel"
	"bilberrywick/core/bwticket"
)

// Guards against a lost answer that is reported as a refusal or accepted twice.
func TestSubmitSettlesUnsureWrites(t *testing.T) {
	tests := []struct {
		name   string
		faults []fault
	}{
		{"no fault", nil},
		{"answer lost after the write took effect", []fault{answerLost}},
		{"request lost", []fault{requestLost}},
		{"both, twice", []fault{requestLost, requestLost, answerLost}},
		{"write delayed past its repeat", []fault{delayed}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			mem := newMemory(tt.faults...)
			ans, err := mem.registry().Submit(t.Context(), ticket(3, 1))
			if err != nil || ans.Number != 3 {
				t.Fatalf("got %+v, %v, want ticket 3 accepted", ans, err)
			}
			if took := mem.deliver(); took != 0 {
				t.Errorf("%d delayed writes took effect after the ticket was accepted", took)
			}
			again, err := mem.registry().Submit(t.Context(), ticket(3, 1))
			want := ans
			want.Repeated = true
			if err != nil || again != want || ans.Repeated {
				t.Errorf("repeat of %+v: got %+v, %v, want the same answer as a repeat", ans, again, err)
			}
		})
	}
}

// Guards against a number that gets two contents, and against one that is
// inserted below the head.
func TestSubmitRefusesTakenAndOldNumbers(t *testing.T) {
	mem := newMemory()
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

// Guards against an unreachable store that looks like an unknown outcome, and
// against an unknown outcome that is reported as "nothing was written".
func TestSubmitTellsAwayFromUnsure(t *testing.T) {
	mem := newMemory(away)
	if _, err := mem.registry().Submit(t.Context(), ticket(1, 1)); !errors.Is(err, bwticket.ErrUnavailable) || errors.Is(err, bwticket.ErrOutcomeUnknown) {
		t.Errorf("got %v, want ErrAway only", err)
	}
	mem = newMemory(delayed)
	reg := mem.registry()
	reg.Pause = func(context.Context) error {
		mem.mu.Lock()
		defer mem.mu.Unlock()
		mem.down = true
		return nil
	}
	if _, err := reg.Submit(t.Context(), ticket(1, 1)); !errors.Is(err, bwticket.ErrOutcomeUnknown) || errors.Is(err, bwticket.ErrUnavailable) {
		t.Errorf("store down after a delayed write: got %v, want ErrUnsure only", err)
	}
	if took := mem.deliver(); took != 1 {
		t.Errorf("%d delayed writes took effect, want 1", took)
	}
}
