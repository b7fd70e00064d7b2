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

// faultKind describes one kind of fault.
type faultKind struct {
	name string
	// scope groups faults that exclude each other on the same target.
	scope faultScope
	// pick selects the target.
	pick  func(*session, *rand.Rand) string
	start func(context.Context, *session, string) error
	// stop ends the fault; it is nil for a fault that ends by itself.
	stop func(context.Context, *session, string) error
}

type faultScope string

const (
	engineScope   faultScope = "engine"
	appScope      faultScope = "app"
	processScope  faultScope = "process"
	networkScope  faultScope = "network"
	platformScope faultScope = "platform"
)

var faultKinds = []faultKind{
	{"EngineDies", engineScope, pickEngine, killEngine, restartEngine},
	{"EngineFreezes", engineScope, pickEngine, freezeEngine, thawEngine},
	{"EngineSlows", engineScope, pickEngine, slowEngine, resetEngineSpeed},
	{"AppSlows", appScope, pickApp, setApp(bwfakeapp.Faults{SlowFactor: 60}), setApp(bwfakeapp.Faults{})},
	{"AppBreaks", appScope, pickApp, setApp(bwfakeapp.Faults{DieBefore: 2, DieAfter: 2, DropAnswer: 1, CutAnswer: 2, FailLookups: 3}), setApp(bwfakeapp.Faults{})},
	{"AppAnswersWrongly", appScope, pickApp, setApp(bwfakeapp.Faults{BreakAnswer: 8}), setApp(bwfakeapp.Faults{})},
	{"AppDies", networkScope, pickApp, setMemberCondition(bwfakenet.Cut), setMemberCondition(bwfakenet.Open)},
	{"AppFreezes", networkScope, pickApp, setMemberCondition(bwfakenet.Held), setMemberCondition(bwfakenet.Open)},
	{"RouterIsReplaced", processScope, pickRouter, replaceRouter, nil},
	{"AgentIsReplaced", processScope, pickUpstream, replaceAgent, nil},
	{"RouterPauses", networkScope, pickRouter, setMemberCondition(bwfakenet.Held), setMemberCondition(bwfakenet.Open)},
	{"AgentPauses", networkScope, pickAgent, setMemberCondition(bwfakenet.Held), setMemberCondition(bwfakenet.Open)},
	{"RouterIsCutOff", networkScope, pickRouter, setMemberCondition(bwfakenet.Cut), setMemberCondition(bwfakenet.Open)},
	{"RouterLosesHolders", networkScope, pickRouter, setRouterLinks(bwfakenet.Held), setRouterLinks(bwfakenet.Open)},
	{"AgentIsCutOff", networkScope, pickAgent, setMemberCondition(bwfakenet.Cut), setMemberCondition(bwfakenet.Open)},
	{"WayIsHeld", networkScope, pickLink, setLink(bwfakenet.Held, false), setLink(bwfakenet.Open, false)},
	{"WaysAreHeld", networkScope, pickLink, setLink(bwfakenet.Held, true), setLink(bwfakenet.Open, true)},
	{"WayIsCut", networkScope, pickLink, setLink(bwfakenet.Cut, false), setLink(bwfakenet.Open, false)},
	{"WaysAreCut", networkScope, pickLink, setLink(bwfakenet.Cut, true), setLink(bwfakenet.Open, true)},
	{"StoreIsDown", platformScope, pickPlatform, setStore(bwfakestore.Faults{Down: true}), setStore(bwfakestore.Faults{})},
	{"StoreIsSlow", platformScope, pickPlatform, setStore(bwfakestore.Faults{Latency: 700 * time.Millisecond}), setStore(bwfakestore.Faults{})},
	{"StoreLosesAnswers", platformScope, pickPlatform, setStore(bwfakestore.Faults{LoseResponses: 20}), setStore(bwfakestore.Faults{})},
	{"StoreAnswersWrongly", platformScope, pickPlatform, setStore(bwfakestore.Faults{BreakResponses: 20}), setStore(bwfakestore.Faults{})},
	{"StoreAnswersLate", platformScope, pickPlatform, setStore(bwfakestore.Faults{DelayResponses: 20, DelayTime: 2500 * time.Millisecond}), setStore(bwfakestore.Faults{})},
	{"StoreWritesLate", platformScope, pickPlatform, setStore(bwfakestore.Faults{DelayWrites: 20, DelayTime: 1500 * time.Millisecond}), setStore(bwfakestore.Faults{})},
}

// FaultNames returns the names of all kinds of faults, separated by commas.
func FaultNames() string {
	names := make([]string, 0, len(faultKinds))
	for _, flt := range faultKinds {
		names = append(names, flt.name)
	}
	return strings.Join(names, ", ")
}

const (
	minFaultTime = 300 * time.Millisecond
	maxFaultTime = 5 * time.Second
	// maxPause limits the time between two faults of a series.
	maxPause = time.Second
)

func newSchedule(ses *session) *bwfault.Schedule {
	return bwfault.NewSchedule(bwfault.ScheduleConfig{
		Series:      ses.cfg.ParallelFaults,
		MinDuration: minFaultTime,
		MaxDuration: maxFaultTime,
		MaxPause:    maxPause,
		Random:      func(round, series int) *rand.Rand { return ses.random("slot", round*ses.cfg.ParallelFaults+series) },
		Recorder:    ses.recorder,
	})
}

// runRound injects faults into the fleet for one round and then ends all network
// faults. Every second round drains an upstream and has no network or platform
// faults, since a disconnected process can't receive the drain's ticket.
func (ses *session) runRound(ctx context.Context, number int) {
	draining := number%2 == 0
	roundCtx, cancel := context.WithTimeout(ctx, ses.cfg.RoundLength)
	defer cancel()
	var drained sync.WaitGroup
	if draining {
		drained.Add(1)
		dw := &drainWorker{ses: ses, rng: ses.random("drain", number), ended: &drained}
		go dw.run(roundCtx)
	}
	ses.schedule.RunRound(roundCtx, number, ses.roundFaults(draining))
	drained.Wait()
	ses.network.ClearFaults()
}

// roundFaults returns the faults that a round may inject.
func (ses *session) roundFaults(draining bool) []bwfault.Fault {
	var kinds []bwfault.Fault
	for _, flt := range faultKinds {
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

// bind returns the fault bound to a session.
func (flt faultKind) bind(ses *session) bwfault.Fault {
	start := func(ctx context.Context, target string) error { return flt.start(ctx, ses, target) }
	bound := bwfault.Fault{Name: flt.name, Scope: string(flt.scope), PickTarget: func(rng *rand.Rand) string { return flt.pick(ses, rng) }, Inject: bwfault.Once(start)}
	if flt.stop != nil {
		bound.Inject = bwfault.ForDuration(start, func(ctx context.Context, target string) error { return flt.stop(ctx, ses, target) })
	}
	return bound
}

func pickEngine(ses *session, rng *rand.Rand) string {
	return string(ses.fleet.Engines[rng.IntN(len(ses.fleet.Engines))].Name)
}

func pickApp(ses *session, rng *rand.Rand) string {
	return string(ses.fleet.Apps[rng.IntN(len(ses.fleet.Apps))].Name)
}

func pickUpstream(ses *session, rng *rand.Rand) string {
	if rng.IntN(2) == 0 {
		return pickEngine(ses, rng)
	}
	return pickApp(ses, rng)
}

func pickAgent(ses *session, rng *rand.Rand) string { return "agent-" + pickUpstream(ses, rng) }

func pickRouter(_ *session, rng *rand.Rand) string {
	return fmt.Sprintf("router-%d", 1+rng.IntN(routerCount))
}

func pickPlatform(*session, *rand.Rand) string { return bwdev.PlatformNode }

// pickLink selects two processes that send requests to each other, in either order.
func pickLink(ses *session, rng *rand.Rand) string {
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

func setMemberCondition(cond bwfakenet.Condition) func(context.Context, *session, string) error {
	return func(_ context.Context, ses *session, target string) error {
		ses.network.SetMemberCondition(target, cond)
		return nil
	}
}

// setRouterLinks sets the condition of the links between a router and all other
// routers, but not to agents and callers. Without these links its holders do not
// respond, while its callers can resume their generations at other routers.
func setRouterLinks(cond bwfakenet.Condition) func(context.Context, *session, string) error {
	return func(_ context.Context, ses *session, target string) error {
		for ix := range routerCount {
			other := fmt.Sprintf("router-%d", ix+1)
			if other != target {
				ses.network.SetCondition(target, other, cond)
				ses.network.SetCondition(other, target, cond)
			}
		}
		return nil
	}
}

func setLink(cond bwfakenet.Condition, both bool) func(context.Context, *session, string) error {
	return func(_ context.Context, ses *session, target string) error {
		from, to, _ := strings.Cut(target, " ")
		ses.network.SetCondition(from, to, cond)
		if both {
			ses.network.SetCondition(to, from, cond)
		}
		return nil
	}
}

func setStore(flt bwfakestore.Faults) func(context.Context, *session, string) error {
	return func(_ context.Context, ses *session, _ string) error {
		ses.fleet.Platform.SetFaults(bwfakestore.TableService, flt)
		return nil
	}
}

func setApp(flt bwfakeapp.Faults) func(context.Context, *session, string) error {
	return func(ctx context.Context, ses *session, target string) error {
		for _, app := range ses.fleet.Apps {
			if string(app.Name) == target {
				return app.Fake.SetFaults(ctx, flt)
			}
		}
		return nil
	}
}

func killEngine(ctx context.Context, ses *session, target string) error {
	return ses.engine(target).Fake.Kill(ctx)
}

func restartEngine(ctx context.Context, ses *session, target string) error {
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

func resetEngineSpeed(ctx context.Context, ses *session, target string) error {
	return ses.engine(target).Fake.SetSlowdown(ctx, 1)
}

func (ses *session) engine(name string) *bwdev.Engine {
	for _, eng := range ses.fleet.Engines {
		if string(eng.Name) == name {
			return eng
		}
	}
	return nil
}

func replaceRouter(_ context.Context, ses *session, target string) error {
	for ix := range routerCount {
		if string(ses.fleet.Router(ix).Member().ID) == target {
			return ses.fleet.RestartRouter(ix)
		}
	}
	return nil
}

func replaceAgent(_ context.Context, ses *session, target string) error {
	return ses.fleet.RestartAgent(bwmodel.UpstreamID(target))
}
