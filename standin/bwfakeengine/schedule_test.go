package bwfakeengine_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"bilberrywick/standin/bwfakeengine"
)

const scheduleSeed = 20261204

// readToEnd reads to the end of the response and reconnects through the live routers.
func (cal *caller) readToEnd(cl *cluster) {
	cal.t.Helper()
	for next := 0; cal.t.Context().Err() == nil; next++ {
		cal.read(allTokens)
		if cal.finishReason != "" {
			return
		}
		cal.failed = false
		for !cal.tryReconnect(cl.routers[next%len(cl.routers)]) && cal.t.Context().Err() == nil {
			next++
			time.Sleep(5 * time.Millisecond)
		}
	}
}

func (cal *caller) tryReconnect(rt *routerNode) bool {
	cal.t.Helper()
	if rt.down.Load() || rt.paused.Load() != nil {
		return false
	}
	req, err := http.NewRequestWithContext(cal.t.Context(), http.MethodGet,
		rt.web.URL+"/v1/generations/"+cal.lastEventID+"?return_token_ids=true", nil)
	must(cal.t, err)
	req.Header.Set("Last-Event-ID", cal.lastEventID)
	return cal.tryOpen(req, "alpha") == http.StatusOK
}

// Guards against tokens that are lost, repeated or mixed up when any two of
// engine, agent, router and holder fail.
func TestPairsOfFailures(t *testing.T) {
	const tokens = 250
	failures := []struct {
		name string
		kill func(t *testing.T, cl *cluster, nth int)
	}{
		{"engine", func(t *testing.T, cl *cluster, nth int) { must(t, cl.busyEngine(nth).engine.Kill(t.Context())) }},
		{"agent", func(_ *testing.T, cl *cluster, nth int) { cl.busyEngine(nth).stop() }},
		{"router", func(_ *testing.T, cl *cluster, _ int) { cl.routers[0].kill() }},
		{"holder", func(_ *testing.T, cl *cluster, nth int) { cl.routers[1+nth].kill() }},
	}
	for ia, first := range failures {
		for _, second := range failures[ia:] {
			if first.name == "router" && second.name == "router" {
				continue
			}
			t.Run(first.name+" and "+second.name, func(t *testing.T) {
				t.Parallel()
				cl := newCluster(t, 3, 4, fastEngine)
				cal := cl.post(cl.routers[0], "posudok skladu "+first.name, tokens)
				cal.read(20)
				first.kill(t, cl, 0)
				nth := 0
				if first.name == second.name {
					cal.read(60)
					nth = 1
				}
				second.kill(t, cl, nth)
				cal.readToEnd(cl)
				cal.checkResponse("posudok skladu "+first.name, tokens)
			})
		}
	}
}

// busyEngine returns an engine that has a sequence, or the n-th engine if none has.
func (cl *cluster) busyEngine(nth int) *engineNode {
	for _, nd := range cl.nodes {
		if running, waiting := nd.engine.SequenceCounts(); running+waiting > 0 {
			return nd
		}
	}
	return cl.nodes[nth]
}

// Faults of a schedule.
const (
	engineFailure = iota
	engineFreeze
	agentFailure
	routerFailure
	routerPause
	faultKinds
)

// schedule injects the faults of one run.
type schedule struct {
	t             *testing.T
	cl            *cluster
	restores      []func()
	processKilled bool
	// engineWithoutAgent is the engine whose agent was killed; it gets no further fault.
	engineWithoutAgent *engineNode
}

// inject ends the previous faults and injects a fault. At most one router or agent
// is killed in a run, so that a copy of each record remains. A killed engine is
// restarted when its fault ends.
func (sch *schedule) inject(kind, index int) {
	t, cl := sch.t, sch.cl
	nd, rt := cl.nodes[index%len(cl.nodes)], cl.routers[index%len(cl.routers)]
	sch.endFaults()
	if nd == sch.engineWithoutAgent {
		return
	}
	switch kind {
	case engineFailure:
		must(t, nd.engine.Kill(t.Context()))
		sch.restores = append(sch.restores, func() { must(t, nd.engine.Restart(t.Context())) })
	case engineFreeze:
		must(t, nd.engine.Freeze(t.Context()))
		sch.restores = append(sch.restores, func() { must(t, nd.engine.Thaw(t.Context())) })
	case agentFailure, routerFailure:
		if sch.processKilled {
			return
		}
		sch.processKilled = true
		if kind == agentFailure {
			sch.engineWithoutAgent = nd
			nd.stop()
			return
		}
		rt.kill()
	case routerPause:
		if !rt.down.Load() {
			sch.restores = append(sch.restores, rt.pause())
		}
	}
}

func (sch *schedule) endFaults() {
	for _, restore := range sch.restores {
		restore()
	}
	sch.restores = nil
}

// reader reads one response to its end.
type reader struct {
	cal  *caller
	cl   *cluster
	done *sync.WaitGroup
}

func (rdr *reader) run() {
	defer rdr.done.Done()
	rdr.cal.readToEnd(rdr.cl)
}

// Guards against tokens that are lost, repeated or mixed up, and against a caller
// that receives another caller's response, when faults are combined while several
// generations run.
func TestFaultSchedules(t *testing.T) {
	const generations, tokens = 4, 160
	t.Logf("seed %d", scheduleSeed)
	params := gopter.DefaultTestParametersWithSeed(scheduleSeed)
	params.MinSuccessfulTests = 12
	pps := gopter.NewProperties(params)
	pps.Property("every caller gets its own complete response", prop.ForAll(func(kinds, indexes []int) bool {
		return t.Run(fmt.Sprint(kinds, indexes), func(t *testing.T) {
			cl := newCluster(t, 4, 4, bwfakeengine.Config{TokenTime: 3 * time.Millisecond, CacheBlocks: 64})
			sch := &schedule{t: t, cl: cl}
			var done sync.WaitGroup
			cals := make([]*caller, generations)
			for ix := range cals {
				cals[ix] = cl.post(cl.routers[ix], fmt.Sprintf("žiadosť číslo %d", ix), tokens)
				cals[ix].read(1)
			}
			done.Add(generations)
			for _, cal := range cals {
				rdr := &reader{cal: cal, cl: cl, done: &done}
				go rdr.run()
			}
			for ix, kind := range kinds {
				sch.inject(kind, indexes[ix])
				time.Sleep(100 * time.Millisecond)
			}
			sch.endFaults()
			done.Wait()
			for ix, cal := range cals {
				cal.checkResponse(fmt.Sprintf("žiadosť číslo %d", ix), tokens)
			}
		})
	}, gen.SliceOfN(3, gen.IntRange(0, faultKinds-1)), gen.SliceOfN(3, gen.IntRange(0, 3))))
	pps.TestingRun(t)
}
