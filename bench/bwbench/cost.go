package bwbench

import (
	"fmt"
	"runtime"
	"syscall"
	"time"
)

// cost is what the process has used when a load begins.
type cost struct {
	cpu     time.Duration
	mallocs uint64
}

// Counts of the whole process during a load.
const (
	cpuMicros   = "Process.CPUMicroseconds"
	allocations = "Process.Allocations"
)

func beginCost() (cost, error) {
	cpu, err := processCPU()
	if err != nil {
		return cost{}, err
	}
	var mem runtime.MemStats
	runtime.ReadMemStats(&mem)
	return cost{cpu: cpu, mallocs: mem.Mallocs}, nil
}

// record adds what the process has used since.
func (cst cost) record(rec *Recorder) {
	cpu, err := processCPU()
	if err != nil {
		return
	}
	var mem runtime.MemStats
	runtime.ReadMemStats(&mem)
	rec.AddCount(cpuMicros, (cpu - cst.cpu).Microseconds())
	rec.AddCount(allocations, int64(mem.Mallocs-cst.mallocs))
}

func processCPU() (time.Duration, error) {
	var usg syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usg); err != nil {
		return 0, fmt.Errorf("read the process's CPU time: %w", err)
	}
	return time.Duration(usg.Utime.Nano() + usg.Stime.Nano()), nil
}
