package bwbench

import (
	"context"
	"time"

	"bilberrywick/standin/bwfakeengine"
)

func engineDeath(siz Size) Experiment {
	workloads := []Workload{siz.generationWorkload(ShortGeneration, largeTeam, 0.5, mediumMinTokens, mediumMaxTokens)}
	variant := func(policy string, restarting bool, fault, restore engineFault) Variant {
		flt := siz.fleetConfig()
		flt.NoResume = restarting
		return Variant{
			Policy:        policy,
			Fleet:         flt,
			Workloads:     workloads,
			Length:        siz.Length,
			RestartFailed: restarting,
			Script: func(ctx context.Context, ses *Session) error {
				return faultEnginesInTurn(ctx, ses, siz.Length, fault, restore)
			},
		}
	}
	kill, restart := (*bwfakeengine.Engine).Kill, (*bwfakeengine.Engine).Restart
	slow := func(eng *bwfakeengine.Engine, ctx context.Context) error { return eng.SetSlowdown(ctx, slowFactor) }
	restore := func(eng *bwfakeengine.Engine, ctx context.Context) error { return eng.SetSlowdown(ctx, 1) }
	freeze, thaw := (*bwfakeengine.Engine).Freeze, (*bwfakeengine.Engine).Thaw
	return Experiment{
		Name:  "EngineDeath",
		Goal:  "resume p99 150 ms after a closed connection and 1 s after silence, 5 times better than restarting; under 2% of tokens computed again at one death a minute",
		Goals: engineDeathGoals(siz),
		Variants: []Variant{
			variant(defaultPolicy+".Close", false, kill, restart),
			variant(defaultPolicy+".Silence", false, freeze, thaw),
			// A slowed engine has not failed, so its resumes are false positives.
			variant(defaultPolicy+".Slow", false, slow, restore),
			variant(restartPolicy+".Close", true, kill, restart),
			variant(restartPolicy+".Silence", true, freeze, thaw),
		},
	}
}

const (
	faultInterval = 2 * time.Second
	faultLength   = 1500 * time.Millisecond
)

// engineFault is a method of the stand-in engine that injects or ends a fault.
type engineFault func(*bwfakeengine.Engine, context.Context) error

// faultEnginesInTurn injects and ends a fault in one engine after the other while
// the load runs.
func faultEnginesInTurn(ctx context.Context, ses *Session, length time.Duration, fault, restore engineFault) error {
	for round := 1; time.Duration(round)*faultInterval+faultLength < length; round++ {
		eng := ses.Fleet.Engines[round%len(ses.Fleet.Engines)]
		at := time.Duration(round) * faultInterval
		if err := ses.WaitUntil(ctx, at); err != nil {
			return err
		}
		if err := fault(eng.Fake, ctx); err != nil {
			return err
		}
		ses.Recorder.AddCount("EngineFaults", 1)
		if err := ses.WaitUntil(ctx, at+faultLength); err != nil {
			return err
		}
		if err := restore(eng.Fake, ctx); err != nil {
			return err
		}
	}
	return nil
}

// engineDeathGoals returns the goals of section 1.3 of the design page. The
// recomputed tokens are scaled from the failures of the run to one engine failure
// a minute for 20 engines.
func engineDeathGoals(siz Size) []Goal {
	closed, frozen := defaultPolicy+".Close", defaultPolicy+".Silence"
	return []Goal{
		{Measure: "resume after a closed connection, p99", Bound: 0.150, Unit: " s", Value: latencyOf(closed, "Resume", 99)},
		{Measure: "resume after a closed connection, median", Bound: 0.075, Unit: " s", Value: latencyOf(closed, "Resume", 50)},
		{Measure: "resume after a closed connection, worst", Bound: 0.750, Unit: " s", Value: latencyOf(closed, "Resume", 100)},
		{Measure: "resume after silence, p99", Bound: 1, Unit: " s", Value: latencyOf(frozen, "Resume", 99)},
		{Measure: "resume after silence, worst", Bound: 3, Unit: " s", Value: latencyOf(frozen, "Resume", 100)},
		{Measure: "restart / resume after a closed connection, p99", Bound: 5, AtLeast: true, Value: restartRatio(restartPolicy+".Close", closed)},
		{Measure: "restart / resume after silence, p99", Bound: 5, AtLeast: true, Value: restartRatio(restartPolicy+".Silence", frozen)},
		{Measure: "tokens computed again / delivered, one death a minute for 20 engines", Bound: 0.02, Value: recomputedShare(closed, siz)},
	}
}

func restartRatio(baseline, policy string) func(Runs) (float64, bool) {
	restarted := latencyOf(baseline, "Recovery."+string(ShortGeneration), 99)
	resumed := latencyOf(policy, "Resume", 99)
	return func(rns Runs) (float64, bool) {
		num, ok := restarted(rns)
		den, denOK := resumed(rns)
		return num / den, ok && denOK
	}
}

func recomputedShare(policy string, siz Size) func(Runs) (float64, bool) {
	const failuresPerEngineSecond = 1.0 / (20 * 60)
	share := countRatio(policy, "TokensRecomputed", "TokensDelivered")
	return func(rns Runs) (float64, bool) {
		val, ok := share(rns)
		failures, _ := rns.Count(policy, "EngineFaults")
		measuredRate := failures / (float64(siz.Engines) * siz.Length.Seconds())
		return val * failuresPerEngineSecond / measuredRate, ok && failures > 0
	}
}

func zoneLoss(siz Size) Experiment {
	workloads := []Workload{siz.generationWorkload(ShortGeneration, largeTeam, 0.4, mediumMinTokens, mediumMaxTokens)}
	variant := func(policy string, restarting bool) Variant {
		flt := siz.fleetConfig()
		flt.NoResume = restarting
		return Variant{
			Policy: policy, Fleet: flt, Workloads: workloads, Length: siz.Length, RestartFailed: restarting,
			Script: func(ctx context.Context, ses *Session) error {
				if err := ses.WaitUntil(ctx, siz.Length/2); err != nil {
					return err
				}
				return ses.Fleet.FailZone(ctx, 1)
			},
		}
	}
	return Experiment{
		Name: "ZoneLoss",
		Goal: "every answer arrives whole and output resumes within 3 s when an availability zone with a router and a third of the engines is lost",
		Goals: []Goal{
			{Measure: "resume after the loss of a zone, worst", Bound: 3, Unit: " s", Value: latencyOf(defaultPolicy, "Resume", 100)},
			{Measure: "generations without an answer", Bound: 0, Value: countOf(defaultPolicy, "Unanswered."+string(ShortGeneration))},
		},
		Variants: []Variant{variant(defaultPolicy, false), variant(restartPolicy, true)},
	}
}

func countOf(policy, name string) func(Runs) (float64, bool) {
	return func(rns Runs) (float64, bool) { return rns.Count(policy, name) }
}
