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

// Result is what one experiment measured under one policy.
type Result struct {
	Experiment string
	Policy     string
	Seed       uint64
	Started    time.Time
	Elapsed    time.Duration
	// Latencies are in nanoseconds in the JSON form.
	Latencies map[string]Summary
	Counts    map[string]int64
	// Errors holds the first error of each kind of failure.
	Errors map[string]string
	// Violations lists broken guarantees; an empty list is a pass.
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
				round(sum.Median), round(sum.P95), round(sum.P99), round(sum.Max))
		}
		for _, name := range sortedKeys(res.Counts) {
			fmt.Fprintf(tab, "%s\t%s\t%s\t%d\t\t\t\t\n", res.Experiment, res.Policy, name, res.Counts[name])
		}
	}
	if err := tab.Flush(); err != nil {
		return err
	}
	return writeFaults(out, results)
}

// writeFaults prints the errors and violations, whose length would widen the table.
func writeFaults(out io.Writer, results []Result) error {
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

// Write prints the results and the verdicts; a writer that fails has to say so
// itself.
func (rep Report) Write(out io.Writer) {
	_ = WriteTable(out, rep.Results)
	_ = WriteVerdicts(out, rep.Verdicts)
}

// WriteJSON writes a report to a file.
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

func round(dur time.Duration) time.Duration {
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
