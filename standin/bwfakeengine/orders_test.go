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

// orderStack runs a table service, an agent and an engine. The orders come from
// contenders for the lease.
type orderStack struct {
	t           *testing.T
	platform    *bwfakestore.Server
	store       *bwstore.Client
	engine      *bwfakeengine.Engine
	client      *bwrpc.Client
	agent       netip.AddrPort
	incarnation bwmodel.Incarnation
	mu          sync.Mutex
	fences      []bwmodel.Fence
}

func newOrderStack(t *testing.T, cfg bwfakeengine.Config) *orderStack {
	t.Helper()
	stk := &orderStack{t: t, platform: bwfakestore.New(bwfakestore.Config{})}
	must(t, stk.platform.Start(t.Context()))
	t.Cleanup(stk.platform.Close)
	var err error
	stk.store, err = bwstore.New(bwstore.Config{
		Table: stk.platform.TableAddress(), TableName: "t", Region: "r", AccessKey: "a", SecretKey: "s",
	})
	must(t, err)
	t.Cleanup(stk.store.Close)
	stk.engine, err = bwfakeengine.New(cfg)
	must(t, err)
	must(t, stk.engine.Start(t.Context()))
	stk.client, err = bwrpc.NewClient(bwrpc.ClientConfig{})
	must(t, err)
	stk.startAgent()
	return stk
}

// startAgent starts the agent, or its next incarnation, which has no recorded fence.
func (stk *orderStack) startAgent() {
	stk.t.Helper()
	stk.incarnation++
	ods := bwagent.NewOrders(bwagent.OrdersConfig{
		Incarnation: stk.incarnation, SendOrder: stk.sendToEngine, ReadLease: stk.readLease,
	})
	ods.Start(stk.t.Context())
	srv, err := bwrpc.NewServer(bwrpc.ServerConfig{})
	must(stk.t, err)
	ods.Register(srv)
	lis, addr := listen(stk.t)
	stk.agent = addr
	rnr := &rpcRunner{srv: srv, lis: lis}
	go rnr.run(stk.t.Context())
}

func (stk *orderStack) readLease(ctx context.Context, duty string) (bwlease.Row, error) {
	return bwstore.NewLeaseStore(stk.store.Table, duty).Read(ctx)
}

// sendToEngine sends an order to the engine and records its fence if the engine
// accepts it.
func (stk *orderStack) sendToEngine(ctx context.Context, ord bwengine.Order) error {
	err := bwengine.NewEngineClient(bwengine.EngineClientConfig{Address: stk.engine.Address()}).SendOrder(ctx, ord)
	if err == nil {
		stk.mu.Lock()
		defer stk.mu.Unlock()
		stk.fences = append(stk.fences, ord.Fence)
	}
	return err
}

func (stk *orderStack) acceptedFences() []bwmodel.Fence {
	stk.mu.Lock()
	defer stk.mu.Unlock()
	return slices.Clone(stk.fences)
}

func (stk *orderStack) send(ctx context.Context, addr netip.AddrPort, req *bwwire.OrderRequest) (*bwwire.OrderResponse, error) {
	return bwrpc.Call[bwwire.OrderRequest, bwwire.OrderResponse](ctx, stk.client, addr, bwwire.AgentOrder, req)
}

// contender is a process that contends for the lease, with its own clock.
type contender struct {
	duty  *bwduty.Duty
	stack *orderStack
	now   time.Time
	// beforeSend is called after the lease is checked and before the order is sent.
	beforeSend func()
}

func (stk *orderStack) newContender(id bwmodel.MemberID) *contender {
	stk.t.Helper()
	// The clocks differ, since no process relies on another one's clock.
	ctd := &contender{stack: stk, now: time.Unix(int64(1e6*len(id)), 0)}
	lease := bwstore.NewLeaseStore(stk.store.Table, dutyName)
	var err error
	ctd.duty, err = bwduty.New(bwduty.Config{
		Name: dutyName, Self: id, Incarnation: 1, TTL: leaseTTL, Now: ctd.readClock,
		Read: lease.Read, Swap: lease.Swap, SendOrder: ctd.send,
	})
	must(stk.t, err)
	return ctd
}

func (ctd *contender) readClock() time.Time { return ctd.now }

func (ctd *contender) send(ctx context.Context, addr netip.AddrPort, req *bwwire.OrderRequest) (*bwwire.OrderResponse, error) {
	if ctd.beforeSend != nil {
		ctd.beforeSend()
	}
	return ctd.stack.send(ctx, addr, req)
}

func (ctd *contender) sendOrder(model string) error {
	return ctd.duty.SendOrder(ctd.stack.t.Context(), bwduty.Order{Agent: ctd.stack.agent, Incarnation: ctd.stack.incarnation, Load: model})
}

// takeLeaseFrom advances both clocks until the lease expires and acquires it,
// while the other holder is paused.
func (ctd *contender) takeLeaseFrom(other *contender) {
	ctx := ctd.stack.t.Context()
	ctd.duty.AcquireOrRenew(ctx)
	ctd.now, other.now = ctd.now.Add(leaseTTL), other.now.Add(leaseTTL)
	ctd.duty.AcquireOrRenew(ctx)
}

// Guards against an order of a holder that was paused past the lease's TTL, before
// it checks the lease or between the check and the sending.
func TestPausedHolderSendsNoOrder(t *testing.T) {
	stk := newOrderStack(t, bwfakeengine.Config{})
	first, second := stk.newContender("a"), stk.newContender("bb")
	first.duty.AcquireOrRenew(t.Context())
	must(t, first.sendOrder("one"))
	first.beforeSend = func() {
		second.takeLeaseFrom(first)
		must(t, second.sendOrder("two"))
	}
	if err := first.sendOrder("three"); bwrpc.CodeOf(err) != bwwire.Stale {
		t.Errorf("paused after the check: got %v, want Stale", err)
	}
	first.beforeSend = func() { t.Error("order sent without the lease") }
	if err := first.sendOrder("four"); !errors.Is(err, bwlease.ErrNotHeld) {
		t.Errorf("paused before the check: got %v, want ErrNotHeld", err)
	}
	if got, want := stk.acceptedFences(), []bwmodel.Fence{1, 2}; !slices.Equal(got, want) {
		t.Errorf("accepted fences %v, want %v", got, want)
	}
}

// Guards against orders of two holders that are applied out of the order of their
// fences, with random pauses.
func TestOrdersFollowFences(t *testing.T) {
	for _, checksFence := range []bool{false, true} {
		stk := newOrderStack(t, bwfakeengine.Config{CheckFence: checksFence})
		rng := rand.New(rand.NewPCG(7, 7))
		ctds := []*contender{stk.newContender("a"), stk.newContender("bb")}
		for ix, ctd := range ctds {
			other := ctds[1-ix]
			ctd.beforeSend = func() {
				if rng.IntN(3) == 0 {
					other.takeLeaseFrom(ctd)
					_ = other.duty.SendOrder(t.Context(), bwduty.Order{Agent: stk.agent, Incarnation: stk.incarnation, Role: "decode"})
				}
			}
		}
		for range 60 {
			ctd := ctds[rng.IntN(2)]
			ctd.now = ctd.now.Add(time.Duration(rng.Int64N(int64(leaseTTL))))
			ctd.duty.AcquireOrRenew(t.Context())
			if rng.IntN(8) == 0 {
				stk.startAgent()
			}
			_ = ctd.sendOrder("model")
		}
		fences := stk.acceptedFences()
		if !slices.IsSorted(fences) || fences[len(fences)-1] < 3 {
			t.Errorf("engine checks fences=%v: accepted fences %v, want ascending fences of several holders", checksFence, fences)
		}
	}
}

// Guards against a restarted agent that accepts a stale order: to its previous
// incarnation, with a fence below the lease row's, or while the store is down.
func TestRestartedAgent(t *testing.T) {
	for _, checksFence := range []bool{false, true} {
		stk := newOrderStack(t, bwfakeengine.Config{CheckFence: checksFence})
		first, second := stk.newContender("a"), stk.newContender("bb")
		first.duty.AcquireOrRenew(t.Context())
		must(t, first.sendOrder("one"))
		second.takeLeaseFrom(first)
		must(t, second.sendOrder("two"))
		stale := bwwire.OrderRequest{Duty: dutyName, Fence: 1, Incarnation: stk.incarnation, Load: "old"}
		stk.startAgent()
		if _, err := stk.send(t.Context(), stk.agent, &stale); bwrpc.CodeOf(err) != bwwire.OtherIncarnation {
			t.Errorf("order to the previous incarnation: got %v, want OtherIncarnation", err)
		}
		stale.Incarnation = stk.incarnation
		if _, err := stk.send(t.Context(), stk.agent, &stale); bwrpc.CodeOf(err) != bwwire.Stale {
			t.Errorf("fence below the lease row's: got %v, want Stale", err)
		}
		stk.startAgent()
		stk.platform.SetFaults(bwfakestore.TableService, bwfakestore.Faults{Down: true})
		must(t, second.sendOrder("three"))
		stale.Incarnation = stk.incarnation
		if _, err := stk.send(t.Context(), stk.agent, &stale); bwrpc.CodeOf(err) != bwwire.Stale {
			t.Errorf("store down, fence below the holder's: got %v, want Stale", err)
		}
		if got, want := stk.acceptedFences(), []bwmodel.Fence{1, 2, 2}; !slices.Equal(got, want) {
			t.Errorf("accepted fences %v, want %v", got, want)
		}
	}
}

// Guards against an agent that hides the rejection of an engine that checks
// fences. The agent was restarted while the store is down, so that only the engine
// has the latest fence.
func TestEngineChecksFence(t *testing.T) {
	for _, tt := range []struct {
		checksFence bool
		want        bwrpc.Code
	}{{false, 0}, {true, bwwire.Stale}} {
		stk := newOrderStack(t, bwfakeengine.Config{CheckFence: tt.checksFence})
		stk.platform.SetFaults(bwfakestore.TableService, bwfakestore.Faults{Down: true})
		req := bwwire.OrderRequest{Duty: dutyName, Fence: 5, Incarnation: stk.incarnation, Load: "one"}
		_, err := stk.send(t.Context(), stk.agent, &req)
		must(t, err)
		stk.startAgent()
		// No holder sends this order; see bwagent.Orders.initFence.
		req.Fence, req.Incarnation = 4, stk.incarnation
		if _, err := stk.send(t.Context(), stk.agent, &req); bwrpc.CodeOf(err) != tt.want {
			t.Errorf("engine checks fences=%v: got %v, want code %d", tt.checksFence, err, tt.want)
		}
	}
}

// Guards against a lost response of the table after which two contenders hold the
// lease, none does, or one does before it has read the row back.
func TestLostTableResponse(t *testing.T) {
	stk := newOrderStack(t, bwfakeengine.Config{})
	first, second := stk.newContender("a"), stk.newContender("bb")
	stk.platform.SetFaults(bwfakestore.TableService, bwfakestore.Faults{LoseResponses: 1})
	first.duty.AcquireOrRenew(t.Context())
	if err := first.sendOrder("early"); !errors.Is(err, bwlease.ErrNotHeld) {
		t.Errorf("before the row is read back: got %v, want ErrNotHeld", err)
	}
	second.duty.AcquireOrRenew(t.Context())
	if _, err := second.duty.CurrentFence(); err == nil {
		t.Error("second contender acquired a lease that the first had just written")
	}
	first.duty.AcquireOrRenew(t.Context())
	must(t, first.sendOrder("one"))
	// After a lost response to a renewal, the lease stays valid until it expires.
	stk.platform.SetFaults(bwfakestore.TableService, bwfakestore.Faults{LoseResponses: 1})
	first.duty.AcquireOrRenew(t.Context())
	must(t, first.sendOrder("two"))
	if got, want := stk.acceptedFences(), []bwmodel.Fence{1, 1}; !slices.Equal(got, want) {
		t.Errorf("accepted fences %v, want %v", got, want)
	}
}

// Guards against concurrent orders to one engine, which could load their models in
// either order.
func TestOneOrderAtATime(t *testing.T) {
	started, release := make(chan struct{}), make(chan struct{})
	ods := bwagent.NewOrders(bwagent.OrdersConfig{SendOrder: func(context.Context, bwengine.Order) error {
		close(started)
		<-release
		return nil
	}})
	ods.Start(t.Context())
	ord := &orderCall{ods: ods, ended: make(chan error, 1)}
	go ord.run(t.Context())
	<-started
	if _, err := ods.Order(t.Context(), &bwwire.OrderRequest{Duty: dutyName, Fence: 2}); bwrpc.CodeOf(err) != bwwire.Overloaded {
		t.Errorf("second order: got %v, want Overloaded", err)
	}
	close(release)
	must(t, <-ord.ended)
	if _, err := ods.Order(t.Context(), &bwwire.OrderRequest{Duty: dutyName, Fence: 1}); bwrpc.CodeOf(err) != bwwire.Stale {
		t.Errorf("fence below that of the overloaded order: got %v, want Stale", err)
	}
}

type orderCall struct {
	ods   *bwagent.Orders
	ended chan error
}

func (ord *orderCall) run(ctx context.Context) {
	_, err := ord.ods.Order(ctx, &bwwire.OrderRequest{Duty: dutyName, Fence: 1})
	ord.ended <- err
}
