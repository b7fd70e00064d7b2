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

// lines keeps the routers' log.
type lines struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (lns *lines) Write(txt []byte) (int, error) {
	lns.mu.Lock()
	defer lns.mu.Unlock()
	return lns.buf.Write(txt)
}

func (lns *lines) count(part string) int {
	lns.mu.Lock()
	defer lns.mu.Unlock()
	return strings.Count(lns.buf.String(), part)
}

// load asks for one model until its context ends.
type load struct {
	flt  *bwdev.Fleet
	done sync.WaitGroup
}

func (ld *load) run(ctx context.Context) {
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

// holding counts the engines that hold a model.
func holding(flt *bwdev.Fleet, model string) int {
	count := 0
	for _, eng := range flt.Engines {
		if slices.Contains(eng.Fake.Models(), model) {
			count++
		}
	}
	return count
}

// await polls a condition until the test's own deadline.
func await(t *testing.T, what string, holds func() bool) {
	t.Helper()
	tick := time.NewTicker(10 * time.Millisecond)
	defer tick.Stop()
	for !holds() {
		select {
		case <-tick.C:
		case <-t.Context().Done():
			t.Fatal(what, errors.New("never came about"))
		}
	}
}

// Guards against demand that does not reach the holder of the lease, and
// against orders that do not reach an engine: a model without an engine gets its
// minimum, and one that callers ask for gets more; both without a restart.
func TestPlacementFollowsDemand(t *testing.T) {
	log := &lines{}
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
	await(t, "one engine for the model's minimum", func() bool { return holding(flt, "pisar/70b") >= 1 })
	ctx, stop := context.WithCancel(t.Context())
	ld := &load{flt: flt}
	for range 32 {
		ld.done.Add(1)
		go ld.run(ctx)
	}
	await(t, "a second engine for the demand", func() bool { return holding(flt, "pisar/70b") >= 2 })
	stop()
	ld.done.Wait()
	if holding(flt, "pisar/12b") < 1 {
		t.Error("no engine holds the model that nobody asks for, want its minimum")
	}
	if log.count(`"Kind":"Place"`) < 2 || log.count(string(bwplace.ReasonMinimum)) == 0 || log.count(string(bwplace.ReasonDemand)) == 0 {
		t.Error("log lacks a line for a placement decision")
	}
}
