package bwbench

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"bilberrywick/core/bwmodel"
)

// RequestKind says what a request asks for.
type RequestKind string

// Kinds of request.
const (
	ShortGeneration RequestKind = "ShortGeneration"
	LongGeneration  RequestKind = "LongGeneration"
	Lookup          RequestKind = "Lookup"
	Action          RequestKind = "Action"
)

// Workload is one source of requests in an experiment.
type Workload struct {
	Kind    RequestKind
	Service bwmodel.ServiceID
	Team    bwmodel.TeamID
	Class   bwmodel.WorkClass
	// LabelTeam names the team in the results, to compare teams.
	LabelTeam bool
	// Deadline is the time within which the first token counts as in time; 0 counts none.
	Deadline time.Duration
	// Rate is the number of requests per second at a time since the start.
	Rate func(since time.Duration) float64
	// PeakRate is the highest value that Rate returns.
	PeakRate float64
	// MinTokens and MaxTokens bound the output length, drawn uniformly.
	MinTokens int
	MaxTokens int
	// SharedPrefixes is the number of long texts that prompts begin with; 0 means none.
	SharedPrefixes int
}

// Arrival is one request of a plan.
type Arrival struct {
	// At is the time since the start at which the request is due, whether or
	// not earlier ones have ended, so that a slow system can't slow its load.
	At       time.Duration
	Workload int
	Tokens   int
	Ordinal  int
}

// PlanArrivals draws the arrivals of all streams from a seed: a Poisson process whose
// rate varies, by thinning. The same seed gives the same plan for every policy.
func PlanArrivals(seed uint64, length time.Duration, streams []Workload) []Arrival {
	var plan []Arrival
	for ix, stm := range streams {
		rng := rand.New(rand.NewPCG(seed, uint64(ix)))
		plan = append(plan, draw(rng, length, ix, stm)...)
	}
	slices.SortStableFunc(plan, func(one, two Arrival) int { return cmp.Compare(one.At, two.At) })
	for ix := range plan {
		plan[ix].Ordinal = ix
	}
	return plan
}

func draw(rng *rand.Rand, length time.Duration, index int, stm Workload) []Arrival {
	var arrivals []Arrival
	if stm.PeakRate <= 0 {
		return nil
	}
	for at := time.Duration(0); ; {
		at += time.Duration(rng.ExpFloat64() / stm.PeakRate * float64(time.Second))
		if at >= length {
			return arrivals
		}
		tokens := stm.MinTokens
		if stm.MaxTokens > stm.MinTokens {
			tokens += rng.IntN(stm.MaxTokens - stm.MinTokens + 1)
		}
		if rng.Float64()*stm.PeakRate < stm.Rate(at) {
			arrivals = append(arrivals, Arrival{At: at, Workload: index, Tokens: tokens})
		}
	}
}

// ConstantRate returns a rate that does not change.
func ConstantRate(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

// StepRate returns a rate that rises linearly from low to high within a ramp that
// begins at start, and falls back to low at end.
func StepRate(low, high float64, start, ramp, end time.Duration) func(time.Duration) float64 {
	return func(since time.Duration) float64 {
		switch {
		case since < start || since >= end:
			return low
		case since < start+ramp:
			return low + (high-low)*float64(since-start)/float64(ramp)
		}
		return high
	}
}
