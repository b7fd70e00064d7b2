package bwadmin

import (
	"errors"
	"net/http"

	"bilberrywick/core/bwmodel"
	"bilberrywick/core/bwticket"
	"bilberrywick/io/bwhttp"
	"bilberrywick/io/bwsettings"
)

// Errors that the function fields of Config return.
var (
	// ErrNotFound means that this process does not have the ticket, generation
	// or action.
	ErrNotFound = errors.New("not found")
	// ErrUnavailable means that the platform's store is not available; nothing was changed.
	ErrUnavailable = errors.New("the platform's store is not available")
	// ErrOutcomeUnknown means that it is not known whether a ticket was accepted.
	// Submitting the same ticket again returns its result.
	ErrOutcomeUnknown = errors.New("outcome unknown; submit the same ticket again")
	// ErrOtherMember means that a drain request names another process than the
	// one that received it.
	ErrOtherMember = errors.New("the request names another member")
)

// ConflictError means that a ticket can't be accepted because of its number.
type ConflictError struct {
	// Head is the highest accepted number.
	Head   bwmodel.TicketNumber
	Reason string
}

// Error returns the reason.
func (err *ConflictError) Error() string { return err.Reason }

// FaultsError returns a ticket's faults as a *bwsettings.Error, or nil when
// there are none.
func FaultsError(faults bwticket.Faults) error {
	rep := &bwsettings.FaultList{}
	for _, ft := range faults {
		rep.Add(ft.Path, ft.Reason)
	}
	return rep.Err()
}

// problem is a bwhttp.Problem with the additional members of this API.
type problem struct {
	bwhttp.Problem
	Head   bwmodel.TicketNumber `json:",omitempty"`
	Faults []bwsettings.Fault   `json:",omitempty"`
}

// conflictType distinguishes a ticket's conflict from others with the same status.
const conflictType = "urn:bilberrywick:ticket-conflict"

// WriteError writes an error as a problem document.
func WriteError(rw http.ResponseWriter, _ *http.Request, err error) {
	prob := newProblem(err)
	bwhttp.WriteProblemDocument(rw, &prob.Problem, prob)
}

func newProblem(err error) *problem {
	prob := &problem{Problem: bwhttp.Problem{Status: statusOf(err), Detail: err.Error(), Outcome: bwhttp.OutcomeNotRun}}
	if errors.Is(err, ErrOutcomeUnknown) {
		prob.Outcome = bwhttp.OutcomeUnknown
	}
	var faults *bwsettings.Error
	if errors.As(err, &faults) {
		prob.Faults = faults.Faults
		prob.Detail = "the document has faults"
	}
	var conflict *ConflictError
	if errors.As(err, &conflict) {
		prob.Type, prob.Head = conflictType, conflict.Head
	}
	return prob
}

func statusOf(err error) int {
	var faults *bwsettings.Error
	var conflict *ConflictError
	var req *bwhttp.RequestError
	switch {
	case errors.As(err, &faults):
		return http.StatusUnprocessableEntity
	case errors.As(err, &conflict), errors.Is(err, ErrOtherMember):
		return http.StatusConflict
	case errors.As(err, &req):
		return req.Status
	case errors.Is(err, ErrNotFound):
		return http.StatusNotFound
	case errors.Is(err, ErrUnavailable):
		return http.StatusServiceUnavailable
	case errors.Is(err, ErrOutcomeUnknown):
		return http.StatusGatewayTimeout
	}
	return http.StatusInternalServerError
}
