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
	for _, spl := range *dts.view.Load() {
		if _, err := spl.duty.CurrentFence(); err == nil {
			names = append(names, spl.name)
		}
	}
	slices.Sort(names)
	return names
}

// setGauges sets the gauge of each duty's lease to 1 if this router holds it, and to 0 otherwise.
func (dts *Duties) setGauges(mx *bwobserve.Metrics) {
	held := dts.HeldDuties()
	for _, spl := range *dts.view.Load() {
		gauge := mx.LeaseHeld.With(spl.name)
		gauge.Set(0)
		if slices.Contains(held, spl.name) {
			gauge.Set(1)
		}
	}
}

// countingOrders counts orders to engines by kind and result.
type countingOrders struct {
	sendOrder func(context.Context, netip.AddrPort, *bwwire.OrderRequest) (*bwwire.OrderResponse, error)
	metrics   *bwobserve.Metrics
}

func (cor *countingOrders) send(ctx context.Context, addr netip.AddrPort, req *bwwire.OrderRequest) (*bwwire.OrderResponse, error) {
	rsp, err := cor.sendOrder(ctx, addr, req)
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
