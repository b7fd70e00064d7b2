package bwlauncher_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const page = "../../docs/operations/first-day.md"

// Guards against a first day that no longer works, and against a page that
// shows other output than the commands give. The commands run in this process.
func TestFirstDayPage(t *testing.T) {
	data, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}
	_, part, _ := strings.Cut(string(data), "\n## A fleet on one machine\n")
	part, _, _ = strings.Cut(part, "\n## ")
	shl := newShell(t, "../../examples/loopback")
	steps := readSteps(part)
	if len(steps) < 10 {
		t.Fatalf("the page has %d steps", len(steps))
	}
	for _, stp := range steps {
		shl.play(stp)
	}
}

// step is a block of commands with the output that the page shows.
type step struct {
	commands []string
	want     string
}

// readSteps returns the blocks of commands, each with the text block that follows it.
func readSteps(txt string) []step {
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

// copyExamples copies the example files, with all loopback addresses moved to
// one of this test's own, so that tests that run at the same time don't meet.
func copyExamples(t *testing.T, from string, move *strings.Replacer) string {
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
		if err := os.WriteFile(filepath.Join(dir, filepath.Base(file)), []byte(move.Replace(string(data))), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return dir
}
