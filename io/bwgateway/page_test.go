package bwgateway_test

import (
	"os"
	"regexp"
	"strings"
	"testing"

	"bilberrywick/io/bwgateway"
	"bilberrywick/io/bwsettings"
)

// Guards against a documentation page that lacks a setting or a metric, or
// lists one that does not exist.
func TestDocsListSettingsAndMetrics(t *testing.T) {
	data, err := os.ReadFile("../../docs/gateway.md")
	if err != nil {
		t.Fatal(err)
	}
	page := string(data)
	fields := bwsettings.Fields[bwgateway.Settings]()
	for _, fld := range fields {
		if !strings.Contains(page, "| `"+fld.Path+"` |") {
			t.Errorf("setting %s is missing on the page", fld.Path)
		}
	}
	rows := regexp.MustCompile("(?m)^\\| `[A-Z][A-Za-z]+` \\|").FindAllString(page, -1)
	if len(rows) != len(fields) {
		t.Errorf("the page has %d rows for %d settings", len(rows), len(fields))
	}
	var code strings.Builder
	for _, name := range []string{"metrics.go", "process.go"} {
		text, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		code.Write(text)
	}
	names := regexp.MustCompile(`bilberrywick_gateway_[a-z_]+`)
	for _, name := range names.FindAllString(code.String(), -1) {
		if !strings.Contains(page, "`"+name+"`") {
			t.Errorf("metric %s is missing on the page", name)
		}
	}
	for _, name := range names.FindAllString(page, -1) {
		if !strings.Contains(code.String(), name) {
			t.Errorf("metric %s is not in the code", name)
		}
	}
}
