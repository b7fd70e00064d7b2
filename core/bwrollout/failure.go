package bwrollout

import "math"

// failureRates are the rates of failures by which a version's responses on a route are
// judged: the tolerated one of the sequential test, and the one that is expected of a
// good version when there is no time for more samples.
type failureRates struct{ tolerated, expected float64 }

const (
	// knownDeviations is the number of standard deviations by which a route of the old
	// version must fail more often than its other routes.
	knownDeviations = 2
	// fewResponses is the number of responses of a route of the old version up to which
	// its failures may be usual: fewer don't show whether other routes have them too.
	fewResponses = 50
)

// usualFailureRates returns the rates for each route. Requests of some routes fail on any
// version: applications answer a part of their lookups with an error. What all routes of
// the old version have in common is not tolerated beyond toleratedFailures, since old
// upstreams that fail now must not excuse the new ones. With one route only the two can't
// be told apart, and a good version that is rolled back each time is the worse mistake.
func usualFailureRates(routes map[string]RouteCounts) map[string]failureRates {
	common := commonFailureRate(routes)
	rates := make(map[string]failureRates, len(routes))
	for name, cnt := range routes {
		rates[name] = failureRates{toleratedFailures, expectedFailures}
		rate, deviation := failureRate(cnt.Old)
		isFew := cnt.Old.Responses <= fewResponses
		if cnt.Old.Failed == 0 || !isFew && rate-knownDeviations*deviation <= common {
			continue
		}
		usual := min(max(rate-common, 0)+oldDeviations*deviation, maxUsualRate)
		rates[name] = failureRates{max(toleratedFailures, usual), max(expectedFailures, usual)}
	}
	return rates
}

// commonFailureRate returns the rate of failures that all routes of the old version may
// have, or 0 if it has one route.
func commonFailureRate(routes map[string]RouteCounts) float64 {
	lowest, count := 1.0, 0
	for _, cnt := range routes {
		if cnt.Old.Responses == 0 {
			continue
		}
		count++
		rate, deviation := failureRate(cnt.Old)
		lowest = min(lowest, rate+knownDeviations*deviation)
	}
	if count < 2 {
		return 0
	}
	return lowest
}

// failureRate returns the rate of failures and its standard deviation.
func failureRate(cnt Counts) (rate, deviation float64) {
	rate = (float64(cnt.Failed) + 0.5) / (float64(cnt.Responses) + 1)
	return rate, math.Sqrt(rate * (1 - rate) / (float64(cnt.Responses) + 1))
}

// meanFailureRates returns the rates for all routes together, by the responses of the new
// version on each.
func meanFailureRates(routes map[string]RouteCounts, rates map[string]failureRates) failureRates {
	var sum failureRates
	total := 0.0
	for name, cnt := range routes {
		weight := float64(cnt.New.Responses)
		total += weight
		sum.tolerated += weight * rates[name].tolerated
		sum.expected += weight * rates[name].expected
	}
	if total == 0 {
		return failureRates{toleratedFailures, expectedFailures}
	}
	return failureRates{sum.tolerated / total, sum.expected / total}
}
