package bwforward

import (
	"math"
	"time"
)

// plainNode is what a PlainAdmission has learned of an upstream.
type plainNode struct {
	// start is the start of the upstream's run.
	start time.Time
	// serviceTime is the learned time of a request without waiting; 0 means unknown.
	// servedAt is when it was last observed.
	serviceTime time.Duration
	servedAt    time.Time
	// report is the last observed load report, and sent the number of requests that were
	// started since.
	report *loadReport
	sent   int
	// startRate is the decayed number of started requests a second, as of startedAt.
	startRate float64
	startedAt time.Time
	// unansweredSince is when the last request ended, or the first one started after that
	// if none was running. It is not used while none is running.
	unansweredSince time.Time
	// contendedAt is when a report last named a long queue, and limitedAt when a request
	// last found no token. While the upstream is contended, rate is the number of requests
	// that may start a second and tokens the number that may start as of filledAt, which
	// is in the future while none may start.
	contendedAt, limitedAt, filledAt time.Time
	rate, tokens                     float64
}

const (
	// serviceTimeWeight is the weight of one response in the service time. Ten responses
	// change it by two thirds.
	serviceTimeWeight = 0.1
	// maxLearningQueue is the number of waiting requests for each slot up to which
	// responses show the service time. A longer queue changes too much while one waits.
	maxLearningQueue = 3.0
	// contendedTime is the time after the last report of a long queue for which an
	// upstream counts as contended, beside the time in which the queue ends. It is
	// maxLoadAge, as no report counts for longer.
	contendedTime = maxLoadAge
	// queuePerSlot is the number of waiting requests for each slot at which the queue is
	// kept. The wait of one and a half service times is well below the targets.
	queuePerSlot = 1.5
	// rateGain and rateLoss are the relative changes of the rate in a second if the queue
	// is empty, and if it is twice as long as it should be. A small rate increases by
	// parts of an equal share, so that the rates of the gateways become equal.
	rateGain = 2.0
	rateLoss = 4.0
	// holdRateFactor reduces the rate after each time in which no request started since
	// the queue was much too long.
	holdRateFactor = 0.7
	// minRateShare is the part of an equal share that a gateway always uses, so that it
	// goes on receiving reports.
	minRateShare = 0.25
	// maxTokenDebt bounds the requests of callers that come back which start at an
	// upstream before there is a token for them.
	maxTokenDebt = 3
	// reservingTokens is the number of tokens from which requests start that would be late
	// or whose team has more than its share. One is left for the others. tokenTime bounds
	// the unused tokens beyond that, as a time at the rate.
	reservingTokens = 2.0
	tokenTime       = 20 * time.Millisecond
	// startRateTime is the time over which startRate is averaged.
	startRateTime = time.Second
	// slowRetryTime is the time after which a learned service time without further
	// responses is forgotten, so that an upstream which was slow is tried again.
	slowRetryTime = 3 * time.Second
)

// slots returns the number of requests that the upstream runs at a time, 0 if unknown.
func (nd *Node) slots() int {
	if rep := nd.lastReport.Load(); rep != nil && rep.Slots > 0 {
		return rep.Slots
	}
	return nd.Slots
}

// service returns the expected time of a request without waiting.
func (pnd *plainNode) service(now time.Time) time.Duration {
	if pnd.serviceTime == 0 || now.Sub(pnd.servedAt) > slowRetryTime {
		return plainServiceTime
	}
	return pnd.serviceTime
}

// expected returns the time that a response is expected to take. It is at least the time
// for which the upstream has not answered the requests that this process has sent to it,
// and the learned service time is not forgotten while it runs one of them.
func (pnd *plainNode) expected(nd *Node, now time.Time) time.Duration {
	if nd.Running() == 0 {
		return pnd.service(now)
	}
	return max(pnd.service(now), pnd.serviceTime, now.Sub(pnd.unansweredSince))
}

// observeAnswer records that a request has ended.
func (pnd *plainNode) observeAnswer(now time.Time) { pnd.unansweredSince = now }

// observeTime learns the service time from a response that took a time and came with a
// report, which may be nil. The response has waited for about as many requests as the
// report before it names.
func (pnd *plainNode) observeTime(took time.Duration, rep *loadReport, slots int, now time.Time) {
	waiting := 0.0
	for _, rp := range []*loadReport{pnd.report, rep} {
		if rp == nil {
			continue
		}
		if float64(rp.Waiting) > maxLearningQueue*float64(slots) {
			return
		}
	}
	if took <= 0 {
		return
	}
	if pnd.report != nil {
		waiting = float64(pnd.report.Waiting)
	}
	sample := scaled(took, 1/(1+waiting/float64(max(slots, 1))))
	isFirst := pnd.serviceTime == 0 || now.Sub(pnd.servedAt) > slowRetryTime
	pnd.servedAt = now
	if isFirst {
		pnd.serviceTime = sample
		return
	}
	pnd.serviceTime += scaled(sample-pnd.serviceTime, serviceTimeWeight)
}

// observeReport adjusts the rate by a new report.
func (pnd *plainNode) observeReport(nd *Node, rep *loadReport, gateways int, now time.Time) {
	elapsed := maxLoadAge
	if pnd.report != nil {
		elapsed = min(max(rep.received.Sub(pnd.report.received), 0), maxLoadAge)
	}
	pnd.report, pnd.sent = rep, 0
	slots := float64(nd.slots())
	if slots <= 0 {
		return
	}
	wanted := queuePerSlot * slots
	share := pnd.share(nd, gateways, now)
	isLong := float64(rep.Waiting) > wanted
	if !pnd.isContended(now) {
		if isLong {
			pnd.contend(share, now)
			if float64(rep.Waiting) > 2*wanted {
				pnd.hold(nd, rep, share, now)
			}
		}
		return
	}
	if isLong {
		pnd.contendedAt = now
	}
	pnd.advance(now)
	switch diff := (wanted - float64(rep.Waiting)) / wanted; {
	case diff >= 0:
		pnd.rate += rateGain * diff * elapsed.Seconds() * max(share, pnd.rate)
	case diff >= -1:
		pnd.rate *= math.Exp(rateLoss * diff * elapsed.Seconds())
	default:
		pnd.hold(nd, rep, share, now)
	}
	pnd.rate = max(pnd.rate, minRateShare*share)
}

// share returns the equal part of a gateway, as requests a second.
func (pnd *plainNode) share(nd *Node, gateways int, now time.Time) float64 {
	return float64(nd.slots()) / pnd.service(now).Seconds() / float64(gateways)
}

// contend begins to limit the rate.
func (pnd *plainNode) contend(share float64, now time.Time) {
	pnd.contendedAt, pnd.filledAt = now, now
	pnd.rate, pnd.tokens = max(share, pnd.decayedStartRate(now)), 0
}

// hold lets no request start until a queue that is much too long is expected to be empty.
// Requests that other gateways have sent since the report prolong it.
func (pnd *plainNode) hold(nd *Node, rep *loadReport, share float64, now time.Time) {
	if now.After(pnd.filledAt) || pnd.tokens > 0 {
		pnd.rate = min(pnd.rate, share) * holdRateFactor
	}
	pnd.tokens = min(pnd.tokens, 0)
	pnd.filledAt = now.Add(pnd.service(now) * time.Duration(rep.Waiting) / time.Duration(nd.slots()))
}

// isContended reports whether the upstream had a long queue, or the rate delayed a
// request, until recently.
func (pnd *plainNode) isContended(now time.Time) bool {
	if pnd.contendedAt.IsZero() {
		return false
	}
	drained := time.Duration(0)
	if rep := pnd.report; rep != nil {
		drained = pnd.service(now) * time.Duration(rep.Waiting) / time.Duration(max(rep.Slots, 1))
	}
	return now.Sub(later(pnd.contendedAt, pnd.limitedAt)) < contendedTime+drained
}

// advance adds the tokens since filledAt.
func (pnd *plainNode) advance(now time.Time) {
	elapsed := now.Sub(pnd.filledAt)
	if elapsed <= 0 {
		return
	}
	pnd.filledAt = now
	pnd.tokens = min(pnd.tokens+pnd.rate*elapsed.Seconds(), reservingTokens+pnd.rate*tokenTime.Seconds())
}

// countStart counts a request that starts at the upstream.
func (pnd *plainNode) countStart(nd *Node, now time.Time) {
	if nd.Running() == 0 {
		pnd.unansweredSince = now
	}
	pnd.sent++
	pnd.startRate = pnd.decayedStartRate(now) + 1/startRateTime.Seconds()
	pnd.startedAt = now
	if pnd.isContended(now) {
		pnd.tokens--
	}
}

func (pnd *plainNode) decayedStartRate(now time.Time) float64 {
	return pnd.startRate * math.Exp(-float64(now.Sub(pnd.startedAt))/float64(startRateTime))
}

// spare returns the number of slots that are not known to be used.
func (pnd *plainNode) spare(nd *Node, now time.Time) int {
	used := nd.Running()
	if ld, fresh := nd.freshLoad(now); fresh {
		used = max(used, ld.Running+ld.Waiting+pnd.sent)
	}
	return nd.slots() - used
}

// isFree reports whether the last report shows a free slot that this process has not
// used, and no queue.
func (pnd *plainNode) isFree(nd *Node, now time.Time) bool {
	ld, fresh := nd.freshLoad(now)
	return fresh && ld.Waiting == 0 && pnd.spare(nd, now) > 0
}

// isFull reports whether the last report shows that all slots are used.
func (pnd *plainNode) isFull(nd *Node, now time.Time) bool {
	_, fresh := nd.freshLoad(now)
	return fresh && pnd.spare(nd, now) <= 0
}
