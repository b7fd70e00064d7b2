package bwfakeengine_test

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gorilla/mux"

	"bilberrywick/core/bwadmit"
	"bilberrywick/core/bwmodel"
	"bilberrywick/core/bwroute"
	"bilberrywick/core/bwstream"
	"bilberrywick/io/bwagent"
	"bilberrywick/io/bwengine"
	"bilberrywick/io/bwhttp"
	"bilberrywick/io/bwrouter"
	"bilberrywick/io/bwrpc"
	"bilberrywick/standin/bwfakeengine"
)

const testModel = "pisar"

// cluster runs routers, agents and engines on loopback.
type cluster struct {
	t testing.TB
	// quiet discards the routers' logs.
	quiet     bool
	nodes     []*engineNode
	routers   []*routerNode
	resumes   atomic.Int64
	slots     int
	configure func(*bwrouter.GenerationsConfig)
}

type clusterConfig struct {
	engines, routers int
	engine           bwfakeengine.Config
	// slots limits the generations of each agent; 0 means no limit.
	slots int
	// configure edits the configuration of each router, if not nil.
	configure func(*bwrouter.GenerationsConfig)
}

type engineNode struct {
	name    bwmodel.UpstreamID
	engine  *bwfakeengine.Engine
	gens    *bwagent.Generations
	addr    netip.AddrPort
	stop    context.CancelFunc
	leaving atomic.Bool
}

type routerNode struct {
	addr    netip.AddrPort
	web     *httptest.Server
	stop    context.CancelFunc
	down    atomic.Bool
	records *bwrouter.Records
	// paused is set while the router's connections to other processes are paused.
	paused     atomic.Pointer[connPause]
	mu         sync.Mutex
	conns      []*pausableConn
	nextEngine atomic.Int64
}

func newCluster(t *testing.T, engines, routers int, cfg bwfakeengine.Config) *cluster {
	t.Helper()
	return newClusterWith(t, clusterConfig{engines: engines, routers: routers, engine: cfg})
}

func newClusterWith(t *testing.T, cfg clusterConfig) *cluster {
	t.Helper()
	cl := &cluster{t: t, configure: cfg.configure, slots: cfg.slots}
	for range cfg.engines {
		cl.addEngine(cfg.engine)
	}
	for range cfg.routers {
		cl.addRouter()
	}
	return cl
}

func (cl *cluster) addEngine(cfg bwfakeengine.Config) {
	cl.t.Helper()
	ctx, stop := context.WithCancel(cl.t.Context())
	eng, err := bwfakeengine.New(cfg)
	must(cl.t, err)
	must(cl.t, eng.Start(ctx))
	nd := &engineNode{name: bwmodel.UpstreamID(fmt.Sprintf("engine-%d", len(cl.nodes))), engine: eng, stop: stop}
	lis, addr := listen(cl.t)
	nd.addr = addr
	nd.gens = bwagent.NewGenerations(bwagent.GenerationsConfig{
		Generate: bwengine.NewEngineClient(bwengine.EngineClientConfig{Address: eng.Address()}).Generate,
		Address:  addr,
		Leaving:  nd.leaving.Load,
		Slots:    cl.slots,
	})
	srv, err := bwrpc.NewServer(bwrpc.ServerConfig{})
	must(cl.t, err)
	nd.gens.Register(srv)
	nd.gens.Start(ctx)
	rnr := &rpcRunner{srv: srv, lis: lis}
	go rnr.run(ctx)
	cl.nodes = append(cl.nodes, nd)
}

func (cl *cluster) addRouter() {
	cl.t.Helper()
	ctx, stop := context.WithCancel(cl.t.Context())
	rt := &routerNode{stop: stop}
	lis, addr := listen(cl.t)
	rt.addr = addr
	clt, err := bwrpc.NewClient(bwrpc.ClientConfig{Dial: rt.dial})
	must(cl.t, err)
	log := slog.New(slog.NewTextHandler(logWriter{cl.t}, nil))
	if cl.quiet {
		log = slog.New(slog.DiscardHandler)
	}
	rt.records = bwrouter.NewRecords(bwrouter.RecordsConfig{Client: clt, Log: log})
	cfg := bwrouter.GenerationsConfig{
		Choose:         rt.chooser(cl),
		Admit:          admitAll,
		Service:        testService,
		ChooseHolder:   rt.holderChooser(cl),
		IsKnownAddress: cl.isKnownAddress,
		OnResume:       func(string, time.Duration, int) { cl.resumes.Add(1) },
		Address:        addr,
		Records:        rt.records,
		Client:         clt,
		Log:            log,
	}
	if cl.configure != nil {
		cl.configure(&cfg)
	}
	gns, err := bwrouter.NewGenerations(cfg)
	must(cl.t, err)
	srv, err := bwrpc.NewServer(bwrpc.ServerConfig{})
	must(cl.t, err)
	rt.records.Register(srv)
	rt.records.Start(ctx)
	gns.Start(ctx)
	rnr := &rpcRunner{srv: srv, lis: lis}
	go rnr.run(ctx)
	rtr := mux.NewRouter()
	gns.Register(rtr)
	rt.web = httptest.NewServer(withTeam(rtr))
	cl.t.Cleanup(rt.web.Close)
	cl.routers = append(cl.routers, rt)
}

// chooser returns a function that chooses engines round-robin and skips excluded ones.
func (rt *routerNode) chooser(cl *cluster) func(context.Context, bwroute.Request) (bwroute.Choice, error) {
	return func(_ context.Context, req bwroute.Request) (bwroute.Choice, error) {
		for range cl.nodes {
			nd := cl.nodes[int(rt.nextEngine.Add(1)-1)%len(cl.nodes)]
			if slices.Contains(req.Exclude, nd.name) {
				continue
			}
			ups := bwmodel.Upstream{Name: nd.name, Agent: nd.addr}
			return bwroute.Choice{Upstream: ups, Finish: func(bwroute.Outcome) {}}, nil
		}
		return bwroute.Choice{}, errors.New("every engine is excluded")
	}
}

func (rt *routerNode) holderChooser(cl *cluster) func(bwmodel.RequestID, []netip.AddrPort) (netip.AddrPort, bool) {
	return func(_ bwmodel.RequestID, exclude []netip.AddrPort) (netip.AddrPort, bool) {
		for _, other := range cl.routers {
			if other != rt && !other.down.Load() && !slices.Contains(exclude, other.addr) {
				return other.addr, true
			}
		}
		return netip.AddrPort{}, false
	}
}

func (cl *cluster) isKnownAddress(addr netip.AddrPort) bool {
	for _, nd := range cl.nodes {
		if nd.addr == addr {
			return true
		}
	}
	for _, rt := range cl.routers {
		if rt.addr == addr {
			return true
		}
	}
	return false
}

func (nd *engineNode) kill(t *testing.T) {
	t.Helper()
	must(t, nd.engine.Kill(t.Context()))
	nd.stop()
}

// kill ends the router as a killed process does: its connections close at once
// and nothing that still runs in it reaches another process.
func (rt *routerNode) kill() {
	rt.down.Store(true)
	rt.mu.Lock()
	for _, pc := range rt.conns {
		_ = pc.Close()
	}
	rt.mu.Unlock()
	rt.stop()
	rt.web.CloseClientConnections()
	rt.web.Close()
}

var errRouterDown = errors.New("router was killed")

// closeConns closes the router's open connections to a process.
func (rt *routerNode) closeConns(peer netip.AddrPort) {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	for _, pc := range rt.conns {
		if pc.peer == peer {
			_ = pc.Close()
		}
	}
}

// connPause pauses connections until resumed is closed.
type connPause struct {
	resumed chan struct{}
	// peers are the processes whose connections are paused; empty means all.
	peers []netip.AddrPort
}

// pause pauses the router's connections to the given processes, or to all if none
// is given, until the returned function is called.
func (rt *routerNode) pause(peers ...netip.AddrPort) (resume func()) {
	cnp := &connPause{resumed: make(chan struct{}), peers: peers}
	rt.paused.Store(cnp)
	return func() {
		rt.paused.Store(nil)
		close(cnp.resumed)
	}
}

func (rt *routerNode) dial(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	var dlr net.Dialer
	conn, err := dlr.DialContext(ctx, "tcp", addr.String())
	if err != nil {
		return nil, err
	}
	pc := &pausableConn{Conn: conn, rt: rt, peer: addr, closed: make(chan struct{})}
	rt.mu.Lock()
	defer rt.mu.Unlock()
	if rt.down.Load() {
		_ = conn.Close()
		return nil, errRouterDown
	}
	rt.conns = append(rt.conns, pc)
	return pc, nil
}

// pausableConn blocks reads and writes while the router's connections to the peer
// are paused.
type pausableConn struct {
	net.Conn
	rt   *routerNode
	peer netip.AddrPort
	once sync.Once
	// closed ends blocked reads and writes when the connection is closed.
	closed chan struct{}
}

func (pc *pausableConn) Close() error {
	pc.once.Do(func() { close(pc.closed) })
	return pc.Conn.Close()
}

func (pc *pausableConn) Read(buf []byte) (int, error) {
	size, err := pc.Conn.Read(buf)
	pc.wait()
	return size, err
}

func (pc *pausableConn) Write(buf []byte) (int, error) {
	pc.wait()
	return pc.Conn.Write(buf)
}

func (pc *pausableConn) wait() {
	cnp := pc.rt.paused.Load()
	if cnp != nil && (len(cnp.peers) == 0 || slices.Contains(cnp.peers, pc.peer)) {
		select {
		case <-cnp.resumed:
		case <-pc.closed:
		}
	}
}

type rpcRunner struct {
	srv *bwrpc.Server
	lis net.Listener
}

func (rnr *rpcRunner) run(ctx context.Context) { _ = rnr.srv.Serve(ctx, rnr.lis) }

type logWriter struct{ t testing.TB }

func (lw logWriter) Write(buf []byte) (int, error) {
	if lw.t.Context().Err() == nil {
		lw.t.Log(strings.TrimSpace(string(buf)))
	}
	return len(buf), nil
}

func withTeam(next http.Handler) http.Handler {
	return http.HandlerFunc(func(wrt http.ResponseWriter, req *http.Request) {
		team := bwmodel.Team{Name: bwmodel.TeamID(req.Header.Get("Team"))}
		next.ServeHTTP(wrt, req.WithContext(bwhttp.WithTeam(req.Context(), team)))
	})
}

func admitAll(context.Context, bwadmit.Request) (bwadmit.Grant, error) {
	return bwadmit.Grant{Finish: func(int) {}}, nil
}

func testService(model string) (bwmodel.Service, bool) {
	return bwmodel.Service{Name: "pisar-model", Kind: bwmodel.ModelService, Class: bwmodel.PromptClass}, model == testModel
}

func listen(t testing.TB) (net.Listener, netip.AddrPort) {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	must(t, err)
	return lis, lis.Addr().(*net.TCPAddr).AddrPort()
}

func must(t testing.TB, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// caller reads the events of a generation.
type caller struct {
	t            testing.TB
	text         strings.Builder
	ids          []bwmodel.TokenID
	lastEventID  string
	finishReason string
	events       int
	failed       bool
	body         *bufio.Scanner
	rsp          *http.Response
}

func (cl *cluster) post(rt *routerNode, prompt string, tokens int) *caller {
	cl.t.Helper()
	buf, err := json.Marshal(map[string]any{
		"model": testModel, "prompt": prompt, "max_tokens": tokens, "stream": true, "return_token_ids": true,
	})
	must(cl.t, err)
	req, err := http.NewRequestWithContext(cl.t.Context(), http.MethodPost, rt.web.URL+"/v1/completions", strings.NewReader(string(buf)))
	must(cl.t, err)
	cal := &caller{t: cl.t}
	cal.open(req, "alpha")
	return cal
}

// reconnect resumes the stream through another router.
func (cal *caller) reconnect(rt *routerNode) {
	cal.t.Helper()
	req, err := http.NewRequestWithContext(cal.t.Context(), http.MethodGet,
		rt.web.URL+"/v1/generations/"+cal.lastEventID+"?return_token_ids=true", nil)
	must(cal.t, err)
	req.Header.Set("Last-Event-ID", cal.lastEventID)
	cal.open(req, "alpha")
}

func (cal *caller) open(req *http.Request, team string) {
	cal.t.Helper()
	if status := cal.tryOpen(req, team); status != http.StatusOK {
		cal.t.Fatalf("status %d", status)
	}
}

// tryOpen sends a request and returns the status, or 0 if the router can't be reached.
func (cal *caller) tryOpen(req *http.Request, team string) int {
	cal.t.Helper()
	req.Header.Set("Team", team)
	rsp, err := http.DefaultClient.Do(req)
	if err != nil {
		cal.t.Log(err)
		return 0
	}
	cal.t.Cleanup(func() { _ = rsp.Body.Close() })
	cal.rsp = rsp
	cal.body = bufio.NewScanner(rsp.Body)
	cal.body.Buffer(nil, 1<<20)
	return rsp.StatusCode
}

// read reads events until the response has a number of tokens or ends.
func (cal *caller) read(tokens int) {
	cal.t.Helper()
	for len(cal.ids) < tokens && cal.body.Scan() {
		line := cal.body.Text()
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			cal.lastEventID = id
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return
		}
		var msg struct {
			Choices []struct {
				Text   string            `json:"text"`
				Delta  map[string]string `json:"delta"`
				IDs    []bwmodel.TokenID `json:"token_ids"`
				Finish string            `json:"finish_reason"`
			} `json:"choices"`
		}
		must(cal.t, json.Unmarshal([]byte(data), &msg))
		if len(msg.Choices) == 0 {
			cal.t.Logf("event %s", data)
			cal.failed = true
			return
		}
		cal.events++
		cal.text.WriteString(msg.Choices[0].Text + msg.Choices[0].Delta["content"])
		cal.ids = append(cal.ids, msg.Choices[0].IDs...)
		cal.finishReason = msg.Choices[0].Finish
	}
}

const allTokens = 1 << 30

// checkResponse compares the response with an uninterrupted generation.
func (cal *caller) checkResponse(prompt string, tokens int) {
	cal.t.Helper()
	want := ""
	ids := []bwmodel.TokenID{}
	for _, tok := range bwfakeengine.Continuation(bwfakeengine.Tokenize(prompt), tokens) {
		want += string(tok.Bytes)
		ids = append(ids, tok.ID)
	}
	want = strings.ToValidUTF8(want, "\ufffd")
	got := cal.text.String()
	if got != want {
		cal.t.Errorf("text\n%q\nwant\n%q", got, want)
	}
	if !slices.Equal(cal.ids, ids) {
		cal.t.Errorf("token ids differ: got %d, want %d", len(cal.ids), len(ids))
	}
	if cal.finishReason != "length" {
		cal.t.Errorf("finish %q, want length", cal.finishReason)
	}
}

func (cal *caller) handle() bwstream.Handle {
	cal.t.Helper()
	hd, err := bwstream.ParseHandle(cal.lastEventID)
	must(cal.t, err)
	return hd
}
