package bwstream

import (
	"cmp"
	"time"
)

// StallDetector detects that a stream of tokens has stalled, from the gaps between
// its own tokens.
type StallDetector struct {
	cfg       StallDetectorConfig
	lastToken time.Time
	// smoothedGap and deviation are smoothed as in RFC 6298.
	smoothedGap time.Duration
	deviation   time.Duration
	tokenCount  int
	// pauseEnd is when the last pause of the observing process ended.
	pauseEnd time.Time
}

// StallDetectorConfig configures a StallDetector; zero values mean the defaults.
type StallDetectorConfig struct {
	// Floor is the shortest gap that counts as a stall; 0 means 250 ms.
	Floor time.Duration
	// Factor multiplies the smoothed gap; 0 means 12.
	Factor float64
	// Ceiling limits the timeout that Factor gives, but not below MinFactor
	// gaps; 0 means 700 ms.
	Ceiling time.Duration
	// MinFactor multiplies the smoothed gap of a stream whose gaps are too long
	// for Ceiling; 0 means 4.
	MinFactor float64
	// Deviations is the number of mean deviations added to the timeout; 0 means 4.
	Deviations float64
	// FirstTokenTimeout is the longest wait for the first token; 0 means 10 s.
	FirstTokenTimeout time.Duration
	// ExpectedGap is the expected time between tokens, used until one is measured
	// in the stream itself; 0 means unknown.
	ExpectedGap time.Duration
}

const (
	// defaultFloor is longer than a pause of the Go runtime or the retransmission
	// of a lost packet (200 ms in TCP), so that neither counts as a stall.
	defaultFloor = 250 * time.Millisecond
	// defaultFactor tolerates an engine that becomes 10 times slower.
	defaultFactor = 12
	// defaultCeiling leaves time to resume within 1 s of the last token.
	defaultCeiling           = 700 * time.Millisecond
	defaultMinFactor         = 4
	defaultDeviations        = 4
	defaultFirstTokenTimeout = 10 * time.Second
	// defaultUnknownTimeout applies to a stream whose gap is unknown.
	defaultUnknownTimeout = time.Second
	gapDivisor            = 8
	deviationDivisor      = 4
)

// NewStallDetector returns a detector for a stream that was started at the given time.
func NewStallDetector(cfg StallDetectorConfig, start time.Time) *StallDetector {
	cfg.Floor = cmp.Or(cfg.Floor, defaultFloor)
	cfg.Factor = cmp.Or(cfg.Factor, defaultFactor)
	cfg.Ceiling = cmp.Or(cfg.Ceiling, defaultCeiling)
	cfg.MinFactor = cmp.Or(cfg.MinFactor, defaultMinFactor)
	cfg.Deviations = cmp.Or(cfg.Deviations, defaultDeviations)
	cfg.FirstTokenTimeout = cmp.Or(cfg.FirstTokenTimeout, defaultFirstTokenTimeout)
	return &StallDetector{cfg: cfg, lastToken: start}
}

// Observe records that tokens arrived at the given time.
func (sd *StallDetector) Observe(now time.Time, tokens int) {
	if tokens <= 0 {
		return
	}
	gap := max(now.Sub(sd.lastToken), 0)
	sd.lastToken = now
	sd.tokenCount += tokens
	switch {
	case sd.tokenCount == tokens:
		// The first gap is the time to the first token, not one between tokens.
	case sd.smoothedGap == 0:
		sd.smoothedGap = gap
		sd.deviation = gap / 2
	default:
		diff := (sd.smoothedGap - gap).Abs()
		sd.deviation += (diff - sd.deviation) / deviationDivisor
		sd.smoothedGap += (gap - sd.smoothedGap) / gapDivisor
	}
}

// Deadline returns when the stream counts as stalled unless a token arrives before.
func (sd *StallDetector) Deadline() time.Time {
	deadline := sd.lastToken.Add(sd.Timeout())
	if extended := sd.pauseEnd.Add(sd.cfg.Floor); !sd.pauseEnd.IsZero() && extended.After(deadline) {
		return extended
	}
	return deadline
}

// ExtendAfterPause extends the deadline to at least Floor after now. The observing
// process was paused until now, and tokens that arrived meanwhile may not have been
// read yet.
func (sd *StallDetector) ExtendAfterPause(now time.Time) { sd.pauseEnd = now }

// LastTokenTime returns when the last token arrived, or the start before the first.
func (sd *StallDetector) LastTokenTime() time.Time { return sd.lastToken }

// SmoothedGap returns the smoothed time between tokens; 0 before it is known.
func (sd *StallDetector) SmoothedGap() time.Duration { return sd.smoothedGap }

// Timeout returns the longest gap that does not count as a stall.
func (sd *StallDetector) Timeout() time.Duration {
	switch {
	case sd.tokenCount == 0:
		return sd.cfg.FirstTokenTimeout
	case sd.smoothedGap > 0:
		return sd.timeoutFor(sd.smoothedGap, sd.deviation)
	case sd.cfg.ExpectedGap > 0:
		return sd.timeoutFor(sd.cfg.ExpectedGap, sd.cfg.ExpectedGap/2)
	}
	return min(sd.cfg.FirstTokenTimeout, max(sd.cfg.Floor, defaultUnknownTimeout))
}

// timeoutFor returns the timeout of a stream with the given smoothed gap and mean
// deviation.
func (sd *StallDetector) timeoutFor(gap, deviation time.Duration) time.Duration {
	minTimeout := time.Duration(sd.cfg.MinFactor * float64(gap))
	timeout := time.Duration(sd.cfg.Factor * float64(gap))
	timeout = min(timeout, max(sd.cfg.Ceiling, minTimeout))
	return max(sd.cfg.Floor, timeout+time.Duration(sd.cfg.Deviations*float64(deviation)))
}

// ServiceLatency estimates a service's time to the first token and time between
// tokens, for streams without measurements of their own.
type ServiceLatency struct {
	firstToken FirstTokenLatency
	gap        time.Duration
}

// ObserveFirstToken records one attempt's time to its first token.
func (sl *ServiceLatency) ObserveFirstToken(elapsed time.Duration) { sl.firstToken.Observe(elapsed) }

// ObserveGap records the smoothed gap of one stream; 0 is ignored.
func (sl *ServiceLatency) ObserveGap(gap time.Duration) {
	switch {
	case gap <= 0:
	case sl.gap == 0:
		sl.gap = gap
	default:
		sl.gap += (gap - sl.gap) / gapDivisor
	}
}

// Apply returns the configuration with the service's estimates; fields without
// an estimate are unchanged.
func (sl ServiceLatency) Apply(cfg StallDetectorConfig) StallDetectorConfig {
	cfg.FirstTokenTimeout = cmp.Or(sl.firstToken.Timeout(), cfg.FirstTokenTimeout)
	cfg.ExpectedGap = cmp.Or(sl.gap, cfg.ExpectedGap)
	return cfg
}

// FirstTokenLatency estimates a service's time to the first token.
type FirstTokenLatency struct {
	mean      time.Duration
	deviation time.Duration
	samples   int
}

const (
	minFirstTokenSamples = 8
	// minFirstTokenTimeout tolerates an idle engine that needs 50 ms for the
	// first token and becomes 10 times slower.
	minFirstTokenTimeout = 700 * time.Millisecond
	firstTokenFactor     = 10
	// firstTokenCeiling leaves time to resume within 1 s, unless the service's
	// usual times are longer.
	firstTokenCeiling = 700 * time.Millisecond
	// minFirstTokenFactor multiplies the mean of a service that is too slow for
	// firstTokenCeiling.
	minFirstTokenFactor  = 3
	firstTokenDeviations = 3
)

// Observe records one attempt's time to its first token.
func (fl *FirstTokenLatency) Observe(elapsed time.Duration) {
	fl.samples++
	if fl.samples == 1 {
		fl.mean = elapsed
		fl.deviation = elapsed / 2
		return
	}
	diff := (fl.mean - elapsed).Abs()
	fl.deviation += (diff - fl.deviation) / deviationDivisor
	fl.mean += (elapsed - fl.mean) / gapDivisor
}

// Timeout returns how long to wait for a first token; 0 means that there are
// too few samples.
func (fl *FirstTokenLatency) Timeout() time.Duration {
	if fl.samples < minFirstTokenSamples {
		return 0
	}
	timeout := min(firstTokenFactor*fl.mean, max(firstTokenCeiling, minFirstTokenFactor*fl.mean))
	return max(minFirstTokenTimeout, timeout+firstTokenDeviations*fl.deviation)
}
