package bwbench

import (
	"context"
	"time"

	"bilberrywick/core/bwmodel"
	"bilberrywick/core/bwretry"
	"bilberrywick/core/bwroute"
	"bilberrywick/standin/bwfakeapp"
)

const (
	slowFactor   = 10
	slowStart    = 3 * time.Second
	lookupLoad   = 0.15
	lookupMinGap = time.Millisecond
)

func slowUpstream(siz Size) Experiment {
	perSecond := lookupLoad * float64(siz.Apps*siz.Slots*appSlotFactor) / siz.LookupTime.Seconds()
	perSecond = min(perSecond, float64(time.Second/lookupMinGap)/4)
	lookups := Workload{
		Kind: Lookup, Service: lookupService, Team: largeTeam, Class: bwmodel.PromptClass,
		Rate: ConstantRate(perSecond), PeakRate: perSecond,
	}
	variant := func(policy string, slowed int, route bwroute.Policy, hedge func(bwretry.Latencies) (time.Duration, bool)) Variant {
		flt := siz.fleetConfig()
		flt.Engines = 0
		flt.RoutePolicy, flt.HedgePolicy = route, hedge
		return Variant{
			Policy: policy, Fleet: flt, Workloads: []Workload{lookups}, Length: siz.Length,
			Script: func(ctx context.Context, ses *Session) error { return slowApps(ctx, ses, slowed) },
		}
	}
	return Experiment{
		Name: "SlowUpstream",
		Goal: "p99 of lookups with one of three upstreams slowed 10 times is at most 1.5 times that with none, with at most 5% extra requests",
		Goals: []Goal{
			{Measure: "p99 of lookups, one of three slowed / none", Bound: 1.5, Value: p99Ratio(defaultPolicy+".OneSlow", defaultPolicy+".NoneSlow", "Elapsed", string(Lookup))},
			{Measure: "extra requests with one slowed", Bound: 0.05, Value: extraLookupShare(defaultPolicy + ".OneSlow")},
			{Measure: "p99 of lookups, two of three slowed / none", ReportOnly: true, Value: p99Ratio(defaultPolicy+".TwoSlow", defaultPolicy+".NoneSlow", "Elapsed", string(Lookup))},
			{Measure: "p99 of lookups, one slowed, round robin / none slowed", ReportOnly: true, Value: p99Ratio(roundRobin+".OneSlow", defaultPolicy+".NoneSlow", "Elapsed", string(Lookup))},
		},
		Variants: []Variant{
			variant(defaultPolicy+".NoneSlow", 0, bwroute.LeastCost(), nil),
			variant(defaultPolicy+".OneSlow", 1, bwroute.LeastCost(), nil),
			variant(defaultPolicy+".TwoSlow", 2, bwroute.LeastCost(), nil),
			variant(leastConnections+".OneSlow", 1, bwroute.LeastConnections(), bwretry.NeverHedge),
			variant(roundRobin+".OneSlow", 1, bwroute.RoundRobin(), bwretry.NeverHedge),
		},
	}
}

func slowApps(ctx context.Context, ses *Session, count int) error {
	if err := ses.WaitUntil(ctx, slowStart); err != nil {
		return err
	}
	for _, app := range ses.Fleet.Apps[:count] {
		if err := app.Fake.SetFaults(ctx, bwfakeapp.Faults{SlowFactor: slowFactor}); err != nil {
			return err
		}
	}
	return nil
}

// extraLookupShare returns the lookups that the apps received beyond those that
// callers sent, divided by those sent.
func extraLookupShare(policy string) func(Runs) (float64, bool) {
	ratio := countRatio(policy, "App.Lookups", "Sent."+string(Lookup))
	return func(rns Runs) (float64, bool) {
		val, ok := ratio(rns)
		return val - 1, ok
	}
}

// slowEngine compares policies when engines slow down and their load reports lag
// by loadReportLag.
func slowEngine(siz Size) Experiment {
	const load = 0.5
	wkl := siz.generationWorkload(ShortGeneration, largeTeam, load, shortMinTokens, shortMaxTokens)
	variant := func(policy string, slowed int, route bwroute.Policy) Variant {
		flt := siz.fleetConfig()
		flt.Apps = 0
		flt.RoutePolicy = route
		return Variant{
			Policy: policy, Fleet: flt, Workloads: []Workload{wkl}, Length: siz.Length,
			Script: func(ctx context.Context, ses *Session) error { return slowEngines(ctx, ses, slowed) },
		}
	}
	ratio := func(policy, measure string) func(Runs) (float64, bool) {
		return p99Ratio(policy, defaultPolicy+".NoneSlow", measure, string(ShortGeneration))
	}
	return Experiment{
		Name: "SlowEngine",
		Goal: "p99 of the first token with one engine slowed 10 times is at most 1.5 times that with none, the bound that section 1.3 sets for lookups",
		Goals: []Goal{
			{Measure: "p99 of first token, one engine slowed / none", Bound: 1.5, Value: ratio(defaultPolicy+".OneSlow", "FirstToken")},
			{Measure: "p99 of first token, two engines slowed / none", ReportOnly: true, Value: ratio(defaultPolicy+".TwoSlow", "FirstToken")},
			{Measure: "p99 of the longest gap, one engine slowed / none", ReportOnly: true, Value: ratio(defaultPolicy+".OneSlow", "LongestGap")},
			{Measure: "p99 of the longest gap, two engines slowed / none", ReportOnly: true, Value: ratio(defaultPolicy+".TwoSlow", "LongestGap")},
			{Measure: "p99 of first token, one slowed, least connections / none slowed", ReportOnly: true, Value: ratio(leastConnections+".OneSlow", "FirstToken")},
		},
		Variants: []Variant{
			variant(defaultPolicy+".NoneSlow", 0, bwroute.LeastCost()),
			variant(defaultPolicy+".OneSlow", 1, bwroute.LeastCost()),
			variant(defaultPolicy+".TwoSlow", 2, bwroute.LeastCost()),
			variant(leastConnections+".OneSlow", 1, bwroute.LeastConnections()),
			variant(roundRobin+".OneSlow", 1, bwroute.RoundRobin()),
		},
	}
}

func slowEngines(ctx context.Context, ses *Session, count int) error {
	if err := ses.WaitUntil(ctx, slowStart); err != nil {
		return err
	}
	for _, eng := range ses.Fleet.Engines[:count] {
		if err := eng.Fake.SetSlowdown(ctx, slowFactor); err != nil {
			return err
		}
	}
	return nil
}
