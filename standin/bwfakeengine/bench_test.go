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

// recordedEngine answers every call with the same stream, so that a benchmark
// has no engine's own cost but that of reading the stream.
type recordedEngine struct {
	head  []byte
	chunk []byte
	tail  []byte
	count int
}

func newRecordedEngine(tokens int) *recordedEngine {
	chunk := func(head, finish string) []byte {
		return fmt.Appendf(nil, `data: {"id":"cmpl-1","object":"text_completion","created":1,"model":"pisar","choices":[{"index":0,"text":"ž",`+
			`"token_ids":[70000],%s"logprobs":{"content":[{"token":"ž","logprob":0,"bytes":[197,190]}]},"finish_reason":%s}]}`+"\n\n", head, finish)
	}
	return &recordedEngine{
		head:  chunk(`"prompt_token_ids":[1,2,3],`, "null"),
		chunk: chunk("", "null"),
		tail:  chunk("", `"length"`),
		count: tokens,
	}
}

// RoundTrip returns the recorded stream.
func (rce *recordedEngine) RoundTrip(*http.Request) (*http.Response, error) {
	return &http.Response{StatusCode: http.StatusOK, Body: &recordedBody{eng: rce}}, nil
}

// recordedBody gives one chunk at a time, a little apart, so that each token
// goes through the path by itself.
type recordedBody struct {
	eng  *recordedEngine
	rest []byte
	sent int
}

func (rcb *recordedBody) Read(buf []byte) (int, error) {
	if len(rcb.rest) == 0 {
		time.Sleep(200 * time.Microsecond)
		rcb.sent++
		switch {
		case rcb.sent == 1:
			rcb.rest = rcb.eng.head
		case rcb.sent < rcb.eng.count:
			rcb.rest = rcb.eng.chunk
		case rcb.sent == rcb.eng.count:
			rcb.rest = rcb.eng.tail
		default:
			return 0, io.EOF
		}
	}
	size := copy(buf, rcb.rest)
	rcb.rest = rcb.rest[size:]
	return size, nil
}

func (rcb *recordedBody) Close() error { return nil }

// addRecorded adds an agent whose engine is a recorded one.
func (cl *cluster) addRecorded(eng *recordedEngine) {
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

// BenchmarkPath measures one generation of 1000 tokens from a recorded engine
// through agent, router and holder to a caller, all in this process, and
// reports allocations and processor time for each token.
func BenchmarkPath(b *testing.B) {
	const tokens = 1000
	cl := &cluster{t: b, quiet: true}
	cl.addRecorded(newRecordedEngine(tokens))
	cl.addRouter()
	cl.addRouter()
	body, err := json.Marshal(map[string]any{"model": testModel, "prompt": "meranie", "max_tokens": tokens, "stream": true})
	must(b, err)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	began := processorTime(b)
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
			b.Fatalf("answer of %d bytes", size)
		}
	}
	b.StopTimer()
	runtime.ReadMemStats(&after)
	total := float64(b.N) * tokens
	b.ReportMetric(float64(after.Mallocs-before.Mallocs)/total, "allocs/token")
	b.ReportMetric(float64(processorTime(b)-began)/float64(time.Microsecond)/total, "cpu-µs/token")
}

func processorTime(tb testing.TB) time.Duration {
	tb.Helper()
	var use syscall.Rusage
	must(tb, syscall.Getrusage(syscall.RUSAGE_SELF, &use))
	return time.Duration(use.Utime.Nano() + use.Stime.Nano())
}
