package bwgateway

import (
	"errors"
	"net/http"
	"time"

	"bilberrywick/core/bwforward"
)

// callVersions is what a caller's request may use of a service's versions.
type callVersions struct {
	// sampled is the rule of a request that was taken for the new version, or nil.
	sampled *bwforward.VersionRule
	// considered is set once it was decided whether the request is taken.
	considered bool
}

// countForRollout counts the request for the rollout of its service, if there is one.
func (cl *call) countForRollout() {
	if rol := cl.gw.cfg.Rollouts; rol != nil {
		if trf := rol.rulesOf(cl.match.Service.Name).traffic; trf != nil {
			trf.exposure.CountRequest(cl.gw.cfg.Now())
		}
	}
}

// versionRule returns the rule of the request's next attempt, or nil if versions are
// ignored. Only first attempts go to a version under test: a failure there must not
// expose the request again.
func (cl *call) versionRule() *bwforward.VersionRule {
	rol := cl.gw.cfg.Rollouts
	if rol == nil {
		return nil
	}
	rules := rol.rulesOf(cl.match.Service.Name)
	if rules.sampled == nil || cl.attempts > 0 || cl.info.LastEventID != "" {
		return rules.established
	}
	if !cl.versions.considered {
		cl.versions.considered = true
		if rules.traffic.exposure.Take(cl.match.Route.Name, cl.gw.cfg.Now()) {
			cl.versions.sampled = rules.sampled
		}
	}
	if cl.versions.sampled == nil {
		return rules.established
	}
	// The subset may have changed since.
	return rules.sampled
}

// abandonSample makes a request that was taken for the new version an ordinary one, since
// no upstream of the subset can take it, and reports whether it was taken.
func (cl *call) abandonSample() bool {
	taken := cl.versions.sampled != nil && cl.attempts == 0
	cl.versions.sampled = nil
	return taken
}

// copyRule returns the rule of the engines that hold copies of the request's KV cache.
func (cl *call) copyRule() *bwforward.VersionRule {
	rol := cl.gw.cfg.Rollouts
	if rol == nil {
		return nil
	}
	return rol.rulesOf(cl.match.Service.Name).copies
}

// copyWork returns the work for which an engine with a copy is chosen.
func (cl *call) copyWork() bwforward.Work {
	wrk := cl.work()
	wrk.Versions = cl.copyRule()
	return wrk
}

// observeForRollout counts a response or a failure of an upstream, on a route or a part of
// its responses.
func (cl *call) observeForRollout(nd *bwforward.Node, part string, took time.Duration, failed bool) {
	rol := cl.gw.cfg.Rollouts
	if rol == nil || cl.callerGone() {
		return
	}
	if trf := rol.rulesOf(cl.match.Service.Name).traffic; trf != nil {
		trf.observe(cl.match.Route.Name+part, nd.Upstream, took, failed, cl.gw.cfg.Now())
	}
}

// isUpstreamFailure reports whether an error of an attempt is a failure of the upstream's
// program. Connections that can't be opened and responses of others are those of VMs and
// the network, refusals those of load.
func isUpstreamFailure(err error) bool {
	for _, other := range []error{ErrNotSent, errNotRun, ErrUnverifiedResponse, errBodiesInHand, errQuarantined, errCallerWrite} {
		if errors.Is(err, other) {
			return false
		}
	}
	return true
}

// observePlain counts the outcome of a plain request at an upstream, sent at sentAt.
func (cl *call) observePlain(nd *bwforward.Node, rsp *response, err error, sentAt time.Time) {
	if err != nil && !isUpstreamFailure(err) {
		return
	}
	failed := err != nil || rsp.status >= http.StatusInternalServerError
	cl.observeForRollout(nd, "", cl.gw.cfg.Now().Sub(sentAt), failed)
}

const (
	// startPart and restPart follow the route's name in the counts of streams, whose first
	// events and later ones are judged apart: the end of a stream comes seconds later.
	startPart = " start"
	restPart  = " rest"
	// usualOverhead and usualTokenTime are the expected time of a stream's first event,
	// by which prompts of different lengths are compared. Both are those of current
	// deployments; other values only make the times of prompts differ more.
	usualOverhead  = 50 * time.Millisecond
	usualTokenTime = 125 * time.Microsecond
	// comparedPrompt is the length to which the times of all prompts are scaled.
	comparedPrompt = 1000
	// minGaps is the number of times between events whose mean is compared.
	minGaps = 4
)

// countStart counts the first event of an attempt.
func (sat *streamAttempt) countStart(now time.Time) {
	expected := usualOverhead + time.Duration(sat.placed.PromptTokens)*usualTokenTime
	factor := float64(usualOverhead+comparedPrompt*usualTokenTime) / float64(expected)
	sat.observeForRollout(sat.node, startPart, scale(now.Sub(sat.sentAt), factor), false)
}

// countEnd counts the end of an attempt.
func (sat *streamAttempt) countEnd(err error) {
	switch {
	case err != nil && !isUpstreamFailure(err):
	case err != nil && sat.eventCount == 0:
		// A status that says that the request is wrong is no failure.
		if sat.lastFailure == nil || sat.lastFailure.status >= http.StatusInternalServerError {
			sat.observeForRollout(sat.node, startPart, 0, true)
		}
	case err != nil:
		sat.observeForRollout(sat.node, restPart, 0, true)
	case sat.eventCount > minGaps:
		sat.observeForRollout(sat.node, restPart, sat.lastReceived.Sub(sat.firstEventAt)/time.Duration(sat.eventCount-1), false)
	}
}
