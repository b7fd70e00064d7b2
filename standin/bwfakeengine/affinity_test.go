package bwfakeengine_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"bilberrywick/core/bwmodel"
	"bilberrywick/core/bwroute"
	"bilberrywick/io/bwengine"
	"bilberrywick/io/bwrouter"
	"bilberrywick/standin/bwfakeengine"
)

// affinity is one router's chooser, which the test feeds with cache events.
type affinity struct {
	chooser *bwroute.Chooser
	after   map[bwmodel.UpstreamID]uint64
}

func newAffinity(t *testing.T) *affinity {
	t.Helper()
	chooser, err := bwroute.New(bwroute.Config{Service: "pisar-model", Now: time.Now, Seed: 1})
	must(t, err)
	return &affinity{chooser: chooser, after: make(map[bwmodel.UpstreamID]uint64)}
}

func (aff *affinity) edit(cfg *bwrouter.GenerationsConfig) {
	cfg.Choose = func(ctx context.Context, req bwroute.Request) (bwroute.Choice, error) {
		// The stand-in serves every model, and its status is fed without a list.
		req.Model = ""
		cho, _, err := aff.chooser.ChooseWait(ctx, req)
		return cho, err
	}
}

// connect tells the chooser of the engines.
func (aff *affinity) connect(cl *cluster) {
	var ups []bwmodel.Upstream
	for _, nd := range cl.nodes {
		ups = append(ups, bwmodel.Upstream{Name: nd.name, Service: "pisar-model", Agent: nd.addr, Slots: 8})
	}
	aff.chooser.Update(ups)
	aff.observe(cl)
}

// observe reads the engines' cache events, as agents do.
func (aff *affinity) observe(cl *cluster) {
	for _, nd := range cl.nodes {
		clt := bwengine.NewEngineClient(bwengine.EngineClientConfig{Address: nd.engine.Address()})
		evs, err := clt.ReadCacheEvents(cl.t.Context(), aff.after[nd.name])
		must(cl.t, err)
		if len(evs) > 0 {
			aff.after[nd.name] = evs[len(evs)-1].Sequence
		}
		aff.chooser.Observe(bwroute.UpstreamStatus{Upstream: nd.name, Incarnation: 1, Connected: true, Load: bwmodel.LoadReport{Slots: 8}, Cache: evs})
	}
	aff.chooser.Refresh()
}

func computed(cl *cluster) (fresh, cached uint64) {
	for _, nd := range cl.nodes {
		counts := nd.engine.Counts()
		fresh += counts.PromptTokensComputed
		cached += counts.PromptTokensCached
	}
	return fresh, cached
}

// Guards against prompts with a common beginning that go to engines which have
// to compute it again.
func TestRepeatedPrefixesHitTheSameEngine(t *testing.T) {
	const prefixes, rounds = 6, 5
	play := func(cl *cluster, after func()) (fresh, cached uint64) {
		for round := range rounds {
			for pfx := range prefixes {
				prompt := strings.Repeat(fmt.Sprintf("Pravidlá posudku číslo %d. ", pfx), 60)
				cal := cl.post(cl.routers[0], fmt.Sprintf("%s Žiadosť %d.", prompt, round), 4)
				cal.read(all)
			}
			after()
		}
		return computed(cl)
	}
	engine := bwfakeengine.Config{TokenTime: time.Millisecond, CacheBlocks: 4096}
	aff := newAffinity(t)
	with := newClusterWith(t, clusterConfig{engines: 4, routers: 2, engine: engine, edit: aff.edit})
	aff.connect(with)
	fresh, cached := play(with, func() { aff.observe(with) })
	spread := newCluster(t, 4, 2, engine)
	baseFresh, baseCached := play(spread, func() {})
	t.Logf("computed %d and cached %d prompt tokens, in turn %d and %d", fresh, cached, baseFresh, baseCached)
	total := fresh + cached
	if fresh*100 > total*35 {
		t.Errorf("computed %d of %d prompt tokens, want at most 35%%: a fifth is new", fresh, total)
	}
	if fresh >= baseFresh*3/4 {
		t.Errorf("computed %d prompt tokens, in turn %d", fresh, baseFresh)
	}
}
