package bwfault

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
)

// Report is what a run found.
type Report struct {
	Seed uint64
	// Counts are the outcomes, faults and checks by name.
	Counts     map[string]int64
	Violations []Violation
	// Dropped is the number of violations beyond those kept.
	Dropped int
}

// Violation is one broken guarantee.
type Violation struct {
	Check string
	// Request names the request, key, ticket or process.
	Request string
	Detail  string
}

// maxViolations bounds the violations that are kept.
const maxViolations = 100

// Write prints the counts and the violations; a writer that fails has to say so
// itself.
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

// Recorder collects a report from many goroutines.
type Recorder struct {
	mu  sync.Mutex
	rpt Report
}

// NewRecorder returns a Recorder of a run with a seed.
func NewRecorder(seed uint64) *Recorder {
	return &Recorder{rpt: Report{Seed: seed, Counts: make(map[string]int64)}}
}

// AddCount adds to a count.
func (rec *Recorder) AddCount(name string, by int64) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.rpt.Counts[name] += by
}

// RecordViolation notes a broken guarantee.
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

// ViolationCount returns the number of broken guarantees.
func (rec *Recorder) ViolationCount() int {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	return len(rec.rpt.Violations) + rec.rpt.Dropped
}

// Report returns what was found so far.
func (rec *Recorder) Report() Report {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rpt := rec.rpt
	rpt.Counts = maps.Clone(rpt.Counts)
	rpt.Violations = slices.Clone(rpt.Violations)
	return rpt
}
