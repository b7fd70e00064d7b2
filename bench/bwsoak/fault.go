package bwsoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"bilberrywick/bench/bwfault"
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
	{"StoreLosesAnswers", platformScope, pickPlatform, setStore(bwfakestore.Faults{LoseResponses: 20}), setStore(bwfakestore.Faults{})},
	{"StoreAnswersLate", platformScope, pickPlatform, setStore(bwfakestore.Faults{DelayResponses: 20, DelayTime: 2500 * time.Millisecond}), setStore(bwfakestore.Faults{})},
	{"StoreWritesLate", platformScope, pickPlatform, setStore(bwfakestore.Faults{DelayWrites: 20, DelayTime: 1500 * time.Millisecond}), setStore(bwfakestore.Faults{})},
}

// FaultNames lists the kinds of faults.
func FaultNames() string {
	names := make([]string, 0, len(faults))
	for _, flt := range faults {
		names = append(names, flt.name)
	}
	return strings.Join(names, ", ")
}

const (
	minFault = 300 * time.Millisecond
	maxFault = 5 * time.Second
	// maxPause is the longest time between two faults of a series.
	maxPause = time.Second
)

func newSchedule(ses *session) *bwfault.Schedule {
	return bwfault.NewSchedule(bwfault.ScheduleConfig{
		Series:      ses.cfg.ParallelFaults,
		MinDuration: minFault,
		MaxDuration: maxFault,
		MaxPause:    maxPause,
		Random:      func(round, series int) *rand.Rand { return ses.random("slot", round*ses.cfg.ParallelFaults+series) },
		Recorder:    ses.rep,
	})
}

// round disturbs the fleet for a time and heals it. Every second round leaves
// the network and the platform whole and drains an upstream, since a process
// that is cut off can't learn of the drain.
func (ses *session) round(ctx context.Context, number int) {
	draining := number%2 == 0
	during, cancel := context.WithTimeout(ctx, ses.cfg.RoundLength)
	defer cancel()
	var drained sync.WaitGroup
	if draining {
		drained.Add(1)
		drn := &drainer{ses: ses, rng: ses.random("drain", number), ended: &drained}
		go drn.run(during)
	}
	ses.schedule.RunRound(during, number, ses.kinds(draining))
	drained.Wait()
	ses.nw.ClearFaults()
}

// kinds returns the faults that a round may use.
func (ses *session) kinds(draining bool) []bwfault.Fault {
	var kinds []bwfault.Fault
	for _, flt := range faults {
		if len(ses.cfg.OnlyFaults) > 0 && !slices.Contains(ses.cfg.OnlyFaults, flt.name) {
			continue
		}
		if draining && (flt.scope == networkScope || flt.scope == platformScope) {
			continue
		}
		kinds = append(kinds, flt.bind(ses))
	}
	return kinds
}

// bind returns a fault of one run.
func (flt fault) bind(ses *session) bwfault.Fault {
	start := func(ctx context.Context, target string) error { return flt.start(ctx, ses, target) }
	bound := bwfault.Fault{Name: flt.name, Scope: string(flt.scope), PickTarget: func(rng *rand.Rand) string { return flt.pick(ses, rng) }, Inject: bwfault.Once(start)}
	if flt.stop != nil {
		bound.Inject = bwfault.ForDuration(start, func(ctx context.Context, target string) error { return flt.stop(ctx, ses, target) })
	}
	return bound
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

func pickPlatform(*session, *rand.Rand) string { return bwdev.PlatformNode }

// pickWay chooses two members that have something to say to each other.
func pickWay(ses *session, rng *rand.Rand) string {
	ups := pickUpstream(ses, rng)
	pairs := [][2]string{
		{pickRouter(ses, rng), pickRouter(ses, rng)},
		{pickRouter(ses, rng), "agent-" + ups},
		{pickRouter(ses, rng), bwdev.PlatformNode},
		{"agent-" + ups, bwdev.PlatformNode},
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
		ses.nw.SetMemberCondition(target, cond)
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
				ses.nw.SetCondition(target, other, cond)
				ses.nw.SetCondition(other, target, cond)
			}
		}
		return nil
	}
}

func setWay(cond bwfakenet.Condition, both bool) func(context.Context, *session, string) error {
	return func(_ context.Context, ses *session, target string) error {
		from, to, _ := strings.Cut(target, " ")
		ses.nw.SetCondition(from, to, cond)
		if both {
			ses.nw.SetCondition(to, from, cond)
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
	return ses.engine(target).Fake.Kill(ctx)
}

func reviveEngine(ctx context.Context, ses *session, target string) error {
	return ses.engine(target).Fake.Restart(context.WithoutCancel(ctx))
}

func freezeEngine(ctx context.Context, ses *session, target string) error {
	return ses.engine(target).Fake.Freeze(ctx)
}

func thawEngine(ctx context.Context, ses *session, target string) error {
	return ses.engine(target).Fake.Thaw(ctx)
}

func slowEngine(ctx context.Context, ses *session, target string) error {
	const factor = 10
	return ses.engine(target).Fake.SetSlowdown(ctx, factor)
}

func speedEngine(ctx context.Context, ses *session, target string) error {
	return ses.engine(target).Fake.SetSlowdown(ctx, 1)
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
