package bwbench

import (
	"fmt"
	"strings"
	"time"

	"bilberrywick/core/bwroute"
)

// Prompts of the experiment on cached prefixes: long beginnings that many share.
const (
	sharedBeginnings = 24
	promptTokenTime  = 200 * time.Microsecond
)

func sharedPrefix(siz Size) Experiment {
	stm := siz.generations(ShortGeneration, largeTeam, 0.4, shortMin, shortMax)
	stm.SharedPrefixes = sharedBeginnings
	variant := func(policy string, route bwroute.Policy) Variant {
		flt := siz.fleet()
		flt.RoutePolicy = route
		flt.Engine.PromptTokenTime = promptTokenTime
		return Variant{Policy: policy, Fleet: flt, Workloads: []Workload{stm}, Length: siz.Length}
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

// computedRatio compares the prompt tokens that engines computed under two policies.
func computedRatio(policy, baseline string) func(Runs) (float64, bool) {
	const measure = "Engine.PromptTokensComputed"
	return func(rns Runs) (float64, bool) {
		num, ok := rns.Count(policy, measure)
		den, known := rns.Count(baseline, measure)
		return num / den, ok && known && den > 0
	}
}

// beginning returns the long text that a prompt shares with others.
func (stm Workload) beginning(ordinal int) string {
	if stm.SharedPrefixes == 0 {
		return ""
	}
	const repeats = 40
	// Fibonacci hashing, so that the order is unlike that of any policy.
	text := (uint64(ordinal) * 0x9e3779b97f4a7c15 >> 32) % uint64(stm.SharedPrefixes)
	return strings.Repeat(fmt.Sprintf("Pravidlá dielne číslo %d. ", text), repeats)
}
