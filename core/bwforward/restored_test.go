package bwforward_test

import (
	"testing"
	"time"

	"bilberrywick/core/bwforward"
)

// Guards against a list from an older copy of the store that is believed: upstreams that
// leave or have left get work again, and those that started since the copy get none. And
// against upstreams that live and are never used again.
func TestRestoredListIsBelieved(t *testing.T) {
	// entry returns an entry of the upstream's run and report.
	entry := func(run, report int, leaving bool) *bwforward.Upstream {
		up := upstream("e1", "z1", 6)
		up.StartTime, up.Report, up.Leaving = time.Unix(int64(run), 0), uint64(report), leaving
		return &up
	}
	tests := []struct {
		name string
		// known is the entry before the restore, removed whether it was removed since.
		// The restored list has the copied entry, or none.
		known   *bwforward.Upstream
		removed bool
		copied  *bwforward.Upstream
		// written is the entry that the upstream writes afterwards, if any; lapses means
		// that its copy is removed.
		written *bwforward.Upstream
		lapses  bool
		// Wanted is whether work goes to the upstream right after the restore, after the
		// upstream's report, and ten seconds later.
		atOnce, reported, later bool
	}{
		{"ready", entry(1, 5, false), false, entry(1, 5, false), nil, false, true, true, true},
		{"leaving, listed as ready", entry(1, 9, true), false, entry(1, 5, false), entry(1, 10, true), false, false, false, false},
		{"leaving, listed as ready until it lapses", entry(1, 9, true), false, entry(1, 5, false), nil, true, false, false, false},
		{"removed, listed until it lapses", entry(1, 5, false), true, entry(1, 5, false), nil, true, false, false, false},
		{"removed by mistake, lives", entry(1, 5, false), true, entry(1, 5, false), nil, false, false, false, true},
		{"removed by mistake, reports", entry(1, 5, false), true, entry(1, 5, false), entry(1, 6, false), false, false, true, true},
		{"removed, has started again", entry(1, 5, false), true, entry(2, 1, false), nil, false, true, true, true},
		{"restarted since, listed with the earlier run", entry(2, 1, false), false, entry(1, 5, true), entry(2, 4, false), false, true, true, true},
		{"not in the copy, reports", entry(1, 1, false), false, nil, entry(1, 2, false), false, true, true, true},
		{"not in the copy, silent", entry(1, 1, false), false, nil, nil, false, true, true, false},
		{"not known", nil, false, entry(1, 5, false), nil, false, true, true, true},
	}
	for _, tst := range tests {
		t.Run(tst.name, func(t *testing.T) {
			clk := newClock()
			dir := bwforward.NewUpstreamDirectory()
			serves := func() bool {
				dir.Expire(clk.now)
				for _, up := range dir.Upstreams() {
					if up.ID == "e1" && !up.Leaving {
						return true
					}
				}
				return false
			}
			if tst.known != nil {
				dir.Replace([]bwforward.Upstream{*tst.known}, clk.now)
			}
			if tst.removed {
				dir.Remove("e1", clk.now)
			}
			clk.now = clk.now.Add(5 * time.Second)
			var list []bwforward.Upstream
			if tst.copied != nil {
				list = append(list, *tst.copied)
			}
			dir.ReplaceRestored(list, clk.now)
			if got := serves(); got != tst.atOnce {
				t.Errorf("in use right after the restore: %v, want %v", got, tst.atOnce)
			}
			clk.now = clk.now.Add(time.Second)
			if tst.written != nil {
				dir.Put(*tst.written, clk.now)
			} else {
				// The whole list may be read again.
				dir.Replace(list, clk.now)
			}
			if got := serves(); got != tst.reported {
				t.Errorf("in use after a report: %v, want %v", got, tst.reported)
			}
			clk.now = clk.now.Add(3 * time.Second)
			if tst.lapses {
				dir.Remove("e1", clk.now)
			}
			clk.now = clk.now.Add(7 * time.Second)
			if got := serves(); got != tst.later {
				t.Errorf("in use later: %v, want %v", got, tst.later)
			}
		})
	}
}
