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

// complete reads to the end, and reconnects through the routers that live.
func (cal *caller) complete(cl *cluster) {
	cal.t.Helper()
	for turn := 0; cal.t.Context().Err() == nil; turn++ {
		cal.read(all)
		if cal.finish != "" {
			return
		}
		cal.failed = false
		for !cal.tryReconnect(cl.routers[turn%len(cl.routers)]) && cal.t.Context().Err() == nil {
			turn++
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
		rt.web.URL+"/v1/generations/"+cal.last+"?return_token_ids=true", nil)
	must(cal.t, err)
	req.Header.Set("Last-Event-ID", cal.last)
	return cal.tryOpen(req, "alpha") == http.StatusOK
}

// Guards against any two deaths among engine, agent, router and holder that
// lose, repeat or mix tokens.
func TestPairsOfDeaths(t *testing.T) {
	const tokens = 250
	deaths := []struct {
		name string
		kill func(t *testing.T, cl *cluster, nth int)
	}{
		{"engine", func(t *testing.T, cl *cluster, nth int) { must(t, cl.busy(nth).engine.Kill(t.Context())) }},
		{"agent", func(_ *testing.T, cl *cluster, nth int) { cl.busy(nth).stop() }},
		{"router", func(_ *testing.T, cl *cluster, _ int) { cl.routers[0].kill() }},
		{"holder", func(_ *testing.T, cl *cluster, nth int) { cl.routers[1+nth].kill() }},
	}
	for ia, one := range deaths {
		for _, two := range deaths[ia:] {
			if one.name == "router" && two.name == "router" {
				continue
			}
			t.Run(one.name+" and "+two.name, func(t *testing.T) {
				t.Parallel()
				cl := newCluster(t, 3, 4, fastEngine)
				cal := cl.post(cl.routers[0], "posudok skladu "+one.name, tokens)
				cal.read(20)
				one.kill(t, cl, 0)
				nth := 0
				if one.name == two.name {
					cal.read(60)
					nth = 1
				}
				two.kill(t, cl, nth)
				cal.complete(cl)
				cal.check("posudok skladu "+one.name, tokens)
			})
		}
	}
}

// busy returns an engine that has a sequence, or the n-th when none has.
func (cl *cluster) busy(nth int) *engineNode {
	for _, nd := range cl.nodes {
		if running, waiting := nd.engine.SequenceCounts(); running+waiting > 0 {
			return nd
		}
	}
	return cl.nodes[nth]
}

// Faults of a schedule.
const (
	engineDeath = iota
	engineFreeze
	agentDeath
	routerDeath
	routerPause
	faultKinds
)

// schedule is one run with faults at positions of the first answer.
type schedule struct {
	t      *testing.T
	cl     *cluster
	thaws  []func()
	killed bool
	// gone is the engine whose VM died with its agent.
	gone *engineNode
}

// strike injects a fault. At most one router and one agent die in a run, so that
// every record keeps a copy; an engine that dies comes back.
func (sch *schedule) strike(kind, index int) {
	t, cl := sch.t, sch.cl
	nd, rt := cl.nodes[index%len(cl.nodes)], cl.routers[index%len(cl.routers)]
	sch.heal()
	if nd == sch.gone {
		return
	}
	switch kind {
	case engineDeath:
		must(t, nd.engine.Kill(t.Context()))
		sch.thaws = append(sch.thaws, func() { must(t, nd.engine.Restart(t.Context())) })
	case engineFreeze:
		must(t, nd.engine.Freeze(t.Context()))
		sch.thaws = append(sch.thaws, func() { must(t, nd.engine.Thaw(t.Context())) })
	case agentDeath, routerDeath:
		if sch.killed {
			return
		}
		sch.killed = true
		if kind == agentDeath {
			sch.gone = nd
			nd.stop()
			return
		}
		rt.kill()
	case routerPause:
		if !rt.down.Load() {
			sch.thaws = append(sch.thaws, rt.pause())
		}
	}
}

func (sch *schedule) heal() {
	for _, thaw := range sch.thaws {
		thaw()
	}
	sch.thaws = nil
}

// reader reads one answer to its end.
type reader struct {
	cal  *caller
	cl   *cluster
	done *sync.WaitGroup
}

func (rdr *reader) run() {
	defer rdr.done.Done()
	rdr.cal.complete(rdr.cl)
}

// Guards against combinations of faults, while several generations run at once,
// that lose, repeat or mix tokens or give a caller the answer to another's request.
func TestFaultSchedules(t *testing.T) {
	const generations, tokens = 4, 160
	t.Logf("seed %d", scheduleSeed)
	params := gopter.DefaultTestParametersWithSeed(scheduleSeed)
	params.MinSuccessfulTests = 12
	pps := gopter.NewProperties(params)
	pps.Property("every caller gets its own whole answer", prop.ForAll(func(kinds, indexes []int) bool {
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
				sch.strike(kind, indexes[ix])
				time.Sleep(100 * time.Millisecond)
			}
			sch.heal()
			done.Wait()
			for ix, cal := range cals {
				cal.check(fmt.Sprintf("žiadosť číslo %d", ix), tokens)
			}
		})
	}, gen.SliceOfN(3, gen.IntRange(0, faultKinds-1)), gen.SliceOfN(3, gen.IntRange(0, 3))))
	pps.TestingRun(t)
}
