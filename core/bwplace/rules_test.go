package bwplace_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"bilberrywick/core/bwmodel"
	"bilberrywick/core/bwplace"
)

// simulation runs a planner once per second on engines that execute each order
// immediately.
type simulation struct {
	t    *testing.T
	pl   *bwplace.Planner
	now  time.Time
	engs []bwplace.Engine
	// orders and decisions are those of all plans; times holds the time of each order.
	orders    []bwplace.Order
	times     []time.Time
	decisions []bwplace.Decision
}

func newSimulation(t *testing.T, cfg bwplace.Config, engs []bwplace.Engine) *simulation {
	t.Helper()
	if cfg.WeightBytesPerSecond == 0 {
		cfg.WeightBytesPerSecond = gib
	}
	pl, err := bwplace.New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	return &simulation{t: t, pl: pl, now: time.Unix(0, 0), engs: engs}
}

// step computes one plan, executes it and returns the number of its orders.
func (sim *simulation) step(in bwplace.Input) int {
	in.Now, in.Engines = sim.now, sim.engs
	ords, decs := sim.pl.Plan(in)
	execute(sim.engs, ords)
	for _, ord := range ords {
		sim.orders = append(sim.orders, ord)
		sim.times = append(sim.times, sim.now)
	}
	sim.decisions = append(sim.decisions, decs...)
	sim.now = sim.now.Add(time.Second)
	return len(ords)
}

// run computes plans for the given time with the demands for a and b.
func (sim *simulation) run(span time.Duration, demand func(at time.Duration) (first, second float64)) {
	begin := sim.now
	for sim.now.Sub(begin) < span {
		firstRate, secondRate := demand(sim.now.Sub(begin))
		sim.step(bwplace.Input{Models: models(firstRate, secondRate, 10*gib)})
	}
}

// models returns the models a and b with their demands and the size of each.
func models(first, second float64, bytes int64) []bwplace.Model {
	return []bwplace.Model{
		{Name: "a", Demand: first, Bytes: bytes, MinEngines: 1},
		{Name: "b", Demand: second, Bytes: bytes, MinEngines: 1},
	}
}

// splitFleet returns engines of which the first half holds model a and the rest b.
func splitFleet(count int) []bwplace.Engine {
	engs := fleet(count)
	for ix := count / 2; ix < count; ix++ {
		engs[ix].Loaded = []string{"b"}
	}
	return engs
}

// Guards against engines that repeatedly switch models: when the demand oscillates
// faster than the smoothing, has short peaks, or oscillates slowly between the low
// and the high utilization. In each case a single rule must prevent all orders:
// DemandTimeConstant, MinShortageTime or LowUtilization.
func TestDemandSwingsCauseNoOrders(t *testing.T) {
	const negligible = time.Nanosecond
	tests := []struct {
		name   string
		cfg    bwplace.Config
		demand func(time.Duration) (float64, float64)
	}{
		{
			"smoothing",
			bwplace.Config{DemandTimeConstant: 2 * time.Minute, MinShortageTime: negligible, MinChangeInterval: negligible, LowUtilization: 0.99},
			func(at time.Duration) (float64, float64) {
				if at == 0 {
					return 3200, 3200
				}
				if at%(20*time.Second) < 10*time.Second {
					return 5000, 1400
				}
				return 1400, 5000
			},
		},
		{
			"hold",
			bwplace.Config{DemandTimeConstant: negligible, MinShortageTime: 10 * time.Second, MinChangeInterval: negligible, LowUtilization: 0.99},
			func(at time.Duration) (float64, float64) {
				if at%time.Minute < 8*time.Second {
					return 4800, 500
				}
				return 500, 500
			},
		},
		{
			"low use",
			bwplace.Config{DemandTimeConstant: negligible, MinShortageTime: negligible, MinChangeInterval: negligible},
			func(at time.Duration) (float64, float64) {
				if at%(4*time.Minute) < 2*time.Minute {
					return 4300, 3000
				}
				return 3000, 4300
			},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			sim := newSimulation(t, tt.cfg, splitFleet(10))
			sim.run(20*time.Minute, tt.demand)
			if len(sim.orders) > 0 {
				t.Errorf("%d orders, the first at %v, want none", len(sim.orders), sim.times[0])
			}
		})
	}
}

// Guards against loads that cost more tokens than they gain.
func TestLoadMustPayBack(t *testing.T) {
	for _, tt := range []struct {
		name   string
		bytes  int64
		demand float64
		loads  bool
	}{
		{"small shortfall, load of 9 min", 540 * gib, 900, false},
		{"small shortfall, load of 1 s", gib, 900, true},
		{"large shortfall, load of 2 min", 120 * gib, 3000, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			engs := fleet(6)
			engs[5].Loaded = []string{"b"}
			sim := newSimulation(t, bwplace.Config{WeightBurstBytes: 1000 * gib}, engs)
			mods := models(100, tt.demand, tt.bytes)
			for range 60 {
				sim.step(bwplace.Input{Models: mods})
			}
			if loads := len(sim.orders) > 0; loads != tt.loads {
				t.Errorf("ordered a load: %v, want %v", loads, tt.loads)
			}
			if last := sim.decisions[len(sim.decisions)-1]; !tt.loads && last.Reason != bwplace.ReasonNoPayback {
				t.Errorf("got reason %q, want %q", last.Reason, bwplace.ReasonNoPayback)
			}
		})
	}
}

// Guards against loads that exceed the rate of the weight store after the burst.
func TestWeightStoreRate(t *testing.T) {
	sim := newSimulation(t, bwplace.Config{WeightBytesPerSecond: gib, WeightBurstBytes: 20 * gib}, fleet(30))
	mods := []bwplace.Model{{Name: "a", Bytes: 10 * gib, MinEngines: 1}}
	for _, name := range []string{"b", "c", "d", "e", "f", "g", "h", "i"} {
		mods = append(mods, bwplace.Model{Name: name, Bytes: 10 * gib, MinEngines: 3})
	}
	for second := range 100 {
		sim.step(bwplace.Input{Models: mods})
		if most := (20 + second) / 10; len(sim.orders) > most {
			t.Fatalf("%d loads of 10 GiB after %d s, want at most %d", len(sim.orders), second, most)
		}
	}
	if len(sim.orders) != 11 {
		t.Errorf("%d loads in 100 s, want 11", len(sim.orders))
	}
}

// Guards against an engine that changes twice within MinChangeInterval.
func TestOneChangePerEngineAndInterval(t *testing.T) {
	const interval = 90 * time.Second
	rng := rand.New(rand.NewPCG(3, 3))
	sim := newSimulation(t, bwplace.Config{MinChangeInterval: interval, MinShortageTime: 1, DemandTimeConstant: 1, WeightBurstBytes: 1e6 * gib}, splitFleet(10))
	firstRate, secondRate := 0.0, 0.0
	sim.run(time.Hour, func(at time.Duration) (float64, float64) {
		if at%(30*time.Second) == 0 {
			firstRate, secondRate = rng.Float64()*6000, rng.Float64()*6000
		}
		return firstRate, secondRate
	})
	changed := make(map[bwmodel.UpstreamID]time.Time)
	for ix, ord := range sim.orders {
		if last, ok := changed[ord.Upstream]; ok && sim.times[ix].Sub(last) < interval {
			t.Errorf("engine %s changes after %v, want at least %v", ord.Upstream, sim.times[ix].Sub(last), interval)
		}
		changed[ord.Upstream] = sim.times[ix]
	}
	if len(sim.orders) < 20 {
		t.Errorf("%d orders in an hour of changing demand, want at least 20", len(sim.orders))
	}
}

// Guards against roles that don't reach their shares, or that change after that.
func TestRolesReachTheirShares(t *testing.T) {
	engs := fleet(10)
	for ix := range engs {
		engs[ix].Role = "prefill"
	}
	sim := newSimulation(t, bwplace.Config{}, engs)
	in := bwplace.Input{Roles: []bwplace.RoleShare{{Role: "prefill", Share: 0.33}, {Role: "decode", Share: 0.67}}}
	for range 600 {
		sim.step(in)
		for _, ord := range sim.orders {
			ix := slices.IndexFunc(sim.engs, func(eng bwplace.Engine) bool { return eng.Upstream == ord.Upstream })
			sim.engs[ix].Role = ord.Role
		}
	}
	decode := 0
	for _, eng := range sim.engs {
		if eng.Role == "decode" {
			decode++
		}
	}
	if decode != 6 || len(sim.orders) != 6 {
		t.Errorf("%d engines decode after %d orders, want 6 and 6", decode, len(sim.orders))
	}
}

// Guards against an adapter that is loaded on an engine without its base, and a base
// that is unloaded while an engine needs it for an adapter in use.
func TestAdapterStaysWithItsBase(t *testing.T) {
	sim := newSimulation(t, bwplace.Config{MinChangeInterval: 20 * time.Second}, splitFleet(10))
	for second := range 600 {
		mods := models(3000+10*float64(second), 500, 10*gib)
		mods = append(mods, bwplace.Model{Name: "b-sk", Base: "b", Demand: 700, Bytes: gib, MinEngines: 2})
		ords := sim.step(bwplace.Input{Models: mods})
		for _, ord := range sim.orders[len(sim.orders)-ords:] {
			if ord.Load == "b-sk" && ord.Unload != "" {
				t.Errorf("the order to load the adapter unloads %q, want nothing unloaded", ord.Unload)
			}
		}
	}
	withBase, withoutBase := 0, 0
	for _, eng := range sim.engs {
		switch {
		case slices.Contains(eng.Loaded, "b-sk") && slices.Contains(eng.Loaded, "b"):
			withBase++
		case slices.Contains(eng.Loaded, "b-sk"):
			withoutBase++
		}
	}
	if withBase < 2 || withoutBase > 0 {
		t.Errorf("%d engines hold the adapter with its base and %d without, want at least 2 and none", withBase, withoutBase)
	}
}
