package bwfault

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
)

// Report holds the results of a run.
type Report struct {
	Seed uint64
	// Counts holds the numbers of outcomes, faults and checks by name.
	Counts     map[string]int64
	Violations []Violation
	// Dropped is the number of violations that are not listed.
	Dropped int
}

// Violation describes one violated guarantee.
type Violation struct {
	Check string
	// Request names the request, key, ticket or process concerned.
	Request string
	Detail  string
}

// maxViolations limits the violations that a report lists.
const maxViolations = 100

// Write prints the counts and the violations. It ignores write errors; to detect
// them, pass a writer that records them.
func (rpt Report) Write(out io.Writer) {
	_, _ = fmt.Fprintf(out, "seed %d\n", rpt.Seed)
	for _, name := range slices.Sorted(maps.Keys(rpt.Counts)) {
		_, _ = fmt.Fprintf(out, "%-36s %8d\n", name, rpt.Counts[name])
	}
	for _, vio := range rpt.Violations {
		_, _ = fmt.Fprintf(out, "violation of %s: %s: %s\n", vio.Check, vio.Request, vio.Detail)
	}
	_, _ = fmt.Fprintf(out, "%d violations\n", len(rpt.Violations)+rpt.Dropped)
}

// Recorder collects a Report. It is safe for concurrent use.
type Recorder struct {
	mu  sync.Mutex
	rpt Report
}

// NewRecorder returns an empty Recorder for a run with a seed.
func NewRecorder(seed uint64) *Recorder {
	return &Recorder{rpt: Report{Seed: seed, Counts: make(map[string]int64)}}
}

// AddCount adds to the named count.
func (rec *Recorder) AddCount(name string, by int64) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.rpt.Counts[name] += by
}

// RecordViolation records a violation.
func (rec *Recorder) RecordViolation(check, request, format string, args ...any) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	if len(rec.rpt.Violations) >= maxViolations {
		rec.rpt.Dropped++
		return
	}
	vio := Violation{Check: check, Request: request, Detail: fmt.Sprintf(format, args...)}
	rec.rpt.Violations = append(rec.rpt.Violations, vio)
}

// ViolationCount returns the number of violations, including dropped ones.
func (rec *Recorder) ViolationCount() int {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	return len(rec.rpt.Violations) + rec.rpt.Dropped
}

// Report returns a copy of the results so far.
func (rec *Recorder) Report() Report {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rpt := rec.rpt
	rpt.Counts = maps.Clone(rpt.Counts)
	rpt.Violations = slices.Clone(rpt.Violations)
	return rpt
}
