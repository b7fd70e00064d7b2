package bwforward

import (
	"sync"
	"time"

	"bilberrywick/core/bwmodel"
)

// RetryBudgets limits the extra requests of each service: those beyond the
// first attempt of a caller's request. It is safe for concurrent use.
//
// The limit holds for the whole fleet without a coordinator: over any window the
// gateways together send at most Share of the requests of that window or the one
// before it, plus Slack. Each gateway sends, in each window that ends now, at most
// usedShare of Share of its own requests of that window, and its part of usedSlack. The load pattern it answers is the loss of one zone after the other,
// each of which interrupts streams at all gateways at once: one that needs more than
// its own budget borrows what others have left.
type RetryBudgets struct {
	cfg RetryBudgetsConfig

	mu       sync.Mutex
	services map[bwmodel.ServiceID]*serviceBudget
	// gateways is the number of gateways that share Slack; 0 until it is known.
	gateways int
	// fleetStarts is set by StartFleet.
	fleetStarts bool
	startedAt   time.Time
	// formerGateways is an earlier, larger number, which counts until formerUntil.
	formerGateways int
	formerUntil    time.Time
}

// RetryBudgetsConfig configures RetryBudgets.
type RetryBudgetsConfig struct {
	// Share limits the extra requests of the whole fleet to a share of the
	// callers' requests. Slack is the number allowed in addition.
	Share float64
	Slack float64
	// Window is the time over which the limit holds; 0 means 10 s.
	Window time.Duration
	// Now returns the current time; nil means time.Now.
	Now func() time.Time
}

const defaultRetryWindow = 10 * time.Second

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
	// usedShare and usedSlack are the parts of Share and Slack that the gateways use.
	// The rest is for traffic that moves between gateways, so that the windows of both
	// contain it, for requests that the gateways count later than their callers send
	// them, and for loans that are under way.
	usedShare = 0.7
	usedSlack = 0.8
	// joinShare and joinSlack are used instead in the first window of a gateway that
	// joins a running fleet: the process before it may have used its part in the same
	// window.
	joinShare = 0.2
	joinSlack = 0.15
	// streamReserve is the number of requests that a budget keeps for streams,
	// since a failed stream costs its caller more than a failed plain request.
	streamReserve = 2
	// lentShare is the part of a budget that is lent to one borrower.
	lentShare = 0.8
)

// NewRetryBudgets returns empty budgets. SetGatewayCount adds the part of Slack.
func NewRetryBudgets(cfg RetryBudgetsConfig) *RetryBudgets {
	if cfg.Window == 0 {
		cfg.Window = defaultRetryWindow
	}
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	return &RetryBudgets{cfg: cfg, services: make(map[bwmodel.ServiceID]*serviceBudget), startedAt: cfg.Now()}
}

// StartFleet records that the whole fleet has just started, so that no process before this
// one can have used a part of the budgets.
func (bds *RetryBudgets) StartFleet() {
	bds.mu.Lock()
	defer bds.mu.Unlock()
	bds.fleetStarts = true
}

// SetGatewayCount sets the number of gateways that share Slack. It must not be
// below the number of those that send requests.
func (bds *RetryBudgets) SetGatewayCount(count int) {
	bds.mu.Lock()
	defer bds.mu.Unlock()
	count = max(count, 1)
	if now := bds.cfg.Now(); count < bds.gateways {
		// Those that are gone may have used their parts in this window.
		bds.formerGateways, bds.formerUntil = bds.slackGateways(now), now.Add(bds.cfg.Window)
	}
	bds.gateways = count
}

// GatewayCount returns the number of gateways that share Slack, 0 until it is known.
func (bds *RetryBudgets) GatewayCount() int {
	bds.mu.Lock()
	defer bds.mu.Unlock()
	return bds.gateways
}

// slackGateways returns the number of gateways by which the slack is divided: the
// largest one of the last window.
func (bds *RetryBudgets) slackGateways(now time.Time) int {
	if now.Before(bds.formerUntil) {
		return max(bds.gateways, bds.formerGateways)
	}
	return bds.gateways
}

// SlackPart returns this gateway's part of the slack in each window, in requests.
func (bds *RetryBudgets) SlackPart() float64 {
	bds.mu.Lock()
	defer bds.mu.Unlock()
	return bds.slackPart(usedSlack)
}

func (bds *RetryBudgets) slackPart(share float64) float64 {
	if bds.gateways == 0 {
		return 0
	}
	return bds.cfg.Slack * share / float64(bds.slackGateways(bds.cfg.Now()))
}

// CountRequest counts a caller's request, which adds to the service's budget.
func (bds *RetryBudgets) CountRequest(svc bwmodel.ServiceID) {
	bds.mu.Lock()
	defer bds.mu.Unlock()
	bds.budget(svc).requests.add(bds.cfg.Now(), 1)
}

// Allow reports whether a service may get one more extra request, and takes it
// from the budget.
func (bds *RetryBudgets) Allow(svc bwmodel.ServiceID, cls RetryClass) bool {
	bds.mu.Lock()
	defer bds.mu.Unlock()
	needed := 1.0
	if cls == PlainRetry {
		// The reserve is smaller where the budget can't hold more than a few requests.
		needed += min(streamReserve, bds.limit(svc)/2)
	}
	if bds.available(svc) < needed {
		return false
	}
	bds.budget(svc).extra.add(bds.cfg.Now(), 1)
	return true
}

// Shortfall returns the part of an extra request that the service's budget lacks.
func (bds *RetryBudgets) Shortfall(svc bwmodel.ServiceID) float64 {
	bds.mu.Lock()
	defer bds.mu.Unlock()
	return max(1-bds.available(svc), 0)
}

// Lend takes up to an amount, in requests, from the service's budget for another
// gateway and returns what it took.
func (bds *RetryBudgets) Lend(svc bwmodel.ServiceID, amount float64) float64 {
	bds.mu.Lock()
	defer bds.mu.Unlock()
	lent := min(max(amount, 0), bds.available(svc)*lentShare)
	// NaN, which a datagram may contain, compares as false.
	if !(lent > 0) {
		return 0
	}
	bds.budget(svc).extra.add(bds.cfg.Now(), lent)
	return lent
}

// Borrow reports whether an amount that other gateways have lent makes up for the
// shortfall, and takes one extra request if it does. What is left is kept like
// the rest of the budget.
func (bds *RetryBudgets) Borrow(svc bwmodel.ServiceID, amount float64) bool {
	bds.mu.Lock()
	defer bds.mu.Unlock()
	amount = max(amount, 0)
	if !(bds.available(svc)+amount >= 1) {
		return false
	}
	bds.budget(svc).extra.add(bds.cfg.Now(), 1-amount)
	return true
}

// Keep adds what another gateway has lent but is no longer needed.
func (bds *RetryBudgets) Keep(svc bwmodel.ServiceID, amount float64) {
	bds.mu.Lock()
	defer bds.mu.Unlock()
	if amount > 0 {
		bds.budget(svc).extra.add(bds.cfg.Now(), -min(amount, maxKeptLoan))
	}
}

// maxKeptLoan bounds a loan that came late; gateways borrow for one request at a time.
const maxKeptLoan = 1

// serviceBudget counts the requests of one service in the last window.
type serviceBudget struct {
	requests countWindow
	// extra has the extra requests, and loans: positive at the lender, negative at the
	// borrower.
	extra countWindow
}

// limit returns the number of extra requests in a window that ends now.
func (bds *RetryBudgets) limit(svc bwmodel.ServiceID) float64 {
	now := bds.cfg.Now()
	share, slack := usedShare, usedSlack
	if !bds.fleetStarts && now.Sub(bds.startedAt) < bds.cfg.Window {
		share, slack = joinShare, joinSlack
	}
	return share*bds.cfg.Share*bds.budget(svc).requests.sum(now) + bds.slackPart(slack)
}

// available returns how many more extra requests the service may get now.
func (bds *RetryBudgets) available(svc bwmodel.ServiceID) float64 {
	return max(bds.limit(svc)-bds.budget(svc).extra.sum(bds.cfg.Now()), 0)
}

func (bds *RetryBudgets) budget(svc bwmodel.ServiceID) *serviceBudget {
	bud := bds.services[svc]
	if bud == nil {
		width := bds.cfg.Window / countBuckets
		// The oldest bucket is only partly within the window. What is left of it counts
		// for extra requests and not for requests.
		bud = &serviceBudget{requests: countWindow{width: width, buckets: make([]float64, countBuckets)}, extra: countWindow{width: width, buckets: make([]float64, countBuckets+1)}}
		bds.services[svc] = bud
	}
	return bud
}

// countBuckets is the number of parts of a window in which requests are counted.
const countBuckets = 20

// countWindow counts over the last window, in buckets of a width.
type countWindow struct {
	width   time.Duration
	origin  time.Time
	current int64
	buckets []float64
}

func (cwd *countWindow) add(now time.Time, amount float64) {
	cwd.advance(now)
	cwd.buckets[cwd.current%int64(len(cwd.buckets))] += amount
}

func (cwd *countWindow) sum(now time.Time) float64 {
	cwd.advance(now)
	sum := 0.0
	for _, count := range cwd.buckets {
		sum += count
	}
	return sum
}

// advance empties the buckets that are older than a window.
func (cwd *countWindow) advance(now time.Time) {
	if cwd.origin.IsZero() {
		cwd.origin = now
	}
	bucket := max(int64(now.Sub(cwd.origin)/cwd.width), cwd.current)
	for range min(bucket-cwd.current, int64(len(cwd.buckets))) {
		cwd.current++
		cwd.buckets[cwd.current%int64(len(cwd.buckets))] = 0
	}
	cwd.current = bucket
}
