package bwbench

import (
	"context"
	"net/netip"
	"time"

	"bilberrywick/cmd/bwdev"
	"bilberrywick/core/bwadmit"
	"bilberrywick/core/bwmodel"
	"bilberrywick/core/bwretry"
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
			Slots:       siz.Slots,
			TokenTime:   siz.TokenTime,
			FirstToken:  siz.FirstToken,
			CacheBlocks: cacheBlocks,
			LoadLag:     loadLag,
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
func (siz Size) generations(kind Kind, team bwmodel.TeamID, share float64, minTokens, maxTokens int) Stream {
	rate := siz.requestRate(share, minTokens, maxTokens)
	return Stream{
		Kind:      kind,
		Service:   modelService,
		Team:      team,
		Class:     bwmodel.Prompt,
		Rate:      Constant(rate),
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

func engineDeath(siz Size) Experiment {
	streams := []Stream{siz.generations(ShortGeneration, largeTeam, 0.5, draftMin, draftMax)}
	variant := func(policy string, restarting bool, fault, heal engineOrder) Variant {
		flt := siz.fleet()
		flt.NoResume = restarting
		return Variant{
			Policy:  policy,
			Fleet:   flt,
			Streams: streams,
			Length:  siz.Length,
			Restart: restarting,
			Script: func(ctx context.Context, ses *Session) error {
				return failInTurn(ctx, ses, siz.Length, fault, heal)
			},
		}
	}
	kill, revive := (*bwfakeengine.Engine).Die, (*bwfakeengine.Engine).Revive
	slow := func(eng *bwfakeengine.Engine, ctx context.Context) error { return eng.Slow(ctx, slowFactor) }
	restore := func(eng *bwfakeengine.Engine, ctx context.Context) error { return eng.Slow(ctx, 1) }
	freeze, thaw := (*bwfakeengine.Engine).Freeze, (*bwfakeengine.Engine).Thaw
	return Experiment{
		Name: "EngineDeath",
		Goal: "resume p99 150 ms after a closed connection and 1 s after silence, 5 times better than restarting; under 2% of tokens computed again at one death a minute",
		Variants: []Variant{
			variant(defaultPolicy+".Close", false, kill, revive),
			variant(defaultPolicy+".Silence", false, freeze, thaw),
			// A slowed engine is no dead one; its resumes are false alarms.
			variant(defaultPolicy+".Slow", false, slow, restore),
			variant(restart+".Close", true, kill, revive),
			variant(restart+".Silence", true, freeze, thaw),
		},
	}
}

const (
	faultInterval = 2 * time.Second
	faultLength   = 1500 * time.Millisecond
)

// engineOrder is a method of the stand-in engine that injects or ends a fault.
type engineOrder func(*bwfakeengine.Engine, context.Context) error

// failInTurn lets one engine after the other fail and heal while the load runs.
func failInTurn(ctx context.Context, ses *Session, length time.Duration, fault, heal engineOrder) error {
	for turn := 1; time.Duration(turn)*faultInterval+faultLength < length; turn++ {
		eng := ses.Fleet.Engines[turn%len(ses.Fleet.Engines)]
		at := time.Duration(turn) * faultInterval
		if err := ses.Wait(ctx, at); err != nil {
			return err
		}
		if err := fault(eng.Fake, ctx); err != nil {
			return err
		}
		ses.Rec.Add("EngineFaults", 1)
		if err := ses.Wait(ctx, at+faultLength); err != nil {
			return err
		}
		if err := heal(eng.Fake, ctx); err != nil {
			return err
		}
	}
	return nil
}

// Shares of the engines' capacity at the crest: three times in all.
const (
	crestPrompt     = 1.2
	crestDeferrable = 1.8
	calmPrompt      = 0.3
	calmDeferrable  = 0.2
	crestRamp       = 2 * time.Second
	crestDeadline   = 2 * time.Second
	crestQueue      = 400
)

func crest(siz Size) Experiment {
	begin, end := siz.Length/4, siz.Length*3/4
	step := func(class bwmodel.WorkClass, low, high float64) Stream {
		stm := siz.generations(ShortGeneration, largeTeam, high, shortMin, shortMax)
		stm.Class = class
		stm.Rate = Step(siz.requestRate(low, shortMin, shortMax), stm.PeakRate, begin, crestRamp, end)
		stm.Deadline = crestDeadline
		return stm
	}
	streams := []Stream{
		step(bwmodel.Prompt, calmPrompt, crestPrompt),
		step(bwmodel.Deferrable, calmDeferrable, crestDeferrable),
	}
	variant := func(policy string, route bwroute.Policy, order bwadmit.Policy) Variant {
		flt := siz.fleet()
		flt.Route, flt.Order = route, order
		flt.Deadline, flt.QueueLimit = crestDeadline, crestQueue
		return Variant{Policy: policy, Fleet: flt, Streams: streams, Length: siz.Length}
	}
	return Experiment{
		Name: "Crest",
		Goal: "prompt work answered in time is at least 95% of what capacity allows; no prompt request is refused while deferrable work starts",
		Variants: []Variant{
			variant(defaultPolicy, bwroute.LeastCost(), bwadmit.FairShares()),
			variant(firstCome+"."+leastConnections, bwroute.LeastConnections(), bwadmit.FirstCome()),
			variant(firstCome+"."+roundRobin, bwroute.RoundRobin(), bwadmit.FirstCome()),
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
	short.Rate = Constant(short.PeakRate)
	long := siz.generations(LongGeneration, largeTeam, 1, longMin, longMax)
	long.PeakRate = rate * longShare
	long.Rate = Constant(long.PeakRate)
	long.Class = bwmodel.Deferrable
	variant := func(policy string, route bwroute.Policy, order bwadmit.Policy, streams ...Stream) Variant {
		flt := siz.fleet()
		flt.Route, flt.Order = route, order
		return Variant{Policy: policy, Fleet: flt, Streams: streams, Length: siz.Length}
	}
	return Experiment{
		Name: "LongBesideShort",
		Goal: "p99 of the first token of short work beside long is at most 1.3 times that of short work alone",
		Variants: []Variant{
			variant(defaultPolicy+".ShortAlone", bwroute.LeastCost(), bwadmit.FairShares(), short),
			variant(defaultPolicy, bwroute.LeastCost(), bwadmit.FairShares(), short, long),
			variant(firstCome+"."+leastConnections, bwroute.LeastConnections(), bwadmit.FirstCome(), short, long),
			variant(firstCome+"."+roundRobin, bwroute.RoundRobin(), bwadmit.FirstCome(), short, long),
		},
	}
}

const (
	slowFactor   = 10
	slowBegin    = 3 * time.Second
	lookupLoad   = 0.15
	lookupMinGap = time.Millisecond
)

func slowUpstream(siz Size) Experiment {
	perSecond := lookupLoad * float64(siz.Apps*siz.Slots*appSlotFactor) / siz.LookupTime.Seconds()
	perSecond = min(perSecond, float64(time.Second/lookupMinGap)/4)
	lookups := Stream{
		Kind: Lookup, Service: plainService, Team: largeTeam, Class: bwmodel.Prompt,
		Rate: Constant(perSecond), PeakRate: perSecond,
	}
	variant := func(policy string, slowed int, route bwroute.Policy, hedge func(bwretry.Latencies) (time.Duration, bool)) Variant {
		flt := siz.fleet()
		flt.Engines = 0
		flt.Route, flt.Hedge = route, hedge
		return Variant{
			Policy: policy, Fleet: flt, Streams: []Stream{lookups}, Length: siz.Length,
			Script: func(ctx context.Context, ses *Session) error { return slowApps(ctx, ses, slowed) },
		}
	}
	return Experiment{
		Name: "SlowUpstream",
		Goal: "p99 of lookups with one of three upstreams slowed 10 times is at most 1.5 times that with none, with at most 5% extra requests",
		Variants: []Variant{
			variant(defaultPolicy+".NoneSlow", 0, bwroute.LeastCost(), nil),
			variant(defaultPolicy+".OneSlow", 1, bwroute.LeastCost(), nil),
			variant(defaultPolicy+".TwoSlow", 2, bwroute.LeastCost(), nil),
			variant(leastConnections+".OneSlow", 1, bwroute.LeastConnections(), bwretry.Never),
			variant(roundRobin+".OneSlow", 1, bwroute.RoundRobin(), bwretry.Never),
		},
	}
}

func slowApps(ctx context.Context, ses *Session, count int) error {
	if err := ses.Wait(ctx, slowBegin); err != nil {
		return err
	}
	for _, app := range ses.Fleet.Apps[:count] {
		if err := app.Fake.SetFaults(ctx, bwfakeapp.Faults{SlowFactor: slowFactor}); err != nil {
			return err
		}
	}
	return nil
}

func teamBurst(siz Size) Experiment {
	const smallDemand, largeDemand = 0.45, 3.0
	small := siz.generations(ShortGeneration, smallTeam, smallDemand, shortMin, shortMax)
	small.Labeled = true
	large := siz.generations(ShortGeneration, largeTeam, largeDemand, shortMin, shortMax)
	large.Labeled = true
	variant := func(policy string, order bwadmit.Policy) Variant {
		flt := siz.fleet()
		flt.Order = order
		flt.Deadline, flt.QueueLimit = crestDeadline, crestQueue
		return Variant{Policy: policy, Fleet: flt, Streams: []Stream{small, large}, Length: siz.Length}
	}
	return Experiment{
		Name: "TeamBurst",
		Goal: "a small team gets at least 90% of its fair share while a large one floods",
		Variants: []Variant{
			variant(defaultPolicy, bwadmit.FairShares()),
			variant(firstCome, bwadmit.FirstCome()),
		},
	}
}

func zoneLoss(siz Size) Experiment {
	streams := []Stream{siz.generations(ShortGeneration, largeTeam, 0.4, draftMin, draftMax)}
	variant := func(policy string, restarting bool) Variant {
		flt := siz.fleet()
		flt.NoResume = restarting
		return Variant{
			Policy: policy, Fleet: flt, Streams: streams, Length: siz.Length, Restart: restarting,
			Script: func(ctx context.Context, ses *Session) error {
				if err := ses.Wait(ctx, siz.Length/2); err != nil {
					return err
				}
				return ses.Fleet.LoseZone(ctx, 1)
			},
		}
	}
	return Experiment{
		Name:     "ZoneLoss",
		Goal:     "every answer arrives whole and output resumes within 3 s when an availability zone with a router and a third of the engines is lost",
		Variants: []Variant{variant(defaultPolicy, false), variant(restart, true)},
	}
}

// Prompts of the experiment on cached prefixes: long beginnings that many share.
const (
	sharedBeginnings = 24
	promptTokenTime  = 200 * time.Microsecond
)

func sharedPrefix(siz Size) Experiment {
	stm := siz.generations(ShortGeneration, largeTeam, 0.4, shortMin, shortMax)
	stm.Beginnings = sharedBeginnings
	variant := func(policy string, route bwroute.Policy) Variant {
		flt := siz.fleet()
		flt.Route = route
		flt.Engine.PromptTokenTime = promptTokenTime
		return Variant{Policy: policy, Fleet: flt, Streams: []Stream{stm}, Length: siz.Length}
	}
	return Experiment{
		Name: "SharedPrefix",
		Goal: "prompts that begin alike go to engines that have computed the beginning",
		Variants: []Variant{
			variant(defaultPolicy, bwroute.LeastCost()),
			variant(leastConnections, bwroute.LeastConnections()),
			variant(roundRobin, bwroute.RoundRobin()),
		},
	}
}

func routerCost(siz Size) Experiment {
	stm := siz.generations(ShortGeneration, largeTeam, 0.3, shortMin, shortMax)
	through := Variant{Policy: "ThroughRouter", Fleet: siz.fleet(), Streams: []Stream{stm}, Length: siz.Length}
	direct := through
	direct.Policy = "DirectToEngine"
	direct.Direct = func(flt *bwdev.Fleet) []netip.AddrPort {
		var addrs []netip.AddrPort
		for _, eng := range flt.Engines {
			addrs = append(addrs, eng.Fake.Address())
		}
		return addrs
	}
	return Experiment{
		Name:     "RouterCost",
		Goal:     "the router, agent and holder add under 1 ms at p99 to the first token",
		Variants: []Variant{direct, through},
	}
}
