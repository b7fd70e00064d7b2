package bwfault_test

import (
	"context"
	"errors"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"bilberrywick/bench/bwfault"
)

// faultTarget counts the active and ended faults of a system under test.
type faultTarget struct {
	mu              sync.Mutex
	active, stopped int
	maxActive       int
}

func (tgt *faultTarget) start(context.Context, string) error {
	tgt.mu.Lock()
	defer tgt.mu.Unlock()
	tgt.active++
	tgt.maxActive = max(tgt.maxActive, tgt.active)
	return nil
}

func (tgt *faultTarget) stop(ctx context.Context, _ string) error {
	tgt.mu.Lock()
	defer tgt.mu.Unlock()
	tgt.active--
	tgt.stopped++
	return ctx.Err()
}

func newSchedule(rec *bwfault.Recorder) *bwfault.Schedule {
	return bwfault.NewSchedule(bwfault.ScheduleConfig{
		Series: 6, MinDuration: 2 * time.Millisecond, MaxDuration: 10 * time.Millisecond, MaxPause: time.Millisecond, Recorder: rec,
		Random: func(round, series int) *rand.Rand { return rand.New(rand.NewPCG(uint64(round), uint64(series))) },
	})
}

// Guards against overlapping faults of one scope on one target, where the end of
// one fault ends the other; against faults of different scopes that never
// overlap; and against a fault that outlasts its round.
func TestScheduleExcludesFaultsOfOneScope(t *testing.T) {
	for name, most := range map[string]int{"one scope": 1, "two scopes": 2} {
		t.Run(name, func(t *testing.T) {
			tgt := new(faultTarget)
			kinds := []bwfault.Fault{
				{Name: "First", Scope: "one scope", PickTarget: pickSameTarget, Inject: bwfault.ForDuration(tgt.start, tgt.stop)},
				{Name: "Second", Scope: name, PickTarget: pickSameTarget, Inject: bwfault.ForDuration(tgt.start, tgt.stop)},
			}
			rec := bwfault.NewRecorder(1)
			ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
			defer cancel()
			newSchedule(rec).RunRound(ctx, 1, kinds)
			if tgt.active != 0 || tgt.stopped < 5 || tgt.maxActive != most {
				t.Errorf("%d faults active after the round, %d ended, at most %d at a time, want %d", tgt.active, tgt.stopped, tgt.maxActive, most)
			}
			rpt := rec.Report()
			if len(rpt.Violations) != 0 || rpt.Counts["Fault First"] == 0 || rpt.Counts["Fault Second"] == 0 {
				t.Errorf("report is %+v, want both faults and no violations", rpt)
			}
		})
	}
}

func pickSameTarget(*rand.Rand) string { return "one" }

// Guards against a fault whose error is not reported, and against a fault that
// stays active because its start failed halfway.
func TestScheduleReportsFailures(t *testing.T) {
	tgt := new(faultTarget)
	fail := func(ctx context.Context, name string) error {
		return errors.Join(tgt.start(ctx, name), errors.New("half started"))
	}
	rec := bwfault.NewRecorder(1)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	newSchedule(rec).RunRound(ctx, 1, []bwfault.Fault{{Name: "Half", PickTarget: pickSameTarget, Inject: bwfault.ForDuration(fail, tgt.stop)}})
	if tgt.active != 0 || rec.ViolationCount() == 0 {
		t.Errorf("%d faults active after the round, %d violations, want 0 and at least 1", tgt.active, rec.ViolationCount())
	}
}

// Guards against a report that omits violations.
func TestReportNamesViolations(t *testing.T) {
	rpt := bwfault.Report{Seed: 3, Violations: []bwfault.Violation{{Check: "AtMostOnce", Request: "act-7", Detail: "ran 2 times"}}, Dropped: 2}
	var out strings.Builder
	rpt.Write(&out)
	for _, want := range []string{"seed 3\n", "violation of AtMostOnce: act-7: ran 2 times\n", "3 violations\n"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("report %q does not contain %q", out.String(), want)
		}
	}
}
