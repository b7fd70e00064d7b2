package bwtransport_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"bilberrywick/io/bwtransport"
)

// Guards against requests that are followed wrongly, so that sound responses fail: those
// on connections that were used before or are secured, and those of HTTP/2, which has
// framing of its own.
func TestSecureConnections(t *testing.T) {
	for _, http2 := range []bool{false, true} {
		srv := httptest.NewUnstartedServer(http.HandlerFunc(func(wrt http.ResponseWriter, req *http.Request) {
			_, _ = io.Copy(io.Discard, req.Body)
			ctl := http.NewResponseController(wrt)
			if req.URL.Path == "/framed" || http2 {
				_ = ctl.Flush()
				_, _ = io.WriteString(wrt, "whole")
			} else if conn, _, err := ctl.Hijack(); err == nil {
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nwhole")
				_ = conn.Close()
			}
		}))
		srv.EnableHTTP2 = http2
		srv.StartTLS()
		defer srv.Close()
		clt := &http.Client{Transport: bwtransport.New(bwtransport.Config{Base: srv.Client().Transport.(*http.Transport).Clone()})}
		for round := range 30 {
			path := []string{"/framed", "/framed", "/unframed"}[round%3]
			rsp, err := clt.Post(srv.URL+path, "", strings.NewReader(strings.Repeat("x", round<<13)))
			if err != nil {
				t.Fatal(err)
			}
			body, err := io.ReadAll(rsp.Body)
			if _ = rsp.Body.Close(); err != nil || string(body) != "whole" {
				t.Errorf("HTTP/2 %v, %s, round %d: body %q, error %v", http2, path, round, body, err)
			}
		}
	}
}
