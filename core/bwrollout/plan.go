package bwrollout

import (
	"time"

	"bilberrywick/core/bwmodel"
)

// Plan computes the states of rollouts. It is a pure function of its inputs, so that any
// gateway can decide. The zero value uses the default judge.
type Plan struct {
	Judge Judge
	// Limits bound State.LoadShare; without them it stays 0.
	Limits Limits
}

// Inputs are what a decision is made from.
type Inputs struct {
	// Order is the order in the store; nil if there is none or it is not known.
	Order *Order
	// Serving is the version that serves before an order; it is used when a rollout
	// begins.
	Serving bwmodel.VersionID
	// Now is the time on the store's clock.
	Now time.Duration
	// Running is the time for which this gateway has known of the running rollout, on
	// its own clock. It matters if the store's clock was set back.
	Running time.Duration
	// Drain is the time in which nearly all requests in progress at the old version end;
	// 0 means unknown.
	Drain time.Duration
	// Old and New are the ready upstreams of both versions.
	Old, New Capacity
	// Gateways is the number of gateways that are announced; 0 means unknown.
	Gateways int
	// Sum has the reports of all gateways about the running rollout.
	Sum TallySum
}

// Capacity is what the ready upstreams of a version can take.
type Capacity struct {
	Ready int
	// Slots is the number of requests that they run at a time; 0 means unknown.
	Slots int
}

const (
	// lateOrder is the time by which an order may be seen late: the longest pause
	// between two reads of the table, and a call.
	lateOrder = 1500 * time.Millisecond
	// writeTime is the time in which a decided state is in the store: an interval of
	// the reports and two writes.
	writeTime = 750 * time.Millisecond
	// earliestFinish is the part of an order's duration before which nothing is decided
	// for lack of time, for orders that are shorter than the margin before their limit.
	earliestFinish = 0.5
	// defaultDrain is the time for Shifting if the usual time of requests is not known:
	// generations take about 5 s.
	defaultDrain = 5500 * time.Millisecond
	// minDrain lets reports show that the old upstreams are idle.
	minDrain = 1250 * time.Millisecond
	// maxDrainPart is the largest part of the time that Shifting gets.
	maxDrainPart = 0.55
	// maxLoadTest is the time for which the subset gets the load of an old upstream, and
	// maxLoadPart the largest part of Sampling.
	maxLoadTest = 6 * time.Second
	maxLoadPart = 0.4
	// minShift is the time in which reports of requests that were sent before Shifting
	// was known arrive.
	minShift = time.Second
	// capacityReserve is the factor by which the new version's slots must exceed the
	// requests in progress, unless they are as many as those of the old version.
	capacityReserve = 1.25
	// maxPast is the number of earlier rollouts that are kept.
	maxPast = 8
)

// Next returns the state that follows from the inputs. It returns an equal state if
// nothing changes. A final state only changes with a new order.
func (pln Plan) Next(st State, in Inputs) State {
	if in.Order != nil {
		if !st.Handles(*in.Order) {
			return pln.take(st, in)
		}
		if in.Order.Revision.Era > st.Handled.Era {
			// The store was restored, and its order is a known one.
			st.Handled = in.Order.Revision
		}
	}
	if !st.IsRunning() {
		return st
	}
	// The clock of a restored store may be set back.
	if back := st.BeganAt + in.Running - in.Now; in.Running > 0 && back > lateOrder {
		st = st.shift(-back)
	}
	return pln.advance(st, in)
}

// shift returns the state with all times moved.
func (st State) shift(by time.Duration) State {
	st.BeganAt += by
	st.DecidedAt += by
	st.LoadAt += by
	st.ShiftAt += by
	st.FinishAt += by
	return st
}

// take returns the state after a new order.
func (pln Plan) take(st State, in Inputs) State {
	ord := *in.Order
	switch {
	case st.IsRunning() && ord.To == st.From:
		st.Handled = ord.Revision
		return st.decide(RolledBack, ReasonOrderedBack, in.Now)
	case st.Phase == Completed && ord.To == st.Order.To:
		st.Order, st.Handled = ord, ord.Revision
		st.BeganAt = in.Now
		return st.decide(Completed, ReasonAlready, in.Now)
	}
	next := State{Order: ord, Handled: ord.Revision, From: in.Serving, Phase: Sampling, Reason: ReasonOrdered, BeganAt: in.Now, DecidedAt: in.Now}
	if st.Phase != NoRollout {
		next.From = st.serving()
		next.Past = append(append([]PastRollout(nil), st.Past...), PastRollout{To: st.Order.To, Revision: st.Order.Revision, Phase: st.Phase})
		next.Past = next.Past[max(len(next.Past)-maxPast, 0):]
	}
	if ord.To == next.From {
		return next.decide(Completed, ReasonAlready, in.Now)
	}
	drain := in.Drain
	if drain == 0 {
		drain = defaultDrain
	}
	finish := max(ord.Duration-lateOrder-writeTime, time.Duration(earliestFinish*float64(ord.Duration)))
	shift := finish - min(max(drain, minDrain), time.Duration(maxDrainPart*float64(finish)))
	next.FinishAt = in.Now + finish
	next.ShiftAt = in.Now + shift
	next.LoadAt = next.ShiftAt - min(maxLoadTest, time.Duration(maxLoadPart*float64(shift)))
	return next
}

// serving returns the version that serves the callers after a state.
func (st State) serving() bwmodel.VersionID {
	if st.Phase == Completed {
		return st.Order.To
	}
	return st.From
}

// decide returns the state with another phase.
func (st State) decide(ph Phase, reason Reason, now time.Duration) State {
	st.Phase, st.Reason, st.DecidedAt = ph, reason, now
	return st
}

// advance returns the state of a running rollout after the inputs.
func (pln Plan) advance(st State, in Inputs) State {
	vd := pln.Judge.Version(in.Sum.Routes, in.Sum.Moments)
	if vd.Outcome == Bad {
		st.BadRoute = vd.Route
		return st.decide(RolledBack, ReasonBad, in.Now)
	}
	now := in.Now
	serves := in.hasServed()
	if now >= st.FinishAt {
		switch {
		case !serves:
			return st.decide(RolledBack, ReasonNotServing, in.Now)
		case !in.hasCapacity():
			return st.decide(RolledBack, ReasonNoCapacity, in.Now)
		case vd.ProbablyBad():
			st.BadRoute = vd.Route
			return st.decide(RolledBack, ReasonProbablyBad, in.Now)
		}
		return st.decide(Completed, ReasonTimeLimit, in.Now)
	}
	switch st.Phase {
	case Sampling:
		// More samples of a suspect version are worth more than the time for old streams.
		shift := st.ShiftAt
		if vd.IsSuspect() {
			shift = max(shift, st.FinishAt-minShift)
		}
		if now >= shift && serves && in.hasCapacity() && !vd.ProbablyBad() {
			return st.decide(Shifting, ReasonSampled, in.Now)
		}
	case Shifting:
		if vd.ProbablyBad() {
			// All requests are exposed.
			st.BadRoute = vd.Route
			return st.decide(RolledBack, ReasonProbablyBad, in.Now)
		}
		// A gateway that does not follow Shifting yet may send more requests to old
		// upstreams.
		idle := in.Sum.OldInProgress == 0 && in.Gateways > 0 && in.Sum.Shifting >= in.Gateways
		if idle && now >= st.DecidedAt+minShift && in.hasCapacity() {
			return st.decide(Completed, ReasonDrained, in.Now)
		}
	}
	if st.LoadShare == 0 && st.Phase == Sampling && now >= st.LoadAt-grantTime && now < st.ShiftAt {
		st.LoadShare = pln.loadShare(st, in, now)
	}
	if differ(st.Usual, in.Sum.Usual) {
		st.Usual = in.Sum.Usual
	}
	return st
}

const (
	// grantTime is the time before the load test in which gateways read its share.
	grantTime = 2 * time.Second
	// grantPart is the part of the exposure bound that is spent by the end of the load
	// test, and grantGrowth the factor by which requests may grow during it. If they grow
	// more, the bound grows too; it holds up to a factor of three.
	grantPart   = 0.8
	grantGrowth = 1.25
)

// loadShare returns the share of the requests that a large fleet may send to the subset
// during the load test.
func (pln Plan) loadShare(st State, in Inputs, now time.Duration) float64 {
	elapsed := (now - st.BeganAt).Seconds()
	if in.Gateways < largeFleet || !pln.Limits.AreSet() || elapsed <= 0 {
		return 0
	}
	rate := float64(in.Sum.Requests) / elapsed
	left := grantPart*(pln.Limits.Share*float64(in.Sum.Requests)+pln.Limits.Slack) - float64(in.Sum.Exposed)
	left -= pln.Limits.Share * rate * max(st.LoadAt-now, 0).Seconds()
	expected := grantGrowth * rate * (st.ShiftAt - max(st.LoadAt, now)).Seconds()
	if left <= 0 || expected <= 0 {
		return 0
	}
	return min(left/expected, subsetShare(pln.Limits, in.Old.Ready, in.New.Ready))
}

// usualChange is the factor by which a usual time must change to be written: a half of
// SlowFactor.
const usualChange = SlowFactor / 2

// differ reports whether current has a route that known has not, or another time.
func differ(known, current map[string]time.Duration) bool {
	for route, usual := range current {
		old := float64(known[route])
		if float64(usual) > old*usualChange || float64(usual)*usualChange < old {
			return true
		}
	}
	return false
}

// hasServed reports whether the new version has responded without a failure.
func (in Inputs) hasServed() bool {
	for _, cnt := range in.Sum.Routes {
		if cnt.New.Responses > cnt.New.Failed {
			return true
		}
	}
	return false
}

// hasCapacity reports whether the ready upstreams of the new version can take the load.
func (in Inputs) hasCapacity() bool {
	if in.New.Ready == 0 {
		return false
	}
	if in.New.Slots == 0 || in.Old.Slots == 0 {
		return 2*in.New.Ready >= in.Old.Ready
	}
	needed := capacityReserve * float64(in.Sum.OldInProgress+in.Sum.NewInProgress)
	return float64(in.New.Slots) >= min(needed, float64(in.Old.Slots))
}
