package bwplace

import (
	"errors"
	"math"
	"slices"
	"strings"
	"time"

	"bilberrywick/core/bwmodel"
)

// Planner decides which engine loads which model. Its plans depend only on the
// inputs of this and earlier calls of Plan. It is not safe for concurrent use.
type Planner struct {
	cfg        Config
	demands    map[string]*smoothedDemand
	lastOrders map[bwmodel.UpstreamID]*issuedOrder
	// loadableBytes is the number of weight bytes that may be loaded now. It refills
	// at WeightBytesPerSecond up to WeightBurstBytes.
	loadableBytes float64
	lastPlan      time.Time
}

// Config holds the settings of a Planner.
type Config struct {
	// WeightBytesPerSecond is the rate of the weight store that loads may use.
	WeightBytesPerSecond float64
	// WeightBurstBytes is the number of bytes that may be loaded at once after a
	// time without loads; 0 means 60 s of WeightBytesPerSecond.
	WeightBurstBytes float64
	// MinChangeInterval is the least time between two changes of one engine; 0
	// means 2 minutes.
	MinChangeInterval time.Duration
	// PaybackHorizon is the time within which the tokens gained by a load must
	// exceed those lost; 0 means 10 minutes.
	PaybackHorizon time.Duration
	// DemandTimeConstant is the time constant of the moving average of the demand;
	// 0 means 30 s.
	DemandTimeConstant time.Duration
	// MinShortageTime is the time for which a model must be short of engines before
	// one loads it; 0 means 10 s.
	MinShortageTime time.Duration
	// HighUtilization is the utilization of a model's engines above which an engine
	// is added; 0 means 0.8.
	HighUtilization float64
	// LowUtilization is the utilization that the remaining engines of a model may
	// reach when one unloads it; 0 means 0.6.
	LowUtilization float64
}

// smoothedDemand is the demand for a model, averaged over time.
type smoothedDemand struct {
	rate float64
	// shortSince is the time since which the model is short of engines; zero when
	// it is not.
	shortSince time.Time
}

// issuedOrder is the last order to an engine and the time of its plan.
type issuedOrder struct {
	issued time.Time
	order  Order
}

// New returns a planner that has issued no orders. It returns an error when
// WeightBytesPerSecond is not positive.
func New(cfg Config) (*Planner, error) {
	if cfg.WeightBytesPerSecond <= 0 {
		return nil, errors.New("planner: WeightBytesPerSecond must be positive")
	}
	if cfg.WeightBurstBytes == 0 {
		cfg.WeightBurstBytes = 60 * cfg.WeightBytesPerSecond
	}
	cfg.MinChangeInterval = orDefault(cfg.MinChangeInterval, 2*time.Minute)
	cfg.PaybackHorizon = orDefault(cfg.PaybackHorizon, 10*time.Minute)
	cfg.DemandTimeConstant = orDefault(cfg.DemandTimeConstant, 30*time.Second)
	cfg.MinShortageTime = orDefault(cfg.MinShortageTime, 10*time.Second)
	cfg.HighUtilization = orDefault(cfg.HighUtilization, 0.8)
	cfg.LowUtilization = orDefault(cfg.LowUtilization, 0.6)
	return &Planner{
		cfg: cfg, demands: map[string]*smoothedDemand{}, lastOrders: map[bwmodel.UpstreamID]*issuedOrder{},
		loadableBytes: cfg.WeightBurstBytes,
	}, nil
}

// Plan returns the orders to issue now, and a decision for each engine that a
// model wants in addition to those that it has.
func (pl *Planner) Plan(in Input) ([]Order, []Decision) {
	pl.advance(in)
	rnd := newRound(pl, in)
	for _, mod := range rnd.models {
		rnd.placeModel(mod)
	}
	rnd.assignRoles()
	return rnd.orders, rnd.decisions
}

// advance updates the smoothed demands and refills loadableBytes.
func (pl *Planner) advance(in Input) {
	span := in.Now.Sub(pl.lastPlan)
	if pl.lastPlan.IsZero() {
		span = 0
	}
	pl.lastPlan = in.Now
	pl.loadableBytes = min(pl.cfg.WeightBurstBytes, pl.loadableBytes+span.Seconds()*pl.cfg.WeightBytesPerSecond)
	weight := 1 - math.Exp(-span.Seconds()/pl.cfg.DemandTimeConstant.Seconds())
	for _, mod := range in.Models {
		dem := pl.demands[mod.Name]
		if dem == nil {
			dem = &smoothedDemand{rate: mod.Demand}
			pl.demands[mod.Name] = dem
		}
		dem.rate += weight * (mod.Demand - dem.rate)
	}
	pl.dropStale(in)
}

// dropStale removes the demands of unknown models and the orders older than two
// change intervals.
func (pl *Planner) dropStale(in Input) {
	for name := range pl.demands {
		if !slices.ContainsFunc(in.Models, func(mod Model) bool { return mod.Name == name }) {
			delete(pl.demands, name)
		}
	}
	for id, iss := range pl.lastOrders {
		if in.Now.Sub(iss.issued) > 2*pl.cfg.MinChangeInterval {
			delete(pl.lastOrders, id)
		}
	}
}

// round is the state of one call of Plan.
type round struct {
	pl    *Planner
	input Input
	// bases maps each adapter to the model that it extends.
	bases     map[string]string
	models    []Model
	engines   []*projectedEngine
	orders    []Order
	decisions []Decision
}

// projectedEngine is an engine in the state after its last order.
type projectedEngine struct {
	Engine
	held       []string
	changeable bool
}

func newRound(pl *Planner, in Input) *round {
	rnd := &round{pl: pl, input: in, models: slices.Clone(in.Models), bases: make(map[string]string)}
	for _, mod := range in.Models {
		if mod.Base != "" {
			rnd.bases[mod.Name] = mod.Base
		}
	}
	for _, eng := range in.Engines {
		if !eng.Usable {
			continue
		}
		rnd.engines = append(rnd.engines, rnd.project(eng))
	}
	slices.SortFunc(rnd.engines, func(ea, eb *projectedEngine) int {
		return strings.Compare(string(ea.Upstream), string(eb.Upstream))
	})
	slices.SortStableFunc(rnd.models, func(ma, mb Model) int {
		return compareFloat(rnd.shortfall(mb), rnd.shortfall(ma))
	})
	return rnd
}

// project applies the last order to the engine's report. After MinChangeInterval
// the report must reflect the order, so only the report counts.
func (rnd *round) project(eng Engine) *projectedEngine {
	proj := &projectedEngine{Engine: eng, held: slices.Clone(eng.Loaded), changeable: true}
	proj.ModelCapacity = max(1, eng.ModelCapacity)
	iss := rnd.pl.lastOrders[eng.Upstream]
	if iss == nil || rnd.input.Now.Sub(iss.issued) >= rnd.pl.cfg.MinChangeInterval {
		return proj
	}
	proj.changeable = false
	rnd.apply(proj, iss.order)
	return proj
}

// apply applies an order to an engine. The adapters of an unloaded base are
// unloaded with it.
func (rnd *round) apply(eng *projectedEngine, ord Order) {
	if ord.Unload != "" {
		eng.held = slices.DeleteFunc(eng.held, func(name string) bool {
			return name == ord.Unload || rnd.bases[name] == ord.Unload
		})
	}
	if ord.Load != "" && !slices.Contains(eng.held, ord.Load) {
		eng.held = append(eng.held, ord.Load)
	}
	if ord.Role != "" {
		eng.Role = ord.Role
	}
}

// supply returns the tokens per second available to a model and the number of
// engines that hold it. An engine divides its rate equally among its models.
func (rnd *round) supply(name string) (rate float64, count int) {
	for _, eng := range rnd.engines {
		if slices.Contains(eng.held, name) {
			rate += eng.TokensPerSecond / float64(len(eng.held))
			count++
		}
	}
	return rate, count
}

// shortfall returns the tokens per second that a model lacks to stay at
// HighUtilization; it is negative when the model has more.
func (rnd *round) shortfall(mod Model) float64 {
	rate, _ := rnd.supply(mod.Name)
	return rnd.pl.demands[mod.Name].rate/rnd.pl.cfg.HighUtilization - rate
}

// placeModel issues orders until the model has enough engines or no further order
// is allowed.
func (rnd *round) placeModel(mod Model) {
	dem := rnd.pl.demands[mod.Name]
	for {
		_, count := rnd.supply(mod.Name)
		shortfall := rnd.shortfall(mod)
		belowMinimum := count < mod.MinEngines
		if !belowMinimum && shortfall <= 0 {
			dem.shortSince = time.Time{}
			return
		}
		if dem.shortSince.IsZero() {
			dem.shortSince = rnd.input.Now
		}
		if !belowMinimum && rnd.input.Now.Sub(dem.shortSince) < rnd.pl.cfg.MinShortageTime {
			return
		}
		dec := Decision{Model: mod.Name, Demand: dem.rate, Engines: count, Wanted: count + 1, Reason: ReasonDemand}
		if belowMinimum {
			dec.Reason = ReasonMinimum
		}
		ordered := rnd.orderLoad(mod, shortfall, belowMinimum, &dec)
		rnd.decisions = append(rnd.decisions, dec)
		if !ordered {
			return
		}
	}
}

// orderLoad orders the engine with the least loss to load the model. It reports
// whether it issued an order, and otherwise sets the decision's reason.
func (rnd *round) orderLoad(mod Model, shortfall float64, belowMinimum bool, dec *Decision) bool {
	if float64(mod.Bytes) > rnd.pl.loadableBytes {
		dec.Reason = ReasonWeightRate
		return false
	}
	eng, unload, loss := rnd.cheapestEngine(mod)
	if eng == nil {
		dec.Reason = ReasonNoEngine
		return false
	}
	if !belowMinimum && !rnd.paysBack(mod, eng, shortfall, loss) {
		dec.Reason = ReasonNoPayback
		return false
	}
	dec.Chosen = eng.Upstream
	rnd.issue(eng, Order{Upstream: eng.Upstream, Load: mod.Name, Unload: unload, Reason: dec.Reason})
	rnd.pl.loadableBytes -= float64(mod.Bytes)
	return true
}

// paysBack reports whether the tokens gained within PaybackHorizon exceed those
// that the engine loses while it loads and those that the unloaded model lacks.
func (rnd *round) paysBack(mod Model, eng *projectedEngine, shortfall, loss float64) bool {
	loadTime := float64(mod.Bytes) / rnd.pl.cfg.WeightBytesPerSecond
	gain := min(shortfall*rnd.pl.cfg.HighUtilization, eng.TokensPerSecond)
	usableSeconds := max(0, rnd.pl.cfg.PaybackHorizon.Seconds()-loadTime)
	return gain*usableSeconds > loss*rnd.pl.cfg.PaybackHorizon.Seconds()+eng.TokensPerSecond*loadTime
}

// cheapestEngine returns the engine whose change costs other models the fewest
// tokens per second, the model to unload there, and that cost. An engine in a zone
// that already holds the model ranks 1% of its rate worse, so that at similar
// costs the model spreads over the zones.
func (rnd *round) cheapestEngine(mod Model) (best *projectedEngine, unload string, loss float64) {
	bestScore := math.Inf(1)
	for _, eng := range rnd.engines {
		if !eng.changeable || slices.Contains(eng.held, mod.Name) {
			continue
		}
		name, cost, ok := rnd.chooseUnload(eng, mod)
		if !ok {
			continue
		}
		score := cost
		if rnd.zoneHolds(eng.Zone, mod.Name) {
			score += 0.01 * eng.TokensPerSecond
		}
		if score < bestScore {
			best, unload, loss, bestScore = eng, name, cost, score
		}
	}
	return best, unload, loss
}

// chooseUnload returns the model that the engine must unload to load another, empty
// when there is room, and the tokens per second that the unloaded model then lacks.
// ok is false when the engine can't load the other model.
func (rnd *round) chooseUnload(eng *projectedEngine, mod Model) (name string, loss float64, ok bool) {
	if mod.Base != "" {
		return "", 0, slices.Contains(eng.held, mod.Base)
	}
	if rnd.baseCount(eng) < eng.ModelCapacity {
		return "", 0, true
	}
	loss = math.Inf(1)
	for _, candidate := range eng.held {
		if rnd.bases[candidate] != "" {
			continue
		}
		if cost, allowed := rnd.unloadLoss(eng, candidate); allowed && cost < loss {
			name, loss, ok = candidate, cost, true
		}
	}
	return name, loss, ok
}

// baseCount returns the number of models on an engine that are not adapters.
func (rnd *round) baseCount(eng *projectedEngine) int {
	count := 0
	for _, name := range eng.held {
		if rnd.bases[name] == "" {
			count++
		}
	}
	return count
}

// unloadLoss is the sum of modelUnloadLoss for a model and its adapters on the
// engine; ok is false when one of them can't be unloaded.
func (rnd *round) unloadLoss(eng *projectedEngine, base string) (loss float64, ok bool) {
	for _, name := range eng.held {
		if name != base && rnd.bases[name] != base {
			continue
		}
		cost, allowed := rnd.modelUnloadLoss(eng, name)
		if !allowed {
			return 0, false
		}
		loss += cost
	}
	return loss, true
}

// modelUnloadLoss returns the tokens per second that a model lacks without the
// engine. ok is false when the model would fall below MinEngines or exceed
// LowUtilization.
func (rnd *round) modelUnloadLoss(eng *projectedEngine, name string) (loss float64, ok bool) {
	idx := slices.IndexFunc(rnd.input.Models, func(mod Model) bool { return mod.Name == name })
	if idx < 0 {
		return 0, true
	}
	mod := rnd.input.Models[idx]
	rate, count := rnd.supply(name)
	remaining := rate - eng.TokensPerSecond/float64(len(eng.held))
	need := rnd.pl.demands[name].rate
	if count-1 < mod.MinEngines || need > remaining*rnd.pl.cfg.LowUtilization {
		return 0, false
	}
	return max(0, need-remaining), true
}

// zoneHolds reports whether an engine in the zone holds the model.
func (rnd *round) zoneHolds(zone bwmodel.ZoneID, name string) bool {
	return slices.ContainsFunc(rnd.engines, func(eng *projectedEngine) bool {
		return eng.Zone == zone && slices.Contains(eng.held, name)
	})
}

// issue records an order, applies it to the engine and excludes the engine from
// further orders of this round.
func (rnd *round) issue(eng *projectedEngine, ord Order) {
	rnd.apply(eng, ord)
	eng.changeable = false
	rnd.pl.lastOrders[eng.Upstream] = &issuedOrder{issued: rnd.input.Now, order: ord}
	rnd.orders = append(rnd.orders, ord)
}

// assignRoles moves engines from roles above their share to roles below it. A role
// receives an engine only when it is a whole engine below its share, so that
// rounding causes no orders.
func (rnd *round) assignRoles() {
	for _, want := range rnd.input.Roles {
		for rnd.excess(want) <= -1 {
			eng := rnd.donor(want.Role)
			if eng == nil {
				break
			}
			rnd.issue(eng, Order{Upstream: eng.Upstream, Role: want.Role, Reason: ReasonRole})
		}
	}
}

// excess returns the number of engines that a role has above its share; negative
// when it has fewer.
func (rnd *round) excess(want RoleShare) float64 {
	have := 0
	for _, eng := range rnd.engines {
		if eng.Role == want.Role {
			have++
		}
	}
	return float64(have) - want.Share*float64(len(rnd.engines))
}

// donor returns an engine that may change to the role, or nil. The engine's own
// role must be above its share or have no share.
func (rnd *round) donor(role string) *projectedEngine {
	for _, eng := range rnd.engines {
		if !eng.changeable || eng.Role == role {
			continue
		}
		idx := slices.IndexFunc(rnd.input.Roles, func(rs RoleShare) bool { return rs.Role == eng.Role })
		if idx < 0 || rnd.excess(rnd.input.Roles[idx]) > 0 {
			return eng
		}
	}
	return nil
}

func compareFloat(fa, fb float64) int {
	switch {
	case fa < fb:
		return -1
	case fa > fb:
		return 1
	}
	return 0
}

func orDefault[T comparable](val, def T) T {
	var zero T
	if val == zero {
		return def
	}
	return val
}
