package bwrollout

import (
	"cmp"
	"slices"
	"time"

	"bilberrywick/core/bwmodel"
)

// Counts are responses of one version on one route.
type Counts struct {
	Responses uint64
	// Failed counts failures of the upstream.
	Failed uint64
	// Timed counts the responses whose time was compared with the usual one, Slow those
	// of them that were slow. Failures are not timed.
	Timed, Slow uint64
}

// Record counts a response. Of one that is not a failure, timed and slow say whether its
// time was compared with the usual one, and whether it was slow.
func (cnt *Counts) Record(failed, timed, slow bool) {
	cnt.Responses++
	switch {
	case failed:
		cnt.Failed++
	case timed && slow:
		cnt.Timed++
		cnt.Slow++
	case timed:
		cnt.Timed++
	}
}

// Add returns the sum of both counts.
func (cnt Counts) Add(other Counts) Counts {
	return Counts{
		Responses: cnt.Responses + other.Responses, Failed: cnt.Failed + other.Failed,
		Timed: cnt.Timed + other.Timed, Slow: cnt.Slow + other.Slow,
	}
}

// Bad returns the number of bad responses.
func (cnt Counts) Bad() uint64 { return cnt.Failed + cnt.Slow }

// RouteCounts are the responses of both versions on one route since the order.
type RouteCounts struct {
	Old, New Counts
}

// Moment has the timed responses of both versions on all routes in a part of a rollout.
// The usual time of a load peak is known late, and then responses of both versions are
// slow; more of the new version's responses may fall into it than of the old one's.
type Moment struct {
	OldTimed, OldSlow, NewTimed uint64
}

const (
	// momentTime is the length of a moment: several old responses at usual rates.
	momentTime = time.Second
	// maxMoments is the number of moments of an order, so that a report fits a datagram.
	maxMoments = 60
)

// MomentAt returns the number of the moment at a time on the store's clock.
func (st State) MomentAt(now time.Duration) int {
	length := max(momentTime, st.Order.Duration/maxMoments)
	return int(min(max(now-st.BeganAt, 0)/length, maxMoments))
}

// Record counts a timed response of one of the versions.
func (mmt *Moment) Record(isNew, slow bool) {
	switch {
	case isNew:
		mmt.NewTimed++
	case slow:
		mmt.OldTimed++
		mmt.OldSlow++
	default:
		mmt.OldTimed++
	}
}

// Report is what a gateway tells those that decide. Its counts are cumulative since the
// order or the gateway's start, so that a lost report does no harm.
type Report struct {
	Gateway bwmodel.MemberID
	// Start distinguishes the runs of the gateway.
	Start bwmodel.Incarnation
	// Number grows with each report of a run.
	Number uint64
	// To and Revision name the order.
	To       bwmodel.VersionID
	Revision Revision
	// Phase is that of the state that the gateway follows.
	Phase Phase
	// Requests counts the callers' requests for the service, Exposed those of them that
	// were sent to the new version.
	Requests, Exposed uint64
	// OldInProgress is the number of requests in progress at old upstreams,
	// NewInProgress that at new ones.
	OldInProgress, NewInProgress int
	Routes                       map[string]RouteCounts
	// Moments has the timed responses by State.MomentAt.
	Moments map[int]Moment
	// Usual has the usual response times on the old version, as Baseline.Usual returns
	// them. The times that all gateways have observed together are kept in the state, for
	// gateways with few requests.
	Usual map[string]UsualTime
}

// UsualTime is a median of response times and the number that it was taken from.
type UsualTime struct {
	Median  time.Duration
	Samples int
}

// Tally sums the newest reports of all gateways about one order. The zero value is empty.
type Tally struct {
	to       bwmodel.VersionID
	revision Revision
	reports  map[reportKey]receivedReport
	starts   map[bwmodel.MemberID]bwmodel.Incarnation
}

type reportKey struct {
	gateway bwmodel.MemberID
	start   bwmodel.Incarnation
}

type receivedReport struct {
	Report
	at time.Time
}

// Begin drops the reports about other orders than the given one, which is State.Order of
// a running rollout or the order that a state is not yet known for.
func (tly *Tally) Begin(ord Order) {
	if tly.reports != nil && tly.to == ord.To && tly.revision == ord.Revision {
		return
	}
	*tly = Tally{
		to: ord.To, revision: ord.Revision,
		reports: make(map[reportKey]receivedReport), starts: make(map[bwmodel.MemberID]bwmodel.Incarnation),
	}
}

// Apply records a report, and reports whether it is about the tally's order and newer
// than the last one of its gateway's run. The counts of earlier runs of a gateway stay.
func (tly *Tally) Apply(rep Report, now time.Time) bool {
	if tly.reports == nil || rep.To != tly.to || rep.Revision != tly.revision {
		return false
	}
	key := reportKey{rep.Gateway, rep.Start}
	if old, ok := tly.reports[key]; ok && rep.Number <= old.Number {
		return false
	}
	tly.reports[key] = receivedReport{rep, now}
	tly.starts[rep.Gateway] = max(tly.starts[rep.Gateway], rep.Start)
	return true
}

// TallySum is the sum of the reports about an order.
type TallySum struct {
	// Gateways is the number of gateways whose current run has sent a recent report.
	Gateways int
	// Shifting is the number of those that follow a state in Shifting.
	Shifting                     int
	Requests, Exposed            uint64
	OldInProgress, NewInProgress int
	Routes                       map[string]RouteCounts
	Moments                      map[int]Moment
	// Usual has the weighted medians of the usual times that recent reports have.
	Usual map[string]time.Duration
}

// Sum returns the sum of all reports. Requests in progress are those of current runs with
// a report that is no older than maxAge.
func (tly *Tally) Sum(now time.Time, maxAge time.Duration) TallySum {
	sum := TallySum{Routes: make(map[string]RouteCounts), Moments: make(map[int]Moment)}
	usual := make(map[string][]UsualTime)
	for key, rep := range tly.reports {
		sum.Requests += rep.Requests
		sum.Exposed += rep.Exposed
		for route, cnt := range rep.Routes {
			old := sum.Routes[route]
			sum.Routes[route] = RouteCounts{Old: old.Old.Add(cnt.Old), New: old.New.Add(cnt.New)}
		}
		for ix, mmt := range rep.Moments {
			old := sum.Moments[ix]
			sum.Moments[ix] = Moment{old.OldTimed + mmt.OldTimed, old.OldSlow + mmt.OldSlow, old.NewTimed + mmt.NewTimed}
		}
		if key.start == tly.starts[key.gateway] && now.Sub(rep.at) <= maxAge {
			sum.Gateways++
			if rep.Phase == Shifting {
				sum.Shifting++
			}
			sum.OldInProgress += rep.OldInProgress
			sum.NewInProgress += rep.NewInProgress
			for route, usl := range rep.Usual {
				usual[route] = append(usual[route], usl)
			}
		}
	}
	sum.Usual = make(map[string]time.Duration, len(usual))
	for route, usls := range usual {
		sum.Usual[route] = weightedMedian(usls)
	}
	return sum
}

// weightedMedian returns the median of times, each weighted by its number of samples.
func weightedMedian(usls []UsualTime) time.Duration {
	slices.SortFunc(usls, func(ua, ub UsualTime) int { return cmp.Compare(ua.Median, ub.Median) })
	total := 0
	for _, usl := range usls {
		total += usl.Samples
	}
	before := 0
	for _, usl := range usls {
		before += usl.Samples
		if 2*before >= total {
			return usl.Median
		}
	}
	return 0
}
