package bwlauncher_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const pagePath = "../../docs/operations/first-day.md"

// Guards against commands of the first-day page that fail, and against output that
// differs from the page. The commands run in the test's process.
func TestFirstDayPage(t *testing.T) {
	data, err := os.ReadFile(pagePath)
	if err != nil {
		t.Fatal(err)
	}
	_, section, _ := strings.Cut(string(data), "\n## A fleet on one machine\n")
	section, _, _ = strings.Cut(section, "\n## ")
	shl := newShell(t, "../../examples/loopback")
	steps := parseSteps(section)
	if len(steps) < 10 {
		t.Fatalf("the page has %d steps", len(steps))
	}
	for _, stp := range steps {
		shl.runStep(stp)
	}
}

// step is a block of commands and their expected output; empty means that any is accepted.
type step struct {
	commands []string
	want     string
}

// parseSteps returns the blocks of type sh, each with the text block that follows it.
func parseSteps(txt string) []step {
	var steps []step
	for {
		_, rest, found := strings.Cut(txt, "\n```")
		if !found {
			return steps
		}
		block, after, _ := strings.Cut(rest, "\n```")
		kind, body, _ := strings.Cut(block, "\n")
		switch kind {
		case "sh":
			steps = append(steps, step{commands: strings.Split(body, "\n")})
		case "text":
			steps[len(steps)-1].want = body
		}
		txt = after
	}
}

// copyExamples copies the example files to a temporary directory and replaces the
// loopback address by the test's, so that concurrent tests don't use the same ports.
func copyExamples(t *testing.T, from string, toTestAddress *strings.Replacer) string {
	t.Helper()
	dir := t.TempDir()
	files, err := filepath.Glob(filepath.Join(from, "*.json"))
	if err != nil || len(files) == 0 {
		t.Fatalf("%s: %d files, %v", from, len(files), err)
	}
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(filepath.Join(dir, filepath.Base(file)), []byte(toTestAddress.Replace(string(data))), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return dir
}
