package bwstream

import "time"

// Pace tells when a stream of tokens has stalled, from the gaps between its own tokens.
type Pace struct {
	cfg   PaceConfig
	since time.Time
	// gap and deviation are smoothed as in RFC 6298.
	gap       time.Duration
	deviation time.Duration
	tokens    int
}

// PaceConfig configures a Pace; zero values mean the defaults.
type PaceConfig struct {
	// Floor is the shortest silence that counts as a stall; 0 means 250 ms.
	Floor time.Duration
	// Factor multiplies the smoothed gap; 0 means 4.
	Factor float64
	// Deviations is the number of mean deviations added; 0 means 4.
	Deviations float64
	// FirstToken is the longest wait for the first token; 0 means 10 s.
	FirstToken time.Duration
}

const (
	// defaultFloor keeps a pause of the Go runtime or a lost packet (200 ms
	// until TCP sends it again) from counting as a stall.
	defaultFloor      = 250 * time.Millisecond
	defaultFactor     = 4
	defaultDeviations = 4
	defaultFirstToken = 10 * time.Second
	gapWeight         = 8
	deviationWeight   = 4
)

// NewPace returns the pace of a stream that was started at a time.
func NewPace(cfg PaceConfig, start time.Time) *Pace {
	if cfg.Floor == 0 {
		cfg.Floor = defaultFloor
	}
	if cfg.Factor == 0 {
		cfg.Factor = defaultFactor
	}
	if cfg.Deviations == 0 {
		cfg.Deviations = defaultDeviations
	}
	if cfg.FirstToken == 0 {
		cfg.FirstToken = defaultFirstToken
	}
	return &Pace{cfg: cfg, since: start}
}

// Observe notes that tokens arrived at a time.
func (pc *Pace) Observe(now time.Time, tokens int) {
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
func (pc *Pace) Deadline() time.Time {
	return pc.since.Add(pc.Patience())
}

// Patience returns the longest silence that does not count as a stall.
func (pc *Pace) Patience() time.Duration {
	if pc.tokens == 0 {
		return pc.cfg.FirstToken
	}
	if pc.gap == 0 {
		// One gap is needed before the stream has a pace.
		return min(pc.cfg.FirstToken, max(pc.cfg.Floor, time.Second))
	}
	silence := time.Duration(pc.cfg.Factor*float64(pc.gap) + pc.cfg.Deviations*float64(pc.deviation))
	return max(pc.cfg.Floor, silence)
}

// FirstTokens learns a service's time to the first token.
type FirstTokens struct {
	mean      time.Duration
	deviation time.Duration
	count     int
}

const (
	minFirstTokenSamples = 8
	firstTokenFactor     = 4
	minFirstTokenWait    = time.Second
)

// Observe notes the time one attempt took to its first token.
func (ft *FirstTokens) Observe(took time.Duration) {
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

// Patience returns how long to wait for a first token; 0 means that too few
// were seen to tell.
func (ft *FirstTokens) Patience() time.Duration {
	if ft.count < minFirstTokenSamples {
		return 0
	}
	return max(minFirstTokenWait, firstTokenFactor*(ft.mean+defaultDeviations*ft.deviation))
}
