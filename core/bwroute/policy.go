package bwroute

// Policy selects one of the candidates for a request.
type Policy struct {
	Name string
	// Pick returns the index of the candidate to use; there is at least one.
	// The sequence grows by one for each request.
	Pick func(cds []Candidate, sequence uint64) int
	// Baseline turns off the suspension of slow upstreams and the adaptive limits.
	Baseline bool
}

// LeastCost picks the candidate with the lowest cost.
func LeastCost() Policy { return Policy{Name: "least cost", Pick: pickLeastCost} }

// RoundRobin is the baseline that picks the candidates in turn.
func RoundRobin() Policy { return Policy{Name: "round robin", Pick: pickNext, Baseline: true} }

// LeastConnections is the baseline that picks the candidate with the fewest
// requests in flight from this router.
func LeastConnections() Policy {
	return Policy{Name: "least connections", Pick: pickLeastInFlight, Baseline: true}
}

func pickLeastCost(cds []Candidate, _ uint64) int {
	best := 0
	for idx := range cds {
		if cds[idx].Cost < cds[best].Cost {
			best = idx
		}
	}
	return best
}

func pickNext(cds []Candidate, sequence uint64) int { return int(sequence % uint64(len(cds))) }

func pickLeastInFlight(cds []Candidate, sequence uint64) int {
	first := int(sequence % uint64(len(cds)))
	best := first
	for cnt := range cds {
		idx := (first + cnt) % len(cds)
		if cds[idx].InFlight < cds[best].InFlight {
			best = idx
		}
	}
	return best
}
