package bwrouter

import (
	"context"
	"net/netip"
	"slices"

	"bilberrywick/io/bwobserve"
	"bilberrywick/io/bwrpc"
	"bilberrywick/io/bwwire"
)

// HeldDuties returns the names of the duties whose lease this router holds.
func (dts *Duties) HeldDuties() []string {
	var names []string
	for _, plg := range *dts.view.Load() {
		if _, err := plg.duty.CurrentFence(); err == nil {
			names = append(names, plg.name)
		}
	}
	slices.Sort(names)
	return names
}

// setGauges keeps the gauge of held leases current.
func (dts *Duties) setGauges(mx *bwobserve.Metrics) {
	held := dts.HeldDuties()
	for _, plg := range *dts.view.Load() {
		gauge := mx.LeaseHeld.With(plg.name)
		gauge.Set(0)
		if slices.Contains(held, plg.name) {
			gauge.Set(1)
		}
	}
}

// countingOrders counts orders to engines by kind and result.
type countingOrders struct {
	order   func(context.Context, netip.AddrPort, *bwwire.OrderRequest) (*bwwire.OrderResponse, error)
	metrics *bwobserve.Metrics
}

func (cor *countingOrders) give(ctx context.Context, addr netip.AddrPort, req *bwwire.OrderRequest) (*bwwire.OrderResponse, error) {
	rsp, err := cor.order(ctx, addr, req)
	result := "Done"
	if err != nil {
		result = "Failed"
		if bwrpc.CodeOf(err) == bwwire.Stale {
			result = "StaleFence"
		}
	}
	cor.metrics.Orders.With(orderKind(req), result).Inc()
	return rsp, err
}

func orderKind(req *bwwire.OrderRequest) string {
	switch {
	case req.Load != "":
		return "Load"
	case req.Unload != "":
		return "Unload"
	}
	return "Role"
}
