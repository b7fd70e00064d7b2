package bwbench

import (
	"fmt"
	"runtime"
	"syscall"
	"time"
)

// resourceUsage holds the process's CPU time and allocations at the start of a
// load.
type resourceUsage struct {
	cpu     time.Duration
	mallocs uint64
}

// Names of the counts of the whole process during a load.
const (
	cpuMicrosMeasure   = "Process.CPUMicroseconds"
	allocationsMeasure = "Process.Allocations"
)

// startUsage measures the usage of the process so far.
func startUsage() (resourceUsage, error) {
	cpu, err := processCPU()
	if err != nil {
		return resourceUsage{}, err
	}
	var mem runtime.MemStats
	runtime.ReadMemStats(&mem)
	return resourceUsage{cpu: cpu, mallocs: mem.Mallocs}, nil
}

// recordSince adds the CPU time and the allocations since usg was measured. It
// adds nothing if the CPU time can't be read.
func (usg resourceUsage) recordSince(rec *Recorder) {
	cpu, err := processCPU()
	if err != nil {
		return
	}
	var mem runtime.MemStats
	runtime.ReadMemStats(&mem)
	rec.AddCount(cpuMicrosMeasure, (cpu - usg.cpu).Microseconds())
	rec.AddCount(allocationsMeasure, int64(mem.Mallocs-usg.mallocs))
}

func processCPU() (time.Duration, error) {
	var usg syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usg); err != nil {
		return 0, fmt.Errorf("read the process's CPU time: %w", err)
	}
	return time.Duration(usg.Utime.Nano() + usg.Stime.Nano()), nil
}
