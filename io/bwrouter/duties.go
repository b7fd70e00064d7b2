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

// Duties takes part in a control duty for each model service in the router's region,
// the placement of its models on engines. It reports the demand of this router's
// callers to the routers that are candidates for the duty.
type Duties struct {
	cfg DutiesConfig
	// placements is changed by the goroutine that calls Update, and published as view.
	placements map[bwmodel.ServiceID]*servicePlacement
	view       atomic.Pointer[map[bwmodel.ServiceID]*servicePlacement]
}

// DutiesConfig configures Duties.
type DutiesConfig struct {
	Self     bwmodel.Member
	Snapshot func() *bwfleet.Snapshot
	Services *Services
	// Table holds the leases; nil means that this router runs no duty.
	Table      *bwstore.Table
	SendOrder  func(context.Context, netip.AddrPort, *bwwire.OrderRequest) (*bwwire.OrderResponse, error)
	SendReport func(context.Context, netip.AddrPort, *bwwire.DemandReport) (*bwwire.DemandResponse, error)
	// OnLeaseChange is called with each lease that is acquired or lost; may be nil.
	OnLeaseChange func(duty string, held bool)
	Timing        DutyTiming
	// WeightRate limits the bandwidth of the weight store, in bytes per second, that
	// loads of one service in one region may use; 0 means 1 GiB/s.
	WeightRate float64
	Now        func() time.Time
	Log        *slog.Logger
}

// DutyTiming configures the times of control duties; zero values mean the defaults.
type DutyTiming struct {
	// LeaseTTL is how long a lease is valid after it is acquired or renewed.
	LeaseTTL time.Duration
	// ReportInterval is the interval between reports of demand; 0 means 10 s.
	ReportInterval time.Duration
	// PlanInterval and SettleTime are passed to bwduty.PlacementConfig.
	PlanInterval time.Duration
	SettleTime   time.Duration
	Planner      bwplace.Config
}

const (
	// candidatesPerDuty is the number of routers that compete for a duty; a small number
	// limits the reads of its lease row.
	candidatesPerDuty     = 2
	defaultReportInterval = 10 * time.Second
	defaultWeightRate     = 1 << 30
	demandReportTimeout   = 2 * time.Second
	reportsPerEngine      = 2
)

// NewDuties returns a Duties that runs no duty until Update is called.
func NewDuties(cfg DutiesConfig) *Duties {
	if cfg.Timing.ReportInterval == 0 {
		cfg.Timing.ReportInterval = defaultReportInterval
	}
	if cfg.WeightRate == 0 {
		cfg.WeightRate = defaultWeightRate
	}
	if cfg.Timing.Planner.WeightBytesPerSecond == 0 {
		cfg.Timing.Planner.WeightBytesPerSecond = cfg.WeightRate
	}
	dts := &Duties{cfg: cfg, placements: make(map[bwmodel.ServiceID]*servicePlacement)}
	dts.publish()
	return dts
}

// Update starts the placement of new services that list models, and stops that of
// removed services. Only one goroutine may call it.
func (dts *Duties) Update(ctx context.Context, services []bwmodel.Service) error {
	wanted := make(map[bwmodel.ServiceID]bool)
	for _, svc := range services {
		if len(svc.Models) == 0 || dts.cfg.Table == nil {
			continue
		}
		wanted[svc.Name] = true
		if dts.placements[svc.Name] != nil {
			continue
		}
		spl, err := dts.newServicePlacement(svc.Name)
		if err != nil {
			return fmt.Errorf("placement of service %q: %w", svc.Name, err)
		}
		spl.start(ctx)
		dts.placements[svc.Name] = spl
	}
	for name, spl := range dts.placements {
		if !wanted[name] {
			spl.cancel()
			delete(dts.placements, name)
		}
	}
	dts.publish()
	return nil
}

// Wait returns when all duties have ended and released their leases. The context
// passed to Update must end first.
func (dts *Duties) Wait() {
	for _, spl := range *dts.view.Load() {
		spl.duty.Wait()
		spl.placement.Wait()
	}
}

// HandleDemandReport serves the RPC Peer.Demand.
func (dts *Duties) HandleDemandReport(_ context.Context, rep *bwwire.DemandReport) (*bwwire.DemandResponse, error) {
	if spl := (*dts.view.Load())[rep.Service]; spl != nil {
		spl.placement.RecordReport(rep)
	}
	return &bwwire.DemandResponse{}, nil
}

func (dts *Duties) publish() {
	view := make(map[bwmodel.ServiceID]*servicePlacement, len(dts.placements))
	for name, spl := range dts.placements {
		view[name] = spl
	}
	dts.view.Store(&view)
}

// servicePlacement is this router's part in the placement of one service.
type servicePlacement struct {
	dts       *Duties
	service   bwmodel.ServiceID
	name      string
	duty      *bwduty.Duty
	placement *bwduty.Placement
	cancel    context.CancelFunc
	// lastSamples holds the counters at the last report, made at lastReport.
	lastSamples []demandSample
	lastReport  time.Time
}

func (dts *Duties) newServicePlacement(svc bwmodel.ServiceID) (*servicePlacement, error) {
	spl := &servicePlacement{dts: dts, service: svc, name: fmt.Sprintf("Place/%s/%s", dts.cfg.Self.Region, svc)}
	lease := bwstore.NewLeaseStore(dts.cfg.Table, spl.name)
	var err error
	spl.duty, err = bwduty.New(bwduty.Config{
		Name:          spl.name,
		Self:          dts.cfg.Self.ID,
		Incarnation:   dts.cfg.Self.Incarnation,
		TTL:           dts.cfg.Timing.LeaseTTL,
		Now:           dts.cfg.Now,
		Read:          lease.Read,
		Swap:          lease.Swap,
		IsCandidate:   spl.isCandidate,
		SendOrder:     dts.cfg.SendOrder,
		OnLeaseChange: dts.cfg.OnLeaseChange,
		Log:           dts.cfg.Log,
	})
	if err != nil {
		return nil, err
	}
	spl.placement, err = bwduty.NewPlacement(bwduty.PlacementConfig{
		SendOrder:    spl.duty.SendOrder,
		CurrentFence: spl.duty.CurrentFence,
		Objects:      spl.objects,
		Planner:      dts.cfg.Timing.Planner,
		Interval:     dts.cfg.Timing.PlanInterval,
		SettleTime:   dts.cfg.Timing.SettleTime,
		Now:          dts.cfg.Now,
		Log:          dts.cfg.Log,
	})
	return spl, err
}

func (spl *servicePlacement) start(ctx context.Context) {
	ctx, spl.cancel = context.WithCancel(ctx)
	spl.duty.Start(ctx)
	spl.placement.Start(ctx)
	go spl.loop(ctx)
}

// loop sends the demand reports. A random first delay spreads the routers' reports
// over the interval.
func (spl *servicePlacement) loop(ctx context.Context) {
	spl.lastReport = spl.dts.cfg.Now()
	interval := spl.dts.cfg.Timing.ReportInterval
	if !bwretry.Pause(ctx, rand.N(interval)) {
		return
	}
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for {
		spl.sendReports(ctx)
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

func (spl *servicePlacement) isCandidate() bool {
	snap := spl.dts.cfg.Snapshot()
	return bwmember.IsDutyCandidate(snap.Self, snap.Members, spl.name, candidatesPerDuty)
}

// objects returns the service and its upstreams in the region; false when the
// service has been removed.
func (spl *servicePlacement) objects() (bwduty.PlacementObjects, bool) {
	st := spl.dts.cfg.Snapshot().State
	svc, setBy, ok := st.ServiceSetBy(spl.service)
	obs := bwduty.PlacementObjects{Service: svc, SetBy: setBy}
	for _, ups := range st.UpstreamsOf(spl.service) {
		if ups.Region == spl.dts.cfg.Self.Region {
			obs.Upstreams = append(obs.Upstreams, ups)
		}
	}
	return obs, ok
}

// sendReports sends a demand report to the candidates, which may include this router.
func (spl *servicePlacement) sendReports(ctx context.Context) {
	obs, ok := spl.objects()
	if !ok {
		return
	}
	rep := spl.demandReport(obs)
	snap := spl.dts.cfg.Snapshot()
	if bwmember.IsDutyCandidate(snap.Self, snap.Members, spl.name, candidatesPerDuty) {
		spl.placement.RecordReport(rep)
	}
	call, cancel := context.WithTimeout(ctx, demandReportTimeout)
	defer cancel()
	for _, mem := range bwmember.DutyCandidates(snap.Self.Region, snap.Members, spl.name, candidatesPerDuty) {
		if _, err := spl.dts.cfg.SendReport(call, mem.Address, rep); err != nil {
			spl.dts.cfg.Log.Debug("sending the demand report failed", "Peer", mem.Address, "Error", err)
		}
	}
}

func (spl *servicePlacement) demandReport(obs bwduty.PlacementObjects) *bwwire.DemandReport {
	now := spl.dts.cfg.Now()
	rep := &bwwire.DemandReport{From: spl.dts.cfg.Self.ID, Service: spl.service, SetBy: obs.SetBy}
	smps := spl.dts.cfg.Services.demandSamples(spl.service)
	elapsed := now.Sub(spl.lastReport).Seconds()
	for ix, smp := range smps {
		rate := 0.0
		if len(spl.lastSamples) == len(smps) && elapsed > 0 {
			rate = smp.expectedTokens(spl.lastSamples[ix]) / elapsed
		}
		rep.Rates = append(rep.Rates, float32(rate))
	}
	spl.lastSamples, spl.lastReport = smps, now
	rep.Engines = spl.sampleEngineReports(obs)
	return rep
}

// sampleEngineReports returns reports of a random part of the followed engines, so
// that the region's routers together report each engine about twice in an interval.
func (spl *servicePlacement) sampleEngineReports(obs bwduty.PlacementObjects) []bwwire.EngineReport {
	routers := 1
	for _, ent := range spl.dts.cfg.Snapshot().Members {
		if ent.Member.Role == bwmodel.RouterRole && ent.Member.Region == spl.dts.cfg.Self.Region && ent.Status == bwmember.Live {
			routers++
		}
	}
	reps := spl.dts.cfg.Services.engineReports(obs.Service)
	rand.Shuffle(len(reps), func(ix, jx int) { reps[ix], reps[jx] = reps[jx], reps[ix] })
	limit := (reportsPerEngine*len(obs.Upstreams) + routers - 1) / routers
	return reps[:min(len(reps), limit)]
}
