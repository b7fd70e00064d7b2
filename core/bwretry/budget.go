package bwretry

import "sync/atomic"

// Budget limits retries and hedges to a share of requests; any goroutine may use it.
type Budget struct {
	// tokens is counted in millionths of an extra request.
	tokens atomic.Int64
	gain   int64
	limit  int64
}

// BudgetConfig configures a Budget.
type BudgetConfig struct {
	// Share is the extra requests allowed for each request; 0 means 0.05.
	Share float64
	// Burst is the extra requests that may be saved up; 0 means 10.
	Burst int
}

const (
	defaultShare = 0.05
	defaultBurst = 10
	budgetUnit   = 1_000_000
)

// NewBudget returns an empty budget; it fills as requests are counted.
func NewBudget(cfg BudgetConfig) *Budget {
	if cfg.Share == 0 {
		cfg.Share = defaultShare
	}
	if cfg.Burst == 0 {
		cfg.Burst = defaultBurst
	}
	return &Budget{gain: int64(cfg.Share * budgetUnit), limit: int64(cfg.Burst) * budgetUnit}
}

// CountRequest counts one first attempt, which earns its share of an extra request.
func (bud *Budget) CountRequest() {
	for {
		old := bud.tokens.Load()
		if bud.tokens.CompareAndSwap(old, min(old+bud.gain, bud.limit)) {
			return
		}
	}
}

// Allow reports whether an extra request is allowed, and spends it.
func (bud *Budget) Allow() bool {
	for {
		old := bud.tokens.Load()
		if old < budgetUnit {
			return false
		}
		if bud.tokens.CompareAndSwap(old, old-budgetUnit) {
			return true
		}
	}
}

// Remaining returns the extra requests that are allowed now.
func (bud *Budget) Remaining() int { return int(bud.tokens.Load() / budgetUnit) }

// Refund returns an extra request that was taken and not sent.
func (bud *Budget) Refund() {
	for {
		old := bud.tokens.Load()
		if bud.tokens.CompareAndSwap(old, min(old+budgetUnit, bud.limit)) {
			return
		}
	}
}
