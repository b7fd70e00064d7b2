package bwsoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"bilberrywick/cmd/bwdev"
	"bilberrywick/core/bwmodel"
	"bilberrywick/standin/bwfakeapp"
	"bilberrywick/standin/bwfakenet"
	"bilberrywick/standin/bwfakestore"
)

// fault is one kind of disturbance.
type fault struct {
	name string
	// scope says which faults of one target exclude each other.
	scope scope
	// pick chooses the target.
	pick  func(*session, *rand.Rand) string
	start func(context.Context, *session, string) error
	// stop ends the fault; nil when it ends by itself.
	stop func(context.Context, *session, string) error
}

type scope string

const (
	engineScope   scope = "engine"
	appScope      scope = "app"
	processScope  scope = "process"
	networkScope  scope = "network"
	platformScope scope = "platform"
)

var faults = []fault{
	{"EngineDies", engineScope, pickEngine, dieEngine, reviveEngine},
	{"EngineFreezes", engineScope, pickEngine, freezeEngine, thawEngine},
	{"EngineSlows", engineScope, pickEngine, slowEngine, speedEngine},
	{"AppSlows", appScope, pickApp, setApp(bwfakeapp.Faults{SlowFactor: 60}), setApp(bwfakeapp.Faults{})},
	{"AppBreaks", appScope, pickApp, setApp(bwfakeapp.Faults{DieBefore: 2, DieAfter: 2, DropAnswer: 1, CutAnswer: 2, FailLookups: 3}), setApp(bwfakeapp.Faults{})},
	{"AppDies", networkScope, pickApp, isolate(bwfakenet.Cut), isolate(bwfakenet.Open)},
	{"AppFreezes", networkScope, pickApp, isolate(bwfakenet.Held), isolate(bwfakenet.Open)},
	{"RouterIsReplaced", processScope, pickRouter, replaceRouter, nil},
	{"AgentIsReplaced", processScope, pickUpstream, replaceAgent, nil},
	{"RouterPauses", networkScope, pickRouter, isolate(bwfakenet.Held), isolate(bwfakenet.Open)},
	{"AgentPauses", networkScope, pickAgent, isolate(bwfakenet.Held), isolate(bwfakenet.Open)},
	{"RouterIsCutOff", networkScope, pickRouter, isolate(bwfakenet.Cut), isolate(bwfakenet.Open)},
	{"RouterLosesHolders", networkScope, pickRouter, cutRouters(bwfakenet.Held), cutRouters(bwfakenet.Open)},
	{"AgentIsCutOff", networkScope, pickAgent, isolate(bwfakenet.Cut), isolate(bwfakenet.Open)},
	{"WayIsHeld", networkScope, pickWay, setWay(bwfakenet.Held, false), setWay(bwfakenet.Open, false)},
	{"WaysAreHeld", networkScope, pickWay, setWay(bwfakenet.Held, true), setWay(bwfakenet.Open, true)},
	{"WayIsCut", networkScope, pickWay, setWay(bwfakenet.Cut, false), setWay(bwfakenet.Open, false)},
	{"WaysAreCut", networkScope, pickWay, setWay(bwfakenet.Cut, true), setWay(bwfakenet.Open, true)},
	{"StoreIsDown", platformScope, pickPlatform, setStore(bwfakestore.Faults{Down: true}), setStore(bwfakestore.Faults{})},
	{"StoreIsSlow", platformScope, pickPlatform, setStore(bwfakestore.Faults{Latency: 700 * time.Millisecond}), setStore(bwfakestore.Faults{})},
	{"StoreLosesAnswers", platformScope, pickPlatform, setStore(bwfakestore.Faults{LoseAnswers: 20}), setStore(bwfakestore.Faults{})},
	{"StoreAnswersLate", platformScope, pickPlatform, setStore(bwfakestore.Faults{LateAnswers: 20, LateTime: 2500 * time.Millisecond}), setStore(bwfakestore.Faults{})},
	{"StoreWritesLate", platformScope, pickPlatform, setStore(bwfakestore.Faults{LateWrites: 20, LateTime: 1500 * time.Millisecond}), setStore(bwfakestore.Faults{})},
}

// FaultNames lists the kinds of faults.
func FaultNames() string {
	names := make([]string, 0, len(faults))
	for _, flt := range faults {
		names = append(names, flt.name)
	}
	return strings.Join(names, ", ")
}

// injector runs several faults at a time, round by round.
type injector struct {
	ses    *session
	rounds int

	mu   sync.Mutex
	busy map[string]bool
}

const (
	minFault = 300 * time.Millisecond
	maxFault = 5 * time.Second
	// stopTime bounds the end of one fault.
	stopTime = 10 * time.Second
)

func newInjector(ses *session) *injector {
	return &injector{ses: ses, busy: make(map[string]bool)}
}

// round disturbs the fleet for a time and heals it. Every second round leaves
// the network and the platform whole and drains an upstream, since a process
// that is cut off can't learn of the drain.
func (inj *injector) round(ctx context.Context) {
	inj.rounds++
	kinds := inj.ses.kinds()
	draining := inj.rounds%2 == 0
	if draining {
		kinds = slices.DeleteFunc(kinds, func(flt fault) bool { return flt.scope == networkScope || flt.scope == platformScope })
	}
	during, cancel := context.WithTimeout(ctx, inj.ses.cfg.Round)
	defer cancel()
	var slots sync.WaitGroup
	for ix := range inj.ses.cfg.Faults {
		slots.Add(1)
		slt := &slot{inj: inj, kinds: kinds, rng: inj.ses.random("slot", inj.rounds*inj.ses.cfg.Faults+ix), ended: &slots}
		go slt.loop(during)
	}
	if draining {
		inj.ses.drain(ctx, inj.ses.random("drain", inj.rounds))
	}
	slots.Wait()
	inj.ses.nw.Heal()
}

// kinds returns the faults that the run may use.
func (ses *session) kinds() []fault {
	kinds := slices.Clone(faults)
	if len(ses.cfg.Only) == 0 {
		return kinds
	}
	return slices.DeleteFunc(kinds, func(flt fault) bool { return !slices.Contains(ses.cfg.Only, flt.name) })
}

// take reserves a target, so that two faults don't undo each other.
func (inj *injector) take(key string) bool {
	inj.mu.Lock()
	defer inj.mu.Unlock()
	if inj.busy[key] {
		return false
	}
	inj.busy[key] = true
	return true
}

func (inj *injector) give(key string) {
	inj.mu.Lock()
	defer inj.mu.Unlock()
	delete(inj.busy, key)
}

// slot runs one fault after the other.
type slot struct {
	inj   *injector
	kinds []fault
	rng   *rand.Rand
	ended *sync.WaitGroup
}

func (slt *slot) loop(ctx context.Context) {
	defer slt.ended.Done()
	for ctx.Err() == nil && len(slt.kinds) > 0 {
		slt.disturb(ctx, slt.kinds[slt.rng.IntN(len(slt.kinds))])
		_ = pause(ctx, time.Duration(slt.rng.IntN(1000))*time.Millisecond)
	}
}

func (slt *slot) disturb(ctx context.Context, flt fault) {
	ses := slt.inj.ses
	target := flt.pick(ses, slt.rng)
	length := minFault + time.Duration(slt.rng.Int64N(int64(maxFault-minFault)))
	key := string(flt.scope) + " " + target
	if !slt.inj.take(key) {
		return
	}
	defer slt.inj.give(key)
	ses.rep.count("Fault "+flt.name, 1)
	if err := flt.start(ctx, ses, target); err != nil && ctx.Err() == nil {
		ses.rep.violate("Fault", target, "%s: %v", flt.name, err)
	}
	if flt.stop == nil {
		return
	}
	_ = pause(ctx, length)
	// The end of the round must not keep the fault from being healed.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTime)
	defer cancel()
	if err := flt.stop(ctx, ses, target); err != nil {
		ses.rep.violate("Fault", target, "end of %s: %v", flt.name, err)
	}
}

func pickEngine(ses *session, rng *rand.Rand) string {
	return string(ses.flt.Engines[rng.IntN(len(ses.flt.Engines))].Name)
}

func pickApp(ses *session, rng *rand.Rand) string {
	return string(ses.flt.Apps[rng.IntN(len(ses.flt.Apps))].Name)
}

func pickUpstream(ses *session, rng *rand.Rand) string {
	if rng.IntN(2) == 0 {
		return pickEngine(ses, rng)
	}
	return pickApp(ses, rng)
}

func pickAgent(ses *session, rng *rand.Rand) string { return "agent-" + pickUpstream(ses, rng) }

func pickRouter(_ *session, rng *rand.Rand) string {
	return fmt.Sprintf("router-%d", 1+rng.IntN(routers))
}

func pickPlatform(*session, *rand.Rand) string { return bwdev.PlatformName }

// pickWay chooses two members that have something to say to each other.
func pickWay(ses *session, rng *rand.Rand) string {
	ups := pickUpstream(ses, rng)
	pairs := [][2]string{
		{pickRouter(ses, rng), pickRouter(ses, rng)},
		{pickRouter(ses, rng), "agent-" + ups},
		{pickRouter(ses, rng), bwdev.PlatformName},
		{"agent-" + ups, bwdev.PlatformName},
		{"agent-" + ups, ups},
		{callersName, pickRouter(ses, rng)},
	}
	pair := pairs[rng.IntN(len(pairs))]
	if rng.IntN(2) == 0 {
		pair[0], pair[1] = pair[1], pair[0]
	}
	return pair[0] + " " + pair[1]
}

func isolate(cond bwfakenet.Condition) func(context.Context, *session, string) error {
	return func(_ context.Context, ses *session, target string) error {
		ses.nw.Isolate(target, cond)
		return nil
	}
}

// cutRouters parts a router from all others, but not from agents and callers:
// its holders do not answer, while its callers take their generations elsewhere.
func cutRouters(cond bwfakenet.Condition) func(context.Context, *session, string) error {
	return func(_ context.Context, ses *session, target string) error {
		for ix := range routers {
			other := fmt.Sprintf("router-%d", ix+1)
			if other != target {
				ses.nw.Set(target, other, cond)
				ses.nw.Set(other, target, cond)
			}
		}
		return nil
	}
}

func setWay(cond bwfakenet.Condition, both bool) func(context.Context, *session, string) error {
	return func(_ context.Context, ses *session, target string) error {
		from, to, _ := strings.Cut(target, " ")
		ses.nw.Set(from, to, cond)
		if both {
			ses.nw.Set(to, from, cond)
		}
		return nil
	}
}

func setStore(flt bwfakestore.Faults) func(context.Context, *session, string) error {
	return func(_ context.Context, ses *session, _ string) error {
		ses.flt.Platform.SetFaults(bwfakestore.TableService, flt)
		return nil
	}
}

func setApp(flt bwfakeapp.Faults) func(context.Context, *session, string) error {
	return func(ctx context.Context, ses *session, target string) error {
		for _, app := range ses.flt.Apps {
			if string(app.Name) == target {
				return app.Fake.SetFaults(ctx, flt)
			}
		}
		return nil
	}
}

func dieEngine(ctx context.Context, ses *session, target string) error {
	return ses.engine(target).Fake.Die(ctx)
}

func reviveEngine(ctx context.Context, ses *session, target string) error {
	return ses.engine(target).Fake.Revive(context.WithoutCancel(ctx))
}

func freezeEngine(ctx context.Context, ses *session, target string) error {
	return ses.engine(target).Fake.Freeze(ctx)
}

func thawEngine(ctx context.Context, ses *session, target string) error {
	return ses.engine(target).Fake.Thaw(ctx)
}

func slowEngine(ctx context.Context, ses *session, target string) error {
	const factor = 10
	return ses.engine(target).Fake.Slow(ctx, factor)
}

func speedEngine(ctx context.Context, ses *session, target string) error {
	return ses.engine(target).Fake.Slow(ctx, 1)
}

func (ses *session) engine(name string) *bwdev.Engine {
	for _, eng := range ses.flt.Engines {
		if string(eng.Name) == name {
			return eng
		}
	}
	return nil
}

func replaceRouter(_ context.Context, ses *session, target string) error {
	for ix := range routers {
		if string(ses.flt.Router(ix).Member().ID) == target {
			return ses.flt.RestartRouter(ix)
		}
	}
	return nil
}

func replaceAgent(_ context.Context, ses *session, target string) error {
	return ses.flt.RestartAgent(bwmodel.UpstreamID(target))
}
