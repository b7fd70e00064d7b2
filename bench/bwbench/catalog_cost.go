package bwbench

import (
	"net/netip"
	"time"

	"bilberrywick/cmd/bwdev"
)

func routerCost(siz Size) Experiment {
	stm := siz.generations(ShortGeneration, largeTeam, 1, shortMin, shortMax)
	stm.PeakRate = costRate
	stm.Rate = ConstantRate(costRate)
	flt := siz.fleet()
	flt.Engine.TokenTime = costTokenTime
	through := Variant{Policy: throughRouter, Fleet: flt, Workloads: []Workload{stm}, Length: siz.Length}
	direct := through
	direct.Policy = directToEngine
	direct.DirectAddresses = func(flt *bwdev.Fleet) []netip.AddrPort {
		var addrs []netip.AddrPort
		for _, eng := range flt.Engines {
			addrs = append(addrs, eng.Fake.Address())
		}
		return addrs
	}
	return Experiment{
		Name: "RouterCost",
		Goal: "the router, agent and holder add under 1 ms at p99 to the first token",
		Goals: []Goal{
			{Measure: "p99 of first token, through the router - direct", Bound: 0.001, Unit: " s", Value: addedFirstToken(99)},
			{Measure: "median of first token, through the router - direct", ReportOnly: true, Value: addedFirstToken(50)},
			{Measure: "CPU seconds per request of router, agent and holder", Bound: 50e-6, Unit: " s", Value: added(cpuMicros, "Done", 1e-6)},
			{Measure: "allocations per token of router, agent and holder", ReportOnly: true, Value: added(allocations, "TokensDelivered", 1)},
		},
		Variants: []Variant{direct, through},
	}
}

const (
	// costRate and costTokenTime keep the engines nearly idle: a batch in progress
	// gives a first token only at its next step, which hides what the path adds.
	costRate       = 60
	costTokenTime  = 2 * time.Millisecond
	throughRouter  = "ThroughRouter"
	directToEngine = "DirectToEngine"
)

// addedFirstToken is what the path through the router adds to a quantile.
func addedFirstToken(quantile float64) func(Runs) (float64, bool) {
	return func(rns Runs) (float64, bool) {
		through, ok := rns.Quantile(throughRouter, "FirstToken", string(ShortGeneration), quantile)
		direct, known := rns.Quantile(directToEngine, "FirstToken", string(ShortGeneration), quantile)
		return through - direct, ok && known
	}
}

// added is what the path through the router adds to a count of the process,
// for each of another count. The process holds callers and engines too, whose
// part the direct run takes away.
func added(name, per string, unit float64) func(Runs) (float64, bool) {
	through, direct := countRatio(throughRouter, name, per), countRatio(directToEngine, name, per)
	return func(rns Runs) (float64, bool) {
		high, ok := through(rns)
		low, known := direct(rns)
		return (high - low) * unit, ok && known
	}
}
