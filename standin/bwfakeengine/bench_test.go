package bwfakeengine_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"time"

	"bilberrywick/core/bwmodel"
	"bilberrywick/io/bwagent"
	"bilberrywick/io/bwengine"
	"bilberrywick/io/bwrpc"
)

// recordedEngine responds to every request with the same stream, so that a
// benchmark measures no engine cost other than reading the stream.
type recordedEngine struct {
	firstChunk  []byte
	middleChunk []byte
	lastChunk   []byte
	tokens      int
}

func newRecordedEngine(tokens int) *recordedEngine {
	chunk := func(head, finish string) []byte {
		return fmt.Appendf(nil, `data: {"id":"cmpl-1","object":"text_completion","created":1,"model":"pisar","choices":[{"index":0,"text":"ž",`+
			`"token_ids":[70000],%s"logprobs":{"content":[{"token":"ž","logprob":0,"bytes":[197,190]}]},"finish_reason":%s}]}`+"\n\n", head, finish)
	}
	return &recordedEngine{
		firstChunk:  chunk(`"prompt_token_ids":[1,2,3],`, "null"),
		middleChunk: chunk("", "null"),
		lastChunk:   chunk("", `"length"`),
		tokens:      tokens,
	}
}

// RoundTrip returns the recorded stream.
func (rce *recordedEngine) RoundTrip(*http.Request) (*http.Response, error) {
	return &http.Response{StatusCode: http.StatusOK, Body: &recordedBody{eng: rce}}, nil
}

// recordedBody returns single chunks at intervals of 200 µs, so that tokens are
// not batched on the way to the caller.
type recordedBody struct {
	eng        *recordedEngine
	unread     []byte
	chunksSent int
}

func (rcb *recordedBody) Read(buf []byte) (int, error) {
	if len(rcb.unread) == 0 {
		time.Sleep(200 * time.Microsecond)
		rcb.chunksSent++
		switch {
		case rcb.chunksSent == 1:
			rcb.unread = rcb.eng.firstChunk
		case rcb.chunksSent < rcb.eng.tokens:
			rcb.unread = rcb.eng.middleChunk
		case rcb.chunksSent == rcb.eng.tokens:
			rcb.unread = rcb.eng.lastChunk
		default:
			return 0, io.EOF
		}
	}
	size := copy(buf, rcb.unread)
	rcb.unread = rcb.unread[size:]
	return size, nil
}

func (rcb *recordedBody) Close() error { return nil }

// addRecordedEngine adds an agent with a recorded engine.
func (cl *cluster) addRecordedEngine(eng *recordedEngine) {
	cl.t.Helper()
	lis, addr := listen(cl.t)
	clt := bwengine.NewEngineClient(bwengine.EngineClientConfig{
		Address: netip.MustParseAddrPort("127.0.0.1:1"),
		Client:  &http.Client{Transport: eng},
	})
	gens := bwagent.NewGenerations(bwagent.GenerationsConfig{Generate: clt.Generate, Address: addr})
	srv, err := bwrpc.NewServer(bwrpc.ServerConfig{})
	must(cl.t, err)
	gens.Register(srv)
	gens.Start(cl.t.Context())
	rnr := &rpcRunner{srv: srv, lis: lis}
	go rnr.run(cl.t.Context())
	cl.nodes = append(cl.nodes, &engineNode{name: bwmodel.UpstreamID("recorded"), gens: gens, addr: addr})
}

// BenchmarkPath measures a generation of 1000 tokens from a recorded engine
// through agent, router and holder to a caller, all in this process. It reports
// allocations and CPU time per token.
func BenchmarkPath(b *testing.B) {
	const tokens = 1000
	cl := &cluster{t: b, quiet: true}
	cl.addRecordedEngine(newRecordedEngine(tokens))
	cl.addRouter()
	cl.addRouter()
	body, err := json.Marshal(map[string]any{"model": testModel, "prompt": "meranie", "max_tokens": tokens, "stream": true})
	must(b, err)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	startTime := processorTime(b)
	b.ResetTimer()
	for range b.N {
		req, err := http.NewRequest(http.MethodPost, cl.routers[0].web.URL+"/v1/completions", strings.NewReader(string(body)))
		must(b, err)
		req.Header.Set("Team", "alpha")
		rsp, err := http.DefaultClient.Do(req)
		must(b, err)
		size, err := io.Copy(io.Discard, rsp.Body)
		must(b, err)
		must(b, rsp.Body.Close())
		if size < tokens {
			b.Fatalf("response of %d bytes is too short", size)
		}
	}
	b.StopTimer()
	runtime.ReadMemStats(&after)
	total := float64(b.N) * tokens
	b.ReportMetric(float64(after.Mallocs-before.Mallocs)/total, "allocs/token")
	b.ReportMetric(float64(processorTime(b)-startTime)/float64(time.Microsecond)/total, "cpu-µs/token")
}

func processorTime(tb testing.TB) time.Duration {
	tb.Helper()
	var use syscall.Rusage
	must(tb, syscall.Getrusage(syscall.RUSAGE_SELF, &use))
	return time.Duration(use.Utime.Nano() + use.Stime.Nano())
}
