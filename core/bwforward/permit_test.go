package bwforward_test

import (
	"fmt"
	"testing"
	"time"

	"bilberrywick/core/bwforward"
	"bilberrywick/core/bwmodel"
)

// Guards against a gateway that grants a window again and again, or one that is far
// from its clock, and against a refusal that names no time.
func TestPermitLedger(t *testing.T) {
	var pld bwforward.PermitLedger
	const clock = time.Hour
	pwn := bwforward.NewPermitWindow("up", 10, clock)
	granted := 0
	for range 20 {
		if pld.Take(pwn, clock).Granted {
			granted++
		}
	}
	if granted != pwn.Permits {
		t.Errorf("%d permits granted of a window of %d", granted, pwn.Permits)
	}
	first, second := pld.Take(pwn, clock), pld.Take(pwn, clock)
	if first.Blocked <= 0 || first.Wait < first.Blocked || second.Wait <= first.Wait {
		t.Errorf("refused with %+v and then %+v, want growing times", first, second)
	}
	for range 10_000 {
		pld.Take(pwn, clock)
	}
	if last := pld.Take(pwn, clock); last.Wait > time.Minute {
		t.Errorf("the last of 10,000 callers is told to come back after %v", last.Wait)
	}
	for _, other := range []time.Duration{clock - time.Minute, clock + time.Minute} {
		if pld.Take(bwforward.NewPermitWindow("up", 10, other), clock).Granted {
			t.Errorf("a permit was granted at %v for a window at %v", clock, other)
		}
	}
}

// Guards against a limit that an older response ends, and one that stays when a later
// response names none; against work for an upstream whose permits are used up; and
// against an upstream that is never tried again when the others have room.
func TestUpstreamLimit(t *testing.T) {
	clk := newClock()
	pl := bwforward.NewPool(bwforward.PoolConfig{Zone: "z", Now: clk.read})
	pl.Update([]bwforward.Upstream{{ID: "limited", Service: "pult", Zone: "z", Slots: 6}, {ID: "sound", Service: "pult", Zone: "other", Slots: 6}})
	nd := pl.Node("limited")
	wrk := bwforward.Work{Service: bwforward.Service{Name: "pult"}}
	limit := 2.0
	sentBefore := clk.now
	clk.now = clk.now.Add(time.Second)
	if !nd.ObserveLimit(&limit, sentBefore, clk.now) || nd.ObserveLimit(&limit, clk.now, clk.now) {
		t.Error("a new limit is not reported, or an old one is")
	}
	if nd.ObserveLimit(nil, sentBefore, clk.now) {
		t.Error("a response to a request from before the limit ended it")
	}
	if got := pl.Choose(wrk); got.ID != "sound" {
		t.Errorf("work goes to %s although a sound upstream has room", got.ID)
	}
	clk.now = clk.now.Add(10 * time.Second)
	if got := pl.Choose(wrk); got.ID != "limited" {
		t.Errorf("work goes to %s, want a test of the limited upstream", got.ID)
	}
	nd.RecordRefusedPermit(bwforward.PermitAnswer{Blocked: time.Second, Wait: 3 * time.Second}, clk.now)
	if got := pl.Choose(wrk); got.ID != "sound" {
		t.Errorf("work goes to %s, whose permits are used up", got.ID)
	}
	wrk.Exclude = []bwmodel.UpstreamID{"sound"}
	if got := pl.Choose(wrk); got != nil {
		t.Errorf("work goes to %s, whose permits are used up", got.ID)
	}
	if until, ok := pl.BlockedUntil("pult"); ok {
		t.Errorf("the service takes no requests until %v, although one upstream does", until)
	}
	pl.Node("sound").RecordBackOff(time.Minute, clk.now)
	if until, ok := pl.BlockedUntil("pult"); !ok || !until.Equal(clk.now.Add(3*time.Second)) {
		t.Errorf("the next permit is expected at %v (%v), want in 3 s", until, ok)
	}
	sentAfter := clk.now.Add(time.Millisecond)
	if !nd.ObserveLimit(nil, sentAfter, sentAfter) {
		t.Error("a response without a limit did not end it")
	}
	if got := pl.Choose(wrk); got == nil {
		t.Error("no work goes to an upstream whose limit has ended")
	}
}

// Guards against notes of limits that are lost on the way into the pool, and against
// values from the network that are no limits.
func TestLimitNotes(t *testing.T) {
	clk := newClock()
	pl := bwforward.NewPool(bwforward.PoolConfig{Zone: "z", Now: clk.read})
	pl.Update([]bwforward.Upstream{{ID: "up", Service: "pult", Zone: "z"}})
	pl.ApplyNote(bwforward.PeerNote{Kind: bwforward.LimitNote, Upstream: "up", Limit: -1})
	if _, limited := pl.Node("up").Limit(); limited {
		t.Error("a negative limit was taken")
	}
	pl.ApplyNote(bwforward.PeerNote{Kind: bwforward.LimitNote, Upstream: "up", Limit: 1.5})
	if got, _ := pl.Node("up").Limit(); got != 1.5 {
		t.Errorf("the limit is %v, want 1.5", got)
	}
	pl.ApplyNote(bwforward.PeerNote{Kind: bwforward.LimitEndNote, Upstream: "up"})
	if _, limited := pl.Node("up").Limit(); limited {
		t.Error("the limit has not ended")
	}
}

// Guards against gateways that hold most windows, or none.
func TestWindowsAreDealtEvenly(t *testing.T) {
	const gateways, windows = 100, 20_000
	var holders []bwforward.PermitHolder
	for ix := range gateways {
		holders = append(holders, bwforward.PermitHolder{Member: bwmodel.MemberID(fmt.Sprintf("front-%d", ix)), Until: 1 << 62})
	}
	held := make(map[bwmodel.MemberID]int)
	for ix := range windows {
		up := bwmodel.UpstreamID(fmt.Sprintf("i-%d", ix%7))
		held[bwforward.NewPermitWindow(up, 10, time.Hour+time.Duration(ix)*500*time.Millisecond).Holder(holders).Member]++
	}
	const fair = windows / gateways
	for _, hld := range holders {
		if held[hld.Member] < fair/2 || held[hld.Member] > 2*fair {
			t.Errorf("%s holds %d windows, a fair share is %d", hld.Member, held[hld.Member], fair)
		}
	}
}
