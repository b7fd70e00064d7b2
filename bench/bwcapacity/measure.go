package bwcapacity

import (
	"runtime"
	"time"

	"bilberrywick/core/bwmodel"
)

// RecordBytes is the name of the slope of a generation record's memory.
const RecordBytes = "RecordBytes"

// MeasureAll measures all slopes on this machine, which takes a few minutes.
func MeasureAll(now func() time.Time) (Measurement, error) {
	slopes, err := messageSlopes()
	if err != nil {
		return Measurement{}, err
	}
	decisions, err := decisionSlopes()
	if err != nil {
		return Measurement{}, err
	}
	record, err := MeasureSlope(RecordBytes, "tokens", Bytes, []int{1 << 10, 1 << 12, 1 << 14}, func(count int) float64 {
		return heapBytes(func() any { return &bwmodel.GenerationRecord{Issued: tokens(count)} })
	})
	if err != nil {
		return Measurement{}, err
	}
	mst := Measurement{
		Measured:  now(),
		GoVersion: runtime.Version(),
		Cores:     runtime.NumCPU(),
		Slopes:    append(append(slopes, decisions...), record),
	}
	return mst, nil
}
