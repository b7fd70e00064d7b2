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

// Guards against a frozen engine that stops its callers, and against its late
// tokens after it goes on.
func TestFrozenEngine(t *testing.T) {
	cl := newCluster(t, 2, 2, fastEngine)
	cal := cl.post(cl.routers[0], "dlhý návrh", 100)
	cal.read(30)
	must(t, cl.nodes[0].engine.Freeze(t.Context()))
	cal.read(60)
	must(t, cl.nodes[0].engine.Thaw(t.Context()))
	cal.read(all)
	cal.check("dlhý návrh", 100)
	if got := cl.resumed.Load(); got != 1 {
		t.Errorf("%d resumes, want 1", got)
	}
}

// Guards against a baseline that resumes though it is told to end the
// generation, or that leaves its caller without an error.
func TestNoResume(t *testing.T) {
	cl := newClusterWith(t, clusterConfig{engines: 2, routers: 2, engine: fastEngine, edit: func(cfg *bwrouter.GenerationsConfig) {
		cfg.ShouldResume = func(string) bool { return false }
	}})
	cal := cl.post(cl.routers[0], "od začiatku", 100)
	cal.read(10)
	must(t, cl.nodes[0].engine.Kill(t.Context()))
	cal.read(all)
	if cal.finish != "" || len(cal.ids) >= 100 || !cal.failed || cl.resumed.Load() != 0 {
		t.Errorf("got %d tokens, finish %q, failed %v and %d resumes, want an error and no resume",
			len(cal.ids), cal.finish, cal.failed, cl.resumed.Load())
	}
}

// Guards against two deaths of three that lose the answer: holder with agent,
// and router with holder.
func TestDoubleDeath(t *testing.T) {
	const tokens = 200
	t.Run("holder and agent", func(t *testing.T) {
		cl := newCluster(t, 2, 3, fastEngine)
		cal := cl.post(cl.routers[0], "posudok skladu", tokens)
		cal.read(20)
		before := cal.handle()
		cl.routers[1].kill()
		cl.nodes[0].kill(t)
		cal.read(all)
		cal.check("posudok skladu", tokens)
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
		cal.read(all)
		cal.reconnect(cl.routers[2])
		cal.read(all)
		cal.check("posudok skladu", tokens)
	})
}

// Guards against a paused router that goes on delivering after another one has
// taken over its generation.
func TestPausedRouterDeliversNothing(t *testing.T) {
	const tokens = 400
	cl := newCluster(t, 2, 3, fastEngine)
	old := cl.post(cl.routers[0], "pozastavený smerovač", tokens)
	old.read(20)
	resume := cl.routers[0].pause()
	cal := &caller{t: t, ids: old.ids, last: old.last}
	cal.text.WriteString(old.text.String())
	cal.reconnect(cl.routers[2])
	cal.read(all)
	cal.check("pozastavený smerovač", tokens)
	time.Sleep(2 * time.Second)
	resume()
	old.read(all)
	// The old router may still deliver what the holder acknowledged before the takeover.
	if len(old.ids) >= tokens || old.finish != "" {
		t.Errorf("paused router delivered %d tokens and finish %q after the takeover", len(old.ids), old.finish)
	}
}

// Guards against a router that loses its holder, and gives the record to
// another one although a takeover has already happened at the old holder.
func TestCutRouterDeliversNothing(t *testing.T) {
	const tokens = 400
	tests := []struct {
		name string
		// cut returns the processes that the router no longer reaches.
		cut func(*cluster) []netip.AddrPort
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
			cl := newClusterWith(t, clusterConfig{engines: 2, routers: 3, engine: fastEngine, edit: func(cfg *bwrouter.GenerationsConfig) {
				cfg.HolderAckTimeout = 200 * time.Millisecond
				cfg.ResumeTimeout = 3 * time.Second
			}})
			old := cl.post(cl.routers[0], "odrezaný smerovač", tokens)
			old.read(20)
			resume := cl.routers[0].pause(tt.cut(cl)...)
			defer resume()
			cal := &caller{t: t, ids: old.ids, last: old.last}
			cal.text.WriteString(old.text.String())
			cal.reconnect(cl.routers[2])
			cal.read(all)
			cal.check("odrezaný smerovač", tokens)
			old.read(all)
			if len(old.ids) >= tokens || old.finish != "" {
				t.Errorf("cut router delivered %d tokens and finish %q after the takeover", len(old.ids), old.finish)
			}
		})
	}
}

// Guards against a router that starts another attempt after an agent has given
// its attempt to another router. The record's holder can't tell here, since it
// has released the record before.
func TestReplacedAttemptEndsTheGeneration(t *testing.T) {
	const tokens = 400
	cl := newCluster(t, 2, 4, fastEngine)
	old := cl.post(cl.routers[0], "vystriedaný smerovač", tokens)
	old.read(20)
	cal := &caller{t: t, ids: slices.Clone(old.ids), last: old.last}
	cal.text.WriteString(old.text.String())
	cl.routers[0].drop(cl.routers[1].addr)
	// The new handle follows at once.
	old.read(60)
	if old.handle().Holder == cal.handle().Holder {
		t.Fatal("the record has not moved")
	}
	cal.reconnect(cl.routers[3])
	cal.read(all)
	cal.check("vystriedaný smerovač", tokens)
	old.read(all)
	if len(old.ids) >= tokens || old.finish != "" {
		t.Errorf("replaced router delivered %d tokens and finish %q", len(old.ids), old.finish)
	}
}

// Guards against a handle of another team, a stale one and a malformed one
// that opens a generation.
func TestRefusedHandles(t *testing.T) {
	cl := newCluster(t, 1, 2, fastEngine)
	cal := cl.post(cl.routers[0], "cudzí tím", 50)
	cal.read(10)
	hd := cal.handle()
	ahead := hd
	ahead.Cursor = bwstream.Cursor{Position: 1000}
	lost := hd
	lost.Request[0]++
	tests := []struct {
		name, handle, team string
		status             int
	}{
		{"other team", hd.String(), "beta", http.StatusNotFound},
		{"position beyond the record", ahead.String(), "alpha", http.StatusConflict},
		{"unknown request", lost.String(), "alpha", http.StatusNotFound},
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

// Guards against "not run" for a generation that an engine may have worked on
// although no token arrived, and against "unknown" for one that no engine took.
func TestOutcomeWithoutAToken(t *testing.T) {
	silent := fastEngine
	silent.FirstTokenTime = time.Hour
	tests := []struct {
		name   string
		engine bwfakeengine.Config
		kill   bool
		want   bwhttp.Outcome
	}{
		{"engines took it", silent, false, bwhttp.OutcomeUnknown},
		{"agents are gone", fastEngine, true, bwhttp.OutcomeNotRun},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			cl := newClusterWith(t, clusterConfig{engines: 2, routers: 1, engine: tt.engine, edit: func(cfg *bwrouter.GenerationsConfig) {
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

// Guards against work that queues in a full engine while another has a slot,
// and against work that gives up although it only waits for a slot.
func TestFullEnginesAreLeftAlone(t *testing.T) {
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
		cal.read(all)
		cal.check("plná linka", tokens)
	}
	if got := cl.resumed.Load(); got != 0 {
		t.Errorf("%d resumes were counted, want none: the work only waited", got)
	}
}
