package bwforward_test

import (
	"testing"
	"time"

	"bilberrywick/core/bwforward"
)

// Guards against work for an upstream that has said that it leaves: while its entry does
// not say so, after the entry was lost and came back, and when another gateway was told;
// and against an upstream without work that has started again since.
func TestUpstreamSaysThatItLeaves(t *testing.T) {
	clk := newClock()
	pl := bwforward.NewPool(bwforward.PoolConfig{Zone: "z", Now: clk.read})
	up := bwforward.Upstream{ID: "up", Service: "pult", Zone: "z", StartTime: time.Unix(1, 0)}
	wrk := bwforward.Work{Service: bwforward.Service{Name: "pult"}}
	pl.Update([]bwforward.Upstream{up})
	nd := pl.Node("up")
	if !nd.MarkLeaving() || nd.MarkLeaving() {
		t.Error("a leaving upstream is not reported once")
	}
	if pl.Choose(wrk) != nil || pl.AcceptsWork(nd) {
		t.Error("work goes to an upstream that leaves")
	}
	pl.Update(nil)
	pl.Update([]bwforward.Upstream{up})
	if pl.Choose(wrk) != nil {
		t.Error("work goes to an upstream that leaves and whose entry came back")
	}
	late := bwforward.NewLeavingNote(up)
	up.StartTime = time.Unix(2, 0)
	pl.Update([]bwforward.Upstream{up})
	pl.ApplyNote(late)
	if pl.Choose(wrk) == nil {
		t.Error("no work goes to an upstream that has started again")
	}
	pl.ApplyNote(bwforward.NewLeavingNote(up))
	if pl.Choose(wrk) != nil {
		t.Error("work goes to an upstream of which another gateway knows that it leaves")
	}
}
