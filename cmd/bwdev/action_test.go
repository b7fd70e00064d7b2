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

// pendingAction is an action in progress; response and err are valid once done is closed.
type pendingAction struct {
	cal      *bwcaller.Caller
	body     []byte
	response bwcaller.Response
	err      error
	done     chan struct{}
}

func (act *pendingAction) run(ctx context.Context) {
	defer close(act.done)
	act.response, act.err = act.cal.RunAction(ctx, plainService, "orders", "k1", act.body)
}

// startAction sends an action in a goroutine and returns once an app has received it.
func startAction(t *testing.T, flt *bwdev.Fleet, cal *bwcaller.Caller) *pendingAction {
	t.Helper()
	act := &pendingAction{cal: cal, body: []byte("40"), done: make(chan struct{})}
	go act.run(t.Context())
	waitUntil(t, func() bool {
		select {
		case <-act.done:
			t.Fatalf("action ended before an app received it: %v", act.err)
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

// waitUntil polls a condition until it is true or the test's context ends.
func waitUntil(t *testing.T, condition func() bool) {
	t.Helper()
	for !condition() {
		select {
		case <-time.After(time.Millisecond):
		case <-t.Context().Done():
			t.Fatal("test ended before the condition was true")
		}
	}
}

func checkReplayAfterAgentRestarts(t *testing.T, flt *bwdev.Fleet, cal *bwcaller.Caller, act *pendingAction) {
	t.Helper()
	for _, app := range flt.Apps {
		if err := flt.RestartAgent(app.Name); err != nil {
			t.Fatal(err)
		}
	}
	rsp, err := cal.RunAction(t.Context(), plainService, "orders", "k1", act.body)
	if err != nil || !rsp.Replayed || !bytes.Equal(rsp.Body, act.response.Body) {
		t.Errorf("repeated request got %d bytes, Replayed %v, error %v; want the %d bytes of the first response, replayed", len(rsp.Body), rsp.Replayed, err, len(act.response.Body))
	}
}

// Guards against a response larger than a row of the table that is recorded only at
// the agent, and so lost when the agent restarts.
func TestLargeResponseIsRecorded(t *testing.T) {
	flt, cal := startApps(t, bwdev.Config{Apps: 1})
	// Each of these characters takes six bytes in the app's response.
	act := &pendingAction{cal: cal, body: []byte(strings.Repeat("<", 120<<10)), done: make(chan struct{})}
	act.run(t.Context())
	if act.err != nil || len(act.response.Body) < 700<<10 {
		t.Fatalf("first response has %d bytes, error %v", len(act.response.Body), act.err)
	}
	checkReplayAfterAgentRestarts(t, flt, cal, act)
}

// Guards against a result that is lost when its agent restarts, because the table
// was unavailable when the agent first tried to record it.
func TestResultIsRecordedAfterAnOutage(t *testing.T) {
	flt, cal := startApps(t, bwdev.Config{Apps: 1, App: bwfakeapp.Config{Latency: 100 * time.Millisecond}})
	act := startAction(t, flt, cal)
	flt.Platform.SetFaults(bwfakestore.TableService, bwfakestore.Faults{Down: true})
	<-act.done
	if act.err != nil {
		t.Fatal(act.err)
	}
	before := flt.Platform.Counts(bwfakestore.TableService).Writes
	flt.Platform.SetFaults(bwfakestore.TableService, bwfakestore.Faults{})
	waitUntil(t, func() bool { return flt.Platform.Counts(bwfakestore.TableService).Writes > before })
	checkReplayAfterAgentRestarts(t, flt, cal, act)
}

// Guards against a planned stop that aborts an action in flight.
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
			act := startAction(t, flt, cal)
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

// Guards against a router that reports NotRun as the outcome of an action that ran
// when it refuses a repeated request, because the key is unknown or because the
// router has not read the teams yet.
func TestUnavailableRouterReportsUnknownOutcome(t *testing.T) {
	flt, cal := startApps(t, bwdev.Config{Apps: 1})
	act := &pendingAction{cal: cal, body: []byte("40"), done: make(chan struct{})}
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
			t.Fatalf("repeated request got %v, want status %d", err, status)
		}
		if refused.Outcome != bwhttp.OutcomeUnknown || refused.RequestOutcome != bwhttp.OutcomeNotRun {
			t.Errorf("repeated request got outcome %s and request outcome %s, want Unknown and NotRun", refused.Outcome, refused.RequestOutcome)
		}
	}
	check(direct, http.StatusUnauthorized)
	if err := flt.RestartRouter(0); err != nil {
		t.Fatal(err)
	}
	check(direct, http.StatusServiceUnavailable)
}
