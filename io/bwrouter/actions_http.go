package bwrouter

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"path"
	"strings"
	"time"

	"bilberrywick/core/bwaction"
	"bilberrywick/core/bwadmit"
	"bilberrywick/core/bwmodel"
	"bilberrywick/io/bwhttp"
	"bilberrywick/io/bwrpc"
	"bilberrywick/io/bwwire"

	"github.com/gorilla/mux"
)

var (
	errNoClock    = errors.New("no agent's clock is known")
	errNoUpstream = errors.New("the upstream has been removed")
)

// retryAfter is the advice for work that was refused for lack of an upstream.
const retryAfter = time.Second

// parsedAction is an action as the caller sent it.
type parsedAction struct {
	req bwaction.Request
	svc bwmodel.Service
	// barred says why the team may not run it now; an earlier request may have.
	barred *bwaction.NotRunError
}

// parse reads an action, or returns the problem to send when it can't be one.
func (act *Actions) parse(wr http.ResponseWriter, hrq *http.Request) (parsedAction, *bwhttp.Problem) {
	team, ok := bwhttp.TeamFromContext(hrq.Context())
	if !ok {
		return parsedAction{}, unauthorized()
	}
	name := hrq.Header.Get(idempotencyHeader)
	if !validKey(name) {
		return parsedAction{}, invalid("header %s must have 1 to %d printable ASCII characters", idempotencyHeader, maxKeyLength)
	}
	target, prb := upstreamPath(hrq, "actions")
	if prb != nil {
		return parsedAction{}, prb
	}
	body, err := io.ReadAll(http.MaxBytesReader(wr, hrq.Body, act.cfg.MaxBodyBytes))
	if err != nil {
		prb := invalid("body: %v", err)
		if lim := new(http.MaxBytesError); errors.As(err, &lim) {
			prb.Status = http.StatusRequestEntityTooLarge
		}
		return parsedAction{}, prb
	}
	svc, barred := access(hrq, team, act.cfg.Service)
	req := bwaction.Request{
		ID:      act.cfg.Coordinator.NewAttempt(),
		Key:     bwaction.Key{Team: team.Name, Name: name},
		Service: bwmodel.ServiceID(mux.Vars(hrq)["service"]),
		HTTP: bwmodel.HTTPRequest{
			Method:      hrq.Method,
			Path:        target,
			ContentType: hrq.Header.Get("Content-Type"),
			Body:        body,
		},
	}
	return parsedAction{req: req, svc: svc, barred: barred}, nil
}

// access finds the plain service that the caller asks for, or says why the team
// can't use it.
func access(hrq *http.Request, team bwmodel.Team, find func(bwmodel.ServiceID) (bwmodel.Service, bool)) (bwmodel.Service, *bwaction.NotRunError) {
	svc, ok := find(bwmodel.ServiceID(mux.Vars(hrq)["service"]))
	if !ok || svc.Kind != bwmodel.PlainService {
		return svc, &bwaction.NotRunError{Reason: bwaction.NoService}
	}
	if !team.MayCall(svc.Name) {
		return svc, &bwaction.NotRunError{Reason: bwaction.NotAllowed}
	}
	return svc, nil
}

func unauthorized() *bwhttp.Problem {
	return &bwhttp.Problem{
		Status:  http.StatusUnauthorized,
		Detail:  "no valid team key",
		Outcome: bwhttp.OutcomeNotRun,
	}
}

// upstreamPath returns the path and query after the service's name and the kind
// of request, as the caller wrote them.
func upstreamPath(hrq *http.Request, kind string) (string, *bwhttp.Problem) {
	_, rest, found := strings.Cut(hrq.URL.EscapedPath(), "/"+kind+"/")
	if !found {
		return "", invalid("path has no /%s/", kind)
	}
	rest = "/" + rest
	plain, err := url.PathUnescape(rest)
	// An upstream that resolves dots could run another path than the one checked here.
	if err != nil || path.Clean(plain) != strings.TrimSuffix(plain, "/") && plain != "/" {
		return "", invalid("path %q is not in its shortest form", rest)
	}
	if hrq.URL.RawQuery != "" {
		rest += "?" + hrq.URL.RawQuery
	}
	return rest, nil
}

func invalid(format string, args ...any) *bwhttp.Problem {
	return &bwhttp.Problem{
		Status:  http.StatusBadRequest,
		Detail:  fmt.Sprintf(format, args...),
		Outcome: bwhttp.OutcomeNotRun,
	}
}

func validKey(name string) bool {
	if name == "" || len(name) > maxKeyLength {
		return false
	}
	for ix := range len(name) {
		if name[ix] <= ' ' || name[ix] > '~' {
			return false
		}
	}
	return true
}

func notAdmitted(err error) *bwaction.NotRunError {
	not := &bwaction.NotRunError{Reason: bwaction.NotAdmitted, Err: err}
	ref := new(bwadmit.RefusedError)
	if errors.As(err, &ref) {
		not.RetryAfter = ref.RetryAfter
	}
	return not
}

// agentError turns an agent's refusal into the form that the coordinator reads;
// any other error means that the agent may have the request.
func agentError(err error) error {
	refusal, known := refusals[bwrpc.CodeOf(err)]
	if !known {
		return err
	}
	return &bwaction.RefusedError{Refusal: refusal, Err: err}
}

var refusals = map[bwrpc.Code]bwaction.Refusal{
	bwrpc.Unreachable:          bwaction.RefusedUnsent,
	bwwire.UpstreamUnreachable: bwaction.RefusedUnsent,
	bwwire.Leaving:             bwaction.RefusedLeaving,
	bwwire.Overloaded:          bwaction.RefusedOverloaded,
	bwwire.Stale:               bwaction.RefusedStale,
	bwwire.Expired:             bwaction.RefusedExpired,
	bwwire.OtherIncarnation:    bwaction.RefusedIncarnation,
	bwwire.Duplicate:           bwaction.RefusedDuplicate,
	bwwire.Invalid:             bwaction.RefusedInvalid,
}

// answer logs and counts what went wrong and sends an action's outcome as the whole
// response. Causes stay in the log: they name addresses of the platform.
func (act *Actions) answer(wr http.ResponseWriter, svc bwmodel.ServiceID, key bwaction.Key, done bwaction.Result, err error) {
	if err != nil {
		act.cfg.Log.Warn("action not done", "Team", key.Team, "Key", key.Name, "Error", err)
	}
	// A query of an outcome names no service and is no action.
	if svc != "" {
		act.cfg.Metrics.Actions.With(string(svc), string(outcomeOf(err))).Inc()
	}
	writeOutcome(wr, key, done, err)
}

func outcomeOf(err error) bwhttp.Outcome {
	not := new(bwaction.NotRunError)
	switch {
	case err == nil:
		return bwhttp.OutcomeDone
	case errors.As(err, &not):
		return bwhttp.OutcomeNotRun
	}
	return bwhttp.OutcomeUnknown
}

// writeOutcome sends an outcome as the whole response.
func writeOutcome(wr http.ResponseWriter, key bwaction.Key, done bwaction.Result, err error) {
	if err == nil {
		hdr := wr.Header()
		hdr.Set(outcomeHeader, string(bwhttp.OutcomeDone))
		if done.Replayed {
			hdr.Set(repeatHeader, "true")
		}
		writeResponse(wr, done.Response)
		return
	}
	not := new(bwaction.NotRunError)
	if errors.As(err, &not) {
		bwhttp.WriteProblem(wr, bwhttp.Problem{
			Status:     notRunStatus[not.Reason],
			Detail:     string(not.Reason),
			Outcome:    bwhttp.OutcomeNotRun,
			RetryAfter: not.RetryAfter,
		})
		return
	}
	prb := bwhttp.Problem{
		Status:     http.StatusBadGateway,
		Instance:   actionsPath + url.PathEscape(key.Name),
		Outcome:    bwhttp.OutcomeUnknown,
		RetryAfter: retryAfter,
	}
	unk := new(bwaction.UnknownOutcomeError)
	if errors.As(err, &unk) {
		prb.Detail = string(unk.Reason)
		if unk.RequestNotRun {
			prb.RequestOutcome = bwhttp.OutcomeNotRun
		}
		if status, ok := unknownStatus[unk.Reason]; ok {
			prb.Status = status
		}
	}
	bwhttp.WriteProblem(wr, prb)
}

var notRunStatus = map[bwaction.NotRunReason]int{
	bwaction.NoUpstream:   http.StatusServiceUnavailable,
	bwaction.NotReserved:  http.StatusServiceUnavailable,
	bwaction.NotAdmitted:  http.StatusTooManyRequests,
	bwaction.NoService:    http.StatusNotFound,
	bwaction.NotAllowed:   http.StatusForbidden,
	bwaction.NeverStarted: http.StatusNotFound,
	bwaction.KeyReused:    http.StatusUnprocessableEntity,
}

var unknownStatus = map[bwaction.UnknownOutcomeReason]int{
	bwaction.StillRunning:     http.StatusConflict,
	bwaction.InProgress:       http.StatusConflict,
	bwaction.TableUnavailable: http.StatusServiceUnavailable,
}

func writeResponse(wr http.ResponseWriter, rsp bwmodel.HTTPResponse) {
	if rsp.ContentType != "" {
		wr.Header().Set("Content-Type", rsp.ContentType)
	}
	wr.WriteHeader(rsp.Status)
	_, _ = wr.Write(rsp.Body)
}

func noState() bwmodel.TicketNumber { return 0 }
