package bwfakeserver

import (
	"fmt"
	"net/netip"
	"strings"
)

// Operation is an operation of an HTTP client.
type Operation struct {
	Name string
	// Content is that of a sound response.
	Content Content
	// Part is a body that is not complete; it is needed if Content.Body proves its own end.
	Part string
	// Path is the path of the request that gets the response that is played; others get a
	// sound one. If it is empty, the operation must send one request only.
	Path string
	// Uploads and HeadOnly mean that the request has a payload, and that the body of the
	// response is not used.
	Uploads, HeadOnly bool
	// Send runs the operation with a payload in its request. It must end by itself.
	Send func(addr netip.AddrPort, payload string) error
	// Failed reports whether an error is one that is expected after a broken response.
	Failed func(error) bool
}

// Play runs each operation against a server with each of the responses, as often as these
// demand, and returns a text for each outcome that is not as expected: an error after a
// sound response, another error or none after a broken one, or a repeated request.
func Play(operations []Operation, responses []Response) []string {
	var problems []string
	for _, rsp := range responses {
		for _, opr := range operations {
			if rsp.InBody && opr.HeadOnly || rsp.Tries > 0 && !opr.Uploads {
				continue
			}
			for range max(rsp.Tries, 1) {
				requests, err := opr.play(rsp)
				expected := opr.Failed(err)
				if rsp.Sound {
					expected = err == nil
				}
				if !expected || opr.Path == "" && requests != 1 {
					problems = append(problems, fmt.Sprintf("%s, %s: error %v after %d requests", opr.Name, rsp.Name, err, requests))
				}
			}
		}
	}
	return problems
}

// play runs an operation once, and returns the number of requests and the error of the
// operation or of the listener.
func (opr Operation) play(rsp Response) (int, error) {
	srv, err := Start(Config{Respond: func(exc *Exchange) { opr.respond(exc, rsp) }})
	if err != nil {
		return 0, err
	}
	defer srv.Close()
	err = opr.Send(srv.Address(), strings.Repeat("x", max(rsp.Upload, 1)))
	return srv.Requests(), err
}

func (opr Operation) respond(exc *Exchange, rsp Response) {
	cnt := opr.Content
	switch {
	case opr.Path != "" && exc.Request.URL.Path != opr.Path:
		exc.ReadBody()
		exc.sendFramed("200 OK", cnt)
		return
	case rsp.InBody && opr.Part != "":
		cnt.Body = opr.Part
	}
	rsp.Send(exc, cnt)
}
