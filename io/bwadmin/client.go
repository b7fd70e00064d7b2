package bwadmin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"

	"bilberrywick/core/bwmodel"
	"bilberrywick/io/bwhttp"
	"bilberrywick/io/bwsettings"
	"bilberrywick/io/bwwire"
)

// Client calls the administration API of one process. Its errors are
// *bwsettings.Error, *ConflictError, *ProblemError and connection errors.
type Client struct{ http *bwhttp.Client }

// ProblemError is an error response of the process without a more specific type.
type ProblemError struct {
	Status int
	Title  string
	Detail string
}

// Error returns the status, the title and the detail.
func (err *ProblemError) Error() string {
	return fmt.Sprintf("status %d %s: %s", err.Status, err.Title, err.Detail)
}

// NewClient returns a client; it connects with the first call.
func NewClient(cfg bwhttp.ClientConfig) *Client { return &Client{http: bwhttp.NewClient(cfg)} }

// Close closes the idle connections.
func (cl *Client) Close() { cl.http.Close() }

// Apply submits a ticket, or only checks it when req.DryRun is set.
func (cl *Client) Apply(ctx context.Context, req *TicketRequest) (*TicketResult, error) {
	query := url.Values{}
	if req.DryRun {
		query.Set("DryRun", "true")
	}
	res, err := bwhttp.Post[TicketResult](ctx, cl.http, TicketsPath, query, req.Ticket)
	return res, typedError(err)
}

// Tickets lists accepted tickets.
func (cl *Client) Tickets(ctx context.Context, req *TicketListRequest) (*TicketList, error) {
	query := url.Values{}
	if req.After > 0 {
		query.Set("After", strconv.FormatUint(uint64(req.After), 10))
	}
	if req.Limit > 0 {
		query.Set("Limit", strconv.Itoa(req.Limit))
	}
	return get[TicketList](ctx, cl, TicketsPath, query)
}

// Ticket returns one accepted ticket.
func (cl *Client) Ticket(ctx context.Context, num bwmodel.TicketNumber) (*bwwire.TicketDocument, error) {
	return get[bwwire.TicketDocument](ctx, cl, TicketsPath+"/"+strconv.FormatUint(uint64(num), 10), nil)
}

// State returns the state in effect.
func (cl *Client) State(ctx context.Context) (*bwwire.StateDocument, error) {
	return get[bwwire.StateDocument](ctx, cl, StatePath, nil)
}

// Members lists the members in the process's directory.
func (cl *Client) Members(ctx context.Context) (*MemberList, error) {
	return get[MemberList](ctx, cl, MembersPath, nil)
}

// Upstreams lists the upstreams whose status the process follows.
func (cl *Client) Upstreams(ctx context.Context) (*UpstreamList, error) {
	return get[UpstreamList](ctx, cl, UpstreamsPath, nil)
}

// Drains lists the upstreams and members that accept no new work.
func (cl *Client) Drains(ctx context.Context) (*DrainList, error) {
	return get[DrainList](ctx, cl, DrainsPath, nil)
}

// Drain requests that the process finishes its work and exits.
func (cl *Client) Drain(ctx context.Context, req *DrainRequest) (*DrainList, error) {
	res, err := bwhttp.Post[DrainList](ctx, cl.http, DrainsPath, nil, req)
	return res, typedError(err)
}

// Generation returns one generation.
func (cl *Client) Generation(ctx context.Context, rid bwmodel.RequestID) (*GenerationStatus, error) {
	return get[GenerationStatus](ctx, cl, GenerationPath+"/"+rid.String(), nil)
}

// Action returns one action.
func (cl *Client) Action(ctx context.Context, req *ActionRequest) (*ActionStatus, error) {
	return get[ActionStatus](ctx, cl, ActionsPath, url.Values{"Team": {string(req.Team)}, "Key": {req.Key}})
}

// ReadyStatus holds whether a process accepts new work, and the reason if not.
type ReadyStatus = bwhttp.ReadyResponse

// Ready reports whether the process accepts new work. It returns no error for a
// process that doesn't.
func (cl *Client) Ready(ctx context.Context) (*ReadyStatus, error) {
	rdy, err := bwhttp.Get[ReadyStatus](ctx, cl.http, ReadyPath, nil)
	var sts *bwhttp.StatusError
	if errors.As(err, &sts) && sts.Status == http.StatusServiceUnavailable {
		return bwhttp.DecodeJSON[ReadyStatus](sts.Body)
	}
	return rdy, typedError(err)
}

// Version returns the versions of the process's program and of Go.
func (cl *Client) Version(ctx context.Context) (*VersionResponse, error) {
	return get[VersionResponse](ctx, cl, VersionPath, nil)
}

func get[Rsp any](ctx context.Context, cl *Client, path string, query url.Values) (*Rsp, error) {
	rsp, err := bwhttp.Get[Rsp](ctx, cl.http, path, query)
	return rsp, typedError(err)
}

// typedError converts a problem document in a response to its error type.
func typedError(err error) error {
	var sts *bwhttp.StatusError
	if !errors.As(err, &sts) {
		return err
	}
	prob := &problem{}
	if json.Unmarshal(sts.Body, prob) != nil || prob.Status == 0 {
		return &ProblemError{Status: sts.Status, Title: "not a problem document", Detail: string(sts.Body)}
	}
	if len(prob.Faults) > 0 {
		return &bwsettings.Error{Faults: prob.Faults}
	}
	if prob.Type == conflictType {
		return &ConflictError{Head: prob.Head, Reason: prob.Detail}
	}
	return &ProblemError{Status: prob.Status, Title: prob.Title, Detail: prob.Detail}
}
