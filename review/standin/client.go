package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// apiKey is the key of the only tenant.
const apiKey = "n2ctnfzs989anu6wsjnb"

// answer is what a client got for a request.
type answer struct {
	id, gateway string
	status      int
	signature   string
	body        string
	err         error
}

var requestCount atomic.Int64

// request is one attempt of a client.
type request struct {
	method, path string
	timeout      time.Duration
	header       map[string]string
	body         string
}

// send sends a request to a gateway on a new channel and waits for the whole answer.
func (scr *script) send(gwp *gatewayProcess, rqt request) answer {
	ans := answer{id: fmt.Sprintf("%s-%06d", gwp.name, requestCount.Add(1)), gateway: gwp.name}
	ctx, cancel := context.WithTimeout(context.Background(), rqt.timeout)
	defer cancel()
	var body io.Reader
	if rqt.body != "" {
		body = strings.NewReader(rqt.body)
	}
	req, err := http.NewRequestWithContext(ctx, rqt.method, "http://"+gwp.callers+"/", body)
	if err != nil {
		ans.err = err
		return ans
	}
	req.URL.Opaque = rqt.path
	req.Host = "ficu95.example"
	req.Header.Set("X-Request-Id", ans.id)
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(rqt.timeout.Milliseconds()))
	req.Header.Set("Authorization", "Token "+apiKey)
	for name, val := range rqt.header {
		req.Header.Set(name, val)
	}
	scr.rec.printf("client sends %s to %s: %s %s", ans.id, gwp.name, rqt.method, rqt.path)
	rsp, err := scr.client.Do(req)
	if err == nil {
		var data []byte
		data, err = io.ReadAll(rsp.Body)
		_ = rsp.Body.Close()
		ans.status, ans.signature, ans.body = rsp.StatusCode, rsp.Header.Get("X-Server-Signature"), string(data)
	}
	ans.err = err
	scr.rec.printf("client gets %d for %s, signature %q, %d bytes, error %v", ans.status, ans.id, ans.signature, len(ans.body), err)
	return ans
}

func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
}
