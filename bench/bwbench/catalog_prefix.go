package bwbench

import (
	"fmt"
	"strings"
	"time"

	"bilberrywick/core/bwroute"
)

// Prompts of the SharedPrefix experiment: the number of shared prefixes, and the
// prefill time of one prompt token.
const (
	sharedPrefixCount = 24
	promptTokenTime   = 200 * time.Microsecond
)

func sharedPrefix(siz Size) Experiment {
	wkl := siz.generationWorkload(ShortGeneration, largeTeam, 0.4, shortMinTokens, shortMaxTokens)
	wkl.SharedPrefixes = sharedPrefixCount
	variant := func(policy string, route bwroute.Policy) Variant {
		flt := siz.fleetConfig()
		flt.RoutePolicy = route
		flt.Engine.PromptTokenTime = promptTokenTime
		return Variant{Policy: policy, Fleet: flt, Workloads: []Workload{wkl}, Length: siz.Length}
	}
	return Experiment{
		Name: "SharedPrefix",
		Goal: "prompts that begin alike go to engines that have computed the beginning",
		Goals: []Goal{
			{Measure: "prompt tokens computed, default / least connections", Bound: 0.75, Value: computedRatio(defaultPolicy, leastConnections)},
			{Measure: "prompt tokens computed, default / round robin", Bound: 0.75, Value: computedRatio(defaultPolicy, roundRobin)},
		},
		Variants: []Variant{
			variant(defaultPolicy, bwroute.LeastCost()),
			variant(leastConnections, bwroute.LeastConnections()),
			variant(roundRobin, bwroute.RoundRobin()),
		},
	}
}

// computedRatio divides the prompt tokens that engines computed under one policy
// by those under a baseline.
func computedRatio(policy, baseline string) func(Runs) (float64, bool) {
	const measure = "Engine.PromptTokensComputed"
	return func(rns Runs) (float64, bool) {
		num, ok := rns.Count(policy, measure)
		den, baseOK := rns.Count(baseline, measure)
		return num / den, ok && baseOK && den > 0
	}
}

// sharedPrefixText returns the prefix of a prompt, which other prompts share.
func (wkl Workload) sharedPrefixText(ordinal int) string {
	if wkl.SharedPrefixes == 0 {
		return ""
	}
	const repeats = 40
	// Fibonacci hashing makes the order of the prefixes independent of the order
	// in which a policy selects engines.
	index := (uint64(ordinal) * 0x9e3779b97f4a7c15 >> 32) % uint64(wkl.SharedPrefixes)
	return strings.Repeat(fmt.Sprintf("Pravidlá dielne číslo %d. ", index), repeats)
}
