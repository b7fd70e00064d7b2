package bwgateway_test

import (
	"bytes"
	"log/slog"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"bilberrywick/core/bwforward"
	"bilberrywick/io/bwgateway"
)

// logBuffer collects log lines; it is safe for concurrent use.
type logBuffer struct {
	mu   sync.Mutex
	data bytes.Buffer
}

func (lbf *logBuffer) Write(buf []byte) (int, error) {
	lbf.mu.Lock()
	defer lbf.mu.Unlock()
	return lbf.data.Write(buf)
}

func (lbf *logBuffer) text() string {
	lbf.mu.Lock()
	defer lbf.mu.Unlock()
	return lbf.data.String()
}

// withPrompts makes each stream as large as half of an engine's memory.
func withPrompts(cfg *bwgateway.Config, tables *bwforward.RoutingTableConfig) {
	parse := cfg.Dialect.ParseRequest
	cfg.Dialect.ParseRequest = func(hdr http.Header) bwgateway.RequestInfo {
		info := parse(hdr)
		info.PromptTokens, info.MaxOutputTokens = 100, 100
		return info
	}
	tables.Services[0].Model = &bwforward.Model{Memory: 500}
}

// Guards against a stream that is started although no engine has room, is held
// longer than an eighth of its target, or is refused without a time to come back,
// and against log lines that don't show why.
func TestExplainAdmission(t *testing.T) {
	release := make(chan struct{})
	eng := newFakeEngine(t, "e1", func(att *attempt) {
		att.beginStream()
		att.event(1)
		<-release
		for id := 2; id <= lastEventID; id++ {
			att.event(id)
		}
		att.endStream()
	})
	var lines logBuffer
	tg := newGateway(t, []*fakeEngine{eng}, withPrompts, func(cfg *bwgateway.Config, tables *bwforward.RoutingTableConfig) {
		cfg.Log = slog.New(slog.NewJSONHandler(&lines, nil))
		for ix := range tables.Routes {
			tables.Routes[ix].Gap = 5 * time.Second
		}
	})
	running := make(chan response, 2)
	for range cap(running) {
		clt := &streamCaller{tg: tg, results: running}
		go clt.run()
	}
	for end := time.Now().Add(5 * time.Second); eng.count() < cap(running); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("the first streams did not start:\n%s", lines.text())
		}
	}
	startedAt := time.Now()
	rsp := tg.do(http.MethodPost, "/stream/x", "")
	if rsp.status != http.StatusServiceUnavailable || eng.count() != cap(running) {
		t.Errorf("status %d and %d streams started, want 503 and %d", rsp.status, eng.count(), cap(running))
	}
	if took := time.Since(startedAt); took > 200*time.Millisecond {
		t.Errorf("the refusal took %v with a target of 400ms", took)
	}
	if seconds, err := strconv.ParseFloat(rsp.header.Get(retryHeader), 64); err != nil || seconds < 0.3 {
		t.Errorf("%s %q, want at least 0.3 s", retryHeader, rsp.header.Get(retryHeader))
	}
	for _, want := range []string{`"stream waits"`, `"stream not admitted"`, `"Reason":"no engine has room"`, `"HasRoom":false`, `"RetryAfter"`, `"OnTimeLeft"`, `"Ahead":0`} {
		if !strings.Contains(lines.text(), want) {
			t.Errorf("the log lacks %s", want)
		}
	}
	close(release)
	for range cap(running) {
		if rsp := <-running; rsp.err != nil || rsp.body != expectedBody(1) {
			t.Errorf("admitted stream: error %v, body\n%s", rsp.err, rsp.body)
		}
	}
	if rsp := tg.do(http.MethodPost, "/stream/x", ""); rsp.status != http.StatusOK {
		t.Errorf("status %d after the others ended, want 200", rsp.status)
	}
}

// streamCaller sends one stream request.
type streamCaller struct {
	tg      *testGateway
	results chan<- response
}

func (scl *streamCaller) run() { scl.results <- scl.tg.do(http.MethodPost, "/stream/x", "") }

// Guards against requests of a gateway that has just started, which are refused
// although its state is read a moment later, held for long without one, or sent
// back so soon that it still has none.
func TestRequestsBeforeState(t *testing.T) {
	var table bwforward.RoutingTableConfig
	known := make(chan struct{})
	eng := newFakeEngine(t, "e1", respondOK)
	tg := newGateway(t, []*fakeEngine{eng}, func(cfg *bwgateway.Config, tables *bwforward.RoutingTableConfig) {
		table = *tables
		cfg.Table = func() *bwforward.RoutingTable {
			select {
			case <-known:
				return bwforward.NewRoutingTable(table)
			default:
				return nil
			}
		}
	})
	startedAt := time.Now()
	rsp := tg.do(http.MethodPost, "/safe/x", "", timeoutHeader, "1500")
	if took := time.Since(startedAt); rsp.status != http.StatusServiceUnavailable || took > 187*time.Millisecond {
		t.Errorf("status %d after %v, want 503 within an eighth of 1.5 s", rsp.status, took)
	}
	if seconds, err := strconv.ParseFloat(rsp.header.Get(retryHeader), 64); err != nil || seconds < 2 {
		t.Errorf("%s %q, want at least 2 s", retryHeader, rsp.header.Get(retryHeader))
	}
	time.AfterFunc(100*time.Millisecond, func() { close(known) })
	if rsp := tg.do(http.MethodPost, "/safe/x", "", timeoutHeader, "25000"); rsp.status != http.StatusOK {
		t.Errorf("status %d, want 200 once the state is known", rsp.status)
	}
}
