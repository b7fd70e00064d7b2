package bwbench_test

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"bilberrywick/bench/bwbench"
)

// Guards against a comparison of policies under different loads, and against a
// plan that does not follow its rate function.
func TestPlanIsDeterministic(t *testing.T) {
	workloads := []bwbench.Workload{
		{Kind: bwbench.ShortGeneration, Rate: bwbench.ConstantRate(100), PeakRate: 100, MinTokens: 5, MaxTokens: 9},
		{Kind: bwbench.Lookup, Rate: bwbench.StepRate(0, 200, 5*time.Second, time.Second, 8*time.Second), PeakRate: 200},
	}
	const seed = 7
	one := bwbench.PlanArrivals(seed, 10*time.Second, workloads)
	two := bwbench.PlanArrivals(seed, 10*time.Second, workloads)
	if len(one) != len(two) {
		t.Fatalf("two plans with seed %d have %d and %d arrivals", seed, len(one), len(two))
	}
	counts := make([]int, len(workloads))
	for ix, arr := range one {
		if arr != two[ix] {
			t.Fatalf("seed %d: arrival %d differs between two plans: %+v and %+v", seed, ix, arr, two[ix])
		}
		if ix > 0 && arr.At < one[ix-1].At {
			t.Errorf("arrival %d is earlier than its predecessor", ix)
		}
		if arr.Workload == 1 && (arr.At < 5*time.Second || arr.At >= 8*time.Second) {
			t.Errorf("lookup at %v, want none outside 5 s to 8 s", arr.At)
		}
		counts[arr.Workload]++
	}
	// Three standard deviations around the means of Poisson counts, 1,000 and 500.
	if counts[0] < 905 || counts[0] > 1095 || counts[1] < 433 || counts[1] > 567 {
		t.Errorf("plan with seed %d has %v arrivals, want about 1,000 and 500", seed, counts)
	}
}

// Guards against a summary that omits recorded latencies or has wrong quantiles.
func TestRecorderSummary(t *testing.T) {
	rec := bwbench.NewRecorder()
	for ms := 1; ms <= 1000; ms++ {
		rec.Observe("FirstToken", time.Duration(ms)*time.Millisecond)
	}
	rec.AddCount("Refused", 2)
	sum := rec.Summary("FirstToken")
	const tolerance = 0.001 // three significant digits
	for _, tt := range []struct {
		name      string
		got, want time.Duration
	}{
		{"median", sum.Median, 500 * time.Millisecond},
		{"p95", sum.P95, 950 * time.Millisecond},
		{"p99", sum.P99, 990 * time.Millisecond},
		{"max", sum.Max, time.Second},
	} {
		if diff := (tt.got - tt.want).Abs(); float64(diff) > tolerance*float64(tt.want) {
			t.Errorf("%s is %v, want %v", tt.name, tt.got, tt.want)
		}
	}
	if sum.Count != 1000 || rec.Count("Refused") != 2 {
		t.Errorf("counts are %d and %d, want 1000 and 2", sum.Count, rec.Count("Refused"))
	}
	var out bytes.Buffer
	res := bwbench.Result{Experiment: "Crest", Policy: "Default", Latencies: map[string]bwbench.Summary{"FirstToken": sum}, Violations: []string{"token lost"}}
	if err := bwbench.WriteTable(&out, []bwbench.Result{res}); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"FirstToken", "1000", "VIOLATION: token lost"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("table does not contain %q:\n%s", want, out.String())
		}
	}
}
