package bwretry

import "sync/atomic"

// Budget is a token bucket that limits retries and hedges to a share of the
// requests. It is safe for concurrent use.
type Budget struct {
	// tokens, refill and limit are in millionths of an extra request. Each request
	// adds refill to tokens, up to limit.
	tokens atomic.Int64
	refill int64
	limit  int64
}

// BudgetConfig configures a Budget.
type BudgetConfig struct {
	// Share is the number of extra requests allowed per request; 0 means 0.05.
	Share float64
	// Burst is the largest number of extra requests that accumulate; 0 means 10.
	Burst int
}

const (
	defaultShare = 0.05
	defaultBurst = 10
	budgetUnit   = 1_000_000
)

// NewBudget returns an empty budget, which CountRequest fills.
func NewBudget(cfg BudgetConfig) *Budget {
	if cfg.Share == 0 {
		cfg.Share = defaultShare
	}
	if cfg.Burst == 0 {
		cfg.Burst = defaultBurst
	}
	return &Budget{refill: int64(cfg.Share * budgetUnit), limit: int64(cfg.Burst) * budgetUnit}
}

// CountRequest counts the first attempt of a request, which adds Share of an extra
// request.
func (bud *Budget) CountRequest() {
	for {
		old := bud.tokens.Load()
		if bud.tokens.CompareAndSwap(old, min(old+bud.refill, bud.limit)) {
			return
		}
	}
}

// Allow reports whether an extra request is allowed, and takes it from the budget.
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

// Remaining returns the number of extra requests that are allowed now.
func (bud *Budget) Remaining() int { return int(bud.tokens.Load() / budgetUnit) }

// Refund puts back an extra request that was allowed but not sent.
func (bud *Budget) Refund() {
	for {
		old := bud.tokens.Load()
		if bud.tokens.CompareAndSwap(old, min(old+budgetUnit, bud.limit)) {
			return
		}
	}
}
