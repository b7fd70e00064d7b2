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
	// ErrUnavailable is returned when the store can't be reached; nothing was written.
	ErrUnavailable = errors.New("ticket store is unavailable")
	// ErrOutcomeUnknown is returned when a write may or may not have taken effect.
	ErrOutcomeUnknown = errors.New("outcome of the ticket's write is unknown, submit the same ticket again")
	// ErrHeadChanged is returned when the head or the ticket's row was not as
	// expected; nothing was written.
	ErrHeadChanged = errors.New("another ticket was accepted first")
)

// Registry accepts tickets into the history, in ascending order of their numbers.
type Registry struct {
	// ReadState returns the state at the store's head.
	ReadState func(ctx context.Context) (*State, error)
	// ReadTicket returns the row of an accepted ticket, or nil when there is none.
	ReadTicket func(ctx context.Context, num bwmodel.TicketNumber) (*AcceptedTicket, error)
	// Commit moves the head from acc.Previous to the ticket's number, inserts the
	// ticket's row and writes its objects, in one transaction.
	Commit func(ctx context.Context, acc AcceptedTicket) error
	// Digest returns the digest of a ticket's canonical form.
	Digest func(tk Ticket) (Digest, error)
	// Pause waits before a write of unknown outcome is read back and retried, or
	// returns the context's error.
	Pause func(ctx context.Context) error
	// Now reads the wall clock; nil leaves AcceptedTicket.At at zero.
	Now func() time.Time
}

// SubmitResult is the result of submitting a ticket that is part of the history.
type SubmitResult struct {
	Number bwmodel.TicketNumber
	Digest Digest
	// Previous is the number of the ticket before it.
	Previous bwmodel.TicketNumber
	// Repeated is set when the ticket was part of the history before this submission.
	Repeated bool
}

// ConflictError is returned when the ticket's number belongs to a ticket with
// other content, or is not above the head.
type ConflictError struct {
	Number bwmodel.TicketNumber
	// Current is the state at the store's head.
	Current *State
	// NumberTaken is set when another ticket has the number.
	NumberTaken bool
}

// Error returns the reason and the number of the current state.
func (err *ConflictError) Error() string {
	if err.NumberTaken {
		return fmt.Sprintf("ticket number %d is taken by other content, current number is %d", err.Number, err.Current.Number())
	}
	return fmt.Sprintf("ticket number %d is not above the current number %d", err.Number, err.Current.Number())
}

// Submit adds the ticket to the history. A repeated submission of the same content
// returns the same result except for Repeated. Otherwise Submit returns Faults, a
// *ConflictError, ErrUnavailable, ErrOutcomeUnknown or the context's error.
func (reg *Registry) Submit(ctx context.Context, tk Ticket) (SubmitResult, error) {
	dig, err := reg.Digest(tk)
	if err != nil {
		return SubmitResult{}, fmt.Errorf("digest of ticket %d: %w", tk.Number, err)
	}
	sub := &submission{reg: reg, ticket: tk, digest: dig}
	for {
		res, done, err := sub.tryCommit(ctx)
		if err != nil {
			return SubmitResult{}, err
		}
		if done {
			return res, nil
		}
		if err := ctx.Err(); err != nil {
			return SubmitResult{}, sub.contextError(err)
		}
	}
}

// submission is the state of one call of Submit.
type submission struct {
	reg    *Registry
	ticket Ticket
	digest Digest
	// outcomeUnknown is set once a write of this submission may still take effect.
	outcomeUnknown bool
}

// tryCommit reads the store and tries one write. It returns false when it has to
// be called again: when the head has moved, or when the outcome of the write is
// unknown. Retrying that write is safe, since it is conditional on the head and
// the first attempt to arrive moves the head.
func (sub *submission) tryCommit(ctx context.Context) (SubmitResult, bool, error) {
	// The row is read after the state, because a row is inserted together with
	// its head: a number at or below this head that has no row now never gets one.
	st, err := sub.reg.ReadState(ctx)
	if err != nil {
		return SubmitResult{}, false, sub.storeError(err)
	}
	row, err := sub.reg.ReadTicket(ctx, sub.ticket.Number)
	if err != nil {
		return SubmitResult{}, false, sub.storeError(err)
	}
	if row != nil {
		res, err := sub.resolveExisting(ctx, row)
		return res, err == nil, err
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
		return newSubmitResult(&acc), true, nil
	case errors.Is(err, ErrHeadChanged):
		return SubmitResult{}, false, nil
	case errors.Is(err, ErrOutcomeUnknown):
		sub.outcomeUnknown = true
		if err := sub.reg.Pause(ctx); err != nil {
			return SubmitResult{}, false, sub.contextError(err)
		}
		return SubmitResult{}, false, nil
	}
	return SubmitResult{}, false, sub.storeError(err)
}

// resolveExisting returns the result for a number that already has a row.
func (sub *submission) resolveExisting(ctx context.Context, row *AcceptedTicket) (SubmitResult, error) {
	if row.Digest == sub.digest {
		res := newSubmitResult(row)
		// After a write of unknown outcome the row is most likely from this submission.
		res.Repeated = !sub.outcomeUnknown
		return res, nil
	}
	// The state is read again, since the row may be newer than the first read.
	st, err := sub.reg.ReadState(ctx)
	if err != nil {
		return SubmitResult{}, fmt.Errorf("current state: %w", err)
	}
	return SubmitResult{}, &ConflictError{Number: sub.ticket.Number, Current: st, NumberTaken: true}
}

// storeError returns ErrOutcomeUnknown in place of another error once a write may
// still take effect, since a later failure doesn't show whether it does.
func (sub *submission) storeError(err error) error {
	if sub.outcomeUnknown {
		// The cause is not wrapped: errors.Is would find ErrUnavailable, which means
		// that nothing was written.
		return fmt.Errorf("%w: %s", ErrOutcomeUnknown, err.Error())
	}
	return err
}

func (sub *submission) contextError(err error) error {
	if sub.outcomeUnknown {
		return fmt.Errorf("ticket %d: %w: %w", sub.ticket.Number, ErrOutcomeUnknown, err)
	}
	return fmt.Errorf("ticket %d was not accepted: %w", sub.ticket.Number, err)
}

func newSubmitResult(acc *AcceptedTicket) SubmitResult {
	return SubmitResult{Number: acc.Ticket.Number, Digest: acc.Digest, Previous: acc.Previous}
}
