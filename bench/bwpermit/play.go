package bwpermit

import (
	"fmt"
	"time"

	"bilberrywick/core/bwmodel"
)

// Change is what happens to a fleet in a play.
type Change int

// Changes of a fleet.
const (
	// Replaced replaces a tenth of the gateways twice, and each time freezes one and
	// restarts another one.
	Replaced Change = iota
	// RestartedInTurn stops and starts all gateways, one after the other.
	RestartedInTurn
	// Grown adds twice as many gateways as there are, and five at least, at once.
	Grown
	// Shrunk stops all gateways but a tenth, and one at least, at once.
	Shrunk
)

// Times of the changes, from the start of a play.
const (
	firstReplacement  = 10 * time.Second
	secondReplacement = 25 * time.Second
	firstRestart      = 2 * time.Second
	restartGap        = time.Second
	growth            = 5 * time.Second
	minGrowth         = 5
	shrinkage         = 10 * time.Second
	// remainingShare is one part in so many that remains of a fleet that shrinks.
	remainingShare = 10
)

// apply changes the fleet if that is due, at a time since the start of the play.
func (chg Change) apply(flt *fleet, size int, since time.Duration) {
	now := fleetStart + since
	switch {
	case chg == Replaced && (since == firstReplacement || since == secondReplacement):
		flt.replace(int(since/time.Second), now)
	case chg == RestartedInTurn:
		if number, due := inTurn(since-firstRestart, size); due {
			flt.stop(flt.order[number], now)
		}
		if number, due := inTurn(since-firstRestart-stopTime-restartTime, size); due {
			flt.start(flt.order[number], now)
		}
	case chg == Grown && since == growth:
		for ix := range max(2*size, minGrowth) {
			flt.start(bwmodel.MemberID(fmt.Sprintf("new-%d", ix)), now)
		}
	case chg == Shrunk && since == shrinkage:
		for _, id := range flt.order[max(size/remainingShare, 1):] {
			flt.stop(id, now)
		}
	}
}

// inTurn returns the number of the gateway whose turn it is at a time since the first
// one's, and false if it is no gateway's.
func inTurn(since time.Duration, size int) (int, bool) {
	number := int(since / restartGap)
	return number, since >= 0 && since%restartGap == 0 && number < size
}

// PlayConfig configures a Play.
type PlayConfig struct {
	Size   int
	Change Change
	// Limit is the requests a second that the upstream takes.
	Limit float64
	// Asked is the requests a second that the fleet is asked for.
	Asked  float64
	Length time.Duration
	// Window is the time over which the requests are counted.
	Window time.Duration
	Seed   uint64
}

// Result is what an upstream got in a play.
type Result struct {
	// Granted has the times of the requests since the start of the play.
	Granted []time.Duration
	// Most is the largest number within a window, which ends at MostAt.
	Most   int
	MostAt time.Duration
}

// Since returns the number of requests from a time since the start of the play on.
func (res Result) Since(start time.Duration) int {
	count := 0
	for _, at := range res.Granted {
		if at >= start {
			count++
		}
	}
	return count
}

// Play plays a fleet whose gateways are asked at random for requests to one upstream.
func Play(cfg PlayConfig) Result {
	flt := newFleet(cfg.Size, cfg.Seed)
	var res Result
	from := 0
	for since := time.Duration(0); since < cfg.Length; since += tick {
		flt.advance(fleetStart + since)
		cfg.Change.apply(flt, cfg.Size, since)
		for asked := cfg.Asked * tick.Seconds(); asked >= 1 || flt.rng.Float64() < asked; asked-- {
			if !flt.take("up", cfg.Limit, fleetStart+since) {
				continue
			}
			res.Granted = append(res.Granted, since)
			for since-res.Granted[from] > cfg.Window {
				from++
			}
			if count := len(res.Granted) - from; count > res.Most {
				res.Most, res.MostAt = count, since
			}
		}
	}
	return res
}
