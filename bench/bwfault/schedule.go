package bwfault

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"bilberrywick/core/bwretry"
)

// Schedule plays faults in several series side by side, so that they follow and
// overlap each other.
type Schedule struct {
	cfg ScheduleConfig

	mu   sync.Mutex
	busy map[string]bool
}

// ScheduleConfig configures a Schedule.
type ScheduleConfig struct {
	// Series is the number of series.
	Series int
	// MinDuration and Most bound how long a fault lasts.
	MinDuration, MaxDuration time.Duration
	// MaxPause is the longest time between two faults of a series.
	MaxPause time.Duration
	// Random returns the generator of a series of a round.
	Random   func(round, series int) *rand.Rand
	Recorder *Recorder
}

// Fault is one kind of disturbance.
type Fault struct {
	Name string
	// Scope says which faults of one target exclude each other.
	Scope string
	// PickTarget chooses the target.
	PickTarget func(*rand.Rand) string
	// Inject disturbs the target for a time and ends the disturbance, also when the
	// context has ended meanwhile.
	Inject func(ctx context.Context, target string, length time.Duration) error
}

// stopTime bounds the end of one fault.
const stopTime = 10 * time.Second

// ForDuration returns a Play that starts a disturbance and stops it after its time,
// also when only a part of it could be started.
func ForDuration(start, stop func(ctx context.Context, target string) error) func(context.Context, string, time.Duration) error {
	return func(ctx context.Context, target string, length time.Duration) error {
		begun := Once(start)(ctx, target, 0)
		bwretry.Pause(ctx, length)
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTime)
		defer cancel()
		return errors.Join(begun, stop(ctx, target))
	}
}

// Once returns a Play of a disturbance that ends by itself. One that the end of
// the round has cut short is no error.
func Once(start func(ctx context.Context, target string) error) func(context.Context, string, time.Duration) error {
	return func(ctx context.Context, target string, _ time.Duration) error {
		if err := start(ctx, target); err != nil && ctx.Err() == nil {
			return err
		}
		return nil
	}
}

// NewSchedule returns a Schedule.
func NewSchedule(cfg ScheduleConfig) *Schedule {
	return &Schedule{cfg: cfg, busy: make(map[string]bool)}
}

// RunRound plays faults of some kinds until the context ends, and returns when the
// last of them has ended.
func (sch *Schedule) RunRound(ctx context.Context, number int, kinds []Fault) {
	if len(kinds) == 0 {
		<-ctx.Done()
		return
	}
	var ended sync.WaitGroup
	for ix := range sch.cfg.Series {
		ended.Add(1)
		srs := &series{sch: sch, kinds: kinds, rng: sch.cfg.Random(number, ix), ended: &ended}
		go srs.loop(ctx)
	}
	ended.Wait()
}

// take reserves a target, so that two faults don't undo each other.
func (sch *Schedule) take(key string) bool {
	sch.mu.Lock()
	defer sch.mu.Unlock()
	if sch.busy[key] {
		return false
	}
	sch.busy[key] = true
	return true
}

func (sch *Schedule) give(key string) {
	sch.mu.Lock()
	defer sch.mu.Unlock()
	delete(sch.busy, key)
}

// series plays one fault after the other.
type series struct {
	sch   *Schedule
	kinds []Fault
	rng   *rand.Rand
	ended *sync.WaitGroup
}

func (srs *series) loop(ctx context.Context) {
	defer srs.ended.Done()
	for ctx.Err() == nil {
		srs.play(ctx, srs.kinds[srs.rng.IntN(len(srs.kinds))])
		bwretry.Pause(ctx, time.Duration(srs.rng.Int64N(int64(srs.sch.cfg.MaxPause))))
	}
}

func (srs *series) play(ctx context.Context, flt Fault) {
	cfg := srs.sch.cfg
	target := flt.PickTarget(srs.rng)
	length := cfg.MinDuration + time.Duration(srs.rng.Int64N(int64(cfg.MaxDuration-cfg.MinDuration)))
	key := flt.Scope + " " + target
	if !srs.sch.take(key) {
		return
	}
	defer srs.sch.give(key)
	cfg.Recorder.AddCount("Fault "+flt.Name, 1)
	if err := flt.Inject(ctx, target, length); err != nil {
		cfg.Recorder.RecordViolation("Fault", target, "%s: %v", flt.Name, err)
	}
}
