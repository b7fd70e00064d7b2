package bwcapacity

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"runtime"
	"testing"
	"time"
)

// Slope is a cost measured at several sizes.
type Slope struct {
	Name string
	// Size names the counted objects, such as "teams".
	Size string
	// Unit is the unit of the values, such as "bytes".
	Unit   string
	Points []Point
	// Base and Each are the coefficients of the least-squares line
	// Base + Each × size.
	Base float64
	Each float64
}

// Point is the cost at one size.
type Point struct {
	Size  int
	Value float64
}

// At returns the cost at a size on the fitted line.
func (slp Slope) At(size float64) float64 { return slp.Base + slp.Each*size }

// Units of a measured cost.
const (
	Nanoseconds = "ns"
	Bytes       = "bytes"
)

// ErrTooFewSizes is returned when a slope is measured at fewer than three sizes.
var ErrTooFewSizes = errors.New("a slope needs at least three sizes")

// MeasureSlope calls a cost function for each size and fits a line through the
// results. It returns ErrTooFewSizes for fewer than three sizes.
func MeasureSlope(name, size, unit string, sizes []int, cost func(size int) float64) (Slope, error) {
	slp := Slope{Name: name, Size: size, Unit: unit}
	for _, count := range sizes {
		slp.Points = append(slp.Points, Point{Size: count, Value: cost(count)})
	}
	if len(slp.Points) < 3 {
		return Slope{}, fmt.Errorf("measure %s: %w", name, ErrTooFewSizes)
	}
	slp.Base, slp.Each = fit(slp.Points)
	return slp, nil
}

// fit returns the coefficients of the least-squares line through the points.
func fit(points []Point) (base, each float64) {
	var sumX, sumY, sumXX, sumXY float64
	for _, pnt := range points {
		size := float64(pnt.Size)
		sumX += size
		sumY += pnt.Value
		sumXX += size * size
		sumXY += size * pnt.Value
	}
	count := float64(len(points))
	each = (count*sumXY - sumX*sumY) / (count*sumXX - sumX*sumX)
	return (sumY - each*sumX) / count, each
}

// timePerCall returns the mean time of one call in nanoseconds.
func timePerCall(call func()) float64 {
	res := testing.Benchmark(func(bmk *testing.B) {
		for bmk.Loop() {
			call()
		}
	})
	return float64(res.NsPerOp())
}

// heapBytes returns the heap bytes that the built value retains.
func heapBytes(build func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	built := build()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(built)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

// Measurement holds a set of slopes and the conditions of their measurement.
type Measurement struct {
	Measured  time.Time
	GoVersion string
	Cores     int
	Slopes    []Slope
}

// Slope returns the named slope, or an error if it was not measured.
func (mst Measurement) Slope(name string) (Slope, error) {
	for _, slp := range mst.Slopes {
		if slp.Name == name {
			return slp, nil
		}
	}
	return Slope{}, fmt.Errorf("slope %q was not measured", name)
}

// LoadMeasurement reads a measurement from a JSON file.
func LoadMeasurement(path string) (Measurement, error) {
	doc, err := os.ReadFile(path)
	if err != nil {
		return Measurement{}, fmt.Errorf("read slopes: %w", err)
	}
	var mst Measurement
	if err := json.Unmarshal(doc, &mst); err != nil {
		return Measurement{}, fmt.Errorf("decode slopes in %s: %w", path, err)
	}
	return mst, nil
}

// Save writes the measurement to a JSON file.
func (mst Measurement) Save(path string) error {
	doc, err := json.MarshalIndent(mst, "", "  ")
	if err != nil {
		return fmt.Errorf("encode slopes: %w", err)
	}
	if err := os.WriteFile(path, append(doc, '\n'), 0o644); err != nil {
		return fmt.Errorf("write slopes: %w", err)
	}
	return nil
}
