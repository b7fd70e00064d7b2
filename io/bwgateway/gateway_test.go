package bwgateway_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"bilberrywick/core/bwforward"
	"bilberrywick/core/bwmodel"
	"bilberrywick/io/bwgateway"
)

// Headers of the tests' own dialect.
const (
	requestHeader = "Test-Request"
	notRunHeader  = "Test-Not-Run"
	otherHeader   = "Test-Other"
	leftHeader    = "Test-Left"
	copyToHeader  = "Test-Copy-To"
	copyHeader    = "Test-Copy"
	lastHeader    = "Last-Event-Id"
	retryHeader   = "Retry-After"
)

func dialect() bwgateway.Dialect {
	return bwgateway.Dialect{
		ParseRequest: func(hdr http.Header) bwgateway.RequestInfo {
			ms, _ := strconv.Atoi(hdr.Get(leftHeader))
			return bwgateway.RequestInfo{
				RequestID:   hdr.Get(requestHeader),
				Key:         hdr.Get("Key"),
				Timeout:     time.Duration(ms) * time.Millisecond,
				LastEventID: hdr.Get(lastHeader),
			}
		},
		UpstreamHeaders: func(caller http.Header, dsp bwgateway.AttemptInfo) http.Header {
			hdr := http.Header{}
			hdr.Set(requestHeader, caller.Get(requestHeader))
			hdr.Set(leftHeader, strconv.FormatInt(dsp.Timeout.Milliseconds(), 10))
			hdr.Set(lastHeader, dsp.LastEventID)
			hdr.Set(copyHeader, dsp.CopyName)
			if dsp.CopyTarget.IsValid() {
				hdr.Set(copyToHeader, dsp.CopyTarget.String())
			}
			return hdr
		},
		ParseResponse: func(rsp *http.Response) bwgateway.ResponseInfo {
			return bwgateway.ResponseInfo{
				RequestID:     rsp.Header.Get(requestHeader),
				NotRun:        rsp.Header.Get(notRunHeader) != "",
				OtherUpstream: rsp.Header.Get(otherHeader) != "",
			}
		},
		CopyName: func(engine netip.AddrPort, request string) string { return engine.String() + "/" + request },
		AddRefusalHeaders: func(hdr http.Header, _ string, wait time.Duration) {
			if wait > 0 {
				hdr.Set(retryHeader, fmt.Sprint(wait.Seconds()))
			}
		},
	}
}

// engine answers each request of a test by a script.
type engine struct {
	t   *testing.T
	lis net.Listener
	id  bwmodel.UpstreamID
	// zone differs for each engine, so that copies go to another one.
	zone   bwmodel.ZoneID
	script func(*visit)

	mu     sync.Mutex
	visits []*visit
}

// visit is one request at an engine.
type visit struct {
	eng  *engine
	conn net.Conn
	req  *http.Request
	body string
	// closed ends when the gateway closes the connection.
	closed chan struct{}
}

func newEngine(t *testing.T, id bwmodel.UpstreamID, script func(*visit)) *engine {
	t.Helper()
	lis, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	eng := &engine{t: t, lis: lis, id: id, zone: bwmodel.ZoneID("zone-" + id), script: script}
	t.Cleanup(func() { _ = lis.Close() })
	go eng.run()
	return eng
}

func (eng *engine) run() {
	for {
		conn, err := eng.lis.Accept()
		if err != nil {
			return
		}
		vst := &visit{eng: eng, conn: conn, closed: make(chan struct{})}
		srv := &visitServer{eng: eng, vst: vst}
		go srv.run()
	}
}

type visitServer struct {
	eng *engine
	vst *visit
}

func (srv *visitServer) run() {
	defer func() { _ = srv.vst.conn.Close() }()
	rdr := bufio.NewReader(srv.vst.conn)
	req, err := http.ReadRequest(rdr)
	if err != nil {
		// A connection without a request is a probe.
		return
	}
	srv.vst.req = req
	if req.Header.Get("Test-Unread") == "" && !strings.Contains(req.RequestURI, "unread") {
		body, _ := io.ReadAll(req.Body)
		srv.vst.body = string(body)
		wtc := &closeWatch{rdr: rdr, closed: srv.vst.closed}
		go wtc.run()
	}
	srv.eng.mu.Lock()
	srv.eng.visits = append(srv.eng.visits, srv.vst)
	srv.eng.mu.Unlock()
	srv.eng.script(srv.vst)
}

type closeWatch struct {
	rdr    *bufio.Reader
	closed chan struct{}
}

func (wtc *closeWatch) run() {
	_, _ = wtc.rdr.ReadByte()
	close(wtc.closed)
}

func (eng *engine) upstream() bwforward.Upstream {
	return bwforward.Upstream{
		ID: eng.id, Service: "svc", Zone: eng.zone, Slots: 8, StartTime: time.Unix(1, 0),
		Address: eng.lis.Addr().(*net.TCPAddr).AddrPort(),
	}
}

func (eng *engine) count() int {
	eng.mu.Lock()
	defer eng.mu.Unlock()
	return len(eng.visits)
}

func (eng *engine) first() *visit {
	eng.mu.Lock()
	defer eng.mu.Unlock()
	return eng.visits[0]
}

func (vst *visit) send(text string) { _, _ = io.WriteString(vst.conn, text) }

func (vst *visit) head(status string, headers ...string) {
	vst.send("HTTP/1.1 " + status + "\r\n" + requestHeader + ": " + vst.req.Header.Get(requestHeader) + "\r\n")
	for _, hdr := range headers {
		vst.send(hdr + "\r\n")
	}
	vst.send("\r\n")
}

func (vst *visit) answer(status, body string, headers ...string) {
	vst.head(status, append(headers, "Content-Length: "+strconv.Itoa(len(body)))...)
	vst.send(body)
}

func (vst *visit) reset() {
	_ = vst.conn.(*net.TCPConn).SetLinger(0)
	_ = vst.conn.Close()
}

// die ends the engine's process as far as others see it: its system closes what
// is open and refuses new connections.
func (vst *visit) die() {
	_ = vst.eng.lis.Close()
	_ = vst.conn.Close()
}

func (vst *visit) beginStream() { vst.head("200 OK", "Transfer-Encoding: chunked") }

func (vst *visit) event(id int) { vst.chunk(fmt.Sprintf("id: %d\ndata: piece %d\n\n", id, id)) }

func (vst *visit) chunk(text string) { vst.send(fmt.Sprintf("%x\r\n%s\r\n", len(text), text)) }

func (vst *visit) endStream() { vst.send("0\r\n\r\n") }

// after returns the event that the request goes on after.
func (vst *visit) after() int {
	last, _ := strconv.Atoi(vst.req.Header.Get(lastHeader))
	return last
}

// testGateway is a gateway with a caller's view of it.
type testGateway struct {
	t   *testing.T
	gw  *bwgateway.Gateway
	srv *httptest.Server
}

type gatewayOption func(*bwgateway.Config, *bwforward.RoutingTableConfig)

func newGateway(t *testing.T, engines []*engine, opts ...gatewayOption) *testGateway {
	t.Helper()
	tables := bwforward.RoutingTableConfig{
		Version: 1,
		Routes: []bwforward.Route{
			route("/safe/", bwforward.Idempotent, 2),
			route("/action/", bwforward.AtMostOnce, 3),
			route("/stream/", bwforward.EventStream, 5),
		},
		Services: []bwforward.Service{{Name: "svc", Model: &bwforward.Model{Memory: 1 << 20, Copies: true}}},
		Teams:    []bwforward.Team{{Name: "alpha", Keys: []string{"k1"}}},
		Limits:   bwforward.Limits{Body: 1 << 20},
	}
	pool := bwforward.NewPool(bwforward.PoolConfig{Zone: "zone-e1"})
	var ups []bwforward.Upstream
	for _, eng := range engines {
		ups = append(ups, eng.upstream())
	}
	pool.Update(ups)
	budgets := bwforward.NewRetryBudgets(bwforward.RetryBudgetsConfig{Share: 0.8, Slack: 150})
	budgets.SetGatewayCount(4)
	cfg := bwgateway.Config{
		Dialect: dialect(),
		Pool:    pool,
		Budgets: budgets,
		Log:     slog.New(slog.NewTextHandler(testLog{t}, nil)),
	}
	for _, opt := range opts {
		opt(&cfg, &tables)
	}
	if cfg.Table == nil {
		tbl := bwforward.NewRoutingTable(tables)
		cfg.Table = func() *bwforward.RoutingTable { return tbl }
	}
	gw, err := bwgateway.New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	tg := &testGateway{t: t, gw: gw, srv: httptest.NewServer(gw)}
	t.Cleanup(tg.srv.Close)
	return tg
}

func route(prefix string, kind bwforward.RouteKind, upstreams int) bwforward.Route {
	return bwforward.Route{
		Name: strings.Trim(prefix, "/"), Host: "127.0.0.1", Prefix: prefix, Kind: kind, Resumable: kind == bwforward.EventStream,
		Timeout: 5 * time.Second, Target: 400 * time.Millisecond, Gap: 200 * time.Millisecond, MaxUpstreams: upstreams,
		Targets: []bwforward.Target{{Service: "svc", Weight: 1}},
	}
}

type testLog struct{ t *testing.T }

func (tl testLog) Write(buf []byte) (int, error) {
	if tl.t.Context().Err() == nil {
		tl.t.Log(strings.TrimSpace(string(buf)))
	}
	return len(buf), nil
}

// response is what a caller got.
type response struct {
	status int
	header http.Header
	body   string
	// err is set when the connection broke, before or in the answer.
	err error
}

func (tg *testGateway) do(method, path, body string, headers ...string) response {
	tg.t.Helper()
	return tg.doContext(tg.t.Context(), method, path, body, headers...)
}

func (tg *testGateway) doContext(ctx context.Context, method, path, body string, headers ...string) response {
	tg.t.Helper()
	req, err := http.NewRequestWithContext(ctx, method, tg.srv.URL+path, strings.NewReader(body))
	if err != nil {
		tg.t.Fatal(err)
	}
	req.Header.Set(requestHeader, "r1")
	req.Header.Set("Key", "k1")
	req.Header.Set(leftHeader, "3000")
	for ix := 0; ix < len(headers); ix += 2 {
		req.Header.Set(headers[ix], headers[ix+1])
	}
	rsp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return response{err: err}
	}
	defer func() { _ = rsp.Body.Close() }()
	data, err := io.ReadAll(rsp.Body)
	return response{status: rsp.StatusCode, header: rsp.Header, body: string(data), err: err}
}
