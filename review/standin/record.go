package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes what was sent, answered and run, one line each, with the time since
// the start of the script.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{file: file, start: time.Now()}, nil
}

func (rec *recorder) now() time.Duration { return time.Since(rec.start) }

func (rec *recorder) printf(format string, args ...any) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	fmt.Fprintf(rec.file, "%8.3f s  ", rec.now().Seconds())
	fmt.Fprintf(rec.file, format+"\n", args...)
}

// verdict writes a line to the record and to standard output.
func (rec *recorder) verdict(format string, args ...any) {
	rec.printf(format, args...)
	fmt.Printf(format+"\n", args...)
}
