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

// Headers of the test dialect.
const (
	requestHeader    = "Test-Request"
	signatureHeader  = "Signature"
	notRunHeader     = "Test-Not-Run"
	responderHeader  = "Test-Responder"
	timeoutHeader    = "Test-Left"
	copyTargetHeader = "Test-Copy-To"
	copyHeader       = "Test-Copy"
	lastEventHeader  = "Last-Event-Id"
	retryHeader      = "Retry-After"
	partsHeader      = "Test-Parts"
	limitHeader      = "Test-Limit"
	leavingHeader    = "Test-Leaving"
	loadHeader       = "Test-Load"
)

func dialect() bwgateway.Dialect {
	return bwgateway.Dialect{
		ParseRequest: func(hdr http.Header) bwgateway.RequestInfo {
			ms, _ := strconv.Atoi(hdr.Get(timeoutHeader))
			return bwgateway.RequestInfo{
				RequestID:   hdr.Get(requestHeader),
				Key:         hdr.Get("Key"),
				Timeout:     time.Duration(ms) * time.Millisecond,
				LastEventID: hdr.Get(lastEventHeader),
				Parts:       func() []bwforward.PartID { return parts(hdr.Get(partsHeader)) },
			}
		},
		UpstreamHeaders: func(caller http.Header, info bwgateway.AttemptInfo) http.Header {
			hdr := http.Header{}
			hdr.Set(requestHeader, caller.Get(requestHeader))
			hdr.Set(timeoutHeader, strconv.FormatInt(info.Timeout.Milliseconds(), 10))
			hdr.Set(lastEventHeader, info.LastEventID)
			hdr.Set(copyHeader, info.CopyName)
			if info.CopyTarget.IsValid() {
				hdr.Set(copyTargetHeader, info.CopyTarget.String())
			}
			return hdr
		},
		ParseResponse: func(rsp *http.Response) bwgateway.ResponseInfo {
			info := bwgateway.ResponseInfo{
				ResponseClaims: bwforward.ResponseClaims{
					RequestID:   rsp.Header.Get(requestHeader),
					Responder:   bwmodel.UpstreamID(rsp.Header.Get(responderHeader)),
					Signed:      rsp.Header.Get(signatureHeader) != "",
					Failed:      rsp.StatusCode >= http.StatusBadRequest,
					NotRun:      rsp.Header.Get(notRunHeader) != "",
					Misdirected: rsp.StatusCode == http.StatusMisdirectedRequest,
				},
				Leaving: rsp.Header.Get(leavingHeader) != "",
			}
			if running, err := strconv.Atoi(rsp.Header.Get(loadHeader)); err == nil {
				info.Load = &bwforward.Load{Running: running}
			}
			if secs, err := strconv.ParseFloat(rsp.Header.Get(retryHeader), 64); err == nil {
				info.RetryAfter = time.Duration(secs * float64(time.Second))
			}
			if limit, err := strconv.ParseFloat(rsp.Header.Get(limitHeader), 64); err == nil {
				info.Limit = &limit
			}
			return info
		},
		CopyName: func(engine netip.AddrPort, request string) string { return engine.String() + "/" + request },
		AddRefusalHeaders: func(hdr http.Header, _ string, wait time.Duration) {
			if wait > 0 {
				hdr.Set(retryHeader, fmt.Sprint(wait.Seconds()))
			}
		},
	}
}

func parts(text string) []bwforward.PartID {
	var ids []bwforward.PartID
	for _, id := range strings.Fields(text) {
		ids = append(ids, bwforward.PartID(id))
	}
	return ids
}

// fakeEngine is an engine that runs a script for each request.
type fakeEngine struct {
	t   *testing.T
	lis net.Listener
	id  bwmodel.UpstreamID
	// zone differs for each engine, so that a copy goes to another zone.
	zone   bwmodel.ZoneID
	script func(*attempt)

	mu       sync.Mutex
	attempts []*attempt
}

// attempt is one request that an engine received.
type attempt struct {
	eng  *fakeEngine
	conn net.Conn
	req  *http.Request
	body string
	// closed is closed when the gateway closes the connection.
	closed chan struct{}
}

func newFakeEngine(t *testing.T, id bwmodel.UpstreamID, script func(*attempt)) *fakeEngine {
	t.Helper()
	lis, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	eng := &fakeEngine{t: t, lis: lis, id: id, zone: bwmodel.ZoneID("zone-" + id), script: script}
	t.Cleanup(func() { _ = lis.Close() })
	go eng.run()
	return eng
}

func (eng *fakeEngine) run() {
	for {
		conn, err := eng.lis.Accept()
		if err != nil {
			return
		}
		att := &attempt{eng: eng, conn: conn, closed: make(chan struct{})}
		srv := &attemptServer{eng: eng, att: att}
		go srv.run()
	}
}

type attemptServer struct {
	eng *fakeEngine
	att *attempt
}

func (srv *attemptServer) run() {
	defer func() { _ = srv.att.conn.Close() }()
	rdr := bufio.NewReader(srv.att.conn)
	req, err := http.ReadRequest(rdr)
	if err != nil {
		// A connection without a request is a probe.
		return
	}
	srv.att.req = req
	if req.Header.Get("Test-Unread") == "" && !strings.Contains(req.RequestURI, "unread") {
		body, _ := io.ReadAll(req.Body)
		srv.att.body = string(body)
		wtc := &closeWatcher{rdr: rdr, closed: srv.att.closed}
		go wtc.run()
	}
	srv.eng.mu.Lock()
	srv.eng.attempts = append(srv.eng.attempts, srv.att)
	srv.eng.mu.Unlock()
	srv.eng.script(srv.att)
}

type closeWatcher struct {
	rdr    *bufio.Reader
	closed chan struct{}
}

func (wtc *closeWatcher) run() {
	_, _ = wtc.rdr.ReadByte()
	close(wtc.closed)
}

func (eng *fakeEngine) upstream() bwforward.Upstream {
	return bwforward.Upstream{
		ID: eng.id, Service: "svc", Zone: eng.zone, Slots: 8, StartTime: time.Unix(1, 0),
		Address: eng.lis.Addr().(*net.TCPAddr).AddrPort(),
	}
}

func (eng *fakeEngine) count() int {
	eng.mu.Lock()
	defer eng.mu.Unlock()
	return len(eng.attempts)
}

func (eng *fakeEngine) firstAttempt() *attempt {
	eng.mu.Lock()
	defer eng.mu.Unlock()
	return eng.attempts[0]
}

func (att *attempt) send(text string) { _, _ = io.WriteString(att.conn, text) }

// sendHeader sends the header of a response that names the request and is signed.
func (att *attempt) sendHeader(status string, headers ...string) {
	att.send("HTTP/1.1 " + status + "\r\n" + requestHeader + ": " + att.req.Header.Get(requestHeader) + "\r\n" + signatureHeader + ": s1\r\n")
	for _, hdr := range headers {
		att.send(hdr + "\r\n")
	}
	att.send("\r\n")
}

func (att *attempt) respond(status, body string, headers ...string) {
	att.sendHeader(status, append(headers, "Content-Length: "+strconv.Itoa(len(body)))...)
	att.send(body)
}

func (att *attempt) reset() {
	_ = att.conn.(*net.TCPConn).SetLinger(0)
	_ = att.conn.Close()
}

// crash simulates a crash of the engine's process: the operating system closes
// its connections and refuses new ones.
func (att *attempt) crash() {
	_ = att.eng.lis.Close()
	_ = att.conn.Close()
}

func (att *attempt) beginStream() { att.sendHeader("200 OK", "Transfer-Encoding: chunked") }

func (att *attempt) event(id int) { att.chunk(fmt.Sprintf("id: %d\ndata: piece %d\n\n", id, id)) }

func (att *attempt) chunk(text string) { att.send(fmt.Sprintf("%x\r\n%s\r\n", len(text), text)) }

func (att *attempt) endStream() { att.send("0\r\n\r\n") }

// resumeAfter returns the ID of the event after which the request resumes.
func (att *attempt) resumeAfter() int {
	last, _ := strconv.Atoi(att.req.Header.Get(lastEventHeader))
	return last
}

// testGateway is a gateway behind a test server.
type testGateway struct {
	t   *testing.T
	gw  *bwgateway.Gateway
	srv *httptest.Server
}

type gatewayOption func(*bwgateway.Config, *bwforward.RoutingTableConfig)

func newGateway(t *testing.T, engines []*fakeEngine, opts ...gatewayOption) *testGateway {
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

// response is a caller's response.
type response struct {
	status int
	header http.Header
	body   string
	// err is set if the connection failed before or during the response.
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
	req.Header.Set(timeoutHeader, "3000")
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
