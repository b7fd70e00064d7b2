package bwhttp

import (
	"net/http"
	"strconv"
	"time"
)

// Problem is a problem document of RFC 9457, extended by the outcome of the request.
type Problem struct {
	Type   string `json:"type,omitempty"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
	// Instance is the path at which the outcome can be requested later.
	Instance string  `json:"instance,omitempty"`
	Outcome  Outcome `json:"Outcome"`
	// RequestOutcome is NotRun when this request has run nothing, although an earlier
	// request with the same idempotency key may have.
	RequestOutcome Outcome `json:"RequestOutcome,omitempty"`
	// RetryAfter is sent as the Retry-After header, rounded up to whole seconds.
	RetryAfter time.Duration `json:"-"`
}

// Outcome states whether the requested work was done.
type Outcome string

// Outcomes of a request.
const (
	OutcomeDone    Outcome = "Done"
	OutcomeNotRun  Outcome = "NotRun"
	OutcomeUnknown Outcome = "Unknown"
)

// ProblemContentType is the content type of a Problem.
const ProblemContentType = "application/problem+json"

// WriteProblem writes a problem as the complete response.
func WriteProblem(wr http.ResponseWriter, prb Problem) { WriteProblemDocument(wr, &prb, &prb) }

// WriteProblemDocument writes doc, which embeds the problem and adds members of its
// own, as the complete response.
func WriteProblemDocument(wr http.ResponseWriter, prb *Problem, doc any) {
	if prb.Title == "" {
		prb.Title = http.StatusText(prb.Status)
	}
	hdr := wr.Header()
	hdr.Set("Content-Type", ProblemContentType)
	if prb.RetryAfter > 0 {
		secs := (prb.RetryAfter + time.Second - 1) / time.Second
		hdr.Set("Retry-After", strconv.FormatInt(int64(secs), 10))
	}
	data, err := EncodeJSON(doc)
	if err != nil {
		http.Error(wr, prb.Detail, prb.Status)
		return
	}
	wr.WriteHeader(prb.Status)
	// A failed write means that the caller has disconnected.
	_, _ = wr.Write(data)
}
