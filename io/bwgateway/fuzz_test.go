package bwgateway_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	"bilberrywick/core/bwforward"
	"bilberrywick/io/bwgateway"
	"bilberrywick/io/bwsettings"
)

// FuzzUpstreamResponse guards against response bytes that crash the process, and
// against responses that reach a caller as complete although the upstream did not
// finish them, or with truncated, repeated or missing events.
func FuzzUpstreamResponse(f *testing.F) {
	const header = "HTTP/1.1 200 OK\r\n" + requestHeader + ": r1\r\n"
	for _, text := range []string{
		header + "Content-Length: 5\r\n\r\nwhole",
		header + "Content-Length: 9\r\n\r\nwhole",
		header + "\r\nwhole",
		header + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
		header + "Transfer-Encoding: chunked\r\n\r\n1b\r\nid: 1\ndata: a\n\nid: 2\ndata:\n\n\r\n0\r\n\r\n",
		header + "Transfer-Encoding: chunked\r\n\r\n10\r\nid: 1\r\ndata: a\n\n\r\n",
		header + "Content-Length: 18\r\n\r\nid: 2\nid: 1\n\nid:3\n\n",
		"HTTP/1.1 100 Continue\r\n\r\n" + header + "Content-Length: 0\r\n\r\n",
		"HTTP/1.1 503 Service Unavailable\r\n" + notRunHeader + ": 1\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 500 Oops\r\nContent-Length: 2\r\n\r\nno",
		"HTTP/1.1 204 No Content\r\n\r\n",
		"garbage",
	} {
		f.Add([]byte(text), true)
		f.Add([]byte(text), false)
	}
	f.Fuzz(checkResponse)
}

// checkResponse sends a request through a gateway to an upstream that responds
// with the bytes. It uses no sockets, since many inputs per second would
// exhaust the ports.
func checkResponse(t *testing.T, data []byte, stream bool) {
	path, reader := "/action/x", strings.NewReader(string(data))
	if stream {
		path = "/stream/x"
	}
	up := bwforward.Upstream{ID: "e1", Service: "svc", Zone: "zone-e1", Slots: 8, Address: netip.MustParseAddrPort("192.0.2.1:80")}
	pool := bwforward.NewPool(bwforward.PoolConfig{Zone: up.Zone})
	pool.Update([]bwforward.Upstream{up})
	tbl := bwforward.NewRoutingTable(bwforward.RoutingTableConfig{
		Routes:   []bwforward.Route{route("/action/", bwforward.AtMostOnce, 3), route("/stream/", bwforward.EventStream, 5)},
		Services: []bwforward.Service{{Name: "svc", Model: &bwforward.Model{Memory: 1 << 20}}},
		Teams:    []bwforward.Team{{Name: "alpha", Keys: []string{"k1"}}},
	})
	gw, err := bwgateway.New(bwgateway.Config{
		Dialect: dialect(),
		Pool:    pool,
		Budgets: bwforward.NewRetryBudgets(bwforward.RetryBudgetsConfig{Share: 0.8, Slack: 150}),
		Table:   func() *bwforward.RoutingTable { return tbl },
		Dial:    func(context.Context, netip.AddrPort) (net.Conn, error) { return newResponseConn(data), nil },
	})
	if err != nil {
		t.Fatal(err)
	}
	req := httptest.NewRequestWithContext(t.Context(), http.MethodPost, path, strings.NewReader("prompt"))
	req.Host = "127.0.0.1"
	for name, val := range map[string]string{requestHeader: "r1", "Key": "k1", timeoutHeader: "60"} {
		req.Header.Set(name, val)
	}
	rec := httptest.NewRecorder()
	complete := serve(gw, rec, req)
	if rec.Code != http.StatusOK {
		return
	}
	if stream {
		checkEvents(t, rec.Body.String())
		return
	}
	want, err := http.ReadResponse(bufio.NewReader(reader), &http.Request{Method: http.MethodPost})
	if err != nil {
		t.Fatalf("an unreadable response was forwarded as %q", rec.Body)
	}
	body, err := io.ReadAll(want.Body)
	if complete && (err != nil || string(body) != rec.Body.String()) {
		t.Errorf("got %q as complete, upstream sent %q with error %v", rec.Body, body, err)
	}
}

// serve reports whether the gateway ended its response without aborting it.
func serve(gw *bwgateway.Gateway, rec *httptest.ResponseRecorder, req *http.Request) (complete bool) {
	defer func() {
		val := recover()
		if err, ok := val.(error); val != nil && (!ok || !errors.Is(err, http.ErrAbortHandler)) {
			panic(val)
		}
	}()
	gw.ServeHTTP(rec, req)
	return true
}

// newResponseConn returns a connection to an upstream that sends the bytes and
// closes it.
func newResponseConn(data []byte) net.Conn {
	near, far := net.Pipe()
	snd := &byteSender{conn: far, data: data}
	go snd.run()
	return near
}

type byteSender struct {
	conn net.Conn
	data []byte
}

func (snd *byteSender) run() {
	defer func() { _ = snd.conn.Close() }()
	// A probe connects without a request.
	if _, err := http.ReadRequest(bufio.NewReader(snd.conn)); err == nil {
		_, _ = snd.conn.Write(snd.data)
	}
}

// FuzzSettings guards against a settings file that crashes the process, and
// against one that is accepted with a number out of range.
func FuzzSettings(f *testing.F) {
	f.Add([]byte(`{"Member":"g1","Zone":"z1","Callers":"127.0.0.1:1","Status":"127.0.0.1:2","Peers":"127.0.0.1:3","Store":"127.0.0.1:4"}`))
	f.Add([]byte(`{"Member":"g1","Zone":"z1","Callers":"[::1]:1","Status":"127.0.0.1:2","Peers":"127.0.0.1:3","Store":"127.0.0.1:4","RetryShare":-1}`))
	f.Add([]byte(`{"Member":"g1","Zone":"z1","Callers":"127.0.0.1:1","Status":"127.0.0.1:2","Peers":"127.0.0.1:3","Store":"127.0.0.1:4","MemoryLimit":-5}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		sts, err := bwsettings.Decode[bwgateway.Settings](data)
		if (sts == nil) == (err == nil) {
			t.Fatalf("settings %v and error %v", sts, err)
		}
		if err == nil && (sts.RetryShare < 0 || sts.RetrySlack < 0 || sts.MemoryLimit <= 0 || sts.GraceTime <= 0 || sts.LeaveTime <= 0) {
			t.Errorf("accepted %+v", sts)
		}
	})
}

// checkEvents reports a truncated last event, and event IDs that do not count
// up from 1.
func checkEvents(t *testing.T, body string) {
	t.Helper()
	if body != "" && !strings.HasSuffix(body, "\n\n") && !strings.HasSuffix(body, "\n\r\n") {
		t.Errorf("last event is truncated: %q", body)
	}
	next := 1
	rdr := bufio.NewReader(strings.NewReader(body))
	id := ""
	for {
		line, err := rdr.ReadString('\n')
		if err != nil {
			return
		}
		field := strings.TrimRight(line, "\r\n")
		if val, ok := strings.CutPrefix(field, "id:"); ok {
			id = strings.TrimSpace(val)
		}
		if field == "" {
			if strings.TrimLeft(id, "0") != fmt.Sprint(next) {
				t.Errorf("event %d has ID %q in %q", next, id, body)
			}
			next++
		}
	}
}
