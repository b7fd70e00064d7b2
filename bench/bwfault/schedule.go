package bwfault

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"bilberrywick/core/bwretry"
)

// Schedule injects faults in several concurrent series, so that faults follow and
// overlap each other.
type Schedule struct {
	cfg ScheduleConfig

	mu   sync.Mutex
	busy map[string]bool
}

// ScheduleConfig configures a Schedule.
type ScheduleConfig struct {
	// Series is the number of concurrent series.
	Series int
	// MinDuration and MaxDuration limit the random duration of a fault; MaxDuration
	// is exclusive.
	MinDuration, MaxDuration time.Duration
	// MaxPause limits the random time between two faults of a series.
	MaxPause time.Duration
	// Random returns the random generator of a series in a round.
	Random func(round, series int) *rand.Rand
	// Recorder receives the number of faults of each kind, and the errors of
	// Inject as violations.
	Recorder *Recorder
}

// Fault describes a kind of fault and how to inject it.
type Fault struct {
	Name string
	// Scope groups faults: two faults of one scope never affect the same target at
	// the same time.
	Scope string
	// PickTarget selects the target.
	PickTarget func(*rand.Rand) string
	// Inject injects the fault into the target for a time and ends it, even if the
	// context ends earlier.
	Inject func(ctx context.Context, target string, length time.Duration) error
}

// stopTimeout limits the time to end one fault.
const stopTimeout = 10 * time.Second

// ForDuration returns an Inject function that starts a fault and stops it after its
// time, even if the start failed halfway.
func ForDuration(start, stop func(ctx context.Context, target string) error) func(context.Context, string, time.Duration) error {
	return func(ctx context.Context, target string, length time.Duration) error {
		startErr := Once(start)(ctx, target, 0)
		bwretry.Pause(ctx, length)
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
		defer cancel()
		return errors.Join(startErr, stop(ctx, target))
	}
}

// Once returns an Inject function for a fault that ends by itself. It ignores the
// error of a start that is interrupted by the end of the round.
func Once(start func(ctx context.Context, target string) error) func(context.Context, string, time.Duration) error {
	return func(ctx context.Context, target string, _ time.Duration) error {
		if err := start(ctx, target); err != nil && ctx.Err() == nil {
			return err
		}
		return nil
	}
}

// NewSchedule returns a Schedule; it injects no fault until RunRound.
func NewSchedule(cfg ScheduleConfig) *Schedule {
	return &Schedule{cfg: cfg, busy: make(map[string]bool)}
}

// RunRound injects random faults of the given kinds until the context ends, and
// returns when the last fault has ended.
func (sch *Schedule) RunRound(ctx context.Context, number int, kinds []Fault) {
	if len(kinds) == 0 {
		<-ctx.Done()
		return
	}
	var ended sync.WaitGroup
	for ix := range sch.cfg.Series {
		ended.Add(1)
		srs := &faultSeries{sch: sch, kinds: kinds, rng: sch.cfg.Random(number, ix), ended: &ended}
		go srs.loop(ctx)
	}
	ended.Wait()
}

// reserve marks a target as busy and returns false if it already is, so that the
// end of one fault does not end another.
func (sch *Schedule) reserve(key string) bool {
	sch.mu.Lock()
	defer sch.mu.Unlock()
	if sch.busy[key] {
		return false
	}
	sch.busy[key] = true
	return true
}

func (sch *Schedule) release(key string) {
	sch.mu.Lock()
	defer sch.mu.Unlock()
	delete(sch.busy, key)
}

// faultSeries injects one fault after the other.
type faultSeries struct {
	sch   *Schedule
	kinds []Fault
	rng   *rand.Rand
	ended *sync.WaitGroup
}

func (srs *faultSeries) loop(ctx context.Context) {
	defer srs.ended.Done()
	for ctx.Err() == nil {
		srs.injectOne(ctx, srs.kinds[srs.rng.IntN(len(srs.kinds))])
		bwretry.Pause(ctx, time.Duration(srs.rng.Int64N(int64(srs.sch.cfg.MaxPause))))
	}
}

func (srs *faultSeries) injectOne(ctx context.Context, flt Fault) {
	cfg := srs.sch.cfg
	target := flt.PickTarget(srs.rng)
	length := cfg.MinDuration + time.Duration(srs.rng.Int64N(int64(cfg.MaxDuration-cfg.MinDuration)))
	key := flt.Scope + " " + target
	if !srs.sch.reserve(key) {
		return
	}
	defer srs.sch.release(key)
	cfg.Recorder.AddCount("Fault "+flt.Name, 1)
	if err := flt.Inject(ctx, target, length); err != nil {
		cfg.Recorder.RecordViolation("Fault", target, "%s: %v", flt.Name, err)
	}
}
