package bwfakeengine_test

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"bilberrywick/core/bwmodel"
	"bilberrywick/core/bwretry"
	"bilberrywick/core/bwroute"
	"bilberrywick/io/bwrouter"
)

// losses counts the log lines about lost attempts.
type losses struct{ count atomic.Int64 }

func (los *losses) Write(buf []byte) (int, error) {
	los.count.Add(1)
	return len(buf), nil
}

// clock stands still until it is moved.
type clock struct{ offset atomic.Int64 }

func (clk *clock) now() time.Time { return time.Unix(1_700_000_000, clk.offset.Load()) }

// detour sends new work to the first engine and holds back resumes.
type detour struct {
	cl      *cluster
	resumes atomic.Int64
	open    chan struct{}
}

func (det *detour) choose(ctx context.Context, req bwroute.Request) (bwroute.Choice, error) {
	nd := det.cl.nodes[0]
	if req.NoProbe {
		det.resumes.Add(1)
		select {
		case <-det.open:
		case <-ctx.Done():
			return bwroute.Choice{}, ctx.Err()
		}
		nd = det.cl.nodes[1]
	}
	ups := bwmodel.Upstream{Name: nd.name, Agent: nd.addr}
	return bwroute.Choice{Upstream: ups, Finish: func(bwroute.Outcome) {}}, nil
}

// Guards against an engine's death after which all its generations resume at
// once, and against those that wait being forgotten.
func TestResumesAreBudgeted(t *testing.T) {
	// The outputs are long enough that none ends before the engine dies.
	const generations, burst, tokens = 6, 2, 1500
	clk, los := new(clock), new(losses)
	det := &detour{open: make(chan struct{})}
	cl := newClusterWith(t, clusterConfig{engines: 2, routers: 2, engine: fastEngine, edit: func(cfg *bwrouter.GenerationsConfig) {
		cfg.Now, cfg.Choose = clk.now, det.choose
		cfg.ResumeBudget = bwretry.BudgetConfig{Burst: burst}
		cfg.Log = slog.New(slog.NewTextHandler(los, &slog.HandlerOptions{Level: slog.LevelWarn}))
	}})
	det.cl = cl
	var done sync.WaitGroup
	cals := make([]*caller, generations)
	for ix := range cals {
		cals[ix] = cl.post(cl.routers[0], fmt.Sprint("strata ", ix), tokens)
		cals[ix].read(5)
	}
	must(t, cl.nodes[0].engine.Kill(t.Context()))
	cl.until(func() bool { return los.count.Load() >= generations })
	// Every session starts its resume right after it has logged the loss.
	time.Sleep(20 * time.Millisecond)
	if got := det.resumes.Load(); got != burst {
		t.Errorf("%d resumes at once, want %d", got, burst)
	}
	close(det.open)
	done.Add(generations)
	for _, cal := range cals {
		rdr := &reader{cal: cal, cl: cl, done: &done}
		go rdr.run()
	}
	cl.until(func() bool {
		clk.offset.Add(int64(time.Millisecond))
		return det.resumes.Load() >= generations
	})
	done.Wait()
	for ix, cal := range cals {
		cal.check(fmt.Sprint("strata ", ix), tokens)
	}
}
