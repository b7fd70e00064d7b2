package bwfakeengine_test

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"bilberrywick/core/bwlease"
	"bilberrywick/core/bwmodel"
	"bilberrywick/io/bwagent"
	"bilberrywick/io/bwduty"
	"bilberrywick/io/bwengine"
	"bilberrywick/io/bwrpc"
	"bilberrywick/io/bwstore"
	"bilberrywick/io/bwwire"
	"bilberrywick/standin/bwfakeengine"
	"bilberrywick/standin/bwfakestore"
)

const (
	dutyName = "Place/sk-stred/pisar-model"
	leaseTTL = 10 * time.Second
)

// orderPath is the path of an order: table, holders, agent and engine.
type orderPath struct {
	t        *testing.T
	platform *bwfakestore.Server
	store    *bwstore.Client
	engine   *bwfakeengine.Engine
	client   *bwrpc.Client
	agent    netip.AddrPort
	run      bwmodel.Incarnation
	mu       sync.Mutex
	fences   []bwmodel.Fence
}

func newOrderPath(t *testing.T, cfg bwfakeengine.Config) *orderPath {
	t.Helper()
	pth := &orderPath{t: t, platform: bwfakestore.New(bwfakestore.Config{})}
	must(t, pth.platform.Start(t.Context()))
	t.Cleanup(pth.platform.Close)
	var err error
	pth.store, err = bwstore.New(bwstore.Config{
		Table: pth.platform.TableAddress(), TableName: "t", Region: "r", AccessKey: "a", SecretKey: "s",
	})
	must(t, err)
	t.Cleanup(pth.store.Close)
	pth.engine, err = bwfakeengine.New(cfg)
	must(t, err)
	must(t, pth.engine.Start(t.Context()))
	pth.client, err = bwrpc.NewClient(bwrpc.ClientConfig{})
	must(t, err)
	pth.startAgent()
	return pth
}

// startAgent runs the agent, or its next run, which has seen no fence.
func (pth *orderPath) startAgent() {
	pth.t.Helper()
	pth.run++
	ods := bwagent.NewOrders(bwagent.OrdersConfig{
		Incarnation: pth.run, SendOrder: pth.carryOut, ReadLease: pth.readLease,
	})
	ods.Start(pth.t.Context())
	srv, err := bwrpc.NewServer(bwrpc.ServerConfig{})
	must(pth.t, err)
	ods.Register(srv)
	lis, addr := listen(pth.t)
	pth.agent = addr
	rnr := &rpcRunner{srv: srv, lis: lis}
	go rnr.run(pth.t.Context())
}

func (pth *orderPath) readLease(ctx context.Context, duty string) (bwlease.Row, error) {
	return bwstore.NewLeaseStore(pth.store.Table, duty).Read(ctx)
}

// carryOut passes an order to the engine and records the fence of one that it took.
func (pth *orderPath) carryOut(ctx context.Context, ord bwengine.Order) error {
	err := bwengine.NewEngineClient(bwengine.EngineClientConfig{Address: pth.engine.Address()}).SendOrder(ctx, ord)
	if err == nil {
		pth.mu.Lock()
		defer pth.mu.Unlock()
		pth.fences = append(pth.fences, ord.Fence)
	}
	return err
}

func (pth *orderPath) carriedOut() []bwmodel.Fence {
	pth.mu.Lock()
	defer pth.mu.Unlock()
	return slices.Clone(pth.fences)
}

func (pth *orderPath) send(ctx context.Context, addr netip.AddrPort, req *bwwire.OrderRequest) (*bwwire.OrderResponse, error) {
	return bwrpc.Call[bwwire.OrderRequest, bwwire.OrderResponse](ctx, pth.client, addr, bwwire.AgentOrder, req)
}

// contender is a process that wants the lease, with its own clock.
type contender struct {
	duty *bwduty.Duty
	path *orderPath
	now  time.Time
	// delay runs between the check of the lease and the sending of an order.
	delay func()
}

func (pth *orderPath) contender(id bwmodel.MemberID) *contender {
	pth.t.Helper()
	// The clocks differ, since no process compares them.
	ctd := &contender{path: pth, now: time.Unix(int64(1e6*len(id)), 0)}
	lease := bwstore.NewLeaseStore(pth.store.Table, dutyName)
	var err error
	ctd.duty, err = bwduty.New(bwduty.Config{
		Name: dutyName, Self: id, Incarnation: 1, TTL: leaseTTL, Now: ctd.read,
		Read: lease.Read, Swap: lease.Swap, SendOrder: ctd.send,
	})
	must(pth.t, err)
	return ctd
}

func (ctd *contender) read() time.Time { return ctd.now }

func (ctd *contender) send(ctx context.Context, addr netip.AddrPort, req *bwwire.OrderRequest) (*bwwire.OrderResponse, error) {
	if ctd.delay != nil {
		ctd.delay()
	}
	return ctd.path.send(ctx, addr, req)
}

func (ctd *contender) give(model string) error {
	return ctd.duty.SendOrder(ctd.path.t.Context(), bwduty.Order{Agent: ctd.path.agent, Incarnation: ctd.path.run, Load: model})
}

// takeFrom lets the lease run out and takes it; the other holder is paused.
func (ctd *contender) takeFrom(other *contender) {
	ctx := ctd.path.t.Context()
	ctd.duty.AcquireOrRenew(ctx)
	ctd.now, other.now = ctd.now.Add(leaseTTL), other.now.Add(leaseTTL)
	ctd.duty.AcquireOrRenew(ctx)
}

// Guards against an order by a holder that was paused past its TTL: before its
// check, and between its check and the sending.
func TestPausedHolderGivesNoOrder(t *testing.T) {
	pth := newOrderPath(t, bwfakeengine.Config{})
	first, second := pth.contender("a"), pth.contender("bb")
	first.duty.AcquireOrRenew(t.Context())
	must(t, first.give("one"))
	first.delay = func() {
		second.takeFrom(first)
		must(t, second.give("two"))
	}
	if err := first.give("three"); bwrpc.CodeOf(err) != bwwire.Stale {
		t.Errorf("paused after the check: got %v, want Stale", err)
	}
	first.delay = func() { t.Error("order sent without the lease") }
	if err := first.give("four"); !errors.Is(err, bwlease.ErrNotHeld) {
		t.Errorf("paused before the check: got %v, want ErrNotHeld", err)
	}
	if got, want := pth.carriedOut(), []bwmodel.Fence{1, 2}; !slices.Equal(got, want) {
		t.Errorf("carried out orders under fences %v, want %v", got, want)
	}
}

// Guards against orders of two holders that are carried out in another order
// than that of their fences, whatever the pauses.
func TestOrdersFollowFences(t *testing.T) {
	for _, checks := range []bool{false, true} {
		pth := newOrderPath(t, bwfakeengine.Config{CheckFence: checks})
		rng := rand.New(rand.NewPCG(7, 7))
		ctds := []*contender{pth.contender("a"), pth.contender("bb")}
		for ix, ctd := range ctds {
			other := ctds[1-ix]
			ctd.delay = func() {
				if rng.IntN(3) == 0 {
					other.takeFrom(ctd)
					_ = other.duty.SendOrder(t.Context(), bwduty.Order{Agent: pth.agent, Incarnation: pth.run, Role: "decode"})
				}
			}
		}
		for range 60 {
			ctd := ctds[rng.IntN(2)]
			ctd.now = ctd.now.Add(time.Duration(rng.Int64N(int64(leaseTTL))))
			ctd.duty.AcquireOrRenew(t.Context())
			if rng.IntN(8) == 0 {
				pth.startAgent()
			}
			_ = ctd.give("model")
		}
		fences := pth.carriedOut()
		if !slices.IsSorted(fences) || fences[len(fences)-1] < 3 {
			t.Errorf("engine checks fences=%v: carried out under %v, want rising fences of several holders", checks, fences)
		}
	}
}

// Guards against a restarted agent that takes an old fence: from the run
// before, from below the lease row, and while the store is down.
func TestRestartedAgent(t *testing.T) {
	for _, checks := range []bool{false, true} {
		pth := newOrderPath(t, bwfakeengine.Config{CheckFence: checks})
		first, second := pth.contender("a"), pth.contender("bb")
		first.duty.AcquireOrRenew(t.Context())
		must(t, first.give("one"))
		second.takeFrom(first)
		must(t, second.give("two"))
		old := bwwire.OrderRequest{Duty: dutyName, Fence: 1, Incarnation: pth.run, Load: "old"}
		pth.startAgent()
		if _, err := pth.send(t.Context(), pth.agent, &old); bwrpc.CodeOf(err) != bwwire.OtherIncarnation {
			t.Errorf("order to the run before: got %v, want OtherIncarnation", err)
		}
		old.Incarnation = pth.run
		if _, err := pth.send(t.Context(), pth.agent, &old); bwrpc.CodeOf(err) != bwwire.Stale {
			t.Errorf("order below the lease row: got %v, want Stale", err)
		}
		pth.startAgent()
		pth.platform.SetFaults(bwfakestore.TableService, bwfakestore.Faults{Down: true})
		must(t, second.give("three"))
		old.Incarnation = pth.run
		if _, err := pth.send(t.Context(), pth.agent, &old); bwrpc.CodeOf(err) != bwwire.Stale {
			t.Errorf("store down, order below the holder's: got %v, want Stale", err)
		}
		if got, want := pth.carriedOut(), []bwmodel.Fence{1, 2, 2}; !slices.Equal(got, want) {
			t.Errorf("carried out orders under fences %v, want %v", got, want)
		}
	}
}

// Guards against an agent that hides the refusal of an engine that checks
// fences: the agent has been restarted with the store down, so that it knows less.
func TestEngineChecksFence(t *testing.T) {
	for _, tt := range []struct {
		checks bool
		want   bwrpc.Code
	}{{false, 0}, {true, bwwire.Stale}} {
		pth := newOrderPath(t, bwfakeengine.Config{CheckFence: tt.checks})
		pth.platform.SetFaults(bwfakestore.TableService, bwfakestore.Faults{Down: true})
		req := bwwire.OrderRequest{Duty: dutyName, Fence: 5, Incarnation: pth.run, Load: "one"}
		_, err := pth.send(t.Context(), pth.agent, &req)
		must(t, err)
		pth.startAgent()
		// No holder sends this order; see Orders.readLease.
		req.Fence, req.Incarnation = 4, pth.run
		if _, err := pth.send(t.Context(), pth.agent, &req); bwrpc.CodeOf(err) != tt.want {
			t.Errorf("engine checks=%v: got %v, want code %d", tt.checks, err, tt.want)
		}
	}
}

// Guards against a lost answer of the table that gives a lease to two holders,
// to none, or to one before it has read the row back.
func TestLostAnswerOfTheTable(t *testing.T) {
	pth := newOrderPath(t, bwfakeengine.Config{})
	first, second := pth.contender("a"), pth.contender("bb")
	pth.platform.SetFaults(bwfakestore.TableService, bwfakestore.Faults{LoseResponses: 1})
	first.duty.AcquireOrRenew(t.Context())
	if err := first.give("early"); !errors.Is(err, bwlease.ErrNotHeld) {
		t.Errorf("before the row is read back: got %v, want ErrNotHeld", err)
	}
	second.duty.AcquireOrRenew(t.Context())
	if _, err := second.duty.CurrentFence(); err == nil {
		t.Error("second holder took a lease that the first had just written")
	}
	first.duty.AcquireOrRenew(t.Context())
	must(t, first.give("one"))
	// The answer of a renewal is lost: the lease stays usable for the rest of its time.
	pth.platform.SetFaults(bwfakestore.TableService, bwfakestore.Faults{LoseResponses: 1})
	first.duty.AcquireOrRenew(t.Context())
	must(t, first.give("two"))
	if got, want := pth.carriedOut(), []bwmodel.Fence{1, 1}; !slices.Equal(got, want) {
		t.Errorf("carried out orders under fences %v, want %v", got, want)
	}
}

// Guards against two orders at a time on one engine, whose loads would take
// effect in either order.
func TestOneOrderAtATime(t *testing.T) {
	started, goOn := make(chan struct{}), make(chan struct{})
	ods := bwagent.NewOrders(bwagent.OrdersConfig{SendOrder: func(context.Context, bwengine.Order) error {
		close(started)
		<-goOn
		return nil
	}})
	ods.Start(t.Context())
	ord := &ordering{ods: ods, ended: make(chan error, 1)}
	go ord.run(t.Context())
	<-started
	if _, err := ods.Order(t.Context(), &bwwire.OrderRequest{Duty: dutyName, Fence: 2}); bwrpc.CodeOf(err) != bwwire.Overloaded {
		t.Errorf("second order: got %v, want Overloaded", err)
	}
	close(goOn)
	must(t, <-ord.ended)
	if _, err := ods.Order(t.Context(), &bwwire.OrderRequest{Duty: dutyName, Fence: 1}); bwrpc.CodeOf(err) != bwwire.Stale {
		t.Errorf("order below the one that found the engine busy: got %v, want Stale", err)
	}
}

type ordering struct {
	ods   *bwagent.Orders
	ended chan error
}

func (ord *ordering) run(ctx context.Context) {
	_, err := ord.ods.Order(ctx, &bwwire.OrderRequest{Duty: dutyName, Fence: 1})
	ord.ended <- err
}
