package bwticket

import (
	"context"
	"errors"
	"fmt"
	"time"

	"bilberrywick/core/bwmodel"
)

// Errors that the function fields of a Registry return, wrapped or not.
var (
	// ErrUnavailable says that the store can't be reached and that nothing was written.
	ErrUnavailable = errors.New("ticket store is unavailable")
	// ErrOutcomeUnknown says that a write may or may not have taken effect.
	ErrOutcomeUnknown = errors.New("outcome of the ticket's write is unknown, submit the same ticket again")
	// ErrHeadChanged says that the head or the ticket's row was not as expected, so
	// that nothing was written.
	ErrHeadChanged = errors.New("another ticket was accepted first")
)

// Registry decides whether a ticket becomes part of the history.
type Registry struct {
	// ReadState returns the state at the store's head.
	ReadState func(ctx context.Context) (*State, error)
	// ReadTicket returns the row of an accepted ticket, or nil when there is none.
	ReadTicket func(ctx context.Context, num bwmodel.TicketNumber) (*AcceptedTicket, error)
	// Commit moves the head from acc.Previous to the ticket's number, inserts the
	// ticket's row and puts its objects, all or nothing.
	Commit func(ctx context.Context, acc AcceptedTicket) error
	// Digest identifies a ticket's content over its canonical form.
	Digest func(tk Ticket) (Digest, error)
	// Pause waits before a write of unknown outcome is read back and repeated, or
	// returns the context's error.
	Pause func(ctx context.Context) error
	// Now reads the wall clock; nil leaves Accepted.At at zero.
	Now func() time.Time
}

// SubmitResult is the result of a ticket that is part of the history.
type SubmitResult struct {
	Number bwmodel.TicketNumber
	Digest Digest
	// Previous is the number of the ticket before it.
	Previous bwmodel.TicketNumber
	// Repeated says that the ticket was part of the history before this submission.
	Repeated bool
}

// ConflictError says that the ticket's number is taken by other content, or is
// below the head without a row of its own.
type ConflictError struct {
	Number bwmodel.TicketNumber
	// Current is the state at the store's head.
	Current *State
	// NumberTaken says that another ticket has the number.
	NumberTaken bool
}

// Error returns the reason and the number in effect.
func (err *ConflictError) Error() string {
	if err.NumberTaken {
		return fmt.Sprintf("ticket number %d is taken by other content, current number is %d", err.Number, err.Current.Number())
	}
	return fmt.Sprintf("ticket number %d is not above the current number %d", err.Number, err.Current.Number())
}

// Submit makes the ticket part of the history and returns its answer, which is
// the same for each submission of the same content but for Repeated. It returns Faults, a
// *ConflictError, ErrAway, ErrUnsure or the context's error otherwise.
func (reg *Registry) Submit(ctx context.Context, tk Ticket) (SubmitResult, error) {
	dig, err := reg.Digest(tk)
	if err != nil {
		return SubmitResult{}, fmt.Errorf("digest of ticket %d: %w", tk.Number, err)
	}
	sub := &submission{reg: reg, ticket: tk, digest: dig}
	for {
		ans, settled, err := sub.attempt(ctx)
		if err != nil {
			return SubmitResult{}, err
		}
		if settled {
			return ans, nil
		}
		if err := ctx.Err(); err != nil {
			return SubmitResult{}, sub.interrupted(err)
		}
	}
}

// submission is the work on one call of Submit.
type submission struct {
	reg    *Registry
	ticket Ticket
	digest Digest
	// unsure is set once a write of this submission may be on its way.
	unsure bool
}

// attempt reads the store and tries one write. It returns settled=false when
// another attempt is needed: after a lost race the head has moved, and after an
// unsure write the same conditional write is repeated, which can't take effect
// twice because the first to arrive moves the head.
func (sub *submission) attempt(ctx context.Context) (SubmitResult, bool, error) {
	// The row is read after the state, because a row is inserted together with
	// its head: a number at or below this head that has no row now never gets one.
	st, err := sub.reg.ReadState(ctx)
	if err != nil {
		return SubmitResult{}, false, sub.failed(err)
	}
	row, err := sub.reg.ReadTicket(ctx, sub.ticket.Number)
	if err != nil {
		return SubmitResult{}, false, sub.failed(err)
	}
	if row != nil {
		ans, err := sub.compare(ctx, row)
		return ans, err == nil, err
	}
	if sub.ticket.Number <= st.Number() {
		return SubmitResult{}, false, &ConflictError{Number: sub.ticket.Number, Current: st}
	}
	if faults := Check(st, sub.ticket); faults != nil {
		return SubmitResult{}, false, faults
	}
	acc := AcceptedTicket{Ticket: sub.ticket, Previous: st.Number(), Digest: sub.digest}
	if sub.reg.Now != nil {
		acc.At = sub.reg.Now().UTC()
	}
	return sub.commit(ctx, acc)
}

func (sub *submission) commit(ctx context.Context, acc AcceptedTicket) (SubmitResult, bool, error) {
	err := sub.reg.Commit(ctx, acc)
	switch {
	case err == nil:
		return answer(&acc), true, nil
	case errors.Is(err, ErrHeadChanged):
		return SubmitResult{}, false, nil
	case errors.Is(err, ErrOutcomeUnknown):
		sub.unsure = true
		if err := sub.reg.Pause(ctx); err != nil {
			return SubmitResult{}, false, sub.interrupted(err)
		}
		return SubmitResult{}, false, nil
	}
	return SubmitResult{}, false, sub.failed(err)
}

// compare answers from the row that has the ticket's number.
func (sub *submission) compare(ctx context.Context, row *AcceptedTicket) (SubmitResult, error) {
	if row.Digest == sub.digest {
		ans := answer(row)
		// After an unsure write the row is most likely that of this submission.
		ans.Repeated = !sub.unsure
		return ans, nil
	}
	// The state is read again, since the row may be newer than the first read.
	st, err := sub.reg.ReadState(ctx)
	if err != nil {
		return SubmitResult{}, fmt.Errorf("current state: %w", err)
	}
	return SubmitResult{}, &ConflictError{Number: sub.ticket.Number, Current: st, NumberTaken: true}
}

// failed returns ErrUnsure in place of another error once a write may be on its
// way, since the store being away then says nothing about that write.
func (sub *submission) failed(err error) error {
	if sub.unsure {
		// The cause is not wrapped: errors.Is would find ErrAway, which says that
		// nothing was written.
		return fmt.Errorf("%w: %s", ErrOutcomeUnknown, err.Error())
	}
	return err
}

func (sub *submission) interrupted(err error) error {
	if sub.unsure {
		return fmt.Errorf("ticket %d: %w: %w", sub.ticket.Number, ErrOutcomeUnknown, err)
	}
	return fmt.Errorf("ticket %d was not accepted: %w", sub.ticket.Number, err)
}

func answer(acc *AcceptedTicket) SubmitResult {
	return SubmitResult{Number: acc.Ticket.Number, Digest: acc.Digest, Previous: acc.Previous}
}
