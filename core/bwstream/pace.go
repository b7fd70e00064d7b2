package bwstream

import (
	"cmp"
	"time"
)

// StallDetector tells when a stream of tokens has stalled, from the gaps between its own tokens.
type StallDetector struct {
	cfg   StallDetectorConfig
	since time.Time
	// gap and deviation are smoothed as in RFC 6298.
	gap       time.Duration
	deviation time.Duration
	tokens    int
	// excused is the end of a pause of the observer itself.
	excused time.Time
}

// StallDetectorConfig configures a Pace; zero values mean the defaults.
type StallDetectorConfig struct {
	// Floor is the shortest silence that counts as a stall; 0 means 250 ms.
	Floor time.Duration
	// Factor multiplies the smoothed gap; 0 means 12.
	Factor float64
	// Ceiling bounds the silence that Factor allows, but not below LeastFactor
	// gaps; 0 means 700 ms.
	Ceiling time.Duration
	// MinFactor multiplies the smoothed gap of a stream that is slower than
	// the ceiling allows for; 0 means 4.
	MinFactor float64
	// Deviations is the number of mean deviations added; 0 means 4.
	Deviations float64
	// FirstTokenTimeout is the longest wait for the first token; 0 means 10 s.
	FirstTokenTimeout time.Duration
	// ExpectedGap is the expected time between tokens, used until the stream has shown
	// its own; 0 means unknown.
	ExpectedGap time.Duration
}

const (
	// defaultFloor keeps a pause of the Go runtime or a lost packet (200 ms
	// until TCP sends it again) from counting as a stall.
	defaultFloor = 250 * time.Millisecond
	// defaultFactor lets an engine slow down 10 times without a stall.
	defaultFactor = 12
	// defaultCeiling leaves time for the resume within 1 s of the last token.
	defaultCeiling     = 700 * time.Millisecond
	defaultLeastFactor = 4
	defaultDeviations  = 4
	defaultFirstToken  = 10 * time.Second
	// defaultUnknown is the patience with a stream of unknown pace.
	defaultUnknown  = time.Second
	gapWeight       = 8
	deviationWeight = 4
)

// NewStallDetector returns the pace of a stream that was started at a time.
func NewStallDetector(cfg StallDetectorConfig, start time.Time) *StallDetector {
	cfg.Floor = cmp.Or(cfg.Floor, defaultFloor)
	cfg.Factor = cmp.Or(cfg.Factor, defaultFactor)
	cfg.Ceiling = cmp.Or(cfg.Ceiling, defaultCeiling)
	cfg.MinFactor = cmp.Or(cfg.MinFactor, defaultLeastFactor)
	cfg.Deviations = cmp.Or(cfg.Deviations, defaultDeviations)
	cfg.FirstTokenTimeout = cmp.Or(cfg.FirstTokenTimeout, defaultFirstToken)
	return &StallDetector{cfg: cfg, since: start}
}

// Observe notes that tokens arrived at a time.
func (pc *StallDetector) Observe(now time.Time, tokens int) {
	if tokens <= 0 {
		return
	}
	gap := max(now.Sub(pc.since), 0)
	pc.since = now
	pc.tokens += tokens
	switch {
	case pc.tokens == tokens:
		// The first gap is the time to the first token, which says nothing of the pace.
	case pc.gap == 0:
		pc.gap = gap
		pc.deviation = gap / 2
	default:
		diff := (pc.gap - gap).Abs()
		pc.deviation += (diff - pc.deviation) / deviationWeight
		pc.gap += (gap - pc.gap) / gapWeight
	}
}

// Deadline returns when the stream counts as stalled if nothing arrives before.
func (pc *StallDetector) Deadline() time.Time {
	end := pc.since.Add(pc.Timeout())
	if grace := pc.excused.Add(pc.cfg.Floor); !pc.excused.IsZero() && grace.After(end) {
		return grace
	}
	return end
}

// ExtendAfterPause puts the deadline off, because the observer itself was paused until
// now and tokens that have arrived meanwhile may not have been read yet.
func (pc *StallDetector) ExtendAfterPause(now time.Time) { pc.excused = now }

// LastTokenTime returns when the last token arrived, or the start before the first.
func (pc *StallDetector) LastTokenTime() time.Time { return pc.since }

// SmoothedGap returns the smoothed time between tokens; 0 before it is known.
func (pc *StallDetector) SmoothedGap() time.Duration { return pc.gap }

// Timeout returns the longest silence that does not count as a stall.
func (pc *StallDetector) Timeout() time.Duration {
	switch {
	case pc.tokens == 0:
		return pc.cfg.FirstTokenTimeout
	case pc.gap > 0:
		return pc.allow(pc.gap, pc.deviation)
	case pc.cfg.ExpectedGap > 0:
		return pc.allow(pc.cfg.ExpectedGap, pc.cfg.ExpectedGap/2)
	}
	return min(pc.cfg.FirstTokenTimeout, max(pc.cfg.Floor, defaultUnknown))
}

// allow returns the patience with a stream of a pace.
func (pc *StallDetector) allow(gap, deviation time.Duration) time.Duration {
	least := time.Duration(pc.cfg.MinFactor * float64(gap))
	silence := time.Duration(pc.cfg.Factor * float64(gap))
	silence = min(silence, max(pc.cfg.Ceiling, least))
	return max(pc.cfg.Floor, silence+time.Duration(pc.cfg.Deviations*float64(deviation)))
}

// ServiceLatency learns the pace of a service's streams for those that have not
// shown their own yet.
type ServiceLatency struct {
	first FirstTokenLatency
	gap   time.Duration
}

// ObserveFirstToken notes the time one attempt took to its first token.
func (sp *ServiceLatency) ObserveFirstToken(took time.Duration) { sp.first.Observe(took) }

// ObserveGap notes the smoothed gap of one stream; 0 is ignored.
func (sp *ServiceLatency) ObserveGap(gap time.Duration) {
	switch {
	case gap <= 0:
	case sp.gap == 0:
		sp.gap = gap
	default:
		sp.gap += (gap - sp.gap) / gapWeight
	}
}

// Apply returns a configuration with what was learned; values that were not
// learned yet stay as they are.
func (sp ServiceLatency) Apply(cfg StallDetectorConfig) StallDetectorConfig {
	cfg.FirstTokenTimeout = cmp.Or(sp.first.Timeout(), cfg.FirstTokenTimeout)
	cfg.ExpectedGap = cmp.Or(sp.gap, cfg.ExpectedGap)
	return cfg
}

// FirstTokenLatency learns a service's time to the first token.
type FirstTokenLatency struct {
	mean      time.Duration
	deviation time.Duration
	count     int
}

const (
	minFirstTokenSamples = 8
	// minFirstTokenWait lets an idle engine of 50 ms slow down 10 times.
	minFirstTokenWait = 700 * time.Millisecond
	firstTokenFactor  = 10
	// firstTokenCeiling leaves time for the resume within a second, unless the
	// service's usual times are longer.
	firstTokenCeiling = 700 * time.Millisecond
	// leastFirstTokenFactor multiplies the mean of a service slower than that.
	leastFirstTokenFactor = 3
	firstTokenDeviations  = 3
)

// Observe notes the time one attempt took to its first token.
func (ft *FirstTokenLatency) Observe(took time.Duration) {
	ft.count++
	if ft.count == 1 {
		ft.mean = took
		ft.deviation = took / 2
		return
	}
	diff := (ft.mean - took).Abs()
	ft.deviation += (diff - ft.deviation) / deviationWeight
	ft.mean += (took - ft.mean) / gapWeight
}

// Timeout returns how long to wait for a first token; 0 means that too few
// were seen to tell.
func (ft *FirstTokenLatency) Timeout() time.Duration {
	if ft.count < minFirstTokenSamples {
		return 0
	}
	wait := min(firstTokenFactor*ft.mean, max(firstTokenCeiling, leastFirstTokenFactor*ft.mean))
	return max(minFirstTokenWait, wait+firstTokenDeviations*ft.deviation)
}
