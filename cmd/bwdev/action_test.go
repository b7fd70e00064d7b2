package bwdev_test

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"bilberrywick/bench/bwcaller"
	"bilberrywick/cmd/bwdev"
	"bilberrywick/io/bwhttp"
	"bilberrywick/standin/bwfakeapp"
	"bilberrywick/standin/bwfakestore"
)

const plainService = "objednavky-pult"

func startApps(t *testing.T, cfg bwdev.Config) (*bwdev.Fleet, *bwcaller.Caller) {
	t.Helper()
	flt := startFleet(t, cfg)
	cal := bwcaller.New(bwcaller.Config{Routers: flt.CallerAddresses, Key: flt.Teams()[0].Key, DisableKeepAlives: true})
	t.Cleanup(cal.Close)
	return flt, cal
}

// acting is one action in progress.
type acting struct {
	cal   *bwcaller.Caller
	body  []byte
	reply bwcaller.Response
	err   error
	done  chan struct{}
}

func (act *acting) run(ctx context.Context) {
	defer close(act.done)
	act.reply, act.err = act.cal.RunAction(ctx, plainService, "orders", "k1", act.body)
}

// begin sends an action and returns once it has arrived at an app.
func begin(t *testing.T, flt *bwdev.Fleet, cal *bwcaller.Caller) *acting {
	t.Helper()
	act := &acting{cal: cal, body: []byte("40"), done: make(chan struct{})}
	go act.run(t.Context())
	until(t, func() bool {
		select {
		case <-act.done:
			t.Fatalf("action ended before it arrived: %v", act.err)
		default:
		}
		started := 0
		for _, app := range flt.Apps {
			started += app.Fake.Snapshot().Started
		}
		return started > 0
	})
	return act
}

// until waits for a condition as long as the test may run.
func until(t *testing.T, met func() bool) {
	t.Helper()
	for !met() {
		select {
		case <-time.After(time.Millisecond):
		case <-t.Context().Done():
			t.Fatal("the condition was not met")
		}
	}
}

func repeatAfterAgentsAreLost(t *testing.T, flt *bwdev.Fleet, cal *bwcaller.Caller, act *acting) {
	t.Helper()
	for _, app := range flt.Apps {
		if err := flt.RestartAgent(app.Name); err != nil {
			t.Fatal(err)
		}
	}
	rep, err := cal.RunAction(t.Context(), plainService, "orders", "k1", act.body)
	if err != nil || !rep.Replayed || !bytes.Equal(rep.Body, act.reply.Body) {
		t.Errorf("repeat got %d bytes, repeat %v, error %v; want the %d bytes of the first answer", len(rep.Body), rep.Replayed, err, len(act.reply.Body))
	}
}

// Guards against a result above the table's row size that only the agent knows.
func TestLargeResponseIsRecorded(t *testing.T) {
	flt, cal := startApps(t, bwdev.Config{Apps: 1})
	// Each of these characters takes six bytes in the app's answer.
	act := &acting{cal: cal, body: []byte(strings.Repeat("<", 120<<10)), done: make(chan struct{})}
	act.run(t.Context())
	if act.err != nil || len(act.reply.Body) < 700<<10 {
		t.Fatalf("first answer has %d bytes, error %v", len(act.reply.Body), act.err)
	}
	repeatAfterAgentsAreLost(t, flt, cal, act)
}

// Guards against a result that is lost with its agent because the table was away
// when it was to be recorded.
func TestResultIsRecordedAfterAnOutage(t *testing.T) {
	flt, cal := startApps(t, bwdev.Config{Apps: 1, App: bwfakeapp.Config{Latency: 100 * time.Millisecond}})
	act := begin(t, flt, cal)
	flt.Platform.SetFaults(bwfakestore.TableService, bwfakestore.Faults{Down: true})
	<-act.done
	if act.err != nil {
		t.Fatal(act.err)
	}
	before := flt.Platform.Counts(bwfakestore.TableService).Writes
	flt.Platform.SetFaults(bwfakestore.TableService, bwfakestore.Faults{})
	until(t, func() bool { return flt.Platform.Counts(bwfakestore.TableService).Writes > before })
	repeatAfterAgentsAreLost(t, flt, cal, act)
}

// Guards against a planned stop that cuts off an action in flight.
func TestPlannedStopsWaitForActions(t *testing.T) {
	tests := []struct {
		name string
		stop func(context.Context, *bwdev.Fleet) error
	}{
		{"router", func(ctx context.Context, flt *bwdev.Fleet) error { return flt.Router(0).Stop(ctx) }},
		{"agent", func(ctx context.Context, flt *bwdev.Fleet) error { return flt.Apps[0].Agent.Stop(ctx) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			flt, cal := startApps(t, bwdev.Config{Apps: 1, App: bwfakeapp.Config{Latency: 400 * time.Millisecond}})
			act := begin(t, flt, cal)
			if err := tt.stop(t.Context(), flt); err != nil {
				t.Errorf("stop: %v", err)
			}
			<-act.done
			if act.err != nil {
				t.Errorf("action in flight ended with %v", act.err)
			}
		})
	}
}

// Guards against a router that tells a repeat "not run" before it has read the
// teams, or once it is stopping, although the action ran under the key.
func TestRouterThatIsAwayKnowsNoOutcome(t *testing.T) {
	flt, cal := startApps(t, bwdev.Config{Apps: 1})
	act := &acting{cal: cal, body: []byte("40"), done: make(chan struct{})}
	act.run(t.Context())
	if act.err != nil {
		t.Fatal(act.err)
	}
	address := flt.Router(0).CallerAddress()
	direct := bwcaller.New(bwcaller.Config{
		Routers:           func() []netip.AddrPort { return []netip.AddrPort{address} },
		Key:               "no team has this key",
		DisableKeepAlives: true,
	})
	t.Cleanup(direct.Close)
	flt.Platform.SetFaults(bwfakestore.TableService, bwfakestore.Faults{Down: true})
	check := func(cal *bwcaller.Caller, status int) {
		t.Helper()
		_, err := cal.RunAction(t.Context(), plainService, "orders", "k1", act.body)
		refused := new(bwcaller.ProblemError)
		if !errors.As(err, &refused) || refused.Status != status {
			t.Fatalf("repeat got %v, want status %d", err, status)
		}
		if refused.Outcome != bwhttp.OutcomeUnknown || refused.RequestOutcome != bwhttp.OutcomeNotRun {
			t.Errorf("repeat got outcome %s and request outcome %s, want Unknown and NotRun", refused.Outcome, refused.RequestOutcome)
		}
	}
	check(direct, http.StatusUnauthorized)
	if err := flt.RestartRouter(0); err != nil {
		t.Fatal(err)
	}
	check(direct, http.StatusServiceUnavailable)
}
