package bwspread

import (
	"math"
	"math/rand/v2"
	"time"
)

// Timer draws the pauses after which the gateways of a fleet read a table. Each
// one starts a new pause when it learns that another one has read.
//
// The load pattern it answers is a fleet whose pauses begin at the same moment.
// With evenly distributed pauses the number that end before the first reader's
// result has spread grows with the fleet. Here most pauses are long and the
// chance of a short one falls exponentially, so that about one gateway reads,
// whatever the size of the fleet; if it fails, others follow soon after.
type Timer struct {
	// Longest is the longest pause.
	Longest time.Duration
	// Random returns a number from 0 to 1; nil means math/rand/v2.
	Random func() float64
}

const (
	// shortestShare is the shortest pause, as a share of the longest one.
	shortestShare = 0.7
	// minSteepness is the exponent of the distribution of the pauses of one gateway.
	minSteepness = 1
)

// Next returns a pause for one of a number of gateways.
func (tmr Timer) Next(gateways int) time.Duration {
	random := rand.Float64
	if tmr.Random != nil {
		random = tmr.Random
	}
	steepness := math.Log(float64(max(gateways, 1))) + minSteepness
	// part is between 0 and 1; the density of its distribution grows exponentially.
	part := math.Log1p(random()*math.Expm1(steepness)) / steepness
	return time.Duration(float64(tmr.Longest) * (shortestShare + (1-shortestShare)*part))
}
