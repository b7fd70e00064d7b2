package bwduty

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"time"

	"bilberrywick/core/bwlease"
	"bilberrywick/core/bwmodel"
	"bilberrywick/core/bwplace"
	"bilberrywick/io/bwobserve"
	"bilberrywick/io/bwwire"
)

// Placement decides which engines of one service in one region load which
// models, while its duty's lease is held. Each candidate collects the routers'
// reports, so that the next holder knows the demand when it takes the lease.
type Placement struct {
	cfg     PlacementConfig
	reports chan received
	ended   chan struct{}
}

// PlacementConfig configures a Placement.
type PlacementConfig struct {
	// SendOrder sends an order under the lease, as Duty.SendOrder does, and Fence returns
	// the fence, as Duty.CurrentFence does.
	SendOrder    func(context.Context, Order) error
	CurrentFence func() (bwmodel.Fence, error)
	// Objects returns the service and its upstreams in effect.
	Objects func() (PlacementObjects, bool)
	Planner bwplace.Config
	// Interval separates plans; 0 means 5 s.
	Interval time.Duration
	// SettleTime is how long the reports must have been collected under the lease
	// before the first plan; 0 means 25 s, two reports of each router.
	SettleTime time.Duration
	// Now reads a monotonic clock; nil means time.Now.
	Now func() time.Time
	Log *slog.Logger
}

// PlacementObjects are the service to place and its upstreams in the region.
type PlacementObjects struct {
	Service bwmodel.Service
	// SetBy is the ticket that set the service.
	SetBy     bwmodel.TicketNumber
	Upstreams []bwmodel.Upstream
}

const (
	defaultPlanInterval = 5 * time.Second
	defaultSettle       = 25 * time.Second
	// demandTime is how long a router's demand counts, three reports.
	demandTime = 30 * time.Second
	// engineTime is how long an engine counts that nobody reports. A report holds
	// some of the engines, so that each is expected twice in 10 s.
	engineTime    = time.Minute
	reportBacklog = 256
)

// received is a report and when it arrived.
type received struct {
	report *bwwire.DemandReport
	at     time.Time
}

// NewPlacement returns a placement that knows no demand, or an error that names a missing field.
func NewPlacement(cfg PlacementConfig) (*Placement, error) {
	if cfg.SendOrder == nil || cfg.CurrentFence == nil || cfg.Objects == nil {
		return nil, errors.New("placement needs Give, Fence and Objects")
	}
	if cfg.Interval == 0 {
		cfg.Interval = defaultPlanInterval
	}
	if cfg.SettleTime == 0 {
		cfg.SettleTime = defaultSettle
	}
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.Log == nil {
		cfg.Log = slog.New(slog.DiscardHandler)
	}
	if _, err := bwplace.New(cfg.Planner); err != nil {
		return nil, err
	}
	return &Placement{cfg: cfg, reports: make(chan received, reportBacklog), ended: make(chan struct{})}, nil
}

// Start plans until the context ends.
func (plc *Placement) Start(ctx context.Context) { go plc.loop(ctx) }

// Wait returns when the goroutine has ended after the end of Start's context.
func (plc *Placement) Wait() { <-plc.ended }

// RecordReport takes a router's report; it never blocks, and a lost report is followed
// by the next.
func (plc *Placement) RecordReport(rep *bwwire.DemandReport) {
	select {
	case plc.reports <- received{report: rep, at: plc.cfg.Now()}:
	default:
	}
}

func (plc *Placement) loop(ctx context.Context) {
	defer close(plc.ended)
	tick := time.NewTicker(plc.cfg.Interval)
	defer tick.Stop()
	rnd := &rounds{plc: plc, demand: make(map[bwmodel.MemberID]received), engines: make(map[bwmodel.UpstreamID]seenEngine)}
	for {
		select {
		case rcv := <-plc.reports:
			rnd.record(rcv)
		case <-tick.C:
			if err := rnd.plan(ctx); err != nil {
				plc.cfg.Log.Error("placement failed", "Error", err)
			}
		case <-ctx.Done():
			return
		}
	}
}

// rounds is what the placement's goroutine knows.
type rounds struct {
	plc     *Placement
	demand  map[bwmodel.MemberID]received
	engines map[bwmodel.UpstreamID]seenEngine
	// planner and began are set while the lease is held under fence.
	planner *bwplace.Planner
	fence   bwmodel.Fence
	began   time.Time
}

// seenEngine is the newest report of an engine.
type seenEngine struct {
	report bwwire.EngineReport
	setBy  bwmodel.TicketNumber
	at     time.Time
}

func (rnd *rounds) record(rcv received) {
	rnd.demand[rcv.report.From] = rcv
	for _, eng := range rcv.report.Engines {
		seen := seenEngine{report: eng, setBy: rcv.report.SetBy, at: rcv.at.Add(-eng.Age)}
		if seen.at.After(rnd.engines[eng.Upstream].at) {
			rnd.engines[eng.Upstream] = seen
		}
	}
}

// plan makes one plan when the lease is held and the reports have settled.
func (rnd *rounds) plan(ctx context.Context) error {
	fence, err := rnd.plc.cfg.CurrentFence()
	if err != nil {
		rnd.planner = nil
		return nil
	}
	now := rnd.plc.cfg.Now()
	if rnd.planner == nil || rnd.fence != fence {
		if rnd.planner, err = bwplace.New(rnd.plc.cfg.Planner); err != nil {
			return err
		}
		rnd.fence, rnd.began = fence, now
	}
	rnd.forget(now)
	obs, ok := rnd.plc.cfg.Objects()
	if !ok || now.Sub(rnd.began) < rnd.plc.cfg.SettleTime {
		return nil
	}
	ords, decs := rnd.planner.Plan(rnd.input(now, obs))
	for _, dec := range decs {
		rnd.log(ctx, obs, dec)
	}
	for _, ord := range ords {
		gvn := giving{plc: rnd.plc, order: rnd.order(obs, ord), reason: ord.Reason, upstream: ord.Upstream}
		// An order lasts as long as its load, so the next plan doesn't wait for it.
		go gvn.run(ctx)
	}
	return nil
}

// forget drops the reports of routers and engines that are no longer heard of.
func (rnd *rounds) forget(now time.Time) {
	for id, rcv := range rnd.demand {
		if now.Sub(rcv.at) > demandTime {
			delete(rnd.demand, id)
		}
	}
	for id, eng := range rnd.engines {
		if now.Sub(eng.at) > engineTime {
			delete(rnd.engines, id)
		}
	}
}

// input joins the reports; those that name models by another ticket are left out.
func (rnd *rounds) input(now time.Time, obs PlacementObjects) bwplace.Input {
	in := bwplace.Input{Now: now}
	for _, mod := range obs.Service.Models {
		in.Models = append(in.Models, bwplace.Model{Name: mod.Name, Base: mod.Base, Bytes: mod.Bytes, MinEngines: mod.MinEngines})
	}
	for _, rcv := range rnd.demand {
		if rcv.report.SetBy != obs.SetBy {
			continue
		}
		for ix, rate := range rcv.report.Rates[:min(len(rcv.report.Rates), len(in.Models))] {
			in.Models[ix].Demand += float64(rate)
		}
	}
	for _, ups := range obs.Upstreams {
		eng, ok := rnd.engines[ups.Name]
		if !ok || eng.setBy != obs.SetBy {
			continue
		}
		place := bwplace.Engine{
			Upstream: ups.Name, Zone: ups.Zone, TokensPerSecond: float64(eng.report.Rate), Usable: eng.report.Usable && !ups.Draining,
		}
		for _, ix := range eng.report.Models {
			if ix >= 0 && ix < len(in.Models) {
				place.Loaded = append(place.Loaded, in.Models[ix].Name)
			}
		}
		in.Engines = append(in.Engines, place)
	}
	return in
}

func (rnd *rounds) order(obs PlacementObjects, ord bwplace.Order) Order {
	ix := slices.IndexFunc(obs.Upstreams, func(ups bwmodel.Upstream) bool { return ups.Name == ord.Upstream })
	return Order{
		Agent:       obs.Upstreams[ix].Agent,
		Incarnation: rnd.engines[ord.Upstream].report.Incarnation,
		Load:        ord.Load,
		Unload:      ord.Unload,
		Role:        ord.Role,
	}
}

func (rnd *rounds) log(ctx context.Context, obs PlacementObjects, dec bwplace.Decision) {
	line := &bwobserve.Decision{
		Kind:    "Place",
		Service: obs.Service.Name,
		Choice:  dec.Chosen,
		Reason: fmt.Sprintf("%s (model %s, demand %.0f tokens/s, %d engines, %d wanted, fence %d)",
			dec.Reason, dec.Model, dec.Demand, dec.Engines, dec.Wanted, rnd.fence),
	}
	for _, ups := range obs.Upstreams {
		if eng, ok := rnd.engines[ups.Name]; ok && eng.report.Usable {
			line.Candidates = append(line.Candidates, bwobserve.Candidate{Upstream: ups.Name})
		}
	}
	bwobserve.LogDecision(ctx, rnd.plc.cfg.Log, line)
}

// giving is one order on its way.
type giving struct {
	plc      *Placement
	order    Order
	upstream bwmodel.UpstreamID
	reason   bwplace.Reason
}

func (gvn giving) run(ctx context.Context) {
	err := gvn.plc.cfg.SendOrder(ctx, gvn.order)
	level := slog.LevelInfo
	if err != nil && !errors.Is(err, bwlease.ErrNotHeld) {
		level = slog.LevelWarn
	}
	gvn.plc.cfg.Log.Log(ctx, level, "placement order",
		"Upstream", gvn.upstream, "Load", gvn.order.Load, "Unload", gvn.order.Unload, "Reason", string(gvn.reason), "Error", err)
}
