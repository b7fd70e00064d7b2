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

// affinityChooser is a chooser that receives the engines' cache events from the test.
type affinityChooser struct {
	chooser       *bwroute.Chooser
	lastSequences map[bwmodel.UpstreamID]uint64
}

func newAffinityChooser(t *testing.T) *affinityChooser {
	t.Helper()
	chooser, err := bwroute.New(bwroute.Config{Service: "pisar-model", Now: time.Now, Seed: 1})
	must(t, err)
	return &affinityChooser{chooser: chooser, lastSequences: make(map[bwmodel.UpstreamID]uint64)}
}

func (aff *affinityChooser) configure(cfg *bwrouter.GenerationsConfig) {
	cfg.Choose = func(ctx context.Context, req bwroute.Request) (bwroute.Choice, error) {
		// The stand-in serves any model, and the reported status lists none.
		req.Model = ""
		cho, _, err := aff.chooser.ChooseWait(ctx, req)
		return cho, err
	}
}

// setUpstreams adds the cluster's engines to the chooser.
func (aff *affinityChooser) setUpstreams(cl *cluster) {
	var ups []bwmodel.Upstream
	for _, nd := range cl.nodes {
		ups = append(ups, bwmodel.Upstream{Name: nd.name, Service: "pisar-model", Agent: nd.addr, Slots: 8})
	}
	aff.chooser.Update(ups)
	aff.readCacheEvents(cl)
}

// readCacheEvents reads the engines' cache events, as agents do, and passes them
// to the chooser.
func (aff *affinityChooser) readCacheEvents(cl *cluster) {
	for _, nd := range cl.nodes {
		clt := bwengine.NewEngineClient(bwengine.EngineClientConfig{Address: nd.engine.Address()})
		evs, err := clt.ReadCacheEvents(cl.t.Context(), aff.lastSequences[nd.name])
		must(cl.t, err)
		if len(evs) > 0 {
			aff.lastSequences[nd.name] = evs[len(evs)-1].Sequence
		}
		aff.chooser.Observe(bwroute.UpstreamStatus{Upstream: nd.name, Incarnation: 1, Connected: true, Load: bwmodel.LoadReport{Slots: 8}, Cache: evs})
	}
	aff.chooser.Refresh()
}

func promptTokens(cl *cluster) (computed, cached uint64) {
	for _, nd := range cl.nodes {
		counts := nd.engine.Counts()
		computed += counts.PromptTokensComputed
		cached += counts.PromptTokensCached
	}
	return computed, cached
}

// Guards against prompts with a common prefix that are sent to engines that don't
// have it cached.
func TestRepeatedPrefixesHitTheSameEngine(t *testing.T) {
	const prefixes, rounds = 6, 5
	runRounds := func(cl *cluster, afterRound func()) (computed, cached uint64) {
		for round := range rounds {
			for pfx := range prefixes {
				prompt := strings.Repeat(fmt.Sprintf("Pravidlá posudku číslo %d. ", pfx), 60)
				cal := cl.post(cl.routers[0], fmt.Sprintf("%s Žiadosť %d.", prompt, round), 4)
				cal.read(allTokens)
			}
			afterRound()
		}
		return promptTokens(cl)
	}
	engine := bwfakeengine.Config{TokenTime: time.Millisecond, CacheBlocks: 4096}
	aff := newAffinityChooser(t)
	affine := newClusterWith(t, clusterConfig{engines: 4, routers: 2, engine: engine, configure: aff.configure})
	aff.setUpstreams(affine)
	computed, cached := runRounds(affine, func() { aff.readCacheEvents(affine) })
	roundRobin := newCluster(t, 4, 2, engine)
	baseComputed, baseCached := runRounds(roundRobin, func() {})
	t.Logf("computed %d and cached %d prompt tokens, with round robin %d and %d", computed, cached, baseComputed, baseCached)
	total := computed + cached
	if computed*100 > total*35 {
		t.Errorf("computed %d of %d prompt tokens, want at most 35%%: a fifth can't be cached", computed, total)
	}
	if computed >= baseComputed*3/4 {
		t.Errorf("computed %d prompt tokens, with round robin %d, want less than three quarters of that", computed, baseComputed)
	}
}
