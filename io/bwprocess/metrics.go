package bwprocess

import (
	"context"
	"errors"
	"time"

	"bilberrywick/io/bwfleet"
	"bilberrywick/io/bwrpc"
	"bilberrywick/io/bwstore"
	"bilberrywick/io/bwwire"
)

// controlTrafficKinds maps the RPC methods of control traffic to their metric label.
var controlTrafficKinds = map[string]string{
	bwwire.AgentStatus:  "Status",
	bwwire.PeerExchange: "Exchange",
	bwwire.PeerTickets:  "Tickets",
}

func (prc *Process) recordSent(method string, size int) {
	if kind, ok := controlTrafficKinds[method]; ok {
		prc.Metrics.ControlBytes.With(kind).Add(size)
	}
}

func (prc *Process) recordCall(method string, duration time.Duration, err error) {
	prc.Metrics.RPCDuration.With(method).Update(duration.Seconds())
	if err != nil && !errors.Is(err, context.Canceled) {
		prc.Metrics.RPCErrors.With(method, bwwire.CodeName(bwrpc.CodeOf(err))).Inc()
	}
}

func (prc *Process) recordStoreRequest(req bwstore.RequestResult) {
	prc.Metrics.StoreDuration.With(req.Store, req.Operation).Update(req.Duration.Seconds())
	if kind := storeErrorKind(req.Err); kind != "" {
		prc.Metrics.StoreErrors.With(req.Store, kind).Inc()
	}
}

func storeErrorKind(err error) string {
	switch {
	case err == nil, errors.Is(err, context.Canceled):
		return ""
	case errors.Is(err, bwstore.ErrConflict):
		return "Conflict"
	case errors.Is(err, bwstore.ErrOutcomeUnknown):
		return "Unsure"
	case errors.Is(err, bwstore.ErrUnavailable):
		return "Unavailable"
	}
	return "Invalid"
}

func (prc *Process) recordTicketApplied(src bwfleet.TicketSource, duration time.Duration) {
	prc.Metrics.TicketPropagation.With(string(src)).Update(duration.Seconds())
}
