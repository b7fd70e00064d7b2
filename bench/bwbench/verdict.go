package bwbench

import (
	"fmt"
	"io"
	"math"
	"text/tabwriter"
)

// Goal is one bound of section 1.3 of the design page.
type Goal struct {
	// Measure says what is compared, such as "p99 of first token, beside long / alone".
	Measure string
	// Bound is the goal, as a ratio, a count, or seconds as Unit says.
	Bound float64
	Unit  string
	// AtLeast says that the value must be at least the bound; otherwise at most.
	AtLeast bool
	// ReportOnly says that the page sets no bound; the value is only reported.
	ReportOnly bool
	// Value computes the measured value; false when the runs lack it.
	Value func(Runs) (float64, bool)
}

// Verdict is a goal with its measured value.
type Verdict struct {
	Experiment string
	Measure    string
	// Measured is meaningless unless Known is set; it may be unbounded when too
	// many requests were not answered, which Known leaves unset too.
	Measured float64
	Known    bool
	Goal     string
	Met      bool
}

// CheckGoals compares the runs of an experiment with its goals.
func CheckGoals(exp Experiment, runs []Run) []Verdict {
	set := make(Runs, len(runs))
	for _, run := range runs {
		set[run.Result.Policy] = run
	}
	verdicts := make([]Verdict, 0, len(exp.Goals))
	for _, goal := range exp.Goals {
		verdicts = append(verdicts, goal.judge(exp.Name, set))
	}
	return verdicts
}

func (gl Goal) judge(name string, set Runs) Verdict {
	vdt := Verdict{Experiment: name, Measure: gl.Measure, Goal: gl.text()}
	val, ok := gl.Value(set)
	if !ok || math.IsNaN(val) || math.IsInf(val, 0) {
		return vdt
	}
	vdt.Measured, vdt.Known = val, true
	vdt.Met = gl.ReportOnly || (gl.AtLeast && val >= gl.Bound) || (!gl.AtLeast && val <= gl.Bound)
	return vdt
}

func (gl Goal) text() string {
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
		fmt.Fprintf(tab, "%s\t%s\t%s\t%s\t%s\n", vdt.Experiment, vdt.Measure, measured, vdt.Goal, vdt.word())
	}
	return tab.Flush()
}

func (vdt Verdict) word() string {
	switch {
	case vdt.Goal == "none":
		return "reported"
	case vdt.Met:
		return "met"
	}
	return "MISSED"
}

// Runs are the finished runs of an experiment by policy.
type Runs map[string]Run

// Quantile returns a quantile in seconds of a latency of a kind of request, in
// which requests that were not answered count as slower than all others; it is
// infinite when the quantile falls among these.
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

// Count returns a count of a run.
func (rns Runs) Count(policy, name string) (float64, bool) {
	run, ok := rns[policy]
	if !ok {
		return 0, false
	}
	return float64(run.Recorder.Count(name)), true
}

// p99Ratio compares the p99 of a latency under two policies.
func p99Ratio(policy, baseline, measure, label string) func(Runs) (float64, bool) {
	return func(rns Runs) (float64, bool) {
		num, ok := rns.Quantile(policy, measure, label, 99)
		den, known := rns.Quantile(baseline, measure, label, 99)
		return num / den, ok && known
	}
}

// countRatio divides two counts of a run.
func countRatio(policy, over, under string) func(Runs) (float64, bool) {
	return func(rns Runs) (float64, bool) {
		num, ok := rns.Count(policy, over)
		den, _ := rns.Count(policy, under)
		return num / den, ok && den > 0
	}
}

// shareOfCapacity divides the tokens of requests that were answered in time in
// the window by those offered, or by half or all of what the engines produced
// at their fullest under any policy, whichever is less.
func shareOfCapacity(policy, measure, label string, part float64) func(Runs) (float64, bool) {
	return func(rns Runs) (float64, bool) {
		done, ok := rns.Count(policy, measure+"."+label)
		offered, _ := rns.Count(policy, "Window.Offered."+label)
		highest := 0.0
		for name := range rns {
			tokens, _ := rns.Count(name, windowTokens)
			highest = max(highest, tokens)
		}
		allowed := min(offered, part*highest)
		return done / allowed, ok && allowed > 0
	}
}

// latencyOf returns a quantile in seconds of a latency that has no kind.
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
