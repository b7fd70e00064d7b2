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
// address although it may belong to another service: a plain one, whose number of slots
// says nothing, or one of several services that may have model engines.
func TestDirectoryAddSuccessor(t *testing.T) {
	model := bwforward.Service{Name: "model", Model: &bwforward.Model{}}
	second := bwforward.Service{Name: "second", Model: &bwforward.Model{}}
	plain := bwforward.Service{Name: "second"}
	streams := func(to bwmodel.ServiceID) []bwforward.Route {
		return []bwforward.Route{{Host: "h", Prefix: "/", Kind: bwforward.EventStream, Targets: []bwforward.Target{{Service: to, Weight: 1}}}}
	}
	engine := bwforward.Successor{ID: "e9", Slots: 64, IsModelEngine: true}
	tests := []struct {
		name          string
		listAvailable bool
		successor     bwforward.Successor
		services      []bwforward.Service
		routes        []bwforward.Route
		// listed is the service of another listed upstream; empty means that there is none.
		listed bwmodel.ServiceID
		want   bool
	}{
		{name: "model engine of the only model service", successor: engine, services: []bwforward.Service{model, plain}, routes: streams("model"), listed: "second", want: true},
		{name: "list available", listAvailable: true, successor: engine, services: []bwforward.Service{model}},
		{name: "not known to be a model engine", successor: bwforward.Successor{ID: "e9", Slots: 64}, services: []bwforward.Service{model}},
		{name: "other slots", successor: bwforward.Successor{ID: "e9", Slots: 6, IsModelEngine: true}, services: []bwforward.Service{model}},
		{name: "without an ID", successor: bwforward.Successor{Slots: 64, IsModelEngine: true}, services: []bwforward.Service{model}},
		{name: "listed ID", successor: bwforward.Successor{ID: "e2", Slots: 64, IsModelEngine: true}, services: []bwforward.Service{model, plain}, listed: "second"},
		{name: "another model service without upstreams", successor: engine, services: []bwforward.Service{model, second}},
		{name: "plain service", successor: engine, services: []bwforward.Service{{Name: "model"}}},
		{name: "no services", successor: engine},
		{name: "upstream of a service that is not described", successor: engine, services: []bwforward.Service{model}, listed: "third"},
		{name: "route to a service that is not described", successor: engine, services: []bwforward.Service{model}, routes: streams("third")},
		{name: "streams to another service", successor: engine, services: []bwforward.Service{model, plain}, routes: streams("second")},
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
			old, tbl := listed[0], bwforward.NewRoutingTable(bwforward.RoutingTableConfig{Version: 1, Services: tt.services, Routes: tt.routes})
			outcome := dir.AddSuccessor(old, tt.successor, tbl, clk.now)
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
	tbl := bwforward.NewRoutingTable(bwforward.RoutingTableConfig{Version: 1, Services: []bwforward.Service{{Name: "model", Model: &bwforward.Model{}}}})
	if outcome := dir.AddSuccessor(old, bwforward.Successor{ID: "e2", Slots: 64, IsModelEngine: true}, tbl, clk.now); upstreamIDs(dir) != "e1 " {
		t.Errorf("upstreams %q (%s), want e1", upstreamIDs(dir), outcome)
	}
}
