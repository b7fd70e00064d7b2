package bwroute_test

import (
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"bilberrywick/core/bwmodel"
	"bilberrywick/core/bwroute"
)

// cachedBlocks returns the number of blocks of the prefix that the chooser counts as
// cached at its cheapest upstream, and the trust.
func cachedBlocks(tb testing.TB, chs *bwroute.Chooser, prefix ...uint64) (blocks int, trust float64) {
	tb.Helper()
	req := request(1)
	req.Prefix = prefix
	chc, dec, err := chs.Choose(req)
	if err != nil {
		tb.Fatal(err)
	}
	chc.Finish(bwroute.Outcome{Refused: true})
	return dec.Candidates[0].CachedBlocks, dec.Candidates[0].CacheTrust
}

// noLogTB discards the log of the seed for each chooser of a property test.
type noLogTB struct{ testing.TB }

// Logf discards the message.
func (noLogTB) Logf(string, ...any) {}

// observeCache applies cache events of upstream u0.
func observeCache(chs *bwroute.Chooser, evs ...bwmodel.CacheEvent) {
	st := connected("u0")
	st.Cache = evs
	chs.Observe(st)
}

// Guards against a gap in the events that does not reduce the trust or that empties
// the view, and a late event that undoes a newer one.
func TestCacheGapHalvesTrust(t *testing.T) {
	chs := newChooser(t, bwroute.LeastCost(), 1, 4)
	observeCache(chs, bwmodel.CacheEvent{Sequence: 1, Block: 11}, bwmodel.CacheEvent{Sequence: 2, Block: 12})
	if blocks, trust := cachedBlocks(t, chs, 11, 12); blocks != 2 || trust != 1 {
		t.Fatalf("before the gap: %d blocks, trust %v, want 2 and 1", blocks, trust)
	}
	observeCache(chs, bwmodel.CacheEvent{Sequence: 5, Block: 12, Evicted: true})
	if blocks, trust := cachedBlocks(t, chs, 11, 12); blocks != 1 || trust != 0.5 {
		t.Fatalf("after the gap: %d blocks, trust %v, want 1 and 0.5", blocks, trust)
	}
	observeCache(chs, bwmodel.CacheEvent{Sequence: 4, Block: 12})
	if blocks, trust := cachedBlocks(t, chs, 11, 12); blocks != 1 || trust != 0.5 {
		t.Fatalf("after the late event: %d blocks, trust %v, want 1 and 0.5", blocks, trust)
	}
	st := connected("u0")
	st.Incarnation = 2
	chs.Observe(st)
	if blocks, trust := cachedBlocks(t, chs, 11, 12); blocks != 0 || trust != 1 {
		t.Fatalf("after the restart: %d blocks, trust %v, want 0 and 1", blocks, trust)
	}
}

// Guards against prompts with the same prefix that are sent to different engines
// when the router reads no cache events.
func TestRecordedPrefixAttractsRequests(t *testing.T) {
	chs := newChooser(t, bwroute.LeastCost(), 3, 4)
	chs.RecordPrefix("u1", []uint64{21, 22, 23})
	chs.RecordPrefix("gone", []uint64{31})
	req := request(1)
	req.Prefix = []uint64{21, 22, 23, 24}
	for range 5 {
		chc, dec, err := chs.Choose(req)
		if err != nil {
			t.Fatal(err)
		}
		chc.Finish(bwroute.Outcome{Refused: true})
		if dec.Chosen != "u1" || dec.Candidates[0].CachedBlocks != 3 {
			t.Errorf("chose %s with %d cached blocks, want u1 with 3", dec.Chosen, dec.Candidates[0].CachedBlocks)
		}
	}
}

// Guards against a view that differs from the events that arrived in order. A lost,
// repeated or late event may only be missing from the view.
func TestCacheViewFollowsDeliveredEvents(t *testing.T) {
	t.Logf("seed %d", seed)
	params := gopter.DefaultTestParametersWithSeed(seed)
	props := gopter.NewProperties(params)
	props.Property("the view equals the events that were the newest on arrival", prop.ForAll(
		func(steps []int) bool {
			chs := newChooser(noLogTB{t}, bwroute.LeastCost(), 1, 4)
			want, newest, trust := map[uint64]bool{}, uint64(0), 1.0
			next := uint64(1)
			for _, step := range steps {
				ev := bwmodel.CacheEvent{Sequence: next, Block: uint64(step % 7), Evicted: step%3 == 0}
				switch step % 5 {
				case 0: // lost
					next++
					continue
				case 1: // late or repeated
					ev.Sequence -= min(ev.Sequence-1, uint64(step%4))
				}
				next = max(next, ev.Sequence+1)
				if ev.Sequence == 1 && newest > 1 {
					continue
				}
				observeCache(chs, ev)
				if ev.Sequence > newest {
					want[ev.Block] = !ev.Evicted
					if newest > 0 && ev.Sequence > newest+1 {
						trust /= 2
					}
					newest = ev.Sequence
				}
			}
			for block := range uint64(7) {
				blocks, got := cachedBlocks(t, chs, block)
				if (blocks == 1) != want[block] || got < trust || got > 1 {
					return false
				}
			}
			return true
		}, gen.SliceOf(gen.IntRange(0, 1000))))
	props.TestingRun(t)
}

// Guards against a cached prefix that has no effect, or that outweighs a long queue.
func TestCachedPrefixAttractsRequests(t *testing.T) {
	chs := newChooser(t, bwroute.LeastCost(), 100, 16)
	prefix := make([]uint64, 64)
	evs := make([]bwmodel.CacheEvent, len(prefix))
	for idx := range prefix {
		prefix[idx] = uint64(1000 + idx)
		evs[idx] = bwmodel.CacheEvent{Sequence: uint64(idx + 1), Block: prefix[idx]}
	}
	st := connected("u42")
	st.Cache = evs
	chs.Observe(st)
	req := request(10)
	req.Prefix = prefix
	toHolder := 0
	for range 16 {
		chc, _, err := chs.Choose(req)
		if err != nil {
			t.Fatal(err)
		}
		if chc.Upstream.Name == "u42" {
			toHolder++
		}
	}
	if toHolder < 3 || toHolder > 12 {
		t.Fatalf("%d of 16 requests went to the upstream that holds the prefix, want 3 to 12", toHolder)
	}
}
