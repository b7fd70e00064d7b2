package bwduty_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"bilberrywick/core/bwlease"
	"bilberrywick/core/bwmodel"
	"bilberrywick/core/bwplace"
	"bilberrywick/io/bwduty"
	"bilberrywick/io/bwrpc"
	"bilberrywick/io/bwwire"
)

// placementRun runs a placement of two models on four engines, and records the
// orders without executing them.
type placementRun struct {
	plc       *bwduty.Placement
	leaseHeld atomic.Bool
	setBy     bwmodel.TicketNumber
	mu        sync.Mutex
	orders    []bwduty.Order
}

func (pl *placementRun) recordOrder(_ context.Context, ord bwduty.Order) error {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	pl.orders = append(pl.orders, ord)
	return nil
}

func (pl *placementRun) sentOrders() []bwduty.Order {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	return slices.Clone(pl.orders)
}

func (pl *placementRun) fence() (bwmodel.Fence, error) {
	if !pl.leaseHeld.Load() {
		return 0, bwlease.ErrNotHeld
	}
	return 1, nil
}

func (pl *placementRun) objects() (bwduty.PlacementObjects, bool) {
	obs := bwduty.PlacementObjects{SetBy: pl.setBy, Service: bwmodel.Service{
		Name:   "review-desk",
		Models: []bwmodel.ServedModel{{Name: "a", Bytes: 1, MinEngines: 1}, {Name: "b", Bytes: 1, MinEngines: 1}},
	}}
	for ix := range 4 {
		obs.Upstreams = append(obs.Upstreams, bwmodel.Upstream{Name: bwmodel.UpstreamID(fmt.Sprint("u", ix))})
	}
	return obs, true
}

// newReport returns a report in which all engines have model a loaded.
func (pl *placementRun) newReport(setBy bwmodel.TicketNumber, demand float32) *bwwire.DemandReport {
	rep := &bwwire.DemandReport{From: "r1", Service: "review-desk", SetBy: setBy, Rates: []float32{0, demand}}
	for ix := range 4 {
		rep.Engines = append(rep.Engines, bwwire.EngineReport{
			Upstream: bwmodel.UpstreamID(fmt.Sprint("u", ix)), Incarnation: 7, Rate: 1000, Models: []int{0}, Usable: true,
		})
	}
	return rep
}

func runPlacement(t *testing.T, test func(pl *placementRun)) {
	synctest.Test(t, func(t *testing.T) {
		pl := &placementRun{setBy: 5}
		var err error
		pl.plc, err = bwduty.NewPlacement(bwduty.PlacementConfig{
			SendOrder: pl.recordOrder, CurrentFence: pl.fence, Objects: pl.objects, Planner: bwplace.Config{WeightBytesPerSecond: 1 << 30},
		})
		if err != nil {
			t.Fatal(err)
		}
		ctx, stop := context.WithCancel(t.Context())
		pl.plc.Start(ctx)
		test(pl)
		stop()
		pl.plc.Wait()
	})
}

// Guards against a plan without the lease, against a plan before each router has
// reported twice, and against an order that names another incarnation of the agent.
func TestPlanNeedsLeaseAndReports(t *testing.T) {
	runPlacement(t, func(pl *placementRun) {
		pl.plc.RecordReport(pl.newReport(5, 0))
		time.Sleep(30 * time.Second)
		if len(pl.sentOrders()) > 0 {
			t.Error("order sent without the lease")
		}
		pl.leaseHeld.Store(true)
		time.Sleep(20 * time.Second)
		pl.plc.RecordReport(pl.newReport(5, 0))
		if len(pl.sentOrders()) > 0 {
			t.Error("order sent 20 s after the lease was acquired, before each router has reported twice")
		}
		time.Sleep(20 * time.Second)
		if len(pl.sentOrders()) != 1 || pl.sentOrders()[0].Load != "b" || pl.sentOrders()[0].Incarnation != 7 {
			t.Errorf("got orders %+v, want one that loads b", pl.sentOrders())
		}
	})
}

// Guards against model indexes of a report that are applied to another ticket's
// list of models, and against demand that still counts after its router has died.
func TestStaleReportsAreIgnored(t *testing.T) {
	runPlacement(t, func(pl *placementRun) {
		pl.leaseHeld.Store(true)
		for range 10 {
			pl.plc.RecordReport(pl.newReport(4, 5000))
			time.Sleep(10 * time.Second)
		}
		if len(pl.sentOrders()) > 0 {
			t.Errorf("orders %+v from reports under another ticket", pl.sentOrders())
		}
		pl.plc.RecordReport(pl.newReport(5, 5000))
		time.Sleep(2 * time.Minute)
		count := len(pl.sentOrders())
		if count == 0 {
			t.Error("no order for the demand")
		}
		time.Sleep(10 * time.Minute)
		if len(pl.sentOrders()) != count {
			t.Errorf("%d orders after the last report has expired", len(pl.sentOrders())-count)
		}
	})
}

// Guards against reports that use up a candidate's budget of 9 KB/s: each of the
// 167 routers of a region sends one with 16 models and 6 engines every 10 s.
func TestReportSize(t *testing.T) {
	cod, err := bwrpc.NewCodec()
	if err != nil {
		t.Fatal(err)
	}
	rep := &bwwire.DemandReport{From: "router-0123", Service: "pisar-model", SetBy: 123456}
	for ix := range 16 {
		rep.Rates = append(rep.Rates, 1234.5+float32(ix))
	}
	for ix := range 6 {
		rep.Engines = append(rep.Engines, bwwire.EngineReport{
			Upstream: bwmodel.UpstreamID(fmt.Sprint("engine-012", ix)), Incarnation: 1796372400123456789,
			Age: 700 * time.Millisecond, Rate: 8000.5, Models: []int{3}, Usable: true,
		})
	}
	buf, err := cod.Marshal(rep)
	if err = errors.Join(err, cod.Unmarshal(buf, new(bwwire.DemandReport))); err != nil {
		t.Fatal(err)
	}
	rate := 167 * len(buf) / 10
	t.Logf("report of %d bytes, candidate receives %d bytes/s", len(buf), rate)
	if rate > 7000 {
		t.Errorf("candidate receives %d bytes/s, want at most 7000", rate)
	}
}
