package bwforward_test

import (
	"testing"
	"time"

	"bilberrywick/core/bwforward"
)

// Guards against callers that came back and are taken for new ones, and against
// callers with less time than others that are taken for ones that came back.
func TestCallerAges(t *testing.T) {
	const full = 25 * time.Second
	tests := []struct {
		name string
		// lefts are the times of the callers before the last one, in turn.
		lefts []time.Duration
		last  time.Duration
		want  time.Duration
	}{
		{"first attempt", []time.Duration{full}, full, 0},
		{"came back", []time.Duration{full}, full - 3*time.Second, 3 * time.Second},
		{"came back at a crest", []time.Duration{full, full - 3*time.Second}, full - 4*time.Second, 4 * time.Second},
		{"small differences", []time.Duration{full}, full - 100*time.Millisecond, 0},
		{"callers with many times", []time.Duration{full, full / 2, full / 3, full / 4, full / 5}, full / 3, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var cgs bwforward.CallerAges
			for ix := range 400 {
				cgs.Observe("r", tt.lefts[ix%len(tt.lefts)])
			}
			if got := cgs.Observe("r", tt.last); got != tt.want {
				t.Errorf("age %v, want %v", got, tt.want)
			}
		})
	}
	// One caller has more time than the others.
	var odd bwforward.CallerAges
	for range 400 {
		odd.Observe("r", full)
	}
	odd.Observe("r", 2*full)
	for range 400 {
		if got := odd.Observe("r", full); got != 0 {
			t.Fatalf("age %v after one caller had more time, want 0", got)
		}
	}
	// The time of all callers changes.
	var cgs bwforward.CallerAges
	for range 400 {
		cgs.Observe("r", full)
	}
	for range 400 {
		cgs.Observe("r", full/2)
	}
	if got := cgs.Observe("r", full/2); got != 0 {
		t.Errorf("age %v after the time of all callers changed, want 0", got)
	}
}
