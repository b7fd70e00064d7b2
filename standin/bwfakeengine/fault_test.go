package bwfakeengine_test

import (
	"encoding/json"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"bilberrywick/core/bwstream"
	"bilberrywick/io/bwhttp"
	"bilberrywick/io/bwrouter"
	"bilberrywick/standin/bwfakeengine"
)

// Guards against a generation that stops with its frozen engine, and against late
// tokens of that engine after the thaw.
func TestFrozenEngine(t *testing.T) {
	cl := newCluster(t, 2, 2, fastEngine)
	cal := cl.post(cl.routers[0], "dlhý návrh", 100)
	cal.read(30)
	must(t, cl.nodes[0].engine.Freeze(t.Context()))
	cal.read(60)
	must(t, cl.nodes[0].engine.Thaw(t.Context()))
	cal.read(allTokens)
	cal.checkResponse("dlhý návrh", 100)
	if got := cl.resumes.Load(); got != 1 {
		t.Errorf("%d resumes, want 1", got)
	}
}

// Guards against a generation that resumes although ShouldResume returns false, or
// whose caller receives no error.
func TestNoResume(t *testing.T) {
	cl := newClusterWith(t, clusterConfig{engines: 2, routers: 2, engine: fastEngine, configure: func(cfg *bwrouter.GenerationsConfig) {
		cfg.ShouldResume = func(string) bool { return false }
	}})
	cal := cl.post(cl.routers[0], "od začiatku", 100)
	cal.read(10)
	must(t, cl.nodes[0].engine.Kill(t.Context()))
	cal.read(allTokens)
	if cal.finishReason != "" || len(cal.ids) >= 100 || !cal.failed || cl.resumes.Load() != 0 {
		t.Errorf("got %d tokens, finish %q, failed %v and %d resumes, want an error and no resume",
			len(cal.ids), cal.finishReason, cal.failed, cl.resumes.Load())
	}
}

// Guards against a response that is lost when two of its three processes fail:
// holder and agent, or router and holder.
func TestDoubleFailure(t *testing.T) {
	const tokens = 200
	t.Run("holder and agent", func(t *testing.T) {
		cl := newCluster(t, 2, 3, fastEngine)
		cal := cl.post(cl.routers[0], "posudok skladu", tokens)
		cal.read(20)
		before := cal.handle()
		cl.routers[1].kill()
		cl.nodes[0].kill(t)
		cal.read(allTokens)
		cal.checkResponse("posudok skladu", tokens)
		after := cal.handle()
		if after.Epoch <= before.Epoch || after.Holder != cl.routers[2].addr {
			t.Errorf("handle has epoch %d and holder %v, want a higher epoch than %d and holder %v",
				after.Epoch, after.Holder, before.Epoch, cl.routers[2].addr)
		}
	})
	t.Run("router and holder", func(t *testing.T) {
		cl := newCluster(t, 2, 3, fastEngine)
		cal := cl.post(cl.routers[0], "posudok skladu", tokens)
		cal.read(20)
		cl.routers[1].kill()
		cl.routers[0].kill()
		cal.read(allTokens)
		cal.reconnect(cl.routers[2])
		cal.read(allTokens)
		cal.checkResponse("posudok skladu", tokens)
	})
}

// Guards against a paused router that continues to deliver after another router
// has taken over the generation.
func TestPausedRouterDeliversNothing(t *testing.T) {
	const tokens = 400
	cl := newCluster(t, 2, 3, fastEngine)
	oldCaller := cl.post(cl.routers[0], "pozastavený smerovač", tokens)
	oldCaller.read(20)
	resume := cl.routers[0].pause()
	cal := &caller{t: t, ids: oldCaller.ids, lastEventID: oldCaller.lastEventID}
	cal.text.WriteString(oldCaller.text.String())
	cal.reconnect(cl.routers[2])
	cal.read(allTokens)
	cal.checkResponse("pozastavený smerovač", tokens)
	time.Sleep(2 * time.Second)
	resume()
	oldCaller.read(allTokens)
	// The old router may still deliver what the holder acknowledged before the takeover.
	if len(oldCaller.ids) >= tokens || oldCaller.finishReason != "" {
		t.Errorf("paused router delivered %d tokens and finish %q after the takeover", len(oldCaller.ids), oldCaller.finishReason)
	}
}

// Guards against a router that loses the connection to its holder and moves the
// record to another holder, although another router has taken over at the old one.
func TestDisconnectedRouterDeliversNothing(t *testing.T) {
	const tokens = 400
	tests := []struct {
		name string
		// unreachable returns the processes that the router can't reach.
		unreachable func(*cluster) []netip.AddrPort
	}{
		{"holder", func(cl *cluster) []netip.AddrPort {
			return []netip.AddrPort{cl.routers[1].addr}
		}},
		{"holder and agent", func(cl *cluster) []netip.AddrPort {
			return []netip.AddrPort{cl.routers[1].addr, cl.nodes[0].addr}
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			cl := newClusterWith(t, clusterConfig{engines: 2, routers: 3, engine: fastEngine, configure: func(cfg *bwrouter.GenerationsConfig) {
				cfg.HolderAckTimeout = 200 * time.Millisecond
				cfg.ResumeTimeout = 3 * time.Second
			}})
			oldCaller := cl.post(cl.routers[0], "odrezaný smerovač", tokens)
			oldCaller.read(20)
			resume := cl.routers[0].pause(tt.unreachable(cl)...)
			defer resume()
			cal := &caller{t: t, ids: oldCaller.ids, lastEventID: oldCaller.lastEventID}
			cal.text.WriteString(oldCaller.text.String())
			cal.reconnect(cl.routers[2])
			cal.read(allTokens)
			cal.checkResponse("odrezaný smerovač", tokens)
			oldCaller.read(allTokens)
			if len(oldCaller.ids) >= tokens || oldCaller.finishReason != "" {
				t.Errorf("disconnected router delivered %d tokens and finish %q after the takeover", len(oldCaller.ids), oldCaller.finishReason)
			}
		})
	}
}

// Guards against a router that starts another attempt after the agent has moved its
// attempt to another router. The old holder can't report the takeover here, since
// it has already released the record.
func TestReplacedAttemptEndsTheGeneration(t *testing.T) {
	const tokens = 400
	cl := newCluster(t, 2, 4, fastEngine)
	oldCaller := cl.post(cl.routers[0], "vystriedaný smerovač", tokens)
	oldCaller.read(20)
	cal := &caller{t: t, ids: slices.Clone(oldCaller.ids), lastEventID: oldCaller.lastEventID}
	cal.text.WriteString(oldCaller.text.String())
	cl.routers[0].closeConns(cl.routers[1].addr)
	// The next events contain the new handle.
	oldCaller.read(60)
	if oldCaller.handle().Holder == cal.handle().Holder {
		t.Fatal("the record's holder has not changed")
	}
	cal.reconnect(cl.routers[3])
	cal.read(allTokens)
	cal.checkResponse("vystriedaný smerovač", tokens)
	oldCaller.read(allTokens)
	if len(oldCaller.ids) >= tokens || oldCaller.finishReason != "" {
		t.Errorf("replaced router delivered %d tokens and finish %q", len(oldCaller.ids), oldCaller.finishReason)
	}
}

// Guards against a generation that is opened with the handle of another team, an
// invalid position, an unknown request or a malformed handle.
func TestRejectedHandles(t *testing.T) {
	cl := newCluster(t, 1, 2, fastEngine)
	cal := cl.post(cl.routers[0], "cudzí tím", 50)
	cal.read(10)
	hd := cal.handle()
	ahead := hd
	ahead.Cursor = bwstream.Cursor{Position: 1000}
	unknown := hd
	unknown.Request[0]++
	tests := []struct {
		name, handle, team string
		status             int
	}{
		{"other team", hd.String(), "beta", http.StatusNotFound},
		{"position beyond the record", ahead.String(), "alpha", http.StatusConflict},
		{"unknown request", unknown.String(), "alpha", http.StatusNotFound},
		{"malformed", "abc", "alpha", http.StatusBadRequest},
		{"too long", strings.Repeat("A", bwstream.MaxHandleLength+1), "alpha", http.StatusBadRequest},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, cl.routers[1].web.URL+"/v1/generations/"+tt.handle, nil)
			must(t, err)
			req.Header.Set("Team", tt.team)
			rsp, err := http.DefaultClient.Do(req)
			must(t, err)
			must(t, rsp.Body.Close())
			if rsp.StatusCode != tt.status {
				t.Errorf("status %d, want %d", rsp.StatusCode, tt.status)
			}
		})
	}
}

// Guards against the outcome NotRun for a generation that an engine may have
// started without returning a token, and against Unknown for one that no engine
// received.
func TestOutcomeWithoutTokens(t *testing.T) {
	slowEngine := fastEngine
	slowEngine.FirstTokenTime = time.Hour
	tests := []struct {
		name   string
		engine bwfakeengine.Config
		kill   bool
		want   bwhttp.Outcome
	}{
		{"engines accepted it", slowEngine, false, bwhttp.OutcomeUnknown},
		{"agents are down", fastEngine, true, bwhttp.OutcomeNotRun},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			cl := newClusterWith(t, clusterConfig{engines: 2, routers: 1, engine: tt.engine, configure: func(cfg *bwrouter.GenerationsConfig) {
				cfg.MaxAttempts = 2
				cfg.StallDetector.FirstTokenTimeout = 100 * time.Millisecond
			}})
			if tt.kill {
				for _, nd := range cl.nodes {
					nd.kill(t)
				}
			}
			body := strings.NewReader(`{"model":"` + testModel + `","prompt":"bez slov","max_tokens":4}`)
			req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, cl.routers[0].web.URL+"/v1/completions", body)
			must(t, err)
			req.Header.Set("Team", "alpha")
			rsp, err := http.DefaultClient.Do(req)
			must(t, err)
			defer func() { _ = rsp.Body.Close() }()
			var prb bwhttp.Problem
			must(t, json.NewDecoder(rsp.Body).Decode(&prb))
			if rsp.StatusCode != http.StatusServiceUnavailable || prb.Outcome != tt.want {
				t.Errorf("status %d and outcome %s, want 503 and %s", rsp.StatusCode, prb.Outcome, tt.want)
			}
		})
	}
}

// Guards against work that is queued in a full engine while another has a free
// slot, and against work that fails although it only has to wait for a slot.
func TestFullEnginesGetNoWork(t *testing.T) {
	const slots, generations, tokens = 2, 7, 60
	cl := newClusterWith(t, clusterConfig{engines: 2, routers: 2, engine: fastEngine, slots: slots})
	var callers []*caller
	for ix := range generations {
		callers = append(callers, cl.post(cl.routers[ix%2], "plná linka", tokens))
	}
	for _, nd := range cl.nodes {
		if running, waiting := nd.engine.SequenceCounts(); running+waiting > slots {
			t.Errorf("%s has %d generations, want at most %d", nd.name, running+waiting, slots)
		}
	}
	for _, cal := range callers {
		cal.read(allTokens)
		cal.checkResponse("plná linka", tokens)
	}
	if got := cl.resumes.Load(); got != 0 {
		t.Errorf("%d resumes, want 0: the work only waited for a slot", got)
	}
}
