package bwforward

import (
	"sync"
	"sync/atomic"

	"bilberrywick/core/bwmodel"
	"bilberrywick/core/bwretry"
)

// RetryBudgets bounds the requests that each service gets beyond the first of each
// caller's. Any goroutine may use it.
type RetryBudgets struct {
	cfg RetryBudgetsConfig
	// burst is what each service's budget saves up.
	burst    atomic.Int64
	services sync.Map // bwmodel.ServiceID to *serviceBudget
}

// RetryBudgetsConfig configures Budgets.
type RetryBudgetsConfig struct {
	// Share is the bound of the whole fleet as a share of the requests, Slack
	// what it allows beside that.
	Share float64
	Slack int
}

type serviceBudget struct {
	*bwretry.Budget
	burst int64
	// debt counts what begun streams took beyond the budget.
	debt *atomic.Int64
}

// RetryClass says what a request beyond the first is for.
type RetryClass int

// Claims, from the one that gives way first.
const (
	// PlainRetry is a repeat of a plain request.
	PlainRetry RetryClass = iota
	// StreamRetry is a stream that its caller has seen nothing of.
	StreamRetry
	// StreamResume is a stream in the middle, whose caller has no other way to its end.
	StreamResume
)

const (
	// usedShare and usedSlack are the parts of the bounds that are used, since
	// the fleet's are checked on windows that begin at any moment.
	usedShare = 0.75
	usedSlack = 0.6
	// minBurst lets a gateway of a large fleet resume a few streams at once, and
	// maxBurst is about the streams that one has on a zone's engines.
	minBurst = 6
	maxBurst = 40
	// streamReserve is the part of a budget that only streams use, as they have
	// more to lose.
	streamReserve = 2
	// maxDebt is what begun streams may take beyond the budget, to be earned
	// back. A gateway has few streams at a time, but a zone's loss may hit all of
	// them, while the other gateways' budgets are hardly used.
	maxDebt = 8
)

// NewRetryBudgets returns full budgets for a gateway that knows no others.
func NewRetryBudgets(cfg RetryBudgetsConfig) *RetryBudgets {
	bds := &RetryBudgets{cfg: cfg}
	bds.burst.Store(minBurst)
	return bds
}

// SetGatewayCount sets the number of gateways that share the slack.
func (bds *RetryBudgets) SetGatewayCount(count int) {
	burst := int(float64(bds.cfg.Slack)*usedSlack) / max(count, 1)
	bds.burst.Store(int64(min(max(burst, minBurst), maxBurst)))
}

// Burst returns what each service's budget may save up.
func (bds *RetryBudgets) Burst() int { return int(bds.burst.Load()) }

// CountRequest counts a caller's request.
func (bds *RetryBudgets) CountRequest(svc bwmodel.ServiceID) {
	bud := bds.of(svc)
	bud.CountRequest()
	if bud.debt.Load() > 0 && bud.Allow() {
		bud.debt.Add(-1)
	}
}

// Allow reports whether a service may get one more request, and counts it.
func (bds *RetryBudgets) Allow(svc bwmodel.ServiceID, clm RetryClass) bool {
	bud := bds.of(svc)
	if clm == PlainRetry && bud.Remaining() <= streamReserve {
		return false
	}
	if bud.Allow() {
		return true
	}
	if clm != StreamResume || bud.debt.Load() >= maxDebt {
		return false
	}
	bud.debt.Add(1)
	return true
}

// of returns the service's budget, a new one when the burst has changed. A new
// one holds what the old one had left.
func (bds *RetryBudgets) of(svc bwmodel.ServiceID) *serviceBudget {
	burst := bds.burst.Load()
	val, ok := bds.services.Load(svc)
	if ok && val.(*serviceBudget).burst == burst {
		return val.(*serviceBudget)
	}
	bud := &serviceBudget{Budget: bwretry.NewBudget(bwretry.BudgetConfig{Share: bds.cfg.Share * usedShare, Burst: int(burst)}), burst: burst, debt: new(atomic.Int64)}
	left := int(burst)
	if ok {
		bud.debt = val.(*serviceBudget).debt
		left = val.(*serviceBudget).Remaining() + max(int(burst-val.(*serviceBudget).burst), 0)
	}
	for range left {
		bud.Refund()
	}
	if ok && !bds.services.CompareAndSwap(svc, val, bud) {
		return bds.of(svc)
	}
	if !ok {
		val, _ = bds.services.LoadOrStore(svc, bud)
		return val.(*serviceBudget)
	}
	return bud
}
