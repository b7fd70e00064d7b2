package bwsoak_test

import (
	"testing"
	"time"

	"bilberrywick/bench/bwsoak"
)

// Guards against wrong responses, repeated actions and lost tickets while faults
// of all kinds overlap. SettleTimeout is long, so that the result does not depend
// on the machine's load.
func TestShortSoak(t *testing.T) {
	const seed = 11
	t.Logf("seed %d", seed)
	rpt, err := bwsoak.Run(t.Context(), bwsoak.Config{
		Seed:           seed,
		Generations:    100,
		Actions:        100,
		Workers:        6,
		ParallelFaults: 4,
		RoundLength:    3 * time.Second,
		SettleTimeout:  time.Minute,
		FinalWait:      time.Second,
		TimeLimit:      time.Minute,
	})
	if err != nil {
		t.Fatal(err)
	}
	for _, vio := range rpt.Violations {
		t.Errorf("%s: %s: %s", vio.Check, vio.Request, vio.Detail)
	}
	for _, name := range []string{"GenerationsDone", "ActionsDone", "LookupsDone", "TicketsAccepted", "TicketChecks"} {
		if rpt.Counts[name] == 0 {
			t.Errorf("count %s is 0, want at least 1", name)
		}
	}
}
