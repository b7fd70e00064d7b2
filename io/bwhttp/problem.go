package bwhttp

import (
	"net/http"
	"strconv"
	"time"
)

// Problem is an error in the form of RFC 9457 with the outcome of the request.
type Problem struct {
	Type   string `json:"type,omitempty"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
	// Instance is where the outcome can be asked for later.
	Instance string  `json:"instance,omitempty"`
	Outcome  Outcome `json:"Outcome"`
	// RequestOutcome is NotRun when this request has run nothing although an
	// earlier request with the same key may have.
	RequestOutcome Outcome `json:"RequestOutcome,omitempty"`
	// RetryAfter is sent as a header, in whole seconds.
	RetryAfter time.Duration `json:"-"`
}

// Outcome says what became of the work that a caller asked for.
type Outcome string

// Outcomes of a request.
const (
	OutcomeDone    Outcome = "Done"
	OutcomeNotRun  Outcome = "NotRun"
	OutcomeUnknown Outcome = "Unknown"
)

// ProblemContentType is the media type of a Problem.
const ProblemContentType = "application/problem+json"

// WriteProblem sends a problem as the whole response.
func WriteProblem(wr http.ResponseWriter, prb Problem) { WriteProblemDocument(wr, &prb, &prb) }

// WriteProblemDocument sends a document that embeds the problem and has members
// of its own as the whole response.
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
	// A failed write means that the caller has gone.
	_, _ = wr.Write(data)
}
