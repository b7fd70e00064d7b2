package bwbench_test

import (
	"bytes"
	"math"
	"strings"
	"testing"
	"time"

	"bilberrywick/bench/bwbench"
)

func newRuns(policies ...string) bwbench.Runs {
	runs := make(bwbench.Runs)
	for _, policy := range policies {
		runs[policy] = bwbench.Run{Result: bwbench.Result{Policy: policy}, Recorder: bwbench.NewRecorder()}
	}
	return runs
}

// Guards against a quantile that omits the requests without a response. The runs
// have 990 requests with latencies of 1 to 990 ms, and some without a response.
func TestQuantileCountsUnanswered(t *testing.T) {
	cases := []struct {
		unanswered int64
		quantile   float64
		want       float64
	}{
		{0, 50, 0.495},
		{10, 99, 0.990},
		{11, 99, math.Inf(1)},
		{990, 25, 0.495},
	}
	for _, tc := range cases {
		runs := newRuns("Default")
		rec := runs["Default"].Recorder
		for ms := 1; ms <= 990; ms++ {
			rec.Observe("FirstToken.Short", time.Duration(ms)*time.Millisecond)
		}
		rec.AddCount("Unanswered.Short", tc.unanswered)
		got, ok := runs.Quantile("Default", "FirstToken", "Short", tc.quantile)
		if !ok || (got != tc.want && math.Abs(got-tc.want) > 0.002) {
			t.Errorf("%d unanswered: quantile %v is %v, want %v", tc.unanswered, tc.quantile, got, tc.want)
		}
	}
}

// Guards against a verdict that reports a missed, unknown or infinite value as met.
func TestCheckGoals(t *testing.T) {
	value := func(val float64, ok bool) func(bwbench.Runs) (float64, bool) {
		return func(bwbench.Runs) (float64, bool) { return val, ok }
	}
	cases := []struct {
		name string
		goal bwbench.Goal
		met  bool
	}{
		{"at most, equal", bwbench.Goal{Bound: 1.5, Value: value(1.5, true)}, true},
		{"at most, above", bwbench.Goal{Bound: 1.5, Value: value(1.51, true)}, false},
		{"at least, equal", bwbench.Goal{Bound: 0.9, AtLeast: true, Value: value(0.9, true)}, true},
		{"at least, below", bwbench.Goal{Bound: 0.9, AtLeast: true, Value: value(0.89, true)}, false},
		{"unknown", bwbench.Goal{Bound: 1.5, Value: value(0, false)}, false},
		{"unbounded", bwbench.Goal{Bound: 0.9, AtLeast: true, Value: value(math.Inf(1), true)}, false},
		{"no number", bwbench.Goal{Bound: 0.9, Value: value(math.NaN(), true)}, false},
	}
	for _, tc := range cases {
		verdicts := bwbench.CheckGoals(bwbench.Experiment{Name: "Crest", Goals: []bwbench.Goal{tc.goal}}, nil)
		if len(verdicts) != 1 || verdicts[0].Met != tc.met {
			t.Errorf("%s: verdicts are %+v, want one with Met %v", tc.name, verdicts, tc.met)
		}
		var out bytes.Buffer
		if err := bwbench.WriteVerdicts(&out, verdicts); err != nil {
			t.Fatal(err)
		}
		if missed := strings.Contains(out.String(), "MISSED"); missed == tc.met {
			t.Errorf("%s: wrong verdict in the table:\n%s", tc.name, out.String())
		}
	}
}

// Guards against goals that refer to runs or measures that their experiment does
// not have. With every measure recorded, each goal must have a value.
func TestGoalsHaveValues(t *testing.T) {
	size, err := bwbench.LoadSize("")
	if err != nil {
		t.Fatal(err)
	}
	exps, err := bwbench.SelectExperiments(size, nil)
	if err != nil {
		t.Fatal(err)
	}
	for _, exp := range exps {
		var runs []bwbench.Run
		for _, vrt := range exp.Variants {
			rec := bwbench.NewRecorder()
			recordAllMeasures(rec, vrt.Workloads)
			runs = append(runs, bwbench.Run{Result: bwbench.Result{Policy: vrt.Policy}, Recorder: rec})
		}
		if len(exp.Goals) == 0 {
			t.Errorf("%s has no goals", exp.Name)
		}
		for _, vdt := range bwbench.CheckGoals(exp, runs) {
			if !vdt.Known {
				t.Errorf("%s: %q has no value", exp.Name, vdt.Measure)
			}
		}
	}
}

func recordAllMeasures(rec *bwbench.Recorder, workloads []bwbench.Workload) {
	for _, wkl := range workloads {
		label := string(wkl.Kind)
		if wkl.LabelTeam {
			label += "." + string(wkl.Team)
		}
		for _, name := range []string{"FirstToken", "Elapsed", "LongestGap", "Recovery"} {
			rec.Observe(name+"."+label, time.Second)
		}
		for _, name := range []string{"Sent", "Window.Offered", "Window.InTime", "Window.Done"} {
			rec.AddCount(name+"."+label, 100)
		}
	}
	rec.Observe("Resume", time.Second)
	for _, name := range []string{"Window.EngineTokens", "Done", "TokensDelivered", "TokensRecomputed", "EngineFaults", "App.Lookups", "Engine.PromptTokensComputed"} {
		rec.AddCount(name, 100)
	}
}

// Guards against a wrong count of refusals during whose wait deferrable work
// started.
func TestCountSpansWithEvent(t *testing.T) {
	at := func(sec int) time.Time { return time.Unix(int64(sec), 0) }
	starts := []time.Time{at(30), at(10)}
	spans := [][2]time.Time{{at(1), at(9)}, {at(9), at(10)}, {at(11), at(29)}, {at(5), at(40)}, {at(31), at(40)}}
	if got := bwbench.CountSpansWithEvent(starts, spans); got != 2 {
		t.Fatalf("%d spans contain a start, want 2", got)
	}
}
