package bwbench

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"text/tabwriter"
	"time"
)

// Result holds the measurements of one experiment under one policy.
type Result struct {
	Experiment string
	Policy     string
	Seed       uint64
	Started    time.Time
	Elapsed    time.Duration
	// Latencies are in nanoseconds in the JSON form.
	Latencies map[string]Summary
	Counts    map[string]int64
	// Errors holds the first error of each failed or refused kind of request.
	Errors map[string]string
	// Violations lists the violated guarantees; the run passes if it is empty.
	Violations []string
}

func newResult(name, policy string, seed uint64, started time.Time, elapsed time.Duration, rec *Recorder) Result {
	res := Result{
		Experiment: name,
		Policy:     policy,
		Seed:       seed,
		Started:    started,
		Elapsed:    elapsed,
		Latencies:  make(map[string]Summary),
		Counts:     rec.Counts(),
		Errors:     rec.Errors(),
	}
	for _, name := range rec.LatencyNames() {
		res.Latencies[name] = rec.Summary(name)
	}
	return res
}

// WriteTable prints one row for each latency and count of each result.
func WriteTable(out io.Writer, results []Result) error {
	tab := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tab, "experiment\tpolicy\tmeasure\tcount\tmedian\tp95\tp99\tmax")
	for _, res := range results {
		for _, name := range sortedKeys(res.Latencies) {
			sum := res.Latencies[name]
			fmt.Fprintf(tab, "%s\t%s\t%s\t%d\t%v\t%v\t%v\t%v\n", res.Experiment, res.Policy, name, sum.Count,
				roundLatency(sum.Median), roundLatency(sum.P95), roundLatency(sum.P99), roundLatency(sum.Max))
		}
		for _, name := range sortedKeys(res.Counts) {
			fmt.Fprintf(tab, "%s\t%s\t%s\t%d\t\t\t\t\n", res.Experiment, res.Policy, name, res.Counts[name])
		}
	}
	if err := tab.Flush(); err != nil {
		return err
	}
	return writeFailures(out, results)
}

// writeFailures prints the errors and violations below the table, whose columns
// they would widen.
func writeFailures(out io.Writer, results []Result) error {
	for _, res := range results {
		for _, name := range sortedKeys(res.Errors) {
			if _, err := fmt.Fprintf(out, "%s %s %s: %s\n", res.Experiment, res.Policy, name, res.Errors[name]); err != nil {
				return err
			}
		}
		for _, vio := range res.Violations {
			if _, err := fmt.Fprintf(out, "%s %s VIOLATION: %s\n", res.Experiment, res.Policy, vio); err != nil {
				return err
			}
		}
	}
	return nil
}

// Report is the JSON form of a bench command's output.
type Report struct {
	Size     Size
	Verdicts []Verdict
	Results  []Result
}

// Write prints the results and the verdicts. It ignores write errors; to detect
// them, pass a writer that records them.
func (rep Report) Write(out io.Writer) {
	_ = WriteTable(out, rep.Results)
	_ = WriteVerdicts(out, rep.Verdicts)
}

// WriteJSON writes a report to a file as indented JSON.
func WriteJSON(path string, rep Report) error {
	doc, err := json.MarshalIndent(rep, "", "  ")
	if err != nil {
		return fmt.Errorf("encode results: %w", err)
	}
	if err := os.WriteFile(path, append(doc, '\n'), 0o644); err != nil {
		return fmt.Errorf("write results: %w", err)
	}
	return nil
}

func roundLatency(dur time.Duration) time.Duration {
	if dur < 10*time.Millisecond {
		return dur.Round(time.Microsecond)
	}
	return dur.Round(100 * time.Microsecond)
}

func sortedKeys[V any](set map[string]V) []string {
	keys := make([]string, 0, len(set))
	for key := range set {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
