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

// lossCounter counts the log lines at level WARN, one for each lost attempt.
type lossCounter struct{ count atomic.Int64 }

func (lsc *lossCounter) Write(buf []byte) (int, error) {
	lsc.count.Add(1)
	return len(buf), nil
}

// manualClock is a clock that the test advances.
type manualClock struct{ offset atomic.Int64 }

func (clk *manualClock) now() time.Time { return time.Unix(1_700_000_000, clk.offset.Load()) }

// resumeChooser sends new work to the first engine. It blocks resumes until
// release is closed and sends them to the second engine.
type resumeChooser struct {
	cl      *cluster
	resumes atomic.Int64
	release chan struct{}
}

func (rsc *resumeChooser) choose(ctx context.Context, req bwroute.Request) (bwroute.Choice, error) {
	nd := rsc.cl.nodes[0]
	if req.NoProbe {
		rsc.resumes.Add(1)
		select {
		case <-rsc.release:
		case <-ctx.Done():
			return bwroute.Choice{}, ctx.Err()
		}
		nd = rsc.cl.nodes[1]
	}
	ups := bwmodel.Upstream{Name: nd.name, Agent: nd.addr}
	return bwroute.Choice{Upstream: ups, Finish: func(bwroute.Outcome) {}}, nil
}

// Guards against generations that all resume at once after their engine has
// failed, and against waiting ones that never resume.
func TestResumesAreBudgeted(t *testing.T) {
	// The outputs are so long that none ends before the engine is killed.
	const generations, burst, tokens = 6, 2, 1500
	clk, lsc := new(manualClock), new(lossCounter)
	rsc := &resumeChooser{release: make(chan struct{})}
	cl := newClusterWith(t, clusterConfig{engines: 2, routers: 2, engine: fastEngine, configure: func(cfg *bwrouter.GenerationsConfig) {
		cfg.Now, cfg.Choose = clk.now, rsc.choose
		cfg.ResumeBudget = bwretry.BudgetConfig{Burst: burst}
		cfg.Log = slog.New(slog.NewTextHandler(lsc, &slog.HandlerOptions{Level: slog.LevelWarn}))
	}})
	rsc.cl = cl
	var done sync.WaitGroup
	cals := make([]*caller, generations)
	for ix := range cals {
		cals[ix] = cl.post(cl.routers[0], fmt.Sprint("strata ", ix), tokens)
		cals[ix].read(5)
	}
	must(t, cl.nodes[0].engine.Kill(t.Context()))
	cl.waitUntil(func() bool { return lsc.count.Load() >= generations })
	// Each generation resumes immediately after it has logged the loss.
	time.Sleep(20 * time.Millisecond)
	if got := rsc.resumes.Load(); got != burst {
		t.Errorf("%d resumes at once, want %d", got, burst)
	}
	close(rsc.release)
	done.Add(generations)
	for _, cal := range cals {
		rdr := &reader{cal: cal, cl: cl, done: &done}
		go rdr.run()
	}
	cl.waitUntil(func() bool {
		clk.offset.Add(int64(time.Millisecond))
		return rsc.resumes.Load() >= generations
	})
	done.Wait()
	for ix, cal := range cals {
		cal.checkResponse(fmt.Sprint("strata ", ix), tokens)
	}
}
