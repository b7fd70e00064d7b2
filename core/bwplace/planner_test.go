package bwplace_test

import (
	"fmt"
	"testing"
	"time"

	"bilberrywick/core/bwmodel"
	"bilberrywick/core/bwplace"
)

const gib = 1 << 30

// fleet returns engines in three zones that all hold model a.
func fleet(count int) []bwplace.Engine {
	engs := make([]bwplace.Engine, count)
	for idx := range engs {
		engs[idx] = bwplace.Engine{
			Upstream: bwmodel.UpstreamID(fmt.Sprintf("u%d", idx)), Zone: bwmodel.ZoneID(fmt.Sprintf("z%d", idx%3)),
			Loaded: []string{"a"}, TokensPerSecond: 1000, Usable: true,
		}
	}
	return engs
}

// execute applies the load and unload orders to the engines immediately.
func execute(engs []bwplace.Engine, ords []bwplace.Order) {
	for _, ord := range ords {
		for idx := range engs {
			if engs[idx].Upstream == ord.Upstream && ord.Load != "" {
				if ord.Unload != "" {
					engs[idx].Loaded = nil
				}
				engs[idx].Loaded = append(engs[idx].Loaded, ord.Load)
			}
		}
	}
}

// Guards against a planner that leaves engines idle while a model has too few.
func TestDemandMovesEngines(t *testing.T) {
	pl, err := bwplace.New(bwplace.Config{WeightBytesPerSecond: gib})
	if err != nil {
		t.Fatal(err)
	}
	engs := fleet(10)
	now := time.Unix(0, 0)
	for range 300 {
		ords, _ := pl.Plan(bwplace.Input{
			Now: now, Engines: engs,
			Models: []bwplace.Model{
				{Name: "a", Demand: 1000, Bytes: 10 * gib, MinEngines: 1},
				{Name: "b", Demand: 3000, Bytes: 10 * gib, MinEngines: 1},
			},
		})
		execute(engs, ords)
		now = now.Add(time.Second)
	}
	held := 0
	for _, eng := range engs {
		if eng.Loaded[0] == "b" {
			held++
		}
	}
	if held != 4 {
		t.Fatalf("%d engines hold b, want 4", held)
	}
}
