package bwplace_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"bilberrywick/core/bwmodel"
	"bilberrywick/core/bwplace"
)

// trial runs a planner each second on engines that carry out each order at once.
type trial struct {
	t    *testing.T
	pl   *bwplace.Planner
	now  time.Time
	engs []bwplace.Engine
	// orders and decisions are all that were made.
	orders    []bwplace.Order
	times     []time.Time
	decisions []bwplace.Decision
}

func newTrial(t *testing.T, cfg bwplace.Config, engs []bwplace.Engine) *trial {
	t.Helper()
	if cfg.WeightBytesPerSecond == 0 {
		cfg.WeightBytesPerSecond = gib
	}
	pl, err := bwplace.New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	return &trial{t: t, pl: pl, now: time.Unix(0, 0), engs: engs}
}

// step runs one plan and returns the number of its orders.
func (trl *trial) step(in bwplace.Input) int {
	in.Now, in.Engines = trl.now, trl.engs
	ords, decs := trl.pl.Plan(in)
	carryOut(trl.engs, ords)
	for _, ord := range ords {
		trl.orders = append(trl.orders, ord)
		trl.times = append(trl.times, trl.now)
	}
	trl.decisions = append(trl.decisions, decs...)
	trl.now = trl.now.Add(time.Second)
	return len(ords)
}

func (trl *trial) run(span time.Duration, demand func(at time.Duration) (first, second float64)) {
	begin := trl.now
	for trl.now.Sub(begin) < span {
		one, two := demand(trl.now.Sub(begin))
		trl.step(bwplace.Input{Models: models(one, two, 10*gib)})
	}
}

func models(first, second float64, bytes int64) []bwplace.Model {
	return []bwplace.Model{
		{Name: "a", Demand: first, Bytes: bytes, MinEngines: 1},
		{Name: "b", Demand: second, Bytes: bytes, MinEngines: 1},
	}
}

// mixed returns engines of which the first half holds a and the rest b.
func mixed(count int) []bwplace.Engine {
	engs := fleet(count)
	for ix := count / 2; ix < count; ix++ {
		engs[ix].Loaded = []string{"b"}
	}
	return engs
}

// Guards against engines that move to and fro: with a demand that swings
// faster than it is smoothed, with a short peak, and with a slow swing between
// the low and the high use. Each rule alone must suffice.
func TestNoFlapping(t *testing.T) {
	const tiny = time.Nanosecond
	tests := []struct {
		name   string
		cfg    bwplace.Config
		demand func(time.Duration) (float64, float64)
	}{
		{
			"smoothing",
			bwplace.Config{DemandTimeConstant: 2 * time.Minute, MinShortageTime: tiny, MinChangeInterval: tiny, LowUtilization: 0.99},
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
			bwplace.Config{DemandTimeConstant: tiny, MinShortageTime: 10 * time.Second, MinChangeInterval: tiny, LowUtilization: 0.99},
			func(at time.Duration) (float64, float64) {
				if at%time.Minute < 8*time.Second {
					return 4800, 500
				}
				return 500, 500
			},
		},
		{
			"low use",
			bwplace.Config{DemandTimeConstant: tiny, MinShortageTime: tiny, MinChangeInterval: tiny},
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
			trl := newTrial(t, tt.cfg, mixed(10))
			trl.run(20*time.Minute, tt.demand)
			if len(trl.orders) > 0 {
				t.Errorf("%d orders, the first at %v, want none", len(trl.orders), trl.times[0])
			}
		})
	}
}

// Guards against a load that costs more tokens than it gains.
func TestLoadMustPayBack(t *testing.T) {
	for _, tt := range []struct {
		name   string
		bytes  int64
		demand float64
		loads  bool
	}{
		{"small lack, load of 9 min", 540 * gib, 900, false},
		{"small lack, load of 1 s", gib, 900, true},
		{"great lack, load of 2 min", 120 * gib, 3000, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			engs := fleet(6)
			engs[5].Loaded = []string{"b"}
			trl := newTrial(t, bwplace.Config{WeightBurstBytes: 1000 * gib}, engs)
			mods := models(100, tt.demand, tt.bytes)
			for range 60 {
				trl.step(bwplace.Input{Models: mods})
			}
			if loads := len(trl.orders) > 0; loads != tt.loads {
				t.Errorf("loads=%v, want %v", loads, tt.loads)
			}
			if last := trl.decisions[len(trl.decisions)-1]; !tt.loads && last.Reason != bwplace.ReasonNoPayback {
				t.Errorf("got reason %q, want %q", last.Reason, bwplace.ReasonNoPayback)
			}
		})
	}
}

// Guards against loads that exceed the weight store's rate after its burst.
func TestWeightStoreRate(t *testing.T) {
	trl := newTrial(t, bwplace.Config{WeightBytesPerSecond: gib, WeightBurstBytes: 20 * gib}, fleet(30))
	mods := []bwplace.Model{{Name: "a", Bytes: 10 * gib, MinEngines: 1}}
	for _, name := range []string{"b", "c", "d", "e", "f", "g", "h", "i"} {
		mods = append(mods, bwplace.Model{Name: name, Bytes: 10 * gib, MinEngines: 3})
	}
	for second := range 100 {
		trl.step(bwplace.Input{Models: mods})
		if most := (20 + second) / 10; len(trl.orders) > most {
			t.Fatalf("%d loads of 10 GiB after %d s, want at most %d", len(trl.orders), second, most)
		}
	}
	if len(trl.orders) != 11 {
		t.Errorf("%d loads in 100 s, want 11", len(trl.orders))
	}
}

// Guards against an engine that changes twice within a period.
func TestOneChangePerEngineAndPeriod(t *testing.T) {
	const period = 90 * time.Second
	rng := rand.New(rand.NewPCG(3, 3))
	trl := newTrial(t, bwplace.Config{MinChangeInterval: period, MinShortageTime: 1, DemandTimeConstant: 1, WeightBurstBytes: 1e6 * gib}, mixed(10))
	one, two := 0.0, 0.0
	trl.run(time.Hour, func(at time.Duration) (float64, float64) {
		if at%(30*time.Second) == 0 {
			one, two = rng.Float64()*6000, rng.Float64()*6000
		}
		return one, two
	})
	changed := make(map[bwmodel.UpstreamID]time.Time)
	for ix, ord := range trl.orders {
		if last, ok := changed[ord.Upstream]; ok && trl.times[ix].Sub(last) < period {
			t.Errorf("engine %s changes after %v, want at least %v", ord.Upstream, trl.times[ix].Sub(last), period)
		}
		changed[ord.Upstream] = trl.times[ix]
	}
	if len(trl.orders) < 20 {
		t.Errorf("%d orders in an hour of changing demand, want at least 20", len(trl.orders))
	}
}

// Guards against roles that miss their shares, or that go on changing once met.
func TestRolesReachTheirShares(t *testing.T) {
	engs := fleet(10)
	for ix := range engs {
		engs[ix].Role = "prefill"
	}
	trl := newTrial(t, bwplace.Config{}, engs)
	in := bwplace.Input{Roles: []bwplace.RoleShare{{Role: "prefill", Share: 0.33}, {Role: "decode", Share: 0.67}}}
	for range 600 {
		trl.step(in)
		for _, ord := range trl.orders {
			ix := slices.IndexFunc(trl.engs, func(eng bwplace.Engine) bool { return eng.Upstream == ord.Upstream })
			trl.engs[ix].Role = ord.Role
		}
	}
	decode := 0
	for _, eng := range trl.engs {
		if eng.Role == "decode" {
			decode++
		}
	}
	if decode != 6 || len(trl.orders) != 6 {
		t.Errorf("%d engines decode after %d orders, want 6 and 6", decode, len(trl.orders))
	}
}

// Guards against an adapter on an engine without its base, and against a base
// that goes away under an adapter that is in use.
func TestAdapterStaysWithItsBase(t *testing.T) {
	trl := newTrial(t, bwplace.Config{MinChangeInterval: 20 * time.Second}, mixed(10))
	for second := range 600 {
		mods := models(3000+10*float64(second), 500, 10*gib)
		mods = append(mods, bwplace.Model{Name: "b-sk", Base: "b", Demand: 700, Bytes: gib, MinEngines: 2})
		ords := trl.step(bwplace.Input{Models: mods})
		for _, ord := range trl.orders[len(trl.orders)-ords:] {
			if ord.Load == "b-sk" && ord.Unload != "" {
				t.Errorf("adapter displaces %q", ord.Unload)
			}
		}
	}
	with, alone := 0, 0
	for _, eng := range trl.engs {
		switch {
		case slices.Contains(eng.Loaded, "b-sk") && slices.Contains(eng.Loaded, "b"):
			with++
		case slices.Contains(eng.Loaded, "b-sk"):
			alone++
		}
	}
	if with < 2 || alone > 0 {
		t.Errorf("%d engines hold the adapter with its base and %d without, want at least 2 and none", with, alone)
	}
}
