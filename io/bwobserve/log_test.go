package bwobserve_test

import (
	"bytes"
	"encoding/json"
	"log/slog"
	"testing"

	"bilberrywick/core/bwmodel"
	"bilberrywick/io/bwobserve"
)

func newLog(out *bytes.Buffer, level slog.Level) *slog.Logger {
	return bwobserve.NewLog(bwobserve.LogConfig{
		Output: out,
		Level:  level,
		Member: bwmodel.Member{ID: "router-1", Role: bwmodel.RouterRole, Zone: "brezno"},
	})
}

// Guards against decision lines without the process's identity or with an
// unlimited number of candidates.
func TestLogDecision(t *testing.T) {
	var out bytes.Buffer
	dec := &bwobserve.Decision{Kind: "Route", Choice: "pult-1", Reason: "Cost"}
	for range 3000 {
		dec.Candidates = append(dec.Candidates, bwobserve.Candidate{Upstream: "pult-1", Cost: 0.25, Annotation: "slow"})
	}
	bwobserve.LogDecision(t.Context(), newLog(&out, slog.LevelInfo), dec)
	var line struct {
		Member, Zone, Message, Choice, Candidates, Request string
		Compared                                           int
	}
	if err := json.Unmarshal(out.Bytes(), &line); err != nil {
		t.Fatal(err)
	}
	if line.Member != "router-1" || line.Zone != "brezno" || line.Choice != "pult-1" || line.Compared != 3000 {
		t.Errorf("got %+v", line)
	}
	if out.Len() > 1000 {
		t.Errorf("the line has %d bytes, want at most 1000", out.Len())
	}
	log := newLog(&out, slog.LevelError)
	if allocs := testing.AllocsPerRun(100, func() { bwobserve.LogDecision(t.Context(), log, dec) }); allocs > 0 {
		t.Errorf("%v allocations for a decision below the log's level, want 0", allocs)
	}
}
