package bwrouter

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"sync/atomic"
	"time"

	"bilberrywick/core/bwmember"
	"bilberrywick/core/bwmodel"
	"bilberrywick/core/bwplace"
	"bilberrywick/core/bwretry"
	"bilberrywick/io/bwduty"
	"bilberrywick/io/bwfleet"
	"bilberrywick/io/bwstore"
	"bilberrywick/io/bwwire"
)

// Duties runs the placement of each model service in the router's region, and
// tells the candidates for it what this router's callers ask for.
type Duties struct {
	cfg DutiesConfig
	// open is changed by the goroutine that calls Update, and published as view.
	open map[bwmodel.ServiceID]*placing
	view atomic.Pointer[map[bwmodel.ServiceID]*placing]
}

// DutiesConfig configures Duties.
type DutiesConfig struct {
	Self     bwmodel.Member
	Snapshot func() *bwfleet.Snapshot
	Services *Services
	// Table holds the leases; nil means that no duty is run here.
	Table      *bwstore.Table
	SendOrder  func(context.Context, netip.AddrPort, *bwwire.OrderRequest) (*bwwire.OrderResponse, error)
	SendReport func(context.Context, netip.AddrPort, *bwwire.DemandReport) (*bwwire.DemandResponse, error)
	// OnLeaseChange is told of each lease that is acquired or lost; may be nil.
	OnLeaseChange func(duty string, held bool)
	Timing        DutyTiming
	// WeightRate is the bytes per second of the weight store that one region's
	// loads of one service may use; 0 means 1 GiB/s.
	WeightRate float64
	Now        func() time.Time
	Log        *slog.Logger
}

// DutyTiming holds the times of control duties; zero values are the defaults.
type DutyTiming struct {
	// LeaseTTL is the leases' time.
	LeaseTTL time.Duration
	// ReportInterval separates reports of demand; 0 means 10 s.
	ReportInterval time.Duration
	// PlanInterval and Settle are those of bwduty.PlacementConfig.
	PlanInterval time.Duration
	SettleTime   time.Duration
	Planner      bwplace.Config
}

const (
	// dutyCandidates take turns at a duty, so that few routers read its lease row.
	dutyCandidates       = 2
	defaultDemandReport  = 10 * time.Second
	defaultWeightRate    = 1 << 30
	demandReportTimeout  = 2 * time.Second
	engineReportsPerTurn = 2
)

// NewDuties returns duties of which none runs.
func NewDuties(cfg DutiesConfig) *Duties {
	if cfg.Timing.ReportInterval == 0 {
		cfg.Timing.ReportInterval = defaultDemandReport
	}
	if cfg.WeightRate == 0 {
		cfg.WeightRate = defaultWeightRate
	}
	if cfg.Timing.Planner.WeightBytesPerSecond == 0 {
		cfg.Timing.Planner.WeightBytesPerSecond = cfg.WeightRate
	}
	dts := &Duties{cfg: cfg, open: make(map[bwmodel.ServiceID]*placing)}
	dts.publish()
	return dts
}

// Update starts the placement of services that have come into force with a
// list of models, and ends that of services that are gone. One goroutine calls it.
func (dts *Duties) Update(ctx context.Context, services []bwmodel.Service) error {
	wanted := make(map[bwmodel.ServiceID]bool)
	for _, svc := range services {
		if len(svc.Models) == 0 || dts.cfg.Table == nil {
			continue
		}
		wanted[svc.Name] = true
		if dts.open[svc.Name] != nil {
			continue
		}
		plg, err := dts.newPlacing(svc.Name)
		if err != nil {
			return fmt.Errorf("placement of service %q: %w", svc.Name, err)
		}
		plg.start(ctx)
		dts.open[svc.Name] = plg
	}
	for name, plg := range dts.open {
		if !wanted[name] {
			plg.cancel()
			delete(dts.open, name)
		}
	}
	dts.publish()
	return nil
}

// Wait returns when all duties have ended and given up their leases, after the
// end of the context of Update.
func (dts *Duties) Wait() {
	for _, plg := range *dts.view.Load() {
		plg.duty.Wait()
		plg.placement.Wait()
	}
}

// HandleDemandReport serves Peer.Demand.
func (dts *Duties) HandleDemandReport(_ context.Context, rep *bwwire.DemandReport) (*bwwire.DemandResponse, error) {
	if plg := (*dts.view.Load())[rep.Service]; plg != nil {
		plg.placement.RecordReport(rep)
	}
	return &bwwire.DemandResponse{}, nil
}

func (dts *Duties) publish() {
	view := make(map[bwmodel.ServiceID]*placing, len(dts.open))
	for name, plg := range dts.open {
		view[name] = plg
	}
	dts.view.Store(&view)
}

// placing is the placement of one service as this router takes part in it.
type placing struct {
	dts       *Duties
	service   bwmodel.ServiceID
	name      string
	duty      *bwduty.Duty
	placement *bwduty.Placement
	cancel    context.CancelFunc
	// last are the counters at the last report.
	last []demandSample
	at   time.Time
}

func (dts *Duties) newPlacing(svc bwmodel.ServiceID) (*placing, error) {
	plg := &placing{dts: dts, service: svc, name: fmt.Sprintf("Place/%s/%s", dts.cfg.Self.Region, svc)}
	lease := bwstore.NewLeaseStore(dts.cfg.Table, plg.name)
	var err error
	plg.duty, err = bwduty.New(bwduty.Config{
		Name:          plg.name,
		Self:          dts.cfg.Self.ID,
		Incarnation:   dts.cfg.Self.Incarnation,
		TTL:           dts.cfg.Timing.LeaseTTL,
		Now:           dts.cfg.Now,
		Read:          lease.Read,
		Swap:          lease.Swap,
		IsCandidate:   plg.candidate,
		SendOrder:     dts.cfg.SendOrder,
		OnLeaseChange: dts.cfg.OnLeaseChange,
		Log:           dts.cfg.Log,
	})
	if err != nil {
		return nil, err
	}
	plg.placement, err = bwduty.NewPlacement(bwduty.PlacementConfig{
		SendOrder:    plg.duty.SendOrder,
		CurrentFence: plg.duty.CurrentFence,
		Objects:      plg.objects,
		Planner:      dts.cfg.Timing.Planner,
		Interval:     dts.cfg.Timing.PlanInterval,
		SettleTime:   dts.cfg.Timing.SettleTime,
		Now:          dts.cfg.Now,
		Log:          dts.cfg.Log,
	})
	return plg, err
}

func (plg *placing) start(ctx context.Context) {
	ctx, plg.cancel = context.WithCancel(ctx)
	plg.duty.Start(ctx)
	plg.placement.Start(ctx)
	go plg.loop(ctx)
}

// loop reports the demand, at times that differ between routers.
func (plg *placing) loop(ctx context.Context) {
	plg.at = plg.dts.cfg.Now()
	interval := plg.dts.cfg.Timing.ReportInterval
	if !bwretry.Pause(ctx, rand.N(interval)) {
		return
	}
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for {
		plg.report(ctx)
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

func (plg *placing) candidate() bool {
	snap := plg.dts.cfg.Snapshot()
	return bwmember.IsDutyCandidate(snap.Self, snap.Members, plg.name, dutyCandidates)
}

// objects returns the service and its upstreams in the region.
func (plg *placing) objects() (bwduty.PlacementObjects, bool) {
	st := plg.dts.cfg.Snapshot().State
	svc, setBy, ok := st.ServiceSetBy(plg.service)
	obs := bwduty.PlacementObjects{Service: svc, SetBy: setBy}
	for _, ups := range st.UpstreamsOf(plg.service) {
		if ups.Region == plg.dts.cfg.Self.Region {
			obs.Upstreams = append(obs.Upstreams, ups)
		}
	}
	return obs, ok
}

// report tells the candidates, of which this router may be one.
func (plg *placing) report(ctx context.Context) {
	obs, ok := plg.objects()
	if !ok {
		return
	}
	rep := plg.demandReport(obs)
	snap := plg.dts.cfg.Snapshot()
	if bwmember.IsDutyCandidate(snap.Self, snap.Members, plg.name, dutyCandidates) {
		plg.placement.RecordReport(rep)
	}
	call, cancel := context.WithTimeout(ctx, demandReportTimeout)
	defer cancel()
	for _, mem := range bwmember.DutyCandidates(snap.Self.Region, snap.Members, plg.name, dutyCandidates) {
		if _, err := plg.dts.cfg.SendReport(call, mem.Address, rep); err != nil {
			plg.dts.cfg.Log.Debug("report of demand failed", "Peer", mem.Address, "Error", err)
		}
	}
}

func (plg *placing) demandReport(obs bwduty.PlacementObjects) *bwwire.DemandReport {
	now := plg.dts.cfg.Now()
	rep := &bwwire.DemandReport{From: plg.dts.cfg.Self.ID, Service: plg.service, SetBy: obs.SetBy}
	smps := plg.dts.cfg.Services.samples(plg.service)
	span := now.Sub(plg.at).Seconds()
	for ix, smp := range smps {
		rate := 0.0
		if len(plg.last) == len(smps) && span > 0 {
			rate = smp.tokens(plg.last[ix]) / span
		}
		rep.Rates = append(rep.Rates, float32(rate))
	}
	plg.last, plg.at = smps, now
	rep.Engines = plg.engines(obs)
	return rep
}

// engines returns some of the engines that the router follows, so that the
// region's routers together report each engine about twice in an interval.
func (plg *placing) engines(obs bwduty.PlacementObjects) []bwwire.EngineReport {
	routers := 1
	for _, ent := range plg.dts.cfg.Snapshot().Members {
		if ent.Member.Role == bwmodel.RouterRole && ent.Member.Region == plg.dts.cfg.Self.Region && ent.Status == bwmember.Live {
			routers++
		}
	}
	reps := plg.dts.cfg.Services.engineReports(obs.Service)
	rand.Shuffle(len(reps), func(ix, jx int) { reps[ix], reps[jx] = reps[jx], reps[ix] })
	most := (engineReportsPerTurn*len(obs.Upstreams) + routers - 1) / routers
	return reps[:min(len(reps), most)]
}
