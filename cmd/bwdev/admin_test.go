package bwdev_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"bilberrywick/cmd/bwdev"
	"bilberrywick/core/bwmodel"
	"bilberrywick/io/bwadmin"
	"bilberrywick/io/bwhttp"
	"bilberrywick/io/bwrouter"
	"bilberrywick/io/bwwire"
	"bilberrywick/standin/bwfakeengine"
)

func startFleet(t *testing.T, cfg bwdev.Config) *bwdev.Fleet {
	t.Helper()
	flt, err := bwdev.Start(t.Context(), cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(flt.Close)
	return flt
}

func newOperatorClient(t *testing.T, addr netip.AddrPort) *bwadmin.Client {
	t.Helper()
	cl := bwadmin.NewClient(bwhttp.ClientConfig{Address: addr, Key: bwdev.OperatorKey})
	t.Cleanup(cl.Close)
	return cl
}

// eventually repeats check until it returns nil; the timeout only limits how long a
// failing test runs.
func eventually(t *testing.T, check func() error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	for {
		err := check()
		if err == nil {
			return
		}
		select {
		case <-time.After(10 * time.Millisecond):
		case <-ctx.Done():
			t.Fatal(err)
		}
	}
}

// Guards against a repeated ticket that is reported as accepted again, members
// without their ticket number, and drains that no process lists.
func TestTicketResultsMembersAndDrains(t *testing.T) {
	flt := startFleet(t, bwdev.Config{Routers: 2, Engines: 1, Apps: 1})
	cl, ctx := newOperatorClient(t, flt.Routers[0].OperatorAddress()), t.Context()
	first, err := cl.Apply(ctx, &bwadmin.TicketRequest{Ticket: flt.FullTicket(1)})
	if err != nil || first.Result != bwadmin.ResultRepeated {
		t.Errorf("first ticket submitted again: %+v, %v, want Repeated", first, err)
	}
	doc := flt.FullTicket(2)
	doc.Services, doc.Teams = nil, nil
	for ix := range doc.Upstreams {
		doc.Upstreams[ix].Draining = doc.Upstreams[ix].Name == flt.Apps[0].Name
	}
	res, err := cl.Apply(ctx, &bwadmin.TicketRequest{Ticket: doc})
	if err != nil || res.Result != bwadmin.ResultAccepted {
		t.Fatalf("second ticket: %+v, %v, want Accepted", res, err)
	}
	eventually(t, func() error { return checkMembers(ctx, cl, 4, 2) })
	list, err := cl.Drains(ctx)
	want := bwadmin.DrainStatus{Kind: bwadmin.UpstreamDrain, Name: string(flt.Apps[0].Name), Cause: bwadmin.CauseTicket}
	if err != nil || len(list.Drains) != 1 || list.Drains[0] != want {
		t.Errorf("drains: %+v, %v, want %+v", list, err, want)
	}
	agent := newOperatorClient(t, flt.Apps[0].Agent.OperatorAddress())
	eventually(t, func() error {
		rdy, err := agent.Ready(ctx)
		if err != nil || rdy.Ready || rdy.Reason == "" {
			return errors.Join(err, errors.New("the drained upstream's agent is ready"))
		}
		return nil
	})
	ups, err := agent.Upstreams(ctx)
	if err != nil || len(ups.Upstreams) != 1 || ups.Upstreams[0].Health != bwadmin.LeavingUpstream {
		t.Errorf("agent's upstream: %+v, %v", ups, err)
	}
}

// checkMembers checks that a process lists count members, all live and at ticket num.
func checkMembers(ctx context.Context, cl *bwadmin.Client, count int, num bwmodel.TicketNumber) error {
	list, err := cl.Members(ctx)
	if err != nil {
		return err
	}
	if len(list.Members) != count {
		return errors.New("a member is missing")
	}
	for _, mem := range list.Members {
		if mem.StateNumber != num || mem.State != "Live" {
			return errors.New(string(mem.ID) + " is behind or not live")
		}
	}
	return nil
}

// Guards against a drain that names another member but stops this process, and
// against one that names this process but doesn't stop it.
func TestProcessDrain(t *testing.T) {
	flt := startFleet(t, bwdev.Config{Routers: 1, Engines: 1})
	rtr, ctx := flt.Routers[0], t.Context()
	cl := newOperatorClient(t, rtr.OperatorAddress())
	var prob *bwadmin.ProblemError
	if _, err := cl.Drain(ctx, &bwadmin.DrainRequest{Member: "another"}); !errors.As(err, &prob) || prob.Status != http.StatusConflict {
		t.Errorf("drain of another member: %v", err)
	}
	if err := rtr.Ready(); err != nil {
		t.Errorf("router is not ready after a refused drain: %v", err)
	}
	list, err := cl.Drain(ctx, &bwadmin.DrainRequest{Member: rtr.Member().ID})
	if err != nil || len(list.Drains) != 1 || list.Drains[0].Cause != bwadmin.CauseOperator {
		t.Errorf("drain: %+v, %v", list, err)
	}
	select {
	case <-rtr.StopRequested():
	default:
		t.Error("the drain does not request a stop of the router")
	}
	if rdy, err := cl.Ready(ctx); err != nil || rdy.Ready {
		t.Errorf("ready after a drain: %+v, %v", rdy, err)
	}
}

// Guards against a generation without a status at the router that serves it or at
// the one that holds its record.
func TestGenerationStatus(t *testing.T) {
	flt := startFleet(t, bwdev.Config{
		Routers: 2,
		Engines: 1,
		Engine:  bwfakeengine.Config{TokenTime: 5 * time.Millisecond, Slots: 4},
	})
	cal := &teamCaller{t: t, addr: flt.Routers[0].CallerAddress(), key: flt.Teams()[0].Key}
	gen := cal.generate(100000)
	states := make(map[string]int)
	eventually(t, func() error {
		clear(states)
		for _, rtr := range flt.Routers {
			sts, err := newOperatorClient(t, rtr.OperatorAddress()).Generation(t.Context(), gen.id)
			if err != nil {
				return err
			}
			states[sts.State]++
			if sts.Team != flt.Teams()[0].Name || sts.Position == 0 || !sts.Agent.IsValid() || !sts.Holder.IsValid() {
				return fmt.Errorf("the generation's status is incomplete: %+v", sts)
			}
		}
		return nil
	})
	if states[bwadmin.RunningGeneration] != 1 || states[bwadmin.HeldGeneration] != 1 {
		t.Errorf("states %v, want one router that runs it and one that holds it", states)
	}
	gen.close()
	eventually(t, func() error {
		for _, rtr := range flt.Routers {
			sts, err := newOperatorClient(t, rtr.OperatorAddress()).Generation(t.Context(), gen.id)
			if err == nil && sts.State == bwadmin.RunningGeneration {
				return errors.New("the generation is still running after its caller disconnected")
			}
		}
		return nil
	})
}

// Guards against metrics of process, fleet, store and rpc that nothing sets. A
// process that starts late reads the first ticket with the state from the store,
// which is not measured as propagation, so the test applies a second ticket.
func TestProcessMetrics(t *testing.T) {
	flt := startFleet(t, bwdev.Config{Routers: 2, Engines: 1})
	if err := flt.RestartRouter(1); err != nil {
		t.Fatal(err)
	}
	doc := flt.FullTicket(2)
	doc.Services, doc.Upstreams = nil, nil
	cl := newOperatorClient(t, flt.Routers[0].OperatorAddress())
	eventually(t, func() error { return checkMembers(t.Context(), cl, 3, 1) })
	if res, err := cl.Apply(t.Context(), &bwadmin.TicketRequest{Ticket: doc}); err != nil || res.Result != bwadmin.ResultAccepted {
		t.Fatalf("second ticket: %+v, %v, want Accepted", res, err)
	}
	want := []string{
		`bilberrywick_ready 1`,
		`bilberrywick_draining 0`,
		`bilberrywick_ticket_number 2`,
		`bilberrywick_members{role="Router",state="Live"} 1`,
		`bilberrywick_members{role="Agent",state="Live"} 1`,
		`bilberrywick_store_duration_seconds_count{store="Table",operation="Get"}`,
		`bilberrywick_store_duration_seconds_count{store="VMList",operation="Read"}`,
		`bilberrywick_rpc_duration_seconds_count{method="Peer.Exchange"}`,
		`bilberrywick_control_sent_bytes_total{kind="Exchange"}`,
		`bilberrywick_ticket_propagation_seconds_count{source=`,
	}
	for _, rtr := range flt.Routers {
		cal := &teamCaller{t: t, addr: rtr.OperatorAddress(), key: bwdev.OperatorKey}
		eventually(t, func() error {
			_, body := cal.sendAndRead(http.MethodGet, bwadmin.MetricsPath, "", nil)
			for _, line := range want {
				if !strings.Contains(body, line) {
					return fmt.Errorf("%s: the metrics do not contain %s", rtr.Member().ID, line)
				}
			}
			return nil
		})
	}
}

// Guards against a lease that no router, or more than one, reports to operators.
func TestLeaseStatus(t *testing.T) {
	flt := startFleet(t, bwdev.Config{
		Routers: 2, Engines: 1,
		Models: []bwwire.ServedModelDocument{{Name: "pisar-model", Bytes: gib, MinEngines: 1}},
		Duties: bwrouter.DutyTiming{LeaseTTL: 500 * time.Millisecond},
	})
	const duty = "Place/sk-stred/pisar-model"
	eventually(t, func() error {
		holders, gauges := 0, 0
		for _, rtr := range flt.Routers {
			list, err := newOperatorClient(t, rtr.OperatorAddress()).Members(t.Context())
			if err != nil {
				return err
			}
			for _, mem := range list.Members {
				if slices.Contains(mem.Leases, duty) {
					holders++
				}
			}
			cal := &teamCaller{t: t, addr: rtr.OperatorAddress(), key: bwdev.OperatorKey}
			if _, body := cal.sendAndRead(http.MethodGet, bwadmin.MetricsPath, "", nil); strings.Contains(body, `bilberrywick_lease_held{duty="`+duty+`"} 1`) {
				gauges++
			}
		}
		if holders != 1 || gauges != 1 {
			return fmt.Errorf("%d members and %d gauges show the lease, want one each", holders, gauges)
		}
		return nil
	})
}
