package bwbench

import (
	"net/netip"
	"time"

	"bilberrywick/cmd/bwdev"
)

func routerCost(siz Size) Experiment {
	wkl := siz.generationWorkload(ShortGeneration, largeTeam, 1, shortMinTokens, shortMaxTokens)
	wkl.PeakRate = routerCostRate
	wkl.Rate = ConstantRate(routerCostRate)
	flt := siz.fleetConfig()
	flt.Engine.TokenTime = routerCostTokenTime
	through := Variant{Policy: throughRouter, Fleet: flt, Workloads: []Workload{wkl}, Length: siz.Length}
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
			{Measure: "p99 of first token, through the router - direct", Bound: 0.001, Unit: " s", Value: firstTokenOverhead(99)},
			{Measure: "median of first token, through the router - direct", ReportOnly: true, Value: firstTokenOverhead(50)},
			{Measure: "CPU seconds per request of router, agent and holder", Bound: 50e-6, Unit: " s", Value: usageOverhead(cpuMicrosMeasure, "Done", 1e-6)},
			{Measure: "allocations per token of router, agent and holder", ReportOnly: true, Value: usageOverhead(allocationsMeasure, "TokensDelivered", 1)},
		},
		Variants: []Variant{direct, through},
	}
}

const (
	// routerCostRate (requests per second) and routerCostTokenTime keep the engines
	// nearly idle: a running batch emits a first token only at its next step,
	// which would hide the overhead of the path.
	routerCostRate      = 60
	routerCostTokenTime = 2 * time.Millisecond
	throughRouter       = "ThroughRouter"
	directToEngine      = "DirectToEngine"
)

// firstTokenOverhead returns the seconds that the path through the router adds to
// a percentile of the first token.
func firstTokenOverhead(quantile float64) func(Runs) (float64, bool) {
	return func(rns Runs) (float64, bool) {
		through, ok := rns.Quantile(throughRouter, "FirstToken", string(ShortGeneration), quantile)
		direct, directOK := rns.Quantile(directToEngine, "FirstToken", string(ShortGeneration), quantile)
		return through - direct, ok && directOK
	}
}

// usageOverhead returns what the path through the router adds to a resource count
// of the process, per unit of another count. The process also runs the callers
// and engines; subtracting the direct run removes their share.
func usageOverhead(name, per string, unit float64) func(Runs) (float64, bool) {
	through, direct := countRatio(throughRouter, name, per), countRatio(directToEngine, name, per)
	return func(rns Runs) (float64, bool) {
		high, ok := through(rns)
		low, directOK := direct(rns)
		return (high - low) * unit, ok && directOK
	}
}
