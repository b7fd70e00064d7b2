package bwdev_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"bilberrywick/cmd/bwdev"
	"bilberrywick/core/bwmodel"
	"bilberrywick/core/bwplace"
	"bilberrywick/io/bwrouter"
	"bilberrywick/io/bwwire"
	"bilberrywick/standin/bwfakeengine"
)

const gib = 1 << 30

// logBuffer collects the routers' logs.
type logBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (lbf *logBuffer) Write(txt []byte) (int, error) {
	lbf.mu.Lock()
	defer lbf.mu.Unlock()
	return lbf.buf.Write(txt)
}

func (lbf *logBuffer) count(part string) int {
	lbf.mu.Lock()
	defer lbf.mu.Unlock()
	return strings.Count(lbf.buf.String(), part)
}

// loadGenerator sends requests for one model until its context ends.
type loadGenerator struct {
	flt  *bwdev.Fleet
	done sync.WaitGroup
}

func (ld *loadGenerator) run(ctx context.Context) {
	defer ld.done.Done()
	for ctx.Err() == nil {
		body := strings.NewReader(`{"model":"pisar/70b","prompt":"dedication","max_tokens":200}`)
		url := fmt.Sprintf("http://%v/v1/completions", ld.flt.CallerAddresses()[0])
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, body)
		if err != nil {
			return
		}
		req.Header.Set("Authorization", "Bearer carvers-key")
		rsp, err := http.DefaultClient.Do(req)
		if err != nil {
			continue
		}
		_, _ = io.Copy(io.Discard, rsp.Body)
		_ = rsp.Body.Close()
	}
}

// enginesWithModel returns the number of engines that have loaded a model.
func enginesWithModel(flt *bwdev.Fleet, model string) int {
	count := 0
	for _, eng := range flt.Engines {
		if slices.Contains(eng.Fake.Models(), model) {
			count++
		}
	}
	return count
}

// waitFor polls a condition until it is true or the test's context ends.
func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	tick := time.NewTicker(10 * time.Millisecond)
	defer tick.Stop()
	for !condition() {
		select {
		case <-tick.C:
		case <-t.Context().Done():
			t.Fatal(what, errors.New("not reached before the test ended"))
		}
	}
}

// Guards against demand reports that do not reach the lease holder, and against load
// commands that do not reach an engine: a model without an engine gets its minimum
// number of engines, and one with demand gets more, both without a restart.
func TestPlacementFollowsDemand(t *testing.T) {
	log := &logBuffer{}
	flt, err := bwdev.Start(t.Context(), bwdev.Config{
		Region: "sk-stred", Zones: []bwmodel.ZoneID{"Brezno", "Zvolen"}, Routers: 3,
		ModelService: "pisar-model", PlainService: "objednavky-pult",
		Engines: 4, Engine: bwfakeengine.Config{Slots: 4, Models: []string{"pisar/12b"}},
		Models: []bwwire.ServedModelDocument{
			{Name: "pisar/12b", Bytes: gib, MinEngines: 1}, {Name: "pisar/70b", Bytes: gib, MinEngines: 1},
		},
		Teams:     []bwdev.Team{{Name: "carvers", Key: "carvers-key"}},
		LogOutput: log, LogLevel: "Info",
		Duties: bwrouter.DutyTiming{
			LeaseTTL: time.Second, ReportInterval: 100 * time.Millisecond, PlanInterval: 50 * time.Millisecond, SettleTime: 300 * time.Millisecond,
			Planner: bwplace.Config{
				WeightBytesPerSecond: 100 * gib, MinChangeInterval: 500 * time.Millisecond, MinShortageTime: time.Millisecond, DemandTimeConstant: 100 * time.Millisecond,
			},
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	defer flt.Close()
	waitFor(t, "one engine for the model's minimum", func() bool { return enginesWithModel(flt, "pisar/70b") >= 1 })
	ctx, stop := context.WithCancel(t.Context())
	ld := &loadGenerator{flt: flt}
	for range 32 {
		ld.done.Add(1)
		go ld.run(ctx)
	}
	waitFor(t, "a second engine for the demand", func() bool { return enginesWithModel(flt, "pisar/70b") >= 2 })
	stop()
	ld.done.Wait()
	if enginesWithModel(flt, "pisar/12b") < 1 {
		t.Error("no engine has loaded the model without demand, want its minimum")
	}
	if log.count(`"Kind":"Place"`) < 2 || log.count(string(bwplace.ReasonMinimum)) == 0 || log.count(string(bwplace.ReasonDemand)) == 0 {
		t.Error("the log has no line for a placement decision")
	}
}
