package bwforward_test

import (
	"testing"
	"time"

	"bilberrywick/core/bwforward"
	"bilberrywick/core/bwmodel"
)

// versioned returns an upstream of a version.
func versioned(id, zone string, version bwmodel.VersionID) bwforward.Upstream {
	up := upstream(id, zone, 6)
	up.Version = version
	return up
}

// Guards against requests at a version that their rule forbids or outside of the sampled
// subset, and against a preferred version that gets work while it is full or failing.
func TestChooseByVersion(t *testing.T) {
	use := func(uses map[bwmodel.VersionID]bwforward.VersionUse, subset ...bwmodel.UpstreamID) *bwforward.VersionRule {
		return &bwforward.VersionRule{Uses: uses, Subset: subset}
	}
	preferred := use(map[bwmodel.VersionID]bwforward.VersionUse{"v1": bwforward.VersionAllowed, "v2": bwforward.VersionPreferred})
	tests := []struct {
		name string
		rule *bwforward.VersionRule
		// prepare changes the pool; nil means nothing.
		prepare func(*bwforward.Pool, *clock)
		want    map[string]bool
	}{
		{"no rule", nil, nil, map[string]bool{"e1": true, "e2": true, "e3": true}},
		{"old only", use(map[bwmodel.VersionID]bwforward.VersionUse{"v1": bwforward.VersionAllowed}), nil, map[string]bool{"e1": true}},
		{"nothing", use(nil), nil, map[string]bool{"": true}},
		{"subset", use(map[bwmodel.VersionID]bwforward.VersionUse{"v2": bwforward.VersionSubset}, "e3"), nil, map[string]bool{"e3": true}},
		{"preferred", preferred, nil, map[string]bool{"e2": true, "e3": true}},
		{"preferred is full", preferred, func(pl *bwforward.Pool, _ *clock) {
			for range 6 {
				pl.Node("e2").Place(plain)
				pl.Node("e3").Place(plain)
			}
		}, map[string]bool{"e1": true}},
		{"preferred fails", preferred, func(pl *bwforward.Pool, clk *clock) {
			pl.Node("e2").RecordFailure(clk.now)
			pl.Node("e3").RecordFailure(clk.now)
		}, map[string]bool{"e1": true}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			clk := newClock()
			pl := bwforward.NewPool(bwforward.PoolConfig{Zone: "z1", Now: clk.read})
			pl.Update([]bwforward.Upstream{versioned("e1", "z1", "v1"), versioned("e2", "z1", "v2"), versioned("e3", "z1", "v2")})
			if tt.prepare != nil {
				tt.prepare(pl, clk)
			}
			wrk := plain
			wrk.Versions = tt.rule
			got := map[string]bool{}
			for range 100 {
				got[chosenID(pl, wrk)] = true
			}
			if len(got) != len(tt.want) {
				t.Errorf("chose %v, want %v", got, tt.want)
			}
			for id := range got {
				if !tt.want[id] {
					t.Errorf("chose %q, want one of %v", id, tt.want)
				}
			}
			for _, id := range []bwmodel.UpstreamID{"e1", "e2", "e3"} {
				nd := pl.Node(id)
				if tt.rule.Allows(nd.Upstream) != pl.AcceptsWorkOf(nd, wrk) {
					t.Errorf("%s accepts work: %v", id, pl.AcceptsWorkOf(nd, wrk))
				}
			}
		})
	}
}

// Guards against KV cache copies at a version that is stopped at the end of a rollout, and
// against a session whose preferred engine is one that it must not use.
func TestCopiesAndSessionsByVersion(t *testing.T) {
	pl := bwforward.NewPool(bwforward.PoolConfig{Zone: "z1", Now: newClock().read})
	pl.Update([]bwforward.Upstream{versioned("e1", "z1", "v1"), versioned("e2", "z2", "v1"), versioned("e3", "z1", "v2"), versioned("e4", "z1", "v2")})
	wrk := stream
	wrk.PromptTokens, wrk.Session = 100, "s1"
	wrk.Versions = &bwforward.VersionRule{Uses: map[bwmodel.VersionID]bwforward.VersionUse{"v2": bwforward.VersionAllowed}}
	chosen := map[string]bool{}
	for range 50 {
		if target := pl.ChooseCopyTarget(wrk, pl.Node("e1")); target == nil || target.Version != "v2" {
			t.Fatalf("copy to %v, want one to v2", target)
		}
		chosen[chosenID(pl, wrk)] = true
	}
	if len(chosen) != 1 {
		t.Errorf("the session's requests went to %v, want one engine", chosen)
	}
}

// Guards against counts of requests in progress that forget an upstream which is no
// longer listed, or that mix up versions.
func TestRunningByVersion(t *testing.T) {
	pl := bwforward.NewPool(bwforward.PoolConfig{Zone: "z1", Now: newClock().read})
	pl.Update([]bwforward.Upstream{versioned("e1", "z1", "v1"), versioned("e2", "z1", "v2")})
	old, fresh := pl.Node("e1").Place(plain), pl.Node("e2").Place(plain)
	pl.Update([]bwforward.Upstream{versioned("e2", "z1", "v2")})
	if pl.RunningAt("model", "v1") != 1 || pl.RunningAt("model", "v2") != 1 || pl.RunningAtOthers("model", "v2") != 1 {
		t.Errorf("%d and %d requests are counted, want one each", pl.RunningAt("model", "v1"), pl.RunningAt("model", "v2"))
	}
	old.End()
	old.End()
	fresh.End()
	if pl.RunningAt("model", "v1") != 0 || pl.RunningAtOthers("model", "v1") != 0 {
		t.Errorf("%d and %d requests are counted, want none", pl.RunningAt("model", "v1"), pl.RunningAtOthers("model", "v1"))
	}
}

// Guards against a successor that gets requests as one of its predecessor's version,
// although another version is listed and may use the address again.
func TestSuccessorOfUnknownVersion(t *testing.T) {
	for _, tt := range []struct {
		name   string
		others []bwforward.Upstream
		want   string
	}{
		{"one version", []bwforward.Upstream{versioned("e2", "z1", "v1")}, "taken in"},
		{"two versions", []bwforward.Upstream{versioned("e2", "z1", "v2")}, "its version is not known"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			dir, now := bwforward.NewUpstreamDirectory(), time.Unix(100, 0)
			old := versioned("e1", "z1", "v1")
			dir.Replace(append(tt.others, old), now)
			dir.MarkListUnavailable()
			if got := dir.AddSuccessor(old, bwforward.Successor{ID: "e9", Slots: 6, IsModelEngine: true, SameService: true}, now); got != tt.want {
				t.Errorf("outcome %q, want %q", got, tt.want)
			}
		})
	}
}

// Guards against rollouts that nobody decides about, since gateways choose others for an
// interval, choose one that stops, or never replace a dead one.
func TestDeciders(t *testing.T) {
	var holders []bwforward.PermitHolder
	for _, name := range []bwmodel.MemberID{"g1", "g2", "g3", "g4", "g5", "g6"} {
		holders = append(holders, bwforward.PermitHolder{Member: name, From: 0, Until: time.Hour})
	}
	holders[0].Until = time.Minute
	holders[1].From = time.Hour
	seen := map[bwmodel.MemberID]int{}
	for at := 2 * time.Minute; at < 4*time.Minute; at += bwforward.DeciderInterval {
		deciders := bwforward.Deciders(holders, "huvo", at)
		if len(deciders) != 3 {
			t.Fatalf("%d gateways decide at %v, want 3", len(deciders), at)
		}
		reversed := []bwforward.PermitHolder{holders[5], holders[4], holders[3], holders[2], holders[1], holders[0]}
		again := bwforward.Deciders(reversed, "huvo", at+bwforward.DeciderInterval-1)
		for ix, hld := range deciders {
			seen[hld.Member]++
			if again[ix].Member != hld.Member {
				t.Errorf("%s and %s decide at %v", hld.Member, again[ix].Member, at)
			}
		}
	}
	if len(seen) != 4 || seen["g1"] > 0 || seen["g2"] > 0 {
		t.Errorf("%v decided, want g3 to g6", seen)
	}
	if recent := bwforward.Deciders(holders[1:2], "huvo", time.Minute); len(recent) != 1 {
		t.Errorf("%d gateways decide where all are new, want 1", len(recent))
	}
}
