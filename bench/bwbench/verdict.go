package bwbench

import (
	"fmt"
	"io"
	"math"
	"text/tabwriter"
)

// Goal is one target value of section 1.3 of the design page.
type Goal struct {
	// Measure describes the compared value, such as "p99 of first token, beside
	// long / alone".
	Measure string
	// Bound is the limit: a ratio, a count, or a value in the given Unit.
	Bound float64
	Unit  string
	// AtLeast is set when Bound is a minimum; otherwise it is a maximum.
	AtLeast bool
	// ReportOnly is set when the design page sets no limit; the value is only
	// reported.
	ReportOnly bool
	// Value computes the measured value; it returns false if the runs lack it.
	Value func(Runs) (float64, bool)
}

// Verdict is a goal with its measured value.
type Verdict struct {
	Experiment string
	Measure    string
	// Measured is valid only if Known is set. Known is also unset for an infinite
	// value, which arises when too many requests have no response.
	Measured float64
	Known    bool
	Goal     string
	Met      bool
}

// CheckGoals compares the runs of an experiment with its goals and returns one
// verdict for each goal.
func CheckGoals(exp Experiment, runs []Run) []Verdict {
	byPolicy := make(Runs, len(runs))
	for _, run := range runs {
		byPolicy[run.Result.Policy] = run
	}
	verdicts := make([]Verdict, 0, len(exp.Goals))
	for _, goal := range exp.Goals {
		verdicts = append(verdicts, goal.check(exp.Name, byPolicy))
	}
	return verdicts
}

func (gl Goal) check(name string, byPolicy Runs) Verdict {
	vdt := Verdict{Experiment: name, Measure: gl.Measure, Goal: gl.boundText()}
	val, ok := gl.Value(byPolicy)
	if !ok || math.IsNaN(val) || math.IsInf(val, 0) {
		return vdt
	}
	vdt.Measured, vdt.Known = val, true
	vdt.Met = gl.ReportOnly || (gl.AtLeast && val >= gl.Bound) || (!gl.AtLeast && val <= gl.Bound)
	return vdt
}

func (gl Goal) boundText() string {
	switch {
	case gl.ReportOnly:
		return "none"
	case gl.AtLeast:
		return fmt.Sprintf("at least %g%s", gl.Bound, gl.Unit)
	}
	return fmt.Sprintf("at most %g%s", gl.Bound, gl.Unit)
}

// WriteVerdicts prints one row for each verdict.
func WriteVerdicts(out io.Writer, verdicts []Verdict) error {
	tab := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tab, "experiment\tmeasure\tmeasured\tgoal\tverdict")
	for _, vdt := range verdicts {
		measured := "unknown"
		if vdt.Known {
			measured = fmt.Sprintf("%.4g", vdt.Measured)
		}
		fmt.Fprintf(tab, "%s\t%s\t%s\t%s\t%s\n", vdt.Experiment, vdt.Measure, measured, vdt.Goal, vdt.statusText())
	}
	return tab.Flush()
}

func (vdt Verdict) statusText() string {
	switch {
	case vdt.Goal == "none":
		return "reported"
	case vdt.Met:
		return "met"
	}
	return "MISSED"
}

// Runs maps policy names to the finished runs of an experiment.
type Runs map[string]Run

// Quantile returns a percentile, in seconds, of a latency of the requests with a
// label. Requests without a response count as slower than all others; the result
// is +Inf if the percentile falls among them. It returns false if the run or the
// latency is missing.
func (rns Runs) Quantile(policy, measure, label string, quantile float64) (float64, bool) {
	run, ok := rns[policy]
	if !ok {
		return 0, false
	}
	sum := run.Recorder.Summary(measure + "." + label)
	if sum.Count == 0 {
		return 0, false
	}
	missing := run.Recorder.Count("Unanswered." + label)
	adjusted := quantile * float64(sum.Count+missing) / float64(sum.Count)
	if adjusted > 100 {
		return math.Inf(1), true
	}
	points := run.Recorder.quantiles(measure+"."+label, []float64{adjusted})
	return points[0].latency.Seconds(), true
}

// Count returns the named count of the policy's run, or false if there is no run.
func (rns Runs) Count(policy, name string) (float64, bool) {
	run, ok := rns[policy]
	if !ok {
		return 0, false
	}
	return float64(run.Recorder.Count(name)), true
}

// p99Ratio divides the p99 of a latency under one policy by that under a baseline.
func p99Ratio(policy, baseline, measure, label string) func(Runs) (float64, bool) {
	return func(rns Runs) (float64, bool) {
		num, ok := rns.Quantile(policy, measure, label, 99)
		den, baseOK := rns.Quantile(baseline, measure, label, 99)
		return num / den, ok && baseOK
	}
}

// countRatio divides two counts of a run.
func countRatio(policy, numerator, denominator string) func(Runs) (float64, bool) {
	return func(rns Runs) (float64, bool) {
		num, ok := rns.Count(policy, numerator)
		den, _ := rns.Count(policy, denominator)
		return num / den, ok && den > 0
	}
}

// shareOfCapacity divides the tokens counted by a measure in the window by the
// tokens that were possible: those offered, or a fraction of the engines' highest
// token count in the window under any policy, whichever is less.
func shareOfCapacity(policy, measure, label string, fraction float64) func(Runs) (float64, bool) {
	return func(rns Runs) (float64, bool) {
		done, ok := rns.Count(policy, measure+"."+label)
		offered, _ := rns.Count(policy, "Window.Offered."+label)
		capacity := 0.0
		for name := range rns {
			tokens, _ := rns.Count(name, windowTokensMeasure)
			capacity = max(capacity, tokens)
		}
		allowed := min(offered, fraction*capacity)
		return done / allowed, ok && allowed > 0
	}
}

// latencyOf returns a percentile, in seconds, of a latency that has no label.
func latencyOf(policy, measure string, quantile float64) func(Runs) (float64, bool) {
	return func(rns Runs) (float64, bool) {
		run, ok := rns[policy]
		if !ok {
			return 0, false
		}
		points := run.Recorder.quantiles(measure, []float64{quantile})
		if len(points) == 0 {
			return 0, false
		}
		return points[0].latency.Seconds(), true
	}
}
