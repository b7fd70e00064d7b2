package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// channel is a client's channel, on which it writes the target as it is.
type channel struct {
	scr  *script
	gwp  *gatewayProcess
	conn net.Conn
	rdr  *bufio.Reader
}

func (scr *script) openChannel(gwp *gatewayProcess) (*channel, error) {
	conn, err := net.Dial("tcp4", gwp.callers)
	if err != nil {
		return nil, err
	}
	return &channel{scr: scr, gwp: gwp, conn: conn, rdr: bufio.NewReader(conn)}, nil
}

// send sends a request on the channel and waits for the whole answer.
func (chn *channel) send(rqt request) answer {
	ans := answer{id: fmt.Sprintf("%s-%06d", chn.gwp.name, requestCount.Add(1)), gateway: chn.gwp.name}
	var head strings.Builder
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nAuthorization: Token %s\r\nContent-Length: %d\r\n",
		rqt.method, rqt.path, host, ans.id, rqt.timeout.Milliseconds(), apiKey, len(rqt.body))
	for name, val := range rqt.header {
		fmt.Fprintf(&head, "%s: %s\r\n", name, val)
	}
	chn.scr.rec.printf("client sends %s to %s: %s %s", ans.id, chn.gwp.name, rqt.method, rqt.path)
	_ = chn.conn.SetDeadline(time.Now().Add(rqt.timeout))
	_, err := io.WriteString(chn.conn, head.String()+"\r\n"+rqt.body)
	var rsp *http.Response
	if err == nil {
		rsp, err = http.ReadResponse(chn.rdr, nil)
	}
	if err == nil {
		var data []byte
		data, err = io.ReadAll(rsp.Body)
		ans.status, ans.signature, ans.body = rsp.StatusCode, rsp.Header.Get("X-Server-Signature"), string(data)
	}
	ans.err = err
	chn.scr.rec.printf("client gets %d for %s, signature %q, %d bytes, error %v", ans.status, ans.id, ans.signature, len(ans.body), err)
	return ans
}
