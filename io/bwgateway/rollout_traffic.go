package bwgateway

import (
	"maps"
	"slices"
	"sync"
	"time"

	"bilberrywick/core/bwforward"
	"bilberrywick/core/bwmodel"
	"bilberrywick/core/bwrollout"
)

// rolloutTraffic counts the requests and responses of a service since an order. It is
// safe for concurrent use.
type rolloutTraffic struct {
	order    bwrollout.Order
	exposure *bwrollout.Exposure
	metrics  *Metrics

	mu     sync.Mutex
	counts map[string]bwrollout.RouteCounts
	// moments has the timed responses by bwrollout.State.MomentAt.
	moments map[int]bwrollout.Moment
	// usual has the usual response times of the old version on each route.
	usual map[string]*bwrollout.Baseline
	// view is what the control goroutine knows of the rollout.
	view trafficView
	// firstUsed has the time of the first response of each new upstream.
	firstUsed map[bwmodel.UpstreamID]time.Time
}

// trafficView is what decides whether the time of a response counts. It is not changed.
type trafficView struct {
	state bwrollout.State
	// clock is the reading of the store's clock at clockAt.
	clock   time.Duration
	clockAt time.Time
	// subset has the new upstreams that get sampled requests, listedSince the time at which
	// each upstream was listed.
	subset      []bwmodel.UpstreamID
	listedSince map[bwmodel.UpstreamID]time.Time
}

func newRolloutTraffic(cfg bwrollout.ExposureConfig, metrics *Metrics) *rolloutTraffic {
	return &rolloutTraffic{
		order: cfg.Order, exposure: bwrollout.NewExposure(cfg), metrics: metrics,
		counts: make(map[string]bwrollout.RouteCounts), usual: make(map[string]*bwrollout.Baseline),
		moments: make(map[int]bwrollout.Moment), firstUsed: make(map[bwmodel.UpstreamID]time.Time),
	}
}

func (trf *rolloutTraffic) setView(view trafficView) {
	trf.mu.Lock()
	defer trf.mu.Unlock()
	trf.view = view
}

// observe counts a response or a failure of an upstream on a route.
func (trf *rolloutTraffic) observe(route string, up bwforward.Upstream, took time.Duration, failed bool, now time.Time) {
	trf.mu.Lock()
	defer trf.mu.Unlock()
	usual := trf.usual[route]
	if usual == nil {
		usual = new(bwrollout.Baseline)
		trf.usual[route] = usual
	}
	isNew := up.Version == trf.order.To
	slow, timed := usual.IsSlow(took, trf.view.state.Usual[route], now)
	if isNew {
		timed = timed && trf.isWarm(up.ID, took, now)
	} else if !failed {
		usual.Observe(took, now)
	}
	var cnt bwrollout.Counts
	cnt.Record(failed, timed, slow)
	if timed && !failed {
		ix := trf.view.state.MomentAt(trf.view.clock + now.Sub(trf.view.clockAt))
		mmt := trf.moments[ix]
		mmt.Record(isNew, slow)
		trf.moments[ix] = mmt
	}
	sum := trf.counts[route]
	if isNew {
		sum.New = sum.New.Add(cnt)
	} else {
		sum.Old = sum.Old.Add(cnt)
	}
	trf.counts[route] = sum
	trf.metrics.countRolloutResponse(trf.order.Service, isNew, cnt)
}

// isWarm reports whether the time of a new upstream's response counts.
func (trf *rolloutTraffic) isWarm(id bwmodel.UpstreamID, took time.Duration, now time.Time) bool {
	sentAt := now.Add(-took)
	first, ok := trf.firstUsed[id]
	if !ok {
		first = sentAt
		trf.firstUsed[id] = first
	}
	listedFor := time.Duration(0)
	if since, ok := trf.view.listedSince[id]; ok {
		listedFor = sentAt.Sub(since)
	}
	clock := trf.view.clock + sentAt.Sub(trf.view.clockAt)
	return trf.view.state.IsWarm(slices.Contains(trf.view.subset, id), sentAt.Sub(first), listedFor, clock)
}

// responses returns the counts of all routes and moments.
func (trf *rolloutTraffic) responses() (map[string]bwrollout.RouteCounts, map[int]bwrollout.Moment) {
	trf.mu.Lock()
	defer trf.mu.Unlock()
	return maps.Clone(trf.counts), maps.Clone(trf.moments)
}

// usualTimes returns the usual response times of the old version on all routes.
func (trf *rolloutTraffic) usualTimes(now time.Time) map[string]bwrollout.UsualTime {
	trf.mu.Lock()
	defer trf.mu.Unlock()
	usual := make(map[string]bwrollout.UsualTime, len(trf.usual))
	for route, bsl := range trf.usual {
		if usl := bsl.Usual(now); usl.Samples > 0 {
			usual[route] = usl
		}
	}
	return usual
}
