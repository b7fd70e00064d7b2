package bwprocess

import (
	"context"
	"time"

	"bilberrywick/core/bwmember"
	"bilberrywick/core/bwmodel"
)

// gaugeInterval is the time between two updates of the gauges; scrapes are
// seconds apart.
const gaugeInterval = time.Second

// loop updates the gauges of the process and its fleet until the context ends.
func (prc *Process) loop(ctx context.Context) {
	tick := time.NewTicker(gaugeInterval)
	defer tick.Stop()
	for {
		prc.setGauges()
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

func (prc *Process) setGauges() {
	prc.Metrics.Ready.Set(gaugeValue(prc.CheckReady() == nil))
	prc.Metrics.Draining.Set(gaugeValue(prc.Stopping()))
	if prc.cfg.UpdateGauges != nil {
		prc.cfg.UpdateGauges()
	}
	snap := prc.Fleet.Snapshot()
	prc.Metrics.TicketNumber.Set(float64(snap.State.Number()))
	counts := make(map[memberKind]int)
	for _, ent := range snap.Members {
		counts[memberKind{ent.Member.Role, ent.Status}]++
	}
	for _, role := range []bwmodel.Role{bwmodel.RouterRole, bwmodel.AgentRole} {
		for _, sts := range []bwmember.Status{bwmember.Live, bwmember.Suspect, bwmember.Leaving} {
			prc.Metrics.Members.With(role.String(), sts.String()).Set(float64(counts[memberKind{role, sts}]))
		}
	}
}

type memberKind struct {
	role   bwmodel.Role
	status bwmember.Status
}

func gaugeValue(condition bool) float64 {
	if condition {
		return 1
	}
	return 0
}
