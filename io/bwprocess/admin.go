package bwprocess

import (
	"context"
	"runtime"

	"bilberrywick/core/bwmember"
	"bilberrywick/core/bwmodel"
	"bilberrywick/io/bwadmin"
	"bilberrywick/io/bwhttp"
	"bilberrywick/io/bwobserve"
	"bilberrywick/io/bwsettings"
	"bilberrywick/io/bwwire"
)

// AdminConfig says what a process adds to the administration API that
// routers and agents have in common.
type AdminConfig struct {
	// API holds the functions of the process itself; those of the common part are
	// filled in.
	API bwadmin.Config
	// InProgress returns the number of requests that the process serves.
	InProgress func() int
	// HeldLeases returns the duties whose lease the process holds; may be nil.
	HeldLeases func() []string
	// UpstreamInProgress returns the number of the process's requests at an
	// upstream; nil means 0.
	UpstreamInProgress func(bwmodel.UpstreamID) int
}

// administration serves the common part.
type administration struct {
	AdminConfig
	prc *Process
}

// ListenOperators opens the listener that serves the administration API,
// metrics and profiles.
func (prc *Process) ListenOperators(adm AdminConfig) (*bwhttp.Server, error) {
	set := prc.cfg.Settings.Operators
	srv := &administration{AdminConfig: adm, prc: prc}
	cfg := adm.API
	cfg.State, cfg.Members = srv.state, srv.members
	cfg.Drains, cfg.Drain = srv.drains, srv.drain
	cfg.Version = bwadmin.VersionResponse{Version: prc.cfg.Version, Go: runtime.Version()}
	cfg.Ready = prc.CheckReady
	cfg.Metrics, cfg.Profiles = bwobserve.MetricsHandler(prc.Metrics), bwobserve.ProfileHandler()
	cfg.Gate = prc.operatorGate(set.Keys)
	return prc.Listen(ListenerConfig{
		Address:      set.Address,
		TLS:          set.TLS,
		Limits:       set.Bounds,
		Handler:      bwadmin.NewHandler(cfg),
		ErrorHandler: bwadmin.WriteError,
	})
}

// operatorGate returns the check of operators' keys, or nil when none is set,
// which the settings allow for loopback listeners only.
func (prc *Process) operatorGate(keys []bwsettings.OperatorKey) *bwhttp.OperatorAuthenticator {
	if len(keys) == 0 {
		return nil
	}
	gate := &bwhttp.OperatorAuthenticator{Now: prc.cfg.Now}
	for _, key := range keys {
		// The settings were checked when they were loaded.
		if hash, err := key.Hash(); err == nil {
			gate.Keys = append(gate.Keys, bwhttp.OperatorKey{Name: key.Name, Hash: hash, NotAfter: key.NotAfter})
		}
	}
	return gate
}

func (adm *administration) state(context.Context, *struct{}) (*bwwire.StateDocument, error) {
	doc := bwwire.NewStateDocument(adm.prc.Fleet.Snapshot().State)
	return &doc, nil
}

func (adm *administration) members(context.Context, *struct{}) (*bwadmin.MemberList, error) {
	snap := adm.prc.Fleet.Snapshot()
	self := newMemberStatus(bwmember.Entry{Member: snap.Self, Status: bwmember.Live, StateNumber: snap.State.Number()})
	if snap.Self.Leaving {
		self.State = bwmember.Leaving.String()
	}
	if adm.HeldLeases != nil {
		self.Leases = adm.HeldLeases()
	}
	list := &bwadmin.MemberList{
		Self:      snap.Self.ID,
		Head:      snap.State.Number(),
		StoreLost: snap.StoreUnavailableSince,
		Members:   []bwadmin.MemberStatus{self},
	}
	now := adm.prc.cfg.Now()
	for _, ent := range snap.Members {
		mem := newMemberStatus(ent)
		if !ent.LastContact.IsZero() {
			mem.Age = bwwire.DurationText(now.Sub(ent.LastContact))
		}
		list.Members = append(list.Members, mem)
	}
	return list, nil
}

func newMemberStatus(ent bwmember.Entry) bwadmin.MemberStatus {
	return bwadmin.MemberStatus{
		ID:          ent.Member.ID,
		Incarnation: ent.Member.Incarnation,
		Role:        ent.Member.Role.String(),
		Region:      ent.Member.Region,
		Zone:        ent.Member.Zone,
		Address:     ent.Member.Address,
		State:       ent.Status.String(),
		StateNumber: ent.StateNumber,
	}
}

// drains lists the process itself, members that are leaving and upstreams that
// a ticket drains.
func (adm *administration) drains(context.Context, *struct{}) (*bwadmin.DrainList, error) {
	list := &bwadmin.DrainList{}
	snap := adm.prc.Fleet.Snapshot()
	if drn := adm.prc.stop.drain.Load(); drn != nil {
		list.Drains = append(list.Drains, bwadmin.DrainStatus{
			Kind: bwadmin.MemberDrain, Name: string(snap.Self.ID), Cause: drn.cause, Since: drn.since, Remaining: adm.InProgress(),
		})
	}
	for _, ent := range snap.Members {
		if ent.Status == bwmember.Leaving {
			list.Drains = append(list.Drains, bwadmin.DrainStatus{
				Kind: bwadmin.MemberDrain, Name: string(ent.Member.ID), Cause: bwadmin.CauseMember,
			})
		}
	}
	for _, ent := range snap.State.Upstreams() {
		if ups := ent.Object; ups.Draining {
			list.Drains = append(list.Drains, bwadmin.DrainStatus{
				Kind: bwadmin.UpstreamDrain, Name: string(ups.Name), Cause: bwadmin.CauseTicket, Remaining: adm.remaining(ups.Name),
			})
		}
	}
	return list, nil
}

func (adm *administration) remaining(name bwmodel.UpstreamID) int {
	if adm.UpstreamInProgress == nil {
		return 0
	}
	return adm.UpstreamInProgress(name)
}

// drain has the program stop the process as a signal would.
func (adm *administration) drain(ctx context.Context, req *bwadmin.DrainRequest) (*bwadmin.DrainList, error) {
	if req.Member != adm.prc.Self.ID {
		return nil, bwadmin.ErrOtherMember
	}
	adm.prc.Log.Info("drain requested", "Operator", bwhttp.OperatorName(ctx))
	adm.prc.stop.request(adm.prc.cfg.Now())
	return adm.drains(ctx, &struct{}{})
}
