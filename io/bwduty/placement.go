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
// models, while its duty's lease is held. Every candidate collects the routers'
// reports, so that the next holder has the demand when it acquires the lease.
type Placement struct {
	cfg     PlacementConfig
	reports chan receivedReport
	done    chan struct{}
}

// PlacementConfig configures a Placement.
type PlacementConfig struct {
	// SendOrder sends an order under the lease, as Duty.SendOrder does.
	SendOrder func(context.Context, Order) error
	// CurrentFence returns the fence of the held lease, as Duty.CurrentFence does.
	CurrentFence func() (bwmodel.Fence, error)
	// Objects returns the service and its upstreams, or false when the service
	// is not in effect.
	Objects func() (PlacementObjects, bool)
	Planner bwplace.Config
	// Interval separates plans; 0 means 5 s.
	Interval time.Duration
	// SettleTime is how long reports are collected under the lease before the
	// first plan; 0 means 25 s, which covers two reports of each router.
	SettleTime time.Duration
	// Now reads a monotonic clock; nil means time.Now.
	Now func() time.Time
	Log *slog.Logger
}

// PlacementObjects holds a service whose models are placed, and its upstreams in the region.
type PlacementObjects struct {
	Service bwmodel.Service
	// SetBy is the ticket that set the service.
	SetBy     bwmodel.TicketNumber
	Upstreams []bwmodel.Upstream
}

const (
	defaultPlanInterval = 5 * time.Second
	defaultSettleTime   = 25 * time.Second
	// demandTTL is how long a router's demand counts: the time of three reports.
	demandTTL = 30 * time.Second
	// engineTTL is how long an engine counts after its last report. A router's
	// report holds only some of the engines; with all routers, each engine is
	// expected twice in 10 s.
	engineTTL     = time.Minute
	reportBacklog = 256
)

// receivedReport is a report and the time of its arrival.
type receivedReport struct {
	report     *bwwire.DemandReport
	receivedAt time.Time
}

// NewPlacement returns a placement without reports. Its errors name the
// required fields when one is missing, or an invalid setting of the planner.
func NewPlacement(cfg PlacementConfig) (*Placement, error) {
	if cfg.SendOrder == nil || cfg.CurrentFence == nil || cfg.Objects == nil {
		return nil, errors.New("placement needs SendOrder, CurrentFence and Objects")
	}
	if cfg.Interval == 0 {
		cfg.Interval = defaultPlanInterval
	}
	if cfg.SettleTime == 0 {
		cfg.SettleTime = defaultSettleTime
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
	return &Placement{cfg: cfg, reports: make(chan receivedReport, reportBacklog), done: make(chan struct{})}, nil
}

// Start plans until the context ends.
func (plc *Placement) Start(ctx context.Context) { go plc.loop(ctx) }

// Wait returns when the goroutine has ended after the end of Start's context.
func (plc *Placement) Wait() { <-plc.done }

// RecordReport queues a router's report. It never blocks: when the queue is
// full, it drops the report, which the router's next report replaces.
func (plc *Placement) RecordReport(rep *bwwire.DemandReport) {
	select {
	case plc.reports <- receivedReport{report: rep, receivedAt: plc.cfg.Now()}:
	default:
	}
}

func (plc *Placement) loop(ctx context.Context) {
	defer close(plc.done)
	tick := time.NewTicker(plc.cfg.Interval)
	defer tick.Stop()
	pst := &placementState{plc: plc, demand: make(map[bwmodel.MemberID]receivedReport), engines: make(map[bwmodel.UpstreamID]engineRecord)}
	for {
		select {
		case rcv := <-plc.reports:
			pst.recordReport(rcv)
		case <-tick.C:
			if err := pst.plan(ctx); err != nil {
				plc.cfg.Log.Error("placement failed", "Error", err)
			}
		case <-ctx.Done():
			return
		}
	}
}

// placementState holds the reports and the planner. Only the placement's
// goroutine accesses it.
type placementState struct {
	plc     *Placement
	demand  map[bwmodel.MemberID]receivedReport
	engines map[bwmodel.UpstreamID]engineRecord
	// planner and leaseStart are set while the lease is held under fence.
	planner    *bwplace.Planner
	fence      bwmodel.Fence
	leaseStart time.Time
}

// engineRecord is the newest report of an engine.
type engineRecord struct {
	report     bwwire.EngineReport
	setBy      bwmodel.TicketNumber
	reportedAt time.Time
}

func (pst *placementState) recordReport(rcv receivedReport) {
	pst.demand[rcv.report.From] = rcv
	for _, eng := range rcv.report.Engines {
		record := engineRecord{report: eng, setBy: rcv.report.SetBy, reportedAt: rcv.receivedAt.Add(-eng.Age)}
		if record.reportedAt.After(pst.engines[eng.Upstream].reportedAt) {
			pst.engines[eng.Upstream] = record
		}
	}
}

// plan makes one plan and sends its orders, if the lease is held and reports
// were collected for the settle time.
func (pst *placementState) plan(ctx context.Context) error {
	fence, err := pst.plc.cfg.CurrentFence()
	if err != nil {
		pst.planner = nil
		return nil
	}
	now := pst.plc.cfg.Now()
	if pst.planner == nil || pst.fence != fence {
		if pst.planner, err = bwplace.New(pst.plc.cfg.Planner); err != nil {
			return err
		}
		pst.fence, pst.leaseStart = fence, now
	}
	pst.evictStale(now)
	obs, ok := pst.plc.cfg.Objects()
	if !ok || now.Sub(pst.leaseStart) < pst.plc.cfg.SettleTime {
		return nil
	}
	ords, decs := pst.planner.Plan(pst.plannerInput(now, obs))
	for _, dec := range decs {
		pst.logDecision(ctx, obs, dec)
	}
	for _, ord := range ords {
		tsk := orderTask{plc: pst.plc, order: pst.newOrder(obs, ord), reason: ord.Reason, upstream: ord.Upstream}
		// An order takes as long as its model load, so the next plan doesn't wait for it.
		go tsk.run(ctx)
	}
	return nil
}

// evictStale removes the reports of routers and engines that have expired.
func (pst *placementState) evictStale(now time.Time) {
	for id, rcv := range pst.demand {
		if now.Sub(rcv.receivedAt) > demandTTL {
			delete(pst.demand, id)
		}
	}
	for id, eng := range pst.engines {
		if now.Sub(eng.reportedAt) > engineTTL {
			delete(pst.engines, id)
		}
	}
}

// plannerInput merges the reports. It leaves out those that were made under
// another ticket, since their indexes refer to another list of models.
func (pst *placementState) plannerInput(now time.Time, obs PlacementObjects) bwplace.Input {
	in := bwplace.Input{Now: now}
	for _, mod := range obs.Service.Models {
		in.Models = append(in.Models, bwplace.Model{Name: mod.Name, Base: mod.Base, Bytes: mod.Bytes, MinEngines: mod.MinEngines})
	}
	for _, rcv := range pst.demand {
		if rcv.report.SetBy != obs.SetBy {
			continue
		}
		for ix, rate := range rcv.report.Rates[:min(len(rcv.report.Rates), len(in.Models))] {
			in.Models[ix].Demand += float64(rate)
		}
	}
	for _, ups := range obs.Upstreams {
		eng, ok := pst.engines[ups.Name]
		if !ok || eng.setBy != obs.SetBy {
			continue
		}
		engine := bwplace.Engine{
			Upstream: ups.Name, Zone: ups.Zone, TokensPerSecond: float64(eng.report.Rate), Usable: eng.report.Usable && !ups.Draining,
		}
		for _, ix := range eng.report.Models {
			if ix >= 0 && ix < len(in.Models) {
				engine.Loaded = append(engine.Loaded, in.Models[ix].Name)
			}
		}
		in.Engines = append(in.Engines, engine)
	}
	return in
}

func (pst *placementState) newOrder(obs PlacementObjects, ord bwplace.Order) Order {
	ix := slices.IndexFunc(obs.Upstreams, func(ups bwmodel.Upstream) bool { return ups.Name == ord.Upstream })
	return Order{
		Agent:       obs.Upstreams[ix].Agent,
		Incarnation: pst.engines[ord.Upstream].report.Incarnation,
		Load:        ord.Load,
		Unload:      ord.Unload,
		Role:        ord.Role,
	}
}

func (pst *placementState) logDecision(ctx context.Context, obs PlacementObjects, dec bwplace.Decision) {
	entry := &bwobserve.Decision{
		Kind:    "Place",
		Service: obs.Service.Name,
		Choice:  dec.Chosen,
		Reason: fmt.Sprintf("%s (model %s, demand %.0f tokens/s, %d engines, %d wanted, fence %d)",
			dec.Reason, dec.Model, dec.Demand, dec.Engines, dec.Wanted, pst.fence),
	}
	for _, ups := range obs.Upstreams {
		if eng, ok := pst.engines[ups.Name]; ok && eng.report.Usable {
			entry.Candidates = append(entry.Candidates, bwobserve.Candidate{Upstream: ups.Name})
		}
	}
	bwobserve.LogDecision(ctx, pst.plc.cfg.Log, entry)
}

// orderTask sends one order.
type orderTask struct {
	plc      *Placement
	order    Order
	upstream bwmodel.UpstreamID
	reason   bwplace.Reason
}

func (tsk orderTask) run(ctx context.Context) {
	err := tsk.plc.cfg.SendOrder(ctx, tsk.order)
	level := slog.LevelInfo
	if err != nil && !errors.Is(err, bwlease.ErrNotHeld) {
		level = slog.LevelWarn
	}
	tsk.plc.cfg.Log.Log(ctx, level, "placement order",
		"Upstream", tsk.upstream, "Load", tsk.order.Load, "Unload", tsk.order.Unload, "Reason", string(tsk.reason), "Error", err)
}
