package bwforward_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"bilberrywick/core/bwforward"
	"bilberrywick/core/bwmodel"
)

// permitFleet is a fleet of gateways that take permits for one upstream. A gateway has
// a view of the members, which may be older than the fleet, and a clock that differs.
type permitFleet struct {
	rng     *rand.Rand
	members map[bwmodel.MemberID]*permitGateway
	order   []bwmodel.MemberID
}

type permitGateway struct {
	ledger  bwforward.PermitLedger
	members []bwmodel.MemberID
	skew    time.Duration
	// blockedUntil is when the gateway asks for a permit again.
	blockedUntil time.Duration
	frozen       bool
}

func newPermitFleet(size int) *permitFleet {
	flt := &permitFleet{rng: rand.New(rand.NewPCG(27, uint64(size))), members: make(map[bwmodel.MemberID]*permitGateway)}
	for ix := range size {
		flt.join(bwmodel.MemberID(fmt.Sprintf("gw-%d", ix)))
	}
	flt.announce()
	return flt
}

func (flt *permitFleet) join(id bwmodel.MemberID) {
	flt.members[id] = &permitGateway{skew: time.Duration(flt.rng.IntN(200)-100) * time.Millisecond}
	flt.order = append(flt.order, id)
}

// announce gives all gateways the current members.
func (flt *permitFleet) announce() {
	for _, pgw := range flt.members {
		pgw.members = slices.Clone(flt.order)
	}
}

// take reports whether a gateway chosen at random gets a permit.
func (flt *permitFleet) take(up bwmodel.UpstreamID, limit float64, now time.Duration) bool {
	pgw := flt.members[flt.order[flt.rng.IntN(len(flt.order))]]
	if pgw.frozen || now < pgw.blockedUntil {
		return false
	}
	clock := now + pgw.skew
	pwn := bwforward.NewPermitWindow(up, limit, clock)
	holder := flt.members[pwn.Holder(pgw.members)]
	if holder == nil || holder.frozen {
		pgw.blockedUntil = now + pwn.Left(clock)
		return false
	}
	ans := bwforward.PermitAnswer{Blocked: pwn.Left(clock)}
	if pwn.Holder(holder.members) == pwn.Holder(pgw.members) {
		ans = holder.ledger.Take(pwn, now+holder.skew)
	}
	pgw.blockedUntil = now + ans.Blocked
	return ans.Granted
}

// Guards against fleets that together send a limited upstream more than one and a half
// times its limit and five requests in any four seconds, while gateways join, stop,
// die and restart, and against fleets that use little of it.
func TestLimitHoldsForFleet(t *testing.T) {
	const (
		length       = 40 * time.Second
		tick         = time.Millisecond
		window       = 4 * time.Second
		factor       = 1.5
		slack        = 5
		minUsedShare = 0.6
		// firstChange and lastChange are the times between which the fleet changes. The
		// other gateways learn of a change after announceDelay.
		firstChange, lastChange = 10 * time.Second, 25 * time.Second
		announceDelay           = 3 * time.Second
	)
	for _, size := range []int{1, 5, 100, 1000} {
		for _, limit := range []float64{0, 0.3, 1, 1.7, 17.4, 200} {
			t.Run(fmt.Sprintf("%d gateways, %v a second", size, limit), func(t *testing.T) {
				t.Parallel()
				flt := newPermitFleet(size)
				var times []time.Duration
				changedAt := time.Duration(0)
				for now := time.Minute; now < time.Minute+length; now += tick {
					since := now - time.Minute
					if since == firstChange || since == lastChange {
						flt.change(size, int(since/time.Second))
						changedAt = now
					}
					if now == changedAt+announceDelay {
						flt.announce()
					}
					// The fleet is asked for three times the limit, and for 50 requests a second
					// at least.
					perTick := max(3*limit, 50) * tick.Seconds()
					for range int(perTick) {
						if flt.take("up", limit, now) {
							times = append(times, now)
						}
					}
					if flt.rng.Float64() < perTick-float64(int(perTick)) && flt.take("up", limit, now) {
						times = append(times, now)
					}
				}
				allowed := int(factor*limit*window.Seconds()) + slack
				from := 0
				for ix, at := range times {
					for at-times[from] > window {
						from++
					}
					if got := ix - from + 1; got > allowed {
						t.Fatalf("%d requests in the 4 s before %v, want at most %d", got, at-time.Minute, allowed)
					}
				}
				if want := int(minUsedShare * limit * length.Seconds()); len(times) < want {
					t.Errorf("%d requests, want %d at least", len(times), want)
				}
			})
		}
	}
}

// change replaces a tenth of the gateways, freezes one and restarts another one. Those
// that join know the fleet; the others learn of them later.
func (flt *permitFleet) change(size, number int) {
	if size == 1 {
		return
	}
	for ix := range max(size/10, 1) {
		delete(flt.members, flt.order[0])
		flt.order = flt.order[1:]
		flt.join(bwmodel.MemberID(fmt.Sprintf("new-%d-%d", number, ix)))
	}
	for _, id := range flt.order {
		if pgw := flt.members[id]; len(pgw.members) == 0 {
			pgw.members = slices.Clone(flt.order)
		}
	}
	flt.members[flt.order[0]].frozen = size > 2
	restarted := flt.members[flt.order[1]]
	flt.members[flt.order[1]] = &permitGateway{members: restarted.members, skew: restarted.skew}
}

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

// Guards against gateways that all others do not know yet and that grant permits, and
// against fleets in which nobody does.
func TestPermitHolders(t *testing.T) {
	const now = time.Hour
	addr := netip.MustParseAddrPort("10.0.0.1:7340")
	tests := []struct {
		name   string
		self   time.Duration
		others []bwforward.Announcement
		want   []bwmodel.MemberID
	}{
		{"alone", now, nil, []bwmodel.MemberID{"self"}},
		{"a young fleet", now, []bwforward.Announcement{{Member: "a", Started: now, Seen: now}}, []bwmodel.MemberID{"a", "self"}},
		{"a gateway has joined", 0, []bwforward.Announcement{{Member: "a", Started: now - time.Second, Seen: now}, {Member: "b", Seen: now}}, []bwmodel.MemberID{"b", "self"}},
		{"this one has joined", now, []bwforward.Announcement{{Member: "a", Seen: now}}, []bwmodel.MemberID{"a"}},
		{"one stops", 0, []bwforward.Announcement{{Member: "a", Seen: now, Leaving: true}}, []bwmodel.MemberID{"self"}},
		{"one is gone", 0, []bwforward.Announcement{{Member: "a", Seen: now - time.Hour}}, []bwmodel.MemberID{"self"}},
	}
	for _, tst := range tests {
		t.Run(tst.name, func(t *testing.T) {
			var rst bwforward.GatewayRoster
			for _, ann := range tst.others {
				ann.Address = addr
				rst.Apply([]bwforward.Announcement{ann}, now, false)
			}
			var got []bwmodel.MemberID
			for _, ann := range rst.PermitHolders(bwforward.Announcement{Member: "self", Started: tst.self}, now) {
				got = append(got, ann.Member)
			}
			slices.Sort(got)
			if !slices.Equal(got, tst.want) {
				t.Errorf("permits are granted by %v, want %v", got, tst.want)
			}
		})
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
	var members []bwmodel.MemberID
	for ix := range gateways {
		members = append(members, bwmodel.MemberID(fmt.Sprintf("front-%d", ix)))
	}
	held := make(map[bwmodel.MemberID]int)
	for ix := range windows {
		up := bwmodel.UpstreamID(fmt.Sprintf("i-%d", ix%7))
		held[bwforward.NewPermitWindow(up, 10, time.Hour+time.Duration(ix)*500*time.Millisecond).Holder(members)]++
	}
	const fair = windows / gateways
	for _, mbr := range members {
		if held[mbr] < fair/2 || held[mbr] > 2*fair {
			t.Errorf("%s holds %d windows, a fair share is %d", mbr, held[mbr], fair)
		}
	}
}
