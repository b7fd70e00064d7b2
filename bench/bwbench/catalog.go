package bwbench

import (
	"time"

	"bilberrywick/cmd/bwdev"
	"bilberrywick/core/bwadmit"
	"bilberrywick/core/bwmodel"
	"bilberrywick/core/bwroute"
	"bilberrywick/standin/bwfakeapp"
	"bilberrywick/standin/bwfakeengine"
)

// Services and teams of the experiments.
const (
	modelService  bwmodel.ServiceID = "pisar-model"
	lookupService bwmodel.ServiceID = "objednavky-pult"
	largeTeam     bwmodel.TeamID    = "velky-tim"
	smallTeam     bwmodel.TeamID    = "maly-tim"
)

// Names of the compared policies in the results.
const (
	defaultPolicy        = "Default"
	roundRobin           = "RoundRobin"
	leastConnections     = "LeastConnections"
	firstComeFirstServed = "FirstCome"
	restartPolicy        = "Restart"
)

// fleetConfig returns the fleet configuration that all experiments start from.
func (siz Size) fleetConfig() bwdev.Config {
	return bwdev.Config{
		Routers:      siz.Routers,
		ModelService: modelService,
		PlainService: lookupService,
		Engines:      siz.Engines,
		Engine: bwfakeengine.Config{
			Slots:          siz.Slots,
			TokenTime:      siz.TokenTime,
			FirstTokenTime: siz.FirstToken,
			CacheBlocks:    cacheBlocks,
			LoadReportLag:  loadReportLag,
		},
		Apps:     siz.Apps,
		App:      bwfakeapp.Config{Latency: siz.LookupTime},
		AppSlots: siz.Slots * appSlotFactor,
		Teams: []bwdev.Team{
			{Name: largeTeam, Key: "key-of-the-large-team", Weight: 1},
			{Name: smallTeam, Key: "key-of-the-small-team", Weight: 1},
		},
	}
}

const (
	cacheBlocks   = 4096
	appSlotFactor = 4
	// loadReportLag is the age of the load values in the engines' reports.
	loadReportLag = 5 * time.Second
)

// generationWorkload returns a workload of generations that uses a share of the
// engines' capacity.
func (siz Size) generationWorkload(kind RequestKind, team bwmodel.TeamID, share float64, minTokens, maxTokens int) Workload {
	rate := siz.requestRate(share, minTokens, maxTokens)
	return Workload{
		Kind:      kind,
		Service:   modelService,
		Team:      team,
		Class:     bwmodel.PromptClass,
		Rate:      ConstantRate(rate),
		PeakRate:  rate,
		MinTokens: minTokens,
		MaxTokens: maxTokens,
	}
}

// requestRate returns the requests per second that use a share of the engines'
// slots, counting the time to the first token.
func (siz Size) requestRate(share float64, minTokens, maxTokens int) float64 {
	tokens := float64(minTokens+maxTokens) / 2
	perRequest := siz.FirstToken.Seconds() + tokens*siz.TokenTime.Seconds()
	return share * float64(siz.Engines*siz.Slots) / perRequest
}

// Output lengths of generations in tokens.
const (
	shortMinTokens  = 20
	shortMaxTokens  = 40
	mediumMinTokens = 60
	mediumMaxTokens = 120
	longMinTokens   = 1000
	longMaxTokens   = 1500
)

// Parameters of the peak load. The shares of the engines' capacity are those of
// prompt and deferrable work at the peak, 3.0 in total, and outside it.
const (
	peakPrompt         = 1.2
	peakDeferrable     = 1.8
	basePrompt         = 0.3
	baseDeferrable     = 0.2
	peakRamp           = 2 * time.Second
	firstTokenDeadline = 2 * time.Second
	// queueDeadline leaves a quarter of the deadline for the first token after
	// the wait in the queue.
	queueDeadline = 3 * firstTokenDeadline / 4
	queueLimit    = 400
)

func peakLoad(siz Size) Experiment {
	begin, end := siz.Length/4, siz.Length*3/4
	step := func(class bwmodel.WorkClass, low, high float64) Workload {
		wkl := siz.generationWorkload(ShortGeneration, largeTeam, high, shortMinTokens, shortMaxTokens)
		wkl.Class = class
		wkl.Rate = StepRate(siz.requestRate(low, shortMinTokens, shortMaxTokens), wkl.PeakRate, begin, peakRamp, end)
		wkl.Deadline = firstTokenDeadline
		return wkl
	}
	workloads := []Workload{
		step(bwmodel.PromptClass, basePrompt, peakPrompt),
		step(bwmodel.DeferrableClass, baseDeferrable, peakDeferrable),
	}
	variant := func(policy string, route bwroute.Policy, admit bwadmit.Policy) Variant {
		flt := siz.fleetConfig()
		flt.RoutePolicy, flt.AdmitPolicy = route, admit
		flt.Deadline, flt.QueueLimit = queueDeadline, queueLimit
		return Variant{
			Policy: policy, Fleet: flt, Workloads: workloads, Length: siz.Length,
			Window: Window{Begin: begin + peakRamp, End: end}, StartDelay: siz.FirstToken,
		}
	}
	return Experiment{
		Name: "Crest",
		Goals: []Goal{
			{Measure: "prompt work in time / what capacity allows", Bound: 0.95, AtLeast: true, Value: shareOfCapacity(defaultPolicy, "Window.InTime", string(ShortGeneration), 1)},
			{Measure: "prompt requests refused while deferrable work starts", Bound: 0, Value: countOf(defaultPolicy, promptRefusedMeasure)},
			{Measure: "prompt work in time / what capacity allows, first come and least connections", ReportOnly: true, Value: shareOfCapacity(firstComeFirstServed+"."+leastConnections, "Window.InTime", string(ShortGeneration), 1)},
		},
		Goal: "prompt work answered in time is at least 95% of what capacity allows; no prompt request is refused while deferrable work starts",
		Variants: []Variant{
			variant(defaultPolicy, bwroute.LeastCost(), bwadmit.FairShares()),
			variant(firstComeFirstServed+"."+leastConnections, bwroute.LeastConnections(), bwadmit.FirstComeFirstServed()),
			variant(firstComeFirstServed+"."+roundRobin, bwroute.RoundRobin(), bwadmit.FirstComeFirstServed()),
		},
	}
}

// longShare is the share of long generations among the requests. They represent
// generations of several minutes, scaled down.
const longShare = 0.03

func mixedLengths(siz Size) Experiment {
	const load = 0.75
	meanShort, meanLong := float64(shortMinTokens+shortMaxTokens)/2, float64(longMinTokens+longMaxTokens)/2
	perRequest := siz.FirstToken.Seconds() + siz.TokenTime.Seconds()*((1-longShare)*meanShort+longShare*meanLong)
	rate := load * float64(siz.Engines*siz.Slots) / perRequest
	short := siz.generationWorkload(ShortGeneration, smallTeam, 1, shortMinTokens, shortMaxTokens)
	short.PeakRate = rate * (1 - longShare)
	short.Rate = ConstantRate(short.PeakRate)
	long := siz.generationWorkload(LongGeneration, largeTeam, 1, longMinTokens, longMaxTokens)
	long.PeakRate = rate * longShare
	long.Rate = ConstantRate(long.PeakRate)
	long.Class = bwmodel.DeferrableClass
	variant := func(policy string, route bwroute.Policy, admit bwadmit.Policy, workloads ...Workload) Variant {
		flt := siz.fleetConfig()
		flt.RoutePolicy, flt.AdmitPolicy = route, admit
		return Variant{Policy: policy, Fleet: flt, Workloads: workloads, Length: siz.Length}
	}
	return Experiment{
		Name: "LongBesideShort",
		Goals: []Goal{
			{Measure: "p99 of first token of short work, beside long / alone", Bound: 1.3, Value: p99Ratio(defaultPolicy, defaultPolicy+".ShortAlone", "FirstToken", string(ShortGeneration))},
			{Measure: "the same, first come and least connections beside long / alone", ReportOnly: true, Value: p99Ratio(firstComeFirstServed+"."+leastConnections, defaultPolicy+".ShortAlone", "FirstToken", string(ShortGeneration))},
		},
		Goal: "p99 of the first token of short work beside long is at most 1.3 times that of short work alone",
		Variants: []Variant{
			variant(defaultPolicy+".ShortAlone", bwroute.LeastCost(), bwadmit.FairShares(), short),
			variant(defaultPolicy, bwroute.LeastCost(), bwadmit.FairShares(), short, long),
			variant(firstComeFirstServed+"."+leastConnections, bwroute.LeastConnections(), bwadmit.FirstComeFirstServed(), short, long),
			variant(firstComeFirstServed+"."+roundRobin, bwroute.RoundRobin(), bwadmit.FirstComeFirstServed(), short, long),
		},
	}
}

// burstWarmup is the time that the large team's burst needs to fill the queues;
// the window begins after it.
const burstWarmup = 2 * time.Second

func teamBurst(siz Size) Experiment {
	const smallDemand, largeDemand = 0.45, 3.0
	small := siz.generationWorkload(ShortGeneration, smallTeam, smallDemand, shortMinTokens, shortMaxTokens)
	small.LabelTeam = true
	large := siz.generationWorkload(ShortGeneration, largeTeam, largeDemand, shortMinTokens, shortMaxTokens)
	large.LabelTeam = true
	variant := func(policy string, admit bwadmit.Policy) Variant {
		flt := siz.fleetConfig()
		flt.AdmitPolicy = admit
		flt.Deadline, flt.QueueLimit = queueDeadline, queueLimit
		return Variant{
			Policy: policy, Fleet: flt, Workloads: []Workload{small, large}, Length: siz.Length,
			Window: Window{Begin: burstWarmup, End: siz.Length},
		}
	}
	smallLabel := string(ShortGeneration) + "." + string(smallTeam)
	return Experiment{
		Goals: []Goal{
			{Measure: "work done for the small team / its fair share", Bound: 0.9, AtLeast: true, Value: shareOfCapacity(defaultPolicy, "Window.Done", smallLabel, 0.5)},
			{Measure: "the same, first come first served", ReportOnly: true, Value: shareOfCapacity(firstComeFirstServed, "Window.Done", smallLabel, 0.5)},
		},
		Name: "TeamBurst",
		Goal: "a small team gets at least 90% of its fair share while a large one floods",
		Variants: []Variant{
			variant(defaultPolicy, bwadmit.FairShares()),
			variant(firstComeFirstServed, bwadmit.FirstComeFirstServed()),
		},
	}
}
