package bwfakeserver

import (
	"net/http"
	"slices"
	"sync/atomic"
)

// Breaker sends broken responses in place of those of an http.Handler.
type Breaker struct {
	responses []Response
	sent      atomic.Int64
}

// NewBreaker returns a Breaker that sends each of InvalidStatuses and InvalidFieldNames in
// turn.
func NewBreaker() *Breaker {
	return &Breaker{responses: slices.Concat(InvalidStatuses(), InvalidFieldNames())}
}

// Respond sends the next broken response with a body and closes the connection. The
// handler must have read the request, and must not use wrt afterwards. If wrt does not
// support that, it panics with http.ErrAbortHandler, which closes the connection without a
// response.
func (brk *Breaker) Respond(wrt http.ResponseWriter, req *http.Request, body string) {
	conn, _, err := http.NewResponseController(wrt).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = conn.Close() }()
	number := brk.sent.Add(1) - 1
	rsp := brk.responses[number%int64(len(brk.responses))]
	rsp.Send(&Exchange{Request: req, Conn: conn}, Content{Fields: []string{"Content-Type: application/json"}, Body: body})
}
