package bwforward_test

import (
	"testing"
	"time"

	"bilberrywick/core/bwforward"
	"bilberrywick/core/bwmodel"
)

func ids(dir *bwforward.UpstreamDirectory) string {
	text := ""
	for _, up := range dir.Upstreams() {
		text += string(up.ID) + " "
	}
	return text
}

// Guards against upstreams that are lost because the list was away, and against
// ones that are kept although they left.
func TestDirectoryRecall(t *testing.T) {
	clk := newClock()
	dir := bwforward.NewUpstreamDirectory()
	both := []bwforward.Upstream{upstream("e1", "z1", 6), upstream("e2", "z1", 6)}
	dir.MarkListAvailable(clk.now)
	dir.Replace(both, clk.now)
	dir.Remove("e2", clk.now)
	if got := ids(dir); got != "e1 " {
		t.Fatalf("have %q after a removal with the list at hand", got)
	}
	dir.Replace(both, clk.now)
	dir.MarkListUnavailable()
	dir.MarkListAvailable(clk.now)
	dir.Replace(nil, clk.now)
	if got := ids(dir); got != "e1 e2 " || dir.Missing() != 2 {
		t.Fatalf("have %q and %d missing right after an outage", got, dir.Missing())
	}
	dir.Put(both[0])
	clk.now = clk.now.Add(bwforward.OutageGracePeriod)
	if gone := dir.Expire(clk.now); len(gone) != 1 || gone[0] != "e2" {
		t.Errorf("expired %v, want e2", gone)
	}
	if got := ids(dir); got != "e1 " {
		t.Errorf("have %q after the recall time", got)
	}
}

// Guards against an older run of an upstream that replaces the running one, and
// against a crashed one that keeps its address from the next one there.
func TestDirectoryKeepsTheLatest(t *testing.T) {
	dir := bwforward.NewUpstreamDirectory()
	again := upstream("e1", "z1", 6)
	again.StartTime = time.Unix(9, 0)
	dir.Put(again)
	dir.Put(upstream("e1", "z1", 6))
	if got := dir.Upstreams()[0].StartTime; !got.Equal(again.StartTime) {
		t.Errorf("born %v, want the later start", got)
	}
	next := again
	next.ID, next.StartTime = "e7", time.Unix(10, 0)
	dir.Put(next)
	if got := ids(dir); got != "e7 " {
		t.Errorf("have %q at one address, want only the last started", got)
	}
	dir.RemoveNow("e7")
	if got := ids(dir); got != "e1 " {
		t.Errorf("have %q after the last one was dropped", got)
	}
}

// Guards against an upstream that is taken for a restart of the one before at
// its address although it may be of another service.
func TestDirectorySucceed(t *testing.T) {
	tests := []struct {
		name  string
		away  bool
		slots int
		other bool
		want  bool
	}{
		{"list away, same slots", true, 64, false, true},
		{"list at hand", false, 64, false, false},
		{"other slots", true, 6, false, false},
		{"another service has such slots", true, 64, true, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			clk := newClock()
			dir := bwforward.NewUpstreamDirectory()
			old := upstream("e1", "z1", 64)
			dir.Put(old)
			if tt.other {
				other := upstream("e2", "z1", 64)
				other.Service = "second"
				dir.Put(other)
			}
			if tt.away {
				dir.MarkListUnavailable()
			}
			dir.AddSuccessor(old, "e9", tt.slots, clk.now)
			found := false
			for _, up := range dir.Upstreams() {
				found = found || up.ID == "e9" && up.Service == old.Service && up.Address == old.Address
			}
			if found != tt.want {
				t.Errorf("taken in: %v, want %v", found, tt.want)
			}
			dir.MarkListAvailable(clk.now)
			dir.Replace([]bwforward.Upstream{old}, clk.now)
			dir.Expire(clk.now.Add(bwforward.OutageGracePeriod))
			if got := dir.Upstreams(); len(got) != 1 || got[0].ID != bwmodel.UpstreamID("e1") {
				t.Errorf("have %v after the list has come back without it", got)
			}
		})
	}
}
