package bwforward

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	"bilberrywick/core/bwmodel"
)

// PlainAdmission decides which plain requests of this process start, wait or are
// refused, and at which upstream they start.
//
// The load pattern it addresses is a peak above what the upstreams can serve. Without
// it, requests queue at the upstreams until all of them are late. An upstream counts as
// contended while its reports name a queue of more than one request for each slot. This
// process then sends it requests at a rate that it adjusts with each report, so that the
// queue stays near that length. All gateways do the same and start from an equal part,
// so that reports which many of them read at once do not attract requests of all. A
// request starts at once at an upstream that is not contended. It is safe for
// concurrent use.
type PlainAdmission struct {
	cfg PlainAdmissionConfig

	mu       sync.Mutex
	services map[bwmodel.ServiceID]*plainService
	entered  uint64
}

// PlainAdmissionConfig configures a PlainAdmission.
type PlainAdmissionConfig struct {
	Pool *Pool
	// Gateways returns the number of gateways that use the upstreams; nil or a result
	// of 0 mean that it is unknown and taken for 1.
	Gateways func() int
	// Now returns the current time; nil means time.Now.
	Now func() time.Time
}

// PlainApplicant is a plain request. Its fields must not change after the first call of
// PlainAdmission.Decide, except Work.
type PlainApplicant struct {
	Work     Work
	Team     bwmodel.TeamID
	Priority int
	// UsefulUntil is when the response must come to have its full value, and Deadline
	// when the caller leaves. UsefulUntil is zero if it is not known.
	UsefulUntil, Deadline time.Time
	// Age is the time since the caller's first attempt.
	Age time.Duration

	entered    uint64
	waitUntil  time.Time
	isPromised bool
	isLate     bool
	isWaiting  bool
	// isOverShare is set if the team has started more than its share lately.
	isOverShare bool
}

// PlainDecision is the result of PlainAdmission.Decide, with what decided it.
type PlainDecision struct {
	Verdict Verdict
	// Node is nil if no upstream can be chosen at all; the verdict is Start then.
	Node *Node
	// Expected is the time until the request can start, and Ahead the number of waiting
	// requests that come first.
	Expected time.Duration
	Ahead    int
	// Recheck is the time after which Decide should be called again if the request
	// waits. RetryAfter is the time after which there is expected to be room for the
	// caller of a refused request.
	Recheck, RetryAfter time.Duration
	Reason              string
}

const (
	// plainWaitShare is the part of the target for which a request may wait for room;
	// refusals are due within an eighth of the target. promisedWaitShare is that of
	// callers who come back when they were told to.
	plainWaitShare    = 1.0 / 8
	promisedWaitShare = 1.0 / 3
	// untargetedShare is the part of the time left that counts as the target of a route
	// without one.
	untargetedShare = 0.5
	// deadlineMargin is the number of service times that a request which waits keeps
	// before its deadline.
	deadlineMargin = 2
	// usefulMargin is the number of service times that a caller needs after the time that
	// it was told: its wait at the upstream, which is about one, its service, and a rest.
	usefulMargin = 4
	// maxPlainWaiting bounds the requests of a service that wait at this process.
	maxPlainWaiting = 32
	// minPlainRecheck and maxPlainRecheck bound the time between two decisions about a
	// waiting request. Targets are 100 ms and more.
	minPlainRecheck = time.Millisecond
	maxPlainRecheck = 5 * time.Millisecond
	// retryHorizonShare is the part of their time left up to which callers honor
	// Retry-After.
	retryHorizonShare = 1.0 / 3
	// plainPromisedShare is the part of the rate that is promised to refused callers which can
	// still be served on time when they come back. latePromisedShare is that for others:
	// each of them takes the place of a request that would be on time.
	plainPromisedShare = 0.5
	latePromisedShare  = 0.04
	// teamUsageTime is the time after which half of a team's usage is forgotten.
	teamUsageTime = time.Second
	// unknownPlainRate is the rate a second at which refused callers are told to come back
	// if the rate at which requests start is not known.
	unknownPlainRate = 10.0
	// maxPlainRetryAfter bounds the time that a refusal names. Callers with the longest
	// deadline of the current deployments come back within a third of it.
	maxPlainRetryAfter = time.Second
	// minTeamUsage is the usage below which a team is forgotten.
	minTeamUsage = 0.01
)

// Reasons of decisions about plain requests.
const (
	reasonPlainRoom    = "an upstream has room"
	reasonPlainFree    = "an upstream has free slots"
	reasonPlainOnly    = "no upstream is known to be better"
	reasonPlainFull    = "upstreams are full"
	reasonPlainWaiting = "too many requests wait"
)

// plainService is the state of a service.
type plainService struct {
	nodes   map[bwmodel.UpstreamID]*plainNode
	waiting []*PlainApplicant
	// usage is the decayed number of requests that each team has started, as of usedAt.
	usage  map[bwmodel.TeamID]float64
	usedAt time.Time
	// promises are for callers that can still be served on time when they come back, and
	// latePromises for others.
	promises, latePromises promiseLedger
}

// NewPlainAdmission returns a PlainAdmission without requests.
func NewPlainAdmission(cfg PlainAdmissionConfig) *PlainAdmission {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.Gateways == nil {
		cfg.Gateways = func() int { return 0 }
	}
	return &PlainAdmission{cfg: cfg, services: make(map[bwmodel.ServiceID]*plainService)}
}

// Decide returns what happens to a request now. After a verdict of Wait it must be called
// again, or Leave.
func (pad *PlainAdmission) Decide(apl *PlainApplicant) PlainDecision {
	if apl.Work.Service.Model != nil {
		return PlainDecision{Verdict: Start, Node: pad.cfg.Pool.Choose(apl.Work), Reason: reasonPlainRoom}
	}
	pad.mu.Lock()
	defer pad.mu.Unlock()
	now := pad.cfg.Now()
	svc := pad.service(apl.Work.Service.Name)
	pad.enter(svc, apl, now)
	apl.isLate, apl.isOverShare = svc.isLate(apl, now), svc.isOverShare(apl.Team)
	room := pad.findRoom(svc, apl, now)
	dcn := PlainDecision{Node: room.first}
	switch {
	case room.first == nil || room.onlySuspended:
		return svc.start(apl, dcn, reasonPlainOnly, now)
	case room.best != nil && svc.hasTurn(apl, &dcn, room):
		dcn.Node = room.best
		return svc.start(apl, dcn, reasonPlainRoom, now)
	}
	dcn.Expected = room.timeTo(dcn.Ahead + 1)
	mayWait := !now.Add(dcn.Expected).After(apl.waitUntil)
	isCrowded := !apl.isWaiting && len(svc.waiting) >= maxPlainWaiting
	switch {
	case mayWait && !isCrowded:
		return svc.wait(apl, dcn)
	case room.free != nil:
		// Waiting requests take their turn within maxPlainRecheck, so that this one is not
		// refused although the last report shows room.
		dcn.Node = room.free
		return svc.start(apl, dcn, reasonPlainFree, now)
	case isCrowded && mayWait:
		return svc.refuse(apl, dcn, reasonPlainWaiting, room.rate, now)
	}
	return svc.refuse(apl, dcn, reasonPlainFull, room.rate, now)
}

// Leave removes a request that does not wait any more. It has no effect on others.
func (pad *PlainAdmission) Leave(apl *PlainApplicant) {
	pad.mu.Lock()
	defer pad.mu.Unlock()
	if svc := pad.services[apl.Work.Service.Name]; svc != nil {
		svc.remove(apl)
	}
}

// Observe records the end of an attempt at a node that was sent at sentAt, after the
// node's load report was recorded. isCompleted is set if the upstream ran it.
func (pad *PlainAdmission) Observe(nd *Node, sentAt time.Time, isCompleted bool) {
	pad.mu.Lock()
	defer pad.mu.Unlock()
	now := pad.cfg.Now()
	pnd := pad.service(nd.Service).node(nd, pad.cfg.Pool)
	rep := nd.lastReport.Load()
	isNew := rep != nil && rep != pnd.report
	pnd.observeAnswer(now)
	took := now.Sub(sentAt)
	// An attempt that was given up shows that the upstream takes longer.
	if isCompleted || took > pnd.service(now) {
		pnd.observeTime(took, rep, nd.slots(), now)
	}
	if !isNew {
		return
	}
	gateways := max(pad.cfg.Gateways(), 1)
	wasContended := pnd.isContended(now)
	pnd.observeReport(nd, rep, gateways, now)
	if !wasContended && pnd.isContended(now) {
		pad.services[nd.Service].suspect(pad.cfg.Pool, gateways, now)
	}
}

// suspect limits the rates of all upstreams of a service after one has become contended:
// at a sudden peak the responses that show it of the others come only after their queues.
// The rates that they have now are kept.
func (svc *plainService) suspect(pl *Pool, gateways int, now time.Time) {
	for id, pnd := range svc.nodes {
		nd := pl.Node(id)
		if nd == nil || pnd.isContended(now) {
			continue
		}
		pnd.contend(pnd.share(nd, gateways, now), now)
		pnd.tokens = 1
	}
}

func (pad *PlainAdmission) service(name bwmodel.ServiceID) *plainService {
	svc := pad.services[name]
	if svc == nil {
		svc = &plainService{nodes: make(map[bwmodel.UpstreamID]*plainNode), usage: make(map[bwmodel.TeamID]float64)}
		pad.services[name] = svc
	}
	return svc
}

// enter sets up to which time a new request may wait.
func (pad *PlainAdmission) enter(svc *plainService, apl *PlainApplicant, now time.Time) {
	if apl.entered != 0 {
		return
	}
	pad.entered++
	apl.entered = pad.entered
	target := scaled(apl.Deadline.Sub(now), untargetedShare)
	if !apl.UsefulUntil.IsZero() {
		target = apl.UsefulUntil.Sub(now) + apl.Age
	}
	share := plainWaitShare
	apl.isLate = svc.isLate(apl, now)
	if apl.Age > 0 && svc.promisesFor(apl).take(now) {
		apl.isPromised, share = true, promisedWaitShare
	}
	apl.waitUntil = now.Add(scaled(max(target, 0), share))
	// A request that waits must still be served before its deadline.
	if last := apl.Deadline.Add(-deadlineMargin * svc.fastest(now)); last.Before(apl.waitUntil) {
		apl.waitUntil = last
	}
}

// findRoom looks for the best upstream with room. It looks at the others only if the one
// that the pool prefers has none, or others wait.
func (pad *PlainAdmission) findRoom(svc *plainService, apl *PlainApplicant, now time.Time) plainRoom {
	wrk := apl.Work
	room := plainRoom{onlySuspended: true}
	var late *Node
	for nd := pad.cfg.Pool.Choose(wrk); nd != nil; nd = pad.chooseNext(&wrk, nd) {
		room.first = cmp.Or(room.first, nd)
		if nanos(now) < nd.suspendedUntil.Load() {
			continue
		}
		room.onlySuspended = false
		pnd := svc.node(nd, pad.cfg.Pool)
		hasRoom, isLate := room.add(pnd, nd, apl, now)
		switch {
		case hasRoom && isLate:
			late = cmp.Or(late, nd)
		case hasRoom && room.best == nil:
			room.best = nd
		}
		if room.best != nil && (len(svc.waiting) == 0 || apl.isWaiting && len(svc.waiting) == 1) {
			return room
		}
	}
	// A slow upstream is better than a refusal.
	if room.best == nil && room.rate == 0 {
		room.tokens, room.rate = room.lateTokens, room.lateRate
	}
	room.best = cmp.Or(room.best, late)
	return room
}

// chooseNext returns the upstream that the pool prefers beside those before.
func (pad *PlainAdmission) chooseNext(wrk *Work, nd *Node) *Node {
	wrk.Exclude = append(slices.Clip(wrk.Exclude), nd.ID)
	return pad.cfg.Pool.Choose(*wrk)
}

// hasTurn counts the waiting requests that come before one, and reports whether there is
// room for it beside them.
func (svc *plainService) hasTurn(apl *PlainApplicant, dcn *PlainDecision, room plainRoom) bool {
	for _, other := range svc.waiting {
		if other != apl && svc.compare(other, apl) < 0 {
			dcn.Ahead++
		}
	}
	return dcn.Ahead == 0 || dcn.Ahead < int(room.tokens)
}

// compare orders requests: the more urgent ones first, then callers that come back when
// they were told to, then those that can be on time, then those of teams that have started fewer, then those with less
// time left, then in the order of arrival.
func (svc *plainService) compare(aa, ab *PlainApplicant) int {
	return cmp.Or(
		cmp.Compare(aa.Priority, ab.Priority),
		-compareBool(aa.isPromised, ab.isPromised),
		compareBool(aa.isLate, ab.isLate),
		cmp.Compare(svc.usage[aa.Team], svc.usage[ab.Team]),
		aa.Deadline.Compare(ab.Deadline),
		cmp.Compare(aa.entered, ab.entered),
	)
}

func compareBool(aa, ab bool) int {
	switch {
	case aa == ab:
		return 0
	case aa:
		return 1
	default:
		return -1
	}
}

func (svc *plainService) start(apl *PlainApplicant, dcn PlainDecision, reason string, now time.Time) PlainDecision {
	svc.remove(apl)
	dcn.Verdict, dcn.Reason = Start, reason
	if dcn.Node == nil {
		return dcn
	}
	svc.decayUsage(now)
	svc.usage[apl.Team]++
	if pnd := svc.nodes[dcn.Node.ID]; pnd != nil {
		pnd.countStart(dcn.Node, now)
	}
	return dcn
}

func (svc *plainService) wait(apl *PlainApplicant, dcn PlainDecision) PlainDecision {
	if !apl.isWaiting {
		apl.isWaiting = true
		svc.waiting = append(svc.waiting, apl)
	}
	dcn.Verdict, dcn.Reason = Wait, reasonPlainFull
	dcn.Recheck = min(max(dcn.Expected, minPlainRecheck), maxPlainRecheck)
	return dcn
}

// refuse names a time at which there is expected to be room. It is kept for the caller
// if the caller can come back then.
func (svc *plainService) refuse(apl *PlainApplicant, dcn PlainDecision, reason string, rate float64, now time.Time) PlainDecision {
	svc.remove(apl)
	dcn.Verdict, dcn.Reason = Refuse, reason
	if rate <= 0 {
		rate = unknownPlainRate
	}
	interval := time.Duration(float64(time.Second) / rate)
	earliest := now.Add(min(max(dcn.Expected, interval), maxPlainRetryAfter))
	horizon := now.Add(scaled(apl.Deadline.Sub(now), retryHorizonShare))
	lastUseful := apl.UsefulUntil.Add(-usefulMargin * svc.fastest(now))
	at, ok := svc.promises.add(earliest, earlier(horizon, lastUseful), scaled(interval, 1/plainPromisedShare))
	if !ok {
		// The caller does not wait for a time beyond the horizon.
		at, _ = svc.latePromises.add(earliest, horizon, scaled(interval, 1/latePromisedShare))
	}
	dcn.RetryAfter = at.Sub(now)
	return dcn
}

func (svc *plainService) remove(apl *PlainApplicant) {
	if !apl.isWaiting {
		return
	}
	apl.isWaiting = false
	svc.waiting = slices.DeleteFunc(svc.waiting, func(other *PlainApplicant) bool { return other == apl })
}

// decayUsage halves the usage of all teams once for each teamUsageTime.
func (svc *plainService) decayUsage(now time.Time) {
	if now.Sub(svc.usedAt) < teamUsageTime {
		return
	}
	factor := math.Exp2(-float64(now.Sub(svc.usedAt)) / float64(teamUsageTime))
	svc.usedAt = now
	for team := range svc.usage {
		if svc.usage[team] *= factor; svc.usage[team] < minTeamUsage {
			delete(svc.usage, team)
		}
	}
}

// node returns the state of an upstream; that of an earlier run of it is forgotten.
func (svc *plainService) node(nd *Node, pl *Pool) *plainNode {
	pnd := svc.nodes[nd.ID]
	if pnd != nil && pnd.start.Equal(nd.StartTime) {
		return pnd
	}
	for id := range svc.nodes {
		if pl.Node(id) == nil {
			delete(svc.nodes, id)
		}
	}
	pnd = &plainNode{start: nd.StartTime}
	svc.nodes[nd.ID] = pnd
	return pnd
}

// isLate reports whether a response is not expected to be on time any more, after the
// usual queue of a contended upstream.
func (svc *plainService) isLate(apl *PlainApplicant, now time.Time) bool {
	return !apl.UsefulUntil.IsZero() && now.Add(scaled(svc.fastest(now), 1+queuePerSlot)).After(apl.UsefulUntil)
}

// isOverShare reports whether a team has started more than an equal share of the requests
// of all teams that have lately started any.
func (svc *plainService) isOverShare(team bwmodel.TeamID) bool {
	sum := 0.0
	for _, usage := range svc.usage {
		sum += usage
	}
	return svc.usage[team]*float64(len(svc.usage)) > (1+shareTolerance)*sum
}

func (svc *plainService) promisesFor(apl *PlainApplicant) *promiseLedger {
	if apl.isLate {
		return &svc.latePromises
	}
	return &svc.promises
}

// fastest returns the shortest service time of the upstreams.
func (svc *plainService) fastest(now time.Time) time.Duration {
	shortest := time.Duration(0)
	for _, pnd := range svc.nodes {
		if usual := pnd.service(now); shortest == 0 || usual < shortest {
			shortest = usual
		}
	}
	return shortest
}
