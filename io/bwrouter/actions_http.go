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
	"bilberrywick/io/bwtransport"
	"bilberrywick/io/bwwire"

	"github.com/gorilla/mux"
)

var (
	errNoClock         = errors.New("no agent's clock is known")
	errUpstreamRemoved = errors.New("the upstream has been removed")
)

// defaultRetryAfter is the Retry-After of an action whose outcome is unknown.
const defaultRetryAfter = time.Second

// parsedAction is an action parsed from a caller's request.
type parsedAction struct {
	req bwaction.Request
	svc bwmodel.Service
	// denied is why the team may not run the action now; an earlier request with
	// the same key may have run it.
	denied *bwaction.NotRunError
}

// parse reads an action, or returns the problem to send when the request is not valid.
func (act *Actions) parse(wr http.ResponseWriter, hrq *http.Request) (parsedAction, *bwhttp.Problem) {
	team, ok := bwhttp.TeamFromContext(hrq.Context())
	if !ok {
		return parsedAction{}, unauthorizedProblem()
	}
	name := hrq.Header.Get(idempotencyHeader)
	if !validKey(name) {
		return parsedAction{}, invalidProblem("header %s must have 1 to %d printable ASCII characters", idempotencyHeader, maxKeyLength)
	}
	target, prb := upstreamPath(hrq, "actions")
	if prb != nil {
		return parsedAction{}, prb
	}
	body, err := io.ReadAll(http.MaxBytesReader(wr, hrq.Body, act.cfg.MaxBodyBytes))
	if err != nil {
		prb := invalidProblem("body: %v", err)
		if lim := new(http.MaxBytesError); errors.As(err, &lim) {
			prb.Status = http.StatusRequestEntityTooLarge
		}
		return parsedAction{}, prb
	}
	svc, denied := authorizeService(hrq, team, act.cfg.Service)
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
	return parsedAction{req: req, svc: svc, denied: denied}, nil
}

// authorizeService finds the plain service that the request names, or returns why the
// team can't use it.
func authorizeService(hrq *http.Request, team bwmodel.Team, find func(bwmodel.ServiceID) (bwmodel.Service, bool)) (bwmodel.Service, *bwaction.NotRunError) {
	svc, ok := find(bwmodel.ServiceID(mux.Vars(hrq)["service"]))
	if !ok || svc.Kind != bwmodel.PlainService {
		return svc, &bwaction.NotRunError{Reason: bwaction.NoService}
	}
	if !team.MayCall(svc.Name) {
		return svc, &bwaction.NotRunError{Reason: bwaction.NotAllowed}
	}
	return svc, nil
}

func unauthorizedProblem() *bwhttp.Problem {
	return &bwhttp.Problem{
		Status:  http.StatusUnauthorized,
		Detail:  "no valid team key",
		Outcome: bwhttp.OutcomeNotRun,
	}
}

// upstreamPath returns the path and query after the service's name and the kind
// of request, with the caller's escaping.
func upstreamPath(hrq *http.Request, kind string) (string, *bwhttp.Problem) {
	_, rest, found := strings.Cut(hrq.URL.EscapedPath(), "/"+kind+"/")
	if !found {
		return "", invalidProblem("path has no /%s/", kind)
	}
	rest = "/" + rest
	plain, err := url.PathUnescape(rest)
	// An upstream that resolves dot segments could run a different path than the one checked here.
	if err != nil || path.Clean(plain) != strings.TrimSuffix(plain, "/") && plain != "/" {
		return "", invalidProblem("path %q is not in its shortest form", rest)
	}
	if hrq.URL.RawQuery != "" {
		rest += "?" + hrq.URL.RawQuery
	}
	return rest, nil
}

func invalidProblem(format string, args ...any) *bwhttp.Problem {
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

func notAdmittedError(err error) *bwaction.NotRunError {
	not := &bwaction.NotRunError{Reason: bwaction.NotAdmitted, Err: err}
	ref := new(bwadmit.RefusedError)
	if errors.As(err, &ref) {
		not.RetryAfter = ref.RetryAfter
	}
	return not
}

// agentError converts an agent's refusal to a bwaction.RefusedError. After any
// other error the agent may have received the request.
func agentError(err error) error {
	refusal, known := refusalByCode[bwrpc.CodeOf(err)]
	if !known {
		return err
	}
	return &bwaction.RefusedError{Refusal: refusal, Err: err}
}

var refusalByCode = map[bwrpc.Code]bwaction.Refusal{
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

// writeResult logs the error, counts the outcome and sends it as the complete response.
// Errors are only logged, since they contain addresses of the platform.
func (act *Actions) writeResult(wr http.ResponseWriter, svc bwmodel.ServiceID, key bwaction.Key, res bwaction.Result, err error) {
	if err == nil {
		// Agents and stored results of earlier versions may have an invalid status.
		if cause := bwtransport.CheckStatus(res.Response.Status); cause != nil {
			err = &bwaction.UnknownOutcomeError{Reason: bwaction.UpstreamFailed, Err: cause}
		}
	}
	if err != nil {
		act.cfg.Log.Warn("action not completed", "Team", key.Team, "Key", key.Name, "Error", err)
	}
	// A query for an outcome has no service and does not count as an action.
	if svc != "" {
		act.cfg.Metrics.Actions.With(string(svc), string(outcomeOf(err))).Inc()
	}
	writeOutcome(wr, key, res, err)
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

// writeOutcome sends an outcome as the complete response.
func writeOutcome(wr http.ResponseWriter, key bwaction.Key, res bwaction.Result, err error) {
	if err == nil {
		hdr := wr.Header()
		hdr.Set(outcomeHeader, string(bwhttp.OutcomeDone))
		if res.Replayed {
			hdr.Set(repeatHeader, "true")
		}
		writeResponse(wr, res.Response)
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
		RetryAfter: defaultRetryAfter,
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

func zeroStateNumber() bwmodel.TicketNumber { return 0 }
