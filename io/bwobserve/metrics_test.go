package bwobserve_test

import (
	"bytes"
	"os"
	"reflect"
	"regexp"
	"strings"
	"testing"

	"bilberrywick/io/bwobserve"
)

const metricsPage = "../../docs/metrics.md"

// Guards against metrics that are missing from docs/metrics.md or described
// differently there, and against rows for removed metrics.
func TestPageIsComplete(t *testing.T) {
	data, err := os.ReadFile(metricsPage)
	if err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(string(data), "\n")
	rows := make(map[string]bool)
	for _, def := range bwobserve.NewMetrics().Definitions() {
		rows[def.MarkdownRow()] = true
	}
	for _, line := range lines {
		if strings.HasPrefix(line, "| `bilberrywick_") && !rows[line] {
			t.Errorf("docs/metrics.md has a row for no metric: %s", line)
		}
		delete(rows, line)
	}
	for row := range rows {
		t.Errorf("docs/metrics.md lacks the row %s", row)
	}
}

// Guards against fields of Metrics that are never set, and against metrics
// without a field.
func TestEveryMetricIsDeclared(t *testing.T) {
	mx := bwobserve.NewMetrics()
	val := reflect.ValueOf(mx).Elem()
	fields := 0
	for _, sf := range reflect.VisibleFields(val.Type()) {
		if !sf.IsExported() {
			continue
		}
		fields++
		if val.FieldByIndex(sf.Index).IsNil() {
			t.Errorf("%s is nil", sf.Name)
		}
	}
	if got := len(mx.Definitions()); got != fields {
		t.Errorf("%d definitions for %d fields", got, fields)
	}
}

// Guards against metric names without a unit, and against "_total" in the name
// of a metric that is no counter.
func TestNamesHaveUnits(t *testing.T) {
	form := regexp.MustCompile(`^bilberrywick_[a-z_]+$`)
	units := regexp.MustCompile(`_(seconds|bytes|tokens|requests|ratio|total|number|held|actions)$|_(members|ready|draining)$`)
	for _, def := range bwobserve.NewMetrics().Definitions() {
		if !form.MatchString(def.Name) || !units.MatchString(def.Name) {
			t.Errorf("%s is not a valid name with a unit", def.Name)
		}
		if (def.Kind == bwobserve.CounterMetric) != strings.HasSuffix(def.Name, "_total") {
			t.Errorf("%s: counters, and only counters, must end in _total", def.Name)
		}
	}
}

// Guards against label values that exhaust memory or are not escaped, and
// against allocations in lookups of existing series.
func TestSeriesLimitAndEscaping(t *testing.T) {
	mx := bwobserve.NewMetrics()
	mx.Requests.With("a\"\n", "Done").Inc()
	for ix := range 10000 {
		mx.TeamTokens.With(string(rune('a'+ix%26)) + strings.Repeat("x", ix/26)).Inc()
	}
	var out bytes.Buffer
	mx.Write(&out)
	if !strings.Contains(out.String(), `bilberrywick_requests_total{service="a\"\n",outcome="Done"} 1`) {
		t.Error("labels are not escaped")
	}
	if got := strings.Count(out.String(), "bilberrywick_team_work_tokens_total{"); got > 8200 {
		t.Errorf("%d series of one metric, want at most 8200", got)
	}
	if allocs := testing.AllocsPerRun(100, func() { mx.Requests.With("a\"\n", "Done").Inc() }); allocs > 0 {
		t.Errorf("%v allocations for an existing series, want 0", allocs)
	}
}
