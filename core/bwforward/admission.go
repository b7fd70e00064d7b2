package bwforward

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"bilberrywick/core/bwmodel"
)

// Admission decides which new streams of this process start, wait or are refused.
//
// The load pattern it answers is a crest above what the engines bear. Started
// anyway, every prompt delays the others until none is on time, the engines'
// memory runs out and what they have processed is lost. A stream starts here only
// if an engine has room for it and is expected to send its first event in time;
// others are refused at once, so that the engines work for those that can be
// served, and are told when to come back. It is safe for concurrent use.
type Admission struct {
	cfg AdmissionConfig

	mu sync.Mutex
	// waiting has the streams of each service that wait for room, in no order.
	waiting map[bwmodel.ServiceID][]*Applicant
	// running counts the admitted streams of each team.
	running map[bwmodel.TeamID]int
	claims  map[bwmodel.ServiceID]*claims
	// promised has the ledger of each service.
	promised map[bwmodel.ServiceID]*promises
	entered  uint64
}

// AdmissionConfig configures an Admission.
type AdmissionConfig struct {
	Pool *Pool
	// Now returns the current time; nil means time.Now.
	Now func() time.Time
	// Random returns a random time in [0, limit); nil means rand.N.
	Random func(limit time.Duration) time.Duration
}

// Applicant is a new stream. Its fields must not change after Admission.Enter, except
// Work.SkipLimited.
type Applicant struct {
	Work     Work
	Team     bwmodel.TeamID
	Priority int
	// UsefulUntil is when the first event must come to have its full value.
	UsefulUntil time.Time
	// GiveUpAt is when the stream stops waiting for room.
	GiveUpAt time.Time
	// Deadline is when the caller's time ends; zero means that it is not known.
	Deadline time.Time
	// Age is the time since the caller's first attempt.
	Age time.Duration

	entered uint64
	// waitsUntil is GiveUpAt, or later for a caller that has come back.
	waitsUntil time.Time
}

// Verdict is what happens to a stream.
type Verdict int

// Verdicts.
const (
	// Start means that the stream starts at Decision.Node.
	Start Verdict = iota + 1
	// Wait means that the decision must be asked for again.
	Wait
	// Refuse means that the stream won't run.
	Refuse
)

// Decision is the result of Admission.Decide, with what decided it.
type Decision struct {
	Verdict  Verdict
	Node     *Node
	Estimate Estimate
	// Ahead is the number of waiting streams that come first.
	Ahead int
	// RetryAfter is the time after which the caller of a refused stream can expect to
	// be served.
	RetryAfter time.Duration
	Reason     string
}

const (
	// firstEventMargin is the factor by which the first event may take longer than
	// expected: other streams' tokens come between the chunks of a prompt, and VMs are
	// disturbed for moments.
	firstEventMargin = 2.0
	// idleMargin is the factor of its own prefill within which an engine that is idle
	// is expected to send a stream's first event.
	idleMargin = 1.2
	// overShareFactor lengthens the expected time for teams with more running streams
	// than others, so that a backlog refuses them first and leaves room for the others.
	overShareFactor = 1.6
	// shareTolerance is the part by which a team may exceed its share.
	shareTolerance = 0.2
	// maxApplicants bounds the streams that wait for room at a service.
	maxApplicants = 256
	// minRetryAfter is roughly the time until a crashed engine is replaced or a full one
	// has completed part of its work.
	minRetryAfter = 300 * time.Millisecond
	// retrySpread is the largest part by which the time is prolonged at random, so that
	// refused callers don't come back together.
	retrySpread = 0.5
)

// Reasons of decisions.
const (
	reasonStarts  = "an engine has room"
	reasonBehind  = "others come first"
	reasonNoRoom  = "no engine has room"
	reasonBacklog = "no engine can send the first event in time"
	reasonCrowd   = "too many streams wait"
	reasonLimits  = "engines are at their limits"
	// reasonContended means that other gateways are likely to take the same room.
	reasonContended = "other gateways may take the room"
)

// NewAdmission returns an Admission without streams.
func NewAdmission(cfg AdmissionConfig) *Admission {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.Random == nil {
		cfg.Random = rand.N[time.Duration]
	}
	return &Admission{cfg: cfg, waiting: make(map[bwmodel.ServiceID][]*Applicant), running: make(map[bwmodel.TeamID]int), claims: make(map[bwmodel.ServiceID]*claims), promised: make(map[bwmodel.ServiceID]*promises)}
}

// Enter adds a stream, for which Decide can then be called until Leave.
func (adm *Admission) Enter(apl *Applicant) {
	adm.mu.Lock()
	defer adm.mu.Unlock()
	adm.entered++
	apl.entered = adm.entered
	apl.waitsUntil = apl.GiveUpAt
	if now := adm.cfg.Now(); apl.Age > 0 {
		patience := scaled(apl.GiveUpAt.Sub(now), returnPatience)
		apl.waitsUntil = later(apl.GiveUpAt, earlier(now.Add(patience), apl.UsefulUntil))
	}
	adm.waiting[apl.Work.Service.Name] = append(adm.waiting[apl.Work.Service.Name], apl)
}

// Leave removes a stream that does not wait any more.
func (adm *Admission) Leave(apl *Applicant) {
	adm.mu.Lock()
	defer adm.mu.Unlock()
	svc := apl.Work.Service.Name
	adm.waiting[svc] = slices.DeleteFunc(adm.waiting[svc], func(other *Applicant) bool { return other == apl })
}

// Begin counts a running stream of a team until End.
func (adm *Admission) Begin(team bwmodel.TeamID) {
	adm.mu.Lock()
	defer adm.mu.Unlock()
	adm.running[team]++
}

// End ends what Begin began.
func (adm *Admission) End(team bwmodel.TeamID) {
	adm.mu.Lock()
	defer adm.mu.Unlock()
	if adm.running[team]--; adm.running[team] <= 0 {
		delete(adm.running, team)
	}
}

// Decide returns what happens to a stream now.
func (adm *Admission) Decide(apl *Applicant) Decision {
	now := adm.cfg.Now()
	ahead := adm.ahead(apl, now)
	if ahead >= maxApplicants {
		return adm.refusal(Decision{Ahead: ahead, Reason: reasonCrowd}, apl, expectedStreamTime/2, now)
	}
	if ahead > 0 {
		return adm.waitOrRefuse(Decision{Ahead: ahead, Reason: reasonBehind}, apl, now)
	}
	nd := adm.cfg.Pool.Choose(apl.Work)
	if nd == nil {
		if until, ok := adm.cfg.Pool.BlockedUntil(apl.Work.Service.Name); ok && until.After(apl.GiveUpAt) {
			return adm.refusal(Decision{Reason: reasonLimits}, apl, until.Sub(now), now)
		}
		return adm.waitOrRefuse(Decision{Reason: reasonNoRoom}, apl, now)
	}
	dcn := Decision{Node: nd, Estimate: adm.cfg.Pool.Estimate(nd, apl.Work)}
	expected := scaled(dcn.Estimate.First, firstEventMargin)
	share := adm.share(apl.Team, now)
	switch {
	case apl.Age > 0:
		// The start was promised.
		expected, share = dcn.Estimate.First, 0
	case share > 1+shareTolerance:
		expected = scaled(expected, overShareFactor)
	}
	hasBacklog := dcn.Estimate.First > scaled(dcn.Estimate.Prefill, idleMargin)
	switch {
	case !dcn.Estimate.HasRoom || apl.Age == 0 && adm.isReserved(nd, apl, now):
		dcn.Reason = reasonNoRoom
		return adm.waitOrRefuse(dcn, apl, now)
	case hasBacklog && now.Add(expected).After(apl.UsefulUntil):
		if apl.Age > 0 {
			// The start was promised, and another engine may have less of a backlog.
			dcn.Reason = reasonBacklog
			return adm.waitOrRefuse(dcn, apl, now)
		}
		// The backlog shrinks no faster than the time that is left.
		dcn.Reason = reasonBacklog
		return adm.refusal(dcn, apl, dcn.Estimate.First-dcn.Estimate.Prefill, now)
	}
	if dcn.Estimate.isScarce && !adm.claim(apl.Work.Service.Name, share, now) {
		dcn.Reason = reasonContended
		return adm.waitOrRefuse(dcn, apl, now)
	}
	// Without a backlog a stream that will be late only takes what is left over.
	dcn.Verdict, dcn.Reason = Start, reasonStarts
	adm.recordStart(apl, now)
	return dcn
}

func (adm *Admission) waitOrRefuse(dcn Decision, apl *Applicant, now time.Time) Decision {
	if now.Before(apl.waitsUntil) {
		dcn.Verdict = Wait
		return dcn
	}
	return adm.refusal(dcn, apl, 0, now)
}

func (adm *Admission) refusal(dcn Decision, apl *Applicant, retryAfter time.Duration, now time.Time) Decision {
	dcn.Verdict = Refuse
	if dcn.Reason == reasonLimits {
		// The time is that of a permit, not of room at an engine.
		dcn.RetryAfter = spreadRetryAfter(retryAfter, adm.cfg.Random)
		return dcn
	}
	dcn.RetryAfter = adm.promise(apl, retryAfter, dcn.Reason == reasonBacklog, now)
	return dcn
}

// SpreadRetryAfter returns a time of at least a minimum, prolonged by a random
// part.
func SpreadRetryAfter(retryAfter time.Duration) time.Duration {
	return spreadRetryAfter(retryAfter, rand.N[time.Duration])
}

func spreadRetryAfter(retryAfter time.Duration, random func(time.Duration) time.Duration) time.Duration {
	retryAfter = max(retryAfter, minRetryAfter)
	return retryAfter + random(scaled(retryAfter, retrySpread))
}

// share returns the streams that run for a team on all gateways, in relation to an equal
// share of all streams. Teams without streams have none.
func (adm *Admission) share(team bwmodel.TeamID, now time.Time) float64 {
	adm.mu.Lock()
	defer adm.mu.Unlock()
	streams, sum, others := adm.cfg.Pool.teams.running(team, adm.running, now)
	if sum == 0 {
		return 0
	}
	return float64(streams) * float64(others+1) / float64(sum)
}

// ahead returns the number of waiting streams that come before one.
func (adm *Admission) ahead(apl *Applicant, now time.Time) int {
	adm.mu.Lock()
	defer adm.mu.Unlock()
	count := 0
	for _, other := range adm.waiting[apl.Work.Service.Name] {
		if other != apl && adm.compare(other, apl, now) < 0 {
			count++
		}
	}
	return count
}

// compare orders streams: those that can be on time, then the more urgent ones,
// then those of teams with fewer running streams, then callers that have come
// back, then in the order of arrival.
func (adm *Admission) compare(aa, ab *Applicant, now time.Time) int {
	return cmp.Or(
		cmp.Compare(adm.lateness(aa, now), adm.lateness(ab, now)),
		cmp.Compare(aa.Priority, ab.Priority),
		cmp.Compare(newness(aa), newness(ab)),
		cmp.Compare(adm.running[aa.Team], adm.running[ab.Team]),
		cmp.Compare(ab.Age, aa.Age),
		cmp.Compare(aa.entered, ab.entered),
	)
}

// lateness is 1 if an engine without other prompts would send the first event late.
func (adm *Admission) lateness(apl *Applicant, now time.Time) int {
	prefill := adm.cfg.Pool.PrefillTime(apl.Work.Service.Name, apl.Work.PromptTokens)
	if now.Add(prefill).After(apl.UsefulUntil) {
		return 1
	}
	return 0
}

// newness is 0 for callers that have come back, whose start was promised.
func newness(apl *Applicant) int {
	if apl.Age > 0 {
		return 0
	}
	return 1
}

func scaled(dur time.Duration, factor float64) time.Duration {
	return time.Duration(float64(dur) * factor)
}
