package bwplace

import (
	"errors"
	"math"
	"slices"
	"strings"
	"time"

	"bilberrywick/core/bwmodel"
)

// Planner decides which engine loads which model. Its plan depends only on the
// inputs that it has been given; one goroutine uses it.
type Planner struct {
	cfg     Config
	demand  map[string]*demand
	engines map[bwmodel.UpstreamID]*history
	// allowance is the number of weight bytes that may be loaded now.
	allowance float64
	last      time.Time
}

// Config holds a Planner's rules.
type Config struct {
	// WeightBytesPerSecond is the bytes per second of the weight store that loads may use.
	WeightBytesPerSecond float64
	// WeightBurstBytes is the bytes that may be loaded at once after a quiet time; 0
	// means what a minute of WeightRate gives.
	WeightBurstBytes float64
	// MinChangeInterval is the time in which an engine changes once at most; 0 means 2 minutes.
	MinChangeInterval time.Duration
	// PaybackHorizon is the time over which a load must pay back; 0 means 10 minutes.
	PaybackHorizon time.Duration
	// DemandTimeConstant is the time constant of the demand; 0 means 30 s.
	DemandTimeConstant time.Duration
	// MinShortageTime is the time for which a lack must last before a load; 0 means 10 s.
	MinShortageTime time.Duration
	// HighUtilization is the use of a model's engines above which one is added; 0 means 0.8.
	HighUtilization float64
	// LowUtilization is the use of the remaining engines below which one may be given away;
	// 0 means 0.6.
	LowUtilization float64
}

type demand struct {
	rate float64
	// lacking is since when the model has wanted more engines; zero means it does not.
	lacking time.Time
}

// history is what the planner has told an engine.
type history struct {
	changed time.Time
	order   Order
}

// New returns a planner that has given no orders.
func New(cfg Config) (*Planner, error) {
	if cfg.WeightBytesPerSecond <= 0 {
		return nil, errors.New("planner: WeightRate must be positive")
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
		cfg: cfg, demand: map[string]*demand{}, engines: map[bwmodel.UpstreamID]*history{},
		allowance: cfg.WeightBurstBytes,
	}, nil
}

// Plan returns the orders to give now, and one decision for each model that
// wants more engines than it has.
func (pl *Planner) Plan(in Input) ([]Order, []Decision) {
	pl.advance(in)
	rnd := newRound(pl, in)
	for _, mod := range rnd.models {
		rnd.place(mod)
	}
	rnd.assignRoles()
	return rnd.orders, rnd.decisions
}

// advance smooths the demand and refills the weight store's allowance.
func (pl *Planner) advance(in Input) {
	span := in.Now.Sub(pl.last)
	if pl.last.IsZero() {
		span = 0
	}
	pl.last = in.Now
	pl.allowance = min(pl.cfg.WeightBurstBytes, pl.allowance+span.Seconds()*pl.cfg.WeightBytesPerSecond)
	part := 1 - math.Exp(-span.Seconds()/pl.cfg.DemandTimeConstant.Seconds())
	for _, mod := range in.Models {
		dem := pl.demand[mod.Name]
		if dem == nil {
			dem = &demand{rate: mod.Demand}
			pl.demand[mod.Name] = dem
		}
		dem.rate += part * (mod.Demand - dem.rate)
	}
	pl.forget(in)
}

// forget drops the state of models and engines that are no longer known.
func (pl *Planner) forget(in Input) {
	for name := range pl.demand {
		if !slices.ContainsFunc(in.Models, func(mod Model) bool { return mod.Name == name }) {
			delete(pl.demand, name)
		}
	}
	for id, his := range pl.engines {
		if in.Now.Sub(his.changed) > 2*pl.cfg.MinChangeInterval {
			delete(pl.engines, id)
		}
	}
}

// round is the work of one Plan.
type round struct {
	pl *Planner
	in Input
	// bases maps each adapter to the model that it extends.
	bases     map[string]string
	models    []Model
	engines   []*engine
	orders    []Order
	decisions []Decision
}

// engine is an engine as it will be once its last order is carried out.
type engine struct {
	Engine
	holds []string
	free  bool
}

func newRound(pl *Planner, in Input) *round {
	rnd := &round{pl: pl, in: in, models: slices.Clone(in.Models), bases: make(map[string]string)}
	for _, mod := range in.Models {
		if mod.Base != "" {
			rnd.bases[mod.Name] = mod.Base
		}
	}
	for _, eng := range in.Engines {
		if !eng.Usable {
			continue
		}
		rnd.engines = append(rnd.engines, rnd.expected(eng))
	}
	slices.SortFunc(rnd.engines, func(ea, eb *engine) int {
		return strings.Compare(string(ea.Upstream), string(eb.Upstream))
	})
	slices.SortStableFunc(rnd.models, func(ma, mb Model) int {
		return compareFloat(rnd.lack(mb), rnd.lack(ma))
	})
	return rnd
}

// expected applies the engine's last order to what it reports, until the
// period in which the order must show has passed.
func (rnd *round) expected(eng Engine) *engine {
	exp := &engine{Engine: eng, holds: slices.Clone(eng.Loaded), free: true}
	exp.ModelCapacity = max(1, eng.ModelCapacity)
	his := rnd.pl.engines[eng.Upstream]
	if his == nil || rnd.in.Now.Sub(his.changed) >= rnd.pl.cfg.MinChangeInterval {
		return exp
	}
	exp.free = false
	rnd.apply(exp, his.order)
	return exp
}

// apply changes an engine as an order does; adapters go with their base.
func (rnd *round) apply(eng *engine, ord Order) {
	if ord.Unload != "" {
		eng.holds = slices.DeleteFunc(eng.holds, func(name string) bool {
			return name == ord.Unload || rnd.bases[name] == ord.Unload
		})
	}
	if ord.Load != "" && !slices.Contains(eng.holds, ord.Load) {
		eng.holds = append(eng.holds, ord.Load)
	}
	if ord.Role != "" {
		eng.Role = ord.Role
	}
}

// supply returns the tokens per second that the engines of a model give it, and
// their number. An engine that holds several models gives each an equal part.
func (rnd *round) supply(name string) (rate float64, count int) {
	for _, eng := range rnd.engines {
		if slices.Contains(eng.holds, name) {
			rate += eng.TokensPerSecond / float64(len(eng.holds))
			count++
		}
	}
	return rate, count
}

// lack returns the tokens per second that a model misses at the wanted use.
func (rnd *round) lack(mod Model) float64 {
	rate, _ := rnd.supply(mod.Name)
	return rnd.pl.demand[mod.Name].rate/rnd.pl.cfg.HighUtilization - rate
}

// place gives orders until the model has enough engines or none may change.
func (rnd *round) place(mod Model) {
	dem := rnd.pl.demand[mod.Name]
	for {
		_, count := rnd.supply(mod.Name)
		lack := rnd.lack(mod)
		below := count < mod.MinEngines
		if !below && lack <= 0 {
			dem.lacking = time.Time{}
			return
		}
		if dem.lacking.IsZero() {
			dem.lacking = rnd.in.Now
		}
		if !below && rnd.in.Now.Sub(dem.lacking) < rnd.pl.cfg.MinShortageTime {
			return
		}
		dec := Decision{Model: mod.Name, Demand: dem.rate, Engines: count, Wanted: count + 1, Reason: ReasonDemand}
		if below {
			dec.Reason = ReasonMinimum
		}
		ordered := rnd.load(mod, lack, below, &dec)
		rnd.decisions = append(rnd.decisions, dec)
		if !ordered {
			return
		}
	}
}

// load orders the engine that loses least to load the model.
func (rnd *round) load(mod Model, lack float64, below bool, dec *Decision) bool {
	if float64(mod.Bytes) > rnd.pl.allowance {
		dec.Reason = ReasonWeightRate
		return false
	}
	eng, unload, loss := rnd.cheapest(mod)
	if eng == nil {
		dec.Reason = ReasonNoEngine
		return false
	}
	if !below && !rnd.paysBack(mod, eng, lack, loss) {
		dec.Reason = ReasonNoPayback
		return false
	}
	dec.Chosen = eng.Upstream
	rnd.order(eng, Order{Upstream: eng.Upstream, Load: mod.Name, Unload: unload, Reason: dec.Reason})
	rnd.pl.allowance -= float64(mod.Bytes)
	return true
}

// paysBack reports whether the tokens gained over the horizon exceed those lost
// while the engine loads and those that the displaced model misses.
func (rnd *round) paysBack(mod Model, eng *engine, lack, loss float64) bool {
	loadTime := float64(mod.Bytes) / rnd.pl.cfg.WeightBytesPerSecond
	gain := min(lack*rnd.pl.cfg.HighUtilization, eng.TokensPerSecond)
	use := max(0, rnd.pl.cfg.PaybackHorizon.Seconds()-loadTime)
	return gain*use > loss*rnd.pl.cfg.PaybackHorizon.Seconds()+eng.TokensPerSecond*loadTime
}

// cheapest returns the engine whose change costs the fewest tokens per second
// of other models, and the model to unload there. Zones without the model come
// first among equals.
func (rnd *round) cheapest(mod Model) (best *engine, unload string, loss float64) {
	bestScore := math.Inf(1)
	for _, eng := range rnd.engines {
		if !eng.free || slices.Contains(eng.holds, mod.Name) {
			continue
		}
		name, cost, ok := rnd.displace(eng, mod)
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

// displace returns the model that an engine can give up, if it needs to, and
// the tokens per second that this model would then miss.
func (rnd *round) displace(eng *engine, mod Model) (name string, loss float64, ok bool) {
	if mod.Base != "" {
		return "", 0, slices.Contains(eng.holds, mod.Base)
	}
	if rnd.placesUsed(eng) < eng.ModelCapacity {
		return "", 0, true
	}
	loss = math.Inf(1)
	for _, held := range eng.holds {
		if rnd.bases[held] != "" {
			continue
		}
		if cost, allowed := rnd.giveAwayAll(eng, held); allowed && cost < loss {
			name, loss, ok = held, cost, true
		}
	}
	return name, loss, ok
}

func (rnd *round) placesUsed(eng *engine) int {
	used := 0
	for _, held := range eng.holds {
		if rnd.bases[held] == "" {
			used++
		}
	}
	return used
}

// giveAwayAll is giveAway of a model and of its adapters on the engine.
func (rnd *round) giveAwayAll(eng *engine, held string) (loss float64, ok bool) {
	for _, name := range eng.holds {
		if name != held && rnd.bases[name] != held {
			continue
		}
		cost, allowed := rnd.giveAway(eng, name)
		if !allowed {
			return 0, false
		}
		loss += cost
	}
	return loss, true
}

// giveAway reports whether a model keeps its minimum and a use below Low
// without an engine, and what it would miss.
func (rnd *round) giveAway(eng *engine, held string) (loss float64, ok bool) {
	idx := slices.IndexFunc(rnd.in.Models, func(mod Model) bool { return mod.Name == held })
	if idx < 0 {
		return 0, true
	}
	mod := rnd.in.Models[idx]
	rate, count := rnd.supply(held)
	left := rate - eng.TokensPerSecond/float64(len(eng.holds))
	need := rnd.pl.demand[held].rate
	if count-1 < mod.MinEngines || need > left*rnd.pl.cfg.LowUtilization {
		return 0, false
	}
	return max(0, need-left), true
}

func (rnd *round) zoneHolds(zone bwmodel.ZoneID, name string) bool {
	return slices.ContainsFunc(rnd.engines, func(eng *engine) bool {
		return eng.Zone == zone && slices.Contains(eng.holds, name)
	})
}

func (rnd *round) order(eng *engine, ord Order) {
	rnd.apply(eng, ord)
	eng.free = false
	rnd.pl.engines[eng.Upstream] = &history{changed: rnd.in.Now, order: ord}
	rnd.orders = append(rnd.orders, ord)
}

// assignRoles moves engines from roles above their share to roles below it. A
// role must be a whole engine below its share, so that rounding moves nothing.
func (rnd *round) assignRoles() {
	for _, want := range rnd.in.Roles {
		for rnd.excess(want) <= -1 {
			eng := rnd.donor(want.Role)
			if eng == nil {
				break
			}
			rnd.order(eng, Order{Upstream: eng.Upstream, Role: want.Role, Reason: ReasonRole})
		}
	}
}

// excess returns how many engines a role has above its share.
func (rnd *round) excess(want RoleShare) float64 {
	have := 0
	for _, eng := range rnd.engines {
		if eng.Role == want.Role {
			have++
		}
	}
	return float64(have) - want.Share*float64(len(rnd.engines))
}

// donor returns an engine whose role stays at its share or above without it.
func (rnd *round) donor(role string) *engine {
	for _, eng := range rnd.engines {
		if !eng.free || eng.Role == role {
			continue
		}
		idx := slices.IndexFunc(rnd.in.Roles, func(rs RoleShare) bool { return rs.Role == eng.Role })
		if idx < 0 || rnd.excess(rnd.in.Roles[idx]) > 0 {
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
