package bwforward_test

import (
	"fmt"
	"testing"
)

// Measures the time that the quarantine is locked for a response, a new request and a
// crash, by the number of parts of a prompt.
func BenchmarkQuarantine(b *testing.B) {
	for _, parts := range []int{4, 19, 900} {
		own := longPrompt(0, parts)
		for _, tt := range []struct {
			name string
			do   func(*quarantineTest)
		}{
			{"served", func(qt *quarantineTest) { qt.RecordServed(own) }},
			{"found", func(qt *quarantineTest) { qt.Find(own) }},
			{"crashed", func(qt *quarantineTest) { qt.crash(own) }},
		} {
			b.Run(fmt.Sprint(tt.name, parts), func(b *testing.B) {
				qt := newQuarantineTest()
				qt.crash(prompt{"d"}, prompt{"d"}, prompt{"d"})
				for b.Loop() {
					tt.do(qt)
				}
			})
		}
	}
}
