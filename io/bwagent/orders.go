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

// Orders serves the RPC Agent.Order, which sends the orders of control duties to
// the engine. It checks the fences of orders itself, because an engine may not.
type Orders struct {
	cfg     OrdersConfig
	control *bwcontrol.Owner[ordersState, struct{}]
}

// OrdersConfig configures Orders.
type OrdersConfig struct {
	// Incarnation is that of this agent; an order for another one is refused.
	Incarnation bwmodel.Incarnation
	// SendOrder sends the engine an order and waits until it is executed, as
	// bwengine.EngineClient.SendOrder does.
	SendOrder func(context.Context, bwengine.Order) error
	// ReadLease returns the lease row of a duty, or an error that wraps
	// bwlease.ErrUnavailable; nil means that the store is always unavailable.
	ReadLease func(ctx context.Context, duty string) (bwlease.Row, error)
	// ReadTimeout limits the time to read a lease row; 0 means 1 s.
	ReadTimeout time.Duration
	Log         *slog.Logger
}

// ordersState is read and changed by the control goroutine only.
type ordersState struct {
	guard *bwlease.FenceGuard
	// busy is set while the engine executes an order.
	busy bool
}

const defaultLeaseReadTimeout = time.Second

// NewOrders returns an Orders without any recorded fence.
func NewOrders(cfg OrdersConfig) *Orders {
	if cfg.ReadTimeout == 0 {
		cfg.ReadTimeout = defaultLeaseReadTimeout
	}
	if cfg.ReadLease == nil {
		cfg.ReadLease = leaseUnavailable
	}
	if cfg.Log == nil {
		cfg.Log = slog.New(slog.DiscardHandler)
	}
	return &Orders{cfg: cfg, control: bwcontrol.New(bwcontrol.Config[ordersState, struct{}]{
		State: &ordersState{guard: bwlease.NewFenceGuard()},
		View:  func(*ordersState) *struct{} { return nil },
	})}
}

// Register adds Agent.Order to a server.
func (ods *Orders) Register(srv *bwrpc.Server) {
	bwrpc.HandleUnary(srv, bwwire.AgentOrder, ods.Order)
}

// Start starts the control goroutine, which ends with the context.
func (ods *Orders) Start(ctx context.Context) { ods.control.Start(ctx) }

// Order executes one order at a time. It returns an error with the code
// OtherIncarnation, Stale or Overloaded when nothing was sent to the engine, with Stale
// also when the engine itself rejected the fence, and with UpstreamFailed when the
// engine failed and may have executed the order.
func (ods *Orders) Order(ctx context.Context, req *bwwire.OrderRequest) (*bwwire.OrderResponse, error) {
	if req.Incarnation != ods.cfg.Incarnation {
		return nil, bwrpc.Errorf(bwwire.OtherIncarnation, "the agent has restarted: order is for run %d, this is %d", req.Incarnation, ods.cfg.Incarnation)
	}
	if err := ods.initFence(ctx, req); err != nil {
		return nil, err
	}
	if err := ods.acquireEngine(ctx, req); err != nil {
		return nil, err
	}
	defer ods.releaseEngine(ctx)
	// The order continues when its sender cancels the RPC: an engine that has begun
	// to load a model must not receive another order before it has finished.
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

// initFence reads the duty's lease row before the duty's first order and records
// its fence. While the store is unavailable, the fence of the order is recorded:
// the order names this incarnation of the agent, so its sender held the lease
// after the agent had started, and no order with a higher fence can have been
// executed before that.
func (ods *Orders) initFence(ctx context.Context, req *bwwire.OrderRequest) error {
	known := false
	if err := ods.control.Do(ctx, func(st *ordersState) { known = st.guard.HasFence(req.Duty) }); err != nil || known {
		return err
	}
	readCtx, cancel := context.WithTimeout(ctx, ods.cfg.ReadTimeout)
	defer cancel()
	row, err := ods.cfg.ReadLease(readCtx, req.Duty)
	fence := row.Fence
	switch {
	case errors.Is(err, bwlease.ErrUnavailable) || errors.Is(err, context.DeadlineExceeded):
		ods.cfg.Log.Warn("lease store is unavailable, using the fence of the order", "Duty", req.Duty, "Fence", req.Fence)
		fence = req.Fence
	case err != nil:
		return fmt.Errorf("read lease of duty %q: %w", req.Duty, err)
	}
	return ods.control.Do(ctx, func(st *ordersState) { st.guard.RecordFence(req.Duty, fence) })
}

// acquireEngine records the order's fence and reserves the engine for the order. The
// fence is recorded even if the engine is busy, so that stale orders are rejected.
func (ods *Orders) acquireEngine(ctx context.Context, req *bwwire.OrderRequest) error {
	var refusal error
	err := ods.control.Do(ctx, func(st *ordersState) {
		switch err := st.guard.Admit(req.Duty, req.Fence); {
		case err != nil:
			refusal = bwrpc.Errorf(bwwire.Stale, "order refused: %w", err)
		case st.busy:
			refusal = bwrpc.Errorf(bwwire.Overloaded, "the engine is carrying out another order")
		default:
			st.busy = true
		}
	})
	if err != nil {
		return err
	}
	return refusal
}

func (ods *Orders) releaseEngine(ctx context.Context) {
	// Do fails only when the agent is stopping.
	_ = ods.control.Do(context.WithoutCancel(ctx), func(st *ordersState) { st.busy = false })
}

func leaseUnavailable(context.Context, string) (bwlease.Row, error) {
	return bwlease.Row{}, bwlease.ErrUnavailable
}
