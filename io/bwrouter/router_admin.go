package bwrouter

import (
	"context"
	"errors"
	"fmt"

	"bilberrywick/core/bwaction"
	"bilberrywick/core/bwroute"
	"bilberrywick/core/bwticket"
	"bilberrywick/io/bwadmin"
	"bilberrywick/io/bwhttp"
	"bilberrywick/io/bwprocess"
	"bilberrywick/io/bwstore"
	"bilberrywick/io/bwwire"
)

// administration returns the router's part of the administration API.
func (rtr *Router) administration() bwprocess.AdminConfig {
	return bwprocess.AdminConfig{
		API: bwadmin.Config{
			Apply:      rtr.applyTicket,
			Tickets:    rtr.listTickets,
			Ticket:     rtr.showTicket,
			Upstreams:  rtr.listUpstreams,
			Action:     rtr.showAction,
			Generation: rtr.showGeneration,
		},
		InProgress:         rtr.inProgress,
		HeldLeases:         rtr.duties.HeldDuties,
		UpstreamInProgress: rtr.services.InProgress,
	}
}

// inProgress returns the number of callers' requests being served.
func (rtr *Router) inProgress() int { return rtr.callers.InProgress() }

func (rtr *Router) applyTicket(ctx context.Context, req *bwadmin.TicketRequest) (*bwadmin.TicketResult, error) {
	before := rtr.proc.Fleet.Snapshot().State
	ticket, faults := req.Ticket.Ticket()
	if len(faults) > 0 {
		return nil, ticketError(faults)
	}
	result := &bwadmin.TicketResult{
		Number:  req.Ticket.Number,
		Result:  bwadmin.ResultValid,
		Head:    before.Number(),
		Changes: ticketChanges(before, ticket),
	}
	if req.DryRun {
		if faults := bwticket.Check(before, ticket); len(faults) > 0 {
			return nil, ticketError(faults)
		}
		return result, nil
	}
	submitted, err := rtr.proc.Fleet.SubmitTicket(ctx, req.Ticket)
	if err != nil {
		rtr.proc.Metrics.TicketSubmissions.With(submissionResult(err)).Inc()
		rtr.proc.Log.Warn("ticket refused", "Number", req.Ticket.Number, "Operator", bwhttp.OperatorName(ctx), "Error", err)
		return nil, ticketError(err)
	}
	result.Result = bwadmin.ResultAccepted
	if submitted.Repeated {
		result.Result = bwadmin.ResultRepeated
	}
	rtr.proc.Metrics.TicketSubmissions.With(result.Result).Inc()
	rtr.proc.Log.Info("ticket submitted", "Number", submitted.Number, "Result", result.Result, "Operator", bwhttp.OperatorName(ctx))
	result.Head = max(submitted.Number, rtr.proc.StateNumber())
	return result, nil
}

// submissionResult returns the metric label of a submission's error.
func submissionResult(err error) string {
	var faults bwticket.Faults
	var conflict *bwticket.ConflictError
	switch {
	case errors.As(err, &faults):
		return "Invalid"
	case errors.As(err, &conflict):
		return "Conflict"
	case errors.Is(err, bwticket.ErrUnavailable):
		return "Unavailable"
	}
	return "Unknown"
}

// ticketError converts a submission's error to an error of the API.
func ticketError(err error) error {
	var faults bwticket.Faults
	var conflict *bwticket.ConflictError
	switch {
	case errors.As(err, &faults):
		return bwadmin.FaultsError(faults)
	case errors.As(err, &conflict):
		return &bwadmin.ConflictError{Head: conflict.Current.Number(), Reason: conflict.Error()}
	case errors.Is(err, bwticket.ErrUnavailable):
		return errors.Join(bwadmin.ErrUnavailable, err)
	case errors.Is(err, bwticket.ErrOutcomeUnknown):
		return errors.Join(bwadmin.ErrOutcomeUnknown, err)
	}
	return err
}

// ticketChanges returns the objects of a state that a ticket adds, changes and removes.
func ticketChanges(before *bwticket.State, ticket bwticket.Ticket) []bwadmin.ObjectChange {
	var changes []bwadmin.ObjectChange
	add := func(kind, name string, exists bool) {
		change := "Added"
		if exists {
			change = "Changed"
		}
		changes = append(changes, bwadmin.ObjectChange{Kind: kind, Name: name, Change: change})
	}
	for _, svc := range ticket.Services {
		_, ok := before.Service(svc.Name)
		add("Service", string(svc.Name), ok)
	}
	for _, team := range ticket.Teams {
		_, ok := before.Team(team.Name)
		add("Team", string(team.Name), ok)
	}
	for _, ups := range ticket.Upstreams {
		_, ok := before.Upstream(ups.Name)
		add("Upstream", string(ups.Name), ok)
	}
	remove := func(kind, name string) {
		changes = append(changes, bwadmin.ObjectChange{Kind: kind, Name: name, Change: "Removed"})
	}
	for _, name := range ticket.Remove.Services {
		remove("Service", string(name))
	}
	for _, name := range ticket.Remove.Teams {
		remove("Team", string(name))
	}
	for _, name := range ticket.Remove.Upstreams {
		remove("Upstream", string(name))
	}
	return changes
}

func (rtr *Router) tickets() *bwstore.TicketStore {
	return bwstore.NewTicketStore(rtr.proc.Store.Table)
}

const maxListedTickets = 1000

func (rtr *Router) listTickets(ctx context.Context, req *bwadmin.TicketListRequest) (*bwadmin.TicketList, error) {
	accepted, err := rtr.tickets().TicketsAfter(ctx, req.After)
	if err != nil {
		return nil, ticketError(err)
	}
	list := &bwadmin.TicketList{Head: rtr.proc.StateNumber()}
	limit := req.Limit
	if limit <= 0 || limit > maxListedTickets {
		limit = maxListedTickets
	}
	for _, acc := range accepted[:min(limit, len(accepted))] {
		tk := acc.Ticket
		list.Tickets = append(list.Tickets, bwadmin.TicketSummary{
			Number:   tk.Number,
			Comment:  tk.Comment,
			Accepted: acc.At,
			Objects:  tk.ObjectCount(),
		})
	}
	return list, nil
}

func (rtr *Router) showTicket(ctx context.Context, req *bwadmin.TicketNumberRequest) (*bwwire.TicketDocument, error) {
	acc, err := rtr.tickets().Ticket(ctx, req.Number)
	if err != nil {
		return nil, ticketError(err)
	}
	if acc == nil {
		return nil, bwadmin.ErrNotFound
	}
	doc := bwwire.NewTicketDocument(acc.Ticket)
	return &doc, nil
}

func (rtr *Router) showAction(ctx context.Context, req *bwadmin.ActionRequest) (*bwadmin.ActionStatus, error) {
	key := bwaction.Key{Team: req.Team, Name: req.Key}
	row, found, err := rtr.actionRows.read(ctx, key)
	if err != nil {
		return nil, errors.Join(bwadmin.ErrUnavailable, err)
	}
	if !found {
		return nil, bwadmin.ErrNotFound
	}
	status := &bwadmin.ActionStatus{
		Team:     req.Team,
		Key:      req.Key,
		Service:  row.Service,
		Outcome:  string(bwhttp.OutcomeUnknown),
		Attempt:  row.Attempt,
		Fence:    row.Fence,
		Upstream: row.Upstream,
		Created:  row.Updated,
	}
	switch row.State {
	case bwaction.Finished:
		status.Outcome = string(bwhttp.OutcomeDone)
		status.Status = row.Response.Status
	case bwaction.Released:
		status.Outcome = string(bwhttp.OutcomeNotRun)
	case bwaction.Reserved:
		status.Detail = "reserved; the agent of the upstream knows whether it has started"
	case bwaction.Broken:
		status.Detail = "the upstream failed after it may have run the action"
	}
	return status, nil
}

func (rtr *Router) listUpstreams(context.Context, *struct{}) (*bwadmin.UpstreamList, error) {
	views := rtr.services.UpstreamViews()
	list := &bwadmin.UpstreamList{}
	for _, ent := range rtr.proc.Fleet.Snapshot().State.Upstreams() {
		vw, followed := views[ent.Object.Name]
		// The state has a change of Draining before the chooser does.
		vw.Upstream = ent.Object
		list.Upstreams = append(list.Upstreams, newUpstreamStatus(vw, followed))
	}
	return list, nil
}

func newUpstreamStatus(vw bwroute.UpstreamView, followed bool) bwadmin.UpstreamStatus {
	ups := vw.Upstream
	status := bwadmin.UpstreamStatus{
		Name:       ups.Name,
		Service:    ups.Service,
		Region:     ups.Region,
		Zone:       ups.Zone,
		Agent:      ups.Agent,
		Slots:      ups.Slots,
		Running:    vw.Load.Running,
		Waiting:    vw.Load.Waiting,
		Limit:      vw.Limit,
		InFlight:   vw.InFlight,
		Latency:    bwwire.DurationText(vw.Latency),
		SlowFactor: vw.SlowFactor,
		ReportAge:  bwwire.DurationText(vw.Load.Age),
		Models:     vw.Load.Models,
	}
	status.Health, status.Reason = healthOf(vw, followed)
	return status
}

// minSlowFactor distinguishes an upstream that was suspended for its latency from one
// that was suspended for failures.
const minSlowFactor = 1.5

func healthOf(vw bwroute.UpstreamView, followed bool) (health, reason string) {
	switch {
	case vw.Upstream.Draining:
		return bwadmin.DrainingUpstream, "a ticket drains it"
	case !followed:
		return bwadmin.NotFollowedUpstream, "other routers send it work"
	case !vw.Reported:
		return bwadmin.UnreachableUpstream, "its agent has not reported"
	case !vw.Connected:
		return bwadmin.UnreachableUpstream, "the connection to its agent was lost"
	case vw.Leaving:
		return bwadmin.LeavingUpstream, "its agent takes no new work"
	case vw.Load.UpstreamIsDown:
		return bwadmin.DownUpstream, "its agent can't reach it"
	case vw.Suspended && vw.SlowFactor >= minSlowFactor:
		return bwadmin.SlowUpstream, fmt.Sprintf("%.1f times the median latency; it gets probes only", vw.SlowFactor)
	case vw.Suspended:
		return bwadmin.FailingUpstream, "requests failed lately; it gets probes only"
	}
	return bwadmin.HealthyUpstream, ""
}
