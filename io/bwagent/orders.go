package bwagent

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"time"

	"bilberrywick/core/bwcontrol"
	"bilberrywick/core/bwlease"
	"bilberrywick/core/bwmodel"
	"bilberrywick/io/bwengine"
	"bilberrywick/io/bwrpc"
	"bilberrywick/io/bwwire"
)

// Orders serves Agent.Order: it guards the engine with the fences of control
// duties, whether or not the engine checks them itself.
type Orders struct {
	cfg OrdersConfig
	own *bwcontrol.Owner[ordersState, struct{}]
}

// OrdersConfig configures an Orders.
type OrdersConfig struct {
	// Incarnation is the agent's own; an order for another one is refused.
	Incarnation bwmodel.Incarnation
	// SendOrder gives the engine an order and waits, as bwengine.Engine.SendOrder does.
	SendOrder func(context.Context, bwengine.Order) error
	// ReadLease returns a duty's lease row, or an error that wraps
	// bwlease.ErrUnavailable; nil counts as a store that is away.
	ReadLease func(ctx context.Context, duty string) (bwlease.Row, error)
	// ReadTimeout bounds reading a lease row; 0 means 1 s.
	ReadTimeout time.Duration
	Log         *slog.Logger
}

// ordersState is changed by the control goroutine only.
type ordersState struct {
	guard *bwlease.FenceGuard
	// busy says that the engine is carrying out an order.
	busy bool
}

const defaultReadTimeout = time.Second

// NewOrders returns an Orders that has seen no fence yet.
func NewOrders(cfg OrdersConfig) *Orders {
	if cfg.ReadTimeout == 0 {
		cfg.ReadTimeout = defaultReadTimeout
	}
	if cfg.ReadLease == nil {
		cfg.ReadLease = noLease
	}
	if cfg.Log == nil {
		cfg.Log = slog.New(slog.DiscardHandler)
	}
	return &Orders{cfg: cfg, own: bwcontrol.New(bwcontrol.Config[ordersState, struct{}]{
		State: &ordersState{guard: bwlease.NewFenceGuard()},
		View:  func(*ordersState) *struct{} { return nil },
	})}
}

// Register adds the method to a server.
func (ods *Orders) Register(srv *bwrpc.Server) {
	bwrpc.HandleUnary(srv, bwwire.AgentOrder, ods.Order)
}

// Start runs the control goroutine until the context ends.
func (ods *Orders) Start(ctx context.Context) { ods.own.Start(ctx) }

// Order carries out one order at a time. It refuses with OtherIncarnation,
// Stale or Overloaded when nothing was sent to the engine, with Stale when the
// engine itself refused the fence, and with UpstreamFailed when the engine
// failed and may have carried the order out.
func (ods *Orders) Order(ctx context.Context, req *bwwire.OrderRequest) (*bwwire.OrderResponse, error) {
	if req.Incarnation != ods.cfg.Incarnation {
		return nil, bwrpc.Errorf(bwwire.OtherIncarnation, "the agent has restarted: order is for run %d, this is %d", req.Incarnation, ods.cfg.Incarnation)
	}
	if err := ods.readLease(ctx, req); err != nil {
		return nil, err
	}
	if err := ods.begin(ctx, req); err != nil {
		return nil, err
	}
	defer ods.end(ctx)
	// The order goes on when its sender gives up: an engine that has begun to
	// load must not get another order before it has ended.
	err := ods.cfg.SendOrder(context.WithoutCancel(ctx), bwengine.Order{
		Fence: req.Fence, Load: req.Load, Unload: req.Unload, Role: req.Role,
	})
	ods.cfg.Log.Info("order", "Duty", req.Duty, "Fence", req.Fence, "Load", req.Load, "Unload", req.Unload, "Role", req.Role, "Error", err)
	if engErr, ok := errors.AsType[*bwengine.Error](err); ok && engErr.Status == http.StatusConflict {
		return nil, bwrpc.Errorf(bwwire.Stale, "order refused: %w", err)
	}
	if err != nil {
		return nil, bwrpc.Errorf(bwwire.UpstreamFailed, "order: %w", err)
	}
	return &bwwire.OrderResponse{Fence: req.Fence}, nil
}

// readLease reads the duty's row before its first order. While the store is
// away the order's own fence is taken: the order names this run of the agent,
// so its sender held the lease after the agent had started, and no order under
// a higher fence can have been carried out before that.
func (ods *Orders) readLease(ctx context.Context, req *bwwire.OrderRequest) error {
	known := false
	if err := ods.own.Do(ctx, func(st *ordersState) { known = st.guard.HasFence(req.Duty) }); err != nil || known {
		return err
	}
	call, cancel := context.WithTimeout(ctx, ods.cfg.ReadTimeout)
	defer cancel()
	row, err := ods.cfg.ReadLease(call, req.Duty)
	fence := row.Fence
	switch {
	case errors.Is(err, bwlease.ErrUnavailable) || errors.Is(err, context.DeadlineExceeded):
		ods.cfg.Log.Warn("lease store is away, fence taken from the order", "Duty", req.Duty, "Fence", req.Fence)
		fence = req.Fence
	case err != nil:
		return fmt.Errorf("read lease of duty %q: %w", req.Duty, err)
	}
	return ods.own.Do(ctx, func(st *ordersState) { st.guard.RecordFence(req.Duty, fence) })
}

// begin records the order's fence and takes the engine for it. The fence counts
// from here on even if the engine is busy, so that an older order stays out.
func (ods *Orders) begin(ctx context.Context, req *bwwire.OrderRequest) error {
	var refused error
	err := ods.own.Do(ctx, func(st *ordersState) {
		switch err := st.guard.Admit(req.Duty, req.Fence); {
		case err != nil:
			refused = bwrpc.Errorf(bwwire.Stale, "order refused: %w", err)
		case st.busy:
			refused = bwrpc.Errorf(bwwire.Overloaded, "the engine is carrying out another order")
		default:
			st.busy = true
		}
	})
	if err != nil {
		return err
	}
	return refused
}

func (ods *Orders) end(ctx context.Context) {
	// A failed change means that the agent is stopping.
	_ = ods.own.Do(context.WithoutCancel(ctx), func(st *ordersState) { st.busy = false })
}

func noLease(context.Context, string) (bwlease.Row, error) {
	return bwlease.Row{}, bwlease.ErrUnavailable
}
