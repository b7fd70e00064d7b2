package bwcapacity_test

import (
	"bytes"
	"errors"
	"math"
	"path/filepath"
	"strings"
	"testing"

	"bilberrywick/bench/bwcapacity"
)

// Guards against a wrong fit: the line must go through points that are collinear.
func TestMeasureSlopeFitsLine(t *testing.T) {
	slp, err := bwcapacity.MeasureSlope("Cost", "teams", bwcapacity.Bytes, []int{10, 100, 3100}, func(size int) float64 {
		return 50 + 3*float64(size)
	})
	if err != nil {
		t.Fatal(err)
	}
	if math.Abs(slp.Base-50) > 1e-6 || math.Abs(slp.Each-3) > 1e-9 {
		t.Errorf("fitted line is %v + %v × size, want 50 + 3 × size", slp.Base, slp.Each)
	}
	if _, err := bwcapacity.MeasureSlope("Cost", "teams", bwcapacity.Bytes, []int{1, 2}, func(int) float64 { return 0 }); !errors.Is(err, bwcapacity.ErrTooFewSizes) {
		t.Errorf("two sizes return %v, want ErrTooFewSizes", err)
	}
}

// Guards against a table that silently omits a cost that was not measured, and
// against a committed slopes file that lacks a slope of the estimate.
func TestEstimateCostsNeedsEverySlope(t *testing.T) {
	mst, err := bwcapacity.LoadMeasurement(filepath.Join("..", "..", "docs", "capacity-slopes.json"))
	if err != nil {
		t.Fatal(err)
	}
	rows, err := bwcapacity.EstimateCosts(mst, bwcapacity.TargetScale())
	if err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	if err := bwcapacity.WriteMarkdown(&out, rows); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"### router", "### agent", "### table", "sum of control"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("table does not contain %q", want)
		}
	}
	mst.Slopes = mst.Slopes[1:]
	if _, err := bwcapacity.EstimateCosts(mst, bwcapacity.TargetScale()); err == nil {
		t.Error("an estimate without the first slope returns no error")
	}
}

// Guards against derived figures that differ from the target for each router:
// 14 requests and 6,500 tokens a second, and about 300 open generations.
func TestTargetScale(t *testing.T) {
	scl := bwcapacity.TargetScale()
	if got := scl.RouterRequests(); got != 14 {
		t.Errorf("RouterRequests() = %v requests a second, want 14", got)
	}
	if got := scl.RouterTokens(); got != 6500 {
		t.Errorf("RouterTokens() = %v tokens a second, want 6500", got)
	}
	if got := scl.OpenGenerations(); got < 290 || got > 310 {
		t.Errorf("OpenGenerations() = %v for each router, want 290 to 310", got)
	}
}
