package main_test

import (
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

const checkedState = `{"version":7,"routes":[
 {"name":"chat","host":"h.example","prefix":"/a/","kind":"streaming","timeoutMs":25000,"service":"model","maxAttempts":5,"resumable":true}],
 "services":[{"name":"model","healthPath":"/h","engine":{"slots":64,"kvCapacity":88000,"backups":true}}],
 "tenants":[{"name":"alpha","apiKeys":["very-secret"]}]}`

// Guards against a check that accepts an invalid file, does not report the
// cause, or prints the keys of the teams.
func TestCheck(t *testing.T) {
	dir := t.TempDir()
	binary := filepath.Join(dir, "gateway")
	if out, err := exec.CommandContext(t.Context(), "go", "build", "-o", binary, ".").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	good := write("good.json", checkedState)
	settings := filepath.Join("..", "..", "deploy", "gateway.json")
	broken := write("settings.json", `{"Member":"g1","Zone":"z1","Callers":"127.0.0.1:1","Status":"x","Peers":"127.0.0.1:3","Store":"127.0.0.1:4","GraceTime":"1ms"}`)
	tests := []struct {
		name string
		args []string
		fail bool
		want []string
		// unwanted must not be in the output.
		unwanted string
	}{
		{"state", []string{"--state", good}, false, []string{"State 7", "chat", "/a/", "EventStream", "25s", "64 slots", "alpha"}, "very-secret"},
		{"state as JSON", []string{"--state", good, "--output", "json"}, false, []string{`"Version": 7`, `"Keys": 1`}, "very-secret"},
		{"broken state", []string{"--state", write("bad.json", `{"version":"seven"}`)}, true, []string{"bad.json", "version"}, "panic"},
		{"broken settings", []string{"--settings", broken}, true, []string{"Status", "GraceTime"}, "panic"},
		{"template", []string{"--settings", settings}, true, []string{"gateway.json"}, "panic"},
		{"no file", nil, true, []string{"--settings or --state"}, "panic"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			out, err := exec.CommandContext(t.Context(), binary, append([]string{"check"}, tt.args...)...).CombinedOutput()
			if (err != nil) != tt.fail {
				t.Errorf("error %v\n%s", err, out)
			}
			for _, want := range tt.want {
				if !strings.Contains(string(out), want) {
					t.Errorf("output lacks %q:\n%s", want, out)
				}
			}
			if strings.Contains(string(out), tt.unwanted) {
				t.Errorf("output has %q:\n%s", tt.unwanted, out)
			}
			if strings.HasSuffix(tt.name, "JSON") && !json.Valid(out) {
				t.Errorf("not JSON: %s", out)
			}
		})
	}
}
