package bwrollout

import (
	"math"
	"strconv"
	"sync"
	"time"

	"bilberrywick/core/bwmodel"
)

const (
	// smallFleetShare and smallFleetSlack are the parts of the bounds that a fleet of
	// few gateways spends; the rest is for gateways that some others don't count yet.
	smallFleetShare = 0.95
	smallFleetSlack = 0.8
	// largeFleetShare and largeFleetSlack are the parts that a large fleet spends. Its
	// gateways have less than one request each to spend and round at random; the sum
	// has a standard deviation of at most the root of its mean, and the rest of the
	// bounds is five times that.
	largeFleetShare = 0.75
	largeFleetSlack = 0.4
	// largeFleet is the number of gateways from which on a fleet is a large one.
	largeFleet = 60
	// sampleShare and sampleSlack are the parts of what can be spent that are spent
	// before the load test, by a small fleet. A large one keeps more, since many of its
	// gateways have no request during the load test.
	sampleShare      = 0.6
	sampleSlack      = 0.5
	largeSampleShare = 0.3
	largeSampleSlack = 0.25
	// paceShare is the load of the subset relative to that of old upstreams. Requests are
	// spread less evenly over a few upstreams, which makes responses slower near the
	// limit of their capacity.
	paceShare = 0.9
	// evenShare is the part of the requests for the new version that a route may have
	// relative to an equal part for each, and ownShare the part relative to its part of
	// all requests; the larger one counts, so that the load test is not held up by routes
	// with few requests. routeLead is the number of requests in addition.
	evenShare = 1.1
	ownShare  = 0.8
	routeLead = 0.5
	// rareRoute is the part of all requests below which a route has no equal part.
	rareRoute = 0.05
	// maxViewPart is the part of RollbackTime that a gateway's view of the store may be
	// old: the rest is for detecting a bad version and writing the state.
	maxViewPart = 0.6
)

// Limits are the bounds on what a bad version may get. They come from settings.
type Limits struct {
	// Share is the share of a service's requests between an order and its end that a
	// bad version may get, Slack the number of requests in addition.
	Share, Slack float64
	// RollbackTime is the time after its 50th bad response from which on a bad version
	// must get no request.
	RollbackTime time.Duration
}

// AreSet reports whether there are rollouts at all.
func (lim Limits) AreSet() bool { return lim.Share > 0 && lim.RollbackTime > 0 }

// MaxViewAge returns the age up to which a gateway's view of the store allows it to send
// sampled requests.
func (lim Limits) MaxViewAge() time.Duration {
	return time.Duration(maxViewPart * float64(lim.RollbackTime))
}

// ExposureConfig configures an Exposure.
type ExposureConfig struct {
	Limits Limits
	Member bwmodel.MemberID
	Order  Order
	// Joined is set if the gateway has served callers since before the order. Others may
	// have lost their count, and get no part of the slack.
	Joined bool
}

// ExposureView is what a gateway knows when it sends sampled requests.
type ExposureView struct {
	// Read is when the store's tables were last known to be current.
	Read time.Time
	// Gateways is the number of gateways that share the slack; 0 means unknown.
	Gateways int
	// State is the rollout's state, Now the time on the store's clock at Read.
	State State
	Now   time.Duration
	// OldReady and NewReady are the numbers of ready upstreams.
	OldReady, NewReady int
}

// Exposure limits the requests for a service that a gateway sends to the new version. It
// is safe for concurrent use.
//
// The sum over all gateways stays below Share of the requests since the order plus Slack.
// A gateway spends a share of its own requests and an equal part of the slack. Fractions
// of a request are rounded with an offset that is a hash of gateway and order, so that a
// thousand gateways with a twentieth of a request each send about fifty. During the load
// test a large fleet sends the share that State.LoadShare grants instead.
type Exposure struct {
	cfg    ExposureConfig
	offset float64

	mu   sync.Mutex
	view ExposureView
	// requests counts the requests since the order, taken those for the new version, and
	// routes has those of each route during Sampling, when there were sampled requests.
	requests, taken, sampled uint64
	routes                   map[string]*routeExposure
	// pace grows by the largest share of requests that the subset can take, and falls by
	// one with each that is taken.
	pace float64
	// loading is set once the load test has begun.
	loading bool
}

// NewExposure returns an exposure that takes nothing before SetView.
func NewExposure(cfg ExposureConfig) *Exposure {
	exp := &Exposure{cfg: cfg, routes: make(map[string]*routeExposure)}
	if cfg.Joined {
		rev := cfg.Order.Revision
		exp.offset = fraction(hash(string(cfg.Member), string(cfg.Order.Service), string(cfg.Order.To),
			strconv.FormatUint(rev.Era, 10), strconv.FormatUint(rev.Version, 10)))
	}
	exp.pace = exp.offset
	return exp
}

// SetView replaces the gateway's view.
func (exp *Exposure) SetView(view ExposureView) {
	exp.mu.Lock()
	defer exp.mu.Unlock()
	exp.view = view
}

// CountRequest counts a caller's request for the service.
func (exp *Exposure) CountRequest(now time.Time) {
	exp.mu.Lock()
	defer exp.mu.Unlock()
	exp.requests++
	if exp.view.loading(now) != exp.loading {
		exp.loading = !exp.loading
		exp.pace = exp.offset
	}
	exp.pace = min(exp.pace+exp.view.pace(exp.cfg.Limits), maxPace)
}

// maxPace keeps the pace that is not used for lack of other allowance from being used at
// once: bursts of all gateways would overload the subset.
const maxPace = 1

// Take reports whether a request on a route may be sent to the new version, and counts it.
// Routes with few requests get more than their share, since a version may be bad on one.
func (exp *Exposure) Take(route string, now time.Time) bool {
	exp.mu.Lock()
	defer exp.mu.Unlock()
	rex := exp.countOn(route)
	view := exp.view
	if view.Gateways <= 0 || view.State.Phase != Sampling || now.Sub(view.Read) > exp.cfg.Limits.MaxViewAge() {
		return false
	}
	loading := view.loading(now)
	if share := view.State.LoadShare; share > 0 && loading && view.clock(now) < view.State.ShiftAt {
		return exp.takeGranted(rex, share)
	}
	if exp.pace < 1 {
		return false
	}
	if float64(rex.taken) >= routeLead+exp.routePart(rex)*float64(exp.taken) {
		return false
	}
	if float64(exp.taken)+1 > math.Floor(exp.allowed(loading)) {
		return false
	}
	exp.pace--
	exp.taken++
	rex.taken++
	return true
}

// routeExposure counts a gateway's requests on one route during Sampling, and those of
// them that were sent to the new version.
type routeExposure struct {
	requests, taken uint64
}

// countOn counts a request on a route.
func (exp *Exposure) countOn(route string) *routeExposure {
	rex := exp.routes[route]
	if rex == nil {
		rex = new(routeExposure)
		exp.routes[route] = rex
	}
	rex.requests++
	exp.sampled++
	return rex
}

// routePart returns the part of the requests for the new version that a route may have.
func (exp *Exposure) routePart(rex *routeExposure) float64 {
	usual := 0
	for _, other := range exp.routes {
		if float64(other.requests) >= rareRoute*float64(exp.sampled) {
			usual++
		}
	}
	return max(evenShare/float64(max(usual, 1)), ownShare*float64(rex.requests)/float64(exp.sampled))
}

// takeGranted takes a share of the requests of a gateway that has not lost its count.
func (exp *Exposure) takeGranted(rex *routeExposure, share float64) bool {
	if !exp.cfg.Joined || fraction(hash(string(exp.cfg.Member), strconv.FormatUint(exp.requests, 10))) >= share {
		return false
	}
	exp.taken++
	rex.taken++
	return true
}

// Counts returns the number of requests and of those that were taken.
func (exp *Exposure) Counts() (requests, taken uint64) {
	exp.mu.Lock()
	defer exp.mu.Unlock()
	return exp.requests, exp.taken
}

// allowed returns the number of requests that may be taken since the order.
func (exp *Exposure) allowed(loading bool) float64 {
	large := min(float64(exp.view.Gateways)/largeFleet, 1)
	share := between(smallFleetShare, largeFleetShare, large)
	slack := between(smallFleetSlack, largeFleetSlack, large)
	if !loading {
		share *= between(sampleShare, largeSampleShare, large)
		slack *= between(sampleSlack, largeSampleSlack, large)
	}
	sum := share * exp.cfg.Limits.Share * float64(exp.requests)
	if exp.cfg.Joined {
		sum += slack*exp.cfg.Limits.Slack/float64(exp.view.Gateways) + exp.offset
	}
	return sum
}

// between returns the value at a part of the way from one number to another.
func between(from, to, part float64) float64 { return from + part*(to-from) }

// SubsetSize returns the number of new upstreams that get sampled requests, such that the
// share gives each of them at least about the load of an old one.
func SubsetSize(lim Limits, oldReady, newReady int) int {
	size := max(int(largeFleetShare*lim.Share*float64(oldReady)), 1)
	return min(size, newReady)
}

// pace returns the largest share of the requests that the subset can take.
func (vw ExposureView) pace(lim Limits) float64 {
	return subsetShare(lim, vw.OldReady, vw.NewReady)
}

// subsetShare returns the share of the requests that gives each upstream of the subset
// the load of an old one.
func subsetShare(lim Limits, oldReady, newReady int) float64 {
	return paceShare * float64(SubsetSize(lim, oldReady, newReady)) / float64(max(oldReady, 1))
}

// loading reports whether the load test has begun.
func (vw ExposureView) loading(now time.Time) bool {
	return vw.State.Phase == Sampling && vw.clock(now) >= vw.State.LoadAt
}

// clock returns the time on the store's clock.
func (vw ExposureView) clock(now time.Time) time.Duration { return vw.Now + now.Sub(vw.Read) }
