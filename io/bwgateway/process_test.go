package bwgateway_test

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"bilberrywick/core/bwforward"
	"bilberrywick/io/bwgateway"
)

// freeAddress returns an address that nothing listens on.
func freeAddress(t *testing.T) netip.AddrPort {
	t.Helper()
	lis, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = lis.Close() }()
	return lis.Addr().(*net.TCPAddr).AddrPort()
}

// runningProcess is a gateway process with one engine.
type runningProcess struct {
	prc   *bwgateway.Process
	sts   *bwgateway.Settings
	stop  context.CancelFunc
	ended chan error
}

func (rp *runningProcess) run(ctx context.Context) { rp.ended <- rp.prc.Run(ctx) }

func startProcess(t *testing.T, eng *fakeEngine, others ...bwforward.Announcement) *runningProcess {
	t.Helper()
	sts := &bwgateway.Settings{
		Member: "g-1", Zone: "z1", Callers: freeAddress(t), Status: freeAddress(t),
		Peers: netip.MustParseAddrPort("127.0.0.1:0"), GraceTime: 4 * time.Second, RetryShare: 0.5, RetrySlack: 50, MemoryLimit: 128,
	}
	table := bwforward.NewRoutingTable(bwforward.RoutingTableConfig{
		Version: 3,
		Routes:  []bwforward.Route{route("/action/", bwforward.AtMostOnce, 1), route("/stream/", bwforward.EventStream, 5)},
		Teams:   []bwforward.Team{{Name: "alpha", Keys: []string{"k1"}}},
	})
	prc, err := bwgateway.NewProcess(bwgateway.ProcessConfig{
		Settings: sts,
		Dialect:  dialect(),
		Watch: func(ctx context.Context, st *bwgateway.ControlState) {
			up := eng.upstream()
			_ = st.ApplyAnnouncements(ctx, others, bwgateway.StoreTime{Clock: time.Hour}, true)
			_ = st.ApplyChanges(ctx, []bwgateway.UpstreamChange{{ID: up.ID, Upstream: &up}}, 0, true)
			_ = st.SetTable(ctx, table, 0)
		},
		Log: slog.New(slog.NewTextHandler(testLog{t}, nil)),
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	rp := &runningProcess{prc: prc, sts: sts, stop: cancel, ended: make(chan error, 1)}
	go rp.run(ctx)
	for end := time.Now().Add(10 * time.Second); rp.ready(t) != http.StatusOK; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("process is not ready")
		}
	}
	return rp
}

// ready returns the status of the readiness check, or 0 without a response.
func (rp *runningProcess) ready(t *testing.T) int {
	t.Helper()
	status, _ := rp.get(t, "/ready")
	return status
}

func (rp *runningProcess) get(t *testing.T, path string) (int, string) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+rp.sts.Status.String()+path, nil)
	if err != nil {
		t.Fatal(err)
	}
	rsp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = rsp.Body.Close() }()
	text, err := io.ReadAll(rsp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return rsp.StatusCode, string(text)
}

// Guards against a planned stop that aborts a stream or an action, refuses
// requests immediately, leaves the process ready, exceeds the grace time, or
// accepts a request that can't finish in time.
func TestDrain(t *testing.T) {
	release := make(chan struct{})
	eng := newFakeEngine(t, "e1", func(att *attempt) {
		if strings.HasPrefix(att.req.RequestURI, "/action/") {
			att.respond("200 OK", "whole")
			return
		}
		att.beginStream()
		att.event(1)
		<-release
		for id := 2; id <= lastEventID; id++ {
			att.event(id)
		}
		att.endStream()
	})
	// The only other gateway is stopping too, so this one must accept requests.
	rp := startProcess(t, eng, bwforward.Announcement{Member: "g-2", Leaving: true, Seen: time.Hour - 10*time.Second})
	clt := &processCaller{t: t, rp: rp, responses: make(chan response, 1)}
	go clt.run()
	for end := time.Now().Add(5 * time.Second); eng.count() == 0 && time.Now().Before(end); {
		time.Sleep(5 * time.Millisecond)
	}
	startedAt := time.Now()
	rp.stop()
	for rp.ready(t) == http.StatusOK {
		if time.Since(startedAt) > time.Second {
			t.Fatal("the process is still ready 1 s after the signal")
		}
	}
	if rsp := clt.do("/action/x"); rsp.status != http.StatusOK || rsp.err != nil {
		t.Errorf("action right after the signal: status %d, %v", rsp.status, rsp.err)
	}
	// The stream ends well after the process has stopped accepting all requests.
	rel := &delayedRelease{release: release, delay: rp.sts.GraceTime / 2}
	go rel.run()
	time.Sleep(rp.sts.GraceTime*3/8 - time.Since(startedAt))
	if rsp := clt.do("/action/x", timeoutHeader, "500"); rsp.status != http.StatusOK || rsp.err != nil {
		t.Errorf("action while a stream is open: status %d, %v", rsp.status, rsp.err)
	}
	if rsp := clt.do("/stream/x", timeoutHeader, "10000"); rsp.status != http.StatusServiceUnavailable || rsp.err != nil {
		t.Errorf("stream that would outlast the process: status %d, %v", rsp.status, rsp.err)
	}
	if rsp := <-clt.responses; rsp.err != nil || rsp.body != expectedBody(1) {
		t.Errorf("open stream: error %v, body\n%s", rsp.err, rsp.body)
	}
	if err := <-rp.ended; err != nil || time.Since(startedAt) > rp.sts.GraceTime {
		t.Errorf("ended with %v after %v", err, time.Since(startedAt))
	}
}

// Guards against a stopping gateway that keeps its listener open although
// another one is active. Callers switch sooner after a refused connection than
// after a refusal by HTTP status.
func TestDrainWithActivePeers(t *testing.T) {
	eng := newFakeEngine(t, "e1", func(att *attempt) {
		att.beginStream()
		att.event(1)
		<-att.closed
	})
	rp := startProcess(t, eng, bwforward.Announcement{Member: "g-2", Seen: time.Hour})
	clt := &processCaller{t: t, rp: rp, responses: make(chan response, 1)}
	go clt.run()
	for end := time.Now().Add(5 * time.Second); eng.count() == 0 && time.Now().Before(end); {
		time.Sleep(5 * time.Millisecond)
	}
	rp.stop()
	time.Sleep(rp.sts.GraceTime / 2)
	if rsp := clt.do("/action/x", timeoutHeader, "500"); rsp.err == nil {
		t.Errorf("the request has status %d, want a refused connection", rsp.status)
	}
	if err := <-rp.ended; err != nil {
		t.Error(err)
	}
	<-clt.responses
}

// delayedRelease lets an engine continue after a delay.
type delayedRelease struct {
	release chan struct{}
	delay   time.Duration
}

func (rel *delayedRelease) run() {
	time.Sleep(rel.delay)
	close(rel.release)
}

// processCaller sends requests to a running process.
type processCaller struct {
	t         *testing.T
	rp        *runningProcess
	responses chan response
}

func (pcl *processCaller) run() { pcl.responses <- pcl.do("/stream/x") }

func (pcl *processCaller) do(path string, headers ...string) response {
	req, err := http.NewRequestWithContext(pcl.t.Context(), http.MethodPost, "http://"+pcl.rp.sts.Callers.String()+path, strings.NewReader("prompt"))
	if err != nil {
		return response{err: err}
	}
	req.Header.Set(requestHeader, "r1")
	req.Header.Set("Key", "k1")
	for ix := 0; ix < len(headers); ix += 2 {
		req.Header.Set(headers[ix], headers[ix+1])
	}
	rsp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return response{err: err}
	}
	defer func() { _ = rsp.Body.Close() }()
	text, err := io.ReadAll(rsp.Body)
	return response{status: rsp.StatusCode, body: string(text), err: err}
}

// Guards against requests that are missing in the metrics.
func TestMetricsAreServed(t *testing.T) {
	rp := startProcess(t, newFakeEngine(t, "e1", respondOK))
	defer rp.stop()
	clt := &processCaller{t: t, rp: rp}
	clt.do("/action/x")
	_, text := rp.get(t, "/metrics")
	for _, want := range []string{`bilberrywick_gateway_requests_total{kind="AtMostOnce",status="200"} 1`, "bilberrywick_gateway_request_seconds_bucket", "bilberrywick_gateway_upstreams 1", "bilberrywick_gateway_state_version 3", "bilberrywick_gateway_list_away 0"} {
		if !strings.Contains(text, want) {
			t.Errorf("metrics lack %s", want)
		}
	}
}

// Guards against accepting invalid settings, and against errors without the
// name of the field.
func TestLoadSettings(t *testing.T) {
	good := `{"Member":"g","Zone":"z","Callers":"10.0.0.1:80","Status":"10.0.0.1:81","Peers":"10.0.0.1:82","Store":"10.0.0.2:90","GraceTime":"8s","RetryShare":0.8,"RetrySlack":150,"MemoryLimit":134}`
	path := filepath.Join(t.TempDir(), "gateway.json")
	load := func(text string) (*bwgateway.Settings, error) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return bwgateway.LoadSettings(path)
	}
	sts, err := load(good)
	if err != nil || sts.GraceTime != 8*time.Second || sts.LeaveTime != 2*time.Second || sts.RetrySlack != 150 {
		t.Fatalf("got %+v, %v", sts, err)
	}
	for field, text := range map[string]string{
		"Callers":   strings.Replace(good, "10.0.0.1:80", "gateway:80", 1),
		"GraceTime": strings.Replace(good, "8s", "8", 1),
		"Store":     strings.Replace(good, `"Store":"10.0.0.2:90",`, "", 1),
		"Stor":      strings.Replace(good, `"Store"`, `"Stor"`, 1),
	} {
		if _, err := load(text); err == nil || !strings.Contains(err.Error(), field) {
			t.Errorf("error %v, want one with the field %s", err, field)
		}
	}
}

// Guards against a success that the process's HTTP server gives in place of an upstream.
func TestServerAnswersNothingItself(t *testing.T) {
	rp := startProcess(t, newFakeEngine(t, "e1", respondOK))
	conn, err := net.Dial("tcp4", rp.sts.Callers.String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_, _ = io.WriteString(conn, "OPTIONS * HTTP/1.1\r\nHost: 127.0.0.1\r\nConnection: close\r\n\r\n")
	text, err := io.ReadAll(conn)
	if err != nil || !strings.HasPrefix(string(text), "HTTP/1.1 404 ") {
		t.Errorf("got %q, error %v; want status 404", text, err)
	}
}
