package bwgateway

import (
	"bilberrywick/core/bwforward"
	"bilberrywick/core/bwmodel"
	"bilberrywick/core/bwrollout"
)

// refreshAll makes the rules of all services.
func (rol *Rollouts) refreshAll(ors *ownedRollouts) {
	for _, srl := range ors.services {
		rol.refresh(ors, srl)
	}
}

// refresh makes the rules of a service from what is known now.
func (rol *Rollouts) refresh(ors *ownedRollouts, srl *serviceRollout) {
	for _, lvr := range srl.versions {
		if ors.ordersRead.Era == lvr.appeared.Era && ors.ordersRead.Version >= lvr.appeared.Version && ors.ordersRead.Version > 0 {
			lvr.cleared = true
		}
	}
	rol.setTraffic(ors, srl)
	policy := rol.policy(ors, srl)
	ready := rol.cfg.Pool.VersionUpstreams(srl.name)
	srl.setServing(policy, ready)
	rules := &versionRules{
		established: &bwforward.VersionRule{Uses: make(map[bwmodel.VersionID]bwforward.VersionUse)},
		traffic:     srl.traffic,
	}
	for ver := range srl.versions {
		switch policy.Use(ver) {
		case bwrollout.Established:
			rules.established.Uses[ver] = bwforward.VersionAllowed
		case bwrollout.Preferred:
			rules.established.Uses[ver] = bwforward.VersionPreferred
		case bwrollout.Sampled:
			rules.sampled = rol.sampledRule(srl, ready)
		}
	}
	rules.copies = rules.established
	if to := srl.known.Order.To; srl.known.Phase == bwrollout.Shifting && rules.established.Uses[to] == bwforward.VersionPreferred {
		// The old upstreams are stopped without notice at the end.
		rules.copies = &bwforward.VersionRule{Uses: map[bwmodel.VersionID]bwforward.VersionUse{to: bwforward.VersionAllowed}}
	}
	if srl.traffic != nil {
		rol.setTrafficView(ors, srl, ready, rules.sampled)
	}
	srl.rules = rules
}

// policy returns what says which versions of a service may get requests.
func (rol *Rollouts) policy(ors *ownedRollouts, srl *serviceRollout) bwrollout.VersionPolicy {
	appeared := make(map[bwmodel.VersionID]bwrollout.Revision, len(srl.versions))
	for ver, lvr := range srl.versions {
		appeared[ver] = lvr.appeared
		if lvr.cleared {
			// Revisions of different eras can't be compared.
			appeared[ver] = ors.ordersRead
		}
	}
	return bwrollout.VersionPolicy{
		Enabled: true, State: srl.known, Order: srl.order, OrdersRead: ors.ordersRead, Appeared: appeared,
		Stopped: srl.stopped && srl.traffic != nil && srl.follows(srl.traffic.order),
	}
}

// setServing records the version that serves before an order: the one with the most
// upstreams among those that may get all requests.
func (srl *serviceRollout) setServing(policy bwrollout.VersionPolicy, ready map[bwmodel.VersionID][]bwforward.Upstream) {
	isNew := srl.order != nil && !srl.known.Handles(*srl.order)
	if srl.known.IsRunning() || isNew && srl.servingKnown {
		return
	}
	most := 0
	for ver, ups := range ready {
		// With a new order a gateway that has just started can't know what served before.
		mayServe := policy.Use(ver) == bwrollout.Established || isNew
		if !mayServe || isNew && ver == srl.order.To {
			continue
		}
		if len(ups) > most || len(ups) == most && ver < srl.serving {
			most, srl.serving = len(ups), ver
			srl.servingKnown = !isNew
		}
	}
}

// sampledRule returns the rule of the requests that the exposure allows, or nil if there
// is no upstream for them.
func (rol *Rollouts) sampledRule(srl *serviceRollout, ready map[bwmodel.VersionID][]bwforward.Upstream) *bwforward.VersionRule {
	to := srl.known.Order.To
	ids := make([]bwmodel.UpstreamID, 0, len(ready[to]))
	for _, up := range ready[to] {
		ids = append(ids, up.ID)
	}
	subset := bwrollout.Subset(srl.known.Order, ids, bwrollout.SubsetSize(rol.cfg.Limits, oldReady(ready, to), len(ids)))
	if len(subset) == 0 || srl.traffic == nil {
		return nil
	}
	return &bwforward.VersionRule{Uses: map[bwmodel.VersionID]bwforward.VersionUse{to: bwforward.VersionSubset}, Subset: subset}
}

// oldReady returns the number of ready upstreams of all versions but one.
func oldReady(ready map[bwmodel.VersionID][]bwforward.Upstream, to bwmodel.VersionID) int {
	count := 0
	for ver, ups := range ready {
		if ver != to {
			count += len(ups)
		}
	}
	return count
}

// currentOrder returns the order whose traffic is counted, or nil: a new one, or that of
// the running rollout.
func (srl *serviceRollout) currentOrder() *bwrollout.Order {
	switch {
	case srl.order != nil && !srl.known.Handles(*srl.order):
		return srl.order
	case srl.known.IsRunning():
		ord := srl.known.Order
		return &ord
	default:
		return nil
	}
}

// setTraffic begins or ends the counts of an order's traffic. A gateway that read the
// orders before this one came has counted all requests since the order.
func (rol *Rollouts) setTraffic(ors *ownedRollouts, srl *serviceRollout) {
	ord := srl.currentOrder()
	if ord == nil {
		srl.traffic, srl.stopped, srl.noted, srl.badRoute = nil, false, false, ""
		return
	}
	if trf := srl.traffic; trf != nil && trf.order.To == ord.To && trf.order.Revision == ord.Revision {
		return
	}
	joined := ors.ordersRead != bwrollout.Revision{}
	srl.stopped, srl.noted, srl.badRoute = false, false, ""
	srl.traffic = newRolloutTraffic(bwrollout.ExposureConfig{Limits: rol.cfg.Limits, Member: rol.cfg.Member, Order: *ord, Joined: joined}, rol.cfg.Metrics)
	rol.cfg.Log.Info("rollout traffic is counted", "Service", srl.name, "To", ord.To, "Revision", ord.Revision.Version, "SinceOrder", joined, "Gateways", rol.cfg.View().sharing)
}

// setTrafficView sets what the traffic of a service depends on.
func (rol *Rollouts) setTrafficView(ors *ownedRollouts, srl *serviceRollout, ready map[bwmodel.VersionID][]bwforward.Upstream, sampled *bwforward.VersionRule) {
	vw, now := rol.cfg.View(), rol.cfg.Now()
	trf := srl.traffic
	view := trafficView{clock: vw.storeClock(), clockAt: now, listedSince: srl.listedSince}
	if srl.follows(trf.order) {
		view.state = srl.known
	}
	if sampled != nil {
		view.subset = sampled.Subset
	}
	trf.setView(view)
	trf.exposure.SetView(bwrollout.ExposureView{
		Read: ors.statesRead, Gateways: vw.sharing, State: view.state, Now: view.clock - now.Sub(ors.statesRead),
		OldReady: oldReady(ready, trf.order.To), NewReady: len(ready[trf.order.To]),
	})
}

// follows reports whether the known state is that of an order.
func (srl *serviceRollout) follows(ord bwrollout.Order) bool {
	return srl.known.Order.To == ord.To && srl.known.Order.Revision == ord.Revision
}
