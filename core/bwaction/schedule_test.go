package bwaction_test

import (
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"bilberrywick/core/bwaction"
	"bilberrywick/core/bwmodel"
)

// schedule tracks the expected state of one key while messages reach its agent
// in any order.
type schedule struct {
	led *bwaction.Ledger
	clk *manualClock
	// started counts the actions that were sent to the upstream and not aborted.
	started int
	running bool
	// sealed is the highest fence that the agent has reported as sealed.
	sealed bwmodel.Fence
}

// apply applies one event and reports whether the guarantees still hold. The
// expiry of a message depends on its fence, because each reservation has one
// expiry.
func (sch *schedule) apply(event uint8) bool {
	fence := bwmodel.Fence(1 + event/8%6)
	expiry := time.Duration(fence) * 4 * time.Second
	switch event % 8 {
	case 0, 1, 2:
		if sch.led.Begin(dispatchAt(fence, expiry)) != nil {
			return true
		}
		sch.started++
		sch.running = true
		return sch.started == 1 && fence > sch.sealed
	case 3, 4:
		stl, err := sch.led.Settle(settleAt(fence, expiry))
		if err == nil && stl.State == bwmodel.SettleSealed {
			sch.sealed = max(sch.sealed, fence)
			return sch.started == 0
		}
	case 5:
		sch.led.Finish(testKey, bwmodel.HTTPResponse{Status: 200})
		sch.running = false
	case 6:
		if sch.running {
			sch.led.Abort(testKey)
			sch.running = false
			sch.started--
		}
	case 7:
		sch.clk.now = sch.clk.now.Add(time.Duration(fence) * time.Second)
	}
	return true
}

// Guards against an order of delayed, repeated and lost messages in which an
// agent starts a key twice or starts a sealed dispatch.
func TestLedgerSchedules(t *testing.T) {
	const seed = 41
	t.Logf("seed %d", seed)
	params := gopter.DefaultTestParametersWithSeed(seed)
	params.MinSuccessfulTests = 2000
	props := gopter.NewProperties(params)
	props.Property("a key starts once and never after a seal", prop.ForAll(
		func(events []uint8) bool {
			led, clk := newLedger(bwaction.LedgerConfig{Retention: 2 * time.Second, MaxEntries: 4})
			sch := &schedule{led: led, clk: clk}
			for _, event := range events {
				if !sch.apply(event) {
					return false
				}
			}
			return true
		},
		gen.SliceOf(gen.UInt8()),
	))
	props.TestingRun(t)
}
