package bwrollout

import (
	"time"

	"bilberrywick/core/bwmodel"
)

// Order asks to move the traffic of a service to another version.
type Order struct {
	Service bwmodel.ServiceID
	To      bwmodel.VersionID
	// Duration is the time from the order until its limit.
	Duration time.Duration
	// Revision is that of the order's row in the store.
	Revision Revision
}

// Revision is a version of a row in the store. Versions are compared within an era only.
type Revision struct {
	Era, Version uint64
}

// Phase is the progress of a rollout.
type Phase int

// Phases of a rollout. The zero value means that there is no rollout.
const (
	NoRollout Phase = iota
	// Sampling sends a small share of the requests to some new upstreams.
	Sampling
	// Shifting sends all new requests to the new version as far as it has capacity.
	Shifting
	// Completed means that the old version may be stopped.
	Completed
	// RolledBack means that the new version gets no more requests.
	RolledBack
)

// IsFinal reports whether the phase never changes again for the same order.
func (ph Phase) IsFinal() bool { return ph == Completed || ph == RolledBack }

// String returns the phase as it is logged.
func (ph Phase) String() string {
	switch ph {
	case Sampling:
		return "Sampling"
	case Shifting:
		return "Shifting"
	case Completed:
		return "Completed"
	case RolledBack:
		return "RolledBack"
	default:
		return "None"
	}
}

// Reason says why a rollout has its phase.
type Reason string

// Reasons of phases. They are part of the stored state and of log lines.
const (
	ReasonOrdered     Reason = "Ordered"
	ReasonSampled     Reason = "Sampled"
	ReasonDrained     Reason = "Drained"
	ReasonTimeLimit   Reason = "TimeLimit"
	ReasonBad         Reason = "Bad"
	ReasonProbablyBad Reason = "ProbablyBad"
	ReasonNotServing  Reason = "NotServing"
	ReasonNoCapacity  Reason = "NoCapacity"
	ReasonOrderedBack Reason = "OrderedBack"
	ReasonAlready     Reason = "AlreadyCompleted"
)

// State is what the gateways keep in the store about the rollouts of a service.
type State struct {
	// Order is the order of the current or last rollout.
	Order Order
	// Handled is the revision of the last order row that the state takes into account.
	// It differs from that of Order after an order back to the old version and after a
	// restore of the store.
	Handled Revision
	// From is the version that served before the rollout.
	From   bwmodel.VersionID
	Phase  Phase
	Reason Reason
	// BadRoute is the route that a rollout was rolled back for, if any.
	BadRoute string
	// BeganAt, DecidedAt and the times below are on the store's clock. DecidedAt is the
	// time of the last change of Phase.
	BeganAt, DecidedAt time.Duration
	// LoadAt is the time from which the sampled upstreams get the load of an old one,
	// ShiftAt the earliest time of Shifting and FinishAt the latest one of a decision.
	LoadAt, ShiftAt, FinishAt time.Duration
	// LoadShare is the share of the requests that all gateways of a large fleet send to
	// the subset from LoadAt until ShiftAt. Most of them have no request in that time, so
	// that what each may spend by itself would not give the subset its load.
	LoadShare float64
	// Usual has the usual response time of the old version on each route, as all gateways
	// have observed it.
	Usual map[string]time.Duration
	// Past has the earlier rollouts of the service, oldest first.
	Past []PastRollout
}

// PastRollout is an earlier rollout of a service.
type PastRollout struct {
	To       bwmodel.VersionID
	Revision Revision
	// Phase is the one in which the rollout ended or was replaced.
	Phase Phase
}

// IsRunning reports whether a rollout is neither completed nor rolled back.
func (st State) IsRunning() bool { return st.Phase == Sampling || st.Phase == Shifting }

const (
	// warmUpTime is the time in which a new upstream may be slow after its start or its
	// first request.
	warmUpTime = 2 * time.Second
	// firstRequestTime is the time in which an upstream gets its first request once it
	// may: the largest age of a gateway's view.
	firstRequestTime = 3 * time.Second
)

// IsWarm reports whether the time of a response of a new upstream counts. UsedFor is the
// time since this gateway's first request to the upstream, listedFor the time since it was
// listed. A gateway with few requests relies on those of the others: they are sent to the
// subset from the begin of Sampling on, to the rest from that of Shifting on.
func (st State) IsWarm(inSubset bool, usedFor, listedFor, now time.Duration) bool {
	if usedFor >= warmUpTime {
		return true
	}
	since := st.BeganAt
	if !inSubset {
		if st.Phase != Shifting {
			return false
		}
		since = st.DecidedAt
	}
	return min(listedFor, now-since) >= warmUpTime+firstRequestTime
}

// Handles reports whether the state takes an order into account, so that it is not a new
// one. A restored store has the rows of a copy with another era: the same order is not
// new then, nor is one before it.
func (st State) Handles(ord Order) bool {
	if st.Phase == NoRollout {
		return false
	}
	if ord.Revision.Era == st.Handled.Era {
		return ord.Revision.Version <= st.Handled.Version
	}
	if ord.Revision.Era < st.Handled.Era || ord.To == st.Order.To {
		return true
	}
	for _, pst := range st.Past {
		if pst.To == ord.To && pst.Revision.Version == ord.Revision.Version {
			return true
		}
	}
	return false
}

// Supersedes reports whether the state replaces another one of the same service, which
// another gateway or a restored store has.
func (st State) Supersedes(other State) bool {
	if st.Handled.Era != other.Handled.Era {
		return st.Handled.Era > other.Handled.Era
	}
	if st.Handled.Version != other.Handled.Version {
		return st.Handled.Version > other.Handled.Version
	}
	if st.Phase.IsFinal() || other.Phase.IsFinal() {
		return !other.Phase.IsFinal()
	}
	return st.Phase > other.Phase
}
