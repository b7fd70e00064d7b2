package bwgateway_test

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"bilberrywick/core/bwforward"
	"bilberrywick/io/bwgateway"
)

// scriptedResponse is a response that an upstream's script sends.
type scriptedResponse struct {
	name string
	send func(*attempt)
	// duringUpload is set if the request has a body of uploadBytes that is not read. It is
	// sent uploadTries times: either the writer or the reader gets the error of a reset.
	duringUpload bool
}

const (
	// uploadBytes exceeds what the sockets buffer of an upload that is not read.
	uploadBytes = 12 << 20
	uploadTries = 6
)

// rejectionCase has what happens to a request whose response is rejected: one that may run
// once is failed and not sent again, others go to another upstream.
type rejectionCase struct {
	name, path string
	// begun is set if another upstream has sent the first events.
	begun, resumable bool
	status, requests int
}

var (
	rejectionCases = []rejectionCase{
		{"lookup", "/safe/", false, true, http.StatusOK, 2},
		{"action", "/action/", false, true, http.StatusBadGateway, 1},
		{"stream", "/stream/", false, true, http.StatusOK, 2},
		{"resumed stream", "/stream/", true, true, http.StatusOK, 2},
		{"stream that can't be resumed", "/stream/", false, false, http.StatusBadGateway, 1},
	}
	// bodyRejections are for responses that are rejected after events were passed on.
	bodyRejections   = rejectionCases[:4]
	resumedRejection = rejectionCases[3:4]
)

// checkRejected checks that no caller gets the responses, and what happens to the requests
// that they answer.
func checkRejected(t *testing.T, cases []rejectionCase, responses []scriptedResponse) {
	t.Helper()
	for _, tt := range cases {
		for _, scripted := range responses {
			t.Run(tt.name+", "+scripted.name, func(t *testing.T) {
				path, body, timeout, tries := tt.path+"x", "body", "3000", 1
				want := "whole"
				if tt.path == "/stream/" {
					want = expectedBody(1)
				}
				opts := []gatewayOption{func(_ *bwgateway.Config, cfg *bwforward.RoutingTableConfig) { cfg.Routes[2].Resumable = tt.resumable }}
				if scripted.duringUpload {
					path, body, timeout, tries = tt.path+"unread", strings.Repeat("x", uploadBytes), "20000", uploadTries
					opts = append(opts, withUploads)
				}
				for range tries {
					var requests atomic.Int64
					script := func(att *attempt) {
						if requests.Add(1) == 1 {
							scripted.send(att)
							return
						}
						respondStreamOrWhole(att)
					}
					engines := []*fakeEngine{newFakeEngine(t, "e2", script), newFakeEngine(t, "e3", script)}
					if tt.begun {
						engines = append(engines, newFakeEngine(t, "e1", sendUpTo(3, func(*attempt) {})))
					}
					rsp := newGateway(t, engines, opts...).do(http.MethodPost, path, body, timeoutHeader, timeout)
					isSound := rsp.status != http.StatusOK || rsp.header.Get(signatureHeader) == "s1" && rsp.body == want
					if rsp.status != tt.status || rsp.err != nil || !isSound {
						t.Errorf("status %d, error %v, body %.200q; want status %d", rsp.status, rsp.err, rsp.body, tt.status)
					}
					if requests.Load() != int64(tt.requests) || engines[0].count() > 1 || engines[1].count() > 1 {
						t.Errorf("%d and %d requests reached the upstreams, want %d in all", engines[0].count(), engines[1].count(), tt.requests)
					}
				}
			})
		}
	}
}

// withUploads allows bodies of uploadBytes.
func withUploads(_ *bwgateway.Config, cfg *bwforward.RoutingTableConfig) {
	cfg.Limits.Body = 2 * uploadBytes
	for ix := range cfg.Routes {
		cfg.Routes[ix].Timeout = time.Minute
	}
}

// sendBody sends a head, further lines within it, and a sound body in chunks: the remaining
// events, or four bytes. The lines of the trailer follow.
func sendBody(before, status, trailer string, lines ...string) func(*attempt) {
	return func(att *attempt) {
		att.send(before)
		att.sendHeader(status, append(lines, "Transfer-Encoding: chunked")...)
		if strings.HasPrefix(att.req.RequestURI, "/stream/") {
			for id := att.resumeAfter() + 1; id <= lastEventID; id++ {
				att.event(id)
			}
		} else {
			att.chunk("evil")
		}
		att.send("0\r\n" + trailer + "\r\n")
	}
}

// Guards against a status that no response may have and that reaches a caller.
func TestInvalidStatus(t *testing.T) {
	var responses []scriptedResponse
	for _, status := range []string{"000", "099", "600", "999", "+20", "-20", "20", "2000", "2x0"} {
		for _, before := range []string{"", "HTTP/1.1 103 Early Hints\r\n\r\n"} {
			responses = append(responses, scriptedResponse{name: before + status, send: sendBody(before, status+" Status", "")})
		}
	}
	checkRejected(t, rejectionCases, responses)
}

// Guards against responses that reach a caller although the name of a field is invalid:
// other programs take such a line for something else, such as the length of the body.
func TestInvalidFieldName(t *testing.T) {
	responses := []scriptedResponse{{name: "length", send: func(att *attempt) {
		att.sendHeader("200 OK", "Content-Length : 4")
		att.send("evil and more")
	}}}
	var trailers []scriptedResponse
	for _, line := range []string{"X Odd: 1", "X-Odd : 1", "X\tOdd: 1", "X-Odd\t: 1", "X-\x01Odd: 1", "X-Odd\x00: 1", "X-\x7fOdd: 1", "X-\x80Odd: 1", ": 1", "X(Odd): 1"} {
		name := fmt.Sprintf("%q", line)
		responses = append(
			responses,
			scriptedResponse{name: name, send: sendBody("", "200 OK", "", line)},
			scriptedResponse{name: name + " in a failure", send: sendBody("", "404 Not Found", "", line)},
			scriptedResponse{name: name + " in an informational response", send: sendBody("HTTP/1.1 103 Early Hints\r\n"+line+"\r\n\r\n", "200 OK", "")},
		)
		trailers = append(trailers, scriptedResponse{name: name + " in a trailer", send: sendBody("", "200 OK", line+"\r\n")})
	}
	checkRejected(t, rejectionCases, responses)
	checkRejected(t, bodyRejections, trailers)
}

// Guards against callers of lookups that get a broken response, or none, although a sound
// upstream stands beside the one that breaks all of its responses.
func TestLookupsBesideInvalidFieldNames(t *testing.T) {
	const lookups = 40
	first, second := newFakeEngine(t, "e1", sendBody("", "200 OK", "", "X Odd: 1")), newFakeEngine(t, "e2", respondOK)
	mtr := bwgateway.NewMetrics()
	tg := newGateway(t, []*fakeEngine{first, second}, func(cfg *bwgateway.Config, _ *bwforward.RoutingTableConfig) { cfg.Metrics = mtr })
	served := 0
	for range lookups {
		if rsp := tg.do(http.MethodPost, "/safe/x", ""); rsp.status == http.StatusOK && rsp.body == "whole" {
			served++
		}
	}
	rec := httptest.NewRecorder()
	mtr.ServeHTTP(rec, nil)
	counted := fmt.Sprintf(`invalid_responses_total{reason="invalid field name"} %d`, first.count())
	if served < lookups || first.count() == 0 || !strings.Contains(rec.Body.String(), counted) {
		t.Errorf("%d of %d lookups were served, %d came to the broken upstream", served, lookups, first.count())
	}
}

// Guards against a part of a response that reaches the caller as a complete one, since the
// upstream broke off while the request was still written: the end of the connection then
// looks like the end of the body.
func TestUnframedResponseDuringUpload(t *testing.T) {
	ends := map[string]func(*attempt){
		"reset":              (*attempt).reset,
		"closed":             func(att *attempt) { _ = att.conn.Close() },
		"closed for writing": func(att *attempt) { _ = att.conn.(*net.TCPConn).CloseWrite() },
	}
	var responses []scriptedResponse
	for name, end := range ends {
		// The pause lets the upload fill the sockets.
		for _, pause := range []time.Duration{0, 30 * time.Millisecond} {
			responses = append(responses, scriptedResponse{name: fmt.Sprintf("%s after %v", name, pause), duringUpload: true, send: func(att *attempt) {
				att.sendHeader("200 OK")
				for id := 1; id <= 3; id++ {
					att.send(fmt.Sprintf("id: %d\ndata: piece %d\n\n", id, id))
				}
				time.Sleep(pause)
				end(att)
				time.Sleep(pause)
			}})
		}
	}
	checkRejected(t, bodyRejections, responses)
}
