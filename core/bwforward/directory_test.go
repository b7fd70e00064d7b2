package bwforward_test

import (
	"net/netip"
	"testing"
	"time"

	"bilberrywick/core/bwforward"
	"bilberrywick/core/bwmodel"
)

// upstreamIDs returns the IDs in the directory, each followed by a space.
func upstreamIDs(dir *bwforward.UpstreamDirectory) string {
	text := ""
	for _, up := range dir.Upstreams() {
		text += string(up.ID) + " "
	}
	return text
}

// Guards against upstreams that are removed because their entries expired during
// an outage of the list, and against ones that are kept although they have left.
func TestDirectoryOutageGracePeriod(t *testing.T) {
	clk := newClock()
	dir := bwforward.NewUpstreamDirectory()
	both := []bwforward.Upstream{upstream("e1", "z1", 6), upstream("e2", "z1", 6)}
	dir.MarkListAvailable(clk.now)
	dir.Replace(both, clk.now)
	dir.Remove("e2", clk.now)
	if got := upstreamIDs(dir); got != "e1 " {
		t.Fatalf("upstreams %q after a removal while the list is available, want e1", got)
	}
	dir.Replace(both, clk.now)
	dir.MarkListUnavailable()
	dir.MarkListAvailable(clk.now)
	dir.Replace(nil, clk.now)
	if got := upstreamIDs(dir); got != "e1 e2 " || dir.Missing() != 2 {
		t.Fatalf("upstreams %q and %d missing right after an outage, want e1, e2 and 2", got, dir.Missing())
	}
	dir.Put(both[0], clk.now)
	clk.now = clk.now.Add(bwforward.OutageGracePeriod)
	if expired := dir.Expire(clk.now); len(expired) != 1 || expired[0] != "e2" {
		t.Errorf("expired %v, want e2", expired)
	}
	if got := upstreamIDs(dir); got != "e1 " {
		t.Errorf("upstreams %q after the grace period, want e1", got)
	}
}

// Guards against an older run of an upstream that replaces the current one, and
// against a crashed upstream that hides the next one at its address.
func TestDirectoryKeepsLatestStart(t *testing.T) {
	clk := newClock()
	dir := bwforward.NewUpstreamDirectory()
	later := upstream("e1", "z1", 6)
	later.StartTime = time.Unix(9, 0)
	dir.Put(later, clk.now)
	dir.Put(upstream("e1", "z1", 6), clk.now)
	if got := dir.Upstreams()[0].StartTime; !got.Equal(later.StartTime) {
		t.Errorf("start time %v, want the later one", got)
	}
	next := later
	next.ID, next.StartTime = "e7", time.Unix(10, 0)
	dir.Put(next, clk.now)
	if got := upstreamIDs(dir); got != "e7 " {
		t.Errorf("upstreams %q at one address, want only the last started", got)
	}
	dir.RemoveNow("e7")
	if got := upstreamIDs(dir); got != "e1 " {
		t.Errorf("upstreams %q after the last started was removed, want e1", got)
	}
}

// Guards against an upstream that is lost since its machine's clock was set back
// before it restarted, and against a late report of an earlier run that replaces
// the current one.
func TestDirectoryClockSetBack(t *testing.T) {
	current := upstream("e1", "z1", 6)
	current.StartTime, current.Leaving = time.Unix(9, 0), true
	restarted := upstream("e1", "z1", 6)
	restarted.StartTime = time.Unix(7, 0)
	tests := []struct {
		name string
		// then is listed a second after the earlier start, if not nil.
		then *bwforward.Upstream
		want bwforward.Upstream
	}{
		{"the earlier start stays", nil, restarted},
		{"the later start is reported again", &current, current},
		{"the earlier start is reported again", &restarted, restarted},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			clk := newClock()
			dir := bwforward.NewUpstreamDirectory()
			dir.Put(current, clk.now)
			dir.Put(restarted, clk.now)
			clk.now = clk.now.Add(time.Second)
			if tt.then != nil {
				dir.Put(*tt.then, clk.now)
			}
			dir.Expire(clk.now)
			if got := dir.Upstreams(); len(got) != 1 || got[0] != current {
				t.Errorf("upstreams %v after a second, want the later start", got)
			}
			clk.now = clk.now.Add(2 * time.Second)
			dir.Expire(clk.now)
			if got := dir.Upstreams(); len(got) != 1 || got[0] != tt.want {
				t.Errorf("upstreams %v after 3 s, want %v", got, tt.want)
			}
		})
	}
}

// Guards against an upstream that is added as the successor of the one listed at its
// address although it may belong to another service, whatever the table and the list of
// the last read say.
func TestDirectoryAddSuccessor(t *testing.T) {
	engine := bwforward.Successor{ID: "e9", Slots: 64, IsModelEngine: true, SameService: true}
	change := func(apply func(*bwforward.Successor)) bwforward.Successor {
		suc := engine
		apply(&suc)
		return suc
	}
	tests := []struct {
		name          string
		listAvailable bool
		successor     bwforward.Successor
		// listed is the service of another listed upstream; empty means that there is none.
		listed bwmodel.ServiceID
		want   bool
	}{
		{name: "model engine of the same service", successor: engine, listed: "second", want: true},
		{name: "model engine that may be of another service", successor: change(func(suc *bwforward.Successor) { suc.SameService = false })},
		{name: "the same beside a listed plain service", successor: change(func(suc *bwforward.Successor) { suc.SameService = false }), listed: "second"},
		{name: "list available", listAvailable: true, successor: engine},
		{name: "not known to be a model engine", successor: change(func(suc *bwforward.Successor) { suc.IsModelEngine = false })},
		{name: "other slots", successor: change(func(suc *bwforward.Successor) { suc.Slots = 6 })},
		{name: "without an ID", successor: change(func(suc *bwforward.Successor) { suc.ID = "" })},
		{name: "listed ID", successor: change(func(suc *bwforward.Successor) { suc.ID = "e2" }), listed: "second"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			clk := newClock()
			dir := bwforward.NewUpstreamDirectory()
			listed := []bwforward.Upstream{upstream("e1", "z1", 64)}
			if tt.listed != "" {
				other := upstream("e2", "z1", 6)
				other.Service, other.Address = tt.listed, netip.MustParseAddrPort("10.0.0.9:80")
				listed = append(listed, other)
			}
			dir.Replace(listed, clk.now)
			if !tt.listAvailable {
				dir.MarkListUnavailable()
			}
			old := listed[0]
			outcome := dir.AddSuccessor(old, tt.successor, clk.now)
			found := false
			for _, up := range dir.Upstreams() {
				found = found || up.ID == "e9" && up.Service == old.Service && up.Address == old.Address
			}
			if found != tt.want {
				t.Errorf("successor added: %v (%s), want %v", found, outcome, tt.want)
			}
			dir.MarkListAvailable(clk.now)
			dir.Replace(listed, clk.now)
			dir.Expire(clk.now.Add(bwforward.OutageGracePeriod))
			if got := dir.Upstreams(); len(got) != len(listed) || got[0].ID != "e1" {
				t.Errorf("upstreams %v after the list came back without the successor, want %v", got, listed)
			}
		})
	}
}

// Guards against an engine that is taken for one of the earlier engine's service although
// an engine of another service may have the address by then, and against a sign of life
// that is moved back by a response which arrives late.
func TestIsSameService(t *testing.T) {
	const reuseTime = 2 * time.Second
	for _, tt := range []struct {
		name                      string
		aliveAt, seenAt, reuseFor time.Duration
		want                      bool
	}{
		{"within the time", time.Hour, time.Hour + 1900*time.Millisecond, reuseTime, true},
		{"when the address may be used again", time.Hour, time.Hour + reuseTime, reuseTime, false},
		{"within the error of the clocks", time.Hour, time.Hour + reuseTime - time.Millisecond, reuseTime, false},
		{"after a suspension", time.Hour, time.Hour + time.Minute, reuseTime, false},
		{"never seen alive", 0, time.Second, reuseTime, false},
		{"clock that can't be read", time.Hour, 0, reuseTime, false},
		{"addresses may be used again at once", time.Hour, time.Hour, 0, false},
	} {
		if got := bwforward.IsSameService(tt.aliveAt, tt.seenAt, tt.reuseFor); got != tt.want {
			t.Errorf("%s: %v, want %v", tt.name, got, tt.want)
		}
	}
	pl := bwforward.NewPool(bwforward.PoolConfig{})
	pl.Update([]bwforward.Upstream{upstream("e1", "z1", 64)})
	pl.Node("e1").RecordAlive(2 * time.Second)
	pl.Node("e1").RecordAlive(time.Second)
	if got := pl.Node("e1").AliveAt(); got != 2*time.Second {
		t.Errorf("alive at %v, want 2s", got)
	}
}

// Guards against an upstream that was removed from the list and is used again since it
// responds at the address of another one.
func TestRemovedUpstreamIsNoSuccessor(t *testing.T) {
	clk := newClock()
	dir := bwforward.NewUpstreamDirectory()
	old, left := upstream("e1", "z1", 64), upstream("e2", "z1", 64)
	left.Address = netip.MustParseAddrPort("10.0.0.9:80")
	dir.Replace([]bwforward.Upstream{old, left}, clk.now)
	dir.Remove("e2", clk.now)
	dir.MarkListUnavailable()
	if outcome := dir.AddSuccessor(old, bwforward.Successor{ID: "e2", Slots: 64, IsModelEngine: true, SameService: true}, clk.now); upstreamIDs(dir) != "e1 " {
		t.Errorf("upstreams %q (%s), want e1", upstreamIDs(dir), outcome)
	}
}
