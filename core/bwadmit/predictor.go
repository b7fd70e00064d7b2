package bwadmit

import (
	"sync"

	"bilberrywick/core/bwmodel"
)

// Predictor estimates the output length of a request, in tokens, from the outputs
// observed for its team and service. It is safe for concurrent use.
type Predictor struct {
	// Fallback is the estimate for a service without observations, in tokens; 0
	// means 256.
	Fallback int

	lengths sync.Map
}

const (
	defaultFallback    = 256
	predictorSmoothing = 0.1
)

type predictorKey struct {
	team    bwmodel.TeamID
	service bwmodel.ServiceID
}

// Observe records the length of a finished output, in tokens.
func (pr *Predictor) Observe(tm bwmodel.TeamID, svc bwmodel.ServiceID, tokens int) {
	pr.update(predictorKey{team: tm, service: svc}, tokens)
	pr.update(predictorKey{service: svc}, tokens)
}

// Predict returns the expected length of an output in tokens, at most maxTokens
// unless that is 0.
func (pr *Predictor) Predict(tm bwmodel.TeamID, svc bwmodel.ServiceID, maxTokens int) int {
	est := pr.Fallback
	if est == 0 {
		est = defaultFallback
	}
	if val, ok := pr.lengths.Load(predictorKey{team: tm, service: svc}); ok {
		est = int(*val.(*float64))
	} else if val, ok := pr.lengths.Load(predictorKey{service: svc}); ok {
		est = int(*val.(*float64))
	}
	if maxTokens > 0 {
		est = min(est, maxTokens)
	}
	return max(1, est)
}

// update adds a length to the exponential moving average of a key.
func (pr *Predictor) update(key predictorKey, tokens int) {
	first := float64(tokens)
	for {
		val, loaded := pr.lengths.LoadOrStore(key, &first)
		if !loaded {
			return
		}
		old := val.(*float64)
		next := *old + predictorSmoothing*(float64(tokens)-*old)
		if pr.lengths.CompareAndSwap(key, old, &next) {
			return
		}
	}
}
