package bwforward

import (
	"sync"
	"sync/atomic"

	"bilberrywick/core/bwmodel"
	"bilberrywick/core/bwretry"
)

// RetryBudgets limits the extra requests of each service: those beyond the
// first attempt of a caller's request. It is safe for concurrent use.
type RetryBudgets struct {
	cfg RetryBudgetsConfig
	// burst is the capacity of each service's budget, in requests.
	burst    atomic.Int64
	services sync.Map // bwmodel.ServiceID to *serviceBudget
}

// RetryBudgetsConfig configures RetryBudgets.
type RetryBudgetsConfig struct {
	// Share limits the extra requests of the whole fleet to a share of the
	// callers' requests. Slack is the number allowed in addition.
	Share float64
	Slack int
}

type serviceBudget struct {
	*bwretry.Budget
	burst int64
	// debt counts the stream resumes that exceeded the budget.
	debt *atomic.Int64
}

// RetryClass is the purpose of an extra request.
type RetryClass int

// Retry classes, lowest priority first.
const (
	// PlainRetry repeats a plain request.
	PlainRetry RetryClass = iota
	// StreamRetry restarts a stream that has sent no event to its caller.
	StreamRetry
	// StreamResume continues a partly delivered stream; its caller has no other
	// way to get the rest.
	StreamResume
)

const (
	// usedShare and usedSlack are the parts of Share and Slack that are used. They
	// are below 1 because the limits are checked over windows that can start at
	// any moment.
	usedShare = 0.75
	usedSlack = 0.6
	// minBurst lets a gateway of a large fleet resume a few streams at once.
	// maxBurst is about the number of streams that one gateway runs on a zone's
	// engines.
	minBurst = 6
	maxBurst = 40
	// streamReserve is the number of requests that a budget keeps for streams,
	// since a failed stream costs its caller more than a failed plain request.
	streamReserve = 2
	// maxDebt limits the stream resumes that exceed the budget; later requests pay
	// them back. A gateway has few streams at a time, but the failure of a zone may
	// interrupt all of them while the budgets of other gateways are hardly used.
	maxDebt = 8
)

// NewRetryBudgets returns full budgets. Their burst is the smallest one until
// SetGatewayCount changes it.
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

// Burst returns the capacity of each service's budget, in requests.
func (bds *RetryBudgets) Burst() int { return int(bds.burst.Load()) }

// CountRequest counts a caller's request, which adds to the service's budget and
// pays back its debt.
func (bds *RetryBudgets) CountRequest(svc bwmodel.ServiceID) {
	bud := bds.budget(svc)
	bud.CountRequest()
	if bud.debt.Load() > 0 && bud.Allow() {
		bud.debt.Add(-1)
	}
}

// Allow reports whether a service may get one more extra request, and takes it
// from the budget.
func (bds *RetryBudgets) Allow(svc bwmodel.ServiceID, cls RetryClass) bool {
	bud := bds.budget(svc)
	if cls == PlainRetry && bud.Remaining() <= streamReserve {
		return false
	}
	if bud.Allow() {
		return true
	}
	if cls != StreamResume || bud.debt.Load() >= maxDebt {
		return false
	}
	bud.debt.Add(1)
	return true
}

// budget returns the service's budget. After a change of the burst it returns a
// new one, which keeps the debt and the remaining requests of the old one and
// adds the increase of the burst.
func (bds *RetryBudgets) budget(svc bwmodel.ServiceID) *serviceBudget {
	burst := bds.burst.Load()
	val, ok := bds.services.Load(svc)
	if ok && val.(*serviceBudget).burst == burst {
		return val.(*serviceBudget)
	}
	bud := &serviceBudget{Budget: bwretry.NewBudget(bwretry.BudgetConfig{Share: bds.cfg.Share * usedShare, Burst: int(burst)}), burst: burst, debt: new(atomic.Int64)}
	remaining := int(burst)
	if ok {
		bud.debt = val.(*serviceBudget).debt
		remaining = val.(*serviceBudget).Remaining() + max(int(burst-val.(*serviceBudget).burst), 0)
	}
	for range remaining {
		bud.Refund()
	}
	if ok && !bds.services.CompareAndSwap(svc, val, bud) {
		return bds.budget(svc)
	}
	if !ok {
		val, _ = bds.services.LoadOrStore(svc, bud)
		return val.(*serviceBudget)
	}
	return bud
}
