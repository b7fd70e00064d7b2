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

// runningProcess is a process that serves one engine.
type runningProcess struct {
	prc   *bwgateway.Process
	sts   *bwgateway.Settings
	stop  context.CancelFunc
	ended chan error
}

func (rp *runningProcess) run(ctx context.Context) { rp.ended <- rp.prc.Run(ctx) }

func startProcess(t *testing.T, eng *engine, others ...bwforward.Announcement) *runningProcess {
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
			_ = st.ApplyAnnouncements(ctx, others, time.Hour, true)
			_ = st.ApplyChanges(ctx, []bwgateway.UpstreamChange{{ID: up.ID, Upstream: &up}}, true)
			_ = st.SetTable(ctx, table)
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

// ready returns the status of the readiness answer, or 0.
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

// Guards against a planned stop that cuts off a stream or an action, takes no
// more requests at once, stays ready, outlasts its grace time, or takes a request
// that it can't finish.
func TestDrain(t *testing.T) {
	held := make(chan struct{})
	eng := newEngine(t, "e1", func(vst *visit) {
		if strings.HasPrefix(vst.req.RequestURI, "/action/") {
			vst.answer("200 OK", "whole")
			return
		}
		vst.beginStream()
		vst.event(1)
		<-held
		for id := 2; id <= lastPiece; id++ {
			vst.event(id)
		}
		vst.endStream()
	})
	// Another gateway stops too, so that callers have no better one.
	rp := startProcess(t, eng, bwforward.Announcement{Member: "g-2", Leaving: true, Seen: time.Hour})
	clt := &processCaller{t: t, rp: rp, answers: make(chan response, 1)}
	go clt.run()
	for end := time.Now().Add(5 * time.Second); eng.count() == 0 && time.Now().Before(end); {
		time.Sleep(5 * time.Millisecond)
	}
	begun := time.Now()
	rp.stop()
	for rp.ready(t) == http.StatusOK {
		if time.Since(begun) > time.Second {
			t.Fatal("a stopping process stays ready")
		}
	}
	if rsp := clt.do("/action/x"); rsp.status != http.StatusOK || rsp.err != nil {
		t.Errorf("action right after the signal: status %d, %v", rsp.status, rsp.err)
	}
	// The stream ends well after the process has stopped to take all requests.
	rel := &releaser{held: held, after: rp.sts.GraceTime / 2}
	go rel.run()
	time.Sleep(rp.sts.GraceTime*3/8 - time.Since(begun))
	if rsp := clt.do("/action/x", leftHeader, "500"); rsp.status != http.StatusOK || rsp.err != nil {
		t.Errorf("action while a stream is open: status %d, %v", rsp.status, rsp.err)
	}
	if rsp := clt.do("/stream/x", leftHeader, "10000"); rsp.status != http.StatusServiceUnavailable || rsp.err != nil {
		t.Errorf("stream that would outlast the process: status %d, %v", rsp.status, rsp.err)
	}
	if rsp := <-clt.answers; rsp.err != nil || rsp.body != whole(1) {
		t.Errorf("open stream: error %v, body\n%s", rsp.err, rsp.body)
	}
	if err := <-rp.ended; err != nil || time.Since(begun) > rp.sts.GraceTime {
		t.Errorf("ended with %v after %v", err, time.Since(begun))
	}
}

// Guards against a stopping gateway that keeps callers from those that stay: they
// go elsewhere sooner when it takes no connection than when it refuses them.
func TestDrainBesideOthers(t *testing.T) {
	eng := newEngine(t, "e1", func(vst *visit) {
		vst.beginStream()
		vst.event(1)
		<-vst.closed
	})
	rp := startProcess(t, eng, bwforward.Announcement{Member: "g-2", Seen: time.Hour})
	clt := &processCaller{t: t, rp: rp, answers: make(chan response, 1)}
	go clt.run()
	for end := time.Now().Add(5 * time.Second); eng.count() == 0 && time.Now().Before(end); {
		time.Sleep(5 * time.Millisecond)
	}
	rp.stop()
	time.Sleep(rp.sts.GraceTime / 2)
	if rsp := clt.do("/action/x", leftHeader, "500"); rsp.err == nil {
		t.Errorf("a request got status %d, want no connection", rsp.status)
	}
	if err := <-rp.ended; err != nil {
		t.Error(err)
	}
	<-clt.answers
}

// releaser lets an engine go on after a time.
type releaser struct {
	held  chan struct{}
	after time.Duration
}

func (rel *releaser) run() {
	time.Sleep(rel.after)
	close(rel.held)
}

// processCaller calls a running process.
type processCaller struct {
	t       *testing.T
	rp      *runningProcess
	answers chan response
}

func (pcl *processCaller) run() { pcl.answers <- pcl.do("/stream/x") }

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

// Guards against requests that no metric counts.
func TestMetricsAreServed(t *testing.T) {
	rp := startProcess(t, newEngine(t, "e1", well))
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

// Guards against settings that are used although they are wrong, and against
// faults without the field's name.
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
			t.Errorf("error %v, want one that names %s", err, field)
		}
	}
}
