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

// Names of the services and teams of the experiments.
const (
	modelService bwmodel.ServiceID = "pisar-model"
	plainService bwmodel.ServiceID = "objednavky-pult"
	largeTeam    bwmodel.TeamID    = "velky-tim"
	smallTeam    bwmodel.TeamID    = "maly-tim"
)

// Names of the policies that are compared.
const (
	defaultPolicy    = "Default"
	roundRobin       = "RoundRobin"
	leastConnections = "LeastConnections"
	firstCome        = "FirstCome"
	restart          = "Restart"
)

// fleet returns the fleet that all experiments start from.
func (siz Size) fleet() bwdev.Config {
	return bwdev.Config{
		Routers:      siz.Routers,
		ModelService: modelService,
		PlainService: plainService,
		Engines:      siz.Engines,
		Engine: bwfakeengine.Config{
			Slots:          siz.Slots,
			TokenTime:      siz.TokenTime,
			FirstTokenTime: siz.FirstToken,
			CacheBlocks:    cacheBlocks,
			LoadReportLag:  loadLag,
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
	// loadLag is how late engines report their load.
	loadLag = 5 * time.Second
)

// generations returns a stream whose load is a share of the engines' capacity.
func (siz Size) generations(kind RequestKind, team bwmodel.TeamID, share float64, minTokens, maxTokens int) Workload {
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
// slots, with the time to the first token.
func (siz Size) requestRate(share float64, minTokens, maxTokens int) float64 {
	tokens := float64(minTokens+maxTokens) / 2
	perRequest := siz.FirstToken.Seconds() + tokens*siz.TokenTime.Seconds()
	return share * float64(siz.Engines*siz.Slots) / perRequest
}

// Sizes of generations in tokens.
const (
	shortMin = 20
	shortMax = 40
	draftMin = 60
	draftMax = 120
	longMin  = 1000
	longMax  = 1500
)

// Shares of the engines' capacity at the crest: three times in all.
const (
	crestPrompt     = 1.2
	crestDeferrable = 1.8
	calmPrompt      = 0.3
	calmDeferrable  = 0.2
	crestRamp       = 2 * time.Second
	crestDeadline   = 2 * time.Second
	// queueDeadline leaves time for the first token after the wait in the queue.
	queueDeadline = 3 * crestDeadline / 4
	crestQueue    = 400
)

func crest(siz Size) Experiment {
	begin, end := siz.Length/4, siz.Length*3/4
	step := func(class bwmodel.WorkClass, low, high float64) Workload {
		stm := siz.generations(ShortGeneration, largeTeam, high, shortMin, shortMax)
		stm.Class = class
		stm.Rate = StepRate(siz.requestRate(low, shortMin, shortMax), stm.PeakRate, begin, crestRamp, end)
		stm.Deadline = crestDeadline
		return stm
	}
	streams := []Workload{
		step(bwmodel.PromptClass, calmPrompt, crestPrompt),
		step(bwmodel.DeferrableClass, calmDeferrable, crestDeferrable),
	}
	variant := func(policy string, route bwroute.Policy, order bwadmit.Policy) Variant {
		flt := siz.fleet()
		flt.RoutePolicy, flt.AdmitPolicy = route, order
		flt.Deadline, flt.QueueLimit = queueDeadline, crestQueue
		return Variant{
			Policy: policy, Fleet: flt, Workloads: streams, Length: siz.Length,
			Window: Window{Begin: begin + crestRamp, End: end}, StartDelay: siz.FirstToken,
		}
	}
	return Experiment{
		Name: "Crest",
		Goals: []Goal{
			{Measure: "prompt work in time / what capacity allows", Bound: 0.95, AtLeast: true, Value: shareOfCapacity(defaultPolicy, "Window.InTime", string(ShortGeneration), 1)},
			{Measure: "prompt requests refused while deferrable work starts", Bound: 0, Value: countOf(defaultPolicy, promptRefusedBeside)},
			{Measure: "prompt work in time / what capacity allows, first come and least connections", ReportOnly: true, Value: shareOfCapacity(firstCome+"."+leastConnections, "Window.InTime", string(ShortGeneration), 1)},
		},
		Goal: "prompt work answered in time is at least 95% of what capacity allows; no prompt request is refused while deferrable work starts",
		Variants: []Variant{
			variant(defaultPolicy, bwroute.LeastCost(), bwadmit.FairShares()),
			variant(firstCome+"."+leastConnections, bwroute.LeastConnections(), bwadmit.FirstComeFirstServed()),
			variant(firstCome+"."+roundRobin, bwroute.RoundRobin(), bwadmit.FirstComeFirstServed()),
		},
	}
}

// longShare is the part of requests that run for minutes, scaled down.
const longShare = 0.03

func longBesideShort(siz Size) Experiment {
	const load = 0.75
	meanShort, meanLong := float64(shortMin+shortMax)/2, float64(longMin+longMax)/2
	perRequest := siz.FirstToken.Seconds() + siz.TokenTime.Seconds()*((1-longShare)*meanShort+longShare*meanLong)
	rate := load * float64(siz.Engines*siz.Slots) / perRequest
	short := siz.generations(ShortGeneration, smallTeam, 1, shortMin, shortMax)
	short.PeakRate = rate * (1 - longShare)
	short.Rate = ConstantRate(short.PeakRate)
	long := siz.generations(LongGeneration, largeTeam, 1, longMin, longMax)
	long.PeakRate = rate * longShare
	long.Rate = ConstantRate(long.PeakRate)
	long.Class = bwmodel.DeferrableClass
	variant := func(policy string, route bwroute.Policy, order bwadmit.Policy, streams ...Workload) Variant {
		flt := siz.fleet()
		flt.RoutePolicy, flt.AdmitPolicy = route, order
		return Variant{Policy: policy, Fleet: flt, Workloads: streams, Length: siz.Length}
	}
	return Experiment{
		Name: "LongBesideShort",
		Goals: []Goal{
			{Measure: "p99 of first token of short work, beside long / alone", Bound: 1.3, Value: p99Ratio(defaultPolicy, defaultPolicy+".ShortAlone", "FirstToken", string(ShortGeneration))},
			{Measure: "the same, first come and least connections beside long / alone", ReportOnly: true, Value: p99Ratio(firstCome+"."+leastConnections, defaultPolicy+".ShortAlone", "FirstToken", string(ShortGeneration))},
		},
		Goal: "p99 of the first token of short work beside long is at most 1.3 times that of short work alone",
		Variants: []Variant{
			variant(defaultPolicy+".ShortAlone", bwroute.LeastCost(), bwadmit.FairShares(), short),
			variant(defaultPolicy, bwroute.LeastCost(), bwadmit.FairShares(), short, long),
			variant(firstCome+"."+leastConnections, bwroute.LeastConnections(), bwadmit.FirstComeFirstServed(), short, long),
			variant(firstCome+"."+roundRobin, bwroute.RoundRobin(), bwadmit.FirstComeFirstServed(), short, long),
		},
	}
}

// burstSettle is the time in which a flood fills the queues.
const burstSettle = 2 * time.Second

func teamBurst(siz Size) Experiment {
	const smallDemand, largeDemand = 0.45, 3.0
	small := siz.generations(ShortGeneration, smallTeam, smallDemand, shortMin, shortMax)
	small.LabelTeam = true
	large := siz.generations(ShortGeneration, largeTeam, largeDemand, shortMin, shortMax)
	large.LabelTeam = true
	variant := func(policy string, order bwadmit.Policy) Variant {
		flt := siz.fleet()
		flt.AdmitPolicy = order
		flt.Deadline, flt.QueueLimit = queueDeadline, crestQueue
		return Variant{
			Policy: policy, Fleet: flt, Workloads: []Workload{small, large}, Length: siz.Length,
			Window: Window{Begin: burstSettle, End: siz.Length},
		}
	}
	smallLabel := string(ShortGeneration) + "." + string(smallTeam)
	return Experiment{
		Goals: []Goal{
			{Measure: "work done for the small team / its fair share", Bound: 0.9, AtLeast: true, Value: shareOfCapacity(defaultPolicy, "Window.Done", smallLabel, 0.5)},
			{Measure: "the same, first come first served", ReportOnly: true, Value: shareOfCapacity(firstCome, "Window.Done", smallLabel, 0.5)},
		},
		Name: "TeamBurst",
		Goal: "a small team gets at least 90% of its fair share while a large one floods",
		Variants: []Variant{
			variant(defaultPolicy, bwadmit.FairShares()),
			variant(firstCome, bwadmit.FirstComeFirstServed()),
		},
	}
}
